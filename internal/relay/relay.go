// Package relay implements the entry for opaque flows: it forwards each client packet to the agent of the backend server
// that holds the packet's flow.
//
// The flow table is only a cache. A missing flow is found by querying the agents, so any entry can forward any packet,
// even after a restart.
package relay

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

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	// maxTableFlows bounds the flow table. At the target size an entry carries about ten thousand flows.
	maxTableFlows = 100_000
	// idleMargin is added to the configured idle timeout before a flow expires from the table.
	idleMargin = 3 * time.Second
	// defaultIdleTimeout applies until a configuration sets an idle timeout.
	defaultIdleTimeout = 30 * time.Second
	sweepInterval      = 500 * time.Millisecond
	// maxSweptFlows bounds the flows that one sweep of the table visits.
	maxSweptFlows = 4000
	// maxConfigAge is the maximum age of the configuration at which packets without a route are reset. An older one may
	// lack a new route.
	maxConfigAge = 1500 * time.Millisecond
	// unroutedTTL is how long the first packet of an open flow without a route is remembered after its last one. Clients
	// retransmit at least every 1.6 s.
	unroutedTTL      = 5 * time.Second
	maxUnroutedFlows = 20_000
	// trafficLogInterval is the time between two log lines with the bytes exchanged with agents.
	trafficLogInterval = 5 * time.Second
	// rotationTimeout is the time without a client packet after which an entry counts as out of rotation.
	rotationTimeout = 500 * time.Millisecond
)

// Codec parses and builds packets in the platform's format.
type Codec interface {
	Parse(b []byte) (h flow.Header, ok bool)
	// Reset appends to b a reset packet for the flow of the client's packet h.
	Reset(b []byte, h flow.Header) []byte
}

// Cluster provides the membership of the deployment and the current configuration.
type Cluster interface {
	// Table returns the current configuration, or nil if there is none yet.
	Table() *route.Table
	// ConfigAge returns the time since the configuration was last confirmed to be the newest.
	ConfigAge() time.Duration
	// RefreshConfig triggers a read of the configuration.
	RefreshConfig()
	// Agents returns the agents of a service as candidates for a new flow.
	Agents(service uint64) []pick.Candidate
	// PossibleHolders returns the agents of the services that may hold a flow.
	PossibleHolders(services []uint64) []seek.Candidate
	// AllAgents returns the agents of all services; ok is false if there are more than limit.
	AllAgents(limit int) (all []seek.Candidate, ok bool)
	// RecordOpen records that the SYN of a new flow was sent to an agent, RecordRefusal that the agent returned it.
	RecordOpen(agent netip.AddrPort)
	RecordRefusal(agent netip.AddrPort)
	// Dead reports whether an agent counts as failed or is no longer known.
	Dead(agent netip.AddrPort) bool
	// AllAgentsKnown reports whether all agents are known and most processes are reachable, so that a flow denied by all
	// agents is lost.
	AllAgentsKnown() bool
	// AcceptsNewFlows reports whether any backend server accepts new flows.
	AcceptsNewFlows() bool
}

// Options configures a Relay.
type Options struct {
	// ClientConn receives packets from clients and sends them resets; EncapConn exchanges datagrams with agents.
	ClientConn, EncapConn *net.UDPConn
	// Self is the local address of EncapConn.
	Self    netip.AddrPort
	Codec   Codec
	Cluster Cluster
	// LinkMegabits is the rate of the instance's network link in Mbit/s, which bounds what searches send; 0 if it isn't known.
	LinkMegabits float64
	// Log receives state changes; FlowLog receives decisions about single flows and is sampled.
	Log, FlowLog *zap.Logger
	Vars         *expvar.Map
}

// Relay forwards the packets of opaque flows from clients to agents.
type Relay struct {
	opts     Options
	counters *expvar.Map
	// meter counts the datagrams exchanged with agents; loggedTraffic holds its counts at the last log line.
	meter         *encap.Meter
	loggedTraffic encap.Totals
	// clientPort is the port at which clients receive packets, the same as the port of ClientConn.
	clientPort uint16

	mu       sync.Mutex
	flows    *flow.Table[flowState]
	searches map[flow.Key]*search
	// searchCount is the ID of the latest search. It starts at a random number, so that a restarted entry doesn't use one again.
	searchCount uint64
	// lifetimes has the estimator of each route, by name.
	lifetimes map[string]*pick.LifetimeEstimator
	lists     map[netip.AddrPort]*flowList
	limits    searchLimits
	// held has the flows whose SYN waits for an agent.
	held map[flow.Key]*heldOpen
	// unrouted has the time of the first packet without a route, by open flow.
	unrouted *flow.Table[time.Time]
	// listRequests counts the list requests sent; its value is the ID of the latest one.
	listRequests uint64
	// lastClientPacket is when the newest packet of a client arrived.
	lastClientPacket time.Time
}

// flowState is what the flow table holds for a flow.
type flowState struct {
	agent   netip.AddrPort
	service uint64
	// openedAt is when this entry sent the flow's SYN to the agent; it is zero if an agent reported the flow, whose earlier requests
	// this entry then hasn't seen.
	openedAt time.Time
	// synSeq is the sequence number of the SYN, if openedAt is set.
	synSeq uint32
	// numbers are those of the client's packets that this entry has seen.
	numbers flow.Numbers
	// retransmissions is the highest SYN retransmission number seen; the first transmission has number 0.
	retransmissions uint32
	// openSince is since when this entry has known that the flow is open: it sent a later packet than the SYN to the agent, or
	// an agent reported the flow.
	openSince time.Time
	// refusals counts the agents that refused the SYN. claimed is set once an agent has claimed the flow.
	refusals int
	claimed  bool
	// lifetimeRecorded is set once the flow is included in its route's lifetime estimate.
	lifetimeRecorded bool
	requests         pick.RequestCounter
	route            string
}

// New returns a Relay and publishes its counters in opts.Vars.
func New(opts Options) *Relay {
	r := &Relay{
		opts: opts, counters: new(expvar.Map), flows: flow.NewTable[flowState](defaultIdleTimeout, maxTableFlows),
		searches: make(map[flow.Key]*search), lifetimes: make(map[string]*pick.LifetimeEstimator),
		lists: make(map[netip.AddrPort]*flowList), unrouted: flow.NewTable[time.Time](unroutedTTL, maxUnroutedFlows),
		held: make(map[flow.Key]*heldOpen), searchCount: rand.Uint64(),
	}
	r.meter = encap.NewMeter(r.counters)
	r.limits = newSearchLimits(opts.LinkMegabits)
	r.clientPort = opts.ClientConn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	opts.Vars.Set("packets", r.counters)
	opts.Vars.Set("flows", expvar.Func(func() any { return r.flowCount() }))
	return r
}

func (r *Relay) flowCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows.Len()
}

// Run forwards packets until ctx is canceled.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return r.serveClients() }, func(error) { _ = r.opts.ClientConn.Close() })
	g.Add(func() error { return r.serveDatagrams() }, func(error) { _ = r.opts.EncapConn.Close() })
	g.Add(func() error { return timer.Every(ctx, releaseInterval, r.releaseHeld) }, func(error) { cancel() })
	g.Add(func() error { return timer.Every(ctx, sweepInterval, r.sweep) }, func(error) { cancel() })
	g.Add(func() error { return timer.Every(ctx, trafficLogInterval, r.logTraffic) }, func(error) { cancel() })
	return g.Run()
}

// Ready reports whether a new flow could be served.
func (r *Relay) Ready() bool {
	return r.opts.Cluster.Table() != nil && r.opts.Cluster.AcceptsNewFlows()
}

// InRotation reports whether routers still forward packets to this entry.
func (r *Relay) InRotation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastClientPacket) < rotationTimeout
}

// Configure applies the idle timeout of a new configuration.
func (r *Relay) Configure(t *route.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Idle > 0 {
		r.flows.SetIdleTimeout(t.Idle + idleMargin)
	}
}

// sweep removes expired flows from the table, abandoned searches and the lists of agents that are gone.
func (r *Relay) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.flows.Sweep(now, maxSweptFlows, func(flow.Key, *flowState) { r.counters.Add("flow_expired", 1) })
	r.unrouted.Sweep(now, maxSweptFlows, func(flow.Key, *time.Time) {})
	r.sweepSearches(now)
	r.sweepLists(now)
}

func (r *Relay) serveClients() error {
	countFailure := func() { r.counters.Add("client_read_failed", 1) }
	return mmsg.Serve(r.opts.ClientConn, encap.HeaderSize, countFailure, func(_ netip.AddrPort, b []byte) { r.handleClientPacket(b) })
}

func (r *Relay) serveDatagrams() error {
	return mmsg.Serve(r.opts.EncapConn, 0, func() { r.counters.Add("hop_read_failed", 1) }, r.handleDatagram)
}

// handleClientPacket processes a client packet. The packet starts at b[encap.HeaderSize:], so that a header can be
// written in front of it.
func (r *Relay) handleClientPacket(b []byte) {
	h, ok := r.opts.Codec.Parse(b[encap.HeaderSize:])
	if !ok {
		r.counters.Add("client_damaged", 1)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastClientPacket = now
	table := r.opts.Cluster.Table()
	rt := table.Lookup(h.Dst)
	key := h.KeyFromClient()
	if rt == nil && (table != nil || h.Opens()) {
		r.rejectUnrouted(h, now)
		return
	}
	if h.Opens() {
		r.openFlow(key, h, rt, b, now)
		return
	}
	if held := r.held[key]; held != nil && held.numbers().Match(h) != flow.Other {
		delete(r.held, key) // A server has accepted another copy of the SYN.
	}
	f := r.flows.Peek(key)
	if f == nil || r.opts.Cluster.Dead(f.agent) || !f.mayContain(h) {
		r.findHolder(key, h, rt, b, now)
		return
	}
	r.flows.Get(key, now)
	recordNumbers(&f.numbers, h)
	r.recordLifetime(f, h)
	if f.openSince.IsZero() {
		f.openSince = now
	}
	r.counters.Add("carried", 1)
	r.send(encap.Header{Kind: encap.Forward, Version: configVersion(table), Service: f.service, Entry: r.opts.Self}, b, f.agent)
}

// mayContain reports whether a client's packet may be of this flow, by its numbers. Otherwise it is of another flow with the same key, as the
// client has used its port again, or of this one after packets that came to other entries.
func (f *flowState) mayContain(h flow.Header) bool { return h.Rst || f.numbers.Match(h) != flow.Other }

// recordNumbers records the numbers of a client's packet that isn't a SYN. Those of an RST may be any.
func recordNumbers(n *flow.Numbers, h flow.Header) {
	if h.Rst {
		return
	}
	n.RecordClient(h.Seq + uint32(h.Len))
	if h.Ack {
		n.RecordServer(h.AckNumber)
	}
}

// recordLifetime adds a flow to its route's lifetime estimate once it has begun its second request or has ended before.
func (r *Relay) recordLifetime(f *flowState, h flow.Header) {
	if f.lifetimeRecorded || f.openedAt.IsZero() {
		return
	}
	estimator := r.estimatorFor(f.route)
	switch {
	case f.requests.Record(h) > 1:
		estimator.RecordReused()
		f.lifetimeRecorded = true
	case h.Fin || h.Rst:
		estimator.RecordSingle()
		f.lifetimeRecorded = true
	}
}

// estimatorFor returns the lifetime estimator of a route and creates it on first use.
func (r *Relay) estimatorFor(routeName string) *pick.LifetimeEstimator {
	estimator := r.lifetimes[routeName]
	if estimator == nil {
		estimator = new(pick.LifetimeEstimator)
		r.lifetimes[routeName] = estimator
	}
	return estimator
}

// rejectUnrouted resets the flow of a packet whose destination has no route. If the configuration is older than maxConfigAge,
// it may lack a new route: the packet is dropped and the configuration is refreshed. A flow that an entry with a newer configuration
// may have opened is reset only if the configuration was confirmed after a packet of the flow had come.
func (r *Relay) rejectUnrouted(h flow.Header, now time.Time) {
	age := r.opts.Cluster.ConfigAge()
	if age > maxConfigAge {
		r.opts.Cluster.RefreshConfig()
	}
	isNew := h.Opens() && h.AckNumber == 0
	if age > maxConfigAge || (!isNew && !r.seenUnroutedBefore(h.KeyFromClient(), now.Add(-age), now)) {
		r.counters.Add("unrouted_kept_silent", 1)
		return
	}
	r.opts.FlowLog.Info("packet reset: no route", zap.Stringer("flow", h.KeyFromClient()), zap.Bool("opens", h.Opens()),
		zap.Uint64("version", configVersion(r.opts.Cluster.Table())), zap.Duration("age", age))
	r.counters.Add("reset_unrouted", 1)
	r.reset(h)
}

// seenUnroutedBefore records a packet without a route of an open flow, and reports whether one came before confirmed.
func (r *Relay) seenUnroutedBefore(key flow.Key, confirmed, now time.Time) bool {
	firstSeen := r.unrouted.Get(key, now)
	if firstSeen == nil {
		r.unrouted.Put(key, now, now)
		return false
	}
	return firstSeen.Before(confirmed)
}

// configVersion returns the version of a configuration, or 0 if there is none.
func configVersion(t *route.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// send writes the header into the first encap.HeaderSize bytes of b and sends b.
func (r *Relay) send(header encap.Header, b []byte, to netip.AddrPort) {
	header.Encode(b)
	r.write(b, to)
}

// write sends a datagram to an agent and counts failures.
func (r *Relay) write(datagram []byte, to netip.AddrPort) {
	r.meter.RecordSent(datagram)
	if _, err := r.opts.EncapConn.WriteToUDPAddrPort(datagram, to); err != nil {
		r.counters.Add("send_failed", 1)
	}
}

// logTraffic logs the bytes exchanged with agents since the last log line, by kind of datagram.
func (r *Relay) logTraffic() {
	if traffic := r.meter.Trace(&r.loggedTraffic); traffic != "" {
		r.opts.Log.Info("traffic with agents", zap.Duration("interval", trafficLogInterval), zap.String("sent_received", traffic))
	}
}

// reset sends a reset packet for the flow of h to the client.
func (r *Relay) reset(h flow.Header) {
	var buf [64]byte
	b := r.opts.Codec.Reset(buf[:0], h)
	if _, err := r.opts.ClientConn.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.Src.Addr(), r.clientPort)); err != nil {
		r.counters.Add("reset_failed", 1)
	}
}
