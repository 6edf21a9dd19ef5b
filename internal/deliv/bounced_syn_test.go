package deliv

import (
	"context"
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of a flow that is open at another server, which took a copy of the SYN: the SYN was sent to this server by an
// earlier process of the agent, and bounced after the agent's restart, so that the agent knows no entry to return it to.
func TestBouncedSynOfEarlierProcessIsNotReset(t *testing.T) {
	first := newTestEnv(t, true)
	first.receiveHeartbeat(nil)
	first.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	first.agent.SaveFlowList()

	env := newTestEnv(t, false)
	env.store.list = first.store.list
	env.receiveHeartbeat(nil)
	env.agent.loadFlowList(context.Background())
	env.receiveFromServer(1, flow.Header{Syn: true, Bounced: true})
	env.Equal(env.read(env.client), nil) // No reset.
}

// Guards against the reset of an open flow: a delayed copy of its SYN reaches the server when it can't accept new flows, and the agent took
// the bounced copy for the end of the flow.
func TestBouncedCopyOfSynKeepsOpenFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(4, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{4})
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	if env.read(env.server) != nil {
		env.receiveFromServer(1, flow.Header{Syn: true, Bounced: true})
	}
	env.Equal(env.verdict(), seek.Held)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, ack)
	env.Equal(env.read(env.server), []byte{5})
	env.Equal(env.read(env.client), nil) // No reset.
}
