package memb

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/view"
)

// Guards against resets by an entry that starts while an agent is in its planned stop and not listed in the directory, as in an outage
// of the store: the other entries leave the agent out of their replies to its hello, so that it takes the rest for all agents.
func TestHelloReplyNamesAgentInPlannedStop(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 2)
	other := g.entries[1]
	g.agent.State, g.agent.Epoch = view.Draining, 1
	for _, n := range g.entries {
		g.heartbeat(n)
		silence(n)
		n.tick()
	}
	starting := newEntry(t, netip.MustParseAddrPort("127.0.1.9:1"), new(memoryDirectory))
	go func() { _ = starting.opts.Link.Serve() }()
	starting.SetSeeds([]netip.AddrPort{other.self.Control})
	known := func() bool {
		starting.mu.Lock()
		defer starting.mu.Unlock()
		_, ok := starting.view.Get(otherAddr)
		return ok
	}
	for deadline := time.Now().Add(testPeriod); !known() && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		starting.tick()
		other.tick()
	}
	is.True(starting.peerCount() > 0) // The other entry has replied.
	is.True(known())
}
