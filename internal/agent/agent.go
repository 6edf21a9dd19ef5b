// Package agent is the process beside each backend server: it ends the flows of callers and brings
// their requests to the backend server, or to a peer agent of the same service.
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

// Options are what an agent works with.
type Options struct {
	// Service is the name of the backend server's service.
	Service string
	// Backend is where the backend server listens, on loopback.
	Backend *url.URL
	// Health is the path of the backend server's health endpoint; empty for none.
	Health string
	// Packets is the UDP address for envelopes.
	Packets netip.AddrPort
	// Control is the TCP and UDP address for other processes.
	Control netip.AddrPort
	Domain  string
	Weight  uint16
	// TLS holds the service's certificate.
	TLS       *tls.Config
	PathMTU   int
	Secret    fleet.Secret
	Seeds     []netip.AddrPort
	Directory Directory
	Log       *zap.Logger
	Vars      *expvar.Map
	// Policy decides about flows and requests; nil fields mean the system's own decisions.
	Policy Policy
	// Notice is how long a stopping agent still serves by its peers before it ends its flows.
	Notice time.Duration
}

// Policy holds decisions that a measurement replaces by a baseline.
type Policy struct {
	// Pass decides whether a new flow is passed on, as steer.Pass does.
	Pass func(first, second steer.Agent, age time.Duration) bool
	// Decide chooses the agent of a request, as offer.Decide does.
	Decide func(own offer.LocalState, peers []offer.Peer, now time.Time, random float64) (int, offer.Reason)
}

func (p Policy) withDefaults() Policy {
	if p.Pass == nil {
		p.Pass = steer.Pass
	}
	if p.Decide == nil {
		p.Decide = offer.Decide
	}
	return p
}

// Directory finds entries in the platform's store.
type Directory interface {
	// Entries returns the control addresses of some entries.
	Entries(ctx context.Context) ([]netip.AddrPort, error)
}

// Agent is a running agent.
type Agent struct {
	opts   Options
	log    *zap.Logger
	know   *knower
	keys   *fleet.AtomicKeyring
	conn   *mmsg.Conn
	link   *ctrl.Link
	client *ctrl.Client
	ln     net.Listener

	env       *envelopeConn
	transport *quic.Transport
	http3     *http3.Server
	http1     *http.Server
	peers     *peerSet
	work      *work
	books     *books
	backend   *backend
	tickets   *ticket.Codec
	counters  *expvar.Map

	flows atomic.Int64
	// opening is the number of flows taken whose handshake isn't over.
	opening  atomic.Int64
	draining atomic.Bool
	// leaving says that this process ends, as opposed to its backend server draining.
	leaving atomic.Bool

	mu   sync.Mutex
	self view.Record

	// life ends when the process must end at once.
	life      context.Context
	abort     context.CancelFunc
	refreshes chan netip.AddrPort
	ready     chan struct{}
	readyOnce sync.Once
	handovers atomic.Uint64
	choices   choiceTable
}

// New returns an agent that is bound to its addresses.
func New(ctx context.Context, opts Options) (*Agent, error) {
	opts.Policy = opts.Policy.withDefaults()
	a := &Agent{
		opts:      opts,
		log:       opts.Log,
		know:      newKnower(),
		keys:      &fleet.AtomicKeyring{},
		tickets:   ticket.NewCodec(opts.Secret),
		counters:  new(expvar.Map),
		refreshes: make(chan netip.AddrPort, 1),
		ready:     make(chan struct{}),
	}
	a.life, a.abort = context.WithCancel(context.WithoutCancel(ctx))
	a.peers = newPeerSet(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), opts.Policy.Decide)
	a.work = newWork(time.Now)
	a.books = newBooks()
	a.backend = newBackend(opts.Backend)
	a.publish()
	if err := a.listen(ctx); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// publish adds the metrics of the agent's state.
func (a *Agent) publish() {
	vars := a.opts.Vars
	vars.Set("requests", a.counters)
	vars.Set("flows", expvar.Func(func() any { return a.flows.Load() }))
	vars.Set("load", expvar.Func(func() any { return a.work.load() }))
	vars.Set("contract_serial", expvar.Func(func() any { return a.know.get().record.Serial }))
	vars.Set("entries", expvar.Func(func() any { return len(a.know.get().entries) }))
	vars.Set("ack_age_seconds", expvar.Func(func() any { return time.Since(a.peers.lastAck()).Seconds() }))
}

func (a *Agent) listen(ctx context.Context) error {
	var err error
	if a.conn, err = mmsg.Listen(ctx, a.opts.Packets, mmsg.Options{}); err != nil {
		return err
	}
	conf, err := a.opts.Secret.TLSConfig("http/1.1")
	if err != nil {
		return err
	}
	dial, err := a.opts.Secret.TLSConfig()
	if err != nil {
		return err
	}
	control := new(expvar.Map)
	a.opts.Vars.Set("control", control)
	a.client = ctrl.NewClient(dial, control)
	a.peers.http = newPeerTransport(dial)
	a.ln, a.link, err = ctrl.Listen(ctx, a.opts.Control, conf, ctrl.NewCodec(a.opts.Secret), control)
	if err != nil {
		return err
	}
	a.link.SetHandler(ctrl.KindAck, ctrl.TypedHandler(a.onAck))
	a.link.SetHandler(ctrl.KindLoad, ctrl.TypedHandler(a.onLoad))
	a.http1 = &http.Server{Handler: a.peerHandler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: zap.NewStdLog(zap.NewNop())}
	return nil
}

// Control returns the agent's control address.
func (a *Agent) Control() netip.AddrPort { return a.link.Addr() }

// Packets returns the agent's address for envelopes.
func (a *Agent) Packets() netip.AddrPort { return a.conn.Addr() }

// Ready is closed when the agent takes flows.
func (a *Agent) Ready() <-chan struct{} { return a.ready }

// Run serves until ctx ends, then drains: it takes no new work, lets the requests in progress end
// within the contract's drain time, and closes.
func (a *Agent) Run(ctx context.Context) error {
	defer a.close()
	inner, cancel := a.life, a.abort
	defer cancel()
	var g run.Group
	g.Add(a.link.Serve, func(error) { _ = a.link.Close() })
	g.Add(a.serveHTTP1, func(error) { _ = a.http1.Close() })
	duties := []func(context.Context) error{a.runRefreshes, a.runBeats, a.runLoads, a.runHealth, a.runWork}
	for _, duty := range duties {
		ctx, cancel := context.WithCancel(inner)
		g.Add(func() error { return duty(ctx) }, func(error) { cancel() })
	}
	g.Add(func() error { return a.lead(ctx, inner) }, func(error) { cancel() })
	return g.Run()
}

func (a *Agent) serveHTTP1() error {
	if err := a.http1.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "agent: serve peers")
	}
	return nil
}

// lead joins the deployment, serves flows, and drains when ctx ends.
func (a *Agent) lead(ctx, inner context.Context) error {
	if err := a.join(ctx); err != nil {
		return nil // Stopped before it had joined.
	}
	if err := a.serveFlows(); err != nil {
		return err
	}
	a.readyOnce.Do(func() { close(a.ready) })
	a.log.Info("agent is ready", zap.Stringer("packets", a.conn.Addr()), zap.String("service", a.opts.Service))
	select {
	case <-ctx.Done():
		a.drain(inner)
	case <-inner.Done():
	}
	return nil
}

// Abort ends the agent at once: what it does is cut.
func (a *Agent) Abort() { a.abort() }

// serveFlows starts QUIC on the packet socket.
func (a *Agent) serveFlows() error {
	packets := new(expvar.Map)
	a.opts.Vars.Set("packets", packets)
	a.env = newEnvelopeConn(a.conn, a.keys, a, a.record().Incarnation, a.opts.Secret.ResetKey(), packets)
	resetKey := quic.StatelessResetKey(a.opts.Secret.ResetKey())
	tokenKey := quic.TokenGeneratorKey(a.opts.Secret.Derive("address validation token"))
	a.transport = &quic.Transport{
		Conn:                  a.env,
		ConnectionIDGenerator: connid.NewGenerator(a.keys, a.home),
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

// home returns where this agent's flows live.
func (a *Agent) home() connid.Home {
	self := a.record()
	return connid.Home{Service: self.Service, Agent: self.Packets, Incarnation: connid.Cut(self.Incarnation)}
}

// flowCount returns the number of flows that the agent holds or has taken.
func (a *Agent) flowCount() int { return int(a.flows.Load() + a.opening.Load()) }

// Flows returns the number of flows that the agent holds.
func (a *Agent) Flows() int { return int(a.flows.Load()) }

// limitFlows refuses a flow above the contract's limit.
func (a *Agent) limitFlows(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if limit := a.know.get().record.Contract.Connections; a.flows.Load() >= int64(limit) {
		a.counters.Add("flows_refused", 1)
		return nil, errors.Errorf("agent: %d flows are open", limit)
	}
	return ctx, nil
}

func (a *Agent) countFlow(ctx context.Context, conn *quic.Conn) context.Context {
	a.flows.Add(1)
	if a.opening.Add(-1) < 0 {
		a.opening.Store(0)
	}
	context.AfterFunc(conn.Context(), func() { a.flows.Add(-1) })
	return ctx
}

// record returns the agent's own record.
func (a *Agent) record() view.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// identity returns the agent's service number and the serial of its contract.
func (a *Agent) identity() (service uint32, serial uint64) {
	k := a.know.get()
	return k.record.Number, k.record.Serial
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
	if a.link != nil {
		_ = a.link.Close()
	}
	if a.conn != nil {
		_ = a.conn.Close()
	}
	if a.ln != nil {
		_ = a.ln.Close()
	}
	if a.client != nil {
		a.client.Close()
	}
	a.backend.close()
}
