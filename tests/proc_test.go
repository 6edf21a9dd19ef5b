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
	testSecret     = "secret of a deployment in tests"
	testToken      = "token of a deployment in tests"
	readyTimeout   = 20 * time.Second
	applyTimeout   = 6 * time.Second // An accepted contract change must be in force at all processes by then.
	maxDrainNotice = 3 * time.Second // A draining server must not get new requests after this time.
)

// Each cluster uses the loopback addresses 127.runOctet.octet.0/24. clusterCount numbers the clusters of one test process;
// runOctet depends on the process ID, so that concurrent test processes seldom use the same addresses.
var (
	clusterCount atomic.Int32
	runOctet     = byte(40 + os.Getpid()%200)
)

// cluster is a deployment whose entries and agents run as separate processes.
type cluster struct {
	t testing.TB
	// dir has the settings files and certificates.
	dir string
	// octet is the third octet of the cluster's loopback addresses, lastHost the last one of the address used last.
	octet     byte
	store     *kvfake.Store
	storeURL  string
	fabric    *fabric.Fabric
	authority *devel.Authority
	entries   []*proc

	// bind is the IP address on which entries listen for callers. If empty, an entry listens on its own address, and the
	// fabric forwards datagrams to it.
	bind string
	// workers is the number of workers in an entry's settings. 0 means 1.
	workers int

	mu       sync.Mutex
	lastHost byte
}

// proc is a process of the program under test. It can be killed and run again.
type proc struct {
	t    testing.TB
	name string
	ip   netip.Addr
	// cmd, log and done belong to the current run. done is closed when the process has exited.
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan struct{}
	// args are the arguments of each run.
	args []string
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newCluster starts a fake store, a fabric and the given number of entries. There are no services yet.
func newCluster(t testing.TB, entries int) *cluster {
	t.Helper()
	authority, err := devel.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	const seed = 20261204
	c := &cluster{t: t, dir: t.TempDir(), octet: byte(clusterCount.Add(1)), store: kvfake.New(), fabric: fabric.New(seed), authority: authority}
	server := httptest.NewServer(c.store)
	t.Cleanup(server.CloseClientConnections)
	c.storeURL = server.URL
	t.Cleanup(c.fabric.Close)
	for range entries {
		c.addEntry()
	}
	return c
}

// ip returns an unused loopback address of the cluster.
func (c *cluster) ip() netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHost++
	return netip.AddrFrom4([4]byte{127, runOctet, c.octet, c.lastHost})
}

// peers returns the control addresses of all entries as a TOML array.
func (c *cluster) peers() string {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, fmt.Sprintf("%q", netip.AddrPortFrom(e.ip, 7001)))
	}
	return "[" + strings.Join(addresses, ", ") + "]"
}

// addEntry starts an entry, waits until it is ready and adds it to the fabric.
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
`, testSecret, c.peers(), bind, ip, ip, max(1, c.workers), c.storeURL, ip, testToken))
	p.awaitReady()
	c.entries = append(c.entries, p)
	c.updateFabric()
	return p
}

// updateFabric makes the fabric forward datagrams to the current entries only.
func (c *cluster) updateFabric() {
	var ips []netip.Addr
	for _, e := range c.entries {
		ips = append(ips, e.ip)
	}
	c.fabric.SetEntries(ips...)
}

// removeEntry removes an entry from the fabric and from the peers in the settings of processes started later.
func (c *cluster) removeEntry(p *proc) {
	for i := range c.entries {
		if c.entries[i] == p {
			c.entries = append(c.entries[:i:i], c.entries[i+1:]...)
			break
		}
	}
	c.updateFabric()
}

// service is a service of a cluster.
type service struct {
	cluster *cluster
	name    string
	address netip.AddrPort
	// cert and key are the paths of the PEM files for the agents.
	cert    string
	key     string
	targets []*target
}

// target is a backend server and the process of its agent.
type target struct {
	*proc
	server *sample.Server
}

// addService creates the contract of a service at a new address of the fabric. modify, if not nil, changes the default
// contract.
func (c *cluster) addService(name string, modify func(*contr.Contract)) *service {
	c.t.Helper()
	address, err := c.fabric.AddService(netip.AddrPortFrom(c.ip(), 0))
	if err != nil {
		c.t.Fatal(err)
	}
	return c.addServiceAt(name, address, modify)
}

// addServiceAt creates the contract of a service at a given address.
func (c *cluster) addServiceAt(name string, address netip.AddrPort, modify func(*contr.Contract)) *service {
	c.t.Helper()
	s := &service{cluster: c, name: name, address: address}
	s.cert, s.key = c.writeCert(name)
	contract := contr.Contract{
		Name: name, Member: "m-" + name, Address: address, Deadline: contr.Duration(5 * time.Second), Tickets: true,
		Streams: []string{"/stream"}, Drain: contr.Duration(20 * time.Second),
	}
	if modify != nil {
		modify(&contract)
	}
	code, _ := c.callAPI(c.entries[0], http.MethodPost, "/v1/contracts", 0, changeRequest("create "+name, &contract))
	if code != http.StatusCreated {
		c.t.Fatalf("create %s: %d", name, code)
	}
	return s
}

// changeRequest returns the body of a change request to the admin API. contract may be nil.
func changeRequest(id string, contract *contr.Contract) map[string]any {
	body := map[string]any{"id": id, "who": "test", "why": "test"}
	if contract != nil {
		body["contract"] = contract
	}
	return body
}

// writeCert issues a certificate for a service and returns the paths of the PEM files.
func (c *cluster) writeCert(name string) (cert, key string) {
	c.t.Helper()
	issued, err := c.authority.Issue(name)
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

// addTarget starts a backend server and its agent at an unused address, and waits until the agent is ready.
func (s *service) addTarget() *target {
	s.cluster.t.Helper()
	return s.addTargetAt(s.cluster.ip())
}

// addTargetAt is like addTarget, with a given address.
func (s *service) addTargetAt(ip netip.Addr) *target {
	s.cluster.t.Helper()
	t := s.startTargetAt(ip)
	t.awaitReady()
	return t
}

// startTargetAt is like addTargetAt, but does not wait until the agent is ready.
func (s *service) startTargetAt(ip netip.Addr) *target {
	s.cluster.t.Helper()
	server, err := sample.Start(s.cluster.t.Context(), ip.String()+":0", sample.Options{
		Service: s.name, Name: fmt.Sprintf("%s-%d", s.name, len(s.targets)), Slots: 4, Slowness: 1,
	})
	if err != nil {
		s.cluster.t.Fatal(err)
	}
	s.cluster.t.Cleanup(server.Close)
	p := s.cluster.start("agent", ip, fmt.Sprintf(`
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
`, testSecret, s.cluster.peers(), s.name, server.URL(), ip, ip, s.cert, s.key, s.cluster.storeURL, ip))
	t := &target{proc: p, server: server}
	s.targets = append(s.targets, t)
	return t
}

// start writes a settings file and starts a process with the given role. The process is killed when the test ends, and its
// log is printed if the test failed.
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

// run starts the process, also again after it has exited.
func (p *proc) run() {
	p.log, p.done = &lockedBuffer{}, make(chan struct{})
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := p.done
	go func() {
		_ = p.cmd.Wait() // Killed processes exit with an error. Tests check logs and responses instead.
		close(done)
	}()
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// freeze sends SIGSTOP and waits until all threads of the process have stopped, as kill(2) may return earlier.
func (p *proc) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	await(p.t, applyTimeout, p.name+" has stopped", func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil || len(threads) == 0 {
			return false
		}
		for _, file := range threads {
			stat, err := os.ReadFile(file)
			if err != nil {
				return false
			}
			// The state follows the command name in parentheses; see proc_pid_stat(5).
			if _, state, ok := strings.Cut(string(stat), ") "); !ok || !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

// kill kills the process and waits until it has exited.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitExit waits until the process has exited.
func (p *proc) awaitExit(timeout time.Duration) {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.t.Fatalf("%s has not exited within %s\n%s", p.name, timeout, p.log)
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
	await(p.t, readyTimeout, p.name+" is ready", p.isReady)
}

// await polls condition until it returns true, and fails the test after timeout.
func await(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	if err := devel.WaitUntil(context.Background(), timeout, condition); err != nil {
		t.Fatalf("not true within %s: %s", timeout, what)
	}
}

// callAPI calls the admin API of an entry. It sends ifMatch in the header If-Match unless it is 0, and returns status 0 if
// there is no response.
func (c *cluster) callAPI(e *proc, method, path string, ifMatch uint64, body any) (code int, respBody []byte) {
	c.t.Helper()
	payload, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:7002%s", e.ip, path), bytes.NewReader(payload))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	if ifMatch != 0 {
		req.Header.Set("If-Match", fmt.Sprint(ifMatch))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, respBody
}

// agentStates returns the states of a service's agents known to an entry, by IP address.
func (c *cluster) agentStates(e *proc, name string) map[string]string {
	_, respBody := c.callAPI(e, http.MethodGet, "/v1/contracts/"+name+"/members", 0, nil)
	var agents []struct{ Packets, State string }
	_ = json.Unmarshal(respBody, &agents) // If the entry doesn't respond, the map is empty.
	states := make(map[string]string)
	for _, a := range agents {
		host, _, _ := net.SplitHostPort(a.Packets)
		states[host] = a.State
	}
	return states
}

// awaitAgentState waits until all entries report a state for an agent.
func (s *service) awaitAgentState(t *target, state string, timeout time.Duration) {
	s.cluster.t.Helper()
	await(s.cluster.t, timeout, fmt.Sprintf("%s is %s at all entries", t.name, state), func() bool {
		for _, e := range s.cluster.entries {
			if s.cluster.agentStates(e, s.name)[t.ip.String()] != state {
				return false
			}
		}
		return true
	})
}

// caller returns a new caller of the service that sends a request at most attempts times; 0 means the caller library's
// default.
func (s *service) caller(attempts int) *caller.Client {
	s.cluster.t.Helper()
	c := caller.New(caller.Options{TLS: s.cluster.authority.ClientConfig(s.name), Attempts: attempts})
	s.cluster.t.Cleanup(func() { _ = c.Close() })
	return c
}

// request returns a request to the service with the headers that the sample server expects.
func (s *service) request(ctx context.Context, method, path, id, body string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+s.address.String()+path, strings.NewReader(body))
	if err != nil {
		s.cluster.t.Fatal(err)
	}
	if body == "" {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	req.Header.Set(sample.HeaderService, s.name)
	req.Header.Set(sample.HeaderID, id)
	return req
}
