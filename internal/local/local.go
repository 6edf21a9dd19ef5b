// Package local runs the programs for opaque flows as processes on this machine's loopback addresses, among stand-ins
// of the platform's store, the fabric, clients and backend servers.
package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// ApplyTimeout is how soon a configuration must be in force, as the processes' settings say.
	ApplyTimeout = 3 * time.Second
	// GracePeriod is how long a process may take to stop.
	GracePeriod = 6 * time.Second
	heartbeat   = time.Second
	// startTime is how long the entries may take until all are ready.
	startTime = 20 * time.Second
	domains   = 3
	// servicePort is the port of all services' addresses.
	servicePort = 8443
)

// Service is a service of a deployment with its backend servers.
type Service struct {
	Name string
	// Servers is the number of backend servers, Slots how many requests each works on at the same time.
	Servers, Slots int
	// Slowness multiplies the work of each server, in turn; 1 when empty.
	Slowness []float64
	// Queue is how many requests a server lets wait; it sheds others. 0 means any number.
	Queue int
}

// Options are what a deployment needs.
type Options struct {
	Entries  int
	Services []Service
	// Slot keeps deployments at the same time apart, from 0 to MostSlots-1.
	Slot int
	// Loss is the part of clients' packets that the fabric loses.
	Loss float64
	// Binary is the program, Dir takes its settings and logs.
	Binary, Dir string
	// Work returns how long a request takes at a server of slowness 1.
	Work func(request string) time.Duration
	// Watcher is told what clients and servers see; the deployment waits for it.
	Watcher Watcher
}

// Watcher is told what happens in a deployment.
type Watcher interface {
	fakes.ServerWatcher
	// Reset is told of resets of the system's own.
	Reset(by netip.Addr, client, service netip.AddrPort, open bool)
	// Configured is told of each configuration that the store has got.
	Configured(routes []fakes.Route)
}

// NopWatcher is a watcher that does nothing.
type NopWatcher struct{}

// Opened does nothing.
func (NopWatcher) Opened(*fakes.Server, netip.AddrPort, netip.AddrPort) {}

// Ran does nothing.
func (NopWatcher) Ran(*fakes.Server, string) {}

// Forged does nothing.
func (NopWatcher) Forged(string) {}

// Reset does nothing.
func (NopWatcher) Reset(netip.Addr, netip.AddrPort, netip.AddrPort, bool) {}

// Configured does nothing.
func (NopWatcher) Configured([]fakes.Route) {}

// Deployment is a running system with its surroundings.
type Deployment struct {
	// Entries and Agents are its processes, Proxies what stands between each and the store.
	Entries, Agents []*Process
	Proxies         map[*Process]*Proxy
	Store           *fakes.Store

	opts      Options
	addresses map[string]netip.AddrPort
	// beside holds what is beside each agent.
	beside map[*Process]place
	ln     net.Listener
	http   *http.Server

	mu sync.Mutex
	// rotation are the entries that the fabric sends packets to.
	rotation []*Process
	misses   map[*Process]int
	// loss is the part of clients' packets that the fabric loses, cut the entry to which it loses all.
	loss    float64
	cut     *Process
	servers map[*Process]*fakes.Server
	born    int
	version uint64
	extra   []fakes.Route
	clients []*fakes.Client
}

// place says which server of which service is beside an agent, and in which failure domain.
type place struct {
	service, server int
	domain          string
}

// groups is how many groups of addresses a deployment has, and MaxSlots how many deployments fit beside each other.
const (
	groups   = 5
	MaxSlots = 40
)

const (
	groupStore = 20 + iota
	groupProxy
	groupEntry
	groupAgent
	groupClient
)

// ip returns the n-th loopback address of a group.
func (o *Options) ip(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(group + o.Slot*groups), byte(n >> 8), byte(n&0xff + 1)})
}

// New prepares a deployment; Start starts its processes. Close ends both.
func New(opts Options) (*Deployment, error) {
	if opts.Slot < 0 || opts.Slot >= MaxSlots {
		return nil, errors.Errorf("slot %d: must be 0 to %d", opts.Slot, MaxSlots-1)
	}
	d := &Deployment{
		opts: opts, loss: opts.Loss, Store: fakes.NewStore(), Proxies: make(map[*Process]*Proxy), addresses: make(map[string]netip.AddrPort),
		beside: make(map[*Process]place), misses: make(map[*Process]int), servers: make(map[*Process]*fakes.Server),
	}
	storeAt := netip.AddrPortFrom(opts.ip(groupStore, 0), portStore)
	ln, err := net.Listen("tcp4", storeAt.String())
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	d.ln = ln
	d.http = &http.Server{Handler: d.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.http.Serve(ln) }() // It ends when the deployment is closed.
	for i, s := range opts.Services {
		d.addresses[s.Name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), servicePort)
	}
	if err := d.configure(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.addProcesses(storeAt); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) addProcesses(storeAt netip.AddrPort) error {
	for i := range d.opts.Entries {
		p, err := d.addProcess(i, "relay", groupEntry, "", storeAt)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, p)
	}
	// The services' agents alternate, so that each service has some in each failure domain.
	for k, more := 0, true; more; k++ {
		more = false
		for n, s := range d.opts.Services {
			if k >= s.Servers {
				continue
			}
			more = true
			p, err := d.addProcess(len(d.Agents), "deliver", groupAgent, s.Name, storeAt)
			if err != nil {
				return err
			}
			d.beside[p] = place{n, k, domain(len(d.Agents))}
			d.Agents = append(d.Agents, p)
		}
	}
	return nil
}

// addProcess prepares the i-th process of a command, with a proxy between it and the store.
func (d *Deployment) addProcess(i int, command string, group int, service string, storeAt netip.AddrPort) (*Process, error) {
	at := d.opts.ip(group, i)
	proxyAt := netip.AddrPortFrom(d.opts.ip(groupProxy, len(d.Entries)+len(d.Agents)), portStore)
	px, err := newProxy(proxyAt, storeAt)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", command, i)
	p, err := newProcess(d.opts.Dir, d.opts.Binary, name, command, at, d.settings(at, command, service, proxyAt, i))
	if err != nil {
		px.close()
		return nil, err
	}
	d.Proxies[p] = px
	return p, nil
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

// settings returns the settings of a process.
func (d *Deployment) settings(at netip.Addr, command, service string, store netip.AddrPort, i int) string {
	s := fmt.Sprintf("domain = %q\nsecret = %q\nhosts = [\"%s:%d\", \"%s:%d\"]\n", domain(i), "secret of a local deployment",
		d.opts.ip(groupEntry, 0), portAnnounce, d.opts.ip(groupEntry, 1), portAnnounce)
	for _, a := range []struct {
		name string
		port int
	}{{"control", portControl}, {"hops", portHops}, {"clients", portClients}, {"ready", portReady}, {"metrics", portMetrics}, {"announce", portAnnounce}} {
		s += fmt.Sprintf("%s = \"%s:%d\"\n", a.name, at, a.port)
	}
	s += fmt.Sprintf("store = %q\napply = %q\nstop = %q\n", store, ApplyTimeout, GracePeriod)
	if command == "deliver" {
		s += fmt.Sprintf("outbound = \"%s:%d\"\nserver = \"%s:%d\"\nservice = %q\nheartbeat = %q\n", at, portOutbound, at, portServer, service, heartbeat)
	}
	return s
}

// Start starts all processes and servers, and waits until the entries are ready. The fabric works until ctx ends.
func (d *Deployment) Start(ctx context.Context) error {
	for _, p := range append(append([]*Process(nil), d.Agents...), d.Entries...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range d.Agents {
		if err := d.StartServer(p); err != nil {
			return err
		}
	}
	go d.probe(ctx)
	return d.AwaitEntries(ctx)
}

// StartServer starts a new server beside an agent, in place of the former one.
func (d *Deployment) StartServer(p *Process) error { return d.StartServerWithClock(p, 0) }

// StartServerWithClock is StartServer for a server whose time of day is ahead by clock.
func (d *Deployment) StartServerWithClock(p *Process, clock time.Duration) error {
	d.mu.Lock()
	d.born++
	id := fmt.Sprintf("s-%d", d.born)
	old := d.servers[p]
	d.mu.Unlock()
	if old != nil {
		old.Stop(false)
	}
	at := d.beside[p]
	service := d.opts.Services[at.service]
	slowness := 1.0
	if n := len(service.Slowness); n > 0 {
		slowness = service.Slowness[at.server%n]
	}
	s, err := fakes.StartServer(fakes.ServerOptions{
		ID: id, Service: service.Name, Domain: at.domain,
		App: netip.AddrPortFrom(p.IP, portServer), Outbound: netip.AddrPortFrom(p.IP, portOutbound),
		Control: netip.AddrPortFrom(p.IP, portAnnounce), Slots: service.Slots, Queue: service.Queue, Interval: heartbeat,
		Work:  func(request string) time.Duration { return time.Duration(slowness * float64(d.opts.Work(request))) },
		Clock: clock, Watcher: d.opts.Watcher,
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.servers[p] = s
	d.mu.Unlock()
	return nil
}

// Server returns the server beside an agent.
func (d *Deployment) Server(p *Process) *fakes.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[p]
}

// Processes returns all processes.
func (d *Deployment) Processes() []*Process {
	return append(append([]*Process(nil), d.Entries...), d.Agents...)
}

// ServiceAddress returns the address of a service.
func (d *Deployment) ServiceAddress(service string) netip.AddrPort { return d.addresses[service] }

// NewClient opens the i-th client machine.
func (d *Deployment) NewClient(i int) (*fakes.Client, error) {
	c, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.AddrPortFrom(d.opts.ip(groupClient, i), portClients), Route: d.route,
		Watcher: d.opts.Watcher,
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.clients = append(d.clients, c)
	d.mu.Unlock()
	return c, nil
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() {
	d.mu.Lock()
	for _, c := range d.clients {
		c.Close()
	}
	d.mu.Unlock()
	for _, p := range d.Processes() {
		p.Kill()
	}
	d.mu.Lock()
	for _, s := range d.servers {
		go s.Stop(false)
	}
	d.mu.Unlock()
	for _, px := range d.Proxies {
		px.close()
	}
	_ = d.ln.Close() // The HTTP server closes it only once it has begun to serve.
	_ = d.http.Close()
}
