package deliv

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// laterRequest is a packet of a later flow with the same key, which is open at another server: it acknowledges that server's bytes.
var laterRequest = flow.Header{Ack: true, AckNumber: 1<<31 + 77, Seq: 1 << 30, Len: 100}

// Guards against packets of an open flow that an entry keeps sending to another server: the client uses the key of a flow that has closed
// here, and the entry wasn't told that the server bounced them.
func TestBouncedPacketWithKeyOfClosedFlowIsReturned(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.closeFlow()
	env.ageUse()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	if env.read(env.server) != nil {
		bounced := laterRequest
		bounced.Bounced = true
		env.receiveFromServer(6, bounced)
	}
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.read(env.client), nil)
}

// Guards against the reset of an open flow: the client uses the key of a flow that has ended at another server, which answers data with an
// RST.
func TestRequestWithKeyOfClosedFlowIsNotReset(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.closeFlow()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	if env.read(env.server) != nil {
		env.receiveFromServer(7, flow.Header{Rst: true, Seq: laterRequest.AckNumber})
	}
	env.Equal(env.read(env.client), nil)
	env.Equal(env.readKind(env.entry), encap.Return)
}

// Guards against the reset of an open flow: the client gave up an earlier flow with the same key, whose end the agent hasn't seen, and
// opened this one at another server.
func TestBouncedPacketOfLaterFlowIsReturned(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	if env.read(env.server) != nil {
		bounced := laterRequest
		bounced.Bounced = true
		env.receiveFromServer(6, bounced)
	}
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.readKind(env.entry), encap.Return)
}

// Guards against the same where the earlier flow comes from a saved list: it has ended while no agent ran.
func TestBouncedPacketWithKeyOfRestoredFlowIsReturned(t *testing.T) {
	first := newTestEnv(t, true)
	first.receiveHeartbeat(nil)
	first.openFlow()
	first.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	first.agent.SaveFlowList()
	var saved savedFlowList
	first.NoErr(cbor.Unmarshal(first.store.list, &saved))

	env := newTestEnv(t, false)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	env.True(env.agent.tryRestore(saved))
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	if env.read(env.server) != nil {
		bounced := laterRequest
		bounced.Bounced = true
		env.receiveFromServer(6, bounced)
	}
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.readKind(env.entry), encap.Return)
}

// Guards against the reset of an open flow by an agent whose own server has failed: the flow with the same key that it knows is an earlier
// one.
func TestFailedServerDoesNotResetLaterFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.agent.server.CompensatePause(-10 * time.Second)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.readKind(env.entry), encap.Return)
	env.endServer()
	env.Equal(env.read(env.client), []byte{'R', 50}) // The earlier flow's.
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	env.Equal(env.read(env.client), nil)
	env.Equal(env.readKind(env.entry), encap.Return)
}

// Guards against packets of an open flow that reach only another server, one that still holds an earlier flow with the same key and therefore
// doesn't bounce them.
func TestPacketOfLaterFlowDoesNotReachServer(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.entry), encap.Return)
}

// ageUse makes the last use of all flows in the table longer ago.
func (env *testEnv) ageUse() {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	env.agent.flows.ExtendIdleTime(-2 * closedFlowTTL)
}

// A packet of the flow itself must not be taken for one of another flow: numbers wrap around, acknowledgements may be late, and what a saved
// list tells may be of an earlier flow.
func TestPacketOfSameFlowReachesServer(t *testing.T) {
	const late = 60_000 // Both ends have at most 16 packets of 1,200 bytes in flight.
	for _, c := range []struct {
		server, client flow.Header
		phase          flowPhase
		same           bool
	}{
		{server: flow.Header{Ack: true}, client: flow.Header{Ack: true, AckNumber: 1<<32 - maxUnackedBytes}, same: true},
		{server: flow.Header{Ack: true, Seq: 1<<32 - 1}, client: flow.Header{Ack: true, AckNumber: 1}, same: true},
		{server: flow.Header{Ack: true, Seq: 1 << 31}, client: flow.Header{Ack: true, AckNumber: 1<<31 - late}, same: true},
		{server: flow.Header{Ack: true, Seq: 1 << 31}, client: flow.Header{Ack: true, AckNumber: 1<<31 + 1<<17}},
		{server: flow.Header{Ack: true, Seq: 1 << 31}, client: flow.Header{Ack: true, AckNumber: 1<<31 - 1<<17}},
		{server: flow.Header{Ack: true, AckNumber: 1<<32 - 1}, client: flow.Header{Ack: true, Seq: maxUnackedBytes}, same: true},
		{server: flow.Header{Ack: true, AckNumber: 1 << 31}, client: flow.Header{Ack: true, Seq: 1<<31 - late}, same: true},
		{server: flow.Header{Ack: true, AckNumber: 1 << 31}, client: flow.Header{Ack: true, Seq: 1<<31 - 1<<17}},
		{server: flow.Header{Ack: true, Seq: 1 << 31}, client: flow.Header{Ack: true, AckNumber: 1 << 30}, phase: phaseUnconfirmed, same: true},
		{server: flow.Header{Ack: true, Seq: 1 << 31}, client: flow.Header{Ack: true, AckNumber: 1 << 30}, phase: phaseProbing, same: true},
		{server: flow.Header{Ack: true, Seq: 1 << 31}, client: flow.Header{Ack: true, AckNumber: 1 << 30}, phase: phaseClosed},
	} {
		f := flowState{phase: phaseOpen}
		f.recordNumbers(c.server)
		if c.phase != 0 {
			f.phase = c.phase
		}
		if got := !f.isOtherFlow(c.client); got != c.same {
			t.Errorf("%+v: same flow: %t", c, got)
		}
	}
	unknown := flowState{phase: phaseOpen}
	if unknown.isOtherFlow(flow.Header{Ack: true, AckNumber: 1 << 31}) {
		t.Error("no numbers are known")
	}
	unknown.phase = phaseClosed
	if !unknown.isOtherFlow(flow.Header{Ack: true, AckNumber: 1 << 31}) {
		t.Error("nothing shows that the packet is of the flow that has ended")
	}
}

// Guards against the reset of a flow that is open at another server: a saved list names an earlier flow with its key, and the numbers of the
// two don't tell them apart.
func TestBouncedPacketOfRestoredFlowIsReturned(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.agent.mu.Lock()
	env.agent.restoreFlows([]flow.Key{flow.NewKey(client, service)}, []uint32{50}, 0, time.Now())
	env.agent.mu.Unlock()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 1, ack)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(1, flow.Header{Ack: true, Bounced: true})
	env.Equal(env.read(env.client), nil) // No reset.
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.verdict(), seek.Denied)
}
