package relay

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against packets of an open flow that go to an agent again and again that returns them, but lists an earlier flow with the same
// key.
func TestListOfAgentThatReturnedPacketIsIgnored(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, syn)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
	tr.sendFromClient(2, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.returnFromAgent(tr.agentA, 2)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
	tr.True(!tr.holder().IsValid())
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Kind(0))
}

// Guards against a second search for a flow that has just been found: a server that wasn't the holder returns its copy of the probe late,
// and an agent at which an earlier flow with the same key has ended replies first.
func TestReturnedPacketOfFoundFlowIsForwarded(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.Claim}, key)
	tr.sendFromClient(2, data)
	for range 2 {
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	}
	tr.returnFromAgent(tr.agentB, 1)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
	tr.locked(func() { tr.Equal(len(tr.relay.searches), 0) })
}
