package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// nearRequests are packets of a later flow with the same key that acknowledge bytes near those of the earlier one, or whose own are near.
var nearRequests = []flow.Header{
	{Ack: true, AckNumber: 1 << 20, Seq: 1 << 30, Len: 100},
	{Ack: true, AckNumber: 60, Seq: 1 << 30, Len: 100},
	{Ack: true, AckNumber: 1 << 30, Seq: 60, Len: 100},
}

// Guards against the reset of an open flow by the server of an earlier flow with the same key, which has just ended and answers data with an
// RST: the two flows' acknowledgements were within 16 MiB, and the client's own numbers weren't compared.
func TestNearPacketWithKeyOfClosedFlowIsReturned(t *testing.T) {
	for _, h := range nearRequests {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.openFlow()
		env.closeFlow()
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, h)
		if env.read(env.server) != nil {
			env.receiveFromServer(7, flow.Header{Rst: true, Seq: 50})
		}
		env.Equal(env.read(env.client), nil)
		env.Equal(env.readKind(env.entry), encap.Return)
	}
}

// Guards against the same where the earlier flow hasn't ended at the server.
func TestNearPacketWithKeyOfOpenFlowIsReturned(t *testing.T) {
	for _, h := range nearRequests {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.openFlow()
		env.receiveFromServer(5, flow.Header{Ack: true, AckNumber: 1, Len: 50})
		env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, h)
		env.Equal(env.read(env.server), nil)
		env.Equal(env.readKind(env.entry), encap.Return)
		env.Equal(env.verdict(), seek.Held)
	}
}

// Guards against the reset of a flow that is about to open: its server returned a late packet of an earlier flow with the same key, and the
// agent took that for a denial of the new one.
func TestBouncedPacketOfEarlierFlowKeepsOpeningFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(6, flow.Header{Ack: true, AckNumber: 1 << 31, Seq: 1 << 30, Len: 100, Bounced: true})
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.verdict(), seek.Opening)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, request)
	env.Equal(env.read(env.server), []byte{4})
}

// Guards against packets of a flow that is about to open which don't reach its server: the server's reply to a late packet of an earlier flow
// with the same key counted as one of the new flow.
func TestReplyToEarlierFlowIsNoReplyToSyn(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Ack: true, Seq: 1 << 30, AckNumber: 1 << 31})
	env.Equal(env.verdict(), seek.Opening)
	env.receiveFromServer(3, flow.Header{Rst: true, Seq: 1 << 30})
	env.Equal(env.verdict(), seek.Opening)
	env.Equal(env.readKind(env.entry), encap.Kind(0))
	env.receiveFromServer(4, flow.Header{Syn: true, Ack: true, AckNumber: 1})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, request)
	env.Equal(env.read(env.server), []byte{5})
}

// Guards against packets of an open flow that its agent returns: a reply of the server to a late packet of an earlier flow with the same key
// changed the numbers by which the agent tells the two apart.
func TestNumbersAreOfTheFlowThatTheServerHolds(t *testing.T) {
	ofEarlier := flow.Header{Ack: true, Seq: 1 << 30, AckNumber: 1 << 29}
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, AckNumber: 1, Len: 50})
	env.receiveFromServer(5, ofEarlier)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, request)
	env.Equal(env.read(env.server), []byte{6})

	// Data shows which flow the server holds, and a SYN+ACK that it may hold another one.
	ofEarlier.Len = 50
	env.receiveFromServer(7, ofEarlier)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 8, flow.Header{Ack: true, Seq: 1 << 29, AckNumber: 1<<30 + 50})
	env.Equal(env.read(env.server), []byte{8})
	env.receiveFromServer(9, flow.Header{Syn: true, Ack: true, Seq: 1 << 28, AckNumber: 1 << 27})
	env.Equal(env.verdict(), seek.Opening)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 10, flow.Header{Ack: true, Seq: 1 << 27, AckNumber: 1 << 28})
	env.Equal(env.read(env.server), []byte{10})
	env.receiveFromServer(11, flow.Header{Ack: true, Seq: 1 << 28, AckNumber: 1 << 27, Len: 50})
	env.Equal(env.verdict(), seek.Held)
}
