package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// stable is how long after a fault a process counts as undisturbed, drainBound and applyBound are the users' bounds.
	stable     = 4 * time.Second
	drainBound = 3 * time.Second
	applyBound = 3 * time.Second
	heartbeat  = time.Second
	idleTime   = 15 * time.Second
	probeEvery = 500 * time.Millisecond
	// graceTime is how long a process may take to stop.
	graceTime = 6 * time.Second
	domains   = 3
)

var services = []string{"desk", "intake"}

// addresses are those of the services' routes.
var addresses = map[string]netip.AddrPort{
	"desk":   netip.MustParseAddrPort("198.18.0.1:8443"),
	"intake": netip.MustParseAddrPort("198.18.0.2:8443"),
}

// deployment is a system under test with its surroundings.
type deployment struct {
	opts  Options
	check *checker
	store *fakes.Store
	http  *http.Server

	entries []*process
	agents  []*process
	proxies map[*process]*proxy

	mu sync.Mutex
	// rotation are the entries that the fabric sends packets to.
	rotation []*process
	misses   map[*process]int
	servers  map[*process]*fakes.Server
	born     int
	version  uint64
	extra    []fakes.Route
	clients  []*fakes.Client
}

// ip returns the n-th loopback address of a group; slots keep runs at the same time apart.
func (o *Options) ip(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(group + o.Slot*groups), byte(n >> 8), byte(n&0xff + 1)})
}

// groups is how many groups of addresses a run has, and MostSlots how many runs fit beside each other.
const (
	groups    = 5
	MostSlots = 40
)

const (
	groupStore = 20 + iota
	groupProxy
	groupEntry
	groupAgent
	groupClient
)

func newDeployment(opts Options) (*deployment, error) {
	d := &deployment{
		opts: opts, check: newChecker(), store: fakes.NewStore(), proxies: make(map[*process]*proxy),
		misses: make(map[*process]int), servers: make(map[*process]*fakes.Server),
	}
	storeAt := netip.AddrPortFrom(opts.ip(groupStore, 0), portStore)
	ln, err := net.Listen("tcp4", storeAt.String())
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	d.http = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.http.Serve(ln) }() // It ends when the deployment is closed.
	if err := d.configure(); err != nil {
		return nil, err
	}
	for i := range opts.Entries {
		if err := d.addProcess(i, "relay", groupEntry, storeAt); err != nil {
			return nil, err
		}
	}
	for i := range opts.Servers * len(services) {
		if err := d.addProcess(i, "deliver", groupAgent, storeAt); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// addProcess prepares the i-th process of a command, with a proxy between it and the store.
func (d *deployment) addProcess(i int, command string, group int, storeAt netip.AddrPort) error {
	at := d.opts.ip(group, i)
	number := len(d.entries) + len(d.agents)
	proxyAt := netip.AddrPortFrom(d.opts.ip(groupProxy, number), portStore)
	px, err := newProxy(proxyAt, storeAt)
	if err != nil {
		return err
	}
	service := services[i%len(services)]
	p, err := newProcess(d.opts.Dir, d.opts.Binary, fmt.Sprintf("%s-%d", command, i), command, at, d.settings(at, command, service, proxyAt, i))
	if err != nil {
		return err
	}
	d.proxies[p] = px
	if command == "relay" {
		d.entries = append(d.entries, p)
	} else {
		d.agents = append(d.agents, p)
	}
	return nil
}

// settings returns the settings of a process.
func (d *deployment) settings(at netip.Addr, command, service string, store netip.AddrPort, i int) string {
	s := fmt.Sprintf("domain = %q\nsecret = %q\nhosts = [\"%s:%d\", \"%s:%d\"]\n", fmt.Sprintf("zone-%d", i%domains), "soak-deployment-secret",
		d.opts.ip(groupEntry, 0), portAnnounce, d.opts.ip(groupEntry, 1), portAnnounce)
	for _, a := range []struct {
		name string
		port int
	}{{"control", portControl}, {"hops", portHops}, {"clients", portClients}, {"ready", portReady}, {"metrics", portMetrics}, {"announce", portAnnounce}} {
		s += fmt.Sprintf("%s = \"%s:%d\"\n", a.name, at, a.port)
	}
	s += fmt.Sprintf("store = %q\napply = %q\nstop = %q\n", store, applyBound, graceTime)
	if command == "deliver" {
		s += fmt.Sprintf("outbound = \"%s:%d\"\nserver = \"%s:%d\"\nservice = %q\nheartbeat = %q\n", at, portOutbound, at, portServer, service, heartbeat)
	}
	return s
}

// start starts all processes and servers, and waits until the entries are ready.
func (d *deployment) start(ctx context.Context) error {
	for _, p := range append(append([]*process(nil), d.agents...), d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range d.agents {
		if err := d.startServer(p); err != nil {
			return err
		}
	}
	go d.probe(ctx)
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		d.mu.Lock()
		n := len(d.rotation)
		d.mu.Unlock()
		if n == len(d.entries) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("soak: the entries did not become ready")
}

// startServer starts a new server beside an agent, in place of the former one.
func (d *deployment) startServer(p *process) error {
	d.mu.Lock()
	d.born++
	id := fmt.Sprintf("s-%d", d.born)
	old := d.servers[p]
	d.mu.Unlock()
	if old != nil {
		old.Stop(false)
	}
	var i int
	for j := range d.agents {
		if d.agents[j] == p {
			i = j
		}
	}
	s, err := fakes.StartServer(fakes.ServerOptions{
		ID: id, Service: services[i%len(services)], Domain: fmt.Sprintf("zone-%d", i%domains),
		App: netip.AddrPortFrom(p.ip, portServer), Outbound: netip.AddrPortFrom(p.ip, portOutbound),
		Control: netip.AddrPortFrom(p.ip, portAnnounce), Slots: 4, Work: 10 * time.Millisecond, Interval: heartbeat,
		Opened: d.opened, Ran: func(s *fakes.Server, request string) { d.check.ran(s.Service(), request) },
		Forged: func(_ *fakes.Server, why string) { d.check.broke(forged, "%s", why) },
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.servers[p] = s
	d.mu.Unlock()
	return nil
}

// opened checks an opening packet that a server takes.
func (d *deployment) opened(s *fakes.Server, _, service netip.AddrPort) {
	now := time.Now()
	if acked := s.DrainAcked(); !acked.IsZero() && now.Sub(acked) > drainBound {
		d.check.broke(drained, "server %s got a new flow %s after its leave was acknowledged", s.ID(), now.Sub(acked))
	}
	life, known := d.check.life(service)
	switch {
	case !known || life.service != s.Service():
		d.check.broke(routed, "server %s of %s got a flow to %s", s.ID(), s.Service(), service)
	case !life.removed.IsZero() && now.Sub(life.removed) > applyBound+openSlack && d.allCalm(now):
		d.check.broke(applied, "server %s got a flow to %s, %s after its route was removed", s.ID(), service, now.Sub(life.removed))
	}
}

// openSlack is how long an opening packet may be on its way with all its copies.
const openSlack = 700 * time.Millisecond

// allCalm reports whether nothing was done to any process for a while, the store included.
func (d *deployment) allCalm(now time.Time) bool {
	for _, p := range d.all() {
		if !p.calm(now, stable) {
			return false
		}
	}
	return true
}

func (d *deployment) all() []*process {
	return append(append([]*process(nil), d.entries...), d.agents...)
}

// probe keeps the rotation as routers do: two misses take an entry out, one answer takes it in.
func (d *deployment) probe(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		ok := make([]bool, len(d.entries))
		for i, p := range d.entries {
			wg.Go(func() { ok[i] = p.ready() })
		}
		wg.Wait()
		d.mu.Lock()
		d.rotation = nil
		for i, p := range d.entries {
			d.misses[p]++
			if ok[i] {
				d.misses[p] = 0
			}
			if d.misses[p] < 2 {
				d.rotation = append(d.rotation, p)
			}
		}
		if len(d.rotation) == 0 {
			d.rotation = d.entries
		}
		d.mu.Unlock()
		time.Sleep(probeEvery)
	}
}

// route returns the entry that gets a flow's next packet, and loses some packets.
func (d *deployment) route(client, service netip.AddrPort) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rotation) == 0 || rand.Float64() < d.opts.Loss {
		return netip.AddrPort{}, false
	}
	n := int(client.Port()) + int(client.Addr().As4()[3])*31 + int(service.Port())
	return netip.AddrPortFrom(d.rotation[n%len(d.rotation)].ip, portClients), true
}

// configure writes the next configuration.
func (d *deployment) configure() error {
	d.mu.Lock()
	d.version += 1 + uint64(rand.IntN(3))
	routes := append([]fakes.Route(nil), d.extra...)
	for name, a := range addresses {
		routes = append(routes, fakes.Route{Name: name, Address: a, Service: name, Priority: 1, Unsafe: true})
	}
	version := d.version
	d.mu.Unlock()
	if err := d.store.Configure(version, routes, idleTime); err != nil {
		return err
	}
	live := make(map[netip.AddrPort]string)
	for _, r := range routes {
		live[r.Address] = r.Service
	}
	d.check.routeChanged(live, time.Now())
	return nil
}

// reset checks a reset of the system's own.
func (d *deployment) reset(by netip.Addr, client, service netip.AddrPort, open bool) {
	now := time.Now()
	if !open {
		if life, known := d.check.life(service); known && life.removed.IsZero() && now.Sub(life.added) > applyBound && d.allCalm(now) {
			d.check.broke(applied, "flow from %s to %s was refused by %s though servers serve", client, service, by)
		}
		return
	}
	d.mu.Lock()
	servers := make(map[*process]*fakes.Server, len(d.servers))
	for p, s := range d.servers {
		servers[p] = s
	}
	d.mu.Unlock()
	for p, s := range servers {
		if s.Holds(client, service) && p.unharmed(now, stable) && d.unharmedAt(by, now) {
			d.check.broke(kept, "flow from %s to %s was reset by %s while server %s beside %s holds it", client, service, by, s.ID(), p.name)
		}
	}
}

// unharmedAt reports whether nothing but planned work was done to the process of an IP for a while.
func (d *deployment) unharmedAt(ip netip.Addr, now time.Time) bool {
	for _, p := range d.all() {
		if p.ip == ip {
			return p.unharmed(now, stable)
		}
	}
	return true
}

func (d *deployment) close() {
	for _, c := range d.clients {
		c.Close()
	}
	for _, p := range d.all() {
		p.end()
	}
	d.mu.Lock()
	for _, s := range d.servers {
		go s.Stop(false)
	}
	d.mu.Unlock()
	for _, px := range d.proxies {
		px.close()
	}
	_ = d.http.Close()
}
