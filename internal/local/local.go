// Package local runs relay and deliver processes for opaque flows on loopback addresses, with fakes of the platform's
// store, the fabric, clients and backend servers.
package local

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// ApplyTimeout is the setting "apply" of all processes: how soon an accepted configuration must be in force.
	ApplyTimeout = 3 * time.Second
	// GracePeriod is the setting "stop" of all processes: how long a process may take to stop.
	GracePeriod       = 6 * time.Second
	heartbeatInterval = time.Second
	// startTimeout limits the time until all entries are ready.
	startTimeout = 20 * time.Second
	domainCount  = 3
	// servicePort is the port of all service addresses.
	servicePort = 8443
)

// Service describes a service and its backend servers.
type Service struct {
	Name string
	// Servers is the number of backend servers, Slots the number of requests that each processes concurrently.
	Servers, Slots int
	// Slowness holds factors on the service time, assigned to the servers in turn. If empty, the factor is 1.
	Slowness []float64
	// Queue is the number of requests that may wait at a server; it sheds further ones. 0 means no limit.
	Queue int
	// MaxFlows is the number of flows that a server holds; it bounces the SYNs of further ones. 0 means no limit.
	MaxFlows int
}

// Options configure a deployment.
type Options struct {
	Entries  int
	Services []Service
	// Slot selects the loopback addresses, from 0 to MaxSlots-1. Concurrent deployments need different slots.
	Slot int
	// Loss is the probability that the fabric drops a packet of a client.
	Loss float64
	// ByDomain makes the fabric send each client's packets to the entries of one failure domain, as long as any of them is in rotation.
	ByDomain bool
	// ClientPorts is the number of ports that a client's flows use one after the other, or at random with RandomPorts. 0 means all.
	ClientPorts int
	RandomPorts bool
	// Binary is the path of the bergamotrun executable, Dir the directory for settings and logs.
	Binary, Dir string
	// ServiceTime returns the service time of a request at a server of slowness 1. ResponseSize and IdleTime are those of
	// fakes.ServerOptions.
	ServiceTime  func(request string) time.Duration
	ResponseSize func(request string) int
	IdleTime     time.Duration
	// Watcher receives the events of clients and servers, synchronously.
	Watcher Watcher
}

// Watcher receives the events of a deployment.
type Watcher interface {
	fakes.ServerWatcher
	// Reset is called for each reset that an entry or agent sent to a client; open reports whether the flow was open.
	Reset(by netip.Addr, client, service netip.AddrPort, open bool)
	// Configured is called after each configuration that was written to the store.
	Configured(routes []fakes.Route)
}

// NopWatcher is a Watcher that ignores all events.
type NopWatcher struct{}

// Opened does nothing.
func (NopWatcher) Opened(*fakes.Server, netip.AddrPort, netip.AddrPort) {}

// Received does nothing.
func (NopWatcher) Received(*fakes.Server, netip.AddrPort, netip.AddrPort, bool) {}

// RequestStarted does nothing.
func (NopWatcher) RequestStarted(*fakes.Server, string) {}

// Forged does nothing.
func (NopWatcher) Forged(string) {}

// Reset does nothing.
func (NopWatcher) Reset(netip.Addr, netip.AddrPort, netip.AddrPort, bool) {}

// Configured does nothing.
func (NopWatcher) Configured([]fakes.Route) {}

// Deployment is a set of processes with the fakes that they run against.
type Deployment struct {
	// Entries are the relay processes, Agents the deliver processes. Proxies holds the TCP proxy between each process and
	// the store.
	Entries, Agents []*Process
	Proxies         map[*Process]*Proxy
	Store           *fakes.Store

	opts         Options
	serviceAddrs map[string]netip.AddrPort
	// placements describes the backend server next to each agent.
	placements    map[*Process]placement
	storeListener net.Listener
	storeServer   *http.Server

	// configMu orders configurations: the store and the watcher get each one before the next is made.
	configMu sync.Mutex

	mu sync.Mutex
	// rotation holds the entries that the fabric sends packets to, probeFailures the consecutive failed readiness checks.
	rotation      []*Process
	probeFailures map[*Process]int
	// loss is the probability that the fabric drops a client's packet, isolated the entry to which it drops all packets, and withdrawn the
	// one that is out of rotation although it is ready.
	loss                float64
	isolated, withdrawn *Process
	// servers holds the current backend server next to each agent, serversStarted the number of all that were started,
	// which numbers their IDs.
	servers        map[*Process]*fakes.Server
	serversStarted int
	configVersion  uint64
	// extraRoutes are the routes added by ChangeRoutes.
	extraRoutes []fakes.Route
	// lastRoutes are the routes of the newest configuration.
	lastRoutes []fakes.Route
	clients    []*fakes.Client
}

// placement is the position of a backend server: the index of its service, its index in the service and its failure
// domain.
type placement struct {
	service, server int
	domain          string
}

// groupsPerSlot is the number of address groups of a deployment, MaxSlots the number of deployments that can run at the
// same time.
const (
	groupsPerSlot = 5
	MaxSlots      = 40
)

// The address groups of slot 0: the second byte of their loopback addresses.
const (
	groupStore = 20 + iota
	groupProxy
	groupEntry
	groupAgent
	groupClient
)

// ip returns the n-th loopback address of a group.
func (o *Options) ip(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(group + o.Slot*groupsPerSlot), byte(n >> 8), byte(n&0xff + 1)})
}

// New starts the store and prepares the processes, which Start starts. Close kills the processes and stops the fakes.
func New(opts Options) (*Deployment, error) {
	if opts.Slot < 0 || opts.Slot >= MaxSlots {
		return nil, errors.Errorf("slot %d is out of range: must be 0 to %d", opts.Slot, MaxSlots-1)
	}
	d := &Deployment{
		opts: opts, loss: opts.Loss, Store: fakes.NewStore(), Proxies: make(map[*Process]*Proxy), serviceAddrs: make(map[string]netip.AddrPort),
		placements: make(map[*Process]placement), probeFailures: make(map[*Process]int), servers: make(map[*Process]*fakes.Server),
	}
	storeAddr := netip.AddrPortFrom(opts.ip(groupStore, 0), portStore)
	ln, err := fakes.Listen(func() (net.Listener, error) { return net.Listen("tcp4", storeAddr.String()) })
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	d.storeListener = ln
	d.storeServer = &http.Server{Handler: d.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.storeServer.Serve(ln) }() // Returns when the deployment is closed.
	for i, s := range opts.Services {
		d.serviceAddrs[s.Name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), servicePort)
	}
	if err := d.configure(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.addProcesses(storeAddr); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) addProcesses(storeAddr netip.AddrPort) error {
	for i := range d.opts.Entries {
		p, err := d.addProcess(i, "relay", groupEntry, "", storeAddr)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, p)
	}
	// Agents of the services alternate, so that the agents of each service spread over the failure domains.
	for round, added := 0, true; added; round++ {
		added = false
		for n, s := range d.opts.Services {
			if round >= s.Servers {
				continue
			}
			added = true
			p, err := d.addProcess(len(d.Agents), "deliver", groupAgent, s.Name, storeAddr)
			if err != nil {
				return err
			}
			d.placements[p] = placement{n, round, domainName(len(d.Agents))}
			d.Agents = append(d.Agents, p)
		}
	}
	return nil
}

// addProcess prepares the i-th process of a subcommand and the proxy between it and the store.
func (d *Deployment) addProcess(i int, command string, group int, service string, storeAddr netip.AddrPort) (*Process, error) {
	ip := d.opts.ip(group, i)
	proxyAddr := netip.AddrPortFrom(d.opts.ip(groupProxy, len(d.Entries)+len(d.Agents)), portStore)
	proxy, err := newProxy(proxyAddr, storeAddr)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", command, i)
	p, err := newProcess(d.opts.Dir, d.opts.Binary, name, command, ip, d.settings(ip, command, service, proxyAddr, i))
	if err != nil {
		proxy.close()
		return nil, err
	}
	d.Proxies[p] = proxy
	return p, nil
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domainCount) }

// settings returns the settings file of a process.
func (d *Deployment) settings(ip netip.Addr, command, service string, store netip.AddrPort, i int) string {
	s := fmt.Sprintf("domain = %q\nsecret = %q\nhosts = [\"%s:%d\", \"%s:%d\"]\n", domainName(i), "secret of a local deployment",
		d.opts.ip(groupEntry, 0), portAnnounce, d.opts.ip(groupEntry, 1), portAnnounce)
	for _, listener := range []struct {
		name string
		port int
	}{{"control", portControl}, {"hops", portHops}, {"clients", portClients}, {"ready", portReady}, {"metrics", portMetrics}, {"announce", portAnnounce}} {
		s += fmt.Sprintf("%s = \"%s:%d\"\n", listener.name, ip, listener.port)
	}
	s += fmt.Sprintf("store = %q\napply = %q\nstop = %q\n", store, ApplyTimeout, GracePeriod)
	if command == "deliver" {
		s += fmt.Sprintf("outbound = \"%s:%d\"\nserver = \"%s:%d\"\nservice = %q\nheartbeat = %q\n", ip, portOutbound, ip, portServer, service, heartbeatInterval)
	}
	return s
}

// Start starts all processes and backend servers and waits until the entries are ready. The fabric probes the entries
// until ctx is done.
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
	go d.probeEntries(ctx)
	return d.AwaitEntries(ctx)
}

// StartServer starts a backend server next to an agent. It stops the previous one, if any.
func (d *Deployment) StartServer(p *Process) error { return d.StartServerWithClock(p, 0) }

// StartServerWithClock is like StartServer for a server whose wall clock is ahead by clockOffset.
func (d *Deployment) StartServerWithClock(p *Process, clockOffset time.Duration) error {
	d.mu.Lock()
	d.serversStarted++
	id := fmt.Sprintf("s-%d", d.serversStarted)
	d.mu.Unlock()
	return d.startServer(p, id, clockOffset)
}

// RestartServer starts a backend server next to an agent again, with the ID of the previous one, which it stops if it is running.
func (d *Deployment) RestartServer(p *Process) error { return d.startServer(p, d.Server(p).ID(), 0) }

func (d *Deployment) startServer(p *Process, id string, clockOffset time.Duration) error {
	old := d.Server(p)
	if old != nil {
		old.Stop(false)
	}
	place := d.placements[p]
	service := d.opts.Services[place.service]
	slowness := 1.0
	if n := len(service.Slowness); n > 0 {
		slowness = service.Slowness[place.server%n]
	}
	s, err := fakes.StartServer(fakes.ServerOptions{
		ID: id, Service: service.Name, Domain: place.domain,
		Address: netip.AddrPortFrom(p.IP, portServer), Outbound: netip.AddrPortFrom(p.IP, portOutbound),
		Heartbeats: netip.AddrPortFrom(p.IP, portAnnounce), Slots: service.Slots, Queue: service.Queue, MaxFlows: service.MaxFlows,
		HeartbeatInterval: heartbeatInterval,
		ServiceTime: func(request string) time.Duration {
			return time.Duration(slowness * float64(d.opts.ServiceTime(request)))
		},
		ResponseSize: d.opts.ResponseSize, IdleTime: d.opts.IdleTime, ClockOffset: clockOffset, Watcher: d.opts.Watcher,
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.servers[p] = s
	d.mu.Unlock()
	return nil
}

// Server returns the backend server next to an agent.
func (d *Deployment) Server(p *Process) *fakes.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[p]
}

// Processes returns the entries, followed by the agents.
func (d *Deployment) Processes() []*Process {
	return append(append([]*Process(nil), d.Entries...), d.Agents...)
}

// ServiceAddress returns the address of a service.
func (d *Deployment) ServiceAddress(service string) netip.AddrPort { return d.serviceAddrs[service] }

// NewClient opens a client with the i-th client address.
func (d *Deployment) NewClient(i int) (*fakes.Client, error) {
	c, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.AddrPortFrom(d.opts.ip(groupClient, i), portClients), EntryFor: d.pickEntry,
		Watcher: d.opts.Watcher, Ports: d.opts.ClientPorts, RandomPorts: d.opts.RandomPorts, Opening: d.abandonFlow,
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.clients = append(d.clients, c)
	d.mu.Unlock()
	return c, nil
}

// abandonFlow tells all servers that a client opens a new flow, so that an earlier one with the same addresses and ports isn't taken
// for it.
func (d *Deployment) abandonFlow(client, service netip.AddrPort) {
	d.mu.Lock()
	servers := slices.Collect(maps.Values(d.servers))
	d.mu.Unlock()
	for _, s := range servers {
		s.Abandon(client, service)
	}
}

// ClientPort returns the port at which clients and entries receive each other's packets.
func (d *Deployment) ClientPort() uint16 { return portClients }

// Close kills all processes and stops the fakes.
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
	for _, proxy := range d.Proxies {
		proxy.close()
	}
	_ = d.storeListener.Close() // The HTTP server closes the listener only after it has started to serve.
	_ = d.storeServer.Close()
}
