// Package agent implements the proxy next to each backend server. An agent terminates callers' QUIC connections, which are
// called flows, and sends their requests to the backend server or hands them over to a peer, another agent of the service.
package agent

import (
	"context"
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/offer"
	"github.com/bergamotrun/bergamotrun/internal/steer"
	"github.com/bergamotrun/bergamotrun/internal/ticket"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// Options configure an agent.
type Options struct {
	// Service is the name of the backend server's service.
	Service string
	// Backend is the URL of the backend server, on loopback.
	Backend *url.URL
	// HealthPath is the path of the backend server's health endpoint; empty for none.
	HealthPath string
	// Packets is the UDP address on which envelopes are received.
	Packets netip.AddrPort
	// Control is the TCP and UDP address for requests and messages of other processes.
	Control netip.AddrPort
	Domain  string
	Weight  uint16
	// TLS holds the service's certificate, which is presented to callers.
	TLS       *tls.Config
	PathMTU   int
	Secret    fleet.Secret
	Seeds     []netip.AddrPort
	Directory Directory
	Log       *zap.Logger
	Vars      *expvar.Map
	// Policy replaces decisions on flows and requests; nil fields select the defaults.
	Policy Policy
	// DrainDelay is how long a stopping agent keeps its flows open and hands their requests over to peers before it closes
	// them.
	DrainDelay time.Duration
}

// Policy holds the decisions that a load test can replace by a baseline.
type Policy struct {
	// PassFlow reports whether the first choice passes a new flow on to the second; steer.Pass by default.
	PassFlow func(first, second steer.Agent, reportAge time.Duration) bool
	// ChoosePeer returns the index of the peer that runs a request, or -1 to run it locally; offer.Decide by default.
	ChoosePeer func(local offer.LocalState, peers []offer.Peer, now time.Time, random float64) (int, offer.Reason)
}

func (p Policy) withDefaults() Policy {
	if p.PassFlow == nil {
		p.PassFlow = steer.Pass
	}
	if p.ChoosePeer == nil {
		p.ChoosePeer = offer.Decide
	}
	return p
}

// Directory looks up entries in the platform's store.
type Directory interface {
	// Entries returns the control addresses of some entries.
	Entries(ctx context.Context) ([]netip.AddrPort, error)
}

// Agent is a running agent.
type Agent struct {
	opts    Options
	log     *zap.Logger
	service *serviceStateHolder
	keys    *fleet.AtomicKeyring
	// conn is the UDP socket for envelopes, controlLink the one for control datagrams. controlClient calls entries by RPC,
	// and controlListener accepts the connections of peers.
	conn            *mmsg.Conn
	controlLink     *ctrl.Link
	controlClient   *ctrl.Client
	controlListener net.Listener

	// envelopes, transport and http3 serve the flows of callers, http1 the requests of peers.
	envelopes *envelopeConn
	transport *quic.Transport
	http3     *http3.Server
	http1     *http.Server
	peers     *peerSet
	scheduler *scheduler
	requests  *requestTracker
	backend   *backend
	tickets   *ticket.Codec
	counters  *expvar.Map

	openFlows atomic.Int64
	// handshakes is the number of accepted flows whose handshake isn't complete.
	handshakes atomic.Int64
	draining   atomic.Bool
	// stopping is true if this process is shutting down, as opposed to its backend server draining.
	stopping atomic.Bool

	// applyMu is held while a service state is put in force.
	applyMu sync.Mutex
	// mu protects self, the agent's own record.
	mu   sync.Mutex
	self view.Record

	// abortCtx is canceled when the agent must end at once, without draining.
	abortCtx context.Context
	abort    context.CancelFunc
	// refreshRequests has the control address of an entry from which to fetch the service state.
	refreshRequests  chan netip.AddrPort
	ready            chan struct{}
	readyOnce        sync.Once
	lastHandoverID   atomic.Uint64
	handshakeChoices choiceTable
}

// New returns an agent that listens on its addresses.
func New(ctx context.Context, opts Options) (*Agent, error) {
	opts.Policy = opts.Policy.withDefaults()
	a := &Agent{
		opts:            opts,
		log:             opts.Log,
		service:         newServiceStateHolder(),
		keys:            &fleet.AtomicKeyring{},
		tickets:         ticket.NewCodec(opts.Secret),
		counters:        new(expvar.Map),
		refreshRequests: make(chan netip.AddrPort, 1),
		ready:           make(chan struct{}),
	}
	a.abortCtx, a.abort = context.WithCancel(context.WithoutCancel(ctx))
	a.peers = newPeerSet(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), opts.Policy.ChoosePeer)
	a.scheduler = newScheduler(time.Now)
	a.requests = newRequestTracker()
	a.backend = newBackend(opts.Backend)
	a.publishMetrics()
	if err := a.listen(ctx); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// publishMetrics registers the metrics of the agent's state.
func (a *Agent) publishMetrics() {
	vars := a.opts.Vars
	vars.Set("requests", a.counters)
	vars.Set("flows", expvar.Func(func() any { return a.openFlows.Load() }))
	vars.Set("load", expvar.Func(func() any { return a.scheduler.load() }))
	vars.Set("contract_serial", expvar.Func(func() any { return a.service.get().record.Serial }))
	vars.Set("entries", expvar.Func(func() any { return len(a.service.get().entries) }))
	vars.Set("ack_age_seconds", expvar.Func(func() any { return time.Since(a.peers.lastAck()).Seconds() }))
}

func (a *Agent) listen(ctx context.Context) error {
	var err error
	if a.conn, err = mmsg.Listen(ctx, a.opts.Packets, mmsg.Options{}); err != nil {
		return err
	}
	serverTLS, err := a.opts.Secret.TLSConfig("http/1.1")
	if err != nil {
		return err
	}
	clientTLS, err := a.opts.Secret.TLSConfig()
	if err != nil {
		return err
	}
	controlMetrics := new(expvar.Map)
	a.opts.Vars.Set("control", controlMetrics)
	a.controlClient = ctrl.NewClient(clientTLS, controlMetrics)
	a.peers.transport = newPeerTransport(clientTLS)
	a.controlListener, a.controlLink, err = ctrl.Listen(ctx, a.opts.Control, serverTLS, ctrl.NewCodec(a.opts.Secret), controlMetrics)
	if err != nil {
		return err
	}
	a.controlLink.SetHandler(ctrl.KindAck, ctrl.TypedHandler(a.onAck))
	a.controlLink.SetHandler(ctrl.KindLoad, ctrl.TypedHandler(a.onLoad))
	a.http1 = &http.Server{Handler: a.peerHandler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: zap.NewStdLog(zap.NewNop())}
	return nil
}

// Control returns the agent's control address.
func (a *Agent) Control() netip.AddrPort { return a.controlLink.Addr() }

// Packets returns the agent's address for envelopes.
func (a *Agent) Packets() netip.AddrPort { return a.conn.Addr() }

// Ready returns a channel that is closed when the agent accepts flows.
func (a *Agent) Ready() <-chan struct{} { return a.ready }

// Run serves until ctx is done, then drains: it accepts no new requests, waits for those in progress for at most the
// contract's drain time, and closes the agent.
func (a *Agent) Run(ctx context.Context) error {
	defer a.close()
	abortCtx, cancel := a.abortCtx, a.abort
	defer cancel()
	var g run.Group
	g.Add(a.controlLink.Serve, func(error) { _ = a.controlLink.Close() })
	g.Add(a.serveHTTP1, func(error) { _ = a.http1.Close() })
	tasks := []func(context.Context) error{a.runRefreshes, a.runHeartbeats, a.runLoadReports, a.runHealth, a.runScheduler}
	for _, task := range tasks {
		ctx, cancel := context.WithCancel(abortCtx)
		g.Add(func() error { return task(ctx) }, func(error) { cancel() })
	}
	g.Add(func() error { return a.joinAndServe(ctx, abortCtx) }, func(error) { cancel() })
	return g.Run()
}

// serveHTTP1 serves requests of peers. After the server was closed it returns only when the agent ends, as requests may be in
// progress until then.
func (a *Agent) serveHTTP1() error {
	if err := a.http1.Serve(a.controlListener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "agent: serve requests of peers")
	}
	<-a.abortCtx.Done()
	return nil
}

// joinAndServe joins the deployment, serves flows, and drains when ctx is done.
func (a *Agent) joinAndServe(ctx, abortCtx context.Context) error {
	if err := a.join(ctx); err != nil {
		return nil // The agent was stopped before it had joined.
	}
	if err := a.serveFlows(); err != nil {
		return err
	}
	a.readyOnce.Do(func() { close(a.ready) })
	a.log.Info("agent is ready", zap.Stringer("packets", a.conn.Addr()), zap.String("service", a.opts.Service))
	select {
	case <-ctx.Done():
		a.drain(abortCtx)
	case <-abortCtx.Done():
	}
	return nil
}

// Abort ends the agent at once and aborts the requests in progress.
func (a *Agent) Abort() { a.abort() }

// serveFlows starts the HTTP/3 server on the packet socket.
func (a *Agent) serveFlows() error {
	packetMetrics := new(expvar.Map)
	a.opts.Vars.Set("packets", packetMetrics)
	a.envelopes = newEnvelopeConn(a.conn, a.keys, a, a.ownRecord().Incarnation, a.opts.Secret.ResetKey(), packetMetrics)
	resetKey := quic.StatelessResetKey(a.opts.Secret.ResetKey())
	tokenKey := quic.TokenGeneratorKey(a.opts.Secret.Derive("address validation token"))
	a.transport = &quic.Transport{
		Conn:                  a.envelopes,
		ConnectionIDGenerator: connid.NewGenerator(a.keys, a.flowLocation),
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokenKey,
		ConnContext:           a.limitFlows,
	}
	conf := &quic.Config{
		MaxIdleTimeout:          60 * time.Second,
		KeepAlivePeriod:         15 * time.Second,
		MaxIncomingStreams:      256,
		DisablePathMTUDiscovery: true,
		InitialPacketSize:       uint16(min(a.opts.PathMTU-envelopeOverhead, maxPacketSize)),
	}
	ln, err := a.transport.Listen(http3.ConfigureTLSConfig(a.opts.TLS), conf)
	if err != nil {
		return errors.Wrap(err, "agent: listen for flows")
	}
	a.http3 = &http3.Server{Handler: a.callerHandler(), MaxHeaderBytes: maxHeaderBytes, ConnContext: a.countFlow}
	go func() {
		_ = a.http3.ServeListener(ln) // Returns when the transport is closed.
	}()
	return nil
}

const (
	maxHeaderBytes = 32 << 10
	// maxPacketSize is the largest QUIC packet, in bytes, that an agent sends.
	maxPacketSize = 1280
)

// flowLocation returns the service, address and incarnation that connection IDs of this agent's flows encode.
func (a *Agent) flowLocation() connid.Location {
	self := a.ownRecord()
	return connid.Location{Service: self.Service, Agent: self.Packets, Incarnation: connid.TruncateIncarnation(self.Incarnation)}
}

// flowsAndHandshakes returns the number of open flows and of accepted ones whose handshake isn't complete.
func (a *Agent) flowsAndHandshakes() int { return int(a.openFlows.Load() + a.handshakes.Load()) }

// Flows returns the number of open flows.
func (a *Agent) Flows() int { return int(a.openFlows.Load()) }

// limitFlows refuses a new flow if the contract's limit is reached.
func (a *Agent) limitFlows(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if limit := a.service.get().record.Contract.Connections; a.openFlows.Load() >= int64(limit) {
		a.counters.Add("flows_refused", 1)
		return nil, errors.Errorf("agent: the limit of %d open flows is reached", limit)
	}
	return ctx, nil
}

// countFlow counts a flow as open until its connection is closed. The number of handshakes could become negative, as
// runLoadReports reduces it for abandoned ones.
func (a *Agent) countFlow(ctx context.Context, conn *quic.Conn) context.Context {
	a.openFlows.Add(1)
	if a.handshakes.Add(-1) < 0 {
		a.handshakes.Store(0)
	}
	context.AfterFunc(conn.Context(), func() { a.openFlows.Add(-1) })
	return ctx
}

// ownRecord returns the record that this agent publishes to other processes.
func (a *Agent) ownRecord() view.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// identity returns the agent's service number and the serial of its contract.
func (a *Agent) identity() (service uint32, serial uint64) {
	state := a.service.get()
	return state.record.Number, state.record.Serial
}

func (a *Agent) close() {
	if a.http3 != nil {
		_ = a.http3.Close()
	}
	if a.transport != nil {
		_ = a.transport.Close()
	}
	if a.http1 != nil {
		_ = a.http1.Close()
	}
	if a.controlLink != nil {
		_ = a.controlLink.Close()
	}
	if a.conn != nil {
		_ = a.conn.Close()
	}
	if a.controlListener != nil {
		_ = a.controlListener.Close()
	}
	if a.controlClient != nil {
		a.controlClient.Close()
	}
	a.backend.close()
}
