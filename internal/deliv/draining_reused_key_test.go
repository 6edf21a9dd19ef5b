package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against a new flow that reaches a draining server since it has the key of a flow whose end the agent hasn't seen.
func TestDrainingServerGetsNoFlowWithKeyOfOpenFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining, hb.Sequence = true, 8 })
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 5, flow.Header{Syn: true, Seq: 1 << 30})
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.fallback), encap.Open)
}

// Guards against the same where the open flow comes from a saved list, so that the agent doesn't know its SYN.
func TestDrainingServerGetsNoFlowWithKeyOfRestoredFlow(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.agent.mu.Lock()
	env.agent.restoreFlows([]flow.Key{flow.NewKey(client, service)}, []uint32{50}, 0, time.Now())
	env.agent.mu.Unlock()
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn) // It may be a copy of the flow's SYN.
	env.Equal(env.read(env.server), []byte{1})
	env.Equal(env.verdict(), seek.Opening)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining, hb.Sequence = true, 8 })
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.fallback), encap.Open)
	env.Equal(env.verdict(), seek.Opening)
}

// A draining server still gets the copies of a SYN that it was sent before, and a bounced copy of an earlier flow's SYN doesn't end a flow.
func TestCopyOfSynReachesDrainingServer(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, flow.Header{Syn: true, Seq: 7})
	env.Equal(env.read(env.server), []byte{1})
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining, hb.Sequence = true, 8 })
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, flow.Header{Syn: true, Seq: 7, AckNumber: 1})
	env.Equal(env.read(env.server), []byte{2})
	env.receiveFromServer(3, flow.Header{Syn: true, Seq: 1 << 30, Bounced: true})
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.verdict(), seek.Opening)
}
