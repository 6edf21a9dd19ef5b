package deliv

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against the reset of flows that a server has opened since its restart: it stood still after that, so that by the number of its
// heartbeats it seems to have started later than the flows. Those from before the last heartbeat of the earlier start are lost.
func TestServerThatStoodStillAfterRestartKeepsItsFlows(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.settle(func(hb *server.Heartbeat) { hb.Sequence = 8 })
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, AckNumber: 1, Len: 50})
	env.Equal(env.read(env.client), []byte{4})
	lost := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	now := time.Now()
	env.agent.mu.Lock()
	env.agent.flows.Put(lost, flowState{phase: phaseOpen, firstSeen: now.Add(-time.Minute), serverNextSeq: 9}, now)
	hb := server.Heartbeat{ID: "i-2", Service: "desk", Address: ptest.Addr(env.server), Slots: 1, StartedAt: startedAt}
	for range 2 {
		now = now.Add(25 * time.Second)
		hb.Sequence++
		_, err := env.agent.server.RecordHeartbeat(hb, now)
		env.NoErr(err)
	}
	env.True(env.agent.server.Settled())
	env.agent.handleSettledStart(now)
	env.agent.mu.Unlock()
	env.Equal(env.read(env.client), []byte{'R', 9})
	env.Equal(env.read(env.client), nil) // Only one reset.
	env.Equal(env.verdict(), seek.Opening)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, request)
	env.Equal(env.read(env.server), []byte{5}) // The server can tell.
	bounced := request
	bounced.Bounced = true
	env.receiveFromServer(5, bounced)
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.read(env.client), nil)
}
