package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against the reset of a flow that the server opened after its restart: it has the key of a flow of the earlier start, and the agent
// took its SYN for a copy of that flow's.
func TestFlowOfNewStartWithKeyOfLostFlowIsKept(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{4})
	env.ageFlows(time.Minute)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 5, flow.Header{Syn: true, Seq: 1 << 30})
	env.Equal(env.read(env.server), []byte{5})
	env.receiveFromServer(6, flow.Header{Syn: true, Ack: true, Seq: 1 << 31})
	env.Equal(env.read(env.client), []byte{6})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 7, flow.Header{Ack: true, AckNumber: 1 << 31, Seq: 1 << 30})
	env.Equal(env.read(env.server), []byte{7})
	env.receiveFromServer(8, flow.Header{Ack: true, Seq: 1 << 31, Len: 50})
	env.Equal(env.read(env.client), []byte{8})
	env.receiveRestart(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(time.Minute) })
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.verdict(), seek.Held)
}
