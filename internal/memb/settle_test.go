package memb

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/settle"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// holding is a deployment whose directory has lost the keys of its entry and of the agent at otherAddr. It lists another agent.
type holding struct {
	entry, listed, added *Node
}

// newHolding returns a deployment that has run for an hour, and an entry that is added with no seeds.
func newHolding(t *testing.T) *holding {
	t.Helper()
	anHourAgo := time.Now().Add(-time.Hour)
	h := &holding{
		entry:  newEntry(t, netip.MustParseAddrPort("127.0.3.1:1"), new(memoryDirectory)),
		listed: newEntry(t, netip.MustParseAddrPort("127.0.3.2:1"), new(memoryDirectory)),
	}
	h.entry.startedAt, h.entry.settled = anHourAgo, true
	h.listed.startedAt = anHourAgo
	h.listed.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
	h.listed.self.Role, h.listed.self.Service = view.Agent, ServiceNumber(route.ServiceID("desk"))
	h.added = newEntry(t, netip.MustParseAddrPort("127.0.3.3:1"), &memoryDirectory{records: []view.Listing{{Record: h.listed.self}}})
	for _, n := range []*Node{h.entry, h.listed, h.added} {
		go func() { _ = n.opts.Link.Serve() }() // Ends when the link is closed.
	}
	h.entry.onState(otherAddr, ctrl.State{Record: agentRecord("desk")})
	h.entry.onState(h.listed.self.Control, ctrl.State{Record: h.listed.self})
	h.listed.onState(h.entry.self.Control, ctrl.State{Record: h.entry.self})
	return h
}

// resetsUnlisted drives the deployment for a time, and reports whether the added entry takes the agents that it knows for all while it
// lacks the one that isn't listed.
func (h *holding) resetsUnlisted(duration time.Duration, running ...*Node) bool {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, n := range running {
			n.tick()
			n.askPeers(time.Now()) // Otherwise called by gossip.
		}
		if h.added.AllAgentsKnown() && len(h.added.PossibleHolders([]uint64{route.ServiceID("desk")})) < 2 {
			return true
		}
	}
	return false
}

// locked runs a function that changes a node whose link is being served.
func locked(n *Node, change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// Guards against resets of open flows by an added entry that takes the agents in the directory for all: the store has taken away the keys
// of all other entries and of some agents, and the seeds are stale. The listed agents know the entries.
func TestAddedEntryLearnsOfAgentThatIsNotListed(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	locked(h.added, func() { h.added.startedAt = time.Now().Add(-2 * settle.DiscoveryTime) })
	is.NoErr(h.added.syncDirectory(context.Background(), false))
	is.True(!h.resetsUnlisted(testPeriod, h.entry, h.listed, h.added))
	is.True(h.added.AllAgentsKnown()) // The entry that isn't listed has told.
}

// Guards against the same while no other entry can be reached: nothing shows that the listed agents are all, as they have run for long.
func TestAddedEntryWithoutPeersAwaitsUnlistedAgents(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	is.NoErr(h.entry.opts.Link.Close())
	locked(h.added, func() { h.added.startedAt = time.Now().Add(-2 * settle.DiscoveryTime) })
	is.NoErr(h.added.syncDirectory(context.Background(), false))
	is.True(!h.resetsUnlisted(testPeriod, h.listed, h.added))
}

// Guards against parts of a list that exceed a datagram and are never sent.
func TestListPartsFitIntoDatagrams(t *testing.T) {
	is := is.New(t)
	secret, err := fleet.SecretFromText("a secret for tests only")
	is.NoErr(err)
	r := agentRecord("desk")
	r.Packets, r.Domain, r.Incarnation = netip.MustParseAddrPort("255.255.255.255:65535"), "a-long-failure-domain", math.MaxInt64
	r.Control, r.Service, r.Epoch, r.Weight = r.Packets, math.MaxUint32, math.MaxInt32, math.MaxUint16
	msg := ctrl.PeerRecords{List: math.MaxUint32, Index: settle.MaxParts - 1, Count: settle.MaxParts, Replaces: true}
	for range ctrl.MaxPeerRecords {
		msg.Records = append(msg.Records, r)
	}
	_, err = ctrl.Encode(ctrl.NewCodec(secret), ctrl.KindPeerRecords, msg)
	is.NoErr(err)
	is.True(maxListRecords <= settle.MaxParts*ctrl.MaxPeerRecords)
	is.True(settle.RelistTime > directoryReadInterval+directoryRetryInterval)
}

// Guards against flows of failed agents that aren't reset for long since no process can tell that it knows all agents: the directory is
// then read at a time by which all that run are listed again.
func TestDirectoryIsReadAgainUntilSettled(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Uptime: time.Hour})
	n.startedAt = time.Now().Add(-settle.RelistTime)
	n.recordDirectoryRead(nil, time.Now().Add(-time.Second))
	is.True(!n.AllAgentsKnown())
	is.True(n.rereadDue(time.Now()))
	is.NoErr(n.syncDirectory(context.Background(), true))
	is.True(n.AllAgentsKnown())
	is.True(!n.rereadDue(time.Now()))
}

// Guards against flows of failed agents that wait for their reset for seconds after a restart of all entries alone. The agents still send
// heartbeats to the entry's address, so that it hears of all; those of a process that had just started there may not all have known it.
func TestReplacedEntryIsSettledByAgents(t *testing.T) {
	for name, c := range map[string]struct {
		uptime  time.Duration
		settled bool
	}{
		"had run for long":    {time.Hour, true},
		"had just started":    {settle.RelistTime / 2, false},
		"wasn't known before": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHolding(t)
			is.NoErr(h.entry.opts.Link.Close())
			locked(h.listed, func() { delete(h.listed.peers, h.entry.self.Packets) })
			var earlier view.Record
			locked(h.added, func() {
				earlier = h.added.self
				h.added.self.Incarnation++
			})
			if c.uptime > 0 {
				h.listed.onState(earlier.Control, ctrl.State{Record: earlier, Uptime: c.uptime})
			}
			locked(h.added, func() { h.added.startedAt = time.Now().Add(-settle.ReplacementTime) })
			is.NoErr(h.added.syncDirectory(context.Background(), false))
			h.resetsUnlisted(testPeriod/3, h.listed, h.added)
			is.Equal(h.added.AllAgentsKnown(), c.settled)
		})
	}
}

// Guards against processes that nobody finds for up to 15 s, and that miss those that start meanwhile, as the store has taken away their
// keys: they notice only with their next read of the directory. Other processes that read it tell them.
func TestProcessIsToldThatItIsNotListed(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.entry.recordDirectoryRead([]view.Record{h.listed.self}, time.Now().Add(-directoryReadInterval/2))
	locked(h.added, func() { h.added.startedAt = time.Now().Add(-2 * settle.DiscoveryTime) })
	is.NoErr(h.added.syncDirectory(context.Background(), false))
	told := func(n *Node) bool {
		for deadline := time.Now().Add(testPeriod); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			for _, n := range []*Node{h.entry, h.listed, h.added} {
				n.tick()
			}
			if n.rereadDue(time.Now()) {
				return true
			}
		}
		return false
	}
	is.True(told(h.entry))
	is.True(!told(h.listed))
	is.NoErr(h.entry.syncDirectory(context.Background(), true))
	is.True(!told(h.entry)) // It is listed.
	h.entry.directoryRead = time.Now().Add(-directoryReadInterval / 2)
	is.NoErr(h.added.syncDirectory(context.Background(), true)) // A later read shows it, too.
	is.True(told(h.entry))
}

// Guards against reads of the directory that follow each other without need: a process that started after a read isn't in it, and one that
// has just read it knows whether it is listed.
func TestUnlistedProcessIsToldOnce(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	sent := func() int64 { return counterValue(n, "messages_out") }
	n.settled, n.directoryRead = true, time.Now()
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Uptime: listingTime / 2})
	is.Equal(sent(), int64(0))
	n.recordDirectoryRead(nil, time.Now())
	is.Equal(sent(), int64(0))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Uptime: time.Hour})
	n.recordDirectoryRead(nil, time.Now())
	is.Equal(sent(), int64(1))
	n.recordDirectoryRead([]view.Record{agentRecord("desk")}, time.Now())
	is.Equal(sent(), int64(1))
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Unlisted: true})
	is.True(!n.rereadDue(time.Now()))
	n.directoryRead = time.Now().Add(-2 * listingTime)
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Unlisted: true})
	is.True(n.rereadDue(time.Now()))
}

// Guards against resets of open flows by a lone entry that stood still: agents tell for as long as it runs that it replaced another process, which shows
// nothing of agents that have started while it stood still.
func TestReplacementIsNoEvidenceAfterStandstill(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Uptime: time.Hour})
	now := time.Now()
	n.startedAt = now.Add(-time.Hour)
	n.unsettleAfter(longPause, now.Add(-settle.ReplacementTime))
	n.recordDirectoryRead(nil, now.Add(-time.Second))
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Replaces: true})
	is.True(!n.AllAgentsKnown())
}
