package deliv

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// plain is a packet format for tests: the head itself travels in a table beside the packets, whose first byte names it.
type plain struct{ heads map[byte]flow.Head }

func (p *plain) Parse(b []byte) (flow.Head, bool) {
	h, ok := p.heads[b[0]]
	return h, ok
}
func (p *plain) Reset(b []byte, h flow.Head) []byte { return append(b, 'R', byte(h.AckNumber)) }
func (p *plain) Restore([]byte)                     {}

type members struct{ table *route.Table }

func (m *members) Table() *route.Table { return m.table }
func (*members) TriggerHeartbeat()     {}
func (*members) NotifyDomain()         {}

type shelf struct{ list []byte }

func (s *shelf) Save(_ context.Context, list []byte) error {
	s.list = list
	return nil
}
func (s *shelf) Load(context.Context) ([]byte, bool, error) { return s.list, s.list != nil, nil }

var (
	client  = netip.MustParseAddrPort("127.0.0.9:4000")
	service = netip.MustParseAddrPort("198.18.0.1:443")
	born    = time.Unix(1_700_000_000, 123_000_000)
)

// world is an agent with sockets in the places of its surroundings.
type world struct {
	*is.I
	agent  *Agent
	format *plain
	table  *members
	shelf  *shelf
	// server, entry, peer and caller are what the agent sends to.
	server, entry, peer, caller *net.UDPConn
}

func newWorld(t *testing.T, first bool) *world {
	w := &world{I: is.New(t), format: &plain{heads: make(map[byte]flow.Head)}, shelf: new(shelf)}
	w.table = &members{table: route.New(5, []route.Route{{
		Name: "r", Address: service, Targets: []route.Target{{Service: "desk", Weight: 1}}, Objective: time.Second, Timeout: 3 * time.Second,
	}}, 10*time.Second)}
	w.server, w.entry, w.peer = ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	hops, clients := ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	w.caller = ptest.Listen(t, netip.AddrPortFrom(client.Addr(), ptest.Addr(clients).Port()).String())
	w.agent = New(Options{
		Hops: hops, Outbound: ptest.Listen(t, "127.0.0.1:0"), Clients: clients, Server: ptest.Addr(w.server), Service: "desk",
		Interval: time.Second, FirstStart: first, Self: ptest.Addr(hops), Format: w.format, Members: w.table, Shelf: w.shelf,
		Log: zap.NewNop(), Flows: zap.NewNop(), Vars: new(expvar.Map),
	})
	return w
}

func (w *world) announce(change func(*server.Announcement)) {
	w.Helper()
	an := server.Announcement{ID: "i-1", Service: "desk", Address: ptest.Addr(w.server), Slots: 1, Sequence: 7, Born: born}
	if change != nil {
		change(&an)
	}
	w.NoErr(w.agent.Announce(an))
}

// from gives the agent a datagram of the entry that carries the packet named id.
func (w *world) from(head hop.Head, id byte, h flow.Head) {
	h.Src, h.Dst = client, service
	w.format.heads[id] = h
	head.Entry, head.Second = ptest.Addr(w.entry), ptest.Addr(w.peer)
	if head.Service == 0 {
		head.Service = route.Number("desk")
	}
	b := make([]byte, 2*hop.Size+1, 2*hop.Size+hop.MaxPacket)
	head.Put(b[hop.Size:])
	b[2*hop.Size] = id
	w.agent.fromHop(ptest.Addr(w.entry), b)
}

// back gives the agent a packet of the server.
func (w *world) back(id byte, h flow.Head) {
	if h.Bounced {
		h.Src, h.Dst = client, service
	} else {
		h.Src, h.Dst = service, client
	}
	w.format.heads[id] = h
	b := make([]byte, hop.Size+1, hop.Size+hop.MaxPacket)
	b[hop.Size] = id
	w.agent.fromServer(ptest.Addr(w.server), b)
}

// next returns what a socket gets, or nil when it gets nothing soon.
func (w *world) next(c *net.UDPConn) []byte {
	w.Helper()
	w.NoErr(c.SetReadDeadline(time.Now().Add(60 * time.Millisecond)))
	buf := make([]byte, 2048)
	n, _, err := c.ReadFromUDPAddrPort(buf)
	if err != nil {
		return nil
	}
	return buf[:n]
}

func (w *world) kind(c *net.UDPConn) hop.Kind {
	w.Helper()
	b := w.next(c)
	if b == nil {
		return 0
	}
	head, _, err := hop.Parse(b)
	w.NoErr(err)
	return head.Kind
}

var (
	syn  = flow.Head{Syn: true}
	ack  = flow.Head{Ack: true}
	data = flow.Head{Ack: true, Seq: 10, Len: 100}
)

func TestNewFlowsNeedAHeartbeat(t *testing.T) {
	w := newWorld(t, true)
	w.from(hop.Head{Kind: hop.Open, Version: 5}, 1, syn)
	w.Equal(w.kind(w.peer), hop.Open) // Passed on.
	w.announce(nil)
	w.from(hop.Head{Kind: hop.Open, Version: 5}, 1, syn)
	w.Equal(w.next(w.server), []byte{1})
}

// The last hop keeps new flows from a server that drains, whatever an entry believes.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.announce(func(a *server.Announcement) { a.Draining, a.Sequence = true, 8 })
	w.from(hop.Head{Kind: hop.Open, Version: 5}, 1, syn)
	w.Equal(w.next(w.server), nil)
	w.Equal(w.kind(w.peer), hop.Open)
	w.from(hop.Head{Kind: hop.Open, Version: 5, Hops: 1}, 1, syn)
	w.Equal(w.next(w.caller), []byte{'R', 0}) // Passed on once already: refused at once.
}

func TestFlowOfAnotherServiceIsNotDelivered(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.from(hop.Head{Kind: hop.Open, Version: 5, Service: route.Number("intake")}, 1, syn)
	w.Equal(w.next(w.server), nil)
}

// An entry with an old configuration can't open a flow on a route that was removed.
func TestRemovedRouteIsNotDelivered(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.table.table = route.New(6, nil, time.Second)
	w.from(hop.Head{Kind: hop.Open, Version: 5}, 1, syn)
	w.Equal(w.next(w.server), nil)
}

func TestFullServerPassesTheFlowOn(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.from(hop.Head{Kind: hop.Open, Version: 5}, 1, syn)
	w.Equal(w.next(w.server), []byte{1})
	w.back(1, flow.Head{Syn: true, Bounced: true})
	w.Equal(w.kind(w.peer), hop.Open)
}

// A flow that was passed on is claimed, so that the entry finds it.
func TestPassedOnFlowIsClaimed(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.from(hop.Head{Kind: hop.Open, Version: 5, Hops: 1}, 1, syn)
	w.back(2, flow.Head{Syn: true, Ack: true})
	w.Equal(w.next(w.caller), []byte{2})
	w.Equal(w.kind(w.entry), hop.Claim)
}

// open opens a flow at the server.
func (w *world) open() {
	w.Helper()
	w.from(hop.Head{Kind: hop.Open, Version: 5}, 1, syn)
	w.Equal(w.next(w.server), []byte{1})
	w.back(2, flow.Head{Syn: true, Ack: true})
	w.Equal(w.next(w.caller), []byte{2})
	w.from(hop.Head{Kind: hop.Carry}, 3, ack)
	w.Equal(w.next(w.server), []byte{3})
}

func (w *world) verdict() seek.Verdict {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	return w.agent.verdict(flow.NewKey(client, service), time.Now())
}

func TestVerdicts(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.Equal(w.verdict(), seek.Denied) // The deployment's first start: the server holds nothing.
	w.open()
	w.Equal(w.verdict(), seek.Opening)
	w.from(hop.Head{Kind: hop.Carry}, 4, data)
	w.back(5, flow.Head{Ack: true, Len: 50})
	w.Equal(w.verdict(), seek.Held)
	w.announce(func(a *server.Announcement) { a.ID, a.Born = "i-2", born.Add(time.Minute) })
	w.Equal(w.verdict(), seek.Denied) // The server has started again.
}

// After a restart the agent can't tell, lets the server decide, and remembers its answer.
func TestRestartedAgentLetsTheServerDecide(t *testing.T) {
	w := newWorld(t, false)
	w.announce(nil)
	w.Equal(w.verdict(), seek.Perhaps)
	w.from(hop.Head{Kind: hop.Probe}, 4, ack)
	w.Equal(w.next(w.server), []byte{4})
	w.back(4, flow.Head{Ack: true, Bounced: true})
	w.Equal(w.kind(w.entry), hop.Return)
	w.Equal(w.verdict(), seek.Denied)
	w.from(hop.Head{Kind: hop.Carry}, 4, ack)
	w.Equal(w.next(w.server), nil) // Not led astray twice.
	w.Equal(w.kind(w.entry), hop.Return)
}

func TestTriedFlowIsClaimedOnceTheServerAnswers(t *testing.T) {
	w := newWorld(t, false)
	w.announce(nil)
	w.from(hop.Head{Kind: hop.Probe}, 4, ack)
	w.back(5, flow.Head{Ack: true, Len: 50})
	w.Equal(w.kind(w.entry), hop.Claim)
	w.Equal(w.verdict(), seek.Held)
}

// A flow that the server had and gives back is lost: its client is told at once.
func TestFlowOfACrashedServerIsReset(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.open()
	w.back(5, flow.Head{Ack: true, Len: 50})
	w.Equal(w.next(w.caller), []byte{5})
	w.back(6, flow.Head{Ack: true, AckNumber: 77, Bounced: true})
	w.Equal(w.next(w.caller), []byte{'R', 77})
}

// Requests beyond the server's slots wait at the agent with all of their packets.
func TestRequestsWaitForASlot(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.open()
	for i := range 1 + spareRequests {
		w.agent.queue.Add(w.agent.request(flow.NewKey(netip.AddrPortFrom(client.Addr(), uint16(5000+i)), service), time.Now()))
		_, ok := w.agent.queue.Next(time.Now(), 1+spareRequests, time.Millisecond)
		w.True(ok)
	}
	w.from(hop.Head{Kind: hop.Carry}, 4, data)
	w.from(hop.Head{Kind: hop.Carry}, 4, data) // A copy.
	w.from(hop.Head{Kind: hop.Carry}, 5, flow.Head{Ack: true, Seq: 110, Len: 20})
	w.Equal(w.next(w.server), nil)
	w.from(hop.Head{Kind: hop.Carry}, 6, ack) // An acknowledgement doesn't wait.
	w.Equal(w.next(w.server), []byte{6})
	w.agent.mu.Lock()
	w.agent.queue.Remove(flow.NewKey(netip.AddrPortFrom(client.Addr(), 5000), service))
	w.agent.dispatch(time.Now())
	w.agent.mu.Unlock()
	w.Equal(w.next(w.server), []byte{4})
	w.Equal(w.next(w.server), []byte{5})
	w.Equal(w.next(w.server), nil)
}

// A list tells flows that are held, and apart from them those that were offered: an entry that takes what is missing
// for denied must not reset a flow whose handshake is under way.
func TestListTellsOfferedFlows(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.open()
	w.agent.mu.Lock()
	w.agent.list(ptest.Addr(w.entry), hop.Part{Question: 9}.Append(nil), time.Now())
	w.agent.mu.Unlock()
	head, body, err := hop.Parse(w.next(w.entry))
	w.NoErr(err)
	w.Equal(head.Verdict, seek.Opening)
	part, keys, err := hop.ParsePart(body)
	w.NoErr(err)
	w.Equal(part, hop.Part{Question: 9, Index: 0, Total: 2})
	w.Equal(keys, []flow.Key{flow.NewKey(client, service)})
	head, body, err = hop.Parse(w.next(w.entry))
	w.NoErr(err)
	w.Equal(head.Verdict, seek.Held)
	w.Equal(head.Hops, uint8(hop.Whole))
	part, keys, err = hop.ParsePart(body)
	w.NoErr(err)
	w.Equal(part, hop.Part{Question: 9, Index: 1, Total: 2})
	w.Equal(len(keys), 0)
}

// The list that an agent saves is recognized by the one that comes after it: the server's birth has a fraction of a
// second.
func TestSavedListIsTakenOver(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.open()
	w.back(5, flow.Head{Ack: true, Len: 50})
	w.agent.SaveList()
	w.True(w.shelf.list != nil)

	after := newWorld(t, false)
	after.shelf.list = w.shelf.list
	after.announce(func(a *server.Announcement) { a.Sequence = 30 })
	after.agent.loadList(context.Background())
	after.Equal(after.verdict(), seek.Held)

	other := newWorld(t, false)
	other.shelf.list = w.shelf.list
	other.announce(func(a *server.Announcement) { a.Born = born.Add(time.Second) })
	other.agent.loadList(context.Background())
	other.Equal(other.verdict(), seek.Denied)
	other.Equal(other.next(other.caller), []byte{'R', 50}) // The flow died with that start: its client is told.
}

// Clients learn at once that their flows are lost, also while these are idle.
func TestClientsLearnThatTheServerStartedAgain(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.open()
	w.back(5, flow.Head{Ack: true, Seq: 7, Len: 50})
	w.Equal(w.next(w.caller), []byte{5})
	w.announce(func(a *server.Announcement) { a.ID, a.Born = "i-2", born.Add(time.Minute) })
	w.Equal(w.next(w.caller), []byte{'R', 57})
}

func TestClientsLearnThatTheServerLeft(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.open()
	w.back(5, flow.Head{Ack: true, Seq: 7, Len: 50})
	w.Equal(w.next(w.caller), []byte{5})
	w.agent.Withdraw("i-0")
	w.Equal(w.next(w.caller), nil)
	w.agent.Withdraw("i-1")
	w.Equal(w.next(w.caller), []byte{'R', 57})
}

// A flow that the agent learns from the server's packets before the server's first heartbeat is a flow of that server:
// the first heartbeat after a restart of the agent is no start of the server.
func TestFirstHeartbeatKeepsLearnedFlows(t *testing.T) {
	w := newWorld(t, false)
	w.back(5, flow.Head{Ack: true, Len: 50})
	w.Equal(w.next(w.caller), []byte{5})
	w.announce(nil)
	w.Equal(w.verdict(), seek.Held)
	w.from(hop.Head{Kind: hop.Carry}, 6, ack)
	w.Equal(w.next(w.server), []byte{6})
	w.Equal(w.next(w.caller), nil) // No reset.
}

// Flows that the server has accepted count as load before they carry anything: 40 clients that open flows at once would
// otherwise all be sent to the same server.
func TestUnusedFlowsCountAsLoad(t *testing.T) {
	w := newWorld(t, true)
	w.announce(nil)
	w.from(hop.Head{Kind: hop.Open}, 1, syn)
	w.Equal(w.agent.Load().Flows, 0)
	w.back(2, flow.Head{Syn: true, Ack: true})
	w.Equal(w.agent.Load().Flows, 1)
	w.back(2, flow.Head{Syn: true, Ack: true})
	w.from(hop.Head{Kind: hop.Carry}, 3, ack)
	w.back(4, ack)
	w.Equal(w.agent.Load().Flows, 1)
	w.from(hop.Head{Kind: hop.Carry}, 5, flow.Head{Rst: true})
	w.Equal(w.agent.Load().Flows, 0)
}
