package devel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
)

// Load and timing of a check.
const (
	checkRequests   = 200
	checkStreams    = 50
	linesPerStream  = 200
	lineInterval    = 50 * time.Millisecond
	requestInterval = 40 * time.Millisecond
	// checkTimeout limits all requests and streams of a check, and the drain of the agent.
	checkTimeout = 60 * time.Second
)

// CheckResult counts the outcomes of the requests and streams of a check.
type CheckResult struct {
	Requests int
	Answered int
	// Broken counts streams, or persistent opaque flows, that could not be opened or ended early.
	Broken int
	// Wrong counts responses that don't match the request or are damaged, and requests that reached a backend server of
	// another service.
	Wrong int
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
}

// String returns the result as one line.
func (r CheckResult) String() string {
	return fmt.Sprintf("check: requests=%d answered=%d broken=%d wrong=%d doubled=%d",
		r.Requests, r.Answered, r.Broken, r.Wrong, r.Doubled)
}

// OK reports whether all requests were answered and Broken, Wrong and Doubled are 0.
func (r CheckResult) OK() bool {
	return r.Answered == r.Requests && r.Broken == 0 && r.Wrong == 0 && r.Doubled == 0
}

// checker holds the state of a running check.
type checker struct {
	d        *Deployment
	callers  []*caller.Client
	services []*Service
	answered atomic.Int64
	broken   atomic.Int64
	wrong    atomic.Int64
	progress func(format string, args ...any)
}

// Check sends requests and reads long-lived streams while each entry is replaced and one agent drains. It reports
// progress through progress.
func (d *Deployment) Check(ctx context.Context, progress func(format string, args ...any)) (CheckResult, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	check := &checker{d: d, services: d.Services(), progress: progress}
	for i := range checkStreams {
		s := check.services[i%len(check.services)]
		check.callers = append(check.callers, caller.New(caller.Options{TLS: d.Authority.ClientConfig(s.Spec.Name)}))
	}
	defer func() {
		for _, client := range check.callers {
			_ = client.Close()
		}
	}()
	err := check.run(ctx)
	return check.countResults(), err
}

func (c *checker) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range checkStreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.readStream(ctx, i)
		}()
	}
	disrupted := make(chan error, 1)
	go func() { disrupted <- c.disrupt() }()
	for i := range checkRequests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.runRequest(ctx, i)
		}()
		time.Sleep(requestInterval)
	}
	wg.Wait()
	return <-disrupted
}

// disrupt starts to drain an agent, replaces each entry by a new one and waits until the agent has drained.
func (c *checker) disrupt() error {
	time.Sleep(time.Second)
	draining := c.services[0].Targets[0]
	c.progress("draining %s", draining.Name)
	draining.Drain()
	for _, old := range c.d.Entries() {
		if _, err := c.d.AddEntry(); err != nil {
			return err
		}
		c.progress("replacing entry %s", old.Bind)
		c.d.StopEntry(old)
	}
	select {
	case <-draining.Done():
		c.progress("%s has drained", draining.Name)
		return nil
	case <-time.After(checkTimeout):
		return errors.Errorf("%s didn't drain within %s", draining.Name, checkTimeout)
	}
}

// readStream reads one stream and checks that all its lines arrive in order.
func (c *checker) readStream(ctx context.Context, i int) {
	s := c.services[i%len(c.services)]
	id := fmt.Sprintf("stream-%d", i)
	path := fmt.Sprintf("/stream?count=%d&interval=%s", linesPerStream, lineInterval)
	resp, err := c.sendRequest(ctx, i, requestSpec{method: http.MethodGet, path: path, id: id})
	if err != nil {
		c.progress("%s: %v", id, err)
		c.broken.Add(1)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	n := 0
	for ; scanner.Scan(); n++ {
		if scanner.Text() != fmt.Sprintf("%s %s %d", s.Spec.Name, id, n) {
			c.wrong.Add(1)
			return
		}
	}
	if n != linesPerStream || scanner.Err() != nil {
		c.progress("%s of %s ended after %d lines: %v", id, resp.Header.Get(sample.HeaderServer), n, scanner.Err())
		c.broken.Add(1)
	}
}

// runRequest sends a request and checks the response. Per service, non-idempotent and idempotent requests alternate.
func (c *checker) runRequest(ctx context.Context, i int) {
	s := c.services[i%len(c.services)]
	id := fmt.Sprintf("request-%d", i)
	method, path, body := http.MethodGet, "/work/a?ms=10", ""
	if (i/len(c.services))%2 == 0 {
		method, path, body = http.MethodPost, "/orders?ms=10", "3 pallets"
	}
	resp, err := c.sendRequest(ctx, i, requestSpec{method: method, path: path, id: id, body: body})
	if err != nil {
		c.progress("%s: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.progress("%s: %s %v", id, resp.Status, err)
		return
	}
	c.answered.Add(1)
	digestOK := resp.Header.Get(sample.HeaderDigest) == sample.Digest(responseBody)
	if !digestOK || string(responseBody) != s.Spec.Name+" "+id+" "+body {
		c.wrong.Add(1)
	}
}

// requestSpec describes a request; an empty body means that it has none.
type requestSpec struct{ method, path, id, body string }

// sendRequest sends a request from the i-th caller to the service that the caller is assigned to.
func (c *checker) sendRequest(ctx context.Context, i int, spec requestSpec) (*http.Response, error) {
	s := c.services[i%len(c.services)]
	req, err := http.NewRequestWithContext(ctx, spec.method, "https://"+s.Address.String()+spec.path, strings.NewReader(spec.body))
	if err != nil {
		return nil, err
	}
	if spec.body == "" {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	req.Header.Set(sample.HeaderService, s.Spec.Name)
	req.Header.Set(sample.HeaderID, spec.id)
	return c.callers[i%len(c.callers)].Do(ctx, req)
}

func (c *checker) countResults() CheckResult {
	r := CheckResult{
		Requests: checkRequests,
		Answered: int(c.answered.Load()),
		Broken:   int(c.broken.Load()),
		Wrong:    int(c.wrong.Load()),
	}
	runs := make(map[string]int)
	for _, s := range c.services {
		for _, t := range s.Targets {
			r.Wrong += t.Server.Misrouted()
			for id, n := range t.Server.OrderRuns() {
				runs[id] += n
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.Doubled++
		}
	}
	return r
}
