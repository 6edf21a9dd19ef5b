package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of an open flow: the agent returns a late packet of an earlier flow with the same key, and the entry takes that
// for a denial of the open one.
func TestReturnTellsOfFlowWithSameKey(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	header, _, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Kind, encap.Return)
	env.Equal(header.Verdict, seek.Held)
	env.endServer()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	header, _, err = encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Kind, encap.Return)
	env.True(header.Verdict != seek.Held)
}

// Guards against the same while the server runs the flow's first request and has sent nothing but its SYN+ACK.
func TestReturnTellsOfChosenFlowWithSameKey(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 3, request)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	header, _, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Kind, encap.Return)
	env.Equal(header.Verdict, seek.Held)
}

// Guards against the same where the server was sent the SYN of a flow beside one that a saved list names: what it holds isn't decided yet.
func TestReturnTellsOfUnconfirmedFlowWithSameKey(t *testing.T) {
	env := undecidedEnv(t, true)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, laterSyn)
	env.receiveFromServer(2, flow.Header{Ack: true, Seq: 10, Len: 100, Bounced: true})
	header, _, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Kind, encap.Return)
	env.Equal(header.Verdict, seek.Held)
}
