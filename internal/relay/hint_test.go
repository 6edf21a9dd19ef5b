package relay

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// listOpening passes a list of agent A to the relay that names the flow as Opening, as after a restart of all processes.
func (tr *testRelay) listOpening() {
	tr.Helper()
	a := ptest.Addr(tr.agentA)
	tr.relay.lists[a] = newFlowList(time.Now(), 7)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Verdict: seek.Opening}, key)
}

// Guards against callers that wait for queries to all agents, as many as there are open flows: after a restart of all processes the agents' lists
// name all open flows, and their servers can tell at once.
func TestServerOfListedFlowIsProbedAtOnce(t *testing.T) {
	tr := newTestRelay(t)
	tr.listOpening()
	tr.True(!tr.holder().IsValid()) // A saved list isn't known to be true.
	tr.sendFromClient(1, upload(0))
	tr.Equal(tr.receiveKind(tr.agentA), encap.Probe)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.Claim}, key)
	tr.Equal(tr.receiveForwards(tr.agentA), 1)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.Equal(tr.holder(), ptest.Addr(tr.agentA))
}

// Guards against flows that are not found since a saved list names an earlier one from their port: its agent returns the packet, or its server
// stands still.
func TestStaleListDoesNotHideHolder(t *testing.T) {
	for _, silent := range []bool{false, true} {
		tr := newTestRelay(t)
		tr.listOpening()
		tr.sendFromClient(1, upload(0))
		tr.Equal(tr.receiveKind(tr.agentA), encap.Probe)
		if silent {
			tr.awaitPause()
			tr.sendFromClient(2, upload(0))
		} else {
			tr.returnSameKey(tr.agentA, 1, seek.Opening)
		}
		tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
		tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
		tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	}
}

// Guards against probes by a list that is too old to tell.
func TestOldListIsNoHint(t *testing.T) {
	tr := newTestRelay(t)
	tr.listOpening()
	tr.relay.lists[ptest.Addr(tr.agentA)].requestedAt = time.Now().Add(-2 * maxHintAge)
	tr.sendFromClient(1, flow.Header{Ack: true})
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
}
