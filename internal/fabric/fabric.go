// Package fabric is a stand-in for the network between callers and entries, for tests and for the dev command.
//
// It binds the services' addresses and hands each datagram of a caller to any of the entries, and can
// drop, delay, reorder and duplicate datagrams and cut entries off. Its choices follow from a seed.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	maxDatagram = 2048
	// sessionLife is how long a caller may be silent before its way back is forgotten.
	sessionLife   = 5 * time.Minute
	sweepInterval = 30 * time.Second
)

// Faults are what the network does to datagrams, in both directions.
type Faults struct {
	// Drop and Duplicate are the probabilities that a datagram is lost or comes twice.
	Drop, Duplicate float64
	// Delay is how long each datagram takes, Jitter by how much more at the most; jitter reorders.
	Delay, Jitter time.Duration
}

// Fabric is the stand-in. It is safe for concurrent use.
type Fabric struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	rand     *rand.Rand
	entries  []netip.Addr
	cut      map[netip.Addr]bool
	faults   Faults
	doors    []*net.UDPConn
	sessions map[sessionKey]*session
}

// sessionKey identifies a caller at a service address.
type sessionKey struct{ service, caller netip.AddrPort }

// session is the socket that stands for a caller towards the entries.
type session struct {
	conn *net.UDPConn
	door *net.UDPConn
	key  sessionKey
	used time.Time
}

// New returns a fabric without services and entries.
func New(seed uint64) *Fabric {
	ctx, cancel := context.WithCancel(context.Background())
	return &Fabric{
		ctx:      ctx,
		cancel:   cancel,
		rand:     rand.New(rand.NewPCG(seed, seed)),
		cut:      make(map[netip.Addr]bool),
		sessions: make(map[sessionKey]*session),
	}
}

// AddService binds a service's address. With port 0 it chooses a free one.
func (f *Fabric) AddService(addr netip.AddrPort) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "fabric: bind %s", addr)
	}
	f.mu.Lock()
	f.doors = append(f.doors, conn)
	f.mu.Unlock()
	bound := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	go f.serve(conn, bound)
	return bound, nil
}

// SetEntries sets the IPs of the entries that get datagrams.
func (f *Fabric) SetEntries(entries ...netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entries
}

// SetFaults sets what happens to datagrams.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetIsolated loses all datagrams to and from an entry, which still gets its part, until it is called with false.
func (f *Fabric) SetIsolated(entry netip.Addr, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[entry] = cut
}

// Close ends the fabric.
func (f *Fabric) Close() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.doors {
		_ = d.Close()
	}
	for _, s := range f.sessions {
		_ = s.conn.Close()
	}
}

// serve moves datagrams from callers to entries.
func (f *Fabric) serve(door *net.UDPConn, service netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	swept := time.Now()
	for {
		n, caller, err := door.ReadFromUDPAddrPort(buf)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			f.sweep()
		}
		s, err := f.session(door, sessionKey{service, caller})
		if err != nil {
			continue // Out of sockets: the datagram is lost.
		}
		to, ok := f.pick()
		if !ok {
			continue
		}
		f.deliver(s.conn, buf[:n], netip.AddrPortFrom(to, service.Port()))
	}
}

// pick returns a random entry; ok is false when the datagram is lost.
func (f *Fabric) pick() (entry netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return netip.Addr{}, false
	}
	e := f.entries[f.rand.IntN(len(f.entries))]
	return e, !f.cut[e]
}

func (f *Fabric) session(door *net.UDPConn, key sessionKey) (*session, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sessions[key]; s != nil {
		s.used = time.Now()
		return s, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "fabric: bind a caller's socket")
	}
	s := &session{conn: conn, door: door, key: key, used: time.Now()}
	f.sessions[key] = s
	go f.serveBack(s)
	return s, nil
}

// serveBack moves datagrams from entries to one caller.
func (f *Fabric) serveBack(s *session) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || f.isCut(from.Addr().Unmap()) {
			continue
		}
		f.deliver(s.door, buf[:n], s.key.caller)
	}
}

func (f *Fabric) isCut(entry netip.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[entry]
}

func (f *Fabric) sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, s := range f.sessions {
		if time.Since(s.used) > sessionLife {
			_ = s.conn.Close()
			delete(f.sessions, key)
		}
	}
}

// deliver sends a datagram as the faults in force have it.
func (f *Fabric) deliver(conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	for _, delay := range f.fate() {
		if delay == 0 {
			_, _ = conn.WriteToUDPAddrPort(datagram, to) // A refused datagram is lost.
			continue
		}
		late := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() {
			_, _ = conn.WriteToUDPAddrPort(late, to) // A refused datagram is lost.
		})
	}
}

// fate returns the delay of each copy of a datagram that arrives.
func (f *Fabric) fate() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand.Float64() < f.faults.Drop {
		return nil
	}
	out := []time.Duration{f.delay()}
	if f.rand.Float64() < f.faults.Duplicate {
		out = append(out, f.delay())
	}
	return out
}

func (f *Fabric) delay() time.Duration {
	d := f.faults.Delay
	if f.faults.Jitter > 0 {
		d += time.Duration(f.rand.Int64N(int64(f.faults.Jitter)))
	}
	return d
}
