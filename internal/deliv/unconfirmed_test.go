package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// restore restores the test's flow from a saved list, which has an earlier flow's number.
func (env *testEnv) restore() {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	env.agent.restoreFlows([]flow.Key{flow.NewKey(client, service)}, []uint32{50}, 0, time.Now())
}

// Guards against the reset of an open flow after a restart of its agent: the saved list had the number of an earlier flow with the same key,
// so that the agent returned all packets of the flow that its server held.
func TestPacketWithKeyOfSavedFlowReachesServer(t *testing.T) {
	for _, kind := range []encap.Kind{encap.Forward, encap.Probe} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.restore()
		env.receiveDatagram(encap.Header{Kind: kind}, 1, laterRequest)
		env.Equal(env.read(env.server), []byte{1})
		env.Equal(env.verdict(), seek.Opening)
		env.receiveFromServer(2, flow.Header{Ack: true, Seq: laterRequest.AckNumber, AckNumber: laterRequest.Seq + 100, Len: 50})
		env.Equal(env.read(env.client), []byte{2})
		env.Equal(env.readKind(env.entry), encap.Claim)
		env.Equal(env.verdict(), seek.Held)
		next := laterRequest
		next.Seq, next.AckNumber = next.Seq+100, next.AckNumber+50
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 3, next)
		env.Equal(env.read(env.server), []byte{3})
		env.Equal(env.read(env.entry), nil)
	}
}

// Guards against entries that wait for a server's decision while the request that they probe with waits for a slot.
func TestProbeOfSavedFlowIsNotQueued(t *testing.T) {
	for _, kind := range []encap.Kind{encap.Probe, encap.Forward} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.restore()
		env.fillSlots()
		env.receiveDatagram(encap.Header{Kind: kind}, 1, request)
		if kind == encap.Forward {
			env.Equal(env.read(env.server), nil)
			env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
		}
		env.Equal(env.read(env.server), []byte{1})
	}
}

// Guards against an entry that takes a server for the holder at which a flow with the key has ended: such a server acknowledges a FIN, and
// answers a SYN that the client sends to several servers.
func TestReplyThatIsNoProofDoesNotConfirmSavedFlow(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.restore()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 1, flow.Header{Ack: true, Fin: true, Seq: 10})
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Ack: true, AckNumber: 11})
	env.Equal(env.verdict(), seek.Opening)
	env.receiveFromServer(3, flow.Header{Syn: true, Ack: true, Seq: 50})
	env.Equal(env.verdict(), seek.Opening)
	env.Equal(env.readKind(env.entry), encap.Kind(0))
}

// Guards against the reset of flows that are open at another server: the server of a flow that had ended, but that a saved list still named,
// left or started again.
func TestEndOfServerResetsOnlyConfirmedFlows(t *testing.T) {
	for _, c := range []struct {
		name                 string
		confirmed, restarted bool
	}{
		{"ended", false, false}, {"ended", true, false}, {"restarted", false, true}, {"restarted", true, true},
	} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.settle(func(hb *server.Heartbeat) { hb.Sequence = 8 })
		env.restore()
		if c.confirmed {
			env.receiveFromServer(1, flow.Header{Ack: true, Seq: 50, Len: 7})
			env.Equal(env.read(env.client), []byte{1})
		}
		if c.restarted {
			env.startedBefore(time.Minute)
			env.ageFlows(time.Minute)
			env.receiveRestart(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(time.Minute) })
		} else {
			env.endServer()
		}
		var want []byte
		if c.confirmed {
			want = []byte{'R', 57}
		}
		if got := env.read(env.client); string(got) != string(want) {
			t.Errorf("%+v: client got %v, want %v", c, got, want)
		}
		env.Equal(env.verdict(), seek.Denied)
	}
}

// Guards against a holder that doesn't claim its flow: the entry's probe came before the saved list, which then replaced what the agent knew
// of the entry.
func TestSavedListKeepsEntryOfProbedFlow(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	env.restore()
	env.receiveFromServer(2, flow.Header{Ack: true, Len: 50})
	env.Equal(env.readKind(env.entry), encap.Claim)
	env.Equal(env.verdict(), seek.Held)
	env.Equal(env.agent.gauges(), gauges{flows: 1})
}

// Guards against flows that no agent knows any more after two restarts in a row: what a saved list names is saved again though the server has
// not confirmed it.
func TestUnconfirmedFlowIsSavedAgain(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.restore()
	env.agent.mayReplaceList = true
	env.agent.SaveFlowList()
	saved, err := parseFlowList(env.store.list)
	env.NoErr(err)
	env.Equal(encap.ParseKeys(saved.Keys), []flow.Key{flow.NewKey(client, service)})
	env.Equal(saved.NextSeqs, []uint32{50})
}

// Guards against the reset of an open flow whose agent has started again: a late RST of an earlier flow with the same key made the agent take the
// flow for one that had ended.
func TestResetOfClientDoesNotEndUndecidedFlow(t *testing.T) {
	for _, saved := range []bool{true, false} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		want := seek.Perhaps
		if saved {
			env.restore()
			want = seek.Opening
		}
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 1, flow.Header{Rst: true, Seq: 1 << 30})
		env.Equal(env.read(env.server), []byte{1})
		env.completeTable()
		env.Equal(env.verdict(), want)
	}
}

// Guards against packets of an open flow that an entry drops: it probes by what it knew before the server confirmed the flow, and the agent
// didn't say that its server holds it.
func TestProbeOfConfirmedFlowIsClaimed(t *testing.T) {
	for _, c := range []struct {
		h    flow.Header
		want encap.Kind
	}{{request, encap.Claim}, {laterRequest, encap.Return}} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.restore()
		env.receiveFromServer(1, flow.Header{Ack: true, AckNumber: 10, Len: 50})
		env.receiveDatagram(encap.Header{Kind: encap.Probe}, 2, c.h)
		env.Equal(env.readKind(env.entry), c.want)
		env.Equal(env.read(env.server) != nil, c.want == encap.Claim)
	}
}
