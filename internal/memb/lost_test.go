package memb

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/route"
)

// Guards against resets of flows that are open and not yet idle for as long as they may be: their agent hangs on an instance that answers,
// and was forgotten after 30 s. Only silence and time bound the wait for it.
func TestHangingAgentIsAwaitedForIdleTimeout(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	const idle = 2 * lostTimeout
	n := g.entries[0]
	n.opts.Connector.(*stubConnector).answers.Store(true)
	n.adopt(route.NewTable(7, nil, idle), time.Now(), "test")
	now := time.Now()
	silentFor := func(silence time.Duration) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.peers[otherAddr].lastHeartbeat = now.Add(-silence)
		n.updateSilentPeers(now)
	}
	for _, other := range []*Node{g.entries[2], g.entries[1], n} {
		silence(other)
		other.tick()
	}
	is.True(!g.deadAtFirst(testPeriod))
	now = time.Now()
	silentFor(idle - time.Second)
	is.True(!n.Dead(otherAddr))
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 1)
	silentFor(idle + lostTimeout)
	is.True(n.Dead(otherAddr))
}

