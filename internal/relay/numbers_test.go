package relay

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// A later flow from the same port, whose numbers are within 2^24 of those of the earlier flow, by chance.
var (
	packetOfEarlierFlow = flow.Header{Ack: true, Len: 100, Seq: 1001, AckNumber: 5001}
	packetOfLaterFlow   = flow.Header{Ack: true, Len: 100, Seq: 1001 + 1<<20, AckNumber: 5001 + 1<<20}
)

// answer passes the verdicts of both agents on the flow to the relay.
func (tr *testRelay) answer(a, b seek.Verdict) {
	tr.Helper()
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: a}, key)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: b}, key)
}

// locked calls f while no timer of a search runs.
func (tr *testRelay) locked(f func()) {
	tr.relay.mu.Lock()
	defer tr.relay.mu.Unlock()
	f()
}

// awaits reports whether the search for the flow awaits an agent's verdict.
func (tr *testRelay) awaits(conn *net.UDPConn) (awaits bool) {
	tr.locked(func() { awaits = tr.relay.searches[key].Awaits(ptest.Addr(conn)) })
	return awaits
}

// holder returns the agent that the table has for the flow, if it has one.
func (tr *testRelay) holder() (agent netip.AddrPort) {
	tr.locked(func() {
		if f := tr.relay.flows.Peek(key); f != nil {
			agent = f.agent
		}
	})
	return agent
}

// endSearch removes the search for the flow.
func (tr *testRelay) endSearch() {
	tr.locked(func() { tr.relay.removeSearch(key, tr.relay.searches[key]) })
}

// drain reads the datagrams that have been sent to both agents.
func (tr *testRelay) drain() {
	tr.Helper()
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		for tr.receiveKind(c) != 0 {
			continue
		}
	}
}

// Guards against packets of an open flow that go to the server of the earlier flow from its port, which resets it: 1 in 128 later flows passed
// for the earlier one by the client's number alone.
func TestPacketWithNearNumbersIsSearchedFor(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, flow.Header{Syn: true, Seq: 1000})
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, packetOfEarlierFlow)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	for _, h := range []flow.Header{packetOfLaterFlow, {Ack: true, Seq: 1001, AckNumber: 5001 + 1<<20}} {
		tr.sendFromClient(3, h)
		tr.True(tr.receiveKind(tr.agentA) != encap.Forward)
	}
}

// Guards against the same at an entry that found the earlier flow by a search.
func TestFoundFlowHasNumbers(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfEarlierFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.drain()
	tr.sendFromClient(2, packetOfLaterFlow)
	tr.True(tr.receiveKind(tr.agentA) != encap.Forward)
}

// Guards against the reset of an open flow: an agent denied the earlier flow from its port while another one's reply was missing, the flow was
// opened there through another entry, and its packet resumes the search.
func TestDenialOfEarlierFlowDoesNotDenyLaterOne(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfEarlierFlow)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
	tr.pauseSearch(0)
	tr.sendFromClient(2, packetOfLaterFlow)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
	tr.True(!tr.receivesReset())
	tr.True(tr.awaits(tr.agentA))
}

// Guards against the reset of an open flow: its agent had returned a late packet of the earlier flow from its port before the flow was opened
// through another entry, and the packet comes back in the search for the flow.
func TestReturnedPacketOfEarlierFlowDoesNotDenyLaterOne(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfEarlierFlow)
	tr.endSearch()
	tr.sendFromClient(2, packetOfLaterFlow)
	tr.returnFromAgent(tr.agentA, 1)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
	tr.True(!tr.receivesReset())
	tr.True(tr.awaits(tr.agentA))
}

// Guards against an open flow whose packets are dropped for seconds: a late packet of the earlier flow from its port goes to its agent, which
// returns it, and whose replies then count no longer.
func TestReturnedPacketOfEarlierFlowEndsWithIt(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfLaterFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.sendFromClient(2, packetOfEarlierFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.drain()
	tr.returnSameKey(tr.agentA, 2, seek.Held)
	tr.sendFromClient(1, packetOfLaterFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.Equal(tr.receiveForwards(tr.agentA), 1)
}

// Guards against an open flow that must be searched for, as its agent returned a late RST of the earlier flow from its port.
func TestReturnedResetOfEarlierFlowKeepsLaterOne(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfLaterFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.sendFromClient(2, flow.Header{Rst: true, Seq: packetOfEarlierFlow.Seq})
	tr.drain()
	tr.returnSameKey(tr.agentA, 2, seek.Held)
	tr.drain()
	tr.sendFromClient(1, packetOfLaterFlow)
	tr.Equal(tr.receiveForwards(tr.agentA), 1)
}

// receiveForwards returns how many Forward datagrams have been sent to an agent.
func (tr *testRelay) receiveForwards(conn *net.UDPConn) int {
	tr.Helper()
	n := 0
	for kind := tr.receiveKind(conn); kind != 0; kind = tr.receiveKind(conn) {
		if kind == encap.Forward {
			n++
		}
	}
	return n
}

// returnSameKey passes the client packet id to the relay as returned by an agent whose verdict on a flow with the same key is given.
func (tr *testRelay) returnSameKey(from *net.UDPConn, id byte, verdict seek.Verdict) {
	b := make([]byte, encap.HeaderSize+1, encap.HeaderSize+encap.MaxPacketSize)
	(&encap.Header{Kind: encap.Return, Verdict: verdict}).Encode(b)
	b[encap.HeaderSize] = id
	tr.relay.handleDatagram(ptest.Addr(from), b)
}

// Guards against a reset that meets a client's new flow: this entry has just sent its SYN to an agent, or holds it, when a late packet of the
// earlier flow from its port comes, which all agents deny.
func TestLatePacketDoesNotResetOpeningFlow(t *testing.T) {
	for _, hold := range []bool{false, true} {
		tr := newTestRelay(t)
		if hold {
			tr.cluster.agents = nil
		}
		tr.sendFromClient(1, flow.Header{Syn: true, Seq: 900_000})
		tr.sendFromClient(2, packetOfEarlierFlow)
		tr.answer(seek.Denied, seek.Denied)
		tr.True(!tr.receivesReset())
		tr.Equal(tr.relay.held[key] != nil, hold) // It is no sign that a server has accepted the SYN.
		tr.Equal(tr.holder().IsValid(), !hold)
	}
}

// Guards against a flow that doesn't open: the entry found the earlier flow from its port right before, takes the SYN for a copy of that one's,
// and its agent refuses it.
func TestSynOfReusedPortOfFoundFlowIsPlaced(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfEarlierFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.drain()
	tr.cluster.agents[0].Ready = false
	tr.sendFromClient(2, synOfLaterFlow)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
}

// Guards against the same if the entry has the earlier flow from a list: its agent has failed, or refuses the SYN.
func TestSynOfReusedPortOfListedFlowIsPlaced(t *testing.T) {
	for _, dead := range []bool{false, true} {
		tr := newTestRelay(t)
		tr.relay.handleListedFlow(ptest.Addr(tr.agentA), key, encap.Header{Verdict: seek.Held}, time.Now())
		tr.cluster.agents[0].Ready, tr.cluster.dead[ptest.Addr(tr.agentA)] = false, dead
		tr.sendFromClient(2, flow.Header{Syn: true, Seq: synOfLaterFlow.Seq, AckNumber: 1})
		if !dead {
			tr.returnFromAgent(tr.agentA, 2)
		}
		tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
	}
}

// Guards against a flow that doesn't open as its server is slow: a list names the earlier flow from its port, which has just ended, and all copies
// of the SYN go to that one's agent.
func TestSynOfReusedPortOfListedFlowAvoidsSilentAgent(t *testing.T) {
	tr := newTestRelay(t)
	tr.relay.handleListedFlow(ptest.Addr(tr.agentA), key, encap.Header{Verdict: seek.Held}, time.Now())
	tr.sendFromClient(1, synOfLaterFlow)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open) // Also the best choice.
	tr.sendFromClient(2, flow.Header{Syn: true, Seq: synOfLaterFlow.Seq, AckNumber: 1})
	tr.Equal(tr.receiveKind(tr.agentB), encap.Open)
}

// Guards against a new flow that is lost from the table: an agent returns the SYN of the earlier flow from its port late.
func TestReturnedSynOfEarlierFlowIsIgnored(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, flow.Header{Syn: true, Seq: 1000})
	tr.sendFromClient(2, synOfLaterFlow)
	tr.drain()
	tr.returnFromAgent(tr.agentA, 1)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.Equal(tr.relay.flows.Peek(key).synSeq, synOfLaterFlow.Seq)
	tr.Equal(tr.cluster.refused, []netip.AddrPort{ptest.Addr(tr.agentA)}) // Once.
}

// Guards against a reset that meets an open flow: a late packet of the earlier flow from its port is searched for while the client goes on.
func TestLatePacketDoesNotResetFlowInUse(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfLaterFlow)
	tr.answer(seek.Held, seek.Denied)
	tr.sendFromClient(2, packetOfEarlierFlow)
	tr.sendFromClient(3, packetOfLaterFlow)
	tr.answer(seek.Denied, seek.Denied)
	tr.True(!tr.receivesReset())
	tr.True(tr.holder().IsValid())
}

// Guards against a reset by a denial that waited at a choked link, in a search that goes on without its client.
func TestRenewedSearchHasAnotherID(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfEarlierFlow)
	tr.pauseSearch(0)
	s := tr.relay.searches[key]
	before := s.id
	tr.relay.resumeUnattended(key, s)
	tr.locked(func() { tr.True(s.id != before) })
}

// Guards against an open flow whose packets are searched for again and again: a late packet of the earlier flow from its port, which has just ended
// at another agent, must not take its place in the table, nor remove it when it comes back.
func TestLatePacketKeepsPlacedFlow(t *testing.T) {
	for _, returned := range []bool{false, true} {
		tr := newTestRelay(t)
		tr.sendFromClient(1, flow.Header{Syn: true, Seq: 900_000})
		tr.sendFromClient(2, packetOfEarlierFlow)
		if returned {
			tr.endSearch()
			tr.returnFromAgent(tr.agentB, 2)
		}
		tr.answer(seek.Denied, seek.Held)
		if returned {
			tr.Equal(tr.receiveForwards(tr.agentA), 0)
		} else {
			tr.Equal(tr.receiveForwards(tr.agentB), 1)
		}
		tr.drain()
		tr.sendFromClient(3, flow.Header{Ack: true, Seq: 900_001, AckNumber: 70_000_000})
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	}
}

// Guards against the reset of an open flow: an agent denied or returned an RST by which the client ended the earlier flow from its port. Its
// numbers may be any.
func TestRstOfEarlierFlowDoesNotDenyLaterOne(t *testing.T) {
	rst := flow.Header{Rst: true, Seq: 1001}
	for _, first := range []bool{true, false} {
		tr := newTestRelay(t)
		if first {
			tr.sendFromClient(1, rst)
			tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
			tr.sendFromClient(2, packetOfLaterFlow)
		} else {
			tr.sendFromClient(2, packetOfLaterFlow)
			tr.sendFromClient(1, rst)
			tr.returnFromAgent(tr.agentA, 1)
		}
		tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
		tr.True(!tr.receivesReset())
		tr.True(tr.awaits(tr.agentA))
	}
}
