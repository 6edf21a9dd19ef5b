// Package deliv implements the agent for opaque flows. It forwards clients' packets to the backend server on the same
// instance, and the server's packets to the clients.
//
// The agent sees all packets of the server in both directions and derives the server's flows and load from them. After
// a restart of the agent its flow table is incomplete; the server then bounces packets of flows that it doesn't hold.
// The agent is the last process before the server, so it checks for each new flow that the server isn't draining and
// still belongs to the service.
package deliv

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
	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/logs"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/pace"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/server"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	// maxFlows bounds the flow table. A server holds up to 2,000 flows; closed flows stay until they time out.
	maxFlows = 50_000
	// unknownIdleTimeout applies until the first configuration. It is as long as the longest that one can set: no flow is removed, and the
	// table isn't complete, until the idle timeout is known.
	unknownIdleTimeout = 24 * time.Hour
	// defaultIdleTimeout applies if no configuration has set the idle timeout of flows.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is added to the configured idle timeout and the longest timeout of a route before a flow is removed from the table.
	idleMargin = 3 * time.Second
	// deniedTTL is how long the agent remembers that the server doesn't hold a flow. Clients give up earlier.
	deniedTTL = 30 * time.Second
	// askedTTL is how long the server may hold a flow that an entry asked for before the table was complete. Clients give up earlier.
	askedTTL = 30 * time.Second
	// searchMargin is how long after the table has become complete entries may probe for flows by a verdict of before. They keep a search
	// for 5 s.
	searchMargin = 6 * time.Second
	// maxHops is how often the SYN of a flow may be passed on to another agent.
	maxHops       = 1
	sweepInterval = 500 * time.Millisecond
	// maxSweptFlows bounds the flows that one sweep of a table visits.
	maxSweptFlows = 4000
	// pauseThreshold is the time between two events above which the process counts as having been paused.
	pauseThreshold = 700 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
	// loadCheckInterval is how often the agent checks for a changed number of pending requests: about one service time.
	loadCheckInterval = 30 * time.Millisecond
)

// Codec parses and builds packets in the platform's format.
type Codec interface {
	Parse(b []byte) (h flow.Header, ok bool)
	// Reset appends to b a reset packet for the flow of the client's packet h.
	Reset(b []byte, h flow.Header) []byte
	// Restore turns a packet that the server bounced into the client's original packet, in place.
	Restore(b []byte)
}

// Cluster provides the configuration and publishes the state of this process.
type Cluster interface {
	// Table returns the current configuration, or nil if there is none yet.
	Table() *route.Table
	// TriggerHeartbeat sends the next heartbeat to the entries without waiting for its interval. NotifyDomain sends a
	// heartbeat at once, but only to the entries in the agent's failure domain.
	TriggerHeartbeat()
	NotifyDomain()
}

// Options configures an Agent.
type Options struct {
	// EncapConn exchanges datagrams with entries and other agents, ServerConn exchanges packets with the backend server, and
	// ClientConn sends packets to clients.
	EncapConn, ServerConn, ClientConn *net.UDPConn
	// Server is the address on which the backend server receives packets.
	Server netip.AddrPort
	// Service is the service that the server's heartbeats must name. Empty accepts any service.
	Service string
	// HeartbeatInterval is the time between the server's heartbeats.
	HeartbeatInterval time.Duration
	// FirstStart marks the first start of the whole deployment: the server can't hold flows yet.
	FirstStart bool
	// Self is the local address of EncapConn.
	Self          netip.AddrPort
	Codec         Codec
	Cluster       Cluster
	FlowListStore FlowListStore
	HealthChecker HealthChecker
	// Log receives state changes; FlowLog receives decisions about single flows and is sampled.
	Log, FlowLog *zap.Logger
	Vars         *expvar.Map
}

// Agent forwards the packets of opaque flows to and from one backend server.
type Agent struct {
	opts     Options
	counters *expvar.Map
	// meter counts the datagrams exchanged with entries and other agents.
	meter *encap.Meter
	// clientPort is the port at which clients receive packets.
	clientPort uint16
	startedAt  time.Time

	mu     sync.Mutex
	server *server.Server
	flows  *flow.Table[flowState]
	// denied has flows that the server is known not to hold.
	denied *flow.Table[struct{}]
	// asked has flows that entries asked for while the server might hold them, although they aren't in the table.
	asked *flow.Table[struct{}]
	queue *pace.Queue[flow.Key]
	// serviceTimer measures the service times of the requests at the server.
	serviceTimer *pace.ServiceTimer[flow.Key]
	// serverStarted and exitChecksDue have room for one signal, sent when the server has started, and when it may have ended.
	serverStarted, exitChecksDue chan struct{}
	// waitTimes records how long requests were queued.
	waitTimes *logs.Histogram
	// tableCompleteAt is when the flow table begins to hold all flows of the server. incompleteSince is when it last lost some:
	// the start of the agent, or a later eviction.
	tableCompleteAt, incompleteSince time.Time
	// completeLogged is set while the log's last word on the table is that it is complete.
	completeLogged bool
	// completeByStart means that the table is complete since the agent has run since before the server started, and not only since idle flows
	// have timed out.
	completeByStart bool
	// idleTimeout is the time without packets after which a flow may be discarded.
	idleTimeout time.Duration
	// mayReplaceList is set once the saved list of the previous process has been restored, or can't be.
	mayReplaceList bool
	// savedFlows is the number of open flows in the saved list, which was last encoded at listSavedAt.
	savedFlows  int
	listSavedAt time.Time
	// stopping is set once the final list has been collected.
	stopping bool
	// lastRunAt is when the process last handled an event. Ticks are such events, so it is recent unless the process pauses.
	lastRunAt time.Time
	// pausedFor is the total time of the pauses.
	pausedFor time.Duration
	// refusalReason is the reason that was published last.
	refusalReason server.Reason
	openFlows     int
	// listReplies is the ID of the latest list reply. It starts at a random number, so that a restarted agent doesn't use one again.
	listReplies encap.ReplyID
	// reportedPending is the number of pending requests, queued and running, in the last load report.
	reportedPending int
}

// New returns an agent and registers its metrics in opts.Vars.
func New(opts Options) *Agent {
	now := time.Now()
	serverOpts := server.Options{
		Address: opts.Server, Service: opts.Service, HeartbeatInterval: opts.HeartbeatInterval, ObservedSince: now,
	}
	a := &Agent{
		opts: opts, counters: new(expvar.Map), startedAt: now, lastRunAt: now, incompleteSince: now, listReplies: encap.ReplyID(rand.Uint64()),
		idleTimeout: unknownIdleTimeout, server: server.New(serverOpts), flows: flow.NewTable[flowState](unknownIdleTimeout, maxFlows),
		denied: flow.NewTable[struct{}](deniedTTL, maxFlows), asked: flow.NewTable[struct{}](askedTTL, maxFlows),
		serverStarted: make(chan struct{}, 1), exitChecksDue: make(chan struct{}, 1),
		queue: pace.New[flow.Key](), serviceTimer: pace.NewServiceTimer[flow.Key](), waitTimes: logs.NewHistogram(),
		tableCompleteAt: now.Add(unknownIdleTimeout), refusalReason: server.ReasonNoHeartbeat, mayReplaceList: opts.FirstStart,
	}
	if opts.FirstStart {
		a.tableCompleteAt = now
	}
	a.meter = encap.NewMeter(a.counters)
	a.flows.OnEvict(a.handleEviction)
	a.clientPort = opts.ClientConn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	opts.Vars.Set("packets", a.counters)
	opts.Vars.Set("flows", expvar.Func(func() any { return a.gauges().flows }))
	opts.Vars.Set("requests_waiting", expvar.Func(func() any { return a.gauges().waiting }))
	opts.Vars.Set("requests_running", expvar.Func(func() any { return a.gauges().running }))
	opts.Vars.Set("request_wait", a.waitTimes)
	return a
}

// gauges are current values for metrics.
type gauges struct{ flows, waiting, running int }

func (a *Agent) gauges() gauges {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gauges{flows: a.openFlows, waiting: a.queue.Waiting(), running: a.queue.Running()}
}

// Run forwards packets until ctx is canceled.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return a.serve(a.opts.EncapConn, a.handleDatagram) }, func(error) { _ = a.opts.EncapConn.Close() })
	g.Add(func() error { return a.serve(a.opts.ServerConn, a.handleServerPacket) }, func(error) { _ = a.opts.ServerConn.Close() })
	g.Add(func() error { return timer.Every(ctx, sweepInterval, a.sweep) }, func(error) { cancel() })
	g.Add(func() error { return timer.Every(ctx, tickInterval, a.tick) }, func(error) { cancel() })
	g.Add(func() error { return timer.Every(ctx, loadCheckInterval, a.reportLoad) }, func(error) { cancel() })
	g.Add(func() error { return a.runHealthChecks(ctx) }, func(error) { cancel() })
	g.Add(func() error { return a.watchExits(ctx) }, func(error) { cancel() })
	g.Add(func() error { return a.maintainFlowList(ctx) }, func(error) { cancel() })
	return g.Run()
}

// serve passes datagrams to handle until the connection is closed. Each datagram starts at b[encap.HeaderSize:], so that a
// header can be written in front of it.
func (a *Agent) serve(conn *net.UDPConn, handle func(from netip.AddrPort, b []byte)) error {
	return mmsg.Serve(conn, encap.HeaderSize, func() { a.counters.Add("read_failed", 1) }, handle)
}

// Configure applies the idle timeout of a newer configuration. The client of a flow that was idle until then may send copies of its packet for
// the timeout of its route, and none may get here before the last one: the flow stays in the table as long, and the table is incomplete.
func (a *Agent) Configure(table *route.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := table.Idle + idleMargin
	switch {
	case table.Idle > 0:
		a.idleTimeout = table.Idle
	case a.flows.IdleTimeout() != unknownIdleTimeout:
		return
	default:
		a.idleTimeout, kept = defaultIdleTimeout, defaultIdleTimeout
	}
	kept += table.LongestTimeout()
	a.flows.SetIdleTimeout(kept)
	if completeAt := a.incompleteSince.Add(kept + a.pausedFor); time.Now().Before(a.tableCompleteAt) {
		a.tableCompleteAt = completeAt
	}
}

// handleEviction closes a flow that a full table evicts. If the server may hold the flow, the table is incomplete until the flow
// has been seen again or is idle.
func (a *Agent) handleEviction(key flow.Key, f *flowState) {
	a.counters.Add("flow_evicted", 1)
	if f.phase != phaseClosed {
		a.incompleteSince = time.Now()
		a.tableCompleteAt, a.completeByStart = a.incompleteSince.Add(a.flows.IdleTimeout()), false
	}
	a.closeFlow(key, f)
}

// Ready reports whether the agent has a configuration and its server accepts new flows.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opts.Cluster.Table() != nil && a.server.RefusalReason(time.Now()) == server.ReasonNone
}

// Load returns the server's current load for a report to the entries.
func (a *Agent) Load() ctrl.ServerLoad {
	const secondsPerKilosecond = 1000
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportedPending = a.queue.Waiting() + a.queue.Running()
	first, followUp := a.server.RequestRates(now)
	return ctrl.ServerLoad{
		Ready: a.server.RefusalReason(now) == server.ReasonNone, PendingRequests: a.reportedPending, Flows: a.openFlows,
		Slots: a.server.Slots(), MeanServiceTime: a.server.MeanServiceTime(), FirstPerKilosecond: int(first * secondsPerKilosecond),
		FollowUpPerKilosecond: int(followUp * secondsPerKilosecond), Cold: a.server.IsCold(now), MinHealthCheckTime: a.server.MinHealthCheckTime(),
	}
}

// HandleHeartbeat processes a heartbeat of the backend server. A certain restart of the server resets the flows of its
// earlier start. It reports whether ConfirmSender is to be called.
func (a *Agent) HandleHeartbeat(hb server.Heartbeat) (confirm bool, err error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compensatePause(now)
	wasSettled := a.server.Settled()
	change, err := a.server.RecordHeartbeat(hb, now)
	if err != nil {
		return false, err
	}
	if change == server.ChangeStarted {
		select {
		case a.serverStarted <- struct{}{}:
		default:
		}
	}
	if !wasSettled && a.server.Settled() {
		a.handleSettledStart(now)
	}
	if change != server.ChangeNone {
		a.opts.Log.Info("backend server changed", zap.String("id", hb.ID), zap.Stringer("change", change),
			zap.String("service", hb.Service), zap.Uint64("sequence", hb.Sequence), zap.Time("born", hb.StartedAt),
			zap.Duration("cold", hb.ColdRemaining), zap.Int("slots", hb.Slots), zap.Int("restarts", a.server.Restarts()),
			zap.Duration("agent_up", now.Sub(a.startedAt)), zap.Bool("table_complete", a.tableComplete(now)),
			zap.Bool("settled", a.server.Settled()), zap.Duration("max_age", now.Sub(a.server.EarliestStart())),
			zap.Time("started_after", a.server.StartedAfter()))
	}
	a.updateReadiness(now)
	return change == server.ChangeStarted, nil
}

// ConfirmSender records that the sender of a heartbeat is running.
func (a *Agent) ConfirmSender(hb server.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.Confirm(hb)
}

// handleSettledStart resets the flows that the server has lost by a restart, once its start is certainly the one that is running. If
// the agent has run since before the server started, it has seen all packets of the server, and its table is complete.
func (a *Agent) handleSettledStart(now time.Time) {
	if a.server.StartedAfter().After(a.incompleteSince) && now.Before(a.tableCompleteAt) {
		a.tableCompleteAt, a.completeByStart = now, true
		a.asked = flow.NewTable[struct{}](askedTTL, maxFlows)
	}
	// Heartbeats may have been queued during a pause.
	a.keepFlowsSince(a.server.EarliestStart().Add(-a.pausedFor), a.server.PreviousStartReceivedAt().Add(-a.pausedFor))
	a.resetFlows(func(f *flowState) bool { return f.serverRestarts != a.server.Restarts() }, "the server has started again")
}

// ServerLeft reports whether the backend server has sent its shutdown notice and no heartbeat of a later start has come.
func (a *Agent) ServerLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.server.RefusalReason(time.Now()) == server.ReasonLeft
}

// updateReadiness publishes the state when the server starts or stops accepting new flows, or the reason changes.
func (a *Agent) updateReadiness(now time.Time) {
	reason := a.server.RefusalReason(now)
	if reason == a.refusalReason {
		return
	}
	a.opts.Log.Info("readiness of the backend server changed", zap.Bool("takes_flows", reason == server.ReasonNone),
		zap.String("reason", string(reason)), zap.String("before", string(a.refusalReason)))
	a.refusalReason = reason
	a.opts.Cluster.TriggerHeartbeat()
}

// tick handles timeouts of heartbeats and requests.
func (a *Agent) tick() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compensatePause(now)
	a.updateReadiness(now)
	a.logCompleteness(now)
	a.expireRequests(now)
	if a.server.MayHaveEnded(now) {
		a.requestExitChecks()
	}
}

// logCompleteness logs when the flow table becomes complete or incomplete: from then on the agent denies flows that it lacks, or doesn't.
func (a *Agent) logCompleteness(now time.Time) {
	if complete := a.tableComplete(now); complete != a.completeLogged {
		a.completeLogged = complete
		a.opts.Log.Info("flow table changed", zap.Bool("complete", complete), zap.Bool("by_server_start", a.completeByStart),
			zap.Duration("agent_up", now.Sub(a.startedAt)), zap.Int("flows", a.flows.Len()), zap.Int("asked", a.asked.Len()))
	}
}

// compensatePause extends the timeouts of the server and of its flows if the process has been paused. Each event calls it
// first: after a pause, packets may be handled before the next tick, and the server would count as silent.
func (a *Agent) compensatePause(now time.Time) {
	if gap := now.Sub(a.lastRunAt); gap > pauseThreshold {
		a.server.CompensatePause(gap)
		a.flows.ExtendIdleTime(gap)
		a.pausedFor += gap
		if a.lastRunAt.Before(a.tableCompleteAt) {
			a.tableCompleteAt = a.tableCompleteAt.Add(gap)
		}
		a.opts.Log.Info("process was paused", zap.Duration("gap", gap))
	}
	a.lastRunAt = now
}

// reportLoad publishes the load to nearby entries when the number of pending requests has changed by at least the number
// of the server's slots.
func (a *Agent) reportLoad() {
	a.mu.Lock()
	pending := a.queue.Waiting() + a.queue.Running()
	changed := max(pending-a.reportedPending, a.reportedPending-pending) >= a.server.Slots()
	a.mu.Unlock()
	if changed {
		a.opts.Cluster.NotifyDomain()
	}
}

// sweep removes flows, denials and queries that have timed out.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.compensatePause(now)
	a.flows.Sweep(now, maxSweptFlows, func(k flow.Key, f *flowState) {
		a.counters.Add("flow_expired", 1)
		if f.phase == phaseUnconfirmed {
			a.opts.FlowLog.Info("flow expired unconfirmed", a.flowFields(k, f, now)...)
		}
		a.closeFlow(k, f)
	})
	a.denied.Sweep(now, maxSweptFlows, func(flow.Key, *struct{}) {})
	a.asked.Sweep(now, maxSweptFlows, func(flow.Key, *struct{}) {})
}
