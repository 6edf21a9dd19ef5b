package deliv

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// A restarted agent must not deny flows of a server that is older than the agent, however late the server's first heartbeat
// comes: entries would reset these flows.
func TestLateFirstHeartbeatDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.startedBefore(5 * time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	env.Equal(env.verdict(), seek.Perhaps)
	env.settle(func(hb *server.Heartbeat) { hb.Sequence = 31 })
	env.Equal(env.verdict(), seek.Perhaps)
}

// After the wall clock was set back, a server that is older than the agent looks younger. Its sequence number must keep the
// agent from denying its flows.
func TestClockStepDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.startedBefore(5 * time.Second)
	younger := time.Now().Add(-time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt = 30, younger })
	env.Equal(env.verdict(), seek.Perhaps)
	env.settle(func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt = 31, younger })
	env.Equal(env.verdict(), seek.Perhaps)
}

// startedBefore makes the agent older.
func (env *testEnv) startedBefore(d time.Duration) {
	env.agent.startedAt, env.agent.incompleteSince = env.agent.startedAt.Add(-d), env.agent.incompleteSince.Add(-d)
}

// Guards against the reset of all open flows of a new server: its clock was set back between its start and that of its agent, which
// was killed and took the server, by its start time and its remaining cold time, for one that no agent had acknowledged before.
func TestServerIsNotNewByItsStartTime(t *testing.T) {
	for _, sequence := range []uint64{2, 3, 5} {
		for _, ahead := range []time.Duration{-time.Minute, -700 * time.Millisecond, -time.Millisecond, 0, 500 * time.Millisecond, time.Minute} {
			for _, cold := range []time.Duration{0, time.Millisecond, 2 * time.Second, time.Minute} {
				env := newTestEnv(t, false)
				start := time.Now().Add(ahead)
				change := func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt, hb.ColdRemaining = sequence, start, cold }
				env.receiveHeartbeat(change)
				env.Equal(env.verdict(), seek.Perhaps)
				env.settle(func(hb *server.Heartbeat) { change(hb); hb.Sequence++ })
				env.Equal(env.verdict(), seek.Perhaps)
			}
		}
	}
}

// An agent that has run since before its server started knows all flows of the server. It must deny others, or entries
// would probe the server for them. The server's clock and the number of its heartbeats don't matter, but only whether the agent has found
// that no server was running.
func TestServerStartedAfterAgentCompletesTable(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -time.Second, time.Hour} {
		for _, sequence := range []uint64{2, 20} {
			for _, absent := range []bool{true, false} {
				env := newTestEnv(t, false)
				env.startedBefore(9 * time.Second)
				if absent {
					env.noticeAbsence()
				} else {
					env.True(!env.agent.checkAbsence(context.Background()))
				}
				env.Equal(env.verdict(), seek.Perhaps)
				start := time.Now().Add(ahead)
				env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt = sequence, start })
				env.True(env.agent.checkAbsence(context.Background())) // The first heartbeat has come.
				env.Equal(env.verdict(), seek.Perhaps)
				env.settle(func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt = sequence+1, start })
				want := seek.Perhaps
				if absent {
					want = seek.Denied
				}
				env.Equal(env.verdict(), want)
			}
		}
	}
}

// noticeAbsence ends the server before its first heartbeat and lets the agent find out that none is running.
func (env *testEnv) noticeAbsence() {
	env.Helper()
	env.NoErr(env.running.Close())
	env.True(env.agent.checkAbsence(context.Background()))
}

// The same holds if the agent knows an earlier start of its server.
func TestRestartOfServerCompletesTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.startedBefore(time.Minute)
	env.receiveHeartbeat(nil)
	env.settle(func(hb *server.Heartbeat) { hb.Sequence = 8 })
	env.Equal(env.verdict(), seek.Perhaps)
	env.endServer()
	restart := func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(time.Minute) }
	env.receiveRestart(restart)
	env.Equal(env.verdict(), seek.Denied)
}

// What the agent found out before a full table evicted an open flow doesn't make its table complete.
func TestAbsenceBeforeEvictionDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.noticeAbsence()
	env.agent.mu.Lock()
	env.agent.handleEviction(flow.NewKey(service, client), &flowState{phase: phaseOpen})
	env.agent.mu.Unlock()
	env.receiveRestart(func(*server.Heartbeat) {})
	env.Equal(env.verdict(), seek.Perhaps)
}

// A pause of the agent's process must not make its server look younger: the first heartbeat may have been queued meanwhile.
func TestHeartbeatQueuedInPauseDoesNotCompleteTable(t *testing.T) {
	env := newTestEnv(t, false)
	env.startedBefore(9 * time.Second)
	env.agent.lastRunAt = env.agent.lastRunAt.Add(-4 * time.Second)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 2 })
	env.settle(func(hb *server.Heartbeat) { hb.Sequence = 3 })
	env.Equal(env.verdict(), seek.Perhaps)
}

// Guards against the reset of flows by the order of start times: the clock was set back between two starts of the server, and a delayed
// heartbeat of the first one looks like that of a restart.
func TestDelayedHeartbeatWithLaterStartTimeKeepsFlows(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		env := newTestEnv(t, firstStart)
		env.receiveHeartbeat(nil)
		env.openFlow()
		env.receiveFromServer(4, ack)
		env.Equal(env.read(env.client), []byte{4})
		env.ageFlows(time.Minute)
		env.agent.server.CompensatePause(-2 * time.Second)
		env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.ID, hb.Sequence, hb.StartedAt = "i-0", 1, time.Now().Add(time.Minute) })
		env.Equal(env.verdict(), seek.Held)
		env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 60 })
		env.settle(func(hb *server.Heartbeat) { hb.Sequence = 61 })
		env.Equal(env.verdict(), seek.Held)
		env.Equal(env.read(env.client), nil) // No reset.
	}
}

// Guards against the reset of flows that a server opened before the first heartbeat of its new start, while its clock was ahead: its start
// time is later than the flows then.
func TestRestartWithClockAheadKeepsFlowsOfNewStart(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, ack)
	env.Equal(env.read(env.client), []byte{4})
	env.receiveRestart(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(100*365*24*time.Hour) })
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.read(env.client), nil) // No reset.
}

// Guards against the reset of all flows in a saved list by the order of start times: the first heartbeat after the agent's restart is a
// delayed one, of an earlier start whose clock was ahead.
func TestSavedListOfEarlierStartTimeIsNotReset(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.agent.SaveFlowList()
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(env.store.list, &saved))

	successor := newTestEnv(t, false)
	successor.receiveHeartbeat(func(hb *server.Heartbeat) { hb.ID, hb.Sequence, hb.StartedAt = "i-0", 1, startedAt.Add(time.Minute) })
	successor.True(!successor.agent.tryRestore(saved))
	successor.Equal(successor.read(successor.client), nil)
	_, save := successor.agent.encodeFlowList(true)
	successor.True(!save) // The list would replace that of the running server.
	successor.agent.server.CompensatePause(-10 * time.Second)
	successor.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	successor.True(successor.agent.tryRestore(saved))
	successor.Equal(successor.verdict(), seek.Opening)
	successor.Equal(successor.read(successor.client), nil)
}

// A server that is running, by its connection, and that has started later than the saved list's, by its clock, doesn't hold the list's flows.
// Guards against clients that learn too late for another try that their flows are lost with all machines, and, later after the agent's start, against
// the reset of flows that are open at other servers: the list may name earlier ones with their keys.
func TestSavedListIsDroppedOnceSenderIsConfirmed(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.agent.SaveFlowList()
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(env.store.list, &saved))
	for _, c := range []struct {
		later, uptime time.Duration
		lost, reset   bool
	}{{time.Minute, 0, true, true}, {time.Minute, 2 * maxListResetDelay, true, false}, {-time.Minute, 0, false, false}} {
		successor := newTestEnv(t, false)
		successor.agent.startedAt = time.Now().Add(-c.uptime)
		hb := server.Heartbeat{
			ID: "i-2", Service: "desk", Address: ptest.Addr(successor.server), Slots: 1, Sequence: 2, StartedAt: startedAt.Add(c.later),
		}
		confirm, err := successor.agent.HandleHeartbeat(hb)
		successor.NoErr(err)
		successor.True(confirm)
		successor.True(!successor.agent.tryRestore(saved))
		successor.agent.ConfirmSender(hb)
		successor.Equal(successor.agent.tryRestore(saved), c.lost)
		successor.Equal(successor.read(successor.client) != nil, c.reset)
		successor.Equal(successor.verdict(), seek.Perhaps) // No denial: the server may hold a later flow with the key.
		hb.Sequence++
		confirm, err = successor.agent.HandleHeartbeat(hb)
		successor.NoErr(err)
		successor.True(!confirm)
	}
}

// The same for a saved list of a start whose time is later than that of the running one, since the clock was set back between them, once the
// running one is settled.
func TestSavedListOfLaterStartTimeIsDroppedOnceSettled(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.agent.SaveFlowList()
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(env.store.list, &saved))

	successor := newTestEnv(t, false)
	restart := func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(-time.Minute) }
	successor.receiveHeartbeat(restart)
	successor.True(!successor.agent.tryRestore(saved))
	successor.settle(func(hb *server.Heartbeat) { restart(hb); hb.Sequence = 8 })
	successor.agent.startedAt = time.Now().Add(-2 * maxListResetDelay)
	successor.True(successor.agent.tryRestore(saved))
	successor.Equal(successor.read(successor.client), nil) // No reset.
	successor.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	successor.Equal(successor.read(successor.server), []byte{1}) // The server can tell.
	successor.receiveFromServer(1, flow.Header{Ack: true, Seq: request.Seq, Len: request.Len, Bounced: true})
	successor.Equal(successor.readKind(successor.entry), encap.Return)
	successor.Equal(successor.verdict(), seek.Denied)
	successor.Equal(successor.read(successor.client), nil)
}

// A delayed heartbeat of an earlier start may be the first that a restarted agent receives. The next heartbeat is then not
// the sign of a restart, and must not reset flows that the agent has learned from the server's packets.
func TestDelayedHeartbeatBeforeFirstOneKeepsFlows(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.ID = "i-0" })
	for _, later := range []time.Time{startedAt.Add(time.Minute), time.Now().Add(time.Minute)} {
		env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt = 30, later })
		env.settle(func(hb *server.Heartbeat) { hb.Sequence, hb.StartedAt = 31, later })
	}
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.read(env.client), nil) // No reset.
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.read(env.server), []byte{6})
	env.Equal(env.unknownFlowVerdict(), seek.Perhaps)
}

// After a pause of the process, packets may be handled before the next tick. Heartbeats that were missed meanwhile must not
// count against the server, whose flows would be reset.
func TestPauseOfAgentKeepsFlowsBeforeNextTick(t *testing.T) {
	const pause = 10 * time.Second
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, ack)
	env.Equal(env.read(env.client), []byte{4})
	env.agent.lastRunAt = env.agent.lastRunAt.Add(-pause)
	env.agent.server.CompensatePause(-pause) // Heartbeats and packets are as old as the last event.
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.read(env.server), []byte{6})
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.verdict(), seek.Held)
}

// unknownFlowVerdict returns the agent's verdict on a flow that it has never seen.
func (env *testEnv) unknownFlowVerdict() seek.Verdict {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	return env.agent.verdict(flow.NewKey(service, client), time.Now())
}

// A delayed heartbeat of an earlier start must not let the saved list of the running server pass for one of an earlier start:
// all flows of the server would be reset.
func TestSavedListOfLaterStartIsNotReset(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.agent.SaveFlowList()
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(env.store.list, &saved))

	successor := newTestEnv(t, false)
	successor.receiveHeartbeat(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-0", startedAt.Add(-time.Minute) })
	successor.True(!successor.agent.tryRestore(saved)) // The list may be of a later start, whose heartbeats follow.
	successor.Equal(successor.read(successor.client), nil)
	successor.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	successor.True(successor.agent.tryRestore(saved))
	successor.Equal(successor.verdict(), seek.Opening)
}

// The first save must leave out young flows without marking them as saved, or the list would lack them until the server has
// many newer ones.
func TestYoungFlowIsSavedLater(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	young := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	env.agent.flows.Put(young, flowState{phase: phaseOpen, firstSeen: time.Now()}, time.Now())
	env.agent.flows.Peek(flow.NewKey(client, service)).firstSeen = time.Now().Add(-minSaveAge)
	_, changed := env.agent.encodeFlowList(false)
	env.True(changed)
	env.agent.flows.Peek(young).firstSeen = time.Now().Add(-minSaveAge)
	list, changed := env.agent.encodeFlowList(false)
	env.True(changed)
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(list, &saved))
	env.Equal(len(saved.NextSeqs), 2)
}

// A server that starts again accepts flows before its first heartbeat, while the agent takes it for the earlier start. That
// heartbeat must reset only the flows of the earlier start.
func TestFlowOpenedBeforeFirstHeartbeatOfRestartIsKept(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	lost := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	env.agent.flows.Put(lost, flowState{phase: phaseOpen, firstSeen: time.Now().Add(-time.Minute), serverNextSeq: 9}, time.Now())
	restartedAt := time.Now().Add(-time.Second)
	env.openFlow()
	env.receiveFromServer(4, ack)
	env.Equal(env.read(env.client), []byte{4})
	env.receiveRestart(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", restartedAt })
	env.Equal(env.read(env.client), []byte{'R', 9})
	env.Equal(env.read(env.client), nil) // Only one reset.
	env.Equal(env.verdict(), seek.Held)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.read(env.server), []byte{6})
}

// A client sends copies of its SYN to several servers and opens the flow at one of them. If another one restarts, its agent
// must not reset the flow, neither at the restart nor when a packet of the flow comes.
func TestRestartOfServerThatWasNotChosenKeepsFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.Equal(env.read(env.client), []byte{2})
	env.ageFlows(time.Minute)
	env.receiveRestart(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(time.Minute) })
	env.Equal(env.read(env.client), nil) // No reset.
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.readKind(env.entry), encap.Return) // The entry finds the flow's server.
	env.Equal(env.read(env.client), nil)
}

// The same holds if the server that was not chosen has ended.
func TestDeathOfServerThatWasNotChosenKeepsFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.Equal(env.read(env.client), []byte{2})
	env.endServer()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.read(env.client), nil)
}

// endServer ends the server without a notice and lets the agent notice it.
func (env *testEnv) endServer() {
	env.Helper()
	env.NoErr(env.running.Close())
	env.agent.server.CompensatePause(-10 * time.Second) // Heartbeats and packets were long ago.
	env.True(env.agent.checkExit(context.Background()))
	env.True(env.agent.server.HasEnded())
}

// In a pause the agent misses the packets by which it would learn or keep flows. The pause must not count towards the time
// after which its table is complete, nor towards the idle time of flows: the agent would deny flows that its server holds.
func TestPauseOfAgentDoesNotAgeFlowTable(t *testing.T) {
	const pause = time.Minute
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.verdict(), seek.Held)
	env.agent.tableCompleteAt = env.agent.tableCompleteAt.Add(-pause)
	env.agent.flows.ExtendIdleTime(-pause)
	env.agent.lastRunAt = env.agent.lastRunAt.Add(-pause)
	env.agent.sweep()
	env.agent.startedAt = env.agent.startedAt.Add(-pause)
	env.agent.Configure(env.cluster.table)
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.unknownFlowVerdict(), seek.Perhaps)
}

// closeFlow lets both ends of an open flow send their FIN.
func (env *testEnv) closeFlow() {
	env.Helper()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, flow.Header{Ack: true, Fin: true})
	env.Equal(env.read(env.server), []byte{4})
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50, Fin: true})
	env.Equal(env.read(env.client), []byte{5})
}

// listed returns the keys that the agent would list as held.
func (env *testEnv) listed() []flow.Key {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	groups := env.agent.flowKeys(time.Now())
	env.Equal(groups[2].verdict, seek.Held)
	return groups[2].keys
}

// Guards against the reset of an open flow whose client uses the port of a closed one: the agent took it for the closed flow,
// and lists denied it.
func TestFlowWithKeyOfClosedFlowIsOpen(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.closeFlow()
	env.openFlow()
	env.receiveFromServer(6, flow.Header{Ack: true, Len: 50})
	env.Equal(env.agent.gauges().flows, 1)
	env.Equal(env.listed(), []flow.Key{flow.NewKey(client, service)})
}

// Guards against a new flow that reaches a draining server since its client uses the port of a closed one.
func TestDrainingServerGetsNoFlowWithKeyOfClosedFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.closeFlow()
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining, hb.Sequence = true, 8 })
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.fallback), encap.Open)
}

// Guards against the reset of a client that still gets the end of the last response: queries found a flow on which both ends
// had sent a FIN, but exhaustive lists denied it.
func TestListIncludesFlowThatHasJustClosed(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.closeFlow()
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.listed(), []flow.Key{flow.NewKey(client, service)})
	env.agent.mu.Lock()
	env.agent.flows.ExtendIdleTime(-2 * closedFlowTTL)
	env.agent.mu.Unlock()
	env.Equal(len(env.listed()), 0)
}

// Guards against flows that no agent knows any more after two planned restarts in a row: an agent that stops before it has
// restored its predecessor's list must not replace it by the few flows that it has seen itself.
func TestListIsNotReplacedBeforeItIsRestored(t *testing.T) {
	first := newTestEnv(t, true)
	first.receiveHeartbeat(nil)
	first.openFlow()
	first.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	first.agent.SaveFlowList()

	second := newTestEnv(t, false)
	second.store.list = first.store.list
	second.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	other := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	second.agent.mu.Lock()
	second.agent.setPhase(second.agent.flows.Put(other, flowState{}, time.Now()), phaseOpen)
	second.agent.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	second.NoErr(second.agent.maintainFlowList(ctx)) // It stops while the store or the first heartbeat is awaited.
	second.agent.SaveFlowList()
	second.Equal(second.store.list, first.store.list)

	second.agent.loadFlowList(context.Background())
	second.agent.SaveFlowList()
	var saved savedFlowList
	second.NoErr(cbor.Unmarshal(second.store.list, &saved))
	second.Equal(len(encap.ParseKeys(saved.Keys)), 2)
}

// Guards against flows that a restarted agent doesn't know although its predecessor stopped as planned: a flow counts as
// opening until the server responds to its first request, which may be queued for long.
func TestFinalListIncludesOpeningFlows(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.agent.SaveFlowList()
	env.True(env.store.list != nil)

	successor := newTestEnv(t, false)
	successor.store.list = env.store.list
	successor.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	successor.agent.loadFlowList(context.Background())
	successor.Equal(successor.verdict(), seek.Opening)
	successor.Equal(successor.agent.gauges().flows, 1)
	successor.store.list = nil
	successor.agent.SaveFlowList() // It may stop again before the flow is used.
	successor.True(successor.store.list != nil)

	restarted := newTestEnv(t, false)
	restarted.store.list = env.store.list
	restarted.receiveHeartbeat(func(hb *server.Heartbeat) { hb.StartedAt = startedAt.Add(time.Second) })
	restarted.agent.loadFlowList(context.Background())
	restarted.Equal(restarted.agent.gauges().flows, 0)
	restarted.Equal(restarted.read(restarted.client), nil) // The flow may be open at another server.
}

// Guards against packets of an open flow that reach only another server: at one that a copy of the SYN went to, and that the
// client didn't choose, the first request waited for a free slot before the server returned it.
func TestRequestToServerThatWasNotChosenIsReturnedAtOnce(t *testing.T) {
	for _, kind := range []encap.Kind{encap.Forward, encap.Probe} {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
		env.Equal(env.read(env.server), []byte{1})
		env.receiveFromServer(2, flow.Header{Syn: true, Ack: true, Seq: 1 << 31})
		env.fillSlots()
		env.receiveDatagram(encap.Header{Kind: kind}, 3, flow.Header{Ack: true, AckNumber: 77, Seq: 10, Len: 100})
		env.Equal(env.readKind(env.entry), encap.Return)
		env.Equal(env.read(env.server), nil)
		env.Equal(env.verdict(), seek.Opening) // The packet may be a late one of an earlier flow with the same key.
	}
}

// Guards against an entry that takes a server for the holder only because it hasn't returned a probe: the agent of a server that
// the client has chosen must say so.
func TestProbeToChosenServerIsClaimed(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true, Seq: math.MaxUint32})
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 3, flow.Header{Ack: true, AckNumber: 0, Seq: 10, Len: 100})
	env.Equal(env.readKind(env.entry), encap.Claim)
	env.Equal(env.read(env.server), []byte{3})
}

// Guards against parts of two replies to a duplicated list request that are taken for one list.
func TestRepliesToOneListRequestDiffer(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow() // The flow is listed as opening, and the held ones take another part.
	replyID := func() encap.ReplyID {
		_, body, err := encap.Parse(env.read(env.entry))
		env.NoErr(err)
		id := encap.ParseReplyID(body)
		env.True(id != 0)
		return id
	}
	env.agent.mu.Lock()
	for range 2 {
		env.agent.sendFlowList(ptest.Addr(env.entry), encap.ListPart{RequestID: 9}.Append(nil), time.Now())
	}
	env.agent.mu.Unlock()
	first := replyID()
	env.Equal(replyID(), first)
	second := replyID()
	env.True(second != first)
	env.Equal(replyID(), second)
}

// Guards against flows that a restarted agent doesn't know although its predecessor stopped as planned: the agent let SYNs
// through to the server while its final list was being saved.
func TestNoFlowIsOpenedAfterFinalList(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	other := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	env.agent.mu.Lock()
	env.agent.setPhase(env.agent.flows.Put(other, flowState{}, time.Now()), phaseOpen)
	env.agent.mu.Unlock()
	saving := false
	env.store.beforeSave = func() {
		saving = true
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
		env.Equal(env.readKind(env.fallback), encap.Open) // Passed on.
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5, Hops: 1}, 1, syn)
		env.Equal(env.read(env.server), nil)
		env.Equal(env.read(env.client), nil) // No reset: the client sends further copies of the SYN.
	}
	env.agent.SaveFlowList()
	env.True(saving)
}

// Guards against the same for flows whose SYN was sent to the server just before: the final list must include them, and copies
// of the SYN may still reach the server.
func TestFinalListIncludesFlowWithoutReplyToSyn(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	stale := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	env.agent.flows.Put(stale, flowState{phase: phaseOpening, firstSeen: time.Now().Add(-maxHandshakeTime)}, time.Now())
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.agent.SaveFlowList()
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.True(env.store.list != nil)
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(env.store.list, &saved))
	env.Equal(encap.ParseKeys(saved.OpeningKeys), []flow.Key{flow.NewKey(client, service)})
}

// Guards against a first request that waits for a slot at a server that the client may not have chosen, and against an entry that
// drops the packets of a flow although it has probed the right server: after a restart the agent hasn't seen the SYN+ACK.
func TestProbeOfRestoredOpeningFlow(t *testing.T) {
	first := newTestEnv(t, true)
	first.receiveHeartbeat(nil)
	first.openFlow()
	first.agent.SaveFlowList()

	env := newTestEnv(t, false)
	env.store.list = first.store.list
	env.receiveHeartbeat(nil)
	env.agent.loadFlowList(context.Background())
	env.Equal(env.verdict(), seek.Opening)
	env.fillSlots()
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 3, request)
	env.Equal(env.read(env.server), []byte{3})
	env.receiveFromServer(4, flow.Header{Syn: true, Ack: true})
	env.Equal(env.readKind(env.entry), encap.Kind(0)) // A server that the client didn't choose sends its SYN+ACK again, too.
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.readKind(env.entry), encap.Claim)
}

// Guards against a reset of a client whose SYN another server could take: a restarted agent didn't learn the fallback agent of a
// restored flow from a copy of the SYN, which its server couldn't accept.
func TestSynOfRestoredFlowIsPassedOn(t *testing.T) {
	first := newTestEnv(t, true)
	first.receiveHeartbeat(nil)
	first.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	first.agent.SaveFlowList()

	env := newTestEnv(t, false)
	env.store.list = first.store.list
	env.receiveHeartbeat(nil)
	env.agent.loadFlowList(context.Background())
	env.Equal(env.verdict(), seek.Opening)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Syn: true, Bounced: true})
	env.Equal(env.readKind(env.fallback), encap.Open)
	env.Equal(env.read(env.client), nil) // No reset.
}

// Guards against open flows that the next process doesn't know: the store has returned to an older list since the last one was saved,
// and no flow has opened since.
func TestFinalListIsSavedThoughNoFlowIsNew(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, ack)
	env.agent.flows.Each(func(_ flow.Key, f *flowState) { f.firstSeen = f.firstSeen.Add(-2 * minSaveAge) })
	list, save := env.agent.encodeFlowList(false)
	env.True(save)
	env.NoErr(env.agent.storeFlowList(context.Background(), list))
	env.store.list = nil
	env.agent.SaveFlowList()
	env.Equal(env.store.list, list)
}

// Guards against a saved list of another writer that ends the process or fills the flow table.
func TestOddFlowListIsNotRestored(t *testing.T) {
	key := flow.NewKey(client, service).Append(nil)
	for name, list := range map[string]any{
		"number":          7,
		"text":            "x",
		"too few numbers": savedFlowList{Keys: key},
		"part of a key":   savedFlowList{Keys: key[1:], NextSeqs: []uint32{1}},
		"opening key":     savedFlowList{OpeningKeys: key[1:]},
		"too many":        savedFlowList{OpeningKeys: make([]byte, (maxFlows+1)*flow.KeySize)},
	} {
		env := newTestEnv(t, false)
		encoded, err := cbor.Marshal(list)
		env.NoErr(err)
		_, err = parseFlowList(encoded)
		env.True(err != nil)
		env.store.list = encoded
		env.receiveHeartbeat(nil)
		env.agent.loadFlowList(context.Background())
		if env.agent.gauges().flows != 0 {
			t.Errorf("%s: flows restored", name)
		}
	}
}

func FuzzFlowList(f *testing.F) {
	key := flow.NewKey(client, service).Append(nil)
	list, err := cbor.Marshal(savedFlowList{ServerID: "i-1", Keys: key, NextSeqs: []uint32{7}, OpeningKeys: key})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(list)
	f.Fuzz(func(t *testing.T, list []byte) {
		s, err := parseFlowList(list)
		if err == nil && len(encap.ParseKeys(s.Keys)) != len(s.NextSeqs) {
			t.Fatalf("%d keys, %d sequence numbers", len(encap.ParseKeys(s.Keys)), len(s.NextSeqs))
		}
	})
}
