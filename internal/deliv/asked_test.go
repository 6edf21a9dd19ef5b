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

// query passes an entry's query for a flow to the agent and returns the verdict in its reply.
func (env *testEnv) query(key flow.Key) seek.Verdict {
	env.Helper()
	header := encap.Header{Kind: encap.Query}
	b := header.AppendWithKey(make([]byte, encap.HeaderSize), key)
	env.agent.handleDatagram(ptest.Addr(env.entry), b)
	reply, _, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(reply.Kind, encap.QueryReply)
	return reply.Verdict
}

// Guards against the reset of an open flow: its client has sent a packet, for which an entry asks the agents, but the packet hasn't reached
// this one by the time its table counts as complete. Nothing has shown meanwhile that the server doesn't hold the flow.
func TestFlowThatWasAskedForIsNotDeniedOnceTableIsComplete(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	key := flow.NewKey(client, service)
	env.Equal(env.query(key), seek.Perhaps)
	env.completeTable()
	env.Equal(env.query(key), seek.Perhaps)
	env.Equal(env.listedPerhaps(), []flow.Key{key}) // A complete list would deny it.
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1}) // The server can tell.
	env.receiveFromServer(1, flow.Header{Ack: true, Len: request.Len, Bounced: true})
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.query(key), seek.Denied)
	env.Equal(len(env.listedPerhaps()), 0)
}

// listedPerhaps returns the keys that the agent would list as those of flows that the server may hold.
func (env *testEnv) listedPerhaps() []flow.Key {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	groups := env.agent.flowKeys(time.Now())
	env.Equal(groups[0].verdict, seek.Perhaps)
	return groups[0].keys
}

// Guards against the same where the entry began its search with a list of before the table was complete: its probe must reach the server.
func TestProbeReachesServerJustAfterTableIsComplete(t *testing.T) {
	for _, c := range []struct {
		completeFor time.Duration
		kind        encap.Kind
		delivered   bool
	}{
		{0, encap.Probe, true},
		{5 * time.Second, encap.Probe, true}, // Entries keep a search for as long.
		{searchMargin, encap.Probe, false},
		{0, encap.Forward, false},
	} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.startedBefore(time.Minute)
		env.agent.tableCompleteAt = time.Now().Add(-c.completeFor)
		env.receiveDatagram(encap.Header{Kind: c.kind}, 1, request)
		env.Equal(env.read(env.server) != nil, c.delivered)
		if c.delivered {
			env.Equal(env.verdict(), seek.Perhaps)
			env.receiveFromServer(1, flow.Header{Ack: true, Len: request.Len, Bounced: true})
		}
		env.Equal(env.readKind(env.entry), encap.Return)
		env.Equal(env.verdict(), seek.Denied)
	}
}

// Guards against lost flows that entries keep probing for: the agent has run since before its server started, so that the server can't hold a
// flow that the agent hasn't seen, whoever asked for it before.
func TestFlowThatWasAskedForIsDeniedAfterStartOfServer(t *testing.T) {
	env := newTestEnv(t, false)
	env.startedBefore(time.Minute)
	env.noticeAbsence()
	key := flow.NewKey(client, service)
	env.Equal(env.query(key), seek.Perhaps)
	env.receiveRestart(func(*server.Heartbeat) {})
	env.Equal(env.query(key), seek.Denied)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.entry), encap.Return)
}
