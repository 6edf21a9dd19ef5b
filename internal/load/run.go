package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Options configures a measurement.
type Options struct {
	// Policy is the name of the policy to measure.
	Policy string
	Log    *zap.Logger
	// Progress is called once a second with the number of requests of the measurement and how many of them have completed.
	// It may be nil.
	Progress func(total, completed int)
	// Binary is the path of the program and Dir receives its settings files and logs. They are needed by scenarios with
	// opaque flows only.
	Binary, Dir string
	// Slot selects the loopback addresses of scenarios with opaque flows, so that concurrent runs don't collide.
	Slot int
}

// outcome is the outcome of a request.
type outcome struct {
	// code is the status of the response, 0 if there is none.
	code int
	// runStatus says whether the request has run, as in contr.HeaderRun.
	runStatus string
	// hasRetryAfter reports whether a refusal says when to retry.
	hasRetryAfter bool
	latency       time.Duration
	server        string
	err           error
}

// trial holds the requests of a measurement and their outcomes. The counters include the warm-up.
type trial struct {
	scenario *Scenario
	opts     Options
	spec     devel.ServiceSpec
	arrivals []arrival
	outcomes []outcome

	mu             sync.Mutex
	completed      int
	brokenStreams  int
	wrongResponses int
}

// runner runs a measurement with a deployment in this process.
type runner struct {
	*trial
	d       *devel.Deployment
	service *devel.Service
	callers []*caller.Client
}

// Run runs a measurement and returns its result.
func Run(ctx context.Context, s *Scenario, opts Options) (*Result, error) {
	spec, err := devel.LoadSpec(s.Deployment)
	if err != nil {
		return nil, err
	}
	policy, ok := policies[opts.Policy]
	if !ok {
		return nil, errors.Errorf("unknown policy %q", opts.Policy)
	}
	t, err := newTrial(s, spec, opts)
	if err != nil {
		return nil, err
	}
	if s.Opaque {
		return runOpaque(ctx, t, spec)
	}
	d, err := devel.Start(ctx, devel.Options{Spec: spec, Seed: s.Seed, Log: opts.Log, Policy: policy})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	r := &runner{trial: t, d: d}
	for _, service := range d.Services() {
		if service.Spec.Name == s.Service {
			r.service = service
		}
	}
	return r.run(ctx)
}

func newTrial(s *Scenario, spec *devel.Spec, opts Options) (*trial, error) {
	for _, service := range spec.Services {
		if service.Name == s.Service {
			t := &trial{scenario: s, opts: opts, spec: service}
			t.arrivals = s.generateArrivals(t.capacity())
			t.outcomes = make([]outcome, len(t.arrivals))
			return t, nil
		}
	}
	return nil, errors.Errorf("deployment %s has no service %q", s.Deployment, s.Service)
}

// capacity returns the capacity of the service in slots of its fastest server, whose slowness is 1.
func (t *trial) capacity() float64 {
	sum := 0.0
	for i := range t.spec.Targets {
		sum += float64(t.spec.Slots) / t.slowness(i)
	}
	return sum
}

func (t *trial) slowness(i int) float64 {
	slowness := t.spec.Slowness
	if len(slowness) == 0 {
		return 1
	}
	return slowness[i%len(slowness)]
}

// replay sends each arrival at its time and returns when all of them have completed.
func (t *trial) replay(ctx context.Context, start time.Time, send func(*arrival) outcome) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range t.arrivals {
		if !sleepUntil(ctx, start.Add(t.arrivals[i].at)) {
			return ctx.Err()
		}
		wg.Go(func() {
			t.outcomes[i] = send(&t.arrivals[i])
			t.mu.Lock()
			t.completed++
			t.mu.Unlock()
		})
	}
	sleepUntil(ctx, start.Add(t.scenario.totalDuration()))
	return nil
}

// timeout returns how long a request may take. Stragglers get at least ten times their service time.
func (t *trial) timeout(a *arrival) time.Duration {
	if a.kind == straggler {
		return max(t.scenario.Deadline.Std(), 10*a.serviceTime)
	}
	return t.scenario.Deadline.Std()
}

func (r *runner) run(ctx context.Context) (*Result, error) {
	for range r.scenario.Flows + r.scenario.Streams {
		r.callers = append(r.callers, caller.New(caller.Options{TLS: r.d.Authority.ClientConfig(r.service.Spec.Name), Attempts: 1}))
	}
	defer func() {
		for _, c := range r.callers {
			_ = c.Close()
		}
	}()
	if err := r.openFlows(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// openDuration is the time over which opening the flows of a measurement is spread.
const openDuration = 2 * time.Second

// openFlows opens the flows of all callers, spread over openDuration, before the measurement starts.
func (r *runner) openFlows(ctx context.Context) error {
	errs := make(chan error, len(r.callers))
	for _, c := range r.callers {
		go func() { errs <- r.openFlow(ctx, c) }()
		time.Sleep(openDuration / time.Duration(len(r.callers)))
	}
	for range r.callers {
		if err := <-errs; err != nil {
			return errors.Wrap(err, "open flows")
		}
	}
	return nil
}

func (r *runner) openFlow(ctx context.Context, c *caller.Client) error {
	req, err := r.newRequest(ctx, http.MethodGet, "/work/open?ms=0", "open", "")
	if err != nil {
		return err
	}
	resp, err := c.Do(ctx, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (r *runner) measure(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	sampler := newUsageSampler(r.sampleUsage)
	var wg sync.WaitGroup
	for i := range r.scenario.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.holdStream(ctx, i)
		}()
	}
	go r.runEvents(ctx, start)
	go r.reportProgress(ctx)
	go sampler.run(ctx, start)
	if err := r.replay(ctx, start, func(a *arrival) outcome { return r.send(ctx, a) }); err != nil {
		return nil, err
	}
	samples := sampler.recorded()
	wg.Wait()
	return r.finish(samples), nil
}

// sleepUntil waits until t. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (t *trial) reportProgress(ctx context.Context) {
	if t.opts.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.mu.Lock()
			completed := t.completed
			t.mu.Unlock()
			t.opts.Progress(len(t.arrivals), completed)
		}
	}
}

// newRequest returns a request to the service. An empty body means that it has none.
func (r *runner) newRequest(ctx context.Context, method, path, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+r.service.Address.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body == "" {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	req.Header.Set(sample.HeaderService, r.service.Spec.Name)
	req.Header.Set(sample.HeaderID, id)
	return req, nil
}

// send sends the request of an arrival and waits for the response.
func (r *runner) send(ctx context.Context, a *arrival) outcome {
	timeout := r.timeout(a)
	id := fmt.Sprintf("%s-%d", a.kind, a.index)
	pathKind := a.kind
	if r.scenario.Work.UnmarkedStragglers {
		pathKind = short
	}
	path := fmt.Sprintf("/%s/a?ms=%g", pathKind, float64(a.serviceTime)/float64(time.Millisecond))
	method, body := http.MethodGet, ""
	if a.kind == order {
		method, body = http.MethodPost, "3 pallets"
		path = fmt.Sprintf("/orders?ms=%g", float64(a.serviceTime)/float64(time.Millisecond))
	}
	req, err := r.newRequest(ctx, method, path, id, body)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set(contr.HeaderTimeout, timeout.String())
	started := time.Now()
	resp, err := r.callers[a.flowIndex].DoOnce(ctx, req)
	if err != nil {
		return outcome{err: err, latency: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	o := outcome{
		code: resp.StatusCode, runStatus: resp.Header.Get(contr.HeaderRun), hasRetryAfter: resp.Header.Get("Retry-After") != "",
		latency: time.Since(started), server: resp.Header.Get(sample.HeaderServer), err: err,
	}
	if o.code == http.StatusOK && string(responseBody) != r.service.Spec.Name+" "+id+" "+body {
		r.mu.Lock()
		r.wrongResponses++
		r.mu.Unlock()
	}
	return o
}

// holdStream reads a streaming response that lasts until the measurement ends.
func (r *runner) holdStream(ctx context.Context, streamIndex int) {
	const interval = 200 * time.Millisecond
	count := int((r.scenario.totalDuration()+time.Second)/interval) + 1
	id := fmt.Sprintf("stream-%d", streamIndex)
	req, err := r.newRequest(ctx, http.MethodGet, fmt.Sprintf("/stream?count=%d&interval=%s", count, interval), id, "")
	if err != nil {
		return
	}
	resp, err := r.callers[r.scenario.Flows+streamIndex].Do(ctx, req)
	lines := 0
	if err == nil {
		scanner := bufio.NewScanner(resp.Body)
		for scanner.Scan() {
			lines++
		}
		_ = resp.Body.Close()
	}
	if lines != count && ctx.Err() == nil {
		r.mu.Lock()
		r.brokenStreams++
		r.mu.Unlock()
	}
}

// runEvents applies the events of the scenario at their times.
func (r *runner) runEvents(ctx context.Context, start time.Time) {
	for _, e := range r.scenario.Events {
		if !sleepUntil(ctx, start.Add(r.scenario.Warmup.Std()+e.At.Std())) {
			return
		}
		r.applyEvent(e)
	}
}

// applyEvent applies an event to its target, or adds a server.
func (r *runner) applyEvent(e Event) {
	for i, t := range r.service.Targets {
		if e.Target != i && e.Target != -1 {
			continue
		}
		switch e.Kind {
		case EventSlow:
			t.Server.SetFaults(sample.Faults{ExtraDelay: e.Delay.Std()})
		case EventFail:
			t.Server.SetFaults(sample.Faults{Fail: true})
		case EventDrain:
			t.Drain()
		}
	}
	if e.Kind == EventJoin {
		if _, err := r.d.AddTarget(r.service); err != nil {
			r.opts.Log.Error("can't add a backend server", zap.Error(err))
		}
	}
}
