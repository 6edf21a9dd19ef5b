package relay

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against the reset of an open flow: a newer configuration, which this entry doesn't have yet, has routed the flow to
// another service after the agent of that service sent its list.
func TestEarlierListDoesNotDenyFlowOfNewerConfiguration(t *testing.T) {
	tr := newTestRelay(t)
	tr.cluster.age = time.Second // Not confirmed since the flow's packet came.
	tr.cluster.possibleHolders = tr.cluster.possibleHolders[:1]
	tr.relay.lists[ptest.Addr(tr.agentB)] = &flowList{requestedAt: time.Now().Add(-10 * time.Second), complete: true, exhaustive: true, version: 5, keys: map[flow.Key]struct{}{}}
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held, Version: 6})
	tr.True(!tr.receivesReset())
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
}
