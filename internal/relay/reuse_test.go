package relay

import (
	"net"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// openEarlierFlow opens a flow at agent A whose client uses its port again maxOpeningTime later or more.
func (tr *testRelay) openEarlierFlow() {
	tr.Helper()
	tr.sendFromClient(1, flow.Header{Syn: true, Seq: 1000})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, flow.Header{Ack: true, Len: 100, Seq: 1001})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	f := tr.relay.flows.Peek(key)
	f.openedAt, f.openSince = f.openedAt.Add(-5*maxOpeningTime), f.openSince.Add(-5*maxOpeningTime)
}

// synOfLaterFlow is the SYN of another flow with the same addresses and ports.
var synOfLaterFlow = flow.Header{Syn: true, Seq: 900_000}

// Guards against a flow that can't open at its first try: its addresses and ports are those of an earlier flow, whose agent has
// failed since.
func TestSynOfReusedPortAvoidsDeadAgent(t *testing.T) {
	tr := newTestRelay(t)
	tr.openEarlierFlow()
	tr.cluster.dead[ptest.Addr(tr.agentA)], tr.cluster.agents[0].Ready = true, false
	tr.sendFromClient(3, synOfLaterFlow)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
}

// Guards against a flow that no copy of its SYN opens: the agent of an earlier flow with the same addresses and ports returns it,
// since its server accepts no flows.
func TestReturnedSynOfReusedPortIsSentToAnotherAgent(t *testing.T) {
	tr := newTestRelay(t)
	tr.openEarlierFlow()
	tr.sendFromClient(3, synOfLaterFlow)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.returnFromAgent(tr.agentA, 3)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
}

// Guards against an open flow whose packets go to another agent: a late retransmission of the SYN of a flow whose addresses and
// ports an earlier flow had. The entry took the time at which that one opened for that of the new flow.
func TestLateRetransmissionDoesNotMoveFlowOfReusedPort(t *testing.T) {
	tr := newTestRelay(t)
	tr.openEarlierFlow()
	tr.sendFromClient(3, synOfLaterFlow)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(4, flow.Header{Ack: true, Len: 100, Seq: 900_001})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.sendFromClient(5, flow.Header{Syn: true, AckNumber: 1, Seq: 900_000})
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(6, flow.Header{Ack: true, Len: 100, Seq: 900_001})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
}

// Guards against the reset of an open flow: its addresses and ports are those of an earlier flow that all agents denied while this
// entry couldn't reset it, and another entry opened it since.
func TestVerdictsOnEarlierFlowDoNotDenyFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.isolated = true
	tr.sendFromClient(1, flow.Header{Ack: true, Len: 100, Seq: 1000})
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	}
	tr.True(!tr.receivesReset())
	s := tr.relay.searches[key]
	s.startedAt, s.pausedAt, s.packetAt = s.startedAt.Add(-3*time.Second), s.pausedAt.Add(-3*time.Second), s.packetAt.Add(-3*time.Second)
	tr.cluster.isolated = false
	tr.sendFromClient(2, flow.Header{Ack: true, Len: 100, Seq: 900_000})
	tr.True(!tr.receivesReset())
}

// Guards against packets of an open flow that go to the server of an earlier flow with the same addresses and ports, which an entry still
// has in its table: another entry opened the later one.
func TestPacketOfLaterFlowIsSearchedFor(t *testing.T) {
	for _, fin := range []bool{false, true} {
		tr := newTestRelay(t)
		tr.openEarlierFlow()
		tr.sendFromClient(3, flow.Header{Ack: true, Fin: fin, Len: 100, Seq: 900_000_000})
		tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
		tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
		tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
		tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
		tr.sendFromClient(4, flow.Header{Ack: true, Len: 100, Seq: 900_000_100})
		tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	}
}

// Guards against a probe for a later flow that goes on to the agent of the earlier one when another agent returns it.
func TestReturnedProbeForLaterFlowCountsInSearch(t *testing.T) {
	tr := newTestRelay(t)
	tr.openEarlierFlow()
	tr.sendFromClient(3, flow.Header{Ack: true, Len: 100, Seq: 900_000_000})
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.Equal(tr.receiveKind(c), encap.ListFlows)
	}
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Verdict: seek.Held})
	}
	tr.Equal(tr.receiveKind(tr.agentA), encap.Probe)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Probe)
	tr.returnFromAgent(tr.agentB, 3)
	tr.True(tr.relay.searches[key] != nil)
	tr.Equal(tr.relay.flows.Peek(key).agent, ptest.Addr(tr.agentA))
}
