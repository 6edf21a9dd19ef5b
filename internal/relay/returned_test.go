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
	tr.sendFromClient(2, ack)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
	tr.returnFromAgent(tr.agentA, 2)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held}, key)
	tr.True(tr.relay.flows.Peek(key) == nil)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Kind(0))
}
