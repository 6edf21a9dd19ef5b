package relay

import (
	"net"
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of a flow that this entry has placed while it searched for an earlier one with the same addresses and ports.
func TestSearchForEarlierFlowDoesNotResetPlacedFlow(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, flow.Header{Ack: true, Len: 100, Seq: 1000})
	tr.sendFromClient(2, synOfLaterFlow)
	tr.sendFromClient(3, flow.Header{Ack: true, Len: 100, Seq: 900_001})
	for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
		tr.sendFromAgent(c, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held})
	}
	tr.True(!tr.receivesReset())
	tr.True(tr.relay.flows.Peek(key) != nil)
}
