package relay

import (
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// plain is a packet format for tests: a packet's first byte names its head.
type plain struct{ heads map[byte]flow.Head }

func (p *plain) Parse(b []byte) (flow.Head, bool) {
	h, ok := p.heads[b[0]]
	return h, ok
}
func (p *plain) Reset(b []byte, _ flow.Head) []byte { return append(b, 'R') }

// members is what the entry knows, set by tests.
type members struct {
	table   *route.Table
	age     time.Duration
	members []pick.Member
	holders []seek.Candidate
	all     []seek.Candidate
	dead    map[netip.AddrPort]bool
	alone   bool
	asked   int
}

func (m *members) Table() *route.Table                       { return m.table }
func (m *members) ConfigAge() time.Duration                  { return m.age }
func (m *members) RefreshConfig()                            { m.asked++ }
func (m *members) Agents(uint64) []pick.Member               { return m.members }
func (m *members) PossibleHolders([]uint64) []seek.Candidate { return m.holders }
func (m *members) AllAgents(int) ([]seek.Candidate, bool)    { return m.all, true }
func (m *members) RecordSent(netip.AddrPort)                 {}
func (m *members) Dead(a netip.AddrPort) bool                { return m.dead[a] }
func (m *members) AcceptsNewFlows() bool                     { return len(m.members) > 0 }
func (m *members) AllAgentsKnown() bool                      { return !m.alone }

var (
	client  = netip.MustParseAddrPort("127.0.0.9:4000")
	service = netip.MustParseAddrPort("198.18.0.1:443")
	key     = flow.NewKey(client, service)
)

// world is an entry with sockets in the places of two agents and a caller.
type world struct {
	*is.I
	relay    *Relay
	format   *plain
	members  *members
	one, two *net.UDPConn
	caller   *net.UDPConn
}

func newWorld(t *testing.T) *world {
	w := &world{I: is.New(t), format: &plain{heads: make(map[byte]flow.Head)}}
	w.one, w.two = ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	clients, hops := ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	w.caller = ptest.Listen(t, netip.AddrPortFrom(client.Addr(), ptest.Addr(clients).Port()).String())
	w.members = &members{
		table: route.New(5, []route.Route{{Name: "r", Address: service, Targets: []route.Target{{Service: "desk", Weight: 1}}}}, time.Second),
		members: []pick.Member{
			{Agent: ptest.Addr(w.one), Near: true, Ready: true, Load: pick.Load{Slots: 4}},
			{Agent: ptest.Addr(w.two), Near: true, Ready: true, Load: pick.Load{Slots: 4, Flows: 50, Pending: 9}},
		},
		holders: []seek.Candidate{{Agent: ptest.Addr(w.one)}, {Agent: ptest.Addr(w.two)}},
		all:     []seek.Candidate{{Agent: ptest.Addr(w.one)}, {Agent: ptest.Addr(w.two)}},
		dead:    make(map[netip.AddrPort]bool),
	}
	w.relay = New(Options{
		Clients: clients, Hops: hops, Self: ptest.Addr(hops), Format: w.format, Members: w.members,
		Log: zap.NewNop(), Flows: zap.NewNop(), Vars: new(expvar.Map),
	})
	return w
}

// packet gives the entry a caller's packet named id.
func (w *world) packet(id byte, h flow.Head) {
	h.Src, h.Dst = client, service
	w.format.heads[id] = h
	b := make([]byte, hop.Size+1, hop.Size+hop.MaxPacket)
	b[hop.Size] = id
	w.relay.fromClient(b)
}

// says gives the entry an agent's word of the flow.
func (w *world) says(from *net.UDPConn, head hop.Head, keys ...flow.Key) {
	part := hop.Part{Total: 1}
	if l := w.relay.lists[ptest.Addr(from)]; l != nil {
		part.Question = l.question
	}
	w.part(from, head, part, keys...)
}

// part gives the entry a part of an agent's list.
func (w *world) part(from *net.UDPConn, head hop.Head, part hop.Part, keys ...flow.Key) {
	b := make([]byte, hop.Size)
	head.Put(b)
	if head.Kind == hop.Listed {
		b = part.Append(b)
	}
	for _, k := range keys {
		b = k.Append(b)
	}
	w.relay.fromHop(ptest.Addr(from), b)
}

// next returns what a socket gets, or no kind when it gets nothing soon.
func (w *world) next(c *net.UDPConn) (hop.Kind, []byte) {
	w.Helper()
	w.NoErr(c.SetReadDeadline(time.Now().Add(60 * time.Millisecond)))
	buf := make([]byte, 2048)
	n, _, err := c.ReadFromUDPAddrPort(buf)
	if err != nil {
		return 0, nil
	}
	head, body, err := hop.Parse(buf[:n])
	if err != nil {
		return 0, buf[:n]
	}
	return head.Kind, body
}

func (w *world) kind(c *net.UDPConn) hop.Kind {
	w.Helper()
	k, _ := w.next(c)
	return k
}

func (w *world) isReset() bool {
	w.Helper()
	_, b := w.next(w.caller)
	return string(b) == "R"
}

var (
	syn = flow.Head{Syn: true}
	ack = flow.Head{Ack: true}
)

func TestOpenedFlowStaysAtItsAgent(t *testing.T) {
	w := newWorld(t)
	w.packet(1, syn)
	w.Equal(w.kind(w.one), hop.Open)
	w.packet(2, ack)
	w.Equal(w.kind(w.one), hop.Carry)
}

// A copy of an opening packet shows that the first agent did not answer: it goes to another one.
func TestCopyOfAnOpeningPacketGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	w.packet(1, syn)
	w.Equal(w.kind(w.one), hop.Open)
	w.packet(2, flow.Head{Syn: true, AckNumber: 1})
	w.Equal(w.kind(w.two), hop.Open)
}

func TestUnknownRouteIsRefusedOnlyByAFreshConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members.table = route.New(6, nil, time.Second)
	w.members.age = time.Hour
	w.packet(1, syn)
	w.True(!w.isReset())
	w.Equal(w.members.asked, 1)
	w.members.age = 0
	w.packet(1, syn)
	w.True(w.isReset())
}

func TestNoServerRefusesWithTheLastCopy(t *testing.T) {
	w := newWorld(t)
	w.members.members = nil
	w.packet(1, syn)
	w.True(!w.isReset())
	w.packet(2, flow.Head{Syn: true, AckNumber: lastCopy})
	w.True(w.isReset())
}

// An entry that lacks a flow asks the agents for all of theirs, and carries the packet to the one that holds it.
func TestFlowIsFoundByAList(t *testing.T) {
	w := newWorld(t)
	w.packet(1, ack)
	w.Equal(w.kind(w.one), hop.List)
	w.Equal(w.kind(w.two), hop.List)
	w.says(w.two, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held}, key)
	k, body := w.next(w.two)
	w.Equal(k, hop.Carry)
	w.Equal(body, []byte{1})
}

func TestFlowThatAllDenyIsReset(t *testing.T) {
	w := newWorld(t)
	core, seen := observer.New(zapcore.InfoLevel)
	w.relay.opts.Flows = zap.New(core)
	w.packet(1, ack)
	for _, c := range []*net.UDPConn{w.one, w.two} {
		w.says(c, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	}
	w.True(w.isReset())
	lost := seen.FilterMessage("flow is lost: no agent holds it").All()
	w.Equal(len(lost), 1)
	again, err := seek.ParseTrace(lost[0].ContextMap()["answers"].(string), time.Now())
	w.NoErr(err)
	w.Equal(again.Next(time.Now()).Action, seek.Lost) // The line has what the verdict rests on.
}

// A list that was asked for before the flow's packet came denies nothing: the flow may have been opened since.
func TestEarlierListDeniesNothing(t *testing.T) {
	w := newWorld(t)
	w.packet(1, ack)
	time.Sleep(2 * time.Millisecond)
	w.format.heads[2] = flow.Head{Ack: true, Src: netip.AddrPortFrom(client.Addr(), 4001), Dst: service}
	b := make([]byte, hop.Size+1, hop.Size+hop.MaxPacket)
	b[hop.Size] = 2
	w.relay.fromClient(b)
	later := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	for _, c := range []*net.UDPConn{w.one, w.two} {
		w.says(c, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held}, key)
	}
	w.relay.mu.Lock()
	defer w.relay.mu.Unlock()
	s := w.relay.searches[later]
	w.True(s != nil)
	w.True(s.Missing(ptest.Addr(w.one)))
}

// A flow that was only offered is never lost while its agent says so.
func TestOfferedFlowIsNotReset(t *testing.T) {
	w := newWorld(t)
	w.packet(1, ack)
	q := w.relay.lists[ptest.Addr(w.one)].question
	w.part(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Opening}, hop.Part{Question: q, Total: 2}, key)
	w.part(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held}, hop.Part{Question: q, Index: 1, Total: 2})
	w.says(w.two, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	w.Equal(w.kind(w.one), hop.List)
	w.Equal(w.kind(w.one), hop.Probe)
	w.True(!w.isReset())
}

// An entry that hears few of the others is the one that is cut off: it resets nothing.
func TestEntryAloneResetsNothing(t *testing.T) {
	w := newWorld(t)
	w.members.alone = true
	w.packet(1, ack)
	for _, c := range []*net.UDPConn{w.one, w.two} {
		w.says(c, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	}
	w.True(!w.isReset())
}

// A flow whose route's services deny it may be at a service that an earlier configuration named.
func TestFlowOfAnEarlierConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members.holders = w.members.holders[:1]
	w.packet(1, ack)
	w.says(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	w.Equal(w.kind(w.two), hop.List)
	w.says(w.two, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held}, key)
	w.Equal(w.kind(w.two), hop.Carry)
	w.True(!w.isReset())
}

// Without any configuration, open flows are still found; new ones wait.
func TestOpenFlowWithoutAConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members.table, w.members.age = nil, time.Hour
	w.packet(1, ack)
	w.Equal(w.kind(w.one), hop.List)
	w.packet(2, syn)
	w.True(!w.isReset())
}

func TestReturnedPacketIsLookedFor(t *testing.T) {
	w := newWorld(t)
	w.packet(1, syn)
	w.Equal(w.kind(w.one), hop.Open)
	w.packet(2, ack)
	w.Equal(w.kind(w.one), hop.Carry)
	b := make([]byte, hop.Size+1)
	head := hop.Head{Kind: hop.Return}
	head.Put(b)
	b[hop.Size] = 2
	w.relay.fromHop(ptest.Addr(w.one), b)
	w.Equal(w.kind(w.two), hop.List)
	w.says(w.two, hop.Head{Kind: hop.Answer, Verdict: seek.Held}, key)
	w.Equal(w.kind(w.two), hop.Carry)
}

// An agent of another service that has this configuration can't have opened a flow of the route since it told all of its
// flows: it is not asked again.
func TestListOfAnotherServiceStaysTrue(t *testing.T) {
	w := newWorld(t)
	w.members.holders = w.members.holders[:1]
	w.relay.lists[ptest.Addr(w.two)] = &listing{asked: time.Now(), complete: true, whole: true, version: 5, keys: map[flow.Key]struct{}{}}
	w.packet(1, ack)
	w.says(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	w.Equal(w.kind(w.two), hop.Kind(0))
	w.True(w.isReset())
}

func TestReadyOnlyWhenAFlowCouldBeServed(t *testing.T) {
	w := newWorld(t)
	w.True(w.relay.Ready())
	w.members.members = nil
	w.True(!w.relay.Ready())
	w.members.members = []pick.Member{{}}
	w.members.table = nil
	w.True(!w.relay.Ready())
}

// A list that has the flow comes from an agent of another service while the route's own agents are still asked: the flow
// is not lost when these deny it.
func TestListOfAnotherServiceNamesTheFlow(t *testing.T) {
	w := newWorld(t)
	w.members.holders = w.members.holders[:1]
	w.relay.lists[ptest.Addr(w.two)] = &listing{asked: time.Now(), keys: map[flow.Key]struct{}{}}
	w.packet(1, ack)
	w.says(w.two, hop.Head{Kind: hop.Listed, Version: 5, Hops: hop.Whole, Verdict: seek.Held}, key)
	w.says(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	w.Equal(w.kind(w.two), hop.Carry)
	w.True(!w.isReset())
}

// Nor is it lost when the entry has forgotten it since that list.
func TestListedFlowIsAskedForAgain(t *testing.T) {
	w := newWorld(t)
	w.members.holders = w.members.holders[:1]
	w.relay.lists[ptest.Addr(w.two)] = &listing{asked: time.Now(), complete: true, whole: true, version: 5, keys: map[flow.Key]struct{}{key: {}}}
	w.packet(1, ack)
	w.says(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	w.Equal(w.kind(w.two), hop.Ask)
	w.True(!w.isReset())
}

// A list of which a part is lost, or that answers an earlier question, denies nothing.
func TestIncompleteListDeniesNothing(t *testing.T) {
	w := newWorld(t)
	w.packet(1, ack)
	w.says(w.two, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held})
	q := w.relay.lists[ptest.Addr(w.one)].question
	w.part(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held}, hop.Part{Question: q, Index: 1, Total: 2})
	w.part(w.one, hop.Head{Kind: hop.Listed, Hops: hop.Whole, Verdict: seek.Held}, hop.Part{Question: q - 1, Total: 1})
	w.True(w.relay.searches[key].Missing(ptest.Addr(w.one)))
	w.True(!w.isReset())
}
