// Package entry is the process that takes callers' datagrams in and passes them to agents.
//
// It holds no state of flows: where a datagram goes follows from its connection ID, the contracts and
// the members known. All of an entry may be lost at any time without breaking a flow.
package entry

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
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/roster"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// Options are what an entry works with.
type Options struct {
	// Bind is the IP for callers; unspecified binds all, and replies leave from the service's address.
	Bind netip.Addr
	// Packets is the UDP address for agents.
	Packets netip.AddrPort
	// Control is the TCP and UDP address for other processes.
	Control netip.AddrPort
	Domain  string
	Agents  []netip.Prefix
	PathMTU int
	// Capacity is how many datagrams a second of callers are forwarded at the most; 0 for no limit.
	Capacity int
	Workers  int
	Secret   fleet.Secret
	Store    Store
	Seeds    []netip.AddrPort
	Log      *zap.Logger
	Vars     *expvar.Map
	// Leave is how long a stopping entry still forwards after it has told the others.
	Leave time.Duration
}

// Store is the platform's key-value service, as an entry uses it.
type Store interface {
	journ.Store
	roster.Directory
	// Announce stores the control address of an entry for those that start later.
	Announce(ctx context.Context, control netip.AddrPort) error
}

// Entry is a running entry.
type Entry struct {
	opts    Options
	journal *journ.Journal
	roster  *roster.Roster
	table   *Table
	keys    *fleet.AtomicKeyring
	path    *Path
	link    *ctrl.Link
	client  *ctrl.Client
	server  *ctrl.Server
	ln      net.Listener

	// life ends when the process must end at once.
	life  context.Context
	abort context.CancelFunc
	ready chan struct{}

	mu        sync.Mutex
	applied   uint64
	keySerial uint64
	dirty     map[uint32]struct{}
	wake      chan struct{}
}

// New returns an entry that is bound to its addresses but for the services' ones.
func New(ctx context.Context, opts Options) (*Entry, error) {
	e := &Entry{
		opts:  opts,
		table: NewTable(!opts.Bind.IsUnspecified()),
		keys:  &fleet.AtomicKeyring{},
		ready: make(chan struct{}),
		dirty: make(map[uint32]struct{}),
		wake:  make(chan struct{}, 1),
	}
	e.life, e.abort = context.WithCancel(context.WithoutCancel(ctx))
	e.journal = journ.New(opts.Store, e.advanced)
	if err := e.listen(ctx); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen(ctx context.Context) error {
	conf, err := e.opts.Secret.TLSConfig()
	if err != nil {
		return err
	}
	control := new(expvar.Map)
	e.opts.Vars.Set("control", control)
	e.client = ctrl.NewClient(conf, control)
	packets := new(expvar.Map)
	e.opts.Vars.Set("packets", packets)
	e.path, err = NewPath(ctx, PathOptions{
		Table: e.table, Keys: e.keys, Bind: e.opts.Bind, Packets: e.opts.Packets, Agents: e.opts.Agents,
		PathMTU: e.opts.PathMTU, Capacity: e.opts.Capacity, Workers: e.opts.Workers, Counters: packets, Log: e.opts.Log,
	})
	if err != nil {
		return err
	}
	e.ln, e.link, err = ctrl.Listen(ctx, e.opts.Control, conf, ctrl.NewCodec(e.opts.Secret), control)
	if err != nil {
		return err
	}
	e.roster = roster.New(roster.Options{
		Self: e.record(), Link: e.link, Client: e.client, Journal: e.journal, Directory: e.opts.Store,
		Seeds: e.opts.Seeds, OnServiceChange: e.membersChanged, Log: e.opts.Log, Counters: control,
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	e.publish()
	e.server, err = ctrl.NewServer(e.ln, "Entry", e.roster.RPCMethods())
	return err
}

// publish adds the metrics of what the entry knows.
func (e *Entry) publish() {
	e.opts.Vars.Set("journal_position", expvar.Func(func() any { return e.journal.Position() }))
	e.opts.Vars.Set("snapshots_skipped", expvar.Func(func() any { return e.journal.SnapshotsSkipped() }))
	e.opts.Vars.Set("records", expvar.Func(func() any { return e.roster.Len() }))
	e.opts.Vars.Set("view_age_seconds", expvar.Func(func() any { return e.roster.SinceLastSync().Seconds() }))
}

func (e *Entry) record() view.Record {
	return view.Record{
		Packets:     e.path.Packets(),
		Control:     e.link.Addr(),
		Role:        view.Entry,
		Domain:      e.opts.Domain,
		Incarnation: view.NewIncarnation(time.Now(), uint16(rand.Uint32())),
		State:       view.Up,
	}
}

// Control returns the entry's control address.
func (e *Entry) Control() netip.AddrPort { return e.link.Addr() }

// Packets returns the entry's address for agents.
func (e *Entry) Packets() netip.AddrPort { return e.path.Packets() }

// Journal returns the entry's copy of the journal.
func (e *Entry) Journal() *journ.Journal { return e.journal }

// Roster returns what the entry knows of the other processes.
func (e *Entry) Roster() *roster.Roster { return e.roster }

// Table returns what the packet path knows of the services.
func (e *Entry) Table() *Table { return e.table }

// Ready is closed when the entry forwards.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Run serves until ctx ends, then leaves: it tells the others, forwards for the leave time, and closes.
func (e *Entry) Run(ctx context.Context) error {
	defer e.close()
	inner, cancel := e.life, e.abort
	defer cancel()
	var g run.Group
	e.addServers(&g)
	e.addControllers(inner, &g)
	g.Add(func() error { return e.lead(ctx, inner) }, func(error) { cancel() })
	return g.Run()
}

// addServers adds the duties that end when their socket is closed.
func (e *Entry) addServers(g *run.Group) {
	g.Add(e.link.Serve, func(error) { _ = e.link.Close() })
	g.Add(e.server.Serve, func(error) { _ = e.ln.Close() })
}

// addControllers adds the duties that end with a context.
func (e *Entry) addControllers(parent context.Context, g *run.Group) {
	duties := []func(context.Context) error{
		e.applyChanges,
		e.announce,
		e.openDoors,
		e.journal.RunSnapshots,
		e.roster.RunSync,
		e.roster.RunGossip,
		e.roster.RunFetches,
		e.roster.RunStorePolling,
		e.roster.RunFailureDetector,
	}
	for _, duty := range duties {
		ctx, cancel := context.WithCancel(parent)
		g.Add(func() error { return duty(ctx) }, func(error) { cancel() })
	}
}

// lead joins the deployment, serves, and leaves when ctx ends.
func (e *Entry) lead(ctx, inner context.Context) error {
	if err := e.roster.Join(ctx); err != nil {
		return nil // Stopped before it had joined.
	}
	if err := e.journal.EnsureKey(ctx, e.opts.Secret, "entry "+e.link.Addr().String()); err != nil {
		e.opts.Log.Warn("can't make sure that there is a packet key", zap.Error(err))
	}
	e.path.Start()
	close(e.ready)
	e.opts.Log.Info("entry is ready", zap.Stringer("packets", e.path.Packets()), zap.Uint64("position", e.journal.Position()))
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return nil
	}
	e.opts.Log.Info("entry is leaving", zap.Duration("leave", e.opts.Leave))
	e.roster.SetState(view.Draining)
	select {
	case <-time.After(e.opts.Leave):
	case <-inner.Done():
	}
	e.roster.SetState(view.Gone)
	return nil
}

// Abort ends the entry at once, without telling anybody.
func (e *Entry) Abort() { e.abort() }

func (e *Entry) close() {
	if e.path != nil {
		e.path.Close()
	}
	if e.link != nil {
		_ = e.link.Close()
	}
	if e.ln != nil {
		_ = e.ln.Close()
	}
	if e.client != nil {
		e.client.Close()
	}
}

const (
	announceFloor    = time.Minute
	announcePerEntry = 100 * time.Millisecond
)

// announce stores this entry's address from time to time, for those that start later.
func (e *Entry) announce(ctx context.Context) error {
	for {
		if err := e.opts.Store.Announce(ctx, e.link.Addr()); err != nil && ctx.Err() == nil {
			e.opts.Log.Warn("can't announce this entry in the store", zap.Error(err))
		}
		pause := max(announceFloor, time.Duration(len(e.roster.Entries()))*announcePerEntry)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// openInterval is the time between two tries to bind service addresses that couldn't be bound.
const openInterval = 5 * time.Second

// openDoors binds the service addresses that couldn't be bound when their contract came in force, such as
// those that the instance got later, until ctx ends.
func (e *Entry) openDoors(ctx context.Context) error {
	return timer.Every(ctx, openInterval, e.path.Open)
}

// advanced notes that the journal has advanced.
func (e *Entry) advanced() {
	e.signal()
	if e.roster != nil {
		e.roster.NotifyJournalAdvanced()
	}
}

// membersChanged notes that the agents of a service have changed.
func (e *Entry) membersChanged(service uint32) {
	e.mu.Lock()
	e.dirty[service] = struct{}{}
	e.mu.Unlock()
	e.signal()
}

func (e *Entry) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// applyChanges puts what the journal and the roster know in force on the packet path, until ctx ends.
func (e *Entry) applyChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
			e.apply()
		}
	}
}

func (e *Entry) apply() {
	e.applyKeys()
	e.applyContracts()
	for _, service := range e.takeDirty() {
		e.table.SetMembers(service, e.roster.Members(service))
	}
}

func (e *Entry) applyKeys() {
	var keys journ.Keys
	var serial uint64
	e.journal.View(func(s *journ.State) { keys, serial = s.Keys(), s.KeySerial() })
	if serial == e.keySerial {
		return
	}
	ring, err := keys.Open(e.opts.Secret)
	if err != nil {
		e.opts.Log.Error("can't open the packet keys; keeping those in force", zap.Error(err))
		return
	}
	e.keys.Store(ring)
	e.keySerial = serial
	e.opts.Log.Info("packet keys in force", zap.Uint64("serial", serial), zap.Int("keys", ring.Len()))
}

func (e *Entry) applyContracts() {
	var position uint64
	var log []zap.Field
	var numbers []uint32
	e.journal.View(func(s *journ.State) {
		position = s.Position()
		changed := s.ChangedSince(e.applied)
		if e.table.SetContracts(changed) == 0 {
			return
		}
		log = []zap.Field{zap.Int("contracts", len(changed)), zap.Uint64("position", position)}
		e.mu.Lock()
		for i := range changed {
			e.dirty[changed[i].Number] = struct{}{}
			numbers = append(numbers, changed[i].Number)
		}
		e.mu.Unlock()
	})
	e.applied = position
	if log == nil {
		return
	}
	e.opts.Log.Info("contracts in force", log...)
	e.path.Open()
	for _, number := range numbers {
		e.roster.NotifyAgents(number)
	}
}

func (e *Entry) takeDirty() []uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]uint32, 0, len(e.dirty))
	for service := range e.dirty {
		out = append(out, service)
	}
	clear(e.dirty)
	return out
}
