// Package memb maintains the membership and the configuration of a process that carries opaque flows: the other
// processes of the deployment with their load, and the table of routes in force.
//
// Processes exchange their state in heartbeats. The store is used for discovery at a start and holds the configuration;
// while it is unavailable, processes find each other by seeds and gossip and go on with the configuration that they have.
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

	"github.com/bergamotrun/bergamotrun/internal/alive"
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fresh"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/settle"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// agentHeartbeatInterval is how often an agent sends its load to the entries: a few service times.
	agentHeartbeatInterval = 200 * time.Millisecond
	// entryHeartbeatInterval is how often an entry sends its state to all processes. A new configuration must become
	// known to all within a fraction of a second even if the first heartbeat is lost.
	entryHeartbeatInterval = 500 * time.Millisecond
	// silenceTimeout is how long after its last heartbeat an agent stops getting new flows, and other entries are asked
	// whether it has failed: six heartbeat intervals of agents.
	silenceTimeout = 1200 * time.Millisecond
	// plannedStopGrace is how long an agent that announced its stop is expected to come back.
	plannedStopGrace = 8 * time.Second
	// lostTimeout is how long after its last heartbeat a process is marked lost and gets no more heartbeats.
	lostTimeout = 30 * time.Second
	// pauseThreshold is the gap between two ticks above which this process itself counts as paused.
	pauseThreshold = 700 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	// queueDrainTime is how long after a pause messages that were received before or during it may still be queued.
	queueDrainTime = 500 * time.Millisecond
	// eraCheckInterval is the minimum time between two reads of the store by which this process learns its era.
	eraCheckInterval = 600 * time.Millisecond
	// stopAnnouncementRepeats is how often the announcement of a stop is repeated, once a tick, while the process still
	// serves. After that the process's other heartbeats continue at their interval.
	stopAnnouncementRepeats = 4
	// initialFullHeartbeats is how many heartbeats to a newly discovered process contain the whole record, so that it gets
	// the record even if one is lost. After that every fullHeartbeatEvery-th does, for processes that missed a change.
	initialFullHeartbeats = 3
	fullHeartbeatEvery    = 5
	// remoteLoadEvery is in how many heartbeats to other failure domains an agent sends its load once: traffic between
	// domains is expensive, and entries there prefer the backend servers of their own domain.
	remoteLoadEvery = 2
)

// Source reads the configuration from the store.
type Source interface {
	// Read returns the newest configuration.
	Read(ctx context.Context) (*route.Table, error)
	// Watch waits for a newer configuration than the one that it returned last, and returns it; the table is nil if none came.
	// The first call, and one after an error, returns the newest configuration at once.
	Watch(ctx context.Context) (*route.Table, error)
}

// Directory is the registry of the deployment's processes in the store.
type Directory interface {
	// Register writes the record of this process.
	Register(ctx context.Context, r view.Record) error
	// KeepAlive renews the lease of that record.
	KeepAlive(ctx context.Context) error
	// KeepAliveInterval is how often KeepAlive must be called.
	KeepAliveInterval() time.Duration
	// Current reports whether the record is in the store, as far as this process knows. If not, Register must be called.
	Current() bool
	// Era is the store's era, as far as this process knows; 0 if unknown. It rises when the store has lost its latest changes.
	Era() uint64
	// List returns the records of all registered processes, and with an error some of them. If stale is set it may omit the changes
	// of the last seconds, which costs the store less.
	List(ctx context.Context, stale bool) ([]view.Listing, error)
	// Deregister removes the record of this process.
	Deregister(ctx context.Context) error
}

// Options configure a Node.
type Options struct {
	Self     view.Record
	Link     *ctrl.Link
	Listener net.Listener
	Client   *ctrl.Client
	Source   Source
	// Directory may list processes that are gone. It is read at a start and every directoryReadInterval.
	Directory Directory
	// Seeds are the control addresses of processes to contact at a start; they need not be running.
	Seeds []netip.AddrPort
	// MaxConfigAge is how long a configuration may stay in force after a newer one was accepted.
	MaxConfigAge time.Duration
	// Connector attempts to connect to agents that are silent.
	Connector Connector
	// Suspended returns how long the machine has been suspended, which time.Since doesn't count.
	Suspended func() time.Duration
	// Load returns the load of an agent's backend server; nil at an entry.
	Load func() ctrl.ServerLoad
	// OnConfigChange is called with each newer configuration, in the order of their versions, if set.
	OnConfigChange func(*route.Table)
	Log            *zap.Logger
	Vars           *expvar.Map
}

// Node maintains a process's membership in the deployment and its configuration. It is safe for concurrent use.
type Node struct {
	opts Options

	// adoptMu is held while a configuration is put in force, so that OnConfigChange is called in the order of versions.
	adoptMu sync.Mutex

	mu sync.Mutex
	// self is the node's own record.
	self  view.Record
	seeds []netip.AddrPort
	view  *view.View
	// peers holds the processes from which heartbeats are expected, by their packet address.
	peers map[netip.AddrPort]*peer
	// table is the configuration in force, nil if there is none yet; fetching is set while a newer one is being fetched from
	// another process.
	table     *route.Table
	freshness *fresh.AgeTracker
	fetching  bool
	lastTick  time.Time
	// lastAgeTick is when the last tick was by ageClock, resumedAt when the process was found to have resumed after a pause.
	lastAgeTick, resumedAt time.Time
	startedAt              time.Time
	// eraChecked is when this process last read the store since others know a higher era.
	eraChecked time.Time
	// suspicions holds the opinions of other entries on agents that are silent here.
	suspicions *alive.Tracker
	// attempting has the suspects to which an attempt to connect is running.
	attempting map[netip.AddrPort]struct{}
	// directoryRead is when the directory was read last, directoryEra the store's era then, and eraSeen when that era was first seen.
	// rereadAt is when the directory must be read again since it had unconfirmed records; zero if it needn't.
	directoryRead     time.Time
	directoryEra      uint64
	eraSeen           time.Time
	rereadAt          time.Time
	lastHeartbeatSent time.Time
	// heartbeats counts the rounds of heartbeats sent; sentRecord is the node's record in the last round.
	heartbeats int
	// entriesInDomain is the number of entries in the node's failure domain that are up, with the node itself.
	entriesInDomain int
	sentRecord      view.Record
	// announcementsLeft is how often the announcement of the node's stop is still to be repeated.
	announcementsLeft int
	// settled is set once there was evidence that this process knows all agents. listReceived is set once a settled process has sent its
	// list, of which lists has the parts; listsSent counts those that this process sent. peersAsked is when peers were last sent a hello.
	// replaces is set if a process has told that another one had run at this one's address, unless this one has stood still since.
	// settlingSince is since when evidence counts if this process stood still for longPause; before, it is startedAt.
	settled, listReceived, replaces bool
	settlingSince                   time.Time
	lists                           settle.Lists
	listsSent                       uint32
	peersAsked                      time.Time
	// heartbeatRequested makes sendRequestedHeartbeats send heartbeats; readRequested makes pollTable read the store.
	heartbeatRequested chan struct{}
	readRequested      chan struct{}
}

// peer holds the content of another process's heartbeats, and counts what was sent to that process.
type peer struct {
	lastHeartbeat time.Time
	silent        bool
	// load is the load of the agent's backend server, received at loadReceived; newFlows counts the flows sent to it since.
	load         ctrl.ServerLoad
	loadReceived time.Time
	newFlows     int
	// fullHeartbeats counts the heartbeats with the whole record sent to the process; lastHelloReply is when its hello was last
	// replied to.
	fullHeartbeats int
	lastHelloReply time.Time
	// configVersion is the version of the configuration in force at the process, from its last heartbeat.
	configVersion uint64
	// contacted is set once a heartbeat came from the process; until then it is known only from the directory or gossip.
	contacted bool
	// stopAnnounced is when the last heartbeat came that said that the process is stopping.
	stopAnnounced time.Time
	// listedAt is when the directory was last read with the process in it.
	listedAt time.Time
	// uptime is the process's uptime as it told last, startedAt when it started by that; 0 and the zero time if it didn't tell. replaces is
	// set if another process had run at the address for settle.RelistTime.
	uptime    time.Duration
	startedAt time.Time
	replaces  bool
}

// New returns a node that knows only itself, and registers its handlers and metrics.
func New(opts Options) *Node {
	now := time.Now()
	n := &Node{
		opts: opts, self: opts.Self, seeds: opts.Seeds, view: view.New(), entriesInDomain: 1,
		peers: make(map[netip.AddrPort]*peer), freshness: fresh.New(opts.MaxConfigAge), suspicions: alive.New(), attempting: make(map[netip.AddrPort]struct{}),
		lastTick: now, startedAt: now, heartbeatRequested: make(chan struct{}, 1), readRequested: make(chan struct{}, 1),
	}
	n.lastAgeTick = n.ageClock()
	n.view.Merge(opts.Self, now)
	opts.Link.SetHandler(ctrl.KindState, ctrl.TypedHandler(n.onState))
	opts.Link.SetHandler(ctrl.KindCompactState, ctrl.TypedHandler(n.onCompactState))
	opts.Link.SetHandler(ctrl.KindPeerRecords, ctrl.TypedHandler(n.onPeerRecords))
	opts.Link.SetHandler(ctrl.KindSilenceQuery, ctrl.TypedHandler(n.onSilenceQuery))
	opts.Link.SetHandler(ctrl.KindSilenceReply, ctrl.TypedHandler(n.onSilenceReply))
	opts.Vars.Add(agentsFailedCounter, 0)
	opts.Vars.Add(silenceContradictedCounter, 0)
	opts.Vars.Add(olderConfigsCounter, 0)
	opts.Vars.Set("config_version", expvar.Func(func() any { return n.ConfigVersion() }))
	opts.Vars.Set("config_age_seconds", expvar.Func(func() any { return n.ConfigAge().Seconds() }))
	opts.Vars.Set("processes_known", expvar.Func(func() any { return n.peerCount() }))
	return n
}

// Run keeps the node up to date until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server, err := ctrl.NewServer(n.opts.Listener, "Node", &rpcHandler{n})
	if err != nil {
		return err
	}
	var g run.Group
	addTask := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	addTask(func(ctx context.Context) error { return timer.Every(ctx, tickInterval, n.tick) })
	addTask(n.sendRequestedHeartbeats)
	addTask(n.pollConfig)
	addTask(n.watchConfig)
	addTask(n.maintainRegistration)
	addTask(n.gossip)
	g.Add(server.Serve, func(error) { _ = n.opts.Listener.Close() })
	g.Add(n.opts.Link.Serve, func(error) { _ = n.opts.Link.Close() })
	return g.Run()
}

// rpcHandler serves the remote calls of other processes.
type rpcHandler struct{ node *Node }

// Table returns the configuration in force.
func (h *rpcHandler) Table(_ ctrl.TableArgs, reply *ctrl.TableReply) error {
	table := h.node.Table()
	if table == nil {
		return errNoConfig
	}
	reply.Table = *table
	return nil
}

// tick sends heartbeats when they are due and marks silent peers. If this process itself was paused, the times of the
// last heartbeats move by the gap, since heartbeats missed meanwhile don't show that a peer failed.
func (n *Node) tick() {
	now := time.Now()
	n.mu.Lock()
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	age := n.ageClock()
	if n.paused(age) {
		n.resumedAt = age
		n.unsettleAfter(age.Sub(n.lastAgeTick), now)
	}
	n.lastAgeTick = age
	if gap > pauseThreshold {
		n.opts.Log.Warn("process was not running", zap.Duration("gap", gap))
		for _, p := range n.peers {
			p.lastHeartbeat, p.loadReceived = p.lastHeartbeat.Add(gap), p.loadReceived.Add(gap)
		}
	}
	n.updateSilentPeers(now)
	n.countDomainEntries()
	questions := n.checkSuspicions(now)
	interval := entryHeartbeatInterval
	if n.opts.Load != nil {
		interval = agentHeartbeatInterval
	}
	due := now.Sub(n.lastHeartbeatSent) >= interval || n.announcementsLeft > 0
	n.mu.Unlock()
	n.sendQuestions(questions)
	if due {
		n.sendHeartbeats(now)
	}
}

// ageClock returns the time by which the age of the configuration is measured. Unlike that of time.Now it goes on while the machine is
// suspended.
func (n *Node) ageClock() time.Time { return time.Now().Add(n.opts.Suspended()) }

// paused reports whether the process was paused, or the machine suspended, since the last tick; now is a time of ageClock. The caller
// holds the lock.
func (n *Node) paused(now time.Time) bool { return now.Sub(n.lastAgeTick) > pauseThreshold }

// mayBeQueued reports whether a message that is handled now may have been received before a pause of the process, and queued since.
// The caller holds the lock.
func (n *Node) mayBeQueued(now time.Time) bool {
	return n.paused(now) || (!n.resumedAt.IsZero() && now.Sub(n.resumedAt) < queueDrainTime)
}

// sendRequestedHeartbeats sends heartbeats as soon as they are requested, until ctx is canceled.
func (n *Node) sendRequestedHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.heartbeatRequested:
			n.sendHeartbeats(time.Now())
		}
	}
}

// TriggerHeartbeat sends the next heartbeat at once, without waiting for its interval.
func (n *Node) TriggerHeartbeat() {
	select {
	case n.heartbeatRequested <- struct{}{}:
	default:
	}
}

// NotifyDomain sends heartbeats at once, but only within the node's own failure domain, where traffic is cheap.
func (n *Node) NotifyDomain() {
	n.mu.Lock()
	round := n.buildRound(true)
	n.mu.Unlock()
	n.sendRound(round)
}

// countDomainEntries counts the entries in the node's failure domain. They have the same information and choose the same
// agents, so each takes its own new flows as a sample of what all of them send. The caller holds the lock.
func (n *Node) countDomainEntries() {
	n.entriesInDomain = 1
	for a, p := range n.peers {
		r, ok := n.view.Get(a)
		if ok && r.Role == view.Entry && r.Domain == n.self.Domain && r.State == view.Up && !p.silent {
			n.entriesInDomain++
		}
	}
}

// updateSilentPeers marks peers without a recent heartbeat as silent, and removes those that are lost, unless other entries
// receive heartbeats from them. The caller holds the lock.
func (n *Node) updateSilentPeers(now time.Time) {
	isolated := n.opts.Load == nil && len(n.peers) > 0 && !n.hearsMost()
	for a, p := range n.peers {
		if !p.silent && now.Sub(p.lastHeartbeat) > silenceTimeout {
			p.silent = true
			n.opts.Log.Info("process is silent", zap.Stringer("peer", a), zap.Duration("for", now.Sub(p.lastHeartbeat)))
		}
		if n.isLost(p, isolated, now) && now.Sub(n.suspicions.ContradictedAt(a)) > lostTimeout {
			n.forgetPeer(a, now)
		}
	}
}

// forgetPeer marks a process lost and expects no more heartbeats of it. The caller holds the lock.
func (n *Node) forgetPeer(addr netip.AddrPort, now time.Time) {
	r, ok := n.view.Get(addr)
	if ok && r.State == view.Up {
		r.State, r.Since = view.Lost, now
		n.view.Merge(r, now)
	}
	delete(n.peers, addr)
}

// isLost reports whether no heartbeat came from a process for lostTime. An entry that receives heartbeats from few processes
// is probably cut off from the others: if it forgot them, it would take the rest for the whole deployment. It therefore waits
// until the directory has not listed the process for lostTimeout either. The caller holds the lock.
func (n *Node) isLost(p *peer, isolated bool, now time.Time) bool {
	if now.Sub(p.lastHeartbeat) <= n.lostTime() {
		return false
	}
	unlistedFor := n.directoryRead.Sub(latest(p.lastHeartbeat, p.listedAt))
	return !isolated || unlistedFor > lostTimeout
}

// lostTime returns how long after its last heartbeat a process is lost: lostTimeout, or until all flows that it carried have been idle for
// as long as they may be, since its packets have stopped like its heartbeats. The caller holds the lock.
func (n *Node) lostTime() time.Duration {
	if n.table == nil {
		return lostTimeout
	}
	return max(lostTimeout, n.table.Idle+silenceTimeout)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendHeartbeats sends a round of heartbeats: an agent's to the entries, an entry's to all processes.
func (n *Node) sendHeartbeats(now time.Time) {
	n.mu.Lock()
	n.lastHeartbeatSent = now
	round := n.buildRound(false)
	n.mu.Unlock()
	n.sendRound(round)
}

// onState handles a heartbeat with the whole record. It fetches the sender's configuration if that is newer.
func (n *Node) onState(from netip.AddrPort, state ctrl.State) {
	now := time.Now()
	n.mu.Lock()
	if n.handleOwnRecord(state.Record, now) {
		n.mu.Unlock()
		return
	}
	previous := n.peers[state.Record.Packets]
	p := n.mergePeer(state.Record, now)
	if p == nil {
		later, _ := n.view.Get(state.Record.Packets)
		n.mu.Unlock()
		n.sendRecords(from, []view.Record{later}) // A process that started with a clock that is behind refutes it.
		return
	}
	unlisted := n.updatePeer(p, &state, now)
	newer := state.ConfigVersion > n.configVersion()
	if age := n.ageClock(); !newer && state.ConfigVersion == n.configVersion() && state.ConfigVersion > 0 && !n.mayBeQueued(age) {
		n.freshness.Confirm(state.ConfigVersion, age.Add(-state.ConfigAge), rand.Float64())
	}
	fetch := newer && !n.fetching
	n.fetching = n.fetching || fetch
	record, _ := n.view.Get(state.Record.Packets)
	n.checkEra(state.StoreEra, now)
	ownState := n.state()
	n.mu.Unlock()
	n.sendUnlisted(unlisted)
	n.reportLoadIfNew(previous, p, ownState, state.Record.Control)
	if fetch {
		go n.fetch(from, state.ConfigVersion)
	}
	if record.State == view.Lost {
		n.sendRecords(from, []view.Record{record}) // The process refutes it.
	}
	if state.RequestPeers {
		n.replyToHello(from, state.Record)
	}
}

// reportLoadIfNew sends an agent's state to an entry whose peer has changed since it was previous, as the entry is new or has started
// again: it would send all new flows to the few agents that it knows.
func (n *Node) reportLoadIfNew(previous, current *peer, ownState ctrl.State, entry netip.AddrPort) {
	if n.opts.Load != nil && current != previous {
		n.sendState(ownState, []netip.AddrPort{entry})
	}
}

// handleOwnRecord refutes a record of the node's own address and reports whether it is one. The caller holds the lock.
func (n *Node) handleOwnRecord(r view.Record, now time.Time) bool {
	if r.Packets != n.self.Packets {
		return false
	}
	n.refute(r, now)
	return true
}

// checkEra requests a read of the store, whose response has its era, if another process knows a higher era than this one. The caller
// holds the lock.
func (n *Node) checkEra(era uint64, now time.Time) {
	if era > n.opts.Directory.Era() && now.Sub(n.eraChecked) > eraCheckInterval {
		n.eraChecked = now
		n.RefreshConfig()
	}
}

// onCompactState handles a heartbeat without the record. It is ignored unless the record of that incarnation is known;
// one of the sender's next heartbeats contains the record.
func (n *Node) onCompactState(from netip.AddrPort, compact ctrl.CompactState) {
	now := time.Now()
	n.mu.Lock()
	r, known := n.view.Get(compact.Packets)
	sender := n.peers[compact.Packets]
	known = known && sender != nil && r.Incarnation == compact.Incarnation && r.State != view.Lost && r.State != view.Gone
	if known && compact.ConfigVersion == 0 {
		sender.update(&ctrl.State{Record: r, Server: compact.Server, ConfigVersion: sender.configVersion}, now, n.opts.Log)
	}
	n.mu.Unlock()
	if known && compact.ConfigVersion > 0 {
		n.onState(from, ctrl.State{
			Record: r, Server: compact.Server, ConfigVersion: compact.ConfigVersion, ConfigAge: compact.ConfigAge, StoreEra: compact.StoreEra,
		})
	}
}

// update updates the peer with the content of a heartbeat.
func (p *peer) update(state *ctrl.State, now time.Time, log *zap.Logger) {
	if p.silent {
		log.Info("heartbeats of the process received again", zap.Stringer("peer", state.Record.Packets), zap.Duration("after", now.Sub(p.lastHeartbeat)))
	}
	p.lastHeartbeat, p.silent, p.contacted, p.configVersion = now, false, true, state.ConfigVersion
	if state.Record.State == view.Draining || state.Record.State == view.Gone {
		p.stopAnnounced = now
	}
	p.recordUptime(state.Uptime, now)
	if state.Server != nil {
		p.load, p.loadReceived, p.newFlows = *state.Server, now, 0
	}
}

// mergePeer merges the record of a heartbeat's sender into the view and returns its peer, a new one if the process is new or
// has restarted. It returns nil if the heartbeat is of an earlier incarnation. The caller holds the lock.
func (n *Node) mergePeer(r view.Record, now time.Time) *peer {
	old, known := n.view.Get(r.Packets)
	if known && old.Incarnation > r.Incarnation {
		return nil
	}
	restarted := known && old.Incarnation < r.Incarnation
	if n.view.Merge(r, now) && (!known || restarted || old.State != r.State) {
		n.opts.Log.Info("process record changed", zap.Stringer("peer", r.Packets), zap.Stringer("peer_role", r.Role),
			zap.String("domain", r.Domain), zap.Stringer("state", r.State), zap.Uint64("incarnation", r.Incarnation),
			zap.Bool("restarted", restarted))
	}
	p := n.peers[r.Packets]
	if p == nil || restarted {
		earlier := p
		p = &peer{lastHeartbeat: now}
		if earlier != nil {
			p.uptime, p.replaces = earlier.uptime, earlier.replaces
		}
		n.peers[r.Packets] = p
	}
	return p
}

// refute raises the node's epoch, and if needed its incarnation, above those of a newer record of its address that others
// spread. The caller holds the lock.
func (n *Node) refute(r view.Record, now time.Time) {
	if !r.Supersedes(&n.self) {
		return
	}
	if r.Incarnation > n.self.Incarnation {
		n.self.Incarnation = r.Incarnation + 1
	}
	n.self.Epoch = r.Epoch + 1
	n.view.Merge(n.self, now)
	n.TriggerHeartbeat()
}

// onPeerRecords merges the records that another process sent. It replies with those of processes that are gone and that the sender
// takes for running.
func (n *Node) onPeerRecords(from netip.AddrPort, msg ctrl.PeerRecords) {
	var running []netip.AddrPort
	for _, r := range msg.Records {
		if r.State == view.Up {
			running = append(running, r.Packets)
		}
	}
	n.mergeRecords(msg.Records)
	n.recordReply(from, &msg)
	n.sendGone(from, running)
}

// sendGone sends a process the records of those of its peers that are gone.
func (n *Node) sendGone(to netip.AddrPort, peers []netip.AddrPort) {
	var gone []view.Record
	n.mu.Lock()
	for _, addr := range peers {
		if r, ok := n.view.Get(addr); ok && r.State == view.Gone && len(gone) < ctrl.MaxPeerRecords {
			gone = append(gone, r)
		}
	}
	n.mu.Unlock()
	if len(gone) > 0 {
		n.sendRecords(to, gone)
	}
}

// tracks reports whether this process keeps a record of another one: agents track entries only.
func (n *Node) tracks(r view.Record) bool { return n.opts.Load == nil || r.Role == view.Entry }

// mergeRecords merges records from the directory or from gossip, and sends the node's state to processes that are new.
func (n *Node) mergeRecords(records []view.Record) {
	now := time.Now()
	var newPeers, contradicted []view.Record
	var hidden []netip.AddrPort
	n.mu.Lock()
	for _, r := range records {
		if r.Packets == n.self.Packets {
			n.refute(r, now)
			continue
		}
		if !n.tracks(r) {
			continue
		}
		if n.isContradicted(r) {
			contradicted = append(contradicted, r)
			continue
		}
		if n.isHidden(r) {
			hidden = append(hidden, r.Control)
		}
		if n.view.Merge(r, now) && (r.State == view.Up || r.State == view.Draining) && n.peers[r.Packets] == nil {
			n.peers[r.Packets] = &peer{lastHeartbeat: now}
			newPeers = append(newPeers, r)
		}
	}
	state := n.state()
	starting := now.Sub(n.startedAt) <= startupPeriod
	n.mu.Unlock()
	n.greetPeers(state, newPeers, starting)
	if len(hidden) > 0 {
		n.sendState(state, hidden) // The process replies if it runs.
	}
	for _, r := range contradicted {
		n.sendRecords(r.Control, []view.Record{r}) // The process refutes it.
	}
}

// maxHelloPeers is how many of the entries, and of the agents, that a starting process learns of at once get a hello.
const maxHelloPeers = 3

// greetPeers sends the node's state to processes that are new to it. While this process is starting, some of them get a hello: the directory
// may lack processes whose leases have ended, and the seeds may be gone. Agents know the entries.
func (n *Node) greetPeers(state ctrl.State, peers []view.Record, starting bool) {
	var helloTo, stateTo []netip.AddrPort
	asked := make(map[view.Role]int)
	for _, r := range peers {
		if starting && asked[r.Role] < maxHelloPeers {
			asked[r.Role]++
			helloTo = append(helloTo, r.Control)
			continue
		}
		stateTo = append(stateTo, r.Control)
	}
	if len(stateTo) > 0 {
		n.sendState(state, stateTo)
	}
	if len(helloTo) > 0 {
		state.RequestPeers = true
		n.sendState(state, helloTo)
	}
}

// isHidden reports whether a record of a process that may run has an earlier incarnation than that of one that has ended at its address, so
// that it isn't merged. Incarnations are ordered by the time of day at their starts. The caller holds the lock.
func (n *Node) isHidden(r view.Record) bool {
	known, ok := n.view.Get(r.Packets)
	return ok && n.peers[r.Packets] == nil && known.Incarnation > r.Incarnation && (r.State == view.Up || r.State == view.Draining)
}

// isContradicted reports whether a record says that a process has ended, but heartbeats of another incarnation arrive from its address.
// Incarnations are ordered by the time of day at their starts, so that the record may be of an earlier one. The caller holds the lock.
func (n *Node) isContradicted(r view.Record) bool {
	p := n.peers[r.Packets]
	known, ok := n.view.Get(r.Packets)
	return ok && p != nil && p.contacted && !p.silent && (r.State == view.Lost || r.State == view.Gone) &&
		r.Incarnation != known.Incarnation && r.Supersedes(&known)
}

// SetSeeds replaces the seeds and sends them a hello.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	n.seeds = seeds
	n.mu.Unlock()
	n.sendHello()
}

// AnnounceStop notifies the other processes that this one is stopping; state is view.Draining or view.Gone. The next ticks
// repeat the announcement, since datagrams can be lost.
func (n *Node) AnnounceStop(state view.State) {
	now := time.Now()
	n.mu.Lock()
	n.self.State = state
	n.self.Epoch++
	n.self.Since = now
	n.announcementsLeft = stopAnnouncementRepeats + 1
	n.view.Merge(n.self, now)
	n.mu.Unlock()
	n.sendHeartbeats(now)
}
