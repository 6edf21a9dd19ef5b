package local

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// Load and timing of a check.
const (
	checkClients = 10
	// checkFlows is the number of persistent flows, checkRequests the number of requests that open a flow each.
	checkFlows    = 50
	checkRequests = 200
	// persistentFlowInterval is the time between two requests of a persistent flow, newFlowInterval between two requests that
	// open a flow each.
	persistentFlowInterval = 100 * time.Millisecond
	newFlowInterval        = 40 * time.Millisecond
	// checkTimeout is the timeout of a request.
	checkTimeout = 3 * time.Second
	// checkCopyAge is the age of the copy from which the store returns, checkOutage how long it is unavailable before. The agent and
	// one entry are restarted meanwhile.
	checkCopyAge = 3 * time.Second
	checkOutage  = time.Second
)

// CheckOptions returns the options of the deployment that Check uses: two services with three backend servers each, and
// requests of 10 ms.
func CheckOptions(binary, dir string, slot int) Options {
	return Options{
		Entries: 3, Slot: slot, Binary: binary, Dir: dir, Watcher: NopWatcher{},
		Services:    []Service{{Name: "desk", Servers: 3, Slots: 4}, {Name: "intake", Servers: 3, Slots: 4}},
		ServiceTime: func(string) time.Duration { return 10 * time.Millisecond },
	}
}

// check counts the outcomes of requests and flows.
type check struct {
	NopWatcher
	d        *Deployment
	clients  []*fakes.Client
	progress func(format string, args ...any)

	mu     sync.Mutex
	result devel.CheckResult
	runs   map[string]int
}

// Check starts a deployment and sends requests on new and persistent flows while a backend server drains, and then an
// agent and each entry are restarted, while the store returns from an older copy. It reports progress through progress.
func Check(ctx context.Context, opts Options, progress func(format string, args ...any)) (devel.CheckResult, error) {
	c := &check{progress: progress, runs: make(map[string]int)}
	opts.Watcher = c
	d, err := New(opts)
	if err != nil {
		return devel.CheckResult{}, err
	}
	defer d.Close()
	c.d = d
	if err := d.Start(ctx); err != nil {
		return devel.CheckResult{}, err
	}
	for i := range checkClients {
		client, err := d.NewClient(i)
		if err != nil {
			return devel.CheckResult{}, err
		}
		c.clients = append(c.clients, client)
	}
	err = c.run(ctx)
	return c.total(), err
}

// RequestStarted counts the runs of a request.
func (c *check) RequestStarted(_ *fakes.Server, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[request]++
}

// Forged counts a packet that neither end of a flow sent; it counts as a wrong response.
func (c *check) Forged(string) { c.update(func(r *devel.CheckResult) { r.Wrong++ }) }

func (c *check) update(f func(*devel.CheckResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

func (c *check) run(ctx context.Context) error {
	flowCtx, stopFlows := context.WithCancel(ctx)
	defer stopFlows()
	var flows, requests sync.WaitGroup
	for i := range checkFlows {
		flows.Go(func() { c.runPersistentFlow(flowCtx, i) })
	}
	disrupted := make(chan error, 1)
	go func() { disrupted <- c.disrupt(ctx) }()
	for i := range checkRequests {
		requests.Go(func() { c.runRequest(ctx, i) })
		time.Sleep(newFlowInterval)
	}
	requests.Wait()
	err := <-disrupted
	stopFlows()
	flows.Wait()
	return err
}

// disrupt drains a backend server, then restarts an agent and all entries one after the other.
func (c *check) disrupt(ctx context.Context) error {
	time.Sleep(time.Second)
	draining := c.d.Agents[0]
	c.progress("server beside %s drains", draining.Name)
	c.d.Server(draining).Drain()
	restored := make(chan error, 1)
	go func() { restored <- c.d.RollBackStore(ctx, checkCopyAge, checkOutage) }()
	for _, p := range append([]*Process{c.d.Agents[1]}, c.d.Entries...) {
		c.progress("replacing %s", p.Name)
		select {
		case <-p.Signal(syscall.SIGTERM):
		case <-time.After(GracePeriod + time.Second):
			return errors.Errorf("%s did not stop within its grace period", p.Name)
		}
		if err := p.Start(); err != nil {
			return err
		}
		time.Sleep(2 * probeInterval)
		if err := c.d.AwaitEntries(ctx); err != nil {
			return err
		}
	}
	return <-restored
}

func (c *check) serviceName(i int) string {
	return c.d.opts.Services[i%len(c.d.opts.Services)].Name
}

// runPersistentFlow keeps a flow open and sends requests on it until ctx is done.
func (c *check) runPersistentFlow(ctx context.Context, i int) {
	f, err := c.clients[i%len(c.clients)].Open(ctx, c.d.ServiceAddress(c.serviceName(i)))
	if err != nil {
		c.progress("flow %d: %v", i, err)
		c.update(func(r *devel.CheckResult) { r.Broken++ })
		return
	}
	defer f.Close()
	for n := 0; ctx.Err() == nil; n++ {
		if err := c.sendRequest(f, c.serviceName(i), fmt.Sprintf("held/%d/%d", i, n)); err != nil {
			c.progress("flow %d: %v", i, err)
			c.update(func(r *devel.CheckResult) { r.Broken++ })
			return
		}
		time.Sleep(persistentFlowInterval)
	}
}

// runRequest sends one request on a new flow.
func (c *check) runRequest(ctx context.Context, i int) {
	c.update(func(r *devel.CheckResult) { r.Requests++ })
	f, err := c.clients[i%len(c.clients)].Open(ctx, c.d.ServiceAddress(c.serviceName(i)))
	if err == nil {
		defer f.Close()
		err = c.sendRequest(f, c.serviceName(i), fmt.Sprintf("one/%d", i))
	}
	if err != nil {
		c.progress("request %d: %v", i, err)
		return
	}
	c.update(func(r *devel.CheckResult) { r.Answered++ })
}

// sendRequest sends a request and counts the response as wrong unless it repeats the request and names the service.
func (c *check) sendRequest(f *fakes.Flow, service, request string) error {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	response, err := f.Do(ctx, request)
	if err != nil {
		return err
	}
	if got, from, _, ok := fakes.ParseResponse(response); !ok || got != request || from != service {
		c.update(func(r *devel.CheckResult) { r.Wrong++ })
	}
	return nil
}

// total returns the result, including the number of requests that ran more than once.
func (c *check) total() devel.CheckResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	for _, n := range c.runs {
		if n > 1 {
			r.Doubled++
		}
	}
	return r
}
