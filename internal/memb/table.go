package memb

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/place"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// maxWatchers is how many processes watch the configuration in the store; heartbeats notify the others of changes.
	maxWatchers = 3
	// watchRetryInterval is the pause after a failed watch, and between checks whether this process is a watcher.
	watchRetryInterval = 500 * time.Millisecond
	readCheckInterval  = 50 * time.Millisecond
)

var errNoConfig = errors.New("memb: no configuration yet")

// Table returns the configuration in force, or nil.
func (n *Node) Table() *route.Table {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table
}

// ConfigVersion returns the version of the configuration in force, or 0.
func (n *Node) ConfigVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configVersion()
}

// configVersion returns the version of the configuration in force, or 0 if there is none. The caller holds the lock.
func (n *Node) configVersion() uint64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version
}

// ConfigAge returns how long ago the configuration in force was last confirmed to be the newest.
func (n *Node) ConfigAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshness.Age(n.ageClock())
}

// RefreshConfig requests a read of the configuration from the store.
func (n *Node) RefreshConfig() {
	select {
	case n.readRequested <- struct{}{}:
	default:
	}
}

// pollConfig reads the configuration from the store when its age requires it or a read was requested.
func (n *Node) pollConfig(ctx context.Context) error {
	storeFailing := false
	read := func() {
		requested := false
		select {
		case <-n.readRequested:
			requested = true
		default:
		}
		n.mu.Lock()
		now := n.ageClock()
		requested = requested && n.freshness.ShouldReadOnRequest(now)
		due := n.freshness.ShouldRead(now, n.opts.Load != nil && len(n.peers) > 0)
		n.mu.Unlock()
		if !due && !requested {
			return
		}
		err := n.readConfig(sourceStore, func() (*route.Table, error) { return n.opts.Source.Read(ctx) })
		if (err != nil) != storeFailing {
			storeFailing = err != nil
			n.logStoreAvailability(storeFailing, err)
		}
	}
	read()
	return timer.Every(ctx, readCheckInterval, read)
}

// sourceStore names reads of the store in the log.
const sourceStore = "store"

// readConfig reads the configuration by a function of Source, and puts it in force if it is newer. Whether the read confirms that the
// version is the newest depends on how long the store's era is known. source is for the log.
func (n *Node) readConfig(source string, read func() (*route.Table, error)) error {
	started := n.ageClock()
	table, err := read()
	if err != nil || table == nil {
		return err
	}
	n.mu.Lock()
	confirmed := n.freshness.RecordRead(n.opts.Directory.Era(), started, n.ageClock(), rand.Float64())
	n.mu.Unlock()
	n.adopt(table, confirmed, source)
	return nil
}

// logStoreAvailability logs that the store became unavailable with err, or available again if failing is false.
func (n *Node) logStoreAvailability(failing bool, err error) {
	if failing {
		n.opts.Log.Warn("store lost", zap.Error(err))
		return
	}
	n.opts.Log.Info("store available again")
}

// watchConfig watches the configuration in the store while this process is a watcher.
func (n *Node) watchConfig(ctx context.Context) error {
	return timer.Every(ctx, watchRetryInterval, func() {
		for ctx.Err() == nil && n.isWatcher() {
			if err := n.readConfig("watch", func() (*route.Table, error) { return n.opts.Source.Watch(ctx) }); err != nil {
				n.opts.Log.Debug("configuration watch failed", zap.Error(err))
				return
			}
		}
	})
}

// isWatcher reports whether this process is one of the maxWatchers that come first in an order by hash, which all processes
// compute alike without coordination.
func (n *Node) isWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.Load != nil && len(n.peers) > 0 {
		return false // Entries watch and notify the agents.
	}
	ownWeight := place.Rank(watcherSeed, n.self.Packets)
	ahead := 0
	for a, p := range n.peers {
		if p.contacted && !p.silent && place.Rank(watcherSeed, a) > ownWeight {
			ahead++
		}
	}
	return ahead < maxWatchers
}

// watcherSeed makes the order of watchers independent of other orders by hash.
const watcherSeed = 0x77617463

// olderConfigsCounter counts the reads of the store that returned an older configuration than the one in force.
const olderConfigsCounter = "older_configs_read"

// adopt puts a configuration in force unless the one in force is as new or newer. confirmed is when it was known to be the newest, by
// ageClock, the zero time if unknown; source is for the log.
func (n *Node) adopt(table *route.Table, confirmed time.Time, source string) {
	n.adoptMu.Lock()
	defer n.adoptMu.Unlock()
	n.mu.Lock()
	n.freshness.Confirm(table.Version, confirmed, rand.Float64())
	if table.Version <= n.configVersion() && n.table != nil {
		older, inForce := table.Version < n.configVersion(), n.configVersion()
		n.mu.Unlock()
		if older && source == sourceStore {
			n.opts.Vars.Add(olderConfigsCounter, 1)
			n.opts.Log.Warn("configuration is older than the one in force", zap.Uint64("version", table.Version),
				zap.Uint64("in_force", inForce), zap.String("from", source))
		}
		return
	}
	previous := n.configVersion()
	n.table = table
	n.mu.Unlock()
	n.opts.Log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Uint64("before", previous),
		zap.Int("routes", len(table.Routes)), zap.String("from", source))
	if n.opts.OnConfigChange != nil {
		n.opts.OnConfigChange(table)
	}
	n.TriggerHeartbeat()
}

// fetch gets a newer configuration from another process, and requests a read from the store if that fails. It waits for a
// short random time so that more processes have the version by then: otherwise all would call the first few that have it.
func (n *Node) fetch(from netip.AddrPort, version uint64) {
	time.Sleep(time.Duration(rand.Float64() * fetchDelayFraction * float64(n.opts.MaxConfigAge)))
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.MaxConfigAge/4)
	defer cancel()
	from = n.randomHolder(version, from)
	var reply ctrl.TableReply
	err := n.opts.Client.Call(ctx, from, "Node.Table", ctrl.TableArgs{}, &reply)
	n.mu.Lock()
	n.fetching = false
	n.mu.Unlock()
	if err != nil {
		n.opts.Log.Warn("configuration fetch failed", zap.Stringer("from", from), zap.Uint64("version", version), zap.Error(err))
		n.RefreshConfig()
		return
	}
	n.adopt(route.Restore(reply.Table), time.Time{}, from.String())
}

// fetchDelayFraction is the longest delay of a fetch as a fraction of MaxConfigAge.
const fetchDelayFraction = 0.04

// randomHolder returns the control address of a random process that has version or a newer one, or fallback if there is none.
func (n *Node) randomHolder(version uint64, fallback netip.AddrPort) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, p := range n.peers { // The order of map iteration is random.
		if r, ok := n.view.Get(a); ok && p.configVersion >= version && !p.silent {
			return r.Control
		}
	}
	return fallback
}

// maintainRegistration keeps the process registered in the directory, and reads the directory for other processes. If the store has
// lost the record, it registers again at once.
func (n *Node) maintainRegistration(ctx context.Context) error {
	var lastAttempt, lastRead time.Time
	registered, failing := false, false
	n.sendHello()
	err := timer.Every(ctx, directoryCheckInterval, func() {
		now := time.Now()
		registered = registered && n.opts.Directory.Current()
		if registered && now.Sub(lastAttempt) < n.opts.Directory.KeepAliveInterval() && now.Sub(lastRead) < directoryReadInterval &&
			!n.rereadDue(now) && !failing {
			return
		}
		if failing && now.Sub(lastAttempt) < directoryRetryInterval {
			return
		}
		lastAttempt = now
		err := n.syncDirectory(ctx, registered)
		if failing = err != nil; failing {
			n.opts.Log.Debug("directory sync failed", zap.Error(err))
			registered = false
			return
		}
		registered, lastRead = true, now
	})
	if n.opts.Load == nil || n.isGone() {
		n.deregister(ctx)
	}
	return err
}

// isGone reports whether this process has announced that it is gone.
func (n *Node) isGone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.State == view.Gone
}

// deregister removes the record of an entry, or of an agent that is gone, from the directory. Another agent stays registered
// until its lease expires: the lease also holds the list of its backend server's flows, which the next process at its address
// reads.
func (n *Node) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := n.opts.Directory.Deregister(ctx); err != nil {
		n.opts.Log.Debug("directory record not removed", zap.Error(err))
	}
}

const (
	directoryCheckInterval = 100 * time.Millisecond
	// directoryReadInterval is how often a process reads the whole directory and checks that it is still listed there.
	directoryReadInterval  = 15 * time.Second
	directoryRetryInterval = 700 * time.Millisecond
	deregisterTimeout      = 300 * time.Millisecond
)

// syncDirectory renews the process's lease, merges the records in the directory and registers the process if it isn't listed.
func (n *Node) syncDirectory(ctx context.Context, registered bool) error {
	n.mu.Lock()
	self := n.self
	n.mu.Unlock()
	if registered {
		if err := n.opts.Directory.KeepAlive(ctx); err != nil {
			registered = false
		}
	}
	if !registered {
		if err := n.register(ctx, self, "start or lost lease"); err != nil {
			return err
		}
	}
	stale := registered && !n.rereadDue(time.Now())
	listings, err := n.opts.Directory.List(ctx, stale)
	if err != nil {
		return err
	}
	records := n.evaluateListings(listings, stale, time.Now())
	n.mergeRecords(records)
	n.recordDirectoryRead(records, time.Now())
	for _, r := range records {
		if r.Packets == self.Packets && r.Incarnation == self.Incarnation {
			return nil
		}
	}
	return n.register(ctx, self, "not listed")
}

// register writes the record of this process to the directory; why is for the log.
func (n *Node) register(ctx context.Context, self view.Record, why string) error {
	if err := n.opts.Directory.Register(ctx, self); err != nil {
		return err
	}
	n.opts.Log.Info("registered in the directory", zap.String("why", why), zap.Uint64("incarnation", self.Incarnation))
	return nil
}

// relistTime is how long after the store has lost changes the processes that are running have written their records again.
const relistTime = 3 * time.Second

// evaluateListings returns the records in the directory that are of processes to expect. Unconfirmed ones are, until relistTime after
// this process first saw the store's era: the directory is then read again, and what is still unconfirmed, and not heard of, is taken
// to have ended. A stale read, which may show the directory as it was seconds ago, counts for that only after directoryReadInterval.
func (n *Node) evaluateListings(listings []view.Listing, stale bool, now time.Time) []view.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	if era := n.opts.Directory.Era(); n.eraSeen.IsZero() || era != n.directoryEra {
		n.directoryEra, n.eraSeen = era, now
	}
	n.rereadAt = time.Time{}
	relisted := now.Sub(n.eraSeen) >= relistTime && (!stale || now.Sub(n.eraSeen) >= directoryReadInterval)
	var records []view.Record
	for _, l := range listings {
		p := n.peers[l.Packets]
		switch {
		case l.Unconfirmed && relisted && (p == nil || !p.contacted):
			n.dropUnconfirmed(l.Record, p, now)
			continue
		case l.Unconfirmed && !relisted:
			n.rereadAt = n.eraSeen.Add(relistTime)
		}
		records = append(records, l.Record)
	}
	return records
}

// dropUnconfirmed forgets a process that is known only by an unconfirmed record, unless other entries hear it. The caller holds the
// lock.
func (n *Node) dropUnconfirmed(r view.Record, p *peer, now time.Time) {
	if p == nil || now.Sub(n.suspicions.ContradictedAt(r.Packets)) <= lostTimeout {
		return
	}
	n.opts.Log.Info("process is listed only by a record of before the store's loss", zap.Stringer("peer", r.Packets),
		zap.Stringer("peer_role", r.Role), zap.Uint64("incarnation", r.Incarnation))
	n.forgetPeer(r.Packets, now)
}

// rereadDue reports whether the directory must be read again since it had unconfirmed records.
func (n *Node) rereadDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.rereadAt.IsZero() && now.After(n.rereadAt)
}

// recordDirectoryRead records which processes the directory listed at now.
func (n *Node) recordDirectoryRead(records []view.Record, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directoryRead = now
	for _, r := range records {
		if p := n.peers[r.Packets]; p != nil {
			p.listedAt = now
		}
	}
}

// sendHello sends a hello to the seeds: the node's state with RequestPeers set.
func (n *Node) sendHello() {
	n.mu.Lock()
	state, seeds := n.state(), n.seeds
	n.mu.Unlock()
	state.RequestPeers = true
	if err := ctrl.Broadcast(n.opts.Link, seeds, ctrl.KindState, state); err != nil {
		n.opts.Log.Debug("hello to seeds not sent", zap.Error(err))
	}
}

const (
	// startupGossipInterval applies during startupPeriod, gossipInterval after it.
	startupGossipInterval = 300 * time.Millisecond
	gossipInterval        = 3 * time.Second
	// startupPeriod is how long after its start a process gossips every startupGossipInterval and repeats its hello to
	// the seeds.
	startupPeriod = 4 * time.Second
)

// gossip sends some records to a random process at intervals, so that processes discover each other without the directory.
func (n *Node) gossip(ctx context.Context) error {
	var last time.Time
	return timer.Every(ctx, startupGossipInterval, func() {
		now := time.Now()
		if now.Sub(n.startedAt) > startupPeriod && now.Sub(last) < gossipInterval {
			return
		}
		last = now
		if now.Sub(n.startedAt) <= startupPeriod {
			n.sendHello()
		}
		n.mu.Lock()
		var to netip.AddrPort
		for a, p := range n.peers {
			if r, ok := n.view.Get(a); ok && p.contacted && !p.silent {
				to = r.Control
				break // The order of map iteration is random.
			}
		}
		records := n.sampleRecords()
		n.mu.Unlock()
		if to.IsValid() && len(records) > 0 {
			n.sendRecords(to, records)
		}
	})
}

// sampleRecords returns some records of processes that are up, as many as fit into a datagram. The caller holds the lock.
func (n *Node) sampleRecords() []view.Record {
	var records []view.Record
	for a := range n.peers {
		if r, ok := n.view.Get(a); ok && r.State == view.Up {
			records = append(records, r)
		}
		if len(records) == ctrl.MaxPeerRecords {
			break
		}
	}
	return records
}

const (
	// helloReplyInterval is the shortest time between two replies to a process's hello, which processes repeat after their
	// start since datagrams can be lost.
	helloReplyInterval = time.Second
	// maxHelloRecords is the largest number of records in a reply: ten datagrams, so that a process to which many send a
	// hello at once isn't overloaded. Gossip and the directory provide the rest.
	maxHelloRecords = 10 * ctrl.MaxPeerRecords
)

// replyToHello sends a process the records of processes that are up, or only those of entries if the requester is an agent.
func (n *Node) replyToHello(to netip.AddrPort, requester view.Record) {
	now := time.Now()
	n.mu.Lock()
	if p := n.peers[requester.Packets]; p != nil {
		if now.Sub(p.lastHelloReply) < helloReplyInterval {
			n.mu.Unlock()
			return
		}
		p.lastHelloReply = now
	}
	records := []view.Record{n.self}
	for a, p := range n.peers { // The order of map iteration is random.
		r, ok := n.view.Get(a)
		if ok && r.State == view.Up && !p.silent && (requester.Role == view.Entry || r.Role == view.Entry) && len(records) < maxHelloRecords {
			records = append(records, r)
		}
	}
	n.mu.Unlock()
	for len(records) > 0 {
		count := min(len(records), ctrl.MaxPeerRecords)
		n.sendRecords(to, records[:count])
		records = records[count:]
	}
}

// sendRecords sends records to a process in one datagram, which holds up to ctrl.MaxPeerRecords.
func (n *Node) sendRecords(to netip.AddrPort, records []view.Record) {
	if err := ctrl.Send(n.opts.Link, to, ctrl.KindPeerRecords, ctrl.PeerRecords{Records: records}); err != nil {
		n.opts.Log.Debug("records not sent", zap.Error(err))
	}
}
