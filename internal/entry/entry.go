// Package entry implements the entry role: it receives callers' datagrams and forwards them to agents.
//
// An entry keeps no state of flows: it routes a datagram by its connection ID, the contracts and the agents in its view.
// Entries may therefore be lost at any time without breaking a flow.
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

// Options configure an entry.
type Options struct {
	// Bind is the IP address of the sockets for callers. If it is unspecified, they are bound to all addresses and replies
	// are sent from the service's address.
	Bind netip.Addr
	// Packets is the UDP address on which the entry exchanges datagrams with agents.
	Packets netip.AddrPort
	// Control is the TCP and UDP address for control traffic with other processes.
	Control netip.AddrPort
	// Domain is the failure domain of the entry.
	Domain string
	// AgentNetworks are the networks in which agents may be.
	AgentNetworks []netip.Prefix
	// PathMTU is the largest IP packet, in bytes, between entries and agents.
	PathMTU int
	// Capacity is the maximum number of callers' datagrams forwarded per second; 0 means no limit.
	Capacity int
	// Workers is the number of sockets and goroutines per direction and port.
	Workers int
	Secret  fleet.Secret
	Store   Store
	// Seeds are the control addresses of entries through which this one joins the deployment.
	Seeds []netip.AddrPort
	Log   *zap.Logger
	// Vars is the map in which the entry publishes its metrics.
	Vars *expvar.Map
	// Leave is how long a stopping entry continues to forward after it has announced that it drains.
	Leave time.Duration
}

// Store is the part of the platform's key-value store that an entry uses.
type Store interface {
	journ.Store
	roster.Directory
	// Announce stores the control address of an entry, so that processes that start later find it.
	Announce(ctx context.Context, control netip.AddrPort) error
}

// Entry is a running entry.
type Entry struct {
	opts            Options
	journal         *journ.Journal
	roster          *roster.Roster
	table           *Table
	keys            *fleet.AtomicKeyring
	forwarder       *Forwarder
	controlLink     *ctrl.Link
	controlClient   *ctrl.Client
	controlServer   *ctrl.Server
	controlListener net.Listener

	// abortCtx is canceled when the entry must end at once, without draining.
	abortCtx context.Context
	abort    context.CancelFunc
	ready    chan struct{}

	mu sync.Mutex // Guards changedServices.
	// appliedPosition and appliedKeySerial are the journal position and the key serial in force on the packet path. Only
	// applyChanges uses them.
	appliedPosition  uint64
	appliedKeySerial uint64
	// changedServices are the services whose agents must be applied again.
	changedServices map[uint32]struct{}
	// applySignal has room for one signal, sent when there are changes to apply.
	applySignal chan struct{}
}

// New returns an entry whose sockets are bound, except those for the services' addresses.
func New(ctx context.Context, opts Options) (*Entry, error) {
	e := &Entry{
		opts:            opts,
		table:           NewTable(!opts.Bind.IsUnspecified()),
		keys:            &fleet.AtomicKeyring{},
		ready:           make(chan struct{}),
		changedServices: make(map[uint32]struct{}),
		applySignal:     make(chan struct{}, 1),
	}
	e.abortCtx, e.abort = context.WithCancel(context.WithoutCancel(ctx))
	e.journal = journ.New(opts.Store, e.journalAdvanced)
	if err := e.listenAndInit(ctx); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listenAndInit(ctx context.Context) error {
	tlsConfig, err := e.opts.Secret.TLSConfig()
	if err != nil {
		return err
	}
	controlMetrics := new(expvar.Map)
	e.opts.Vars.Set("control", controlMetrics)
	e.controlClient = ctrl.NewClient(tlsConfig, controlMetrics)
	packetMetrics := new(expvar.Map)
	e.opts.Vars.Set("packets", packetMetrics)
	e.forwarder, err = NewForwarder(ctx, ForwarderOptions{
		Table: e.table, Keys: e.keys, Bind: e.opts.Bind, Packets: e.opts.Packets, AgentNetworks: e.opts.AgentNetworks,
		PathMTU: e.opts.PathMTU, Capacity: e.opts.Capacity, Workers: e.opts.Workers, Counters: packetMetrics, Log: e.opts.Log,
	})
	if err != nil {
		return err
	}
	e.controlListener, e.controlLink, err = ctrl.Listen(ctx, e.opts.Control, tlsConfig, ctrl.NewCodec(e.opts.Secret),
		controlMetrics)
	if err != nil {
		return err
	}
	e.roster = roster.New(roster.Options{
		Self: e.selfRecord(), Link: e.controlLink, Client: e.controlClient, Journal: e.journal, Directory: e.opts.Store,
		Seeds: e.opts.Seeds, OnServiceChange: e.agentsChanged, Log: e.opts.Log, Counters: controlMetrics,
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	e.publishMetrics()
	e.controlServer, err = ctrl.NewServer(e.controlListener, "Entry", e.roster.RPCMethods())
	return err
}

// publishMetrics registers the metrics of the journal and the roster.
func (e *Entry) publishMetrics() {
	e.opts.Vars.Set("journal_position", expvar.Func(func() any { return e.journal.Position() }))
	e.opts.Vars.Set("snapshots_skipped", expvar.Func(func() any { return e.journal.SnapshotsSkipped() }))
	e.opts.Vars.Set("records", expvar.Func(func() any { return e.roster.Len() }))
	e.opts.Vars.Set("view_age_seconds", expvar.Func(func() any { return e.roster.SinceLastSync().Seconds() }))
}

func (e *Entry) selfRecord() view.Record {
	return view.Record{
		Packets:     e.forwarder.Packets(),
		Control:     e.controlLink.Addr(),
		Role:        view.Entry,
		Domain:      e.opts.Domain,
		Incarnation: view.NewIncarnation(time.Now(), uint16(rand.Uint32())),
		State:       view.Up,
	}
}

// Control returns the entry's control address.
func (e *Entry) Control() netip.AddrPort { return e.controlLink.Addr() }

// Packets returns the address on which the entry exchanges datagrams with agents.
func (e *Entry) Packets() netip.AddrPort { return e.forwarder.Packets() }

// Journal returns the entry's copy of the journal.
func (e *Entry) Journal() *journ.Journal { return e.journal }

// Roster returns the entry's view of the other processes.
func (e *Entry) Roster() *roster.Roster { return e.roster }

// Table returns the table of services that the packet path uses.
func (e *Entry) Table() *Table { return e.table }

// Ready returns a channel that is closed when the entry forwards datagrams.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Run serves until ctx is done. Then it announces that it drains, continues to forward for Options.Leave, and closes.
func (e *Entry) Run(ctx context.Context) error {
	defer e.close()
	abortCtx, cancel := e.abortCtx, e.abort
	defer cancel()
	var g run.Group
	e.addServers(&g)
	e.addTasks(abortCtx, &g)
	g.Add(func() error { return e.joinAndServe(ctx, abortCtx) }, func(error) { cancel() })
	return g.Run()
}

// addServers adds the servers, which end when their socket is closed.
func (e *Entry) addServers(g *run.Group) {
	g.Add(e.controlLink.Serve, func(error) { _ = e.controlLink.Close() })
	g.Add(e.controlServer.Serve, func(error) { _ = e.controlListener.Close() })
}

// addTasks adds the background tasks, which end with a context.
func (e *Entry) addTasks(parent context.Context, g *run.Group) {
	tasks := []func(context.Context) error{
		e.applyChanges,
		e.announce,
		e.retryListen,
		e.journal.RunSnapshots,
		e.roster.RunSync,
		e.roster.RunGossip,
		e.roster.RunFetches,
		e.roster.RunStorePolling,
		e.roster.RunFailureDetector,
	}
	for _, task := range tasks {
		ctx, cancel := context.WithCancel(parent)
		g.Add(func() error { return task(ctx) }, func(error) { cancel() })
	}
}

// joinAndServe joins the deployment, serves, and leaves when ctx is done. It returns early if abortCtx is done.
func (e *Entry) joinAndServe(ctx, abortCtx context.Context) error {
	if err := e.roster.Join(ctx); err != nil {
		return nil // The entry was stopped before it joined.
	}
	if err := e.journal.EnsureKey(ctx, e.opts.Secret, "entry "+e.controlLink.Addr().String()); err != nil {
		e.opts.Log.Warn("can't ensure that a packet key exists", zap.Error(err))
	}
	e.forwarder.Start()
	close(e.ready)
	e.opts.Log.Info("entry is ready", zap.Stringer("packets", e.forwarder.Packets()), zap.Uint64("position", e.journal.Position()))
	select {
	case <-ctx.Done():
	case <-abortCtx.Done():
		return nil
	}
	e.opts.Log.Info("entry is leaving", zap.Duration("leave", e.opts.Leave))
	e.roster.SetState(view.Draining)
	select {
	case <-time.After(e.opts.Leave):
	case <-abortCtx.Done():
	}
	e.roster.SetState(view.Gone)
	return nil
}

// Abort ends the entry at once, without informing other processes.
func (e *Entry) Abort() { e.abort() }

func (e *Entry) close() {
	if e.forwarder != nil {
		e.forwarder.Close()
	}
	if e.controlLink != nil {
		_ = e.controlLink.Close()
	}
	if e.controlListener != nil {
		_ = e.controlListener.Close()
	}
	if e.controlClient != nil {
		e.controlClient.Close()
	}
}

// The interval between announcements grows with the number of entries, so that all entries together write to
// the store at most 10 times per second.
const (
	minAnnounceInterval      = time.Minute
	announceIntervalPerEntry = 100 * time.Millisecond
)

// announce periodically stores the entry's control address, so that processes that start later find it.
func (e *Entry) announce(ctx context.Context) error {
	for {
		if err := e.opts.Store.Announce(ctx, e.controlLink.Addr()); err != nil && ctx.Err() == nil {
			e.opts.Log.Warn("can't store the entry's control address", zap.Error(err))
		}
		interval := max(minAnnounceInterval, time.Duration(len(e.roster.Entries()))*announceIntervalPerEntry)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// listenRetryInterval is the interval between attempts to bind service addresses that couldn't be bound.
const listenRetryInterval = 5 * time.Second

// retryListen periodically binds the service addresses that couldn't be bound when their contract came into force, for
// example because the instance was assigned the address later, until ctx is done.
func (e *Entry) retryListen(ctx context.Context) error {
	return timer.Every(ctx, listenRetryInterval, e.forwarder.ListenServices)
}

// journalAdvanced is called when the journal has new entries.
func (e *Entry) journalAdvanced() {
	e.signalApply()
	if e.roster != nil {
		e.roster.NotifyJournalAdvanced()
	}
}

// agentsChanged is called when the agents of a service have changed.
func (e *Entry) agentsChanged(service uint32) {
	e.mu.Lock()
	e.changedServices[service] = struct{}{}
	e.mu.Unlock()
	e.signalApply()
}

// signalApply wakes applyChanges. It doesn't block.
func (e *Entry) signalApply() {
	select {
	case e.applySignal <- struct{}{}:
	default:
	}
}

// applyChanges applies changes of the journal and the roster to the packet path until ctx is done.
func (e *Entry) applyChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.applySignal:
			e.apply()
		}
	}
}

func (e *Entry) apply() {
	e.applyKeys()
	e.applyContracts()
	for _, service := range e.takeChangedServices() {
		e.table.SetAgents(service, e.roster.ServiceAgents(service))
	}
}

func (e *Entry) applyKeys() {
	var keys journ.Keys
	var serial uint64
	e.journal.View(func(s *journ.State) { keys, serial = s.Keys(), s.KeySerial() })
	if serial == e.appliedKeySerial {
		return
	}
	ring, err := keys.Open(e.opts.Secret)
	if err != nil {
		e.opts.Log.Error("can't open the packet keys; keeping those in force", zap.Error(err))
		return
	}
	e.keys.Store(ring)
	e.appliedKeySerial = serial
	e.opts.Log.Info("packet keys in force", zap.Uint64("serial", serial), zap.Int("keys", ring.Len()))
}

func (e *Entry) applyContracts() {
	var position uint64
	var fields []zap.Field
	var numbers []uint32
	e.journal.View(func(s *journ.State) {
		position = s.Position()
		changed := s.ChangedSince(e.appliedPosition)
		if e.table.SetContracts(changed) == 0 {
			return
		}
		fields = []zap.Field{zap.Int("contracts", len(changed)), zap.Uint64("position", position)}
		e.mu.Lock()
		for i := range changed {
			e.changedServices[changed[i].Number] = struct{}{}
			numbers = append(numbers, changed[i].Number)
		}
		e.mu.Unlock()
	})
	e.appliedPosition = position
	if fields == nil {
		return
	}
	e.opts.Log.Info("contracts in force", fields...)
	e.forwarder.ListenServices()
	for _, number := range numbers {
		e.roster.NotifyAgents(number)
	}
}

// takeChangedServices returns changedServices and clears it.
func (e *Entry) takeChangedServices() []uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	services := make([]uint32, 0, len(e.changedServices))
	for service := range e.changedServices {
		services = append(services, service)
	}
	clear(e.changedServices)
	return services
}
