//go:build review

// Command review runs the scripted cases of the review: the project's own programs as separate processes on loopback
// addresses, with the project's stand-ins for the store, the clients and the backend servers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// The ports are the same for all machines of a deployment, as on the platform.
const (
	portControl = 17201 + iota
	portHops
	portClients
	portReady
	portAnnounce
	portOutbound
	portServer
	portStore
)

// The bounds and intervals of the site file.
const (
	heartbeatInterval = 770 * time.Millisecond
	stableWindow      = 4 * time.Second
	drainTime         = 3 * time.Second
	configApply       = 3 * time.Second
	gracePeriod       = 6 * time.Second
	idleTimeout       = 15 * time.Second
	probeInterval     = 500 * time.Millisecond
	// restartDelay is the delay with which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the deployment with its process of the project.
type machine struct {
	name, role, zone, service string
	ip                        netip.Addr
	seeds                     []netip.Addr
	dir, binary               string
	store                     net.Addr

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	// disturbedAt is the last start, signal or disruption of the machine.
	disturbedAt time.Time
	first       bool
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record  *record
	dir     string
	binary  string
	network byte
	store   *fakes.Store
	// storeAddress is the address of the store.
	storeAddress net.Addr
	// maxLease is the longest time to live that the store applies to leases; 0 means ten minutes.
	maxLease time.Duration
	// serviceTime is the service time of requests.
	serviceTime time.Duration
	// heartbeatRelays are the relays of the servers' heartbeats by their machines. If the map is nil, servers call their agents.
	heartbeatRelays map[*machine]*heartbeatRelay
	fronts          []*machine
	sides           []*machine
	clients         []*fakes.Client
	ctx             context.Context
	cancel          context.CancelFunc

	mu       sync.Mutex
	servers  map[*machine]*fakes.Server
	rotation []*machine
	failures map[*machine]int
	nextID   int
	onReset  func(by netip.Addr, client, service netip.AddrPort, open bool)
}

func (d *deployment) ip(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, group, n})
}

// newDeployment starts the store of a deployment whose processes run from binary and keep their files in a temporary folder.
func newDeployment(binary string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: rec, dir: dir, binary: binary, store: fakes.NewStore(), servers: make(map[*machine]*fakes.Server),
		failures: make(map[*machine]int), serviceTime: 20 * time.Millisecond,
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	start := byte(30 + os.Getpid()%200)
	for i := range byte(200) { // Finds a network whose addresses are free.
		d.network = 20 + (start-20+i)%230
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(d.ip(0, 1), portStore).String())
		if err == nil {
			d.storeAddress = ln.Addr()
			server := &http.Server{Handler: http.HandlerFunc(d.serveStore), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(ln) }()
			go func() { <-d.ctx.Done(); _ = server.Close() }()
			return d, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// addMachine prepares a machine; startProcess starts its process.
func (d *deployment) addMachine(role, zone, service string, seeds []netip.Addr) (*machine, error) {
	m := &machine{role: role, zone: zone, service: service, seeds: seeds, dir: d.dir, binary: d.binary, store: d.storeAddress}
	if role == "relay" {
		d.mu.Lock()
		d.fronts = append(d.fronts, m)
		n := len(d.fronts)
		d.mu.Unlock()
		m.name, m.ip = fmt.Sprintf("front-%d", n), d.ip(1, byte(n))
	} else {
		d.mu.Lock()
		d.sides = append(d.sides, m)
		n := len(d.sides)
		d.mu.Unlock()
		m.name, m.ip = fmt.Sprintf("side-%d", n), d.ip(2, byte(n))
	}
	return m, nil
}

// storeTime is the time that the store takes for an answer.
const storeTime = 4 * time.Millisecond

// serveStore serves a call to the store.
func (d *deployment) serveStore(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	if d.maxLease > 0 && r.Method == http.MethodPost {
		r = capLease(r, d.maxLease)
	}
	d.store.ServeHTTP(w, r)
}

// capLease returns the request for a lease with at most limit as its time to live, which the store then applies and returns. Only the body
// of such a request has a single field, a number of milliseconds; other requests are returned as they are.
func capLease(r *http.Request, limit time.Duration) *http.Request {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return r
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil && len(fields) == 1 {
		for name, value := range fields {
			if ms, ok := value.(float64); ok && int64(ms) > limit.Milliseconds() {
				body = fmt.Appendf(nil, "{%q:%d}", name, limit.Milliseconds())
			}
		}
	}
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

// settings returns the settings of a machine's process, with the fields of the templates in deploy/.
func (m *machine) settings() string {
	var b strings.Builder
	addr := func(port int) string { return netip.AddrPortFrom(m.ip, uint16(port)).String() }
	fmt.Fprintf(&b, "domain = %q\nsecret = \"bergamotrun-deployment\"\n", m.zone)
	var hosts []string
	for _, s := range m.seeds {
		hosts = append(hosts, fmt.Sprintf("%q", netip.AddrPortFrom(s, portAnnounce)))
	}
	fmt.Fprintf(&b, "hosts = [%s]\n", strings.Join(hosts, ","))
	fmt.Fprintf(&b, "control = %q\nhops = %q\nclients = %q\nready = %q\nannounce = %q\n", addr(portControl), addr(portHops), addr(portClients), addr(portReady), addr(portAnnounce))
	if m.role == "deliver" {
		fmt.Fprintf(&b, "outbound = %q\nserver = %q\nservice = %q\nheartbeat = %q\n", addr(portOutbound), addr(portServer), m.service, heartbeatInterval)
	}
	fmt.Fprintf(&b, "store = %q\napply = %q\nstop = %q\n", m.store, configApply, gracePeriod)
	if m.first {
		b.WriteString("first = true\n")
	}
	return b.String()
}

// startProcess starts the machine's process.
func (d *deployment) startProcess(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := filepath.Join(m.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(m.binary, m.role, "-config", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.record.printf("%s: process started", m.name)
	m.cmd, m.exited, m.startedAt, m.disturbedAt, m.first = cmd, make(chan struct{}), time.Now(), time.Now(), false
	go func(exited chan struct{}) { _ = cmd.Wait(); close(exited) }(m.exited)
	return nil
}

// signal sends a signal to the machine's process.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		d.record.printf("%s: %s", m.name, s)
		_ = m.cmd.Process.Signal(s)
		m.disturbedAt = time.Now()
	}
}

// roll stops a machine's process as a planned restart does, and starts it again.
func (d *deployment) roll(m *machine) error {
	d.signal(m, syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(gracePeriod):
		d.signal(m, syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(restartDelay)
	return d.startProcess(m)
}

// startServer starts the backend server beside an agent.
func (d *deployment) startServer(m *machine, serviceTime time.Duration) (*fakes.Server, error) {
	d.mu.Lock()
	d.nextID++
	id := fmt.Sprintf("i-%04d", d.nextID)
	d.mu.Unlock()
	heartbeats := netip.AddrPortFrom(m.ip, portAnnounce)
	if d.heartbeatRelays != nil {
		listen := netip.AddrPortFrom(d.ip(4, m.ip.As4()[3]), portAnnounce)
		relay, err := startHeartbeatRelay(d.ctx, listen, heartbeats, time.Now())
		if err != nil {
			return nil, err
		}
		d.heartbeatRelays[m], heartbeats = relay, listen
	}
	s, err := fakes.StartServer(fakes.ServerOptions{
		ID: id, Service: m.service, Domain: m.zone, Address: netip.AddrPortFrom(m.ip, portServer),
		Outbound: netip.AddrPortFrom(m.ip, portOutbound), Heartbeats: heartbeats,
		Slots: 4, ServiceTime: func(string) time.Duration { return serviceTime }, HeartbeatInterval: heartbeatInterval, Watcher: d,
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.servers[m] = s
	d.mu.Unlock()
	d.record.printf("%s: server %s of %s started", m.name, id, m.service)
	return s, nil
}

// holder returns the machine whose server holds an open flow, or nil.
func (d *deployment) holder(client, service netip.AddrPort) *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	for m, s := range d.servers {
		if s.HoldsFlow(client, service) {
			return m
		}
	}
	return nil
}

// machineAt returns the machine with an address.
func (d *deployment) machineAt(ip netip.Addr) *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range append(append([]*machine(nil), d.fronts...), d.sides...) {
		if m.ip == ip {
			return m
		}
	}
	return nil
}

// route probes the fronts as the platform's routers do, until the deployment is closed.
func (d *deployment) route() {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for d.ctx.Err() == nil {
		d.mu.Lock()
		fronts := append([]*machine(nil), d.fronts...)
		d.mu.Unlock()
		ok := make([]bool, len(fronts))
		var wg sync.WaitGroup
		for i, m := range fronts {
			wg.Go(func() {
				resp, err := client.Get("http://" + netip.AddrPortFrom(m.ip, portReady).String() + fakes.ReadyPath)
				if err == nil {
					_ = resp.Body.Close()
					ok[i] = resp.StatusCode == http.StatusOK
				}
			})
		}
		wg.Wait()
		d.mu.Lock()
		var rotation, running []*machine
		for i, m := range fronts {
			d.failures[m]++
			if ok[i] {
				d.failures[m] = 0
			}
			m.mu.Lock()
			if m.cmd != nil {
				running = append(running, m)
			}
			m.mu.Unlock()
			if ok[i] || (d.failures[m] < 2 && contains(d.rotation, m)) {
				rotation = append(rotation, m)
			}
		}
		if 2*len(rotation) < len(running) {
			rotation = running
		}
		if names(rotation) != names(d.rotation) {
			d.record.printf("routers: rotation is now %s", names(rotation))
		}
		d.rotation = rotation
		d.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

func contains(list []*machine, m *machine) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}

func names(list []*machine) string {
	var s []string
	for _, m := range list {
		s = append(s, m.name)
	}
	return strings.Join(s, " ")
}

// entryFor returns the front to which the routers send a client's packet: a hash of the flow's ends modulo the rotation.
func (d *deployment) entryFor(client, service netip.AddrPort) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rotation) == 0 {
		return netip.AddrPort{}, false
	}
	hash := int(client.Port()) + 31*int(client.Addr().As4()[3]) + int(service.Port())
	return netip.AddrPortFrom(d.rotation[hash%len(d.rotation)].ip, portClients), true
}

func (d *deployment) newClient() (*fakes.Client, error) {
	c, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.AddrPortFrom(d.ip(3, byte(len(d.clients)+1)), portClients), EntryFor: d.entryFor, Watcher: d,
	})
	if err == nil {
		d.clients = append(d.clients, c)
	}
	return c, err
}

// Opened is called for each SYN of a flow that a server doesn't hold yet.
func (d *deployment) Opened(*fakes.Server, netip.AddrPort, netip.AddrPort) {}

// Received is called for each other packet at a server.
func (d *deployment) Received(*fakes.Server, netip.AddrPort, netip.AddrPort, bool) {}

// RequestStarted records that a server runs a request.
func (d *deployment) RequestStarted(s *fakes.Server, request string) {
	d.record.printf("server %s runs %s", s.ID(), request)
}

// Forged records a packet that no end of a flow sent.
func (d *deployment) Forged(why string) { d.record.printf("forged: %s", why) }

// Reset is called for each reset that a process of the project sent to a client.
func (d *deployment) Reset(by netip.Addr, client, service netip.AddrPort, open bool) {
	if d.onReset != nil {
		d.onReset(by, client, service, open)
	}
}

// awaitReady waits until all fronts are in rotation.
func (d *deployment) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		d.mu.Lock()
		n, want := len(d.rotation), len(d.fronts)
		d.mu.Unlock()
		if n == want && n > 0 {
			return nil
		}
	}
	return errors.New("the fronts are not ready")
}

// close ends all processes and stand-ins and removes the temporary folder, unless keep is set.
func (d *deployment) close(keep bool) {
	d.cancel()
	for _, m := range append(append([]*machine(nil), d.fronts...), d.sides...) {
		m.mu.Lock()
		cmd, exited := m.cmd, m.exited
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	for _, c := range d.clients {
		c.Close()
	}
	for _, s := range d.servers {
		s.Stop(false)
	}
	if keep {
		fmt.Println("files:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func main() {
	name := flag.String("case", "", "case to run")
	binary := flag.String("binary", "target/bergamotrun", "program of the project")
	out := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitCannot)
	}
	run := cases[*name]
	if run == nil {
		fmt.Println("no such case:", *name)
		os.Exit(exitCannot)
	}
	d, err := newDeployment(*binary, rec)
	if err != nil {
		fmt.Println("can't run:", err)
		os.Exit(exitCannot)
	}
	code, err := run(d, os.Getenv("TROUBLE") != "0")
	d.close(*keep)
	if err != nil {
		rec.printf("can't run: %v", err)
		fmt.Println("can't run:", err)
		code = exitCannot
	}
	os.Exit(code)
}
