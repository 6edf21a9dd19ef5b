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
	// entryDrainDelay is the option Leave of entries, agentDrainDelay the option DrainDelay of agents.
	entryDrainDelay = 1500 * time.Millisecond
	agentDrainDelay = 1500 * time.Millisecond
)

// Options configure a deployment.
type Options struct {
	Spec *Spec
	// Seed is the seed of the fabric. It also selects the loopback addresses, so deployments that run at the same time need
	// seeds that differ modulo 200.
	Seed uint64
	Log  *zap.Logger
	// Policy returns the policy of each agent, for measurements; nil selects the defaults.
	Policy func() agent.Policy
}

// Deployment is a running deployment: a fake store, a fabric, entries, agents and sample backend servers.
type Deployment struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	Store     *kvfake.Store
	Fabric    *fabric.Fabric
	Authority *Authority
	Secret    fleet.Secret
	StoreURL  *url.URL

	mu             sync.Mutex
	entries        []*Entry
	services       []*Service
	entriesCreated int
	// processes waits for all entries and agents.
	processes sync.WaitGroup
}

// Service is a service of a deployment.
type Service struct {
	Spec    ServiceSpec
	Address netip.AddrPort
	cert    tls.Certificate
	Targets []*Target
}

// Target is a backend server and its agent, whose metrics are in Vars.
type Target struct {
	Name   string
	Domain string
	Server *sample.Server
	Agent  *agent.Agent
	Vars   *expvar.Map
	cancel context.CancelFunc
	done   chan struct{}
}

// Entry is an entry of a deployment. Bind is the IP address at which it receives datagrams from the fabric, Vars its
// metrics.
type Entry struct {
	*entry.Entry
	Bind   netip.Addr
	Vars   *expvar.Map
	cancel context.CancelFunc
	done   chan struct{}
}

// Start starts a deployment and waits until all agents are ready and each entry can send new flows to all of them.
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
	return d.waitAllReady()
}

func (d *Deployment) startStore() error {
	var lc net.ListenConfig
	ln, err := lc.Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "devel: listen for the fake store")
	}
	server := &http.Server{Handler: d.Store, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(d.ctx, func() { _ = server.Close() })
	go func() {
		_ = server.Serve(ln) // Returns when the server is closed.
	}()
	d.StoreURL = &url.URL{Scheme: "http", Host: ln.Addr().String()}
	return nil
}

// loopbackAddr returns the n-th loopback address of this deployment. The second byte, 20 to 219, follows from the seed.
func (d *Deployment) loopbackAddr(n int) netip.Addr {
	secondByte := d.opts.Seed%200 + 20
	return netip.AddrFrom4([4]byte{127, byte(secondByte), byte(n >> 8), byte(n)})
}

// AddEntry starts an entry, waits until it is ready and adds it to the fabric.
func (d *Deployment) AddEntry() (*Entry, error) {
	d.mu.Lock()
	d.entriesCreated++
	n := d.entriesCreated
	seeds := d.seedAddrsLocked()
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(d.ctx)
	e := &Entry{Bind: d.loopbackAddr(n), Vars: new(expvar.Map), cancel: cancel, done: make(chan struct{})}
	var err error
	e.Entry, err = entry.New(ctx, entry.Options{
		Bind: e.Bind, Packets: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:0"),
		Domain: d.opts.Spec.domainAt(n), AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		PathMTU: pathMTU, Workers: 1, Secret: d.Secret, Store: store.New(d.StoreURL, "", new(expvar.Map)),
		Seeds: seeds, Log: d.opts.Log.With(zap.String("role", "entry"), zap.Int("entry", n)), Vars: e.Vars, Leave: entryDrainDelay,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	d.runProcess(e.done, func() error { return e.Run(ctx) })
	if err := waitReady(d.ctx, e.Ready()); err != nil {
		cancel()
		return nil, errors.Wrapf(err, "devel: entry %d is not ready", n)
	}
	d.mu.Lock()
	d.entries = append(d.entries, e)
	d.mu.Unlock()
	d.updateFabric()
	return e, nil
}

// runProcess runs an entry or agent in the background and closes done when it has ended.
func (d *Deployment) runProcess(done chan struct{}, run func() error) {
	d.processes.Add(1)
	go func() {
		defer d.processes.Done()
		defer close(done)
		if err := run(); err != nil {
			d.opts.Log.Error("entry or agent exited with an error", zap.Error(err))
		}
	}()
}

// seedAddrsLocked returns the control addresses of the entries, by which a new process joins. The caller must hold d.mu.
func (d *Deployment) seedAddrsLocked() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, e := range d.entries {
		addrs = append(addrs, e.Control())
	}
	return addrs
}

// updateFabric makes the fabric send datagrams to the current entries only.
func (d *Deployment) updateFabric() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ips []netip.Addr
	for _, e := range d.entries {
		ips = append(ips, e.Bind)
	}
	d.Fabric.SetEntries(ips...)
}

func waitReady(ctx context.Context, ready <-chan struct{}) error {
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

// StopEntry removes an entry from the fabric, stops it gracefully and waits until it has stopped.
func (d *Deployment) StopEntry(e *Entry) {
	d.removeEntry(e)
	e.cancel()
	<-e.done
}

// removeEntry removes an entry from the deployment and the fabric.
func (d *Deployment) removeEntry(e *Entry) {
	d.mu.Lock()
	for i := range d.entries {
		if d.entries[i] == e {
			d.entries = append(d.entries[:i:i], d.entries[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	d.updateFabric()
}

// Services returns the services of the deployment.
func (d *Deployment) Services() []*Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Service(nil), d.services...)
}

func (d *Deployment) startService(spec ServiceSpec) error {
	address, err := d.Fabric.AddService(netip.AddrPortFrom(d.loopbackAddr(0), 0))
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

// AddTarget starts a backend server and its agent for a service. It does not wait until the agent is ready.
func (d *Deployment) AddTarget(s *Service) (*Target, error) {
	n := len(s.Targets)
	t := &Target{
		Name: fmt.Sprintf("%s-%d", s.Spec.Name, n), Domain: d.opts.Spec.domainAt(n),
		Vars: new(expvar.Map), done: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(d.ctx)
	t.cancel = cancel
	var err error
	t.Server, err = sample.Start(d.ctx, "127.0.0.1:0", sample.Options{
		Service: s.Spec.Name, Name: t.Name, Slots: s.Spec.Slots, Slowness: s.Spec.slownessAt(n),
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
		Secret: d.Secret, Seeds: d.seedAddrs(), Directory: store.New(d.StoreURL, "", new(expvar.Map)),
		Log:  d.opts.Log.With(zap.String("role", "agent"), zap.String("target", t.Name)),
		Vars: t.Vars, DrainDelay: agentDrainDelay, Policy: d.newPolicy(),
	})
	if err != nil {
		cancel()
		t.Server.Close()
		return nil, err
	}
	d.runProcess(t.done, func() error { return t.Agent.Run(ctx) })
	s.Targets = append(s.Targets, t)
	return t, nil
}

func (d *Deployment) seedAddrs() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seedAddrsLocked()
}

func (d *Deployment) newPolicy() agent.Policy {
	if d.opts.Policy == nil {
		return agent.Policy{}
	}
	return d.opts.Policy()
}

// Done returns a channel that is closed when the target's agent has stopped.
func (t *Target) Done() <-chan struct{} { return t.done }

// Drain starts a graceful stop of the target's agent and does not wait for it.
func (t *Target) Drain() { t.cancel() }

// waitAllReady waits until all agents are ready and each entry can send new flows to all of them.
func (d *Deployment) waitAllReady() error {
	for _, s := range d.Services() {
		for _, t := range s.Targets {
			if err := waitReady(d.ctx, t.Agent.Ready()); err != nil {
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

// WaitUntil polls condition until it returns true. It returns an error if that takes longer than timeout.
func WaitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("condition not met within %s", timeout)
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops the deployment at once, without draining.
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
	d.processes.Wait()
	d.Fabric.Close()
	for _, s := range d.services {
		for _, t := range s.Targets {
			t.Server.Close()
		}
	}
}
