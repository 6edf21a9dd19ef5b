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
	// watchers is how many processes watch the configuration in the store; the others hear from them.
	watchers = 3
	// watchRetry is the pause after a watch that failed, and between looks at whether this process watches.
	watchRetry = 500 * time.Millisecond
	readTick   = 50 * time.Millisecond
)

var errNoTable = errors.New("memb: no configuration yet")

// Table returns the configuration in force, or nil.
func (n *Node) Table() *route.Table {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table
}

// Version returns the version of the configuration in force, or 0.
func (n *Node) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version()
}

func (n *Node) version() uint64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version
}

// Age returns how long ago the configuration in force was known to be the newest.
func (n *Node) Age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Age(time.Now())
}

// Refresh asks for a read of the configuration at once.
func (n *Node) Refresh() {
	select {
	case n.read <- struct{}{}:
	default:
	}
}

// keepTable reads the configuration when its age wants it.
func (n *Node) keepTable(ctx context.Context) error {
	failing := false
	read := func() {
		asked := false
		select {
		case <-n.read:
			asked = true
		default:
		}
		n.mu.Lock()
		due := n.clock.Due(time.Now(), n.opts.Load != nil && len(n.peers) > 0)
		n.mu.Unlock()
		if !due && !asked {
			return
		}
		started := time.Now()
		table, _, err := n.opts.Source.Read(ctx)
		if err == nil {
			n.adopt(table, started, "store")
		}
		if (err != nil) != failing {
			failing = err != nil
			n.logDependency(failing, err)
		}
	}
	read()
	return timer.Every(ctx, readTick, read)
}

func (n *Node) logDependency(failing bool, err error) {
	if failing {
		n.opts.Log.Warn("store lost", zap.Error(err))
		return
	}
	n.opts.Log.Info("store regained")
}

// watchTable watches the configuration while this process is one of the watchers.
func (n *Node) watchTable(ctx context.Context) error {
	after := uint64(0)
	return timer.Every(ctx, watchRetry, func() {
		for ctx.Err() == nil && n.watches() {
			next, err := n.watchOnce(ctx, after)
			after = next
			if err != nil {
				n.opts.Log.Debug("watch failed", zap.Error(err))
				return
			}
		}
	})
}

// watchOnce waits for one change and returns where to continue; 0 to begin with a read.
func (n *Node) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	started := time.Now()
	if after == 0 {
		table, at, err := n.opts.Source.Read(ctx)
		if err != nil {
			return 0, err
		}
		n.adopt(table, started, "store")
		return at, nil
	}
	table, at, err := n.opts.Source.Watch(ctx, after)
	if err != nil {
		return 0, err
	}
	if table != nil {
		n.adopt(table, started, "watch")
	}
	return at, nil
}

// watches reports whether this process is one of the watchers: those that come first in an order that all share.
func (n *Node) watches() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.Load != nil && len(n.peers) > 0 {
		return false // Entries watch, and tell the agents.
	}
	own := place.Weight(watchSeed, n.self.Packets)
	before := 0
	for a, p := range n.peers {
		if p.tells && !p.silent && place.Weight(watchSeed, a) > own {
			before++
		}
	}
	return before < watchers
}

// watchSeed sets the order of watchers apart from other orders of processes.
const watchSeed = 0x77617463

// adopt puts a configuration in force unless a newer one is; at is when it was known to be the newest.
func (n *Node) adopt(t *route.Table, at time.Time, from string) {
	n.mu.Lock()
	n.clock.Confirm(t.Version, at, rand.Float64())
	if t.Version <= n.version() && n.table != nil {
		n.mu.Unlock()
		return
	}
	old := n.version()
	n.table = t
	n.mu.Unlock()
	n.opts.Log.Info("configuration in force", zap.Uint64("version", t.Version), zap.Uint64("before", old),
		zap.Int("routes", len(t.Routes)), zap.String("from", from))
	if n.opts.Changed != nil {
		n.opts.Changed(t)
	}
	n.Hurry()
}

// fetch gets a newer configuration from another process, or asks the store when that fails. The first processes that
// have it would be asked by all others at once; a short random pause lets more of them have it.
func (n *Node) fetch(from netip.AddrPort, version uint64) {
	time.Sleep(time.Duration(rand.Float64() * fetchSpread * float64(n.opts.Bound)))
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.Bound/4)
	defer cancel()
	from = n.holder(version, from)
	var reply ctrl.TableReply
	err := n.opts.Client.Call(ctx, from, "Node.Table", ctrl.TableArgs{}, &reply)
	n.mu.Lock()
	n.fetching = false
	n.mu.Unlock()
	if err != nil {
		n.opts.Log.Warn("configuration not fetched", zap.Stringer("from", from), zap.Uint64("version", version), zap.Error(err))
		n.Refresh()
		return
	}
	n.adopt(route.Restore(reply.Table), time.Time{}, from.String())
}

// fetchSpread is the part of the allowed age over which fetches of a new configuration are spread.
const fetchSpread = 0.04

// holder returns the control address of a random process that told to have a version; or else.
func (n *Node) holder(version uint64, or netip.AddrPort) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, p := range n.peers { // Maps are walked in random order.
		if r, ok := n.view.Get(a); ok && p.version >= version && !p.silent {
			return r.Control
		}
	}
	return or
}

// keepListed lists the process in the directory, and learns of the others.
func (n *Node) keepListed(ctx context.Context) error {
	var kept, listed time.Time
	put, failing := false, false
	n.greetSeeds()
	err := timer.Every(ctx, listTick, func() {
		now := time.Now()
		if put && now.Sub(kept) < n.opts.Directory.Interval() && now.Sub(listed) < listEvery && !failing {
			return
		}
		if failing && now.Sub(kept) < listRetry {
			return
		}
		kept = now
		err := n.listOnce(ctx, put)
		if failing = err != nil; failing {
			n.opts.Log.Debug("directory not reached", zap.Error(err))
			put = false
			return
		}
		put, listed = true, now
	})
	if n.opts.Load == nil {
		n.leave(ctx)
	}
	return err
}

// leave takes an entry off the directory. An agent stays listed until its lease runs out, since the lease also holds the
// list of its server's flows, which the next process at its address reads.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
	defer cancel()
	if err := n.opts.Directory.Leave(ctx); err != nil {
		n.opts.Log.Debug("directory entry not removed", zap.Error(err))
	}
}

const (
	listTick = 100 * time.Millisecond
	// listEvery is how often a process reads the whole directory, which also shows whether its own entry stands.
	listEvery = 15 * time.Second
	listRetry = 700 * time.Millisecond
	leaveTime = 300 * time.Millisecond
)

// listOnce renews the process's entry, reads the directory and writes the entry when it is missing.
func (n *Node) listOnce(ctx context.Context, put bool) error {
	n.mu.Lock()
	self := n.self
	n.mu.Unlock()
	if put {
		if err := n.opts.Directory.Keep(ctx); err != nil {
			put = false
		}
	}
	if !put {
		if err := n.opts.Directory.Put(ctx, self); err != nil {
			return err
		}
	}
	records, err := n.opts.Directory.List(ctx, put)
	if err != nil {
		return err
	}
	n.learn(records)
	n.mu.Lock()
	n.listed = time.Now()
	n.mu.Unlock()
	for _, r := range records {
		if r.Packets == self.Packets && r.Incarnation == self.Incarnation {
			return nil
		}
	}
	return n.opts.Directory.Put(ctx, self)
}

// greetSeeds tells the processes of the settings that this one is there, and asks whom they know.
func (n *Node) greetSeeds() {
	n.mu.Lock()
	state, seeds := n.state(time.Now()), n.seeds
	n.mu.Unlock()
	state.RequestPeers = true
	if err := ctrl.Broadcast(n.opts.Link, seeds, ctrl.KindState, state); err != nil {
		n.opts.Log.Debug("seed not greeted", zap.Error(err))
	}
}

const (
	gossipEarly = 300 * time.Millisecond
	gossipLate  = 3 * time.Second
	// youth is how long a process greets seeds and tells others often.
	youth = 4 * time.Second
)

// gossip tells a random process of some others now and then, so that all know all without the directory.
func (n *Node) gossip(ctx context.Context) error {
	var last time.Time
	return timer.Every(ctx, gossipEarly, func() {
		now := time.Now()
		if now.Sub(n.started) > youth && now.Sub(last) < gossipLate {
			return
		}
		last = now
		if now.Sub(n.started) <= youth {
			n.greetSeeds()
		}
		n.mu.Lock()
		var to netip.AddrPort
		for a, p := range n.peers {
			if r, ok := n.view.Get(a); ok && p.tells && !p.silent {
				to = r.Control
				break // Maps are walked in random order.
			}
		}
		records := n.sample()
		n.mu.Unlock()
		if to.IsValid() && len(records) > 0 {
			n.sendRoll(to, records)
		}
	})
}

// sample returns some records of processes that are thought to live.
func (n *Node) sample() []view.Record {
	var out []view.Record
	for a := range n.peers {
		if r, ok := n.view.Get(a); ok && r.State == view.Up {
			out = append(out, r)
		}
		if len(out) == ctrl.MaxPeerRecords {
			break
		}
	}
	return out
}

const (
	// answerEvery is the shortest time between two answers to a greeting, which young processes repeat since datagrams
	// get lost.
	answerEvery = time.Second
	// answerMost is how many records an answer holds: ten datagrams, so that a process that many greet at once isn't
	// choked. Rumors and the directory tell the rest.
	answerMost = 10 * ctrl.MaxPeerRecords
)

// tellAll tells a process that greets of those that it needs to know and that are thought to live.
func (n *Node) tellAll(to netip.AddrPort, asker view.Record) {
	now := time.Now()
	n.mu.Lock()
	if p := n.peers[asker.Packets]; p != nil {
		if now.Sub(p.answered) < answerEvery {
			n.mu.Unlock()
			return
		}
		p.answered = now
	}
	records := []view.Record{n.self}
	for a, p := range n.peers { // Maps are walked in random order.
		r, ok := n.view.Get(a)
		if ok && r.State == view.Up && !p.silent && (asker.Role == view.Entry || r.Role == view.Entry) && len(records) < answerMost {
			records = append(records, r)
		}
	}
	n.mu.Unlock()
	for len(records) > 0 {
		k := min(len(records), ctrl.MaxPeerRecords)
		n.sendRoll(to, records[:k])
		records = records[k:]
	}
}

func (n *Node) sendRoll(to netip.AddrPort, records []view.Record) {
	if err := ctrl.Send(n.opts.Link, to, ctrl.KindPeerRecords, ctrl.PeerRecords{Records: records}); err != nil {
		n.opts.Log.Debug("records not sent", zap.Error(err))
	}
}
