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
		n.askPeers(now)
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

// mayRun reports whether a process may be running, or come back: an agent may hold flows while it is silent or restarts as planned.
func (p *peer) mayRun(r view.Record) bool {
	if r.Role == view.Agent {
		return r.State == view.Up || r.State == view.Draining
	}
	return r.State == view.Up && !p.silent
}

// sendRecords sends records to a process in one datagram, which holds up to ctrl.MaxPeerRecords.
func (n *Node) sendRecords(to netip.AddrPort, records []view.Record) {
	n.sendPeerRecords(to, ctrl.PeerRecords{Records: records})
}

// sendPeerRecords sends one datagram with records.
func (n *Node) sendPeerRecords(to netip.AddrPort, msg ctrl.PeerRecords) {
	if err := ctrl.Send(n.opts.Link, to, ctrl.KindPeerRecords, msg); err != nil {
		n.opts.Log.Debug("records not sent", zap.Error(err))
	}
}
