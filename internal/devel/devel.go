package devel

import (
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/agent"
	"github.com/bergamotrun/bergamotrun/internal/entry"
	"github.com/bergamotrun/bergamotrun/internal/fabric"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/internal/store"
)

const (
	pathMTU      = 1500
	agentWeight  = 100
	startTimeout = 20 * time.Second
	entryLeave   = 1500 * time.Millisecond
	agentNotice  = 1500 * time.Millisecond
)

// Options are what a deployment is started with.
type Options struct {
	Spec *Spec
	Seed uint64
	Log  *zap.Logger
	// Policy replaces the agents' decisions, for a measurement.
	Policy func() agent.Policy
}

// Deployment is a running deployment.
type Deployment struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	Store     *kvfake.Store
	Fabric    *fabric.Fabric
	Authority *Authority
	Secret    fleet.Secret
	StoreURL  *url.URL

	mu       sync.Mutex
	entries  []*Entry
	services []*Service
	created  int
	wg       sync.WaitGroup
}

// Service is a service of a deployment.
type Service struct {
	Spec    ServiceSpec
	Address netip.AddrPort
	cert    tls.Certificate
	Targets []*Target
}

// Target is a backend server with its agent.
type Target struct {
	Name   string
	Domain string
	Server *sample.Server
	Agent  *agent.Agent
	Vars   *expvar.Map
	stop   context.CancelFunc
	done   chan struct{}
}

// Entry is an entry of a deployment.
type Entry struct {
	*entry.Entry
	Bind netip.Addr
	Vars *expvar.Map
	stop context.CancelFunc
	done chan struct{}
}

// Start starts a deployment and waits until all its services answer.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{opts: opts, ctx: ctx, cancel: cancel, Store: kvfake.New(), Fabric: fabric.New(opts.Seed)}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	var err error
	if d.Authority, err = NewAuthority(); err != nil {
		return err
	}
	d.Secret, err = fleet.SecretFromText(fmt.Sprintf("secret of the dev deployment %d", d.opts.Seed))
	if err != nil {
		return err
	}
	if err := d.startStore(); err != nil {
		return err
	}
	d.Fabric.SetFaults(fabric.Faults{Delay: d.opts.Spec.callerDelay()})
	for range d.opts.Spec.Entries {
		if _, err := d.AddEntry(); err != nil {
			return err
		}
	}
	for i := range d.opts.Spec.Services {
		if err := d.startService(d.opts.Spec.Services[i]); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

func (d *Deployment) startStore() error {
	var lc net.ListenConfig
	ln, err := lc.Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "devel: start the store's stand-in")
	}
	server := &http.Server{Handler: d.Store, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(d.ctx, func() { _ = server.Close() })
	go func() {
		_ = server.Serve(ln) // Returns when the server is closed.
	}()
	d.StoreURL = &url.URL{Scheme: "http", Host: ln.Addr().String()}
	return nil
}

// loopback returns a loopback IP of this deployment's own for its n-th instance.
func (d *Deployment) loopback(n int) netip.Addr {
	seed := d.opts.Seed%200 + 20
	return netip.AddrFrom4([4]byte{127, byte(seed), byte(n >> 8), byte(n)})
}

// AddEntry starts an entry, waits until it is ready and lets callers' datagrams reach it.
func (d *Deployment) AddEntry() (*Entry, error) {
	d.mu.Lock()
	d.created++
	n := d.created
	seeds := d.seeds()
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(d.ctx)
	e := &Entry{Bind: d.loopback(n), Vars: new(expvar.Map), stop: cancel, done: make(chan struct{})}
	var err error
	e.Entry, err = entry.New(ctx, entry.Options{
		Bind: e.Bind, Packets: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:0"),
		Domain: d.opts.Spec.domainOf(n), AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		PathMTU: pathMTU, Workers: 1, Secret: d.Secret, Store: store.New(d.StoreURL, "", new(expvar.Map)),
		Seeds: seeds, Log: d.opts.Log.With(zap.String("role", "entry"), zap.Int("entry", n)), Vars: e.Vars, Leave: entryLeave,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	d.run(e.done, func() error { return e.Run(ctx) })
	if err := await(d.ctx, e.Ready()); err != nil {
		cancel()
		return nil, errors.Wrapf(err, "devel: entry %d is not ready", n)
	}
	d.mu.Lock()
	d.entries = append(d.entries, e)
	d.mu.Unlock()
	d.setFabric()
	return e, nil
}

func (d *Deployment) run(done chan struct{}, f func() error) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer close(done)
		if err := f(); err != nil {
			d.opts.Log.Error("a process ended with an error", zap.Error(err))
		}
	}()
}

func (d *Deployment) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range d.entries {
		out = append(out, e.Control())
	}
	return out
}

func (d *Deployment) setFabric() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ips []netip.Addr
	for _, e := range d.entries {
		ips = append(ips, e.Bind)
	}
	d.Fabric.SetEntries(ips...)
}

func await(ctx context.Context, ready <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Entries returns the running entries.
func (d *Deployment) Entries() []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Entry(nil), d.entries...)
}

// StopEntry takes an entry out of the fabric and stops it as planned.
func (d *Deployment) StopEntry(e *Entry) {
	d.forget(e)
	e.stop()
	<-e.done
}

// forget takes an entry out of the fabric.
func (d *Deployment) forget(e *Entry) {
	d.mu.Lock()
	for i := range d.entries {
		if d.entries[i] == e {
			d.entries = append(d.entries[:i:i], d.entries[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	d.setFabric()
}

// Services returns the deployment's services.
func (d *Deployment) Services() []*Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Service(nil), d.services...)
}

func (d *Deployment) startService(spec ServiceSpec) error {
	address, err := d.Fabric.AddService(netip.AddrPortFrom(d.loopback(0), 0))
	if err != nil {
		return err
	}
	s := &Service{Spec: spec, Address: address}
	if s.cert, err = d.Authority.Issue(spec.Name); err != nil {
		return err
	}
	contract := spec.contract(address)
	change := journ.Change{
		ID: "dev creates " + spec.Name, Op: journ.Create, Who: "dev", Why: "part of the deployment",
		When: time.Now(), Name: spec.Name, Contract: &contract,
	}
	if _, err := d.Entries()[0].Journal().Commit(d.ctx, change); err != nil {
		return err
	}
	d.mu.Lock()
	d.services = append(d.services, s)
	d.mu.Unlock()
	for range spec.Targets {
		if _, err := d.AddTarget(s); err != nil {
			return err
		}
	}
	return nil
}

// AddTarget starts a backend server of a service with its agent; it doesn't wait until the agent is ready.
func (d *Deployment) AddTarget(s *Service) (*Target, error) {
	n := len(s.Targets)
	t := &Target{
		Name: fmt.Sprintf("%s-%d", s.Spec.Name, n), Domain: d.opts.Spec.domainOf(n),
		Vars: new(expvar.Map), done: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(d.ctx)
	t.stop = cancel
	var err error
	t.Server, err = sample.Start(d.ctx, "127.0.0.1:0", sample.Options{
		Service: s.Spec.Name, Name: t.Name, Slots: s.Spec.Slots, Slowness: s.Spec.slownessOf(n),
	})
	if err != nil {
		cancel()
		return nil, err
	}
	t.Agent, err = agent.New(ctx, agent.Options{
		Service: s.Spec.Name, Backend: t.Server.URL(), HealthPath: "/health",
		Packets: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:0"),
		Domain: t.Domain, Weight: agentWeight,
		TLS: &tls.Config{Certificates: []tls.Certificate{s.cert}, MinVersion: tls.VersionTLS13}, PathMTU: pathMTU,
		Secret: d.Secret, Seeds: d.seedsNow(), Directory: store.New(d.StoreURL, "", new(expvar.Map)),
		Log:  d.opts.Log.With(zap.String("role", "agent"), zap.String("target", t.Name)),
		Vars: t.Vars, DrainDelay: agentNotice, Policy: d.policy(),
	})
	if err != nil {
		cancel()
		t.Server.Close()
		return nil, err
	}
	d.run(t.done, func() error { return t.Agent.Run(ctx) })
	s.Targets = append(s.Targets, t)
	return t, nil
}

func (d *Deployment) seedsNow() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seeds()
}

func (d *Deployment) policy() agent.Policy {
	if d.opts.Policy == nil {
		return agent.Policy{}
	}
	return d.opts.Policy()
}

// Done is closed when the target's agent has ended.
func (t *Target) Done() <-chan struct{} { return t.done }

// Drain asks the target's agent to stop, and doesn't wait.
func (t *Target) Drain() { t.stop() }

// awaitReady waits until each entry knows each service's agents.
func (d *Deployment) awaitReady() error {
	for _, s := range d.Services() {
		for _, t := range s.Targets {
			if err := await(d.ctx, t.Agent.Ready()); err != nil {
				return errors.Wrapf(err, "devel: agent of %s is not ready", t.Name)
			}
		}
	}
	return WaitUntil(d.ctx, startTimeout, func() bool {
		for _, e := range d.Entries() {
			for _, s := range d.Services() {
				if e.Table().AgentCount(s.Address) < len(s.Targets) {
					return false
				}
			}
		}
		return true
	})
}

// WaitUntil waits until done returns true. It returns an error when that takes longer than limit.
func WaitUntil(ctx context.Context, limit time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Errorf("not so within %s", limit)
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends all that runs.
func (d *Deployment) Close() {
	for _, s := range d.services {
		for _, t := range s.Targets {
			t.Agent.Abort()
		}
	}
	for _, e := range d.entries {
		e.Abort()
	}
	d.cancel()
	d.wg.Wait()
	d.Fabric.Close()
	for _, s := range d.services {
		for _, t := range s.Targets {
			t.Server.Close()
		}
	}
}
