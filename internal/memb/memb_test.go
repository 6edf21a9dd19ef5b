package memb

import (
	"cmp"
	"context"
	"expvar"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/settle"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const maxConfigAge = 3 * time.Second

// memoryDirectory is a Directory in memory that counts registrations.
type memoryDirectory struct {
	records         []view.Listing
	registrations   int
	deregistrations int
	// listErr is the error of List.
	listErr error
	// keepAliveInterval is a minute if it is 0; renewals counts the calls of KeepAlive.
	keepAliveInterval time.Duration
	renewals          int
	// era is the store's era, registeredIn that of the last registration.
	era          atomic.Uint64
	registeredIn uint64
}

func (d *memoryDirectory) Register(_ context.Context, r view.Record) error {
	d.registrations++
	d.registeredIn = d.era.Load()
	d.records = append(d.records, view.Listing{Record: r})
	return nil
}
func (d *memoryDirectory) KeepAlive(context.Context) error {
	d.renewals++
	return nil
}
func (d *memoryDirectory) KeepAliveInterval() time.Duration {
	return cmp.Or(d.keepAliveInterval, time.Minute)
}
func (d *memoryDirectory) Current() bool { return d.era.Load() == d.registeredIn }
func (d *memoryDirectory) Era() uint64   { return d.era.Load() }
func (d *memoryDirectory) List(context.Context, bool) ([]view.Listing, error) {
	return d.records, d.listErr
}
func (d *memoryDirectory) Deregister(context.Context) error {
	d.deregistrations++
	return nil
}

var (
	selfAddr  = netip.MustParseAddrPort("127.0.0.1:1")
	otherAddr = netip.MustParseAddrPort("127.0.0.2:1")
)

// newNode returns an entry's node at selfAddr with sockets on the loopback interface.
func newNode(t *testing.T, d *memoryDirectory) *Node {
	t.Helper()
	return newEntry(t, selfAddr, d)
}

// newEntry returns an entry's node at a packet address with sockets on the loopback interface.
func newEntry(t *testing.T, packets netip.AddrPort, d *memoryDirectory) *Node {
	t.Helper()
	is := is.New(t)
	secret, err := fleet.SecretFromText("a secret for tests only")
	is.NoErr(err)
	conf, err := secret.TLSConfig()
	is.NoErr(err)
	vars := new(expvar.Map)
	ln, link, err := ctrl.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"), conf, ctrl.NewCodec(secret), vars)
	is.NoErr(err)
	t.Cleanup(func() {
		_ = link.Close()
		_ = ln.Close()
	})
	return New(Options{
		Self: view.Record{Packets: packets, Control: link.Addr(), Role: view.Entry, Domain: "a", Incarnation: 5, State: view.Up},
		Link: link, Listener: ln, Client: ctrl.NewClient(conf, new(expvar.Map)), Directory: d, MaxConfigAge: maxConfigAge,
		Connector: &stubConnector{}, Suspended: func() time.Duration { return 0 }, Log: zap.NewNop(), Vars: vars,
	})
}

// stubConnector is a Connector whose instances answer if answers is set. failure is returned instead if it is set.
type stubConnector struct {
	answers atomic.Bool
	failure error
}

// Connect implements Connector.
func (c *stubConnector) Connect(context.Context, netip.AddrPort) (bool, error) {
	return c.answers.Load(), c.failure
}

// diesWithin drives a node until an agent counts as failed, and reports whether it does so within a time.
func diesWithin(n *Node, agent netip.AddrPort, duration time.Duration) bool {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		n.tick()
		if n.Dead(agent) {
			return true
		}
	}
	return false
}

// agentRecord returns the record of an agent of a service at otherAddr.
func agentRecord(service string) view.Record {
	return view.Record{
		Packets: otherAddr, Control: otherAddr, Role: view.Agent, Domain: "a", Incarnation: 1, State: view.Up, Service: ServiceNumber(route.ServiceID(service)),
	}
}

// An entry that has just started knows only some agents. If it took their denials for complete, it would declare a flow lost
// that another agent holds.
func TestAgentsAreNotAllKnownRightAfterStart(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Server: &ctrl.ServerLoad{Ready: true}, Uptime: time.Millisecond})
	is.True(n.AcceptsNewFlows())
	is.True(!n.AllAgentsKnown())
	n.startedAt = time.Now().Add(-2 * settle.DiscoveryTime)
	is.True(!n.AllAgentsKnown()) // The directory has not been read.
	n.startedAt = time.Now()
	is.NoErr(n.syncDirectory(context.Background(), false))
	is.True(!n.AllAgentsKnown())
	n.startedAt = time.Now().Add(-2 * settle.DiscoveryTime)
	is.True(n.AllAgentsKnown())
	n.settled, n.directoryRead, n.startedAt = false, time.Time{}, time.Now().Add(-2*settle.GossipTime)
	is.True(n.AllAgentsKnown()) // Gossip has spread the records of all agents by now.
}

// An entry that is cut off from most agents must not conclude that nobody holds a flow.
func TestAgentsAreNotAllKnownWithFewHeartbeats(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.startedAt, n.directoryRead = time.Now().Add(-time.Minute), time.Now()
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk")})
	is.True(n.AllAgentsKnown())
	n.peers[otherAddr].lastHeartbeat = time.Now().Add(-2 * silenceTimeout)
	n.updateSilentPeers(time.Now())
	is.True(!n.AllAgentsKnown())
	is.True(diesWithin(n, otherAddr, testPeriod))
}

// An agent that announced its stop is expected to come back within plannedStopGrace, and its flows aren't lost meanwhile.
func TestPlannedStopIsNotAFailure(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	r := agentRecord("desk")
	n.onState(otherAddr, ctrl.State{Record: r})
	r.State, r.Epoch = view.Draining, 1
	n.onState(otherAddr, ctrl.State{Record: r})
	n.peers[otherAddr].lastHeartbeat = time.Now().Add(-2 * silenceTimeout)
	n.updateSilentPeers(time.Now())
	is.True(!diesWithin(n, otherAddr, testPeriod))
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 1)
	n.peers[otherAddr].stopAnnounced = time.Now().Add(-2 * plannedStopGrace)
	is.True(diesWithin(n, otherAddr, testPeriod))
}

// A process whose record was removed from the directory registers again.
func TestRemovedRecordIsRegisteredAgain(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	n := newNode(t, d)
	is.NoErr(n.syncDirectory(context.Background(), false))
	is.Equal(d.registrations, 1)
	is.NoErr(n.syncDirectory(context.Background(), true))
	is.Equal(d.registrations, 1)
	d.records = nil
	is.NoErr(n.syncDirectory(context.Background(), true))
	is.Equal(d.registrations, 2)
}

// Guards against a record that is missing in the directory for up to 20 s after the store's return from an older copy: until the next
// renewal of the lease, or read of the directory.
func TestLostRecordIsRegisteredAgainAtOnce(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	n := newNode(t, d)
	ctx, cancel := context.WithTimeout(context.Background(), 5*directoryCheckInterval)
	defer cancel()
	time.AfterFunc(2*directoryCheckInterval, func() { d.era.Store(1) })
	_ = n.maintainRegistration(ctx) // Ends with ctx.
	is.Equal(d.registrations, 2)
}

// Guards against writes to an overloaded store that follow each other without end: while the directory can't be read, a process wrote its
// keys again with each retry.
func TestKeysAreNotWrittenAgainWhileDirectoryCannotBeRead(t *testing.T) {
	is := is.New(t)
	d := &memoryDirectory{listErr: errors.New("overloaded")}
	n := newNode(t, d)
	ctx, cancel := context.WithTimeout(context.Background(), 2*directoryRetryInterval+3*directoryCheckInterval)
	defer cancel()
	_ = n.maintainRegistration(ctx) // Ends with ctx.
	is.Equal(d.registrations, 1)
}

// Guards against processes that stay unknown since the list ends in items that can't be read: what could be read of it is used, but doesn't
// count as the whole list, nor as a read that was due.
func TestPartOfDirectoryIsUsed(t *testing.T) {
	is := is.New(t)
	lost := agentRecord("desk")
	lost.Packets = netip.MustParseAddrPort("127.0.0.3:1")
	d := &memoryDirectory{
		listErr: errors.New("list can't be read to its end"),
		records: []view.Listing{{Record: agentRecord("desk")}, {Record: lost, Unconfirmed: true}},
	}
	n := newNode(t, d)
	rereadAt := time.Now().Add(-time.Second)
	n.rereadAt = rereadAt
	is.True(n.syncDirectory(context.Background(), false) != nil)
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 1)
	is.True(n.directoryRead.IsZero())
	is.Equal(n.rereadAt, rereadAt)
}

// Guards against a process that isn't listed between the end of its lease and the next read of the directory: the store grants shorter
// leases than were requested. An entry that starts then doesn't know it, and resets its flows.
func TestLeaseIsRenewedBetweenReadsOfDirectory(t *testing.T) {
	is := is.New(t)
	d := &memoryDirectory{keepAliveInterval: directoryCheckInterval}
	n := newNode(t, d)
	ctx, cancel := context.WithTimeout(context.Background(), 10*directoryCheckInterval)
	defer cancel()
	_ = n.maintainRegistration(ctx) // Ends with ctx.
	is.True(d.renewals >= 3)
	is.Equal(d.registrations, 1)
}

// Guards against an entry that takes the processes that are listed for all: leases may have ended while the store was away, and the seeds be gone.
func TestStartingProcessAsksListedEntriesForPeers(t *testing.T) {
	is := is.New(t)
	known := newEntry(t, otherAddr, new(memoryDirectory))
	unlisted := agentRecord("desk")
	unlisted.Packets = netip.MustParseAddrPort("127.0.0.3:1")
	known.onState(unlisted.Control, ctrl.State{Record: unlisted})
	n := newNode(t, &memoryDirectory{records: []view.Listing{{Record: known.self}}})
	for _, node := range []*Node{known, n} {
		go func() { _ = node.opts.Link.Serve() }() // Ends when the link is closed.
	}
	is.NoErr(n.syncDirectory(context.Background(), true))
	for range 100 {
		if len(n.PossibleHolders([]uint64{route.ServiceID("desk")})) == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Fail() // The entry in the directory wasn't asked.
}

// Guards against a process that doesn't notice for seconds that the store has lost changes, since it has no reason to call it.
func TestEraIsLearnedFromHeartbeats(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	n := newNode(t, d)
	requested := func() bool {
		select {
		case <-n.readRequested:
			return true
		default:
			return false
		}
	}
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk")})
	is.True(!requested())
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), StoreEra: 1})
	is.True(requested())
	n.onCompactState(otherAddr, ctrl.CompactState{Packets: otherAddr, Incarnation: 1, ConfigVersion: 7, StoreEra: 1})
	is.True(!requested()) // The store may be out of reach; its reads must not follow each heartbeat.
	n.mu.Lock()
	n.eraChecked = time.Now().Add(-2 * eraCheckInterval)
	n.mu.Unlock()
	n.onCompactState(otherAddr, ctrl.CompactState{Packets: otherAddr, Incarnation: 1, ConfigVersion: 7, StoreEra: 1})
	is.True(requested())
	d.era.Store(1)
	n.eraChecked = time.Time{}
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), StoreEra: 1})
	is.True(!requested())
	is.Equal(n.state().StoreEra, uint64(1))
}

// Guards against searches for flows that wait for 30 s for an agent that had left before the store returned from an older copy, which
// lists it again.
func TestWithdrawnAgentIsNotAwaited(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	d.era.Store(2)
	n := newNode(t, d)
	n.settled = true // Otherwise the directory is also read again for that.
	d.records = []view.Listing{{Record: agentRecord("desk"), Unconfirmed: true}}
	holders := func() int { return len(n.PossibleHolders([]uint64{route.ServiceID("desk")})) }
	is.NoErr(n.syncDirectory(context.Background(), false))
	is.Equal(holders(), 1) // It may be running, and not have written its record again yet.
	is.True(!n.rereadDue(time.Now()))
	is.True(n.rereadDue(time.Now().Add(2 * relistTime)))
	n.eraSeen = n.eraSeen.Add(-relistTime)
	n.evaluateListings(d.records, true, time.Now())
	is.Equal(holders(), 1) // The read may be older than the record that the agent has written again.
	n.rereadAt = time.Now()
	is.NoErr(n.syncDirectory(context.Background(), true))
	is.Equal(holders(), 0)
	is.True(!n.rereadDue(time.Now().Add(time.Hour)))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk")}) // It was running after all, and can't reach the store.
	n.mergeRecords([]view.Record{{Packets: otherAddr, Control: otherAddr, Role: view.Agent, Incarnation: 1, Epoch: 1, State: view.Up, Service: agentRecord("desk").Service}})
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk")})
	is.NoErr(n.syncDirectory(context.Background(), true))
	is.Equal(holders(), 1)
}

// Guards against an entry that awaits an agent that is listed though it has left, while other entries know that it has.
func TestEntryLearnsThatSuspectIsGone(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	gone := agentRecord("desk")
	gone.State, gone.Since = view.Gone, time.Now()
	n.mergeRecords([]view.Record{gone})
	before := counterValue(n, "messages_out")
	n.onSilenceQuery(otherAddr, ctrl.SilenceQuery{Round: 1, Suspects: []netip.AddrPort{otherAddr, selfAddr}})
	is.Equal(counterValue(n, "messages_out")-before, int64(2)) // The reply, and the record.
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Records: []view.Record{agentRecord("desk")}})
	is.Equal(counterValue(n, "messages_out")-before, int64(3))
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Records: []view.Record{gone}})
	is.Equal(counterValue(n, "messages_out")-before, int64(3))
}

// Guards against routes that are refused although they are in force: a process that starts after the store's return from an older
// copy reads an older configuration, and took it for the newest.
func TestConfigurationReadAtStartIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	d.era.Store(2)
	n := newNode(t, d)
	is.NoErr(n.readConfig("test", func() (*route.Table, error) { return route.NewTable(4, nil, 0), nil }))
	is.Equal(n.ConfigVersion(), uint64(4))
	is.True(n.ConfigAge() > time.Hour)
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), ConfigVersion: 4, ConfigAge: time.Second})
	is.True(n.ConfigAge() < 2*time.Second) // A process that has known the era for longer confirms it.
}

// Guards against routes that are refused although they are in force: after a pause, heartbeats that were received before or during it
// are handled as if they had just been sent, and confirmed an outdated configuration.
func TestQueuedHeartbeatDoesNotConfirmConfiguration(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	heartbeat := ctrl.State{Record: agentRecord("desk"), ConfigVersion: 7}
	n.adopt(route.NewTable(7, nil, time.Second), n.ageClock().Add(-5*time.Second), "test")
	n.lastAgeTick = n.lastAgeTick.Add(-5 * time.Second)
	n.onState(otherAddr, heartbeat)
	is.True(n.ConfigAge() > 4*time.Second) // Handled before the first tick after the pause.
	n.tick()
	n.onState(otherAddr, heartbeat)
	is.True(n.ConfigAge() > 4*time.Second)
	n.resumedAt = n.resumedAt.Add(-queueDrainTime)
	n.onState(otherAddr, heartbeat)
	is.True(n.ConfigAge() < time.Second)
}

// As TestQueuedHeartbeatDoesNotConfirmConfiguration, for a suspension of the machine, which time.Since doesn't count.
func TestConfigurationAgesWhileMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	suspended := time.Duration(0)
	n.opts.Suspended = func() time.Duration { return suspended }
	n.adopt(route.NewTable(7, nil, time.Second), n.ageClock(), "test")
	is.True(n.ConfigAge() < time.Second)
	suspended = 5 * time.Second
	is.True(n.ConfigAge() >= 5*time.Second)
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), ConfigVersion: 7})
	is.True(n.ConfigAge() >= 5*time.Second)
}

// A process never replaces its configuration by an older one, such as that of a late response of the store.
func TestConfigurationDoesNotRegress(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.adopt(route.NewTable(7, nil, 0), time.Now(), "test")
	n.adopt(route.NewTable(6, nil, 0), time.Now(), "test")
	is.Equal(n.ConfigVersion(), uint64(7))
}

// A process whose clock was set back starts with a lower incarnation than its predecessor at the address. It must raise it
// above the predecessor's record, which others still spread.
func TestProcessRaisesItsIncarnation(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Records: []view.Record{{Packets: selfAddr, Control: selfAddr, Role: view.Entry, Incarnation: 9, State: view.Gone}}})
	is.True(n.self.Incarnation > 9)
	is.Equal(n.self.State, view.Up)
}

// After a pause of this process, such as SIGSTOP, it hasn't received heartbeats, and must not mark its peers silent.
func TestOwnPauseDoesNotMarkPeersSilent(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk")})
	n.peers[otherAddr].lastHeartbeat = time.Now().Add(-3 * time.Second)
	n.lastTick = time.Now().Add(-3 * time.Second)
	n.tick()
	is.True(!n.peers[otherAddr].silent)
}

// An agent that is known from the directory only must not get new flows. An entry assumes that the other entries
// of its failure domain have sent an agent as many new flows as itself, so that they don't overload it together.
func TestAgentIsReadyOnlyAfterHeartbeat(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.mergeRecords([]view.Record{agentRecord("desk")})
	agents := n.Agents(route.ServiceID("desk"))
	is.Equal(len(agents), 1)
	is.True(!agents[0].Ready) // Listed in the directory, but no heartbeat received.
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Server: &ctrl.ServerLoad{Ready: true, PendingRequests: 3}})
	n.RecordOpen(otherAddr)
	agents = n.Agents(route.ServiceID("desk"))
	is.True(agents[0].Ready && agents[0].SameDomain)
	is.Equal(agents[0].Load.PendingRequests, 3)
	is.Equal(agents[0].NewFlows, 1)
	entry := view.Record{Packets: netip.MustParseAddrPort("10.0.0.8:1"), Control: otherAddr, Role: view.Entry, Domain: "a", Incarnation: 1, State: view.Up}
	n.onState(entry.Control, ctrl.State{Record: entry})
	n.tick()
	is.Equal(n.Agents(route.ServiceID("desk"))[0].NewFlows, 2) // The other entry of the failure domain is assumed to have sent one too.
}

// An agent's lease also holds the list of its backend server's flows, which the next agent process needs. A planned stop must
// not end the lease.
func TestAgentKeepsItsLeaseAtAPlannedStop(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	n := newNode(t, d)
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{} }
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(n.maintainRegistration(ctx))
	is.Equal(d.deregistrations, 0)
}

// Guards against searches for flows that wait for seconds, after a start of all entries, for an agent that ended with its
// backend server and is still listed in the directory.
func TestAgentThatIsGoneLeavesDirectory(t *testing.T) {
	is := is.New(t)
	d := new(memoryDirectory)
	n := newNode(t, d)
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{} }
	n.AnnounceStop(view.Draining)
	n.AnnounceStop(view.Gone)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(n.maintainRegistration(ctx))
	is.Equal(d.deregistrations, 1)
}

// Guards against searches that wait for an agent that has said that it ended with its backend server.
func TestAgentThatIsGoneIsNoPossibleHolder(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	r := agentRecord("desk")
	services := []uint64{route.ServiceID("desk")}
	n.onState(otherAddr, ctrl.State{Record: r})
	is.Equal(len(n.PossibleHolders(services)), 1)
	r.State, r.Epoch, r.Since = view.Gone, 1, time.Now()
	n.onState(otherAddr, ctrl.State{Record: r})
	is.Equal(len(n.PossibleHolders(services)), 0)
	all, ok := n.AllAgents(10)
	is.True(ok)
	is.Equal(len(all), 0)
	r = agentRecord("mail") // Another agent starts at the address, beside a server of another service.
	r.Incarnation++
	n.onState(otherAddr, ctrl.State{Record: r})
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("mail")})), 1)
}

// Guards against the reset of flows of an agent whose address was used before by a process with a later time of day: the record of that
// one's end has a higher incarnation.
func TestRecordOfEarlierProcessDoesNotEndRunningAgent(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Server: &ctrl.ServerLoad{Ready: true}})
	gone := agentRecord("desk")
	gone.Incarnation, gone.State, gone.Since = 9, view.Gone, time.Now()
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Records: []view.Record{gone}})
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 1)
	n.peers[otherAddr].silent = true
	n.onPeerRecords(otherAddr, ctrl.PeerRecords{Records: []view.Record{gone}})
	is.Equal(len(n.PossibleHolders([]uint64{route.ServiceID("desk")})), 0)
}

// Guards against an entry that takes itself for isolated, and holds back resets of lost flows, after most processes have announced
// that they are gone, as when a deployment is scaled down.
func TestGoneProcessesAreNotAwaited(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	now := time.Now()
	n.startedAt, n.directoryRead = now.Add(-time.Minute), now
	for i := range 5 {
		r := agentRecord("desk")
		r.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}), 1)
		r.Control = r.Packets
		n.onState(r.Control, ctrl.State{Record: r})
		if i < 3 {
			r.State, r.Epoch, r.Since = view.Gone, 1, now
			n.onState(r.Control, ctrl.State{Record: r})
			n.mu.Lock()
			n.peers[r.Packets].lastHeartbeat = now.Add(-2 * silenceTimeout)
			n.mu.Unlock()
		}
	}
	n.mu.Lock()
	n.updateSilentPeers(now)
	n.mu.Unlock()
	is.True(n.AllAgentsKnown())
}

// Compact heartbeats don't contain the record, and are ignored while the record isn't known. Those without load and
// configuration version must change neither the load and its age nor the age of the configuration.
func TestCompactHeartbeats(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	compact := ctrl.CompactState{Packets: otherAddr, Incarnation: 1, Server: &ctrl.ServerLoad{Ready: true, PendingRequests: 3}, ConfigVersion: 7}
	n.onCompactState(otherAddr, compact)
	is.Equal(len(n.peers), 0) // The record is unknown.
	n.onState(otherAddr, ctrl.State{Record: agentRecord("desk"), Server: &ctrl.ServerLoad{Ready: true}, ConfigVersion: 7})
	n.onCompactState(otherAddr, compact)
	p := n.peers[otherAddr]
	is.Equal(p.load.PendingRequests, 3)
	n.adopt(route.NewTable(7, nil, time.Second), time.Now().Add(-time.Second), "test")
	loadReceived, age := p.loadReceived, n.ConfigAge()
	p.lastHeartbeat = p.lastHeartbeat.Add(-time.Second)
	n.onCompactState(otherAddr, ctrl.CompactState{Packets: otherAddr, Incarnation: 1})
	is.True(time.Since(p.lastHeartbeat) < time.Second)
	is.Equal(p.loadReceived, loadReceived)
	is.Equal(p.configVersion, uint64(7))
	is.True(n.ConfigAge() >= age)
	lastHeartbeat := p.lastHeartbeat
	n.onCompactState(otherAddr, ctrl.CompactState{Packets: otherAddr, Incarnation: 2})
	is.Equal(p.lastHeartbeat, lastHeartbeat) // Sent by a later incarnation, whose record is not known yet.
}

// The first heartbeats to a process contain the whole record, later ones mostly don't. An agent sends its load to other
// failure domains half as often, since traffic between domains is expensive.
func TestHeartbeatRounds(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
	local, remote := view.Record{Packets: otherAddr, Control: otherAddr, Role: view.Entry, Domain: "a", Incarnation: 1, State: view.Up}, view.Record{}
	remote = local
	remote.Packets, remote.Control, remote.Domain = netip.MustParseAddrPort("10.0.0.9:1"), netip.MustParseAddrPort("10.0.0.9:2"), "b"
	n.onState(local.Control, ctrl.State{Record: local})
	n.onState(remote.Control, ctrl.State{Record: remote})
	full, compact, minimal := 0, 0, 0
	const rounds = 23
	for range rounds {
		round := n.buildRound(false)
		full, compact, minimal = full+len(round.full), compact+len(round.compact), minimal+len(round.minimal)
		is.Equal(len(round.full)+len(round.compact)+len(round.minimal), 2)
	}
	is.Equal(full, 2*(initialFullHeartbeats+(rounds-initialFullHeartbeats)/fullHeartbeatEvery))
	is.Equal(minimal, 8) // Half of the 16 later ones to the other domain.
	n.AnnounceStop(view.Draining)
	is.Equal(n.sentRecord.State, view.Draining)
	round := n.buildRound(true)
	is.Equal(len(round.full)+len(round.compact)+len(round.minimal), 1) // Only the entry in the same failure domain.
}

// counterValue returns the value of a counter of a node.
func counterValue(node *Node, name string) int64 {
	if v, ok := node.opts.Vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Processes repeat their hello in the first seconds after their start. Replies are limited to one per second, and to
// the records of entries if the requester is an agent: many processes that start at once would otherwise overload the few
// seeds to which all send their hello.
func TestHelloRepliesAreRateLimited(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	for i := range 200 {
		r := agentRecord("desk")
		r.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 1)
		n.onState(r.Packets, ctrl.State{Record: r})
	}
	sent := func() int64 { return counterValue(n, "messages_out") }
	requester := agentRecord("desk")
	before := sent()
	n.onState(requester.Control, ctrl.State{Record: requester, RequestPeers: true})
	is.Equal(sent()-before, int64(1)) // The node is the only entry.
	n.onState(requester.Control, ctrl.State{Record: requester, RequestPeers: true})
	is.Equal(sent()-before, int64(1))
	starting := requester
	starting.Packets, starting.Role = netip.MustParseAddrPort("10.8.0.1:1"), view.Entry
	n.onState(requester.Control, ctrl.State{Record: starting, RequestPeers: true})
	is.Equal(sent()-before, int64(1+maxHelloRecords/ctrl.MaxPeerRecords))
}

// Load pattern: all processes start again while callers wait. An entry that has heard of one agent only sends it all of them, so each
// agent must report its load to a new entry at once; to a known one it reports at its interval.
func TestAgentReportsLoadToNewEntryAtOnce(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
	entry := view.Record{Packets: otherAddr, Control: otherAddr, Role: view.Entry, Domain: "b", Incarnation: 1, State: view.Up}
	sent := func() int64 { return counterValue(n, "messages_out") }
	n.onState(otherAddr, ctrl.State{Record: entry})
	is.Equal(sent(), int64(1))
	n.onState(otherAddr, ctrl.State{Record: entry})
	is.Equal(sent(), int64(1))
	entry.Incarnation++
	n.onState(otherAddr, ctrl.State{Record: entry})
	is.Equal(sent(), int64(2)) // It has started again.
}

// Guards against a planned stop that counts as a failure since its only announcement was lost.
func TestStopAnnouncementIsRepeated(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{} }
	n.onState(otherAddr, ctrl.State{Record: view.Record{Packets: otherAddr, Control: otherAddr, Role: view.Entry, Domain: "a", Incarnation: 1, State: view.Up}})
	for range initialFullHeartbeats {
		n.sendHeartbeats(time.Now())
	}
	p := n.peers[otherAddr]
	before := p.fullHeartbeats
	n.AnnounceStop(view.Draining)
	epoch := n.self.Epoch
	n.tick()
	n.tick() // An agent serves for some ticks after it announced its stop.
	is.Equal(p.fullHeartbeats-before, 3)
	is.Equal(n.self.Epoch, epoch)
	for range 10 {
		n.tick()
	}
	is.Equal(p.fullHeartbeats-before, 1+stopAnnouncementRepeats) // An entry serves for longer, and must not flood the others.
}

// TestConfigChangesAreReportedInOrder guards against an older configuration, such as one with a shorter idle timeout of flows,
// that is applied after a newer one.
func TestConfigChangesAreReportedInOrder(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(memoryDirectory))
	var mu sync.Mutex
	var versions []uint64
	older, newer := make(chan struct{}), make(chan struct{})
	n.opts.OnConfigChange = func(table *route.Table) {
		if table.Version == 1 {
			close(older)
			select {
			case <-newer: // The newer configuration is reported first.
			case <-time.After(200 * time.Millisecond):
			}
		}
		mu.Lock()
		versions = append(versions, table.Version)
		mu.Unlock()
		if table.Version == 2 {
			close(newer)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.adopt(&route.Table{Version: 1}, time.Now(), "store")
	}()
	<-older
	n.adopt(&route.Table{Version: 2}, time.Now(), "process")
	<-done
	is.Equal(versions, []uint64{1, 2})
}
