package relay

import (
	"net"
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of an open flow: a late packet of an earlier flow with the same addresses and ports goes to its agent, which
// returns it, and all other agents deny the flow. By its numbers it may pass for one of the flow, or not.
func TestLatePacketOfEarlierFlowDoesNotResetOpenFlow(t *testing.T) {
	packet := flow.Header{Ack: true, Len: 100, Seq: 900_001}
	for _, c := range []struct {
		placed bool
		late   flow.Header
		passes bool
	}{
		{true, flow.Header{Ack: true, Len: 100, Seq: 890_001, AckNumber: 5000}, true},
		{false, flow.Header{Ack: true, Len: 100, Seq: 890_001, AckNumber: 5000}, true},
		{true, flow.Header{Ack: true, Len: 100, Seq: 1001, AckNumber: 5000}, false},
		{false, flow.Header{Ack: true, Len: 100, Seq: 1001, AckNumber: 5000}, false},
	} {
		tr := newTestRelay(t)
		if c.placed {
			tr.sendFromClient(1, synOfLaterFlow)
			tr.Equal(tr.receiveKind(tr.agentA), encap.Open)
			tr.sendFromClient(2, packet)
		} else {
			tr.sendFromClient(2, packet)
			tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
			tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Held}, key)
		}
		tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)

		tr.sendFromClient(3, c.late)
		if c.passes {
			tr.Equal(tr.receiveKind(tr.agentA), encap.Forward)
		}
		tr.returnFromAgent(tr.agentA, 3)
		tr.sendFromClient(4, packet)
		for _, conn := range []*net.UDPConn{tr.agentA, tr.agentB} {
			verdict := seek.Denied
			if conn == tr.agentA {
				verdict = seek.Held
			}
			tr.sendFromAgent(conn, encap.Header{Kind: encap.QueryReply, Verdict: verdict}, key)
		}
		tr.True(!tr.receivesReset())
	}
}
