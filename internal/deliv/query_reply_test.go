package deliv

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
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

// Guards against callers of lost flows that wait for probes: the server has just started or ended, so that it certainly holds none. A
// table that is complete only since flows may be idle for no longer doesn't show that.
func TestDenialIsCertainOnlyByStartOrEndOfServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		decide  func(env *testEnv)
		certain bool
	}{
		{"start of the server", func(env *testEnv) { env.receiveRestart(func(*server.Heartbeat) {}) }, true},
		{"time", func(env *testEnv) { env.completeTable() }, false},
	} {
		env := newTestEnv(t, false)
		env.startedBefore(time.Minute)
		env.noticeAbsence()
		c.decide(env)
		query := encap.Header{Kind: encap.Query}
		reply := env.reply(query.AppendWithKey(nil, flow.NewKey(client, service)))
		env.Equal(reply.Verdict, seek.Denied)
		list := encap.Header{Kind: encap.ListFlows}
		b := make([]byte, encap.HeaderSize)
		list.Encode(b)
		listed := env.reply(encap.ListPart{RequestID: 1}.Append(b))
		env.True(listed.Hops&encap.Exhaustive != 0)
		for _, header := range []encap.Header{reply, listed} {
			if certain := header.Hops&encap.Certain != 0; certain != c.certain {
				t.Errorf("%s, kind %d: got certain %t", c.name, header.Kind, certain)
			}
		}
	}
}
