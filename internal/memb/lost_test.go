package memb

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/settle"
	"github.com/bergamotrun/bergamotrun/internal/view"
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

// Guards against resets of the flows of agents that started while this entry stood still, or its machine was suspended: its directory is
// old, and the agents may not know it.
func TestAgentsAreNotAllKnownAfterLongPause(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 2)
	n := g.entries[0]
	is.True(n.AllAgentsKnown())
	suspended := time.Duration(0)
	n.opts.Suspended = func() time.Duration { return suspended }
	n.tick()
	suspended = longPause + time.Second
	n.tick()
	is.True(!n.AllAgentsKnown())
	is.True(n.rereadDue(time.Now().Add(time.Millisecond)))
	n.mu.Lock()
	n.settlingSince = n.settlingSince.Add(-settle.DiscoveryTime)
	n.mu.Unlock()
	is.True(!n.AllAgentsKnown()) // The others started when this one did, but that was long ago.
	n.onPeerRecords(g.entries[1].self.Control, ctrl.PeerRecords{List: 1, Count: 1})
	is.True(n.AllAgentsKnown())
}

// Guards against an agent that an entry doesn't take for a possible holder although it is listed: a process that ended at its address had a
// later time of day, and the agent doesn't know the entry, so that it can't contradict.
func TestListedAgentWithEarlierClockIsContacted(t *testing.T) {
	is := is.New(t)
	for _, state := range []view.State{view.Gone, view.Lost} {
		n := newGroup(t, 1).entries[0]
		agent := newEntry(t, netip.MustParseAddrPort("127.0.0.3:1"), new(memoryDirectory))
		agent.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
		agent.self.Role, agent.self.Service = view.Agent, ServiceNumber(route.ServiceID("intake"))
		ended := agent.self
		ended.Incarnation, ended.State, ended.Since = agent.self.Incarnation+4, state, time.Now()
		listed := agent.self
		go func() { _ = agent.opts.Link.Serve() }()
		n.mergeRecords([]view.Record{ended})
		n.mergeRecords([]view.Record{listed})
		known := func() bool { return len(n.PossibleHolders([]uint64{route.ServiceID("intake")})) == 1 }
		for deadline := time.Now().Add(testPeriod); !known() && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			agent.tick()
		}
		is.True(known())
	}
}
