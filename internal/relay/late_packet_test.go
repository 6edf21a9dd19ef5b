package relay

import (
	"net"
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of an open flow: a late packet of an earlier flow with the same addresses and ports goes to its agent, which
// returns it, and all other agents deny the flow.
func TestLatePacketOfEarlierFlowDoesNotResetOpenFlow(t *testing.T) {
	packet := flow.Header{Ack: true, Seq: 900_001}
	for _, placed := range []bool{true, false} {
		tr := newTestRelay(t)
		if placed {
			tr.sendFromClient(1, synOfLaterFlow)
			tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
			tr.sendFromClient(2, packet)
		} else {
			tr.sendFromClient(2, packet)
			tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
			tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
		}
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)

		tr.sendFromClient(3, flow.Header{Ack: true, Seq: 1001, AckNumber: 5000})
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
		tr.returnFromAgent(tr.agentA, 3)
		tr.sendFromClient(4, packet)
		for _, c := range []*net.UDPConn{tr.agentA, tr.agentB} {
			verdict := seek.Denied
			if c == tr.agentA {
				verdict = seek.Held
			}
			tr.sendFromAgent(c, encap.Header{Kind: encap.QueryReply, Verdict: verdict}, key)
		}
		tr.True(!tr.receivesReset())
	}
}
