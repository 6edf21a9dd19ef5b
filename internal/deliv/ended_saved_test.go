package deliv

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against the reset of an open flow: its addresses and ports are those of a flow that has ended, but that the saved list keeps as
// long as no flow is new. A later process resets the flows of the list when the server has started again.
func TestSavedListIsReplacedOnceItsFlowsHaveEnded(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.ageFlows(minSaveAge)
	_, save := env.agent.encodeFlowList(false)
	env.True(save)
	_, save = env.agent.encodeFlowList(false)
	env.True(!save) // Nothing has changed.
	env.closeFlow()
	list, save := env.agent.encodeFlowList(false)
	env.True(save)
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(list, &saved))
	env.Equal(len(saved.Keys), 0)
}

// Guards against the same where the list is of an earlier start of the server: a process must replace it though no flow is new, and
// reset none of its addresses and ports.
func TestSavedListOfEarlierStartIsReplaced(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.agent.SaveFlowList()

	successor := newTestEnv(t, false)
	successor.store.list = env.store.list
	later := func(hb *server.Heartbeat) { hb.StartedAt = startedAt.Add(time.Minute) }
	successor.receiveHeartbeat(later)
	successor.settle(func(hb *server.Heartbeat) { later(hb); hb.Sequence = 8 })
	successor.agent.startedAt = time.Now().Add(-2 * maxListResetDelay)
	successor.agent.loadFlowList(context.Background())
	successor.Equal(successor.read(successor.client), nil)
	list, save := successor.agent.encodeFlowList(false)
	successor.True(save)
	var saved savedFlowList
	successor.NoErr(cbor.Unmarshal(list, &saved))
	successor.Equal(len(saved.Keys), 0)
}

// A list is saved again after a failure, also one without flows.
func TestEmptyListIsSavedAgainAfterFailure(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.agent.opts.FlowListStore = failingStore{}
	env.True(env.agent.storeFlowList(context.Background(), nil) != nil)
	_, save := env.agent.encodeFlowList(false)
	env.True(save)
}

// failingStore is a FlowListStore that is down.
type failingStore struct{ *memoryStore }

// Save implements FlowListStore.
func (failingStore) Save(context.Context, []byte) error { return context.DeadlineExceeded }

// Guards against lists that name ended flows for any time: one in twenty flows isn't enough of a change to save the list at once, but is once
// the list is old.
func TestOldListWithoutEndedFlowsIsSaved(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.agent.mu.Lock()
	for i := range uint16(20) {
		k := flow.NewKey(netip.AddrPortFrom(client.Addr(), 5000+i), service)
		env.agent.setPhase(env.agent.flows.Put(k, flowState{firstSeen: time.Now().Add(-minSaveAge)}, time.Now()), phaseOpen)
	}
	env.agent.mu.Unlock()
	_, save := env.agent.encodeFlowList(false)
	env.True(save)
	ended := flow.NewKey(netip.AddrPortFrom(client.Addr(), 5000), service)
	env.agent.mu.Lock()
	env.agent.closeFlow(ended, env.agent.flows.Peek(ended))
	env.agent.mu.Unlock()
	_, save = env.agent.encodeFlowList(false)
	env.True(!save)
	env.agent.listSavedAt = env.agent.listSavedAt.Add(-maxListAge)
	list, save := env.agent.encodeFlowList(false)
	env.True(save)
	saved, err := parseFlowList(list)
	env.NoErr(err)
	env.Equal(len(saved.NextSeqs), 19)
	env.agent.listSavedAt = env.agent.listSavedAt.Add(-maxListAge)
	_, save = env.agent.encodeFlowList(false)
	env.True(!save) // Nothing has changed.
}
