package relay

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against an open flow whose packets go to another server, and that gets a reset if that one doesn't hold it: an agent
// that lists an earlier flow with the same addresses and ports, as from a list restored after a restart, must not move the flow.
func TestListDoesNotMovePlacedFlow(t *testing.T) {
	for _, open := range []bool{false, true} {
		tr := newTestRelay(t)
		tr.sendFromClient(1, syn)
		tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
		if open {
			tr.sendFromClient(2, data)
			tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
		}
		tr.listsEarlierFlow()
		tr.sendFromClient(3, data)
		tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	}
}

// Guards against the same for a flow that this entry has found at its agent.
func TestListDoesNotMoveFoundFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.listsEarlierFlow()
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
}

// listsEarlierFlow passes to the relay a list of agent B that was requested for another flow and has the flow's key.
func (tr *testRelay) listsEarlierFlow() {
	b := ptest.Addr(tr.agentB)
	if tr.relay.lists[b] == nil {
		tr.relay.lists[b] = &flowList{requestedAt: time.Now().Add(-time.Second), requestID: 7, keys: make(map[flow.Key]struct{})}
	}
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
}

// Guards against an open flow that a claim moves: a server that the client didn't choose claims the flow, or one of an earlier
// flow with the same addresses and ports, and the claim arrives late.
func TestLateClaimDoesNotMoveOpenFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.Claim}, key)
	tr.sendFromClient(3, data)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
}
