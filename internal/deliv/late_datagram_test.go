package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// A datagram that waited at an entry's link arrives after its flow has ended and left the table. It must not reach the server or the client.
func TestLateDatagramOfForgottenFlowIsReturned(t *testing.T) {
	for _, kind := range []encap.Kind{encap.Forward, encap.Probe} {
		env := newTestEnv(t, true)
		env.receiveHeartbeat(nil)
		env.receiveDatagram(encap.Header{Kind: kind}, 1, request)
		env.Equal(env.readKind(env.entry), encap.Return)
		env.Equal(env.read(env.server), nil)
		env.Equal(env.read(env.client), nil)
		env.Equal(env.verdict(), seek.Denied)
	}
}

// A late datagram of an earlier flow must not end the handshake of a flow with the same key.
func TestLateDatagramOfEarlierFlowKeepsOpeningFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, laterRequest)
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.verdict(), seek.Opening)
}

// A pause of the agent before its first configuration must not count towards the time after which its table is complete.
func TestPauseBeforeFirstConfigurationKeepsTableIncomplete(t *testing.T) {
	const pause = 30 * time.Second
	env := newTestEnv(t, false)
	env.startedBefore(pause)
	env.agent.tableCompleteAt = env.agent.tableCompleteAt.Add(-pause)
	env.agent.lastRunAt = env.agent.lastRunAt.Add(-pause)
	env.agent.Configure(env.cluster.table)
	env.agent.tick()
	env.Equal(env.unknownFlowVerdict(), seek.Perhaps)
	env.agent.Configure(env.cluster.table)
	env.Equal(env.unknownFlowVerdict(), seek.Perhaps)
}
