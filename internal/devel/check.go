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

// The size of a check.
const (
	checkRequests = 200
	checkStreams  = 50
	checkLines    = 200
	checkInterval = 50 * time.Millisecond
	checkGap      = 40 * time.Millisecond
	checkTimeout  = 60 * time.Second
)

// CheckResult counts what became of a check's requests and streams.
type CheckResult struct {
	Requests int
	Answered int
	// Broken counts streams that ended early, Wrong answers that were another request's or not whole.
	Broken int
	Wrong  int
	// Doubled counts requests that are not idempotent and ran more than once.
	Doubled int
}

// String returns the result as one line.
func (r CheckResult) String() string {
	return fmt.Sprintf("check: requests=%d answered=%d broken=%d wrong=%d doubled=%d",
		r.Requests, r.Answered, r.Broken, r.Wrong, r.Doubled)
}

// OK reports whether all went well.
func (r CheckResult) OK() bool {
	return r.Answered == r.Requests && r.Broken == 0 && r.Wrong == 0 && r.Doubled == 0
}

// checker runs a check.
type checker struct {
	d        *Deployment
	callers  []*caller.Client
	services []*Service
	answered atomic.Int64
	broken   atomic.Int64
	wrong    atomic.Int64
	note     func(format string, args ...any)
}

// Check sends requests and holds streams while each entry is replaced and one agent drains. It tells its
// progress by note.
func (d *Deployment) Check(ctx context.Context, note func(format string, args ...any)) (CheckResult, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c := &checker{d: d, services: d.Services(), note: note}
	for i := range checkStreams {
		s := c.services[i%len(c.services)]
		c.callers = append(c.callers, caller.New(caller.Options{TLS: d.Authority.ClientConfig(s.Spec.Name)}))
	}
	defer func() {
		for _, cl := range c.callers {
			_ = cl.Close()
		}
	}()
	err := c.run(ctx)
	return c.result(), err
}

func (c *checker) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range checkStreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.stream(ctx, i)
		}()
	}
	changed := make(chan error, 1)
	go func() { changed <- c.change() }()
	for i := range checkRequests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(ctx, i)
		}()
		time.Sleep(checkGap)
	}
	wg.Wait()
	return <-changed
}

// change replaces each entry and drains one agent.
func (c *checker) change() error {
	time.Sleep(time.Second)
	leaving := c.services[0].Targets[0]
	c.note("draining %s", leaving.Name)
	leaving.Drain()
	for _, old := range c.d.Entries() {
		if _, err := c.d.AddEntry(); err != nil {
			return err
		}
		c.note("replacing entry %s", old.Bind)
		c.d.StopEntry(old)
	}
	select {
	case <-leaving.Done():
		c.note("%s has drained", leaving.Name)
		return nil
	case <-time.After(checkTimeout):
		return errors.Errorf("%s didn't drain within %s", leaving.Name, checkTimeout)
	}
}

// stream holds one long answer and checks that it is whole.
func (c *checker) stream(ctx context.Context, i int) {
	s := c.services[i%len(c.services)]
	id := fmt.Sprintf("stream-%d", i)
	path := fmt.Sprintf("/stream?count=%d&interval=%s", checkLines, checkInterval)
	resp, err := c.send(ctx, i, order{method: http.MethodGet, path: path, id: id})
	if err != nil {
		c.note("%s: %v", id, err)
		c.broken.Add(1)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	n := 0
	for ; lines.Scan(); n++ {
		if lines.Text() != fmt.Sprintf("%s %s %d", s.Spec.Name, id, n) {
			c.wrong.Add(1)
			return
		}
	}
	if n != checkLines || lines.Err() != nil {
		c.note("%s of %s ended after %d lines: %v", id, resp.Header.Get(sample.HeaderServer), n, lines.Err())
		c.broken.Add(1)
	}
}

// request sends one request, in turn one that is idempotent and one that is not, and checks its answer.
func (c *checker) request(ctx context.Context, i int) {
	s := c.services[i%len(c.services)]
	id := fmt.Sprintf("request-%d", i)
	method, path, body := http.MethodGet, "/work/a?ms=10", ""
	if (i/len(c.services))%2 == 0 {
		method, path, body = http.MethodPost, "/orders?ms=10", "3 pallets"
	}
	resp, err := c.send(ctx, i, order{method: method, path: path, id: id, body: body})
	if err != nil {
		c.note("%s: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.note("%s: %s %v", id, resp.Status, err)
		return
	}
	c.answered.Add(1)
	whole := resp.Header.Get(sample.HeaderDigest) == sample.Digest(answer)
	if !whole || string(answer) != s.Spec.Name+" "+id+" "+body {
		c.wrong.Add(1)
	}
}

// order is a request to be sent.
type order struct{ method, path, id, body string }

// send sends a request by the i-th caller to its service.
func (c *checker) send(ctx context.Context, i int, o order) (*http.Response, error) {
	s := c.services[i%len(c.services)]
	req, err := http.NewRequestWithContext(ctx, o.method, "https://"+s.Address.String()+o.path, strings.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	if o.body == "" {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	req.Header.Set(sample.HeaderService, s.Spec.Name)
	req.Header.Set(sample.HeaderID, o.id)
	return c.callers[i%len(c.callers)].Do(ctx, req)
}

func (c *checker) result() CheckResult {
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
