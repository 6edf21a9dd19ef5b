package agent

import (
	"expvar"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/packet"
	"github.com/bergamotrun/bergamotrun/internal/wrap"
)

// fixedRouter is a flowRouter that routes every new flow to one agent.
type fixedRouter struct {
	agent   netip.AddrPort
	service uint32
}

func (r fixedRouter) routeNewFlow([]byte, bool) (netip.AddrPort, bool) {
	return r.agent, r.agent.IsValid()
}

func (fixedRouter) replyEntry(last netip.AddrPort, _ time.Duration, _ int) netip.AddrPort {
	return last
}

func (r fixedRouter) identity() (uint32, uint64) { return r.service, 1 }

func newTestConn(t *testing.T) *mmsg.Conn {
	t.Helper()
	c, err := mmsg.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// testEnvelopes is an agent's envelopeConn with the sockets of an entry and of another agent.
type testEnvelopes struct {
	conn         *envelopeConn
	entry, other *mmsg.Conn
	keyring      *fleet.Keyring
	counters     *expvar.Map
}

func newTestEnvelopes(t *testing.T, router func(own, other netip.AddrPort) fixedRouter) *testEnvelopes {
	t.Helper()
	keyring, err := fleet.NewKeyring(1, fleet.Key{Number: 1})
	if err != nil {
		t.Fatal(err)
	}
	keys := &fleet.AtomicKeyring{}
	keys.Store(keyring)
	e := &testEnvelopes{entry: newTestConn(t), other: newTestConn(t), keyring: keyring, counters: new(expvar.Map)}
	own := newTestConn(t)
	e.conn = newEnvelopeConn(own, keys, router(own.Addr(), e.other.Addr()), 7, [fleet.KeySize]byte{9}, e.counters)
	return e
}

// deliver passes an envelope to the connection and reports whether it accepts the datagram.
func (e *testEnvelopes) deliver(h wrap.Header, datagram []byte) bool {
	buf := append(make([]byte, wrap.HeaderSize), datagram...)
	wrap.Seal(e.keyring, h, buf)
	_, ok := e.conn.accept(&mmsg.Message{Buf: buf, End: len(buf)})
	return ok
}

// read receives an envelope from a socket and returns its header and datagram.
func (e *testEnvelopes) read(t *testing.T, c *mmsg.Conn) (wrap.Header, []byte) {
	t.Helper()
	batch := mmsg.NewBatch(1, 0)
	if _, err := c.Read(batch); err != nil {
		t.Fatal(err)
	}
	m := &batch.Messages[0]
	h, err := wrap.Open(e.keyring, m.Buf[m.Start:m.End])
	if err != nil {
		t.Fatal(err)
	}
	return h, m.Buf[m.Start+wrap.HeaderSize : m.End]
}

func (e *testEnvelopes) header() wrap.Header {
	return wrap.Header{Kind: wrap.Forward, Service: 3, Caller: netip.MustParseAddrPort("192.0.2.1:99"), Entry: e.entry.Addr()}
}

func openingDatagram() []byte {
	return append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, make([]byte, packet.MinInitialSize)...)
}

// TestPassingFlowNotifiesEntry checks that an agent that passes a handshake on sends the entry an empty reply. Without it,
// the entry counts the handshake as unanswered and considers the agent unresponsive.
func TestPassingFlowNotifiesEntry(t *testing.T) {
	is := is.New(t)
	e := newTestEnvelopes(t, func(_, other netip.AddrPort) fixedRouter { return fixedRouter{other, 3} })
	is.True(!e.deliver(e.header(), openingDatagram()))
	h, datagram := e.read(t, e.other)
	is.Equal(h.Kind, wrap.PassOn)
	is.Equal(datagram, openingDatagram())
	is.Equal(h.Entry, e.entry.Addr())
	h, datagram = e.read(t, e.entry)
	is.Equal(h.Kind, wrap.Reply)
	is.Equal(len(datagram), 0) // The caller gets nothing.
}

func TestForeignDatagramsAreDropped(t *testing.T) {
	is := is.New(t)
	e := newTestEnvelopes(t, func(own, _ netip.AddrPort) fixedRouter { return fixedRouter{own, 3} })
	is.True(e.deliver(e.header(), openingDatagram()))
	foreign := e.header()
	foreign.Service = 4
	is.True(!e.deliver(foreign, openingDatagram()))
	reply := e.header()
	reply.Kind = wrap.Reply
	is.True(!e.deliver(reply, openingDatagram()))
	is.True(!e.deliver(e.header(), []byte{0x40}))
	is.True(!e.deliver(e.header(), nil))
	bare := &mmsg.Message{Buf: openingDatagram(), End: 1200}
	_, ok := e.conn.accept(bare) // A datagram without an envelope.
	is.True(!ok)
}

func TestFlowOfEarlierIncarnationIsReset(t *testing.T) {
	is := is.New(t)
	e := newTestEnvelopes(t, func(own, _ netip.AddrPort) fixedRouter { return fixedRouter{own, 3} })
	flow := func(incarnation uint64) []byte {
		location := connid.Location{Service: 3, Agent: e.conn.conn.Addr(), Incarnation: connid.TruncateIncarnation(incarnation)}
		id, err := connid.Encode(e.keyring, location, 1)
		is.NoErr(err)
		return append(append([]byte{0x40}, id.Bytes()...), make([]byte, 100)...)
	}
	is.True(e.deliver(e.header(), flow(7)))
	former := flow(6)
	is.True(!e.deliver(e.header(), former))
	h, datagram := e.read(t, e.entry)
	is.Equal(h.Kind, wrap.Reply)
	is.Equal(h.Caller, e.header().Caller)
	is.Equal(datagram[len(datagram)-tokenSize:], resetToken([fleet.KeySize]byte{9}, former[1:1+connid.Len]))
}
