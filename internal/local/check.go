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

// The size of a check.
const (
	checkClients  = 10
	checkFlows    = 50
	checkRequests = 200
	// checkPause is the time between two requests of a flow that is held, checkGap between two that open a flow each.
	checkPause = 100 * time.Millisecond
	checkGap   = 40 * time.Millisecond
	// checkTimeout is how long a request may take.
	checkTimeout = 3 * time.Second
)

// CheckOptions are the options of the deployment of a check: a service each on a few servers, and requests of 10 ms.
func CheckOptions(binary, dir string, slot int) Options {
	return Options{
		Entries: 3, Slot: slot, Binary: binary, Dir: dir, Watcher: NopWatcher{},
		Services: []Service{{Name: "desk", Servers: 3, Slots: 4}, {Name: "intake", Servers: 3, Slots: 4}},
		Work:     func(string) time.Duration { return 10 * time.Millisecond },
	}
}

// check counts what becomes of requests and flows.
type check struct {
	NopWatcher
	d       *Deployment
	clients []*fakes.Client
	note    func(format string, args ...any)

	mu     sync.Mutex
	result devel.CheckResult
	runs   map[string]int
}

// Check starts a deployment, and sends requests and holds flows while each entry is replaced, an agent is replaced and a
// server drains. It tells its progress by note.
func Check(ctx context.Context, opts Options, note func(format string, args ...any)) (devel.CheckResult, error) {
	c := &check{note: note, runs: make(map[string]int)}
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
	return c.counted(), err
}

// Ran counts the runs of a request.
func (c *check) Ran(_ *fakes.Server, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[request]++
}

// Forged counts a packet that was changed on its way.
func (c *check) Forged(string) { c.count(func(r *devel.CheckResult) { r.Wrong++ }) }

func (c *check) count(f func(*devel.CheckResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

func (c *check) run(ctx context.Context) error {
	held, release := context.WithCancel(ctx)
	defer release()
	var flows, requests sync.WaitGroup
	for i := range checkFlows {
		flows.Go(func() { c.hold(held, i) })
	}
	changed := make(chan error, 1)
	go func() { changed <- c.change(ctx) }()
	for i := range checkRequests {
		requests.Go(func() { c.request(ctx, i) })
		time.Sleep(checkGap)
	}
	requests.Wait()
	err := <-changed
	release()
	flows.Wait()
	return err
}

// change lets a server drain, and replaces an agent and all entries, one after the other.
func (c *check) change(ctx context.Context) error {
	time.Sleep(time.Second)
	leaving := c.d.Agents[0]
	c.note("server beside %s drains", leaving.Name)
	c.d.Server(leaving).Drain()
	for _, p := range append([]*Process{c.d.Agents[1]}, c.d.Entries...) {
		c.note("replacing %s", p.Name)
		select {
		case <-p.Signal(syscall.SIGTERM):
		case <-time.After(GracePeriod + time.Second):
			return errors.Errorf("%s did not stop within its grace time", p.Name)
		}
		if err := p.Start(); err != nil {
			return err
		}
		time.Sleep(2 * probeEvery)
		if err := c.d.AwaitEntries(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *check) service(i int) string {
	return c.d.opts.Services[i%len(c.d.opts.Services)].Name
}

// hold keeps a flow open and sends requests on it until ctx ends.
func (c *check) hold(ctx context.Context, i int) {
	f, err := c.clients[i%len(c.clients)].Open(ctx, c.d.ServiceAddress(c.service(i)))
	if err != nil {
		c.note("flow %d: %v", i, err)
		c.count(func(r *devel.CheckResult) { r.Broken++ })
		return
	}
	defer f.Close()
	for n := 0; ctx.Err() == nil; n++ {
		if err := c.send(f, c.service(i), fmt.Sprintf("held/%d/%d", i, n)); err != nil {
			c.note("flow %d: %v", i, err)
			c.count(func(r *devel.CheckResult) { r.Broken++ })
			return
		}
		time.Sleep(checkPause)
	}
}

// request sends one request on a flow of its own.
func (c *check) request(ctx context.Context, i int) {
	c.count(func(r *devel.CheckResult) { r.Requests++ })
	f, err := c.clients[i%len(c.clients)].Open(ctx, c.d.ServiceAddress(c.service(i)))
	if err == nil {
		defer f.Close()
		err = c.send(f, c.service(i), fmt.Sprintf("one/%d", i))
	}
	if err != nil {
		c.note("request %d: %v", i, err)
		return
	}
	c.count(func(r *devel.CheckResult) { r.Answered++ })
}

// send sends a request and checks that its answer is the service's answer to it.
func (c *check) send(f *fakes.Flow, service, request string) error {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	answer, err := f.Do(ctx, request)
	if err != nil {
		return err
	}
	if got, from, _, ok := fakes.ParseAnswer(answer); !ok || got != request || from != service {
		c.count(func(r *devel.CheckResult) { r.Wrong++ })
	}
	return nil
}

// counted returns the result, with the requests that ran more than once.
func (c *check) counted() devel.CheckResult {
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
