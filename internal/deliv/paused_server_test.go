package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against the reset of the flows of a server that is older than its restarted agent: the server stood still for a while, so that it
// has sent few heartbeats for its age.
func TestServerThatStoodStillDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.startedBefore(16 * time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 4 })
	env.settle(func(hb *server.Heartbeat) { hb.Sequence = 5 })
	env.Equal(env.verdict(), seek.Perhaps)
}
