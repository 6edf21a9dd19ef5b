package tests

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/internal/fabric"
	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	testSecret = "secret of a deployment in tests"
	testToken  = "token of a deployment in tests"
	readyLimit = 20 * time.Second
	forceLimit = 6 * time.Second // An accepted contract is in force everywhere by then.
	leaveLimit = 3 * time.Second // A leaving server gets no new work after that.
)

// nextNet gives each deployment loopback addresses of its own, firstNet those of each run of the tests.
var (
	nextNet  atomic.Int32
	firstNet = byte(40 + os.Getpid()%200)
)

// cluster is a deployment whose entries and agents are processes of their own.
type cluster struct {
	t       testing.TB
	dir     string
	net     byte
	store   *kvfake.Store
	url     string
	fabric  *fabric.Fabric
	auth    *devel.Authority
	entries []*proc

	// bind is the IP for callers in entries' settings; empty for their own one, behind the fabric.
	bind string
	// workers is the number of workers of entries; 0 for the default.
	workers int

	mu   sync.Mutex
	host byte
}

// proc is a process of the program under test.
type proc struct {
	t    testing.TB
	name string
	ip   netip.Addr
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan struct{}
	args []string
}

// lockedBuffer is a buffer that a process writes to while a test reads it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func newCluster(t testing.TB, entries int) *cluster {
	t.Helper()
	auth, err := devel.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	const seed = 20261204
	c := &cluster{t: t, dir: t.TempDir(), net: byte(nextNet.Add(1)), store: kvfake.New(), fabric: fabric.New(seed), auth: auth}
	server := httptest.NewServer(c.store)
	t.Cleanup(server.CloseClientConnections)
	c.url = server.URL
	t.Cleanup(c.fabric.Close)
	for range entries {
		c.addEntry()
	}
	return c
}

// ip returns a loopback address that no other instance has.
func (c *cluster) ip() netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host++
	return netip.AddrFrom4([4]byte{127, firstNet, c.net, c.host})
}

func (c *cluster) peers() string {
	var out []string
	for _, e := range c.entries {
		out = append(out, fmt.Sprintf("%q", netip.AddrPortFrom(e.ip, 7001)))
	}
	return "[" + strings.Join(out, ", ") + "]"
}

// addEntry starts an entry, waits until it is ready and lets datagrams reach it.
func (c *cluster) addEntry() *proc {
	c.t.Helper()
	ip := c.ip()
	bind := c.bind
	if bind == "" {
		bind = ip.String()
	}
	p := c.start("entry", ip, fmt.Sprintf(`
domain = "a"
secret = %q
peers = %s
[entry]
bind = "%s"
packets = "%s:7000"
control = "%s:7001"
agents = ["127.0.0.0/8"]
leave = "1500ms"
workers = %d
[store]
url = %q
[admin]
address = "%s:7002"
token = %q
`, testSecret, c.peers(), bind, ip, ip, max(1, c.workers), c.url, ip, testToken))
	p.awaitReady()
	c.entries = append(c.entries, p)
	c.setFabric()
	return p
}

func (c *cluster) setFabric() {
	var ips []netip.Addr
	for _, e := range c.entries {
		ips = append(ips, e.ip)
	}
	c.fabric.SetEntries(ips...)
}

// dropEntry takes an entry out of the fabric and out of what new processes are told.
func (c *cluster) dropEntry(p *proc) {
	for i := range c.entries {
		if c.entries[i] == p {
			c.entries = append(c.entries[:i:i], c.entries[i+1:]...)
			break
		}
	}
	c.setFabric()
}

// service is a service of a cluster.
type service struct {
	c       *cluster
	name    string
	address netip.AddrPort
	cert    string
	key     string
	targets []*target
}

// target is a backend server with its agent.
type target struct {
	*proc
	server *sample.Server
}

// addService creates a service's contract; change adapts it.
func (c *cluster) addService(name string, change func(*contr.Contract)) *service {
	c.t.Helper()
	address, err := c.fabric.AddService(netip.AddrPortFrom(c.ip(), 0))
	if err != nil {
		c.t.Fatal(err)
	}
	return c.addServiceAt(name, address, change)
}

// addServiceAt creates the contract of a service that callers reach at an address.
func (c *cluster) addServiceAt(name string, address netip.AddrPort, change func(*contr.Contract)) *service {
	c.t.Helper()
	s := &service{c: c, name: name, address: address}
	s.cert, s.key = c.writeCert(name)
	contract := contr.Contract{
		Name: name, Member: "m-" + name, Address: address, Deadline: contr.Duration(5 * time.Second), Tickets: true,
		Streams: []string{"/stream"}, Drain: contr.Duration(20 * time.Second),
	}
	if change != nil {
		change(&contract)
	}
	code, _ := c.api(c.entries[0], http.MethodPost, "/v1/contracts", 0, change1("create "+name, &contract))
	if code != http.StatusCreated {
		c.t.Fatalf("create %s: %d", name, code)
	}
	return s
}

func change1(id string, contract *contr.Contract) map[string]any {
	body := map[string]any{"id": id, "who": "test", "why": "test"}
	if contract != nil {
		body["contract"] = contract
	}
	return body
}

func (c *cluster) writeCert(name string) (cert, key string) {
	c.t.Helper()
	issued, err := c.auth.Issue(name)
	if err != nil {
		c.t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(issued.PrivateKey)
	if err != nil {
		c.t.Fatal(err)
	}
	cert, key = filepath.Join(c.dir, name+".pem"), filepath.Join(c.dir, name+"-key.pem")
	c.writePEM(cert, "CERTIFICATE", issued.Certificate[0])
	c.writePEM(key, "PRIVATE KEY", der)
	return cert, key
}

func (c *cluster) writePEM(file, kind string, der []byte) {
	c.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// addTarget starts a backend server and its agent, and waits until the agent is ready.
func (s *service) addTarget() *target {
	s.c.t.Helper()
	return s.addTargetAt(s.c.ip())
}

func (s *service) addTargetAt(ip netip.Addr) *target {
	s.c.t.Helper()
	t := s.startTargetAt(ip)
	t.awaitReady()
	return t
}

func (s *service) startTargetAt(ip netip.Addr) *target {
	s.c.t.Helper()
	server, err := sample.Start(s.c.t.Context(), ip.String()+":0", sample.Options{
		Service: s.name, Name: fmt.Sprintf("%s-%d", s.name, len(s.targets)), Slots: 4, Slowness: 1,
	})
	if err != nil {
		s.c.t.Fatal(err)
	}
	s.c.t.Cleanup(server.Close)
	p := s.c.start("agent", ip, fmt.Sprintf(`
domain = "a"
secret = %q
peers = %s
[agent]
service = %q
backend = %q
health = "/health"
packets = "%s:7000"
control = "%s:7001"
cert = %q
key = %q
notice = "1500ms"
[store]
url = %q
[admin]
address = "%s:7002"
`, testSecret, s.c.peers(), s.name, server.URL(), ip, ip, s.cert, s.key, s.c.url, ip))
	t := &target{proc: p, server: server}
	s.targets = append(s.targets, t)
	return t
}

// start writes a settings file and starts a role.
func (c *cluster) start(role string, ip netip.Addr, settings string) *proc {
	c.t.Helper()
	file := filepath.Join(c.dir, role+"-"+ip.String()+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p := &proc{t: c.t, name: role + " " + ip.String(), ip: ip, args: []string{role, "-config", file}}
	p.run()
	c.t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", p.name, p.log)
		}
	})
	return p
}

func (p *proc) run() {
	p.log, p.done = &lockedBuffer{}, make(chan struct{})
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := p.done
	go func() {
		_ = p.cmd.Wait() // The tests look at the log and at what callers see.
		close(done)
	}()
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// freeze stops the process by SIGSTOP and returns when all of its threads have stopped. The signal's sender may run on
// while they still do.
func (p *proc) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	await(p.t, forceLimit, p.name+" has stopped", func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil || len(threads) == 0 {
			return false
		}
		for _, file := range threads {
			stat, err := os.ReadFile(file)
			if err != nil {
				return false
			}
			// The state follows the command's name, which is in parentheses.
			if _, state, ok := strings.Cut(string(stat), ") "); !ok || !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitEnd waits until the process has ended.
func (p *proc) awaitEnd(limit time.Duration) {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s has not ended within %s\n%s", p.name, limit, p.log)
	}
}

func (p *proc) isReady() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:7002/readyz", p.ip))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *proc) awaitReady() {
	p.t.Helper()
	await(p.t, readyLimit, p.name+" is ready", p.isReady)
}

// await waits until done returns true, and fails the test after limit.
func await(t testing.TB, limit time.Duration, what string, done func() bool) {
	t.Helper()
	if err := devel.WaitUntil(context.Background(), limit, done); err != nil {
		t.Fatalf("not within %s: %s", limit, what)
	}
}

// api calls the operators' API of an entry.
func (c *cluster) api(e *proc, method, path string, match uint64, body any) (code int, answer []byte) {
	c.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:7002%s", e.ip, path), bytes.NewReader(text))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	if match != 0 {
		req.Header.Set("If-Match", fmt.Sprint(match))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// members returns the states of a service's agents as an entry sees them, by address.
func (c *cluster) members(e *proc, name string) map[string]string {
	_, answer := c.api(e, http.MethodGet, "/v1/contracts/"+name+"/members", 0, nil)
	var list []struct{ Packets, State string }
	_ = json.Unmarshal(answer, &list) // An entry that doesn't answer shows no members.
	out := make(map[string]string)
	for _, m := range list {
		host, _, _ := net.SplitHostPort(m.Packets)
		out[host] = m.State
	}
	return out
}

// awaitMember waits until all entries see an agent in a state.
func (s *service) awaitMember(t *target, state string, limit time.Duration) {
	s.c.t.Helper()
	await(s.c.t, limit, fmt.Sprintf("%s is %s everywhere", t.name, state), func() bool {
		for _, e := range s.c.entries {
			if s.c.members(e, s.name)[t.ip.String()] != state {
				return false
			}
		}
		return true
	})
}

func (s *service) caller(attempts int) *caller.Client {
	s.c.t.Helper()
	c := caller.New(caller.Options{TLS: s.c.auth.ClientConfig(s.name), Attempts: attempts})
	s.c.t.Cleanup(func() { _ = c.Close() })
	return c
}

// request returns a request to the service.
func (s *service) request(ctx context.Context, method, path, id, body string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+s.address.String()+path, strings.NewReader(body))
	if err != nil {
		s.c.t.Fatal(err)
	}
	if body == "" {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	req.Header.Set(sample.HeaderService, s.name)
	req.Header.Set(sample.HeaderID, id)
	return req
}
