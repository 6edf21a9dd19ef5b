package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
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

// Guards against the reset of an open flow at the moment when the idle timeout has passed since the agent's start: its client sent its first
// packet shortly before and sends copies until its deadline, but none has got here, since entries search by lists alone as long as another
// agent's reply is missing, or their links are full.
func TestFlowIsNotDeniedWhileItsClientMayRetransmit(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.agent.Configure(env.cluster.table)
	exhaustiveList := func(now time.Time) bool {
		env.agent.mu.Lock()
		env.agent.sendFlowList(ptest.Addr(env.entry), encap.ListPart{RequestID: 9}.Append(nil), now)
		env.agent.mu.Unlock()
		header, _, err := encap.Parse(env.read(env.entry))
		env.NoErr(err)
		return header.Hops == encap.Exhaustive
	}
	env.agent.mu.Lock()
	idleAt := env.agent.startedAt.Add(env.cluster.table.Idle)
	env.agent.mu.Unlock()
	deadline := idleAt.Add(env.cluster.table.Routes[0].Timeout)
	for _, c := range []struct {
		at   time.Time
		want seek.Verdict
	}{
		{idleAt.Add(idleMargin), seek.Perhaps},
		{deadline, seek.Perhaps},
		{deadline.Add(idleMargin), seek.Denied},
	} {
		env.agent.mu.Lock()
		got := env.agent.verdict(flow.NewKey(client, service), c.at)
		env.agent.mu.Unlock()
		if got != c.want || exhaustiveList(c.at) != (c.want == seek.Denied) {
			t.Errorf("%s after the start: %s", c.at.Sub(env.agent.startedAt), got)
		}
	}
}

// Guards against the same for a flow that the agent knows: it left the table once it was idle, while its client's packets didn't get here.
func TestIdleFlowStaysInTableWhileItsClientMayRetransmit(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.agent.Configure(env.cluster.table)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	for _, c := range []struct {
		idleFor time.Duration
		want    seek.Verdict
	}{{env.cluster.table.Idle + env.cluster.table.Routes[0].Timeout, seek.Held}, {idleMargin + time.Second, seek.Denied}} {
		env.agent.mu.Lock()
		env.agent.flows.ExtendIdleTime(-c.idleFor)
		env.agent.mu.Unlock()
		env.agent.sweep()
		env.Equal(env.verdict(), c.want)
	}
}

// Guards against the reset of a flow that is open at another server: the client has given up an earlier flow with its key without a sign, and the
// server of that one, which still holds it, leaves. After the idle timeout the earlier flow may have been discarded, so that its end needs no reset.
func TestIdleFlowIsNotResetOnceItMayBeDiscarded(t *testing.T) {
	for _, c := range []struct {
		idleFor time.Duration
		reset   bool
	}{{-time.Second, true}, {time.Second, false}} {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.agent.Configure(env.cluster.table)
		env.openFlow()
		env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
		env.Equal(env.read(env.client), []byte{4})
		env.agent.mu.Lock()
		env.agent.flows.ExtendIdleTime(-env.cluster.table.Idle - c.idleFor)
		env.agent.mu.Unlock()
		env.endServer()
		env.Equal(env.read(env.client) != nil, c.reset)
		env.Equal(env.verdict(), seek.Denied)
	}
}
