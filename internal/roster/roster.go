// Package roster is an entry's knowledge of the deployment: its processes and its journal.
//
// Agents send heartbeats to a few entries. Entries pass news on to a few others at once (rumors) and
// compare digests with a random one every second (anti-entropy), so that an entry that missed news, was
// paused or just started catches up. The store is polled for the journal only, at a rate that falls as
// the number of entries grows. Nothing here needs the store for what is known already.
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
	syncInterval   = time.Second
	flushInterval  = 50 * time.Millisecond
	detectInterval = 500 * time.Millisecond
	// lostAfter is how long an agent may be silent before it is taken for lost.
	lostAfter = 3 * time.Second
	// pauseLimit is the time between two rounds of the failure detector above which this process was paused itself.
	pauseLimit = 2 * time.Second
	// probeFailures is how many syncs an entry leaves unanswered before it is taken for lost.
	probeFailures = 3
	// rumorFanout is how many entries get each piece of news.
	rumorFanout = 4
	// quietTime is how long records must not have changed before a difference to another entry is looked
	// into: until then the news are under way.
	quietTime = 3 * time.Second
	// compareInterval is the time after which a difference is looked into in any case.
	compareInterval = 30 * time.Second
	// recordsPerRumor is how many records fit into one datagram.
	recordsPerRumor = 8
	// maxHot bounds the news that wait for the next flush; what doesn't fit spreads by anti-entropy.
	maxHot = 4096
	// offerSize is how many records one call carries to a peer.
	offerSize = 2000
)

// Roster holds what an entry knows. It is safe for concurrent use.
type Roster struct {
	opts Options
	log  *zap.Logger

	mu      sync.Mutex
	self    view.Record
	view    *view.View
	heard   map[netip.AddrPort]heard
	probes  map[netip.AddrPort]*probe
	hot     []view.Record
	rand    *rand.Rand
	checked time.Time
	// changed is when the view last changed, compared when it was last compared in full.
	changed, compared time.Time
	// synced is when another entry last said something.
	synced time.Time

	pulls chan pull
	wake  chan struct{}
}

// heard is the last heartbeat of an agent.
type heard struct {
	at time.Time
	// serial is the serial of the contract in force at the agent.
	serial uint64
}

// probe counts the syncs that an entry has not answered.
type probe struct {
	sent   time.Time
	missed int
}

// Options are what a Roster works with.
type Options struct {
	Self    view.Record
	Link    *ctrl.Link
	Client  *ctrl.Client
	Journal *journ.Journal
	// Directory finds other entries at a start.
	Directory Directory
	// Seeds are the control addresses of entries from the settings.
	Seeds []netip.AddrPort
	// Changed is called with the service number of an agent whose record changed, without locks.
	Changed  func(service uint32)
	Log      *zap.Logger
	Counters *expvar.Map
	Now      func() time.Time
	Rand     *rand.Rand
}

// Directory finds entries when no other one is known.
type Directory interface {
	// Entries returns the control addresses of some entries.
	Entries(ctx context.Context) ([]netip.AddrPort, error)
}

// New returns a roster that knows its own entry only, and takes its messages from opts.Link.
func New(opts Options) *Roster {
	r := &Roster{
		opts:   opts,
		log:    opts.Log,
		self:   opts.Self,
		view:   view.New(),
		heard:  make(map[netip.AddrPort]heard),
		probes: make(map[netip.AddrPort]*probe),
		rand:   opts.Rand,
		pulls:  make(chan pull, 1),
		wake:   make(chan struct{}, 1),
		synced: opts.Now(),
	}
	r.view.Merge(r.self, opts.Now())
	opts.Link.On(ctrl.KindBeat, ctrl.Handle(r.onBeat))
	opts.Link.On(ctrl.KindSync, ctrl.Handle(r.onSync))
	opts.Link.On(ctrl.KindRumor, ctrl.Handle(r.onRumor))
	return r
}

// Members returns the records of a service's agents.
func (r *Roster) Members(service uint32) []view.Record {
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

// Len returns the number of records.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Len()
}

// Age returns how long ago another entry last said something.
func (r *Roster) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Now().Sub(r.synced)
}

// SetState changes this entry's own state and tells the others.
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
	r.flush()
}

// merge takes records over, queues those that were news and reports their services.
func (r *Roster) merge(records ...view.Record) (news int) {
	now := r.opts.Now()
	changed := make(map[uint32]struct{})
	r.mu.Lock()
	for i := range records {
		rec := records[i]
		if r.contradicts(&rec) {
			r.self.Incarnation = rec.Incarnation
			r.self.Epoch = rec.Epoch + 1
			rec = r.self
		}
		before, known := r.view.Get(rec.Packets)
		if !r.view.Merge(rec, now) {
			continue
		}
		news++
		r.changed = now
		r.note(before, known, rec)
		if len(r.hot) < maxHot {
			r.hot = append(r.hot, rec)
		}
		if rec.Role == view.Agent {
			changed[rec.Service] = struct{}{}
			if known {
				changed[before.Service] = struct{}{}
			}
		}
	}
	r.mu.Unlock()
	for service := range changed {
		r.opts.Changed(service)
		r.TellAgents(service)
	}
	return news
}

// TellAgents tells the agents of a service that this entry hears that something has changed for them.
func (r *Roster) TellAgents(service uint32) {
	r.mu.Lock()
	var to []netip.AddrPort
	for _, rec := range r.view.ServiceAgents(service) {
		if _, ok := r.heard[rec.Packets]; ok {
			to = append(to, rec.Packets)
		}
	}
	r.mu.Unlock()
	for _, agent := range to {
		ack, control := r.ackFor(agent)
		_ = ctrl.Send(r.opts.Link, control, ctrl.KindAck, ack)
	}
}

// ackFor returns what the agent at an address should know, and its control address.
func (r *Roster) ackFor(agent netip.AddrPort) (ctrl.Ack, netip.AddrPort) {
	var ack ctrl.Ack
	r.mu.Lock()
	ack.Record, _ = r.view.Get(agent)
	ack.Members = r.view.ServiceHash(ack.Record.Service)
	ack.Entry = r.self
	r.mu.Unlock()
	r.opts.Journal.View(func(s *journ.State) {
		c, _ := s.RecordByNumber(ack.Record.Service)
		ack.Serial = c.Serial
		ack.KeySerial = s.KeySerial()
	})
	return ack, ack.Record.Control
}

// contradicts reports whether rec says something newer of this entry than its own record, which only
// the entry itself may; its version is then raised above that of rec.
func (r *Roster) contradicts(rec *view.Record) bool {
	if rec.Packets != r.self.Packets || rec.Role != r.self.Role {
		return false
	}
	sameVersion := rec.Incarnation == r.self.Incarnation && rec.Epoch == r.self.Epoch
	if sameVersion && rec.State == r.self.State {
		return false
	}
	return rec.Supersedes(&r.self)
}

// note logs a process's change of state.
func (r *Roster) note(before view.Record, known bool, now view.Record) {
	if known && before.State == now.State && before.Incarnation == now.Incarnation {
		return
	}
	from := "unknown"
	if known {
		from = before.State.String()
	}
	r.log.Info("process changed state",
		zap.Stringer("process", now.Packets), zap.String("from", from), zap.Stringer("to", now.State),
		zap.Uint64("incarnation", now.Incarnation), zap.Uint32("service", now.Service), zap.String("domain", now.Domain))
}

// onBeat takes an agent's heartbeat and tells it what it may lack.
func (r *Roster) onBeat(from netip.AddrPort, beat ctrl.Beat) {
	rec := beat.Record
	if rec.Role != view.Agent || !rec.Packets.IsValid() {
		r.opts.Counters.Add("bad_beat", 1)
		return
	}
	known := false
	r.opts.Journal.View(func(s *journ.State) {
		c, ok := s.Record(beat.Service)
		known = ok && c.Number == rec.Service
	})
	if !known {
		r.opts.Counters.Add("beat_unknown_service", 1)
		return
	}
	r.merge(rec)
	r.mu.Lock()
	if rec.State == view.Gone {
		delete(r.heard, rec.Packets)
	} else {
		r.heard[rec.Packets] = heard{at: r.opts.Now(), serial: beat.Serial}
	}
	r.mu.Unlock()
	ack, _ := r.ackFor(rec.Packets)
	_ = ctrl.Send(r.opts.Link, from, ctrl.KindAck, ack)
}

// onSync compares another entry's knowledge with this one's.
func (r *Roster) onSync(from netip.AddrPort, msg ctrl.Sync) {
	r.merge(msg.Record, msg.Peer)
	r.mu.Lock()
	r.synced = r.opts.Now()
	delete(r.probes, msg.Record.Packets)
	differs := r.differs(msg)
	r.mu.Unlock()
	if !msg.Answer {
		_ = ctrl.Send(r.opts.Link, from, ctrl.KindSync, r.syncFor(msg.Record, true))
	}
	if differs || msg.Position > r.opts.Journal.Position() {
		r.pull(pull{from: from, records: differs})
	}
}

// differs reports whether the other entry's records differ from these, and it is time to look into it.
// The caller holds the lock.
func (r *Roster) differs(msg ctrl.Sync) bool {
	if msg.Root == r.view.Root() {
		return false
	}
	now := r.opts.Now()
	settled := msg.Quiet && now.Sub(r.changed) >= quietTime
	return settled || now.Sub(r.compared) >= compareInterval
}

func (r *Roster) syncFor(peer view.Record, answer bool) ctrl.Sync {
	position := r.opts.Journal.Position()
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.view.Get(peer.Packets); ok {
		peer = known
	}
	quiet := r.opts.Now().Sub(r.changed) >= quietTime
	return ctrl.Sync{Record: r.self, Position: position, Root: r.view.Root(), Quiet: quiet, Answer: answer, Peer: peer}
}

// onRumor takes news and passes on what was news here.
func (r *Roster) onRumor(from netip.AddrPort, msg ctrl.Rumor) {
	r.merge(msg.Records...)
	if msg.Entry != nil {
		_ = r.opts.Journal.Apply(*msg.Entry) // A gap is closed by the pull below.
	}
	if msg.Position > r.opts.Journal.Position() {
		r.pull(pull{from: from})
	}
}

// pull is something to be fetched from another entry: the journal, and where records is set, what differs of the records.
type pull struct {
	from    netip.AddrPort
	records bool
}

// pull asks for something to be fetched; one may wait at a time.
func (r *Roster) pull(p pull) {
	select {
	case r.pulls <- p:
	default:
	}
}

// Advanced must be called when the journal has advanced: the others are told at once.
func (r *Roster) Advanced() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
