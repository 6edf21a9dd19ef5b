// Package roster implements the membership protocol of an entry and the replication of the journal
// between entries.
//
// Agents send heartbeats to a few entries. Entries gossip changes to a few other entries at once (rumors)
// and compare view hashes with a random entry every second (anti-entropy), so that an entry that missed
// changes, was paused or just started catches up. The store is polled for the journal only, and less often
// per entry as the number of entries grows. Known state remains usable while the store is down.
package roster

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	syncInterval      = time.Second
	rumorInterval     = 50 * time.Millisecond
	detectionInterval = 500 * time.Millisecond
	// lostTimeout is the time without a heartbeat after which an agent is marked lost.
	lostTimeout = 3 * time.Second
	// pauseThreshold is the gap between two rounds of the failure detector above which this process itself is
	// taken to have been paused.
	pauseThreshold = 2 * time.Second
	// maxUnansweredProbes is the number of unanswered probes after which an entry is marked lost.
	maxUnansweredProbes = 3
	// rumorFanout is the number of entries that each rumor is sent to.
	rumorFanout = 4
	// settleTime is the time without changes after which views that differ are reconciled. Until then rumors
	// are under way that are likely to remove the difference.
	settleTime = 3 * time.Second
	// maxReconcileInterval is the time since the last reconciliation after which views that differ are reconciled even if
	// they have not settled.
	maxReconcileInterval = 30 * time.Second
	// maxRumorRecords is the number of records that fit into one datagram.
	maxRumorRecords = 8
	// maxUnsentRecords limits the records queued for gossip. Further changes propagate by anti-entropy only.
	maxUnsentRecords = 4096
	// maxOfferRecords limits the records in one Entry.Offer call.
	maxOfferRecords = 2000
)

// Roster holds an entry's view of the deployment's processes. It is safe for concurrent use.
type Roster struct {
	opts Options
	log  *zap.Logger

	mu sync.Mutex
	// self is the entry's own record.
	self view.Record
	view *view.View
	// lastHeartbeats is keyed by the packet address of an agent, probes by that of another entry.
	lastHeartbeats map[netip.AddrPort]lastHeartbeat
	probes         map[netip.AddrPort]*probe
	// unsentRecords are changed records queued for the next gossip round.
	unsentRecords []view.Record
	rand          *rand.Rand
	// lastDetection is the time of the last round of the failure detector.
	lastDetection time.Time
	// lastChange is the time of the last change of the view, lastReconcile that of the last reconciliation.
	lastChange, lastReconcile time.Time
	// lastSync is when the last Sync arrived, initially the start time.
	lastSync time.Time

	fetchRequests chan fetchRequest
	// journalAdvanced makes RunGossip send the newest journal entry.
	journalAdvanced chan struct{}
}

// lastHeartbeat describes the last heartbeat of an agent.
type lastHeartbeat struct {
	receivedAt time.Time
	// contractSerial is the serial of the contract in force at the agent.
	contractSerial uint64
}

// probe counts the consecutive Syncs to an entry without a reply.
type probe struct {
	sentAt     time.Time
	unanswered int
}

// Options configures a Roster.
type Options struct {
	// Self is the entry's own record.
	Self    view.Record
	Link    *ctrl.Link
	Client  *ctrl.Client
	Journal *journ.Journal
	// Directory finds other entries at startup if no seed responds.
	Directory Directory
	// Seeds are the control addresses of entries in the settings.
	Seeds []netip.AddrPort
	// OnServiceChange is called, without locks held, with the number of a service whose agents changed.
	OnServiceChange func(service uint32)
	Log             *zap.Logger
	Counters        *expvar.Map
	Now             func() time.Time
	Rand            *rand.Rand
}

// Directory looks up entries.
type Directory interface {
	// Entries returns the control addresses of some entries of the deployment.
	Entries(ctx context.Context) ([]netip.AddrPort, error)
}

// New returns a Roster that contains only its own entry, and registers its message handlers at opts.Link.
func New(opts Options) *Roster {
	r := &Roster{
		opts:            opts,
		log:             opts.Log,
		self:            opts.Self,
		view:            view.New(),
		lastHeartbeats:  make(map[netip.AddrPort]lastHeartbeat),
		probes:          make(map[netip.AddrPort]*probe),
		rand:            opts.Rand,
		fetchRequests:   make(chan fetchRequest, 1),
		journalAdvanced: make(chan struct{}, 1),
		lastSync:        opts.Now(),
	}
	r.view.Merge(r.self, opts.Now())
	opts.Link.SetHandler(ctrl.KindHeartbeat, ctrl.TypedHandler(r.onHeartbeat))
	opts.Link.SetHandler(ctrl.KindSync, ctrl.TypedHandler(r.onSync))
	opts.Link.SetHandler(ctrl.KindRumor, ctrl.TypedHandler(r.onRumor))
	return r
}

// ServiceAgents returns the records of a service's agents.
func (r *Roster) ServiceAgents(service uint32) []view.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.ServiceAgents(service)
}

// Entries returns the records of the entries.
func (r *Roster) Entries() []view.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Entries()
}

// Records returns all records.
func (r *Roster) Records() []view.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.All()
}

// Len returns the number of records, including those of processes that have ended.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Len()
}

// SinceLastSync returns the time since the last Sync from another entry, or since the start.
func (r *Roster) SinceLastSync() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Now().Sub(r.lastSync)
}

// SetState changes the state of this entry and gossips it to other entries.
func (r *Roster) SetState(state view.State) {
	r.mu.Lock()
	r.self.Epoch++
	r.self.State = state
	if state == view.Gone {
		r.self.Since = r.opts.Now()
	}
	self := r.self
	r.mu.Unlock()
	r.merge(self)
	r.gossipRecords()
}

// merge merges records into the view, queues those that changed it for gossip, reports the affected services
// and returns the number of changes. A false record of this entry is replaced by a newer one of its own.
func (r *Roster) merge(records ...view.Record) (applied int) {
	now := r.opts.Now()
	changedServices := make(map[uint32]struct{})
	r.mu.Lock()
	for i := range records {
		rec := records[i]
		if r.needsRefutation(&rec) {
			r.self.Incarnation = rec.Incarnation
			r.self.Epoch = rec.Epoch + 1
			rec = r.self
		}
		before, known := r.view.Get(rec.Packets)
		if !r.view.Merge(rec, now) {
			continue
		}
		applied++
		r.lastChange = now
		r.logStateChange(before, known, rec)
		if len(r.unsentRecords) < maxUnsentRecords {
			r.unsentRecords = append(r.unsentRecords, rec)
		}
		if rec.Role == view.Agent {
			changedServices[rec.Service] = struct{}{}
			if known {
				changedServices[before.Service] = struct{}{}
			}
		}
	}
	r.mu.Unlock()
	for service := range changedServices {
		r.opts.OnServiceChange(service)
		r.NotifyAgents(service)
	}
	return applied
}

// NotifyAgents sends an Ack to the agents of a service that send heartbeats to this entry, so that they fetch what changed.
func (r *Roster) NotifyAgents(service uint32) {
	r.mu.Lock()
	var agents []netip.AddrPort
	for _, rec := range r.view.ServiceAgents(service) {
		if _, ok := r.lastHeartbeats[rec.Packets]; ok {
			agents = append(agents, rec.Packets)
		}
	}
	r.mu.Unlock()
	for _, agent := range agents {
		ack, control := r.newAck(agent)
		_ = ctrl.Send(r.opts.Link, control, ctrl.KindAck, ack)
	}
}

// newAck returns an Ack for the agent with the given packet address, and the agent's control address.
func (r *Roster) newAck(agent netip.AddrPort) (ctrl.Ack, netip.AddrPort) {
	var ack ctrl.Ack
	r.mu.Lock()
	ack.Record, _ = r.view.Get(agent)
	ack.MembersHash = r.view.ServiceHash(ack.Record.Service)
	ack.Entry = r.self
	r.mu.Unlock()
	r.opts.Journal.View(func(s *journ.State) {
		c, _ := s.RecordByNumber(ack.Record.Service)
		ack.ContractSerial = c.Serial
		ack.KeySerial = s.KeySerial()
	})
	return ack, ack.Record.Control
}

// needsRefutation reports whether rec is a record of this entry that would win over its own. Only the entry
// itself may change its record, so it must publish a newer one. The caller holds r.mu.
func (r *Roster) needsRefutation(rec *view.Record) bool {
	if rec.Packets != r.self.Packets || rec.Role != r.self.Role {
		return false
	}
	sameVersion := rec.Incarnation == r.self.Incarnation && rec.Epoch == r.self.Epoch
	if sameVersion && rec.State == r.self.State {
		return false
	}
	return rec.Supersedes(&r.self)
}

// logStateChange logs a new state or incarnation of a process.
func (r *Roster) logStateChange(before view.Record, known bool, after view.Record) {
	if known && before.State == after.State && before.Incarnation == after.Incarnation {
		return
	}
	from := "unknown"
	if known {
		from = before.State.String()
	}
	r.log.Info("process changed state",
		zap.Stringer("process", after.Packets), zap.String("from", from), zap.Stringer("to", after.State),
		zap.Uint64("incarnation", after.Incarnation), zap.Uint32("service", after.Service), zap.String("domain", after.Domain))
}

// onHeartbeat handles the heartbeat of an agent and replies with an Ack.
func (r *Roster) onHeartbeat(from netip.AddrPort, heartbeat ctrl.Heartbeat) {
	rec := heartbeat.Record
	if rec.Role != view.Agent || !rec.Packets.IsValid() {
		r.opts.Counters.Add("bad_beat", 1)
		return
	}
	accepted := false
	r.opts.Journal.View(func(s *journ.State) {
		c, ok := s.Record(heartbeat.Service)
		accepted = ok && c.Number == rec.Service
	})
	if !accepted {
		r.opts.Counters.Add("beat_unknown_service", 1)
		return
	}
	r.merge(rec)
	r.mu.Lock()
	if rec.State == view.Gone {
		delete(r.lastHeartbeats, rec.Packets)
	} else {
		r.lastHeartbeats[rec.Packets] = lastHeartbeat{receivedAt: r.opts.Now(), contractSerial: heartbeat.ContractSerial}
	}
	r.mu.Unlock()
	ack, _ := r.newAck(rec.Packets)
	_ = ctrl.Send(r.opts.Link, from, ctrl.KindAck, ack)
}

// onSync handles a Sync and requests a fetch from its sender if the journal is behind or the views must be reconciled.
func (r *Roster) onSync(from netip.AddrPort, msg ctrl.Sync) {
	r.merge(msg.Record, msg.Peer)
	r.mu.Lock()
	r.lastSync = r.opts.Now()
	delete(r.probes, msg.Record.Packets)
	reconcile := r.shouldReconcile(msg)
	r.mu.Unlock()
	if !msg.IsReply {
		_ = ctrl.Send(r.opts.Link, from, ctrl.KindSync, r.newSync(msg.Record, true))
	}
	if reconcile || msg.JournalPosition > r.opts.Journal.Position() {
		r.requestFetch(fetchRequest{from: from, includeRecords: reconcile})
	}
}

// shouldReconcile reports whether the sender's view differs and both views have settled, or the last
// reconciliation is long ago. The caller holds r.mu.
func (r *Roster) shouldReconcile(msg ctrl.Sync) bool {
	if msg.ViewHash == r.view.Hash() {
		return false
	}
	now := r.opts.Now()
	settled := msg.Settled && now.Sub(r.lastChange) >= settleTime
	return settled || now.Sub(r.lastReconcile) >= maxReconcileInterval
}

// newSync returns a Sync for peer.
func (r *Roster) newSync(peer view.Record, isReply bool) ctrl.Sync {
	position := r.opts.Journal.Position()
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.view.Get(peer.Packets); ok {
		peer = known
	}
	settled := r.opts.Now().Sub(r.lastChange) >= settleTime
	return ctrl.Sync{Record: r.self, JournalPosition: position, ViewHash: r.view.Hash(), Settled: settled, IsReply: isReply, Peer: peer}
}

// onRumor applies a rumor. Records that changed the view are queued for further gossip by merge.
func (r *Roster) onRumor(from netip.AddrPort, msg ctrl.Rumor) {
	r.merge(msg.Records...)
	if msg.JournalEntry != nil {
		_ = r.opts.Journal.Apply(*msg.JournalEntry) // The fetch below closes a gap.
	}
	if msg.JournalPosition > r.opts.Journal.Position() {
		r.requestFetch(fetchRequest{from: from})
	}
}

// fetchRequest asks for the journal of another entry, and if includeRecords is set, for a reconciliation of the views.
type fetchRequest struct {
	from           netip.AddrPort
	includeRecords bool
}

// requestFetch queues a request. It drops the request if another one is queued already.
func (r *Roster) requestFetch(request fetchRequest) {
	select {
	case r.fetchRequests <- request:
	default:
	}
}

// NotifyJournalAdvanced must be called when the journal has advanced. It triggers gossip of the newest journal entry.
func (r *Roster) NotifyJournalAdvanced() {
	select {
	case r.journalAdvanced <- struct{}{}:
	default:
	}
}
