package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of an open flow by a server that doesn't hold it: an entry probes several servers for the flow, and one at which
// a flow with this key has ended answers data with an RST.
func TestResetInReplyToProbeDoesNotReachClient(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Rst: true})
	env.Equal(env.read(env.client), nil)
	env.True(env.verdict() != seek.Held)
}

// Guards against the same by a server that took a copy of the SYN and that the client hasn't chosen.
func TestResetOfServerThatWasNotChosenDoesNotReachClient(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true, Seq: 1 << 31})
	env.Equal(env.read(env.client), []byte{2})
	env.receiveFromServer(3, flow.Header{Rst: true})
	env.Equal(env.read(env.client), nil)
	env.True(env.verdict() != seek.Held)
}

// Guards against an entry that moves an open flow to a server that doesn't hold it: a server at which a flow with this key has ended
// acknowledges a FIN.
func TestAcknowledgedFinIsNoClaim(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, flow.Header{Ack: true, Fin: true, Seq: 10})
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Ack: true, AckNumber: 11})
	env.Equal(env.readKind(env.entry), encap.Kind(0))
	env.Equal(env.verdict(), seek.Perhaps)
}

// Guards against packets of an open flow that reach only another server: at one that the client hasn't chosen and that has given up the
// flow, the agent took the flow for one that had closed, and didn't tell the entry that the server bounced its packets.
func TestRequestAfterResetOfServerThatWasNotChosenIsReturned(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true, Seq: 1 << 31})
	env.receiveFromServer(3, flow.Header{Rst: true})
	for env.read(env.entry) != nil { // The agent may tell the entry at once.
	}
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, request)
	if env.read(env.server) != nil {
		bounced := request
		bounced.Bounced = true
		env.receiveFromServer(4, bounced)
	}
	env.Equal(env.readKind(env.entry), encap.Return)
}

// Guards against the same where the agent knows the key only from a saved list, or not at all.
func TestResetOfFlowThatWasNotSeenDoesNotReachClient(t *testing.T) {
	for _, restored := range []bool{true, false} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		if restored {
			env.agent.mu.Lock()
			env.agent.restoreFlows([]flow.Key{flow.NewKey(client, service)}, []uint32{0}, 0, time.Now())
			env.agent.mu.Unlock()
			env.receiveDatagram(encap.Header{Kind: encap.Forward}, 1, request)
			env.Equal(env.read(env.server), []byte{1})
		}
		env.receiveFromServer(2, flow.Header{Rst: true})
		env.Equal(env.read(env.client), nil)
		env.Equal(env.verdict(), seek.Denied)
	}
}

// Guards against callers of a flow that wait until their deadline: a late SYN had come to the flow, so that the agent took each RST of the server for
// one of before the reply to that SYN, which never came.
func TestResetAfterLateSynDenies(t *testing.T) {
	for _, c := range []struct {
		sinceSyn time.Duration
		want     seek.Verdict
	}{{0, seek.Opening}, {maxHandshakeTime + time.Millisecond, seek.Denied}} {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.openFlow()
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, request)
		env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 6, flow.Header{Syn: true, Seq: 1 << 30})
		env.ageFlows(c.sinceSyn)
		env.receiveFromServer(7, flow.Header{Rst: true, Seq: 50})
		env.Equal(env.verdict(), c.want)
	}
}

// An acknowledgement of a flow that the agent hasn't seen may be that of a FIN that its predecessor sent on.
func TestAcknowledgementOfUnknownFlowIsNoProof(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveFromServer(1, ack)
	env.Equal(env.read(env.client), []byte{1})
	env.completeTable()
	env.Equal(env.verdict(), seek.Perhaps)
	env.receiveFromServer(2, flow.Header{Ack: true, Len: 50})
	env.Equal(env.verdict(), seek.Held)
}

// completeTable lets the time pass after which a restarted agent's table counts as complete.
func (env *testEnv) completeTable() {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	env.agent.tableCompleteAt = time.Now()
}

// Guards against the reset of an open flow by the server of an earlier one with the same key, which has ended there: the agent sent on the RST by
// which that server answers a late packet of the earlier flow. A client that was reset and sends again must still learn it.
func TestResetOfEndedFlowDoesNotReachClient(t *testing.T) {
	for _, resetByServer := range []bool{true, false} {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.openFlow()
		if resetByServer {
			env.receiveFromServer(4, flow.Header{Rst: true, Seq: 1})
			env.Equal(env.read(env.client), []byte{4})
		} else {
			env.closeFlow()
		}
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, request) // Of the flow that has ended.
		env.Equal(env.read(env.server), []byte{6})
		env.receiveFromServer(7, flow.Header{Rst: true, Seq: 50})
		env.Equal(env.read(env.client) != nil, resetByServer)
		if !resetByServer {
			env.Equal(env.verdict(), seek.Held) // The client may still get the end of the last response.
		}
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 8, laterRequest) // The client uses the port again.
		env.receiveFromServer(9, flow.Header{Rst: true, Seq: 50})
		env.Equal(env.read(env.client), nil)
	}
}
