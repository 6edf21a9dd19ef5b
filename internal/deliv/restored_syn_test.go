package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of an open flow by an agent whose server took an unchosen copy of its SYN and has ended. The agent took that SYN
// for a copy of one of a flow in the saved list, which has the same key and counts as open.
func TestSynWithKeyOfRestoredFlowIsNotOpen(t *testing.T) {
	for _, c := range []struct {
		seq     uint32
		verdict seek.Verdict
		reset   bool
	}{{1<<31 + 77, seek.Opening, false}, {0, seek.Opening, false}, {0, seek.Held, true}} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.agent.mu.Lock()
		env.agent.restoreFlows([]flow.Key{flow.NewKey(client, service)}, []uint32{50}, 0, time.Now())
		env.agent.mu.Unlock()
		env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, flow.Header{Syn: true, Seq: 1 << 30})
		env.Equal(env.read(env.server), []byte{1})
		env.receiveFromServer(2, flow.Header{Syn: true, Ack: true, Seq: c.seq})
		env.Equal(env.read(env.client), []byte{2})
		if c.verdict == seek.Held {
			env.receiveFromServer(3, flow.Header{Ack: true, Seq: c.seq, Len: 50}) // No SYN+ACK: the client has chosen this server.
			env.Equal(env.read(env.client), []byte{3})
		}
		env.Equal(env.verdict(), c.verdict)
		env.endServer()
		env.Equal(env.read(env.client) != nil, c.reset)
	}
}
