// Package fabric simulates the network between callers and entries, for tests and for the dev command.
//
// It listens on the addresses of the services and forwards each datagram of a caller to a random entry. It can drop,
// delay, reorder and duplicate datagrams and isolate entries. Its random choices are derived from a seed.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	maxDatagramSize = 2048
	// sessionTimeout is how long the return path to a caller is kept after the caller's last datagram.
	sessionTimeout = 5 * time.Minute
	sweepInterval  = 30 * time.Second
)

// Faults are the faults that are injected into datagrams in both directions.
type Faults struct {
	// Drop and Duplicate are the probabilities that a datagram is dropped or duplicated.
	Drop, Duplicate float64
	// Delay is the one-way delay, Jitter the upper bound of a random addition to it. Jitter reorders datagrams.
	Delay, Jitter time.Duration
}

// Fabric is a simulated network. It is safe for concurrent use.
type Fabric struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	rng          *rand.Rand
	entries      []netip.Addr
	isolated     map[netip.Addr]bool
	faults       Faults
	serviceConns []*net.UDPConn
	sessions     map[sessionKey]*session
}

// sessionKey identifies a caller at a service address.
type sessionKey struct{ service, caller netip.AddrPort }

// session relays the datagrams of one caller at one service address. entryConn is the caller's socket towards the
// entries, serviceConn the socket of the service towards the caller.
type session struct {
	entryConn   *net.UDPConn
	serviceConn *net.UDPConn
	key         sessionKey
	lastUsed    time.Time
}

// New returns a fabric without services and entries.
func New(seed uint64) *Fabric {
	ctx, cancel := context.WithCancel(context.Background())
	return &Fabric{
		ctx:      ctx,
		cancel:   cancel,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		isolated: make(map[netip.Addr]bool),
		sessions: make(map[sessionKey]*session),
	}
}

// AddService listens on the address of a service and returns it. With port 0 it chooses one that no other service has: entries that
// bind a single address tell services apart by their ports.
func (f *Fabric) AddService(addr netip.AddrPort) (netip.AddrPort, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return netip.AddrPort{}, errors.Wrapf(err, "fabric: listen on %s", addr)
		}
		bound := localAddr(conn)
		if addr.Port() == 0 && f.hasPort(bound.Port()) {
			if err := conn.Close(); err != nil {
				return netip.AddrPort{}, errors.Wrap(err, "fabric: choose a port")
			}
			continue
		}
		f.serviceConns = append(f.serviceConns, conn)
		go f.forwardToEntries(conn, bound)
		return bound, nil
	}
}

// hasPort reports whether a service has the port. The caller holds mu.
func (f *Fabric) hasPort(port uint16) bool {
	return slices.ContainsFunc(f.serviceConns, func(c *net.UDPConn) bool { return localAddr(c).Port() == port })
}

func localAddr(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetEntries sets the IP addresses of the entries that receive datagrams.
func (f *Fabric) SetEntries(entries ...netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entries
}

// SetFaults sets the faults to inject.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetIsolated sets whether all datagrams to and from an entry are dropped. An isolated entry is still chosen for its
// share of the datagrams.
func (f *Fabric) SetIsolated(entry netip.Addr, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[entry] = isolated
}

// Close closes all sockets.
func (f *Fabric) Close() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.serviceConns {
		_ = conn.Close()
	}
	for _, s := range f.sessions {
		_ = s.entryConn.Close()
	}
}

// forwardToEntries forwards the datagrams that callers send to a service.
func (f *Fabric) forwardToEntries(conn *net.UDPConn, service netip.AddrPort) {
	buf := make([]byte, maxDatagramSize)
	lastSweep := time.Now()
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if time.Since(lastSweep) > sweepInterval {
			lastSweep = time.Now()
			f.removeIdleSessions()
		}
		s, err := f.sessionFor(conn, sessionKey{service, caller})
		if err != nil {
			continue // No socket could be opened: drop the datagram.
		}
		entry, ok := f.pickEntry()
		if !ok {
			continue
		}
		f.send(s.entryConn, buf[:n], netip.AddrPortFrom(entry, service.Port()))
	}
}

// pickEntry returns a random entry. ok is false if the datagram is to be dropped, as there is no entry or the chosen one
// is isolated.
func (f *Fabric) pickEntry() (entry netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return netip.Addr{}, false
	}
	e := f.entries[f.rng.IntN(len(f.entries))]
	return e, !f.isolated[e]
}

func (f *Fabric) sessionFor(serviceConn *net.UDPConn, key sessionKey) (*session, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sessions[key]; s != nil {
		s.lastUsed = time.Now()
		return s, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "fabric: open a socket for a caller")
	}
	s := &session{entryConn: conn, serviceConn: serviceConn, key: key, lastUsed: time.Now()}
	f.sessions[key] = s
	go f.forwardToCaller(s)
	return s, nil
}

// forwardToCaller forwards the datagrams that entries send to the caller of a session.
func (f *Fabric) forwardToCaller(s *session) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.entryConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || f.isIsolated(from.Addr().Unmap()) {
			continue
		}
		f.send(s.serviceConn, buf[:n], s.key.caller)
	}
}

func (f *Fabric) isIsolated(entry netip.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated[entry]
}

func (f *Fabric) removeIdleSessions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, s := range f.sessions {
		if time.Since(s.lastUsed) > sessionTimeout {
			_ = s.entryConn.Close()
			delete(f.sessions, key)
		}
	}
}

// send sends a datagram, subject to the current faults.
func (f *Fabric) send(conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	for _, delay := range f.copyDelays() {
		if delay == 0 {
			_, _ = conn.WriteToUDPAddrPort(datagram, to) // A datagram that can't be sent is lost, as on a network.
			continue
		}
		copied := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() {
			_, _ = conn.WriteToUDPAddrPort(copied, to) // As above.
		})
	}
}

// copyDelays returns the delay of each copy of a datagram to be sent; none if the datagram is dropped.
func (f *Fabric) copyDelays() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() < f.faults.Drop {
		return nil
	}
	delays := []time.Duration{f.randomDelay()}
	if f.rng.Float64() < f.faults.Duplicate {
		delays = append(delays, f.randomDelay())
	}
	return delays
}

func (f *Fabric) randomDelay() time.Duration {
	d := f.faults.Delay
	if f.faults.Jitter > 0 {
		d += time.Duration(f.rng.Int64N(int64(f.faults.Jitter)))
	}
	return d
}
