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
	// resetSize is the size of a stateless reset in bytes. A reset is sent only in response to a larger packet, so that two
	// endpoints can't reset each other endlessly (RFC 9000, section 10.3.3).
	resetSize = 41
	tokenSize = 16
	// maxResetsPerSecond limits the rate at which an agent sends stateless resets.
	maxResetsPerSecond = 1000
)

// flowRouter selects the agent for a new flow and the entry for a reply.
type flowRouter interface {
	// routeNewFlow returns the agent that accepts the flow opened with connectionID; ok is false if none does.
	// passed is true if another agent has passed the datagram on.
	routeNewFlow(connectionID []byte, passed bool) (agent netip.AddrPort, ok bool)
	// replyEntry returns the entry through which to send to a caller. last is the entry through which the caller's last
	// datagram came, sinceReceived how long ago that was, and sent the number of datagrams sent to the caller since.
	replyEntry(last netip.AddrPort, sinceReceived time.Duration, sent int) netip.AddrPort
	// identity returns the agent's service number and the serial of its contract.
	identity() (service uint32, serial uint64)
}

// envelopeConn is the net.PacketConn on which QUIC runs. It opens the envelopes of received datagrams and seals those of
// sent ones.
type envelopeConn struct {
	conn        *mmsg.Conn
	keys        *fleet.AtomicKeyring
	router      flowRouter
	incarnation uint32
	resetKey    [fleet.KeySize]byte
	counters    *expvar.Map
	paths       *pathTable

	// The fields up to resetSecond are used only by the goroutine that calls ReadFrom.
	decoder      connid.Decoder
	batch        *mmsg.Batch
	nextMessage  int
	messageCount int
	resetCount   int
	resetSecond  int64

	buffers sync.Pool
}

func newEnvelopeConn(conn *mmsg.Conn, keys *fleet.AtomicKeyring, router flowRouter, incarnation uint64, resetKey [fleet.KeySize]byte, counters *expvar.Map) *envelopeConn {
	return &envelopeConn{
		conn:        conn,
		keys:        keys,
		router:      router,
		incarnation: connid.TruncateIncarnation(incarnation),
		resetKey:    resetKey,
		counters:    counters,
		paths:       newPathTable(),
		batch:       mmsg.NewBatch(batchSize, 0),
		buffers:     sync.Pool{New: func() any { return new([wrap.HeaderSize + mmsg.MaxDatagramSize]byte) }},
	}
}

// ReadFrom returns the next datagram for QUIC and its caller's address.
func (c *envelopeConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		if c.nextMessage == c.messageCount {
			n, err := c.conn.Read(c.batch)
			if err != nil {
				return 0, nil, err
			}
			c.nextMessage, c.messageCount = 0, n
		}
		m := &c.batch.Messages[c.nextMessage]
		c.nextMessage++
		if header, ok := c.accept(m); ok {
			n := copy(p, m.Buf[m.Start+wrap.HeaderSize:m.End])
			return n, net.UDPAddrFromAddrPort(header.Caller), nil
		}
	}
}

// accept reports whether a message is for this agent's QUIC transport. If not, accept has passed it on to another agent,
// replied with a stateless reset or dropped it.
func (c *envelopeConn) accept(m *mmsg.Message) (wrap.Header, bool) {
	keyring := c.keys.Load()
	if keyring == nil {
		return c.drop("dropped_no_keys")
	}
	header, err := wrap.Open(keyring, m.Buf[m.Start:m.End])
	if err != nil || (header.Kind != wrap.Forward && header.Kind != wrap.PassOn) {
		return c.drop("dropped_not_authentic")
	}
	service, _ := c.router.identity()
	datagram := m.Buf[m.Start+wrap.HeaderSize : m.End]
	parsed, err := packet.Parse(datagram, connid.Len)
	if err != nil {
		return c.drop("dropped_malformed")
	}
	location, err := c.decoder.Decode(keyring, parsed.DstConnID)
	if err == nil && location.Service == header.Service && location.Agent == c.conn.Addr() {
		return c.acceptEstablished(header, parsed, location, service, len(datagram))
	}
	if !parsed.Long {
		return c.drop("dropped_unknown_flow")
	}
	if header.Service != service {
		return c.drop("dropped_foreign_service")
	}
	return c.acceptNew(keyring, header, parsed, m)
}

// drop counts a message that isn't for this agent's QUIC transport.
func (c *envelopeConn) drop(reason string) (wrap.Header, bool) {
	c.counters.Add(reason, 1)
	return wrap.Header{}, false
}

// acceptEstablished accepts a datagram of a flow of this agent, and sends a stateless reset if the flow belongs to an
// earlier incarnation or another service at this address.
func (c *envelopeConn) acceptEstablished(header wrap.Header, parsed packet.Header, location connid.Location, service uint32, size int) (wrap.Header, bool) {
	if location.Service == service && location.Incarnation == c.incarnation {
		c.paths.recordReceived(header.Caller, header.Entry, time.Now())
		c.counters.Add("packets_in", 1)
		return header, true
	}
	if !parsed.Long && size > resetSize {
		c.sendReset(header, parsed.DstConnID)
	}
	return c.drop("dropped_gone_flow")
}

// acceptNew accepts a datagram that may open a flow, or passes it on to another agent.
func (c *envelopeConn) acceptNew(keyring *fleet.Keyring, header wrap.Header, parsed packet.Header, m *mmsg.Message) (wrap.Header, bool) {
	passed := header.Kind == wrap.PassOn
	agent, ok := c.router.routeNewFlow(parsed.DstConnID, passed)
	if !ok {
		return c.drop("dropped_no_agent")
	}
	if agent == c.conn.Addr() {
		c.paths.recordReceived(header.Caller, header.Entry, time.Now())
		c.counters.Add("packets_in", 1)
		return header, true
	}
	// The empty reply keeps the entry from counting the handshake as unanswered.
	_ = c.send(nil, header.Service, header.Caller, header.Entry)
	header.Kind = wrap.PassOn
	wrap.Seal(keyring, header, m.Buf[m.Start:m.End])
	if err := c.conn.WriteTo(m.Buf[m.Start:m.End], agent); err != nil {
		return c.drop("dropped_pass_failed")
	}
	return c.drop("passed_on")
}

// sendReset sends a stateless reset for a flow that is known to be closed.
func (c *envelopeConn) sendReset(header wrap.Header, connectionID []byte) {
	now := time.Now().Unix()
	if now != c.resetSecond {
		c.resetSecond, c.resetCount = now, 0
	}
	c.resetCount++
	if c.resetCount > maxResetsPerSecond {
		return
	}
	var datagram [resetSize]byte
	_, _ = rand.Read(datagram[:]) // crypto/rand.Read never fails.
	const shortHeader, shortMask = 0x40, 0x3f
	datagram[0] = datagram[0]&shortMask | shortHeader
	copy(datagram[resetSize-tokenSize:], resetToken(c.resetKey, connectionID))
	c.counters.Add("resets_sent", 1)
	_ = c.send(datagram[:], header.Service, header.Caller, header.Entry)
}

// resetToken returns the stateless reset token of a connection ID, as quic-go derives it from the same key.
func resetToken(key [fleet.KeySize]byte, connectionID []byte) []byte {
	h := hmac.New(sha256.New, key[:])
	_, _ = h.Write(connectionID) // A hash's Write never fails.
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
	last, sinceReceived, sent := c.paths.recordSent(caller, time.Now())
	entry := c.router.replyEntry(last, sinceReceived, sent)
	service, _ := c.router.identity()
	c.counters.Add("packets_out", 1)
	if err := c.send(p, service, caller, entry); err != nil {
		c.counters.Add("send_failed", 1) // QUIC handles it like a datagram lost on the network.
	}
	return len(p), nil
}

// send sends a datagram to a caller in an envelope through entry.
func (c *envelopeConn) send(p []byte, service uint32, caller, entry netip.AddrPort) error {
	keyring := c.keys.Load()
	if keyring == nil || !entry.IsValid() || len(p) > mmsg.MaxDatagramSize {
		return errors.New("agent: can't send to the caller: no packet keys, no entry, or the datagram is too large")
	}
	_, serial := c.router.identity()
	buf := c.buffers.Get().(*[wrap.HeaderSize + mmsg.MaxDatagramSize]byte)
	defer c.buffers.Put(buf)
	n := wrap.HeaderSize + copy(buf[wrap.HeaderSize:], p)
	wrap.Seal(keyring, wrap.Header{Kind: wrap.Reply, Service: service, ContractSerial: serial, Caller: caller, Entry: entry}, buf[:n])
	return c.conn.WriteTo(buf[:n], entry)
}

// Close closes the socket.
func (c *envelopeConn) Close() error { return c.conn.Close() }

// LocalAddr returns the address of the socket.
func (c *envelopeConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.conn.Addr()) }

// SetDeadline sets the read deadline; writes don't block.
func (c *envelopeConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (c *envelopeConn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline does nothing, as writes don't block.
func (*envelopeConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing, as mmsg.Listen has set the buffer size.
func (*envelopeConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, as mmsg.Listen has set the buffer size.
func (*envelopeConn) SetWriteBuffer(int) error { return nil }
