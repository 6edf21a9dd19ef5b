package deliv

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of open flows whose server only stands still: its process accepts connections, so it hasn't ended, whatever
// heartbeats are missing.
func TestSilentServerKeepsItsFlows(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{4})
	env.agent.server.CompensatePause(-5 * time.Second) // Neither a heartbeat nor a packet since.
	env.True(!env.agent.checkExit(context.Background()))
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.listed(), []flow.Key{flow.NewKey(client, service)})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, request)
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.read(env.server), []byte{5})
}

// The flows of a silent server that has ended are lost at once: its clients are reset, and queries and lists deny the flows.
func TestSilentServerThatHasEndedLosesItsFlows(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{4})
	env.endServer()
	env.Equal(env.read(env.client), []byte{'R', 50})
	env.Equal(env.verdict(), seek.Denied)
	env.Equal(len(env.listed()), 0)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, request)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.entry), encap.Return)
}

// A silent server is checked for as long as it is silent, at a bounded rate, and its end is noticed without a packet or heartbeat.
func TestSilentServerIsCheckedRepeatedly(t *testing.T) {
	env := newTestEnv(t, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var connections atomic.Int32
	go func() {
		for {
			conn, err := env.running.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			_ = conn.Close()
		}
	}()
	go func() { _ = env.agent.watchExits(ctx) }() // Ends with ctx.
	env.receiveHeartbeat(nil)
	env.agent.tick()
	time.Sleep(4 * firstExitCheckDelay)
	env.Equal(connections.Load(), int32(0)) // It isn't silent.
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{4})
	env.agent.mu.Lock()
	env.agent.server.CompensatePause(-10 * time.Second)
	env.agent.mu.Unlock()
	silentSince := time.Now()
	for time.Since(silentSince) < 2*maxExitCheckInterval {
		env.agent.tick()
		time.Sleep(tickInterval / 10)
	}
	checks := connections.Load()
	env.True(checks >= 2)
	env.True(checks <= 7)                // The intervals double from firstExitCheckDelay.
	env.Equal(env.read(env.client), nil) // No reset.
	env.NoErr(env.running.Close())
	for range 20 {
		if b := env.read(env.client); b != nil {
			env.Equal(b, []byte{'R', 50})
			return
		}
	}
	env.Fail() // No reset.
}
