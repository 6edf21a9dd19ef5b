// Package deliv is the process of an agent that carries opaque flows: it gives callers' packets to the backend server
// beside it, and the server's packets to the callers.
//
// It sees every packet of the server in both directions, so that it knows the server's flows and load. What it lacks
// after a restart, the server itself tells by giving back what it doesn't hold. The agent is the last that can keep a
// new flow from a server that drains, or that another service now has; it checks that for each.
package deliv

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/logs"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/pace"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/server"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	// maxFlows bounds the table: a server holds 2,000 flows at most, and ended ones stay for a while.
	maxFlows = 50_000
	// defaultIdle is the idle time of a flow before a configuration says one.
	defaultIdle = 20 * time.Second
	// idleSlack is how much longer than the configuration's idle time a flow is remembered.
	idleSlack = 3 * time.Second
	// deniedTime is how long a flow that the server gave back is known as not held; its client gives up before.
	deniedTime = 30 * time.Second
	// maxHops is how often an opening packet is passed on.
	maxHops    = 1
	sweepTick  = 500 * time.Millisecond
	sweepFlows = 4000
	// pauseGap is the gap between two ticks that shows that the process itself was not running.
	pauseGap  = 700 * time.Millisecond
	watchTick = 100 * time.Millisecond
	// tellTick is how soon entries nearby hear of a changed number of requests: about a service time.
	tellTick = 30 * time.Millisecond
)

// Format reads and makes packets of the platform.
type Format interface {
	Parse(b []byte) (h flow.Head, ok bool)
	// Reset appends a reset to b that ends the flow of the client's packet h.
	Reset(b []byte, h flow.Head) []byte
	// Restore makes a packet that the server gave back as its sender wrote it.
	Restore(b []byte)
}

// Members knows the configuration, and tells the others of this process.
type Members interface {
	Table() *route.Table
	// Hurry tells the others of a change at once; HurryNear tells those in the own failure domain.
	Hurry()
	HurryNear()
}

// Options are what an Agent needs.
type Options struct {
	// Hops is for packets between processes, Outbound takes the server's packets, Clients sends to callers.
	Hops, Outbound, Clients *net.UDPConn
	// Server is where the backend server takes packets.
	Server netip.AddrPort
	// Service is the service that the server must announce; any when empty.
	Service string
	// Interval is the time between the server's heartbeats.
	Interval time.Duration
	// FirstStart says that the whole deployment starts for the first time, so that the server holds no flows yet.
	FirstStart bool
	// Self is the address of Hops.
	Self    netip.AddrPort
	Format  Format
	Members Members
	Shelf   Shelf
	Checker Checker
	// Log takes changes of belief; Flows takes decisions about single flows and is sampled.
	Log, Flows *zap.Logger
	Vars       *expvar.Map
}

// Agent is an agent for opaque flows.
type Agent struct {
	opts   Options
	counts *expvar.Map
	// clientPort is the port of callers' addresses that takes packets.
	clientPort uint16
	started    time.Time

	mu     sync.Mutex
	server *server.Server
	flows  *flow.Table[held]
	denied *flow.Table[struct{}]
	queue  *pace.Queue[flow.Key]
	// starts tells of a start of the server.
	starts chan struct{}
	// waits holds how long requests waited for their turn.
	waits *logs.Histogram
	// whole is from when on the table holds all of the server's flows.
	whole   time.Time
	ticked  time.Time
	refuses server.Reason
	open    int
	// told is the number of requests that was told last.
	told int
}

// New returns an agent.
func New(opts Options) *Agent {
	now := time.Now()
	a := &Agent{
		opts: opts, counts: new(expvar.Map), started: now, ticked: now,
		server: server.New(server.Options{Address: opts.Server, Service: opts.Service, Interval: opts.Interval}),
		flows:  flow.NewTable[held](defaultIdle, maxFlows),
		denied: flow.NewTable[struct{}](deniedTime, maxFlows), starts: make(chan struct{}, 1),
		queue: pace.New[flow.Key](), waits: logs.NewHistogram(),
		whole: now.Add(defaultIdle), refuses: server.Unknown,
	}
	if opts.FirstStart {
		a.whole = now
	}
	a.clientPort = opts.Clients.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	opts.Vars.Set("packets", a.counts)
	opts.Vars.Set("flows", expvar.Func(func() any { return a.sizes().flows }))
	opts.Vars.Set("requests_waiting", expvar.Func(func() any { return a.sizes().waiting }))
	opts.Vars.Set("requests_running", expvar.Func(func() any { return a.sizes().running }))
	opts.Vars.Set("request_wait", a.waits)
	return a
}

// sizes are numbers that metrics show.
type sizes struct{ flows, waiting, running int }

func (a *Agent) sizes() sizes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return sizes{flows: a.open, waiting: a.queue.Waiting(), running: a.queue.Running()}
}

// Run carries packets until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return a.serve(a.opts.Hops, a.fromHop) }, func(error) { _ = a.opts.Hops.Close() })
	g.Add(func() error { return a.serve(a.opts.Outbound, a.fromServer) }, func(error) { _ = a.opts.Outbound.Close() })
	g.Add(func() error { return timer.Every(ctx, sweepTick, a.sweep) }, func(error) { cancel() })
	g.Add(func() error { return timer.Every(ctx, watchTick, a.watch) }, func(error) { cancel() })
	g.Add(func() error { return timer.Every(ctx, tellTick, a.tell) }, func(error) { cancel() })
	g.Add(func() error { return a.checkStarts(ctx) }, func(error) { cancel() })
	g.Add(func() error { return a.keepList(ctx) }, func(error) { cancel() })
	return g.Run()
}

// serve reads datagrams, behind room for a hop head, until the connection is closed.
func (a *Agent) serve(conn *net.UDPConn, handle func(from netip.AddrPort, b []byte)) error {
	return mmsg.Serve(conn, hop.Size, func() { a.counts.Add("read_failed", 1) }, handle)
}

// Configure takes a newer configuration over.
func (a *Agent) Configure(t *route.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.Idle <= 0 {
		return
	}
	idle := t.Idle + idleSlack
	a.flows.SetIdle(idle)
	if whole := a.started.Add(idle); !a.opts.FirstStart && time.Now().Before(a.whole) {
		a.whole = whole
	}
}

// Ready reports whether the agent could serve a new flow.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opts.Members.Table() != nil && a.server.Refuses(time.Now()) == server.None
}

// Load returns the server's load as the agent sees it.
func (a *Agent) Load() ctrl.ServerLoad {
	const thousand = 1000
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = a.queue.Waiting() + a.queue.Running()
	first, repeated := a.server.Rates(now)
	return ctrl.ServerLoad{
		Ready: a.server.Refuses(now) == server.None, PendingRequests: a.told, Flows: a.open, Slots: a.server.Slots(),
		MeanServiceTime: a.server.Mean(), FirstPerKilosecond: int(first * thousand), RepeatedPerKilosecond: int(repeated * thousand), Cold: a.server.Cold(now),
		MinHealthCheckTime: a.server.Check(),
	}
}

// Announce takes a heartbeat of the backend server over.
func (a *Agent) Announce(an server.Announcement) error {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	_, known := a.server.Last()
	change, err := a.server.Announce(an, now)
	if err != nil {
		return err
	}
	if change == server.Started && (known || now.Sub(a.started) > 2*a.opts.Interval || an.IsNew(now, a.opts.Interval)) {
		a.whole = now // The agent sees the server's whole life.
	}
	if change == server.Started {
		a.endFlows(func(f *held) bool { return f.start != a.server.Starts() }, "the server has started again")
		select {
		case a.starts <- struct{}{}:
		default:
		}
	}
	if change != server.Same {
		a.opts.Log.Info("backend server changed", zap.String("id", an.ID), zap.Stringer("change", change),
			zap.String("service", an.Service), zap.Uint64("sequence", an.Sequence), zap.Time("born", an.Born),
			zap.Duration("cold", an.Cold), zap.Int("slots", an.Slots))
	}
	a.noteReadiness(now)
	return nil
}

// Withdraw notes that the backend server has left.
func (a *Agent) Withdraw(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server.Withdraw(id) {
		a.endFlows(func(*held) bool { return true }, "the server has left")
		a.opts.Log.Info("backend server changed", zap.String("id", id), zap.Stringer("change", server.Left))
		a.noteReadiness(time.Now())
	}
}

// noteReadiness tells the entries when the server begins or ceases to take new flows.
func (a *Agent) noteReadiness(now time.Time) {
	refuses := a.server.Refuses(now)
	if refuses == a.refuses {
		return
	}
	a.opts.Log.Info("readiness of the backend server changed", zap.Bool("takes_flows", refuses == server.None),
		zap.String("reason", string(refuses)), zap.String("before", string(a.refuses)))
	a.refuses = refuses
	a.opts.Members.Hurry()
}

// watch notes a pause of the process, and changes that come with time alone.
func (a *Agent) watch() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if gap := now.Sub(a.ticked); gap > pauseGap {
		a.server.Resume(gap)
	}
	a.ticked = now
	a.noteReadiness(now)
	a.expire(now)
}

// tell tells entries nearby when the number of requests has changed by as much as the server has slots.
func (a *Agent) tell() {
	a.mu.Lock()
	pending := a.queue.Waiting() + a.queue.Running()
	changed := max(pending-a.told, a.told-pending) >= a.server.Slots()
	a.mu.Unlock()
	if changed {
		a.opts.Members.HurryNear()
	}
}

func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.flows.Sweep(now, sweepFlows, func(k flow.Key, f *held) {
		a.counts.Add("flow_expired", 1)
		a.release(k, f)
	})
	a.denied.Sweep(now, sweepFlows, func(flow.Key, *struct{}) {})
}
