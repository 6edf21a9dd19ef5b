package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of flows that a restarted agent denies: its first configuration came late, and the agent took its table for
// complete before it knew how long flows may be idle.
func TestTableIsIncompleteUntilIdleTimeoutIsKnown(t *testing.T) {
	env := newTestEnv(t, false)
	configured := env.cluster.table
	env.cluster.table = nil
	env.receiveHeartbeat(nil)
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	const unconfiguredFor = defaultIdleTimeout + time.Second
	env.startedBefore(unconfiguredFor)
	env.agent.tableCompleteAt = env.agent.tableCompleteAt.Add(-unconfiguredFor)
	env.agent.flows.ExtendIdleTime(-unconfiguredFor)
	env.agent.sweep()
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.unknownFlowVerdict(), seek.Perhaps)
	env.cluster.table = route.NewTable(6, nil, time.Minute)
	env.agent.Configure(env.cluster.table)
	env.agent.sweep()
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.unknownFlowVerdict(), seek.Perhaps)
	env.cluster.table = configured
	env.agent.Configure(configured)
	env.Equal(env.unknownFlowVerdict(), seek.Denied)
	env.agent.sweep()
	env.Equal(env.verdict(), seek.Denied)
}

// A configuration needn't set the idle timeout. The table must become complete nevertheless, or lost flows would never be denied.
func TestTableCompletesWithoutConfiguredIdleTimeout(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	unset := route.NewTable(6, nil, 0)
	env.agent.Configure(unset)
	env.Equal(env.verdict(), seek.Perhaps)
	env.startedBefore(defaultIdleTimeout)
	env.agent.tableCompleteAt = env.agent.tableCompleteAt.Add(-defaultIdleTimeout)
	env.Equal(env.verdict(), seek.Denied)

	env = newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.agent.Configure(route.NewTable(6, nil, time.Minute))
	env.agent.Configure(unset) // The last idle timeout remains.
	env.startedBefore(defaultIdleTimeout)
	env.agent.tableCompleteAt = env.agent.tableCompleteAt.Add(-defaultIdleTimeout)
	env.Equal(env.verdict(), seek.Perhaps)
}
