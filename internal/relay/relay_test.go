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

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// fakeCodec is a Codec in which the first byte of a packet selects its header.
type fakeCodec struct{ headers map[byte]flow.Header }

func (c *fakeCodec) Parse(b []byte) (flow.Header, bool) {
	h, ok := c.headers[b[0]]
	return h, ok
}
func (c *fakeCodec) Reset(b []byte, _ flow.Header) []byte { return append(b, 'R') }

// fakeCluster is a Cluster whose state is set by tests.
type fakeCluster struct {
	refused         []netip.AddrPort
	table           *route.Table
	age             time.Duration
	agents          []pick.Candidate
	possibleHolders []seek.Candidate
	allAgents       []seek.Candidate
	dead            map[netip.AddrPort]bool
	isolated        bool
	refreshes       int
}

func (c *fakeCluster) Table() *route.Table                       { return c.table }
func (c *fakeCluster) ConfigAge() time.Duration                  { return c.age }
func (c *fakeCluster) RefreshConfig()                            { c.refreshes++ }
func (c *fakeCluster) Agents(uint64) []pick.Candidate            { return c.agents }
func (c *fakeCluster) PossibleHolders([]uint64) []seek.Candidate { return c.possibleHolders }
func (c *fakeCluster) AllAgents(int) ([]seek.Candidate, bool)    { return c.allAgents, true }
func (c *fakeCluster) RecordOpen(netip.AddrPort)                 {}
func (c *fakeCluster) RecordRefusal(a netip.AddrPort)            { c.refused = append(c.refused, a) }
func (c *fakeCluster) Dead(a netip.AddrPort) bool                { return c.dead[a] }
func (c *fakeCluster) AcceptsNewFlows() bool                     { return len(c.agents) > 0 }
func (c *fakeCluster) AllAgentsKnown() bool                      { return !c.isolated }

var (
	client  = netip.MustParseAddrPort("127.0.0.9:4000")
	service = netip.MustParseAddrPort("198.18.0.1:443")
	key     = flow.NewKey(client, service)
)

// testRelay is a Relay with sockets that stand for two agents and a client.
type testRelay struct {
	*is.I
	relay          *Relay
	codec          *fakeCodec
	cluster        *fakeCluster
	agentA, agentB *net.UDPConn
	client         *net.UDPConn
}

func newTestRelay(t *testing.T) *testRelay {
	tr := &testRelay{I: is.New(t), codec: &fakeCodec{headers: make(map[byte]flow.Header)}}
	tr.agentA, tr.agentB = ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	clientConn, encapConn := ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	tr.client = ptest.Listen(t, netip.AddrPortFrom(client.Addr(), ptest.Addr(clientConn).Port()).String())
	tr.cluster = &fakeCluster{
		table: route.NewTable(5, []route.Route{{Name: "r", Address: service, Targets: []route.Target{{Service: "desk", Weight: 1}}}}, time.Second),
		agents: []pick.Candidate{
			{Agent: ptest.Addr(tr.agentA), SameDomain: true, Ready: true, Load: pick.Load{Slots: 4}},
			{Agent: ptest.Addr(tr.agentB), SameDomain: true, Ready: true, Load: pick.Load{Slots: 4, Flows: 50, PendingRequests: 9}},
		},
		possibleHolders: []seek.Candidate{{Agent: ptest.Addr(tr.agentA)}, {Agent: ptest.Addr(tr.agentB)}},
		allAgents:       []seek.Candidate{{Agent: ptest.Addr(tr.agentA)}, {Agent: ptest.Addr(tr.agentB)}},
		dead:            make(map[netip.AddrPort]bool),
	}
	tr.relay = New(Options{
		ClientConn: clientConn, EncapConn: encapConn, Self: ptest.Addr(encapConn), Codec: tr.codec, Cluster: tr.cluster,
		Log: zap.NewNop(), FlowLog: zap.NewNop(), Vars: new(expvar.Map),
	})
	return tr
}

// sendFromClient passes a client packet with header h to the relay. id identifies the packet in its first byte.
func (tr *testRelay) sendFromClient(id byte, h flow.Header) {
	h.Src, h.Dst = client, service
	tr.codec.headers[id] = h
	b := make([]byte, encap.HeaderSize+1, encap.HeaderSize+encap.MaxPacketSize)
	b[encap.HeaderSize] = id
	tr.relay.handleClientPacket(b)
}

// returnFromAgent passes the client packet id to the relay as returned by an agent.
func (tr *testRelay) returnFromAgent(from *net.UDPConn, id byte) {
	b := make([]byte, encap.HeaderSize+1, encap.HeaderSize+encap.MaxPacketSize)
	(&encap.Header{Kind: encap.Return}).Encode(b)
	b[encap.HeaderSize] = id
	tr.relay.handleDatagram(ptest.Addr(from), b)
}

// sendFromAgent passes a datagram of an agent to the relay. A list reply has a single part and answers the latest request.
func (tr *testRelay) sendFromAgent(from *net.UDPConn, header encap.Header, keys ...flow.Key) {
	part := encap.ListPart{Total: 1}
	if l := tr.relay.lists[ptest.Addr(from)]; l != nil {
		part.RequestID = l.requestID
	}
	tr.sendListPart(from, header, part, keys...)
}

// sendListPart passes one part of an agent's list reply to the relay.
func (tr *testRelay) sendListPart(from *net.UDPConn, header encap.Header, part encap.ListPart, keys ...flow.Key) {
	b := make([]byte, encap.HeaderSize)
	header.Encode(b)
	if header.Kind == encap.ListReply {
		b = part.Append(b)
	}
	for _, k := range keys {
		b = k.Append(b)
	}
	tr.relay.handleDatagram(ptest.Addr(from), b)
}

// receive returns the kind and body of the next datagram at a socket; the kind is 0 if none arrives within 60 ms or if
// it has no encapsulation header.
func (tr *testRelay) receive(conn *net.UDPConn) (encap.Kind, []byte) {
	tr.Helper()
	tr.NoErr(conn.SetReadDeadline(time.Now().Add(60 * time.Millisecond)))
	buf := make([]byte, 2048)
	n, _, err := conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return 0, nil
	}
	header, body, err := encap.Parse(buf[:n])
	if err != nil {
		return 0, buf[:n]
	}
	return header.Kind, body
}

func (tr *testRelay) receiveKind(conn *net.UDPConn) encap.Kind {
	tr.Helper()
	kind, _ := tr.receive(conn)
	return kind
}

func (tr *testRelay) receivesReset() bool {
	tr.Helper()
	_, b := tr.receive(tr.client)
	return string(b) == "R"
}

var (
	syn = flow.Header{Syn: true}
	// data is of a client that waits for the answer.
	data = flow.Header{Ack: true, Len: 100}
)

func TestOpenedFlowStaysAtItsAgent(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
}

// A SYN retransmission means that the first agent didn't reply, so it must go to another one.
func TestRetransmittedSYNGoesToAnotherAgent(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, flow.Header{Syn: true, AckNumber: 1})
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
}

// Guards against an open flow whose packets go to another agent, and that gets a reset if that one refuses it: a retransmission
// of its SYN may be overtaken by the client's next packet.
func TestLateRetransmissionDoesNotMoveOpenFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.sendFromClient(3, flow.Header{Syn: true, AckNumber: 1})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.sendFromClient(4, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.relay.flows.Peek(key).openSince = time.Now().Add(-10 * maxOpeningTime) // The copy has waited at a link.
	tr.sendFromClient(5, flow.Header{Syn: true, AckNumber: 2})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.sendFromClient(6, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.cluster.agents[0].Ready = false
	tr.sendFromClient(7, flow.Header{Syn: true, Seq: 900_000, AckNumber: 1}) // A new flow with the same key.
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
}

// Guards against the same at an entry that didn't open the flow: it found the agent by a search, or in a list that it requested
// for another flow.
func TestLateRetransmissionDoesNotMoveFlowOpenedElsewhere(t *testing.T) {
	for _, listed := range []bool{false, true} {
		tr := newTestRelay(t)
		if listed {
			tr.relay.handleListedFlow(ptest.Addr(tr.agentA), key, encap.Header{Verdict: seek.Held}, time.Now())
		} else {
			tr.sendFromClient(1, data)
			tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
			tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
			tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
			tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
		}
		tr.sendFromClient(2, flow.Header{Syn: true, AckNumber: 1})
		tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
		tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
		tr.sendFromClient(3, data)
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	}
}

func TestUnknownRouteIsResetOnlyWithFreshConfiguration(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.table = route.NewTable(6, nil, time.Second)
	tr.cluster.age = time.Hour
	tr.sendFromClient(1, syn)
	tr.True(!tr.receivesReset())
	tr.Equal(tr.cluster.refreshes, 1)
	tr.cluster.age = 0
	tr.sendFromClient(1, syn)
	tr.True(tr.receivesReset())
}

// Right after a start of all processes an entry knows no agent. A refusal would use up one of the client's retries, and its next
// SYN would come too early as well: the first SYN must be sent as soon as an agent accepts flows.
func TestSynIsHeldUntilAnAgentAcceptsFlows(t *testing.T) {
	tr := newTestRelay(t)
	agents := tr.cluster.agents
	tr.cluster.agents = nil
	tr.sendFromClient(1, syn)
	tr.sendFromClient(2, flow.Header{Syn: true, AckNumber: 2})
	tr.relay.releaseHeld()
	tr.True(!tr.receivesReset())
	tr.cluster.agents = agents
	tr.relay.releaseHeld()
	k, body := tr.receive(tr.agentA)
	tr.Equal(k, encap.Open)
	tr.Equal(body, []byte{1})
	tr.relay.releaseHeld()
	tr.Equal(tr.receiveKind(tr.agentA), encap.Kind(0)) // Sent once.
}

func TestHeldSynIsRefusedBeforeClientGivesUp(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.agents = nil
	for i := range uint32(maxSynCopies) {
		tr.sendFromClient(byte(i+1), flow.Header{Syn: true, AckNumber: i})
	}
	tr.relay.held[key].since = time.Now().Add(-maxHoldTime)
	tr.relay.releaseHeld()
	tr.True(tr.receivesReset())
	tr.Equal(len(tr.relay.held), 0)
}

// A slow server's response to the first SYN may open the flow while the entry holds a copy. The copy must neither be sent to another
// agent nor end in a reset of the open flow.
func TestHeldSynOfFlowThatHasOpenedIsDropped(t *testing.T) {
	for _, open := range []func(*testRelay){
		func(tr *testRelay) { tr.sendFromClient(3, data) },
		func(tr *testRelay) { tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.Claim}, key) },
	} {
		tr := newTestRelay(t)
		agents := tr.cluster.agents
		tr.sendFromClient(1, syn)
		tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
		tr.cluster.agents = nil
		tr.sendFromClient(2, flow.Header{Syn: true, AckNumber: 1})
		tr.Equal(len(tr.relay.held), 1)
		open(tr)
		tr.Equal(len(tr.relay.held), 0)
		tr.cluster.agents = agents[1:]
		tr.relay.releaseHeld()
		tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	}
}

// A server may still respond to an earlier copy of the SYN, through another entry: only a SYN that was sent to no agent is refused.
func TestHeldSynThatWasSentBeforeIsNotRefused(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.cluster.agents = nil
	tr.sendFromClient(2, flow.Header{Syn: true, AckNumber: 1})
	tr.relay.held[key].since = time.Now().Add(-maxHoldTime)
	tr.relay.releaseHeld()
	tr.True(!tr.receivesReset())
	tr.Equal(len(tr.relay.held), 0)
}

// A copy of the SYN that comes back after another server has accepted the flow must not move it, nor count as a refusal by that server.
func TestReturnedSynOfClaimedFlowIsIgnored(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.Claim}, key)
	tr.returnFromAgent(tr.agentA, 1)
	tr.Equal(tr.cluster.refused, []netip.AddrPort{ptest.Addr(tr.agentA)})
	tr.Equal(tr.relay.flows.Peek(key).agent, ptest.Addr(tr.agentB))
}

// While most servers of a service are down, the first choice and its fallback may both have crashed.
func TestReturnedSynIsSentToAnotherAgent(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.returnFromAgent(tr.agentA, 1)
	tr.Equal(tr.cluster.refused[0], ptest.Addr(tr.agentA))
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
	tr.True(!tr.receivesReset())
	for range maxRefusals {
		tr.returnFromAgent(tr.agentB, 1)
	}
	tr.Equal(len(tr.relay.held), 1) // Kept for a later try instead of being sent around.
}

// The SYN that a crashed server returned may come back after a copy of it has opened the flow elsewhere.
func TestLateReturnedSynDoesNotMoveOpenFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.returnFromAgent(tr.agentB, 1)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Kind(0))
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
}

// A packet of an unknown flow must trigger list requests and then be forwarded to the agent that lists the flow.
func TestFlowIsFoundByAList(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
	k, body := tr.receive(tr.agentB)
	tr.Equal(k, encap.Forward)
	tr.Equal(body, []byte{1})
}

func TestFlowDeniedByAllAgentsIsReset(t *testing.T) {
	tr := newTestRelay(t)
	core, logs := observer.New(zapcore.InfoLevel)
	tr.relay.opts.FlowLog = zap.New(core)
	tr.sendFromClient(1, data)
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	}
	tr.True(tr.receivesReset())
	entries := logs.FilterMessage("flow is lost: no agent holds it").All()
	tr.Equal(len(entries), 1)
	parsed, err := seek.ParseTrace(entries[0].ContextMap()["answers"].(string), time.Now())
	tr.NoErr(err)
	tr.Equal(parsed.Next(time.Now()).Action, seek.Lost) // The logged trace reproduces the decision.
}

// A list requested before the flow's packet arrived must not deny the flow, which may have been opened since.
func TestListRequestedEarlierDoesNotDenyFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	time.Sleep(2 * time.Millisecond)
	tr.codec.headers[2] = flow.Header{Ack: true, Len: 100, Src: netip.AddrPortFrom(client.Addr(), 4001), Dst: service}
	b := make([]byte, encap.HeaderSize+1, encap.HeaderSize+encap.MaxPacketSize)
	b[encap.HeaderSize] = 2
	tr.relay.handleClientPacket(b)
	laterKey := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
	}
	tr.relay.mu.Lock()
	defer tr.relay.mu.Unlock()
	s := tr.relay.searches[laterKey]
	tr.True(s != nil)
	tr.True(s.Awaits(ptest.Addr(tr.agentA)))
}

// A flow that its agent lists as opening must be probed and not reset.
func TestOpeningFlowIsProbedAndNotReset(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	requestID := tr.relay.lists[ptest.Addr(tr.agentA)].requestID
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Opening}, encap.ListPart{RequestID: requestID, Total: 2}, key)
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, encap.ListPart{RequestID: requestID, Index: 1, Total: 2})
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Probe)
	tr.True(!tr.receivesReset())
}

// An entry that reaches only a few processes is probably partitioned and must not reset flows.
func TestIsolatedEntryDoesNotResetFlows(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.isolated = true
	tr.sendFromClient(1, data)
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	}
	tr.True(!tr.receivesReset())
}

// A flow that all agents of its route deny may be held by a service that an earlier configuration routed it to.
func TestFlowOfEarlierConfigurationIsFound(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.possibleHolders = tr.cluster.possibleHolders[:1]
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	tr.True(!tr.receivesReset())
}

// Without a configuration, packets of open flows must still start a search, and a SYN must not be reset.
func TestOpenFlowIsSearchedWithoutConfiguration(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.table, tr.cluster.age = nil, time.Hour
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.sendFromClient(2, syn)
	tr.True(!tr.receivesReset())
}

func TestReturnedPacketStartsASearch(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	b := make([]byte, encap.HeaderSize+1)
	header := encap.Header{Kind: encap.Return}
	header.Encode(b)
	b[encap.HeaderSize] = 2
	tr.relay.handleDatagram(ptest.Addr(tr.agentA), b)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
}

// An agent of another service that had the current configuration when it sent its list can't have opened a flow of the
// route since, so it must not be queried again.
func TestListOfAnotherServiceStaysValid(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.possibleHolders = tr.cluster.possibleHolders[:1]
	tr.relay.lists[ptest.Addr(tr.agentB)] = &flowList{requestedAt: time.Now(), complete: true, exhaustive: true, version: 5, keys: map[flow.Key]struct{}{}}
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.True(tr.receivesReset())
}

func TestReadyRequiresConfigurationAndAgents(t *testing.T) {
	tr := newTestRelay(t)
	tr.True(tr.relay.Ready())
	tr.cluster.agents = nil
	tr.True(!tr.relay.Ready())
	tr.cluster.agents = []pick.Candidate{{}}
	tr.cluster.table = nil
	tr.True(!tr.relay.Ready())
}

// If an agent of another service lists the flow while the route's agents are still being queried, denials of the latter
// must not reset the flow.
func TestFlowListedByAnotherServiceIsNotReset(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.possibleHolders = tr.cluster.possibleHolders[:1]
	tr.relay.lists[ptest.Addr(tr.agentB)] = &flowList{requestedAt: time.Now(), keys: map[flow.Key]struct{}{}}
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Version: 5, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	tr.True(!tr.receivesReset())
}

// If an earlier list contains the flow but the flow table no longer does, the agent must be queried again.
func TestListedFlowIsQueriedAgain(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.possibleHolders = tr.cluster.possibleHolders[:1]
	tr.relay.lists[ptest.Addr(tr.agentB)] = &flowList{requestedAt: time.Now(), complete: true, exhaustive: true, version: 5, keys: map[flow.Key]struct{}{key: {}}}
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.Equal(tr.receiveKind(tr.agentB), encap.Query)
	tr.True(!tr.receivesReset())
}

// A list with a lost part, or one that answers an earlier request, must not deny the flow.
func TestIncompleteListDoesNotDenyFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	requestID := tr.relay.lists[ptest.Addr(tr.agentA)].requestID
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, encap.ListPart{RequestID: requestID, Index: 1, Total: 2})
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, encap.ListPart{RequestID: requestID - 1, Total: 1})
	tr.True(tr.relay.searches[key].Awaits(ptest.Addr(tr.agentA)))
	tr.True(!tr.receivesReset())
}

// Guards against the reset of an open flow: a search that began while the flow's agent was dead must await its reply once it
// is back.
func TestResumedSearchAwaitsAgentThatIsBack(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.possibleHolders[0].Dead, tr.cluster.allAgents[0].Dead = true, true
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.relay.mu.Lock()
	tr.relay.pauseSearch(key, tr.relay.searches[key], "test", time.Now()) // B hasn't replied.
	tr.relay.mu.Unlock()
	tr.cluster.possibleHolders[0].Dead, tr.cluster.allAgents[0].Dead = false, false
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
	tr.True(!tr.receivesReset())
}

// Load pattern: all machines lose power while requests run. Their clients retransmit less and less often; one whose flow is lost must be
// told as soon as all agents are known, while it has the time for another try.
func TestPausedSearchGoesOnWithoutClient(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.isolated = true
	tr.sendFromClient(1, data)
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	}
	s := tr.relay.searches[key]
	tr.relay.resumeUnattended(key, s)
	tr.True(!tr.receivesReset())
	tr.cluster.isolated = false
	tr.relay.resumeUnattended(key, s)
	tr.Equal(len(tr.relay.searches), 1) // The agents are asked again: they may have learned more since.
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
	}
	tr.True(tr.receivesReset())
	tr.Equal(len(tr.relay.searches), 0)
}

// A client may open a new flow from the port of a lost one. What agents said of the old flow must not reset the new one.
func TestSearchWithoutClientEndsWithNewFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.isolated = true
	tr.sendFromClient(1, data)
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	}
	s := tr.relay.searches[key]
	tr.sendFromClient(2, syn)
	tr.cluster.isolated = false
	tr.relay.resumeUnattended(key, s)
	tr.True(!tr.receivesReset())
	tr.Equal(len(tr.relay.searches), 0)
}

// A client's packet is sent to a server that may not hold its flow only when the client has just sent it.
func TestSearchWithoutClientDoesNotProbe(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.relay.mu.Lock()
	s := tr.relay.searches[key]
	tr.relay.pauseSearch(key, s, "test", time.Now())
	tr.relay.mu.Unlock()
	tr.relay.resumeUnattended(key, s)
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.QueryReply, Verdict: seek.Perhaps}, key)
	}
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		for k := tr.receiveKind(c); k != 0; k = tr.receiveKind(c) {
			tr.True(k == encap.ListFlows || k == encap.Query)
		}
	}
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
	tr.Equal(len(tr.relay.searches), 0)
}

// A part of a list that arrives twice must not stand for one that was lost: flows in the lost part would be reset.
func TestDuplicatePartDoesNotCompleteList(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	requestID := tr.relay.lists[ptest.Addr(tr.agentA)].requestID
	other := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	for range 2 {
		tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held},
			encap.ListPart{RequestID: requestID, Total: 2}, other)
	}
	tr.True(!tr.receivesReset())
	tr.True(tr.relay.searches[key].Awaits(ptest.Addr(tr.agentA)))
}

// The parts of a list must agree. A part that isn't exhaustive, or was sent under an older configuration, means that the
// parts are of two replies, and flows that the list lacks must not be reset.
func TestListIsExhaustiveOnlyIfAllPartsAre(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	list := tr.relay.lists[ptest.Addr(tr.agentA)]
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Version: 4, Verdict: seek.Held},
		encap.ListPart{RequestID: list.requestID, Total: 2})
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Version: 5, Hops: encap.Exhaustive, Verdict: seek.Held},
		encap.ListPart{RequestID: list.requestID, Index: 1, Total: 2})
	tr.True(list.complete)
	tr.True(!list.denies(key, 4))
	tr.Equal(list.version, uint64(4))
}

// Two replies to one request, as after the request arrived twice, may have different numbers of parts. Parts of both must
// not make a complete list.
func TestPartsOfTwoRepliesDoNotCompleteList(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	list := tr.relay.lists[ptest.Addr(tr.agentA)]
	for i, total := range []uint16{3, 2} {
		tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held},
			encap.ListPart{RequestID: list.requestID, Index: uint16(i), Total: total})
	}
	tr.True(!list.complete)
}

// Guards against the reset of an open flow: parts of two replies to one request, as after the request arrived twice, must not
// make a complete list if both replies have the same number of parts. Each reply has its keys in another order.
func TestPartsOfTwoRepliesOfSameSizeDoNotCompleteList(t *testing.T) {
	for _, replies := range [][2]encap.ReplyID{{7, 7}, {7, 8}, {0, 0}} { // Agents of earlier releases send no IDs.
		tr := newTestRelay(t)
		tr.sendFromClient(1, data)
		list := tr.relay.lists[ptest.Addr(tr.agentA)]
		for i, reply := range replies {
			header := encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}
			b := make([]byte, encap.HeaderSize)
			header.Encode(b)
			b = encap.ListPart{RequestID: list.requestID, Index: uint16(i), Total: 2}.Append(b)
			b = flow.NewKey(netip.AddrPortFrom(client.Addr(), 5000+uint16(i)), service).Append(b)
			if reply != 0 {
				b = reply.Append(b)
			}
			tr.relay.handleDatagram(ptest.Addr(tr.agentA), b)
		}
		tr.Equal(list.complete, replies[0] == replies[1])
		tr.Equal(len(list.keys), 2)
	}
}

// A second reply must not make a complete list incomplete.
func TestSecondReplyKeepsListComplete(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	list := tr.relay.lists[ptest.Addr(tr.agentA)]
	for _, total := range []uint16{1, 2} {
		tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held},
			encap.ListPart{RequestID: list.requestID, Total: total})
		tr.True(list.complete)
	}
}

// A search whose client sends no further packet must end: entries would run out of searches and find no flow any more.
func TestAbandonedSearchIsRemoved(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.pauseSearch(searchLifetime + time.Second)
	tr.relay.sweep()
	tr.Equal(len(tr.relay.searches), 0)
}

// A search that was paused for longer than its verdicts are valid must not deny a flow of the same key that was opened since.
func TestOldVerdictsDoNotDenyFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.relay.searches[key].RecordVerdict(ptest.Addr(tr.agentA), seek.Denied, seek.Reply)
	tr.pauseSearch(searchLifetime + time.Second)
	tr.sendFromClient(2, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.True(!tr.receivesReset())
	tr.True(tr.relay.searches[key].Awaits(ptest.Addr(tr.agentA)))
}

// pauseSearch pauses the search, whose age is then age.
func (tr *testRelay) pauseSearch(age time.Duration) {
	tr.relay.mu.Lock()
	defer tr.relay.mu.Unlock()
	s, now := tr.relay.searches[key], time.Now()
	tr.relay.pauseSearch(key, s, "test", now)
	s.startedAt, s.pausedAt = now.Add(-age), now.Add(-age)
}

// An entry whose configuration lacks a new route must not reset flows that were opened on it through another entry.
func TestOpenFlowWithoutRouteIsNotReset(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.table = route.NewTable(6, nil, time.Second)
	for range 2 {
		tr.cluster.age = time.Second // Confirmed before the first packet.
		tr.sendFromClient(1, data)
		tr.True(!tr.receivesReset())
	}
}

// Guards against the reset of a flow that another entry, with a newer configuration, has opened by an earlier copy of its SYN.
func TestRetransmittedSynWithoutRouteIsNotReset(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.table = route.NewTable(6, nil, time.Second)
	tr.cluster.age = time.Second
	tr.sendFromClient(1, flow.Header{Syn: true, AckNumber: 1})
	tr.True(!tr.receivesReset())
	tr.cluster.age = 0 // Confirmed since.
	tr.sendFromClient(2, flow.Header{Syn: true, AckNumber: 2})
	tr.True(tr.receivesReset())
}

// Guards against callers that wait until their deadline on a flow whose route was removed.
func TestOpenFlowOfRemovedRouteIsReset(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.table = route.NewTable(6, nil, time.Second)
	tr.sendFromClient(1, data)
	tr.True(!tr.receivesReset())
	tr.cluster.age = 0 // Confirmed since.
	tr.sendFromClient(1, data)
	tr.True(tr.receivesReset())
}

// A flow that an exhaustive list names as perhaps held must be probed and not reset.
func TestProbedFlowInListIsNotReset(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	requestID := tr.relay.lists[ptest.Addr(tr.agentA)].requestID
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Perhaps}, encap.ListPart{RequestID: requestID, Total: 2}, key)
	tr.sendListPart(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, encap.ListPart{RequestID: requestID, Index: 1, Total: 2})
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Probe)
	tr.True(!tr.receivesReset())
}

// An earlier list of an agent of the flow's own service must not deny the flow, which may have been opened since. The log of a
// lost flow must show that the agent has not replied.
func TestEarlierListOfRouteServiceDoesNotDenyFlow(t *testing.T) {
	tr := newTestRelay(t)
	core, logs := observer.New(zapcore.InfoLevel)
	tr.relay.opts.FlowLog = zap.New(core)
	tr.cluster.possibleHolders[1].Dead, tr.cluster.allAgents[1].Dead = true, true
	tr.sendFromClient(1, data)
	tr.relay.lists[ptest.Addr(tr.agentB)] = &flowList{requestedAt: time.Now(), complete: true, exhaustive: true, version: 5, keys: map[flow.Key]struct{}{}}
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	entries := logs.FilterMessage("flow is lost: no agent holds it").All()
	tr.Equal(len(entries), 1)
	tr.Equal(entries[0].ContextMap()["answers"], ptest.Addr(tr.agentA).String()+",denied,list;"+ptest.Addr(tr.agentB).String()+",unanswered,silent")
}

// Guards against a search that doesn't find the holder while another agent's reply is missing: an agent that couldn't tell may
// have restored its list of flows since.
func TestResumedSearchQueriesAgentThatCouldNotTell(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Verdict: seek.Held, Version: 5}) // Not exhaustive.
	tr.relay.mu.Lock()
	tr.True(!tr.relay.searches[key].Awaits(ptest.Addr(tr.agentA)))
	tr.relay.pauseSearch(key, tr.relay.searches[key], "test", time.Now()) // B hasn't replied.
	tr.relay.mu.Unlock()
	tr.Equal(tr.receiveKind(tr.agentA), encap.Query) // So that it knows that the flow is searched for.
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Query)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
}

// Guards against memory that grows with each agent that was ever asked for its flows: agents come and go at new addresses. The
// list of an agent that is known stays, and so does a request that may still be replied to.
func TestListOfGoneAgentIsRemoved(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	a, b := ptest.Addr(tr.agentA), ptest.Addr(tr.agentB)
	tr.cluster.dead[a] = true
	tr.relay.sweep()
	tr.Equal(len(tr.relay.lists), 2)
	for _, list := range tr.relay.lists {
		list.requestedAt = list.requestedAt.Add(-2 * minListAge)
	}
	tr.relay.sweep()
	tr.True(tr.relay.lists[a] == nil)
	tr.True(tr.relay.lists[b] != nil)
}
