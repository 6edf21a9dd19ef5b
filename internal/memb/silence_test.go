package memb

import (
	"context"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/alive"
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// group is a set of entries on the loopback interface that receive each other's datagrams and know an agent at otherAddr.
// Its tests drive their ticks.
type group struct {
	*testing.T
	entries []*Node
	agent   view.Record
}

func newGroup(t *testing.T, count int) *group {
	t.Helper()
	g := &group{T: t, agent: agentRecord("desk")}
	for i := range count {
		n := newEntry(t, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 1), new(memoryDirectory))
		n.startedAt, n.directoryRead = time.Now().Add(-time.Minute), time.Now()
		go func() { _ = n.opts.Link.Serve() }()
		g.entries = append(g.entries, n)
	}
	for _, n := range g.entries {
		for _, other := range g.entries {
			n.onState(other.self.Control, ctrl.State{Record: other.self})
		}
		g.heartbeat(n)
	}
	return g
}

// heartbeat passes a heartbeat of the agent to an entry.
func (g *group) heartbeat(n *Node) { n.onState(g.agent.Control, ctrl.State{Record: g.agent}) }

// silence makes the agent's last heartbeat at an entry too old.
func silence(n *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[otherAddr].lastHeartbeat = time.Now().Add(-2 * silenceTimeout)
}

// deadAtFirst drives the entries for a time while the agent sends heartbeats to the given ones, and reports whether the
// first entry took the agent for dead meanwhile.
func (g *group) deadAtFirst(duration time.Duration, heard ...*Node) bool {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, n := range heard {
			g.heartbeat(n)
		}
		for _, n := range g.entries {
			n.tick()
		}
		if g.entries[0].Dead(otherAddr) {
			return true
		}
	}
	return false
}

const testPeriod = 1500 * time.Millisecond

// Guards against resets of the flows of an agent whose heartbeats are lost on the way to one entry alone.
func TestSilenceAtOneEntryIsNotAFailure(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 5)
	silence(g.entries[0])
	is.True(!g.deadAtFirst(testPeriod, g.entries[1:]...))
	is.Equal(counterValue(g.entries[0], silenceContradictedCounter), int64(1))
	is.Equal(counterValue(g.entries[0], agentsFailedCounter), int64(0))
	silence(g.entries[1]) // Another entry in the same part of the network doesn't hear the agent either.
	is.True(!g.deadAtFirst(testPeriod, g.entries[2:]...))
}

// Guards against resets by an entry that missed the announcement of a planned stop, or started after it.
func TestMissedPlannedStopIsNotAFailure(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	g.agent.State, g.agent.Epoch = view.Draining, 1
	for _, n := range g.entries[1:] {
		g.heartbeat(n)
	}
	for _, n := range g.entries {
		silence(n)
	}
	is.True(!g.deadAtFirst(testPeriod))
	starting := g.entries[0]
	starting.mu.Lock()
	delete(starting.peers, otherAddr)
	starting.view = view.New()
	starting.mu.Unlock()
	starting.mergeRecords([]view.Record{g.entries[1].self, g.entries[2].self, g.entries[3].self, agentRecord("desk")})
	for _, other := range g.entries[1:] {
		starting.onState(other.self.Control, ctrl.State{Record: other.self})
	}
	silence(starting)
	is.True(!g.deadAtFirst(testPeriod))
}

// Guards against a failed agent whose flows are never reset, and against questions while no agent is silent.
func TestFailureIsConfirmedByOthers(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	is.Equal(len(g.entries[0].checkSuspicions(time.Now()).queries), 0)
	for _, n := range g.entries {
		silence(n)
	}
	is.True(g.deadAtFirst(testPeriod))
	is.Equal(counterValue(g.entries[0], agentsFailedCounter), int64(1))
	g.heartbeat(g.entries[0])
	is.True(!g.entries[0].Dead(otherAddr))
}

// Guards against resets of the flows of an agent that stands still, or whose start takes long: all entries miss its heartbeats, but its
// backend server lives. Its instance still answers, by a connection or by a refusal.
func TestSilenceOfRunningInstanceIsNotAFailure(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	connector := g.entries[0].opts.Connector.(*stubConnector)
	connector.answers.Store(true)
	for _, n := range g.entries {
		silence(n)
	}
	is.True(!g.deadAtFirst(testPeriod))
	connector.answers.Store(false) // The instance has lost power since.
	is.True(g.deadAtFirst(testPeriod))
}

// Guards against resets by an entry that can't tell whether an instance answers.
func TestFailedAttemptToConnectIsNotAFailure(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	g.entries[0].opts.Connector.(*stubConnector).failure = errors.New("no file descriptors are left")
	for _, n := range g.entries {
		silence(n)
	}
	is.True(!g.deadAtFirst(testPeriod))
}

// Guards against a refused connection that counts as no answer.
func TestRefusedConnectionIsAnAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	answers, err := TCPConnector{}.Connect(t.Context(), addr)
	is.NoErr(err)
	is.True(answers)
	is.NoErr(ln.Close())
	answers, err = TCPConnector{}.Connect(t.Context(), addr)
	is.NoErr(err)
	is.True(answers)
	expired, cancel := context.WithTimeout(t.Context(), -time.Second)
	defer cancel()
	answers, err = TCPConnector{}.Connect(expired, addr)
	is.NoErr(err)
	is.True(!answers)
}

// Guards against resets on silence alone while no other entry replies, as in a rolling upgrade from a release that ignores
// the question.
func TestSilenceWithoutRepliesIsNotAFailure(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	for _, n := range g.entries[1:] {
		is.NoErr(n.opts.Link.Close())
	}
	silence(g.entries[0])
	is.True(!g.deadAtFirst(testPeriod))
}

// Guards against the confirmation of a silence by an entry that can't know of a planned stop, or is cut off itself.
func TestOpinions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	longAgo := now.Add(-time.Minute)
	for _, c := range []struct {
		peer      *peer
		startedAt time.Time
		isolated  bool
		want      alive.Opinion
	}{
		{peer: nil, startedAt: longAgo, want: alive.None},
		{peer: &peer{contacted: true}, startedAt: now, isolated: true, want: alive.Heard},
		{peer: &peer{}, startedAt: longAgo, want: alive.None}, // Listed in the directory a moment ago.
		{peer: &peer{contacted: true, silent: true}, startedAt: longAgo, want: alive.Silent},
		{peer: &peer{contacted: true, silent: true}, startedAt: longAgo, isolated: true, want: alive.None},
		{peer: &peer{silent: true}, startedAt: now.Add(-plannedStopGrace / 2), want: alive.None},
		{peer: &peer{silent: true}, startedAt: longAgo, want: alive.Silent},
		{peer: &peer{contacted: true, silent: true, stopAnnounced: now.Add(-plannedStopGrace / 2)}, startedAt: longAgo, want: alive.Stopping},
		{peer: &peer{contacted: true, silent: true, stopAnnounced: now.Add(-2 * plannedStopGrace)}, startedAt: longAgo, want: alive.Silent},
	} {
		n := newNode(t, new(memoryDirectory))
		n.startedAt = c.startedAt
		if c.peer != nil {
			n.peers[otherAddr] = c.peer
		}
		is.Equal(n.opinion(otherAddr, !c.isolated, now), c.want)
	}
}

// Guards against asking only entries of one failure domain, which lose an agent's heartbeats together, and against leaving
// out those that contradicted before.
func TestEntriesOfDifferentDomainsAreAsked(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	domains := make(map[netip.AddrPort]string)
	var witness netip.AddrPort
	for i := range 12 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		domain := "a"
		if i > 9 {
			domain = string(rune('a' + i - 9))
		}
		domains[addr], witness = domain, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 1)
		n.onState(addr, ctrl.State{Record: view.Record{Packets: addr, Control: addr, Role: view.Entry, Domain: domain, Incarnation: 1, State: view.Up}})
	}
	for range 20 {
		asked := n.entriesToAsk([]netip.AddrPort{witness})
		is.Equal(len(asked), 1+randomEntriesAsked)
		is.Equal(asked[0], witness)
		seen := make(map[string]bool)
		for _, addr := range asked[1:] {
			seen[domains[addr]] = true
		}
		is.Equal(len(seen), 3)
	}
}

// Guards against messages on many suspects that exceed a datagram and are never sent.
func TestQuestionsFitIntoDatagrams(t *testing.T) {
	is := is.New(t)
	secret, err := fleet.SecretFromText("a secret for tests only")
	is.NoErr(err)
	codec := ctrl.NewCodec(secret)
	reply := ctrl.SilenceReply{Round: math.MaxUint64, Packets: netip.MustParseAddrPort("[2001:db8:1:2:3:4:5:6]:65535")}
	for range ctrl.MaxSuspects {
		reply.Suspects = append(reply.Suspects, reply.Packets)
		reply.Opinions = append(reply.Opinions, alive.Silent)
	}
	datagram, err := ctrl.Encode(codec, ctrl.KindSilenceReply, reply)
	is.NoErr(err)
	_, body, err := codec.Verify(datagram)
	is.NoErr(err)
	decoded, err := ctrl.Decode[ctrl.SilenceReply](body)
	is.NoErr(err)
	is.Equal(decoded, reply)
	_, err = ctrl.Encode(codec, ctrl.KindSilenceQuery, ctrl.SilenceQuery{Round: reply.Round, Suspects: reply.Suspects})
	is.NoErr(err)
}

// Guards against resets of the flows of an agent that is silent at one entry for longer than lostTimeout, while other entries
// receive its heartbeats.
func TestAgentHeardByOthersIsNotLost(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	silence(g.entries[0])
	is.True(!g.deadAtFirst(testPeriod/3, g.entries[1:]...))
	n := g.entries[0]
	n.mu.Lock()
	n.peers[otherAddr].lastHeartbeat = time.Now().Add(-2 * lostTimeout)
	n.mu.Unlock()
	is.True(!g.deadAtFirst(testPeriod/3, g.entries[1:]...))
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateSilentPeers(time.Now().Add(2 * lostTimeout)) // Nobody has contradicted since.
	is.True(n.peers[otherAddr] == nil)
}

// Guards against an agent that gets no new flows and whose compact heartbeats are ignored, so that it is silent at times, for
// as long as it runs after it was lost once, as after a long pause.
func TestLostAgentIsUsedAgain(t *testing.T) {
	is := is.New(t)
	entry := newGroup(t, 1).entries[0]
	agent := newEntry(t, netip.MustParseAddrPort("127.0.0.3:1"), new(memoryDirectory))
	agent.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
	agent.self.Role, agent.self.Service = view.Agent, ServiceNumber(route.ServiceID("intake"))
	go func() { _ = agent.opts.Link.Serve() }()
	agent.onState(entry.self.Control, ctrl.State{Record: entry.self})
	ready := func() bool {
		for deadline := time.Now().Add(testPeriod); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			agent.tick()
			if c := entry.Agents(route.ServiceID("intake")); len(c) == 1 && c[0].Ready {
				return true
			}
		}
		return false
	}
	is.True(ready())
	entry.mu.Lock()
	entry.peers[agent.self.Packets].lastHeartbeat = time.Now().Add(-2 * lostTimeout)
	entry.updateSilentPeers(time.Now())
	entry.mu.Unlock()
	is.True(ready())
}

// Guards against an agent that gets no new flows, and whose flows no entry finds, for as long as it runs: it started at the address
// of one that is gone, with a clock that is behind, so that entries took its heartbeats for earlier ones. A delayed heartbeat must
// not bring the agent that is gone back.
func TestAgentWithEarlierClockIsUsed(t *testing.T) {
	is := is.New(t)
	entry := newGroup(t, 1).entries[0]
	agent := newEntry(t, netip.MustParseAddrPort("127.0.0.3:1"), new(memoryDirectory))
	agent.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
	agent.self.Role, agent.self.Service = view.Agent, ServiceNumber(route.ServiceID("intake"))
	early, gone := agent.self, agent.self
	gone.Incarnation, gone.Epoch, gone.State, gone.Since = early.Incarnation+4, 2, view.Gone, time.Now()
	go func() { _ = agent.opts.Link.Serve() }()
	entry.onState(gone.Control, ctrl.State{Record: gone})
	entry.onState(early.Control, ctrl.State{Record: early})
	is.Equal(len(entry.Agents(route.ServiceID("intake"))), 0)
	agent.onState(entry.self.Control, ctrl.State{Record: entry.self})
	ready := false
	for deadline := time.Now().Add(testPeriod); !ready && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		agent.tick()
		c := entry.Agents(route.ServiceID("intake"))
		ready = len(c) == 1 && c[0].Ready
	}
	is.True(ready)
}

// Guards against the reset of open flows by an entry that is cut off from most processes for longer than lostTimeout: it forgot
// them and took the rest for the whole deployment. The directory ends the wait for processes that are gone.
func TestIsolatedEntryForgetsNoProcess(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	n := newNode(t, d)
	start := time.Now()
	n.startedAt, n.directoryRead = start.Add(-time.Minute), start
	var records []view.Record
	for i := range 5 {
		r := agentRecord("desk")
		r.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}), 1)
		r.Control = r.Packets
		records = append(records, r)
		n.onState(r.Control, ctrl.State{Record: r})
	}
	is.True(n.AllAgentsKnown())
	// Only the first two are heard from now on.
	heardUntil := func(now time.Time) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, r := range records[:2] {
			n.peers[r.Packets].lastHeartbeat = now
		}
		for range 2 { // The first one marks the silent, as in the tick before.
			n.updateSilentPeers(now)
		}
	}
	for after := 2 * time.Second; after < 4*lostTimeout; after += time.Second {
		heardUntil(start.Add(after))
		if after%(15*time.Second) == 0 {
			n.recordDirectoryRead(records, start.Add(after))
		}
		is.True(!n.AllAgentsKnown())
	}
	last := start.Add(4*lostTimeout - 15*time.Second)
	n.recordDirectoryRead(records[:2], last.Add(lostTimeout))
	heardUntil(last.Add(lostTimeout))
	is.True(!n.AllAgentsKnown())
	n.recordDirectoryRead(records[:2], last.Add(lostTimeout+time.Second))
	heardUntil(last.Add(lostTimeout + time.Second))
	is.True(n.AllAgentsKnown())
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 2)
}
