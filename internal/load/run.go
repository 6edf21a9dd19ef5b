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

// Options are what a measurement is run with.
type Options struct {
	Policy string
	Log    *zap.Logger
	// Progress is told how many requests have arrived and ended, about once a second.
	Progress func(arrived, ended int)
	// Binary is the program, and Dir takes settings and logs, where a scenario runs the programs for opaque flows; Slot
	// keeps those at the same time apart.
	Binary, Dir string
	Slot        int
}

// outcome is what became of a request.
type outcome struct {
	code   int
	run    string
	retry  bool
	took   time.Duration
	server string
	err    error
}

// trial holds what was asked of a service, and what became of it.
type trial struct {
	scenario *Scenario
	opts     Options
	spec     devel.ServiceSpec
	arrivals []arrival
	outcomes []outcome

	mu     sync.Mutex
	ended  int
	broken int
	wrong  int
}

// runner runs one measurement in one process.
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
		return nil, errors.Errorf("there is no policy %q", opts.Policy)
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
			t.arrivals = s.arrivals(t.capacity())
			t.outcomes = make([]outcome, len(t.arrivals))
			return t, nil
		}
	}
	return nil, errors.Errorf("deployment %s has no service %q", s.Deployment, s.Service)
}

// capacity returns the number of slots of the service, as slots of its fastest server.
func (t *trial) capacity() float64 {
	sum := 0.0
	for i := range t.spec.Targets {
		sum += float64(t.spec.Slots) / t.slowness(i)
	}
	return sum
}

func (t *trial) slowness(i int) float64 {
	list := t.spec.Slowness
	if len(list) == 0 {
		return 1
	}
	return list[i%len(list)]
}

// play sends each arrival at its time, and returns when all are answered.
func (t *trial) play(ctx context.Context, start time.Time, send func(*arrival) outcome) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range t.arrivals {
		if !sleepUntil(ctx, start.Add(t.arrivals[i].at)) {
			return ctx.Err()
		}
		wg.Go(func() {
			t.outcomes[i] = send(&t.arrivals[i])
			t.mu.Lock()
			t.ended++
			t.mu.Unlock()
		})
	}
	sleepUntil(ctx, start.Add(t.scenario.length()))
	return nil
}

// deadline returns how long an arrival may take.
func (t *trial) deadline(a *arrival) time.Duration {
	if a.kind == straggler {
		return max(t.scenario.Deadline.Std(), 10*a.work)
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

// openTime is the time over which the flows of a measurement are opened.
const openTime = 2 * time.Second

// openFlows opens the flows of all callers before the measurement starts, one after the other.
func (r *runner) openFlows(ctx context.Context) error {
	errs := make(chan error, len(r.callers))
	for _, c := range r.callers {
		go func() { errs <- r.openFlow(ctx, c) }()
		time.Sleep(openTime / time.Duration(len(r.callers)))
	}
	for range r.callers {
		if err := <-errs; err != nil {
			return errors.Wrap(err, "open flows")
		}
	}
	return nil
}

func (r *runner) openFlow(ctx context.Context, c *caller.Client) error {
	req, err := r.request(ctx, http.MethodGet, "/work/open?ms=0", "open", "")
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
	meter := newMeter(r.reading)
	var wg sync.WaitGroup
	for i := range r.scenario.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.stream(ctx, i)
		}()
	}
	go r.runEvents(ctx, start)
	go r.tellProgress(ctx)
	go meter.run(ctx, start)
	if err := r.play(ctx, start, func(a *arrival) outcome { return r.send(ctx, a) }); err != nil {
		return nil, err
	}
	usage := meter.usage()
	wg.Wait()
	return r.result(usage), nil
}

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

func (t *trial) tellProgress(ctx context.Context) {
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
			ended := t.ended
			t.mu.Unlock()
			t.opts.Progress(len(t.arrivals), ended)
		}
	}
}

func (r *runner) request(ctx context.Context, method, path, id, body string) (*http.Request, error) {
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

// send sends the request of an arrival and waits for its answer.
func (r *runner) send(ctx context.Context, a *arrival) outcome {
	deadline := r.deadline(a)
	id := fmt.Sprintf("%s-%d", a.kind, a.index)
	segment := a.kind
	if r.scenario.Work.Unmarked {
		segment = short
	}
	path := fmt.Sprintf("/%s/a?ms=%g", segment, float64(a.work)/float64(time.Millisecond))
	method, body := http.MethodGet, ""
	if a.kind == order {
		method, body = http.MethodPost, "3 pallets"
		path = fmt.Sprintf("/orders?ms=%g", float64(a.work)/float64(time.Millisecond))
	}
	req, err := r.request(ctx, method, path, id, body)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set(contr.HeaderTimeout, deadline.String())
	began := time.Now()
	resp, err := r.callers[a.flow].DoOnce(ctx, req)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	o := outcome{
		code: resp.StatusCode, run: resp.Header.Get(contr.HeaderRun), retry: resp.Header.Get("Retry-After") != "",
		took: time.Since(began), server: resp.Header.Get(sample.HeaderServer), err: err,
	}
	if o.code == http.StatusOK && string(answer) != r.service.Spec.Name+" "+id+" "+body {
		r.mu.Lock()
		r.wrong++
		r.mu.Unlock()
	}
	return o
}

// stream holds one long answer until the measurement ends.
func (r *runner) stream(ctx context.Context, i int) {
	const interval = 200 * time.Millisecond
	count := int((r.scenario.length()+time.Second)/interval) + 1
	id := fmt.Sprintf("stream-%d", i)
	req, err := r.request(ctx, http.MethodGet, fmt.Sprintf("/stream?count=%d&interval=%s", count, interval), id, "")
	if err != nil {
		return
	}
	resp, err := r.callers[r.scenario.Flows+i].Do(ctx, req)
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
		r.broken++
		r.mu.Unlock()
	}
}

// runEvents makes the scenario's events happen.
func (r *runner) runEvents(ctx context.Context, start time.Time) {
	for _, e := range r.scenario.Event {
		if !sleepUntil(ctx, start.Add(r.scenario.Warmup.Std()+e.At.Std())) {
			return
		}
		r.happen(e)
	}
}

func (r *runner) happen(e Event) {
	for i, t := range r.service.Targets {
		if e.Target != i && e.Target != -1 {
			continue
		}
		switch e.Kind {
		case Slow:
			t.Server.SetFaults(sample.Faults{ExtraDelay: e.Delay.Std()})
		case Fail:
			t.Server.SetFaults(sample.Faults{Fail: true})
		case Drain:
			t.Drain()
		}
	}
	if e.Kind == Join {
		if _, err := r.d.AddTarget(r.service); err != nil {
			r.opts.Log.Error("can't add a server", zap.Error(err))
		}
	}
}
