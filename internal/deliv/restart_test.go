package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// A restarted agent must not deny flows of a server that is older than the agent, however late the server's first heartbeat
// comes: entries would reset these flows.
func TestLateFirstHeartbeatDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.agent.startedAt = env.agent.startedAt.Add(-5 * time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	env.Equal(env.verdict(), seek.Perhaps)
}

// After the wall clock was set back, a server that is older than the agent looks younger. Its sequence number must keep the
// agent from denying its flows.
func TestClockStepDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.agent.startedAt = env.agent.startedAt.Add(-5 * time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) {
		hb.Sequence, hb.StartedAt = 30, time.Now().Add(-time.Second)
	})
	env.Equal(env.verdict(), seek.Perhaps)
}

// An agent that has run since before its server started knows all flows of the server. It must deny others, or entries
// would probe the server for them.
func TestServerStartedAfterAgentCompletesTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.agent.startedAt = env.agent.startedAt.Add(-5 * time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) {
		hb.Sequence, hb.StartedAt = 1, time.Now().Add(-time.Second)
	})
	env.Equal(env.verdict(), seek.Denied)
}
