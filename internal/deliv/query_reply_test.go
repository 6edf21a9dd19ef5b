package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
)

// reply passes a datagram of the entry to the agent and returns the header of the agent's reply.
func (env *testEnv) reply(datagram []byte) encap.Header {
	env.Helper()
	env.agent.handleDatagram(ptest.Addr(env.entry), append(make([]byte, encap.HeaderSize), datagram...))
	reply, _, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	return reply
}

// Guards against a denial that an entry records for a flow although the agent replied to the query for an earlier flow from the same port:
// the reply must tell the search that it is for.
func TestReplyRepeatsIDOfSearch(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	query := encap.Header{Kind: encap.Query, Version: 77}
	env.Equal(env.reply(query.AppendWithKey(nil, flow.NewKey(client, service))).Version, uint64(77))
}
