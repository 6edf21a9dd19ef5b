package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/packet"
	"github.com/bergamotrun/bergamotrun/internal/wrap"
)

const (
	batchSize = 32
	// resetSize is the size of a stateless reset in bytes; one is sent only for a larger packet.
	resetSize = 41
	tokenSize = 16
	// resetsPerSecond bounds the stateless resets that an agent sends.
	resetsPerSecond = 1000
)

// flowRouter decides where a datagram that may open a flow goes.
type flowRouter interface {
	// routeNew returns the agent that takes the flow opened with connection ID id; ok is false for none.
	// passed says that another agent has passed the datagram on.
	routeNew(id []byte, passed bool) (agent netip.AddrPort, ok bool)
	// entryFor returns the entry through which to send to a caller whose last packet came by way of last.
	entryFor(last netip.AddrPort, silent time.Duration, sent int) netip.AddrPort
	// identity returns the agent's service number and the serial of its contract.
	identity() (service uint32, serial uint64)
}

// envelopeConn is the net.PacketConn on which QUIC runs: it takes envelopes off and puts them on.
type envelopeConn struct {
	conn        *mmsg.Conn
	keys        *fleet.AtomicKeyring
	router      flowRouter
	incarnation uint32
	resetKey    [fleet.KeySize]byte
	counters    *expvar.Map
	paths       *pathTable

	// The fields below belong to the goroutine that reads.
	decoder connid.Decoder
	batch   *mmsg.Batch
	next    int
	filled  int
	resets  int
	second  int64

	buffers sync.Pool
}

func newEnvelopeConn(conn *mmsg.Conn, keys *fleet.AtomicKeyring, router flowRouter, incarnation uint64, resetKey [fleet.KeySize]byte, counters *expvar.Map) *envelopeConn {
	return &envelopeConn{
		conn:        conn,
		keys:        keys,
		router:      router,
		incarnation: connid.Cut(incarnation),
		resetKey:    resetKey,
		counters:    counters,
		paths:       newPathTable(),
		batch:       mmsg.NewBatch(batchSize, 0),
		buffers:     sync.Pool{New: func() any { return new([wrap.Size + mmsg.MaxDatagram]byte) }},
	}
}

// ReadFrom returns the next datagram for QUIC with its caller's address.
func (c *envelopeConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		if c.next == c.filled {
			n, err := c.conn.Read(c.batch)
			if err != nil {
				return 0, nil, err
			}
			c.next, c.filled = 0, n
		}
		m := &c.batch.Messages[c.next]
		c.next++
		if header, ok := c.accept(m); ok {
			n := copy(p, m.Buf[m.Start+wrap.Size:m.End])
			return n, net.UDPAddrFromAddrPort(header.Caller), nil
		}
	}
}

// accept reports whether a message is for QUIC here; otherwise it has been passed on, answered or dropped.
func (c *envelopeConn) accept(m *mmsg.Message) (wrap.Header, bool) {
	ring := c.keys.Load()
	if ring == nil {
		return c.drop("dropped_no_keys")
	}
	header, err := wrap.Open(ring, m.Buf[m.Start:m.End])
	if err != nil || (header.Kind != wrap.Forward && header.Kind != wrap.Pass) {
		return c.drop("dropped_not_authentic")
	}
	service, _ := c.router.identity()
	datagram := m.Buf[m.Start+wrap.Size : m.End]
	parsed, err := packet.Parse(datagram, connid.Len)
	if err != nil {
		return c.drop("dropped_malformed")
	}
	home, err := c.decoder.Decode(ring, parsed.Dst)
	if err == nil && home.Service == header.Service && home.Agent == c.conn.Addr() {
		return c.acceptFlow(header, parsed, home, service, len(datagram))
	}
	if !parsed.Long {
		return c.drop("dropped_unknown_flow")
	}
	if header.Service != service {
		return c.drop("dropped_foreign_service")
	}
	return c.acceptNew(ring, header, parsed, m)
}

func (c *envelopeConn) drop(reason string) (wrap.Header, bool) {
	c.counters.Add(reason, 1)
	return wrap.Header{}, false
}

// acceptFlow takes a datagram of a flow that lives here, and resets one that lived at this address before.
func (c *envelopeConn) acceptFlow(header wrap.Header, parsed packet.Header, home connid.Home, service uint32, size int) (wrap.Header, bool) {
	if home.Service == service && home.Incarnation == c.incarnation {
		c.paths.heard(header.Caller, header.Entry, time.Now())
		c.counters.Add("packets_in", 1)
		return header, true
	}
	if !parsed.Long && size > resetSize {
		c.reset(header, parsed.Dst)
	}
	return c.drop("dropped_gone_flow")
}

// acceptNew takes a datagram that may open a flow, or passes it on to another agent.
func (c *envelopeConn) acceptNew(ring *fleet.Keyring, header wrap.Header, parsed packet.Header, m *mmsg.Message) (wrap.Header, bool) {
	passed := header.Kind == wrap.Pass
	agent, ok := c.router.routeNew(parsed.Dst, passed)
	if !ok {
		return c.drop("dropped_no_agent")
	}
	if agent == c.conn.Addr() {
		c.paths.heard(header.Caller, header.Entry, time.Now())
		c.counters.Add("packets_in", 1)
		return header, true
	}
	_ = c.send(nil, header.Service, header.Caller, header.Entry) // Shows the entry that this agent lives.
	header.Kind = wrap.Pass
	wrap.Seal(ring, header, m.Buf[m.Start:m.End])
	if err := c.conn.WriteTo(m.Buf[m.Start:m.End], agent); err != nil {
		return c.drop("dropped_pass_failed")
	}
	return c.drop("passed_on")
}

// reset sends a stateless reset for a flow that is known to be gone.
func (c *envelopeConn) reset(header wrap.Header, id []byte) {
	now := time.Now().Unix()
	if now != c.second {
		c.second, c.resets = now, 0
	}
	c.resets++
	if c.resets > resetsPerSecond {
		return
	}
	var datagram [resetSize]byte
	_, _ = rand.Read(datagram[:]) // crypto/rand.Read never fails.
	const shortHeader, shortMask = 0x40, 0x3f
	datagram[0] = datagram[0]&shortMask | shortHeader
	copy(datagram[resetSize-tokenSize:], resetToken(c.resetKey, id))
	c.counters.Add("resets_sent", 1)
	_ = c.send(datagram[:], header.Service, header.Caller, header.Entry)
}

// resetToken returns the stateless reset token of a connection ID.
func resetToken(key [fleet.KeySize]byte, id []byte) []byte {
	h := hmac.New(sha256.New, key[:])
	_, _ = h.Write(id) // A hash's Write never fails.
	return h.Sum(nil)[:tokenSize]
}

// WriteTo sends a datagram to a caller through an entry.
func (c *envelopeConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, errors.Errorf("agent: caller address %s is not a UDP address", addr)
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	last, silent, sent := c.paths.sending(caller, time.Now())
	entry := c.router.entryFor(last, silent, sent)
	service, _ := c.router.identity()
	c.counters.Add("packets_out", 1)
	if err := c.send(p, service, caller, entry); err != nil {
		c.counters.Add("send_failed", 1) // As on the network: the datagram is lost.
	}
	return len(p), nil
}

func (c *envelopeConn) send(p []byte, service uint32, caller, entry netip.AddrPort) error {
	ring := c.keys.Load()
	if ring == nil || !entry.IsValid() || len(p) > mmsg.MaxDatagram {
		return errors.New("agent: no way to the caller")
	}
	_, serial := c.router.identity()
	buf := c.buffers.Get().(*[wrap.Size + mmsg.MaxDatagram]byte)
	defer c.buffers.Put(buf)
	n := wrap.Size + copy(buf[wrap.Size:], p)
	wrap.Seal(ring, wrap.Header{Kind: wrap.Reply, Service: service, Serial: serial, Caller: caller, Entry: entry}, buf[:n])
	return c.conn.WriteTo(buf[:n], entry)
}

// Close closes the socket.
func (c *envelopeConn) Close() error { return c.conn.Close() }

// LocalAddr returns the address of the socket.
func (c *envelopeConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.conn.Addr()) }

// SetDeadline is SetReadDeadline; writes don't wait.
func (c *envelopeConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds the next read.
func (c *envelopeConn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline does nothing: writes don't wait.
func (*envelopeConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing: the socket has its size already.
func (*envelopeConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing: the socket has its size already.
func (*envelopeConn) SetWriteBuffer(int) error { return nil }
