// Package memb keeps what a process that carries opaque flows knows of the deployment: the other processes with
// their load, and the configuration.
//
// Processes tell each other their state by heartbeats. The store only serves to find each other at a start, and
// holds the configuration; both are done without while it is away.
package memb

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fresh"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// agentBeat is how often an agent tells its load to the entries: some service times.
	agentBeat = 200 * time.Millisecond
	// entryBeat is how often an entry tells its state to all processes: news of the configuration must reach
	// everybody within a part of a second even when the first message is lost.
	entryBeat = 500 * time.Millisecond
	// silentAfter is after how long without a heartbeat an agent gets no new flows, and its flows count as lost
	// when nobody else holds them: six heartbeats.
	silentAfter = 1200 * time.Millisecond
	// plannedLapse is how long an agent that announced its stop counts as coming back.
	plannedLapse = 8 * time.Second
	// lostAfter is after how long without a heartbeat a process is no longer told anything.
	lostAfter = 30 * time.Second
	// pauseGap is the gap between two ticks that shows that the process itself was not running.
	pauseGap = 700 * time.Millisecond
	tick     = 50 * time.Millisecond
	// fullBeats is how many heartbeats to a process that was just met hold the whole record, so that it knows it even when
	// one is lost; fullEvery is the part of the later ones that do, which mends what a process has missed.
	fullBeats = 3
	fullEvery = 5
	// farEvery is the part of an agent's heartbeats to other failure domains that tell its load: bytes between domains are
	// dear, and servers there are the second choice.
	farEvery = 2
)

// Source gives the configuration.
type Source interface {
	// Read returns the newest configuration, and where Watch continues.
	Read(ctx context.Context) (*route.Table, uint64, error)
	// Watch waits for a newer configuration; it returns nil when none came, and 0 when Read must come first.
	Watch(ctx context.Context, after uint64) (*route.Table, uint64, error)
}

// Directory lists the deployment's processes.
type Directory interface {
	Put(ctx context.Context, r view.Record) error
	Keep(ctx context.Context) error
	// Interval is how often Keep must be called.
	Interval() time.Duration
	// List may leave out the changes of the last seconds if stale is set, which costs the store less.
	List(ctx context.Context, stale bool) ([]view.Record, error)
	Leave(ctx context.Context) error
}

// Options are what a Node needs.
type Options struct {
	Self     view.Record
	Link     *ctrl.Link
	Listener net.Listener
	Client   *ctrl.Client
	Source   Source
	// Directory may list processes that are gone; it is asked rarely.
	Directory Directory
	// Seeds are control addresses of processes that may be there at a start.
	Seeds []netip.AddrPort
	// Bound is how old a configuration may be in force after a newer one was accepted.
	Bound time.Duration
	// Load returns the load of an agent's backend server; nil at an entry.
	Load func() ctrl.ServerLoad
	// Changed is called with each newer configuration.
	Changed func(*route.Table)
	Log     *zap.Logger
	Vars    *expvar.Map
}

// Node is a process's membership. It is safe for concurrent use.
type Node struct {
	opts Options

	mu       sync.Mutex
	self     view.Record
	seeds    []netip.AddrPort
	view     *view.View
	peers    map[netip.AddrPort]*peer
	table    *route.Table
	clock    *fresh.Clock
	fetching bool
	ticked   time.Time
	started  time.Time
	// listed is when the directory was read last.
	listed time.Time
	beaten time.Time
	// beats counts heartbeats; told is the own record as they told it last.
	beats int
	// alike is the number of entries in the own failure domain.
	alike int
	told  view.Record
	news  chan struct{}
	read  chan struct{}
}

// peer is what was heard of another process.
type peer struct {
	heard  time.Time
	silent bool
	// load is the server's load as told at loaded; sent is how many new flows it got since.
	load   ctrl.ServerLoad
	loaded time.Time
	sent   int
	// full is how many heartbeats with the whole record were sent to the process, answered when it was told of all others.
	full     int
	answered time.Time
	// version is the version of the configuration that the process told last.
	version uint64
	// tells says that the process was heard at all, and not only listed.
	tells bool
	// away is when the process announced that it stops.
	away time.Time
}

// New returns a node that knows only itself.
func New(opts Options) *Node {
	now := time.Now()
	n := &Node{
		opts: opts, self: opts.Self, seeds: opts.Seeds, view: view.New(), alike: 1, peers: make(map[netip.AddrPort]*peer), clock: fresh.New(opts.Bound),
		ticked: now, started: now, news: make(chan struct{}, 1), read: make(chan struct{}, 1),
	}
	n.view.Merge(opts.Self, now)
	opts.Link.SetHandler(ctrl.KindState, ctrl.TypedHandler(n.onState))
	opts.Link.SetHandler(ctrl.KindCompactState, ctrl.TypedHandler(n.onPulse))
	opts.Link.SetHandler(ctrl.KindPeerRecords, ctrl.TypedHandler(n.onRoll))
	opts.Vars.Set("config_version", expvar.Func(func() any { return n.Version() }))
	opts.Vars.Set("config_age_seconds", expvar.Func(func() any { return n.Age().Seconds() }))
	opts.Vars.Set("processes_known", expvar.Func(func() any { return n.known() }))
	return n
}

// Run keeps the node up to date until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server, err := ctrl.NewServer(n.opts.Listener, "Node", &service{n})
	if err != nil {
		return err
	}
	var g run.Group
	duty := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	duty(func(ctx context.Context) error { return timer.Every(ctx, tick, n.onTick) })
	duty(n.keepTable)
	duty(n.watchTable)
	duty(n.keepListed)
	duty(n.gossip)
	g.Add(server.Serve, func(error) { _ = n.opts.Listener.Close() })
	g.Add(n.opts.Link.Serve, func(error) { _ = n.opts.Link.Close() })
	return g.Run()
}

// service serves the calls of other processes.
type service struct{ n *Node }

// Table returns the configuration in force.
func (s *service) Table(_ ctrl.TableArgs, reply *ctrl.TableReply) error {
	t := s.n.Table()
	if t == nil {
		return errNoTable
	}
	reply.Table = *t
	return nil
}

// onTick sends heartbeats and notes silent peers.
func (n *Node) onTick() {
	now := time.Now()
	n.mu.Lock()
	gap := now.Sub(n.ticked)
	n.ticked = now
	if gap > pauseGap {
		n.opts.Log.Warn("process was not running", zap.Duration("gap", gap))
		for _, p := range n.peers {
			p.heard, p.loaded = p.heard.Add(gap), p.loaded.Add(gap)
		}
	}
	n.noteSilence(now)
	n.countAlike()
	interval := entryBeat
	if n.opts.Load != nil {
		interval = agentBeat
	}
	due := now.Sub(n.beaten) >= interval
	select {
	case <-n.news:
		due = true
	default:
	}
	n.mu.Unlock()
	if due {
		n.beat(now)
	}
}

// Hurry sends the next heartbeat at once.
func (n *Node) Hurry() {
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// HurryNear tells the node's state to the entries of its own failure domain at once, where news cost little.
func (n *Node) HurryNear() {
	n.mu.Lock()
	r := n.round(time.Now(), true)
	n.mu.Unlock()
	n.sendRound(r)
}

// countAlike counts the entries of the own failure domain: they know the same, and choose alike.
func (n *Node) countAlike() {
	n.alike = 1
	for a, p := range n.peers {
		r, ok := n.view.Get(a)
		if ok && r.Role == view.Entry && r.Domain == n.self.Domain && r.State == view.Up && !p.silent {
			n.alike++
		}
	}
}

func (n *Node) noteSilence(now time.Time) {
	for a, p := range n.peers {
		if !p.silent && now.Sub(p.heard) > silentAfter {
			p.silent = true
			n.opts.Log.Info("process is silent", zap.Stringer("peer", a), zap.Duration("for", now.Sub(p.heard)))
		}
		if now.Sub(p.heard) > lostAfter {
			r, ok := n.view.Get(a)
			if ok && r.State == view.Up {
				r.State, r.Since = view.Lost, now
				n.view.Merge(r, now)
			}
			delete(n.peers, a)
		}
	}
}

// beat tells the node's state to all that need it: an agent tells entries, an entry tells everybody.
func (n *Node) beat(now time.Time) {
	n.mu.Lock()
	n.beaten = now
	r := n.round(now, false)
	n.mu.Unlock()
	n.sendRound(r)
}

// onState takes another process's heartbeat over.
func (n *Node) onState(from netip.AddrPort, s ctrl.State) {
	now := time.Now()
	n.mu.Lock()
	if s.Record.Packets == n.self.Packets {
		n.contradict(s.Record, now)
		n.mu.Unlock()
		return
	}
	p := n.meet(s.Record, now)
	if p == nil {
		n.mu.Unlock()
		return
	}
	p.tell(&s, now, n.opts.Log)
	newer := s.ConfigVersion > n.version()
	if !newer && s.ConfigVersion == n.version() && s.ConfigVersion > 0 {
		n.clock.Confirm(s.ConfigVersion, now.Add(-s.ConfigAge), rand.Float64())
	}
	fetch := newer && !n.fetching
	n.fetching = n.fetching || fetch
	n.mu.Unlock()
	if fetch {
		go n.fetch(from, s.ConfigVersion)
	}
	if s.RequestPeers {
		n.tellAll(from, s.Record)
	}
}

// onPulse takes the heartbeat of a process over whose record is known. Else one of its next heartbeats has the record.
func (n *Node) onPulse(from netip.AddrPort, p ctrl.CompactState) {
	now := time.Now()
	n.mu.Lock()
	r, known := n.view.Get(p.Packets)
	peer := n.peers[p.Packets]
	known = known && peer != nil && r.Incarnation == p.Incarnation && r.State != view.Lost && r.State != view.Gone
	if known && p.ConfigVersion == 0 {
		peer.tell(&ctrl.State{Record: r, Server: p.Server, ConfigVersion: peer.version}, now, n.opts.Log)
	}
	n.mu.Unlock()
	if known && p.ConfigVersion > 0 {
		n.onState(from, ctrl.State{Record: r, Server: p.Server, ConfigVersion: p.ConfigVersion, ConfigAge: p.ConfigAge})
	}
}

// tell notes what a process tells of itself.
func (p *peer) tell(s *ctrl.State, now time.Time, log *zap.Logger) {
	if p.silent {
		log.Info("process is heard again", zap.Stringer("peer", s.Record.Packets), zap.Duration("after", now.Sub(p.heard)))
	}
	p.heard, p.silent, p.tells, p.version = now, false, true, s.ConfigVersion
	if s.Record.State == view.Draining || s.Record.State == view.Gone {
		p.away = now
	}
	if s.Server != nil {
		p.load, p.loaded, p.sent = *s.Server, now, 0
	}
}

// meet merges the record of a process that was heard, and returns what is kept of it; nil when the record is old.
func (n *Node) meet(r view.Record, now time.Time) *peer {
	old, known := n.view.Get(r.Packets)
	if known && old.Incarnation > r.Incarnation {
		return nil
	}
	restarted := known && old.Incarnation < r.Incarnation
	if n.view.Merge(r, now) && (!known || restarted || old.State != r.State) {
		n.opts.Log.Info("process seen", zap.Stringer("peer", r.Packets), zap.Stringer("peer_role", r.Role),
			zap.String("domain", r.Domain), zap.Stringer("state", r.State), zap.Uint64("incarnation", r.Incarnation),
			zap.Bool("restarted", restarted))
	}
	p := n.peers[r.Packets]
	if p == nil || restarted {
		p = &peer{heard: now}
		n.peers[r.Packets] = p
	}
	return p
}

// contradict raises the node's own record above what others say of its address.
func (n *Node) contradict(r view.Record, now time.Time) {
	if !r.Newer(&n.self) {
		return
	}
	if r.Incarnation > n.self.Incarnation {
		n.self.Incarnation = r.Incarnation + 1
	}
	n.self.Epoch = r.Epoch + 1
	n.view.Merge(n.self, now)
	n.Hurry()
}

// onRoll takes over what another process knows of processes.
func (n *Node) onRoll(_ netip.AddrPort, roll ctrl.PeerRecords) { n.learn(roll.Records) }

// cares reports whether this process needs to know another one: agents don't need each other.
func (n *Node) cares(r view.Record) bool { return n.opts.Load == nil || r.Role == view.Entry }

// learn merges records that others know, and greets the processes that are new.
func (n *Node) learn(records []view.Record) {
	now := time.Now()
	var greet []netip.AddrPort
	n.mu.Lock()
	for _, r := range records {
		if r.Packets == n.self.Packets {
			n.contradict(r, now)
			continue
		}
		if !n.cares(r) {
			continue
		}
		if n.view.Merge(r, now) && (r.State == view.Up || r.State == view.Draining) && n.peers[r.Packets] == nil {
			n.peers[r.Packets] = &peer{heard: now}
			greet = append(greet, r.Control)
		}
	}
	state := n.state(now)
	n.mu.Unlock()
	if len(greet) > 0 {
		n.send(state, greet)
	}
}

// SetSeeds replaces the addresses of processes that may be there at a start, and greets them.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	n.seeds = seeds
	n.mu.Unlock()
	n.greetSeeds()
}

// Stop tells the others that the node's process ends: it drains, or is gone.
func (n *Node) Stop(state view.State) {
	now := time.Now()
	n.mu.Lock()
	n.self.State = state
	n.self.Epoch++
	n.self.Since = now
	n.view.Merge(n.self, now)
	n.mu.Unlock()
	n.beat(now)
}
