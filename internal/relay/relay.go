// Package relay is the process of an entry that carries opaque flows: it gives each packet of a caller to the agent
// beside the backend server that holds the packet's flow.
//
// The table of flows only saves time. What it lacks is found again from the agents, so that any entry can carry any
// packet after any restart.
package relay

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	// maxFlows bounds the table: at the target size an entry carries some ten thousand flows.
	maxFlows = 100_000
	// idleSlack is how much longer than the configuration's idle time a flow is remembered.
	idleSlack = 3 * time.Second
	// defaultIdle is the idle time before a configuration says one.
	defaultIdle = 30 * time.Second
	sweepTick   = 500 * time.Millisecond
	sweepFlows  = 4000
	// freshAge is the age up to which the configuration is trusted to know all routes.
	freshAge = 1500 * time.Millisecond
	// lastCopy is the number of the last copy of an opening packet that a client sends.
	lastCopy = 2
)

// Format reads and makes packets of the platform.
type Format interface {
	Parse(b []byte) (h flow.Head, ok bool)
	// Reset appends a reset to b that ends the flow of the client's packet h.
	Reset(b []byte, h flow.Head) []byte
}

// Members knows the deployment's processes and the configuration.
type Members interface {
	Table() *route.Table
	ConfigAge() time.Duration
	RefreshConfig()
	Agents(service uint64) []pick.Member
	PossibleHolders(services []uint64) []seek.Candidate
	AllAgents(most int) (all []seek.Candidate, ok bool)
	RecordSent(agent netip.AddrPort)
	Dead(agent netip.AddrPort) bool
	// AllAgentsKnown reports whether all agents are known, so that a flow that they all deny is nowhere.
	AllAgentsKnown() bool
	// AcceptsNewFlows reports whether any backend server takes new flows.
	AcceptsNewFlows() bool
}

// Options are what a Relay needs.
type Options struct {
	// Clients is where callers' packets come in; Hops is for packets between processes.
	Clients, Hops *net.UDPConn
	Self          netip.AddrPort
	Format        Format
	Members       Members
	// Log takes changes of belief; Flows takes decisions about single flows and is sampled.
	Log, Flows *zap.Logger
	Vars       *expvar.Map
}

// Relay is an entry for opaque flows.
type Relay struct {
	opts   Options
	counts *expvar.Map
	// clientPort is the port of callers' addresses that takes packets.
	clientPort uint16

	mu       sync.Mutex
	flows    *flow.Table[placed]
	searches map[flow.Key]*search
	habits   map[string]*pick.Habit
	lists    map[netip.AddrPort]*listing
	// questions counts the questions for lists.
	questions uint64
}

// placed is what the entry knows of a flow.
type placed struct {
	agent   netip.AddrPort
	service uint64
	opened  time.Time
	// copies is the number of the newest copy of the opening packet.
	copies uint32
	// counted says that the flow has entered its route's habit.
	counted bool
	route   string
}

// New returns a relay.
func New(opts Options) *Relay {
	r := &Relay{
		opts: opts, counts: new(expvar.Map), flows: flow.NewTable[placed](defaultIdle, maxFlows),
		searches: make(map[flow.Key]*search), habits: make(map[string]*pick.Habit),
		lists: make(map[netip.AddrPort]*listing),
	}
	r.clientPort = opts.Clients.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	opts.Vars.Set("packets", r.counts)
	opts.Vars.Set("flows", expvar.Func(func() any { return r.flowCount() }))
	return r
}

func (r *Relay) flowCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows.Len()
}

// Run carries packets until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return r.serveClients() }, func(error) { _ = r.opts.Clients.Close() })
	g.Add(func() error { return r.serveHops() }, func(error) { _ = r.opts.Hops.Close() })
	g.Add(func() error { return timer.Every(ctx, sweepTick, r.sweep) }, func(error) { cancel() })
	return g.Run()
}

// Ready reports whether the entry could serve a new flow.
func (r *Relay) Ready() bool {
	return r.opts.Members.Table() != nil && r.opts.Members.AcceptsNewFlows()
}

// Configure takes a newer configuration over.
func (r *Relay) Configure(t *route.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Idle > 0 {
		r.flows.SetIdle(t.Idle + idleSlack)
	}
}

func (r *Relay) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows.Sweep(time.Now(), sweepFlows, func(flow.Key, *placed) { r.counts.Add("flow_expired", 1) })
}

func (r *Relay) serveClients() error {
	failed := func() { r.counts.Add("client_read_failed", 1) }
	return mmsg.Serve(r.opts.Clients, hop.Size, failed, func(_ netip.AddrPort, b []byte) { r.fromClient(b) })
}

func (r *Relay) serveHops() error {
	return mmsg.Serve(r.opts.Hops, 0, func() { r.counts.Add("hop_read_failed", 1) }, r.fromHop)
}

// fromClient handles a caller's packet, which stands in b behind room for a hop head.
func (r *Relay) fromClient(b []byte) {
	h, ok := r.opts.Format.Parse(b[hop.Size:])
	if !ok {
		r.counts.Add("client_damaged", 1)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.opts.Members.Table()
	rt := table.Lookup(h.Dst)
	key := h.FromClient()
	if rt == nil && (table != nil || h.Opens()) {
		r.unrouted(h)
		return
	}
	if h.Opens() {
		r.open(key, h, rt, b, now)
		return
	}
	f := r.flows.Get(key, now)
	if f == nil || r.opts.Members.Dead(f.agent) {
		r.seek(key, h, rt, b, now)
		return
	}
	r.observe(f, h, now)
	r.counts.Add("carried", 1)
	r.send(hop.Head{Kind: hop.Carry, Version: versionOf(table), Service: f.service, Entry: r.opts.Self}, b, f.agent)
}

// observe learns the habit of the flow's route.
func (r *Relay) observe(f *placed, h flow.Head, now time.Time) {
	if f.counted || f.opened.IsZero() {
		return
	}
	habit := r.habit(f.route)
	switch {
	case habit.Aged(now.Sub(f.opened)):
		f.counted = true
	case h.Fin || h.Rst:
		habit.Ended()
		f.counted = true
	}
}

func (r *Relay) habit(name string) *pick.Habit {
	h := r.habits[name]
	if h == nil {
		h = new(pick.Habit)
		r.habits[name] = h
	}
	return h
}

// unrouted handles a packet to an address that no route has. It is reset only when the configuration is surely new.
func (r *Relay) unrouted(h flow.Head) {
	age := r.opts.Members.ConfigAge()
	if age > freshAge {
		r.opts.Members.RefreshConfig()
		r.counts.Add("unrouted_kept_silent", 1)
		return
	}
	r.opts.Flows.Info("packet reset: no route", zap.Stringer("flow", h.FromClient()), zap.Bool("opens", h.Opens()),
		zap.Uint64("version", versionOf(r.opts.Members.Table())), zap.Duration("age", age))
	r.counts.Add("reset_unrouted", 1)
	r.reset(h)
}

func versionOf(t *route.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// open places a new flow, or repeats an opening packet that was left unanswered.
func (r *Relay) open(key flow.Key, h flow.Head, rt *route.Route, b []byte, now time.Time) {
	f := r.flows.Get(key, now)
	avoid := netip.AddrPort{}
	if f != nil && f.copies >= h.AckNumber {
		r.sendOpen(f.agent, netip.AddrPort{}, f.service, b)
		return
	}
	if f != nil {
		avoid = f.agent
	}
	service := rt.ServiceOf(key.Hash())
	members := r.opts.Members.Agents(route.Number(service))
	want := pick.Flow{Hash: key.Hash(), Long: r.habit(rt.Name).Long(), Objective: rt.Objective, Avoid: avoid}
	choice := pick.Choose(want, members)
	if choice.First < 0 {
		r.unserved(h, service, len(members))
		return
	}
	first, second := members[choice.First].Agent, netip.AddrPort{}
	if choice.Second >= 0 {
		second = members[choice.Second].Agent
	}
	r.flows.Put(key, placed{
		agent: first, service: route.Number(service), opened: now, copies: h.AckNumber, route: rt.Name,
	}, now)
	r.opts.Members.RecordSent(first)
	r.counts.Add("opened", 1)
	if line := r.opts.Flows.Check(zap.InfoLevel, "flow placed"); line != nil {
		line.Write(zap.Stringer("flow", key), zap.String("route", rt.Name), zap.Stringer("agent", first),
			zap.Stringer("second", second), zap.Uint32("copy", h.AckNumber), zap.Uint64("hash", want.Hash), zap.Bool("long", want.Long),
			zap.Duration("objective", want.Objective), zap.Stringer("avoid", avoid),
			zap.Uint64("version", versionOf(r.opts.Members.Table())), zap.String("members", pick.Trace(members)))
	}
	r.sendOpen(first, second, route.Number(service), b)
}

// unserved handles an opening packet for a service of which no backend server takes new flows. The client's copies
// follow within a second, so that it is refused with the last one.
func (r *Relay) unserved(h flow.Head, service string, members int) {
	last := h.AckNumber >= lastCopy
	r.opts.Flows.Warn("no backend server for a new flow", zap.Stringer("flow", h.FromClient()), zap.String("service", service),
		zap.Int("members", members), zap.Uint32("copy", h.AckNumber), zap.Bool("reset", last))
	r.counts.Add("unserved", 1)
	if last {
		r.reset(h)
	}
}

func (r *Relay) sendOpen(agent, second netip.AddrPort, service uint64, b []byte) {
	r.send(hop.Head{
		Kind: hop.Open, Version: versionOf(r.opts.Members.Table()), Service: service, Second: second, Entry: r.opts.Self,
	}, b, agent)
}

// send writes a packet that stands behind room for the head.
func (r *Relay) send(head hop.Head, b []byte, to netip.AddrPort) {
	head.Put(b)
	if _, err := r.opts.Hops.WriteToUDPAddrPort(b, to); err != nil {
		r.counts.Add("send_failed", 1)
	}
}

// reset ends a client's flow.
func (r *Relay) reset(h flow.Head) {
	var room [64]byte
	b := r.opts.Format.Reset(room[:0], h)
	if _, err := r.opts.Clients.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.Src.Addr(), r.clientPort)); err != nil {
		r.counts.Add("reset_failed", 1)
	}
}
