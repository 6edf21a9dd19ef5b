package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// laterSyn is the SYN of a later flow with the key of the one that the tests open.
var laterSyn = flow.Header{Syn: true, Seq: 1 << 30}

// undecidedEnv returns an agent that has started again, and whose server may hold a flow: by a saved list, or by a probe that the server hasn't
// answered.
func undecidedEnv(t *testing.T, saved bool) *testEnv {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	if saved {
		env.restore()
		return env
	}
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	return env
}

// Guards against the reset of a flow that has just opened: for 30 s its agent used the denial of an earlier flow with the same key, as soon as
// the new one was no longer in its table.
func TestDenialEndsWithNextSyn(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	bounced := request
	bounced.Bounced = true
	env.receiveFromServer(1, bounced)
	env.Equal(env.verdict(), seek.Denied)
	env.openFlow()
	key := flow.NewKey(client, service)
	env.agent.mu.Lock()
	env.agent.handleEviction(key, env.agent.flows.Peek(key))
	env.agent.flows.Delete(key)
	env.agent.mu.Unlock()
	env.Equal(env.verdict(), seek.Perhaps)

	// A packet of the server shows that it holds the flow, too.
	env.agent.mu.Lock()
	env.agent.denied.Put(key, struct{}{}, env.agent.startedAt)
	env.agent.mu.Unlock()
	env.receiveFromServer(5, flow.Header{Ack: true, AckNumber: 1, Len: 50})
	env.agent.mu.Lock()
	denied := env.agent.denied.Peek(key) != nil
	env.agent.mu.Unlock()
	env.True(!denied)
}

// Guards against the reset of a flow that is about to open: its server's reply to a late packet of an earlier flow with the key, or that
// packet, returned, ended what the agent knew of both.
func TestEndOfEarlierFlowKeepsFlowOfNextSyn(t *testing.T) {
	for _, saved := range []bool{true, false} {
		for _, reply := range []flow.Header{{Rst: true, Seq: 50}, {Ack: true, Bounced: true, Seq: 10, Len: 100}} {
			env := undecidedEnv(t, saved)
			env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, laterSyn)
			env.Equal(env.read(env.server), []byte{2})
			env.receiveFromServer(3, reply)
			env.True(env.verdict() != seek.Denied)
			env.receiveFromServer(4, flow.Header{Syn: true, Ack: true, Seq: 1 << 31, AckNumber: 1<<30 + 1})
			env.Equal(env.read(env.client), []byte{4})
			env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, flow.Header{Ack: true, Seq: 1<<30 + 1, AckNumber: 1<<31 + 1})
			env.Equal(env.read(env.server), []byte{5})
			env.receiveFromServer(6, flow.Header{Ack: true, Seq: 1<<31 + 1, AckNumber: 1<<30 + 1})
			env.Equal(env.verdict(), seek.Held)
		}
	}
}

// A packet of the flow of the SYN itself that the server returns is a denial: the client has chosen another server.
func TestBouncedPacketOfNextSynIsDenied(t *testing.T) {
	for _, saved := range []bool{true, false} {
		env := undecidedEnv(t, saved)
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, laterSyn)
		env.Equal(env.read(env.server), []byte{2})
		env.receiveFromServer(3, flow.Header{Syn: true, Ack: true, Seq: 1 << 31, AckNumber: 1<<30 + 1})
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, flow.Header{Ack: true, Seq: 1<<30 + 1, AckNumber: 77})
		env.Equal(env.read(env.server), []byte{4})
		env.receiveFromServer(4, flow.Header{Ack: true, Seq: 1<<30 + 1, AckNumber: 77, Bounced: true})
		env.Equal(env.readKind(env.entry), encap.Return)
		env.Equal(env.verdict(), seek.Denied)
	}
}

// Guards against a flow that can't open: after a restart of the agent the server confirmed an earlier flow with the key, of which the agent hasn't
// seen the SYN, so that it took the later flow's SYN for a copy and returned its packets.
func TestSynOverConfirmedFlowLetsServerDecide(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveFromServer(1, flow.Header{Ack: true, AckNumber: 10, Len: 50})
	env.Equal(env.read(env.client), []byte{1})
	env.Equal(env.verdict(), seek.Held)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, laterSyn)
	env.Equal(env.read(env.server), []byte{2})
	env.Equal(env.verdict(), seek.Opening)
	for id, h := range map[byte]flow.Header{3: {Ack: true, Seq: 1<<30 + 1, AckNumber: 1 << 31}, 4: {Ack: true, Seq: 10, AckNumber: 50}} {
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, id, h)
		env.Equal(env.read(env.server), []byte{id})
	}
	env.endServer()
	env.Equal(env.read(env.client), nil) // No reset: which flow the server held isn't known.
}

// A copy of the SYN of a confirmed flow changes nothing.
func TestCopyOfSynKeepsConfirmedFlow(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveFromServer(1, flow.Header{Ack: true, AckNumber: 1<<30 + 100, Len: 50})
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, laterSyn)
	env.Equal(env.read(env.server), []byte{2})
	env.Equal(env.verdict(), seek.Held)
}

// Guards against a new flow that a draining server takes, and against one that is taken for an earlier one: of two SYNs with the key of a flow
// that the server may hold, the second may be of another flow than the first.
func TestSecondSynOfUndecidedFlowIsAnotherFlow(t *testing.T) {
	for _, saved := range []bool{true, false} {
		env := undecidedEnv(t, saved)
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, laterSyn)
		env.Equal(env.read(env.server), []byte{2})
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 3, flow.Header{Syn: true, Seq: laterSyn.Seq, AckNumber: 1})
		env.Equal(env.read(env.server), []byte{3}) // A copy.
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 4, flow.Header{Syn: true, Seq: 1 << 29})
		env.Equal(env.read(env.server), []byte{4})
		env.receiveFromServer(5, flow.Header{Syn: true, Ack: true, Seq: 1 << 31, AckNumber: 1<<29 + 1})
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, flow.Header{Ack: true, Seq: 1<<29 + 1, AckNumber: 77})
		env.Equal(env.read(env.server), []byte{6}) // The server decides: one of the SYNs may be late, and the server hold the flow of the first.
		env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining, hb.Sequence = true, 8 })
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 7, laterSyn)
		env.Equal(env.read(env.server), nil)
		env.Equal(env.readKind(env.fallback), encap.Open)
	}
}

// Guards against a SYN that no server answers: the server can't take the new flow, and the agent dropped its SYN, since a saved list has the key.
// What the list tells of the earlier flow is kept.
func TestBouncedSynWithKeyOfSavedFlowIsPassedOn(t *testing.T) {
	env := undecidedEnv(t, true)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, laterSyn)
	env.Equal(env.read(env.server), []byte{2})
	env.receiveFromServer(2, flow.Header{Syn: true, Seq: laterSyn.Seq, Bounced: true})
	env.Equal(env.readKind(env.fallback), encap.Open)
	env.Equal(env.verdict(), seek.Opening)
}

// Guards against packets of an open flow that its agent returns: a late SYN of an earlier flow with the key, which the server ignores, replaced what
// the agent knew of the open one.
func TestLateSynKeepsOpenFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, AckNumber: 1, Len: 50})
	for i := range uint32(2) {
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 5, flow.Header{Syn: true, Seq: 1<<30 + i<<20})
		env.Equal(env.read(env.server), []byte{5})
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, flow.Header{Ack: true, Seq: 10, AckNumber: 50})
		env.Equal(env.read(env.server), []byte{6})
	}
	env.receiveFromServer(7, flow.Header{Ack: true, Seq: 50, AckNumber: 10, Len: 50})
	env.Equal(env.verdict(), seek.Held)
}
