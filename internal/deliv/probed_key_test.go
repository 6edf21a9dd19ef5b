package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against a new flow at a draining server, or at one of another service: the agent took its SYN for a copy, since an entry probes
// for an earlier flow with the same key, and the server hasn't returned that packet.
func TestProbedKeyLetsNoNewFlowThrough(t *testing.T) {
	for _, draining := range []bool{true, false} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining = draining })
		env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, flow.Header{Ack: true, Fin: true, Seq: 1000})
		env.True(env.read(env.server) != nil)
		env.receiveFromServer(2, flow.Header{Ack: true}) // The earlier flow has ended.
		header := encap.Header{Kind: encap.Open, Version: 5}
		if !draining {
			header.Service = route.ServiceID("other")
		}
		env.receiveDatagram(header, 3, flow.Header{Syn: true, Seq: 900_000})
		env.Equal(env.read(env.server), nil)
		env.Equal(env.readKind(env.fallback), encap.Open)
	}
}
