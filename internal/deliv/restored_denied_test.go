package deliv

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Guards against packets that go to a server that has just bounced them, and against the reset that follows: the saved list names a flow that
// has ended since, and replaced what the restarted agent had learned from the server.
func TestSavedListDoesNotReplaceDenial(t *testing.T) {
	first := newTestEnv(t, true)
	first.receiveHeartbeat(nil)
	first.openFlow()
	first.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	first.agent.SaveFlowList()
	var saved savedFlowList
	first.NoErr(cbor.Unmarshal(first.store.list, &saved))

	env := newTestEnv(t, false)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(1, flow.Header{Ack: true, Len: request.Len, Bounced: true})
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.verdict(), seek.Denied)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 30 })
	env.True(env.agent.tryRestore(saved))
	env.Equal(env.verdict(), seek.Denied)
}
