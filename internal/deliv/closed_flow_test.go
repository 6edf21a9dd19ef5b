package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against packets of an open flow that go to the server of an earlier flow with the same key: queries found the earlier flow long
// after it had closed, though lists no longer had it.
func TestFlowThatClosedLongAgoIsDenied(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.closeFlow()
	env.Equal(env.verdict(), seek.Held)
	env.ageUse()
	env.Equal(len(env.listed()), 0)
	env.Equal(env.verdict(), seek.Denied)
}

// Guards against the same for a flow that the client ended during its handshake, so that the server never held it.
func TestFlowThatWasResetWhileOpeningIsNotHeld(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 3, flow.Header{Rst: true})
	env.True(env.verdict() != seek.Held)
	env.Equal(len(env.listed()), 0)
}
