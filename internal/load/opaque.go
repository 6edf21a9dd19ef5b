package load

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// opaqueClientCount is the number of client machines. The fabric spreads their flows over the entries.
const opaqueClientCount = 16

// opaqueRunner runs a measurement of the programs for opaque flows. An arrival uses the persistent flow of its caller,
// which carries one request at a time, or opens a flow of its own while that is in use.
type opaqueRunner struct {
	*trial
	d       *local.Deployment
	clients []*fakes.Client
	flows   []*persistentFlow
}

// persistentFlow is the flow that a caller keeps open. flow is nil once it has failed.
type persistentFlow struct {
	inUse sync.Mutex
	flow  *fakes.Flow
}

// runOpaque runs a measurement with a deployment of processes on this machine.
func runOpaque(ctx context.Context, t *trial, spec *devel.Spec) (*Result, error) {
	opts := local.Options{
		Entries: spec.Entries, Slot: t.opts.Slot, Binary: t.opts.Binary, Dir: t.opts.Dir, Watcher: local.NopWatcher{}, ServiceTime: serviceTimeOf,
	}
	for _, s := range spec.Services {
		opts.Services = append(opts.Services, local.Service{
			Name: s.Name, Servers: s.Targets, Slots: s.Slots, Slowness: s.Slowness, Queue: s.Queue,
		})
	}
	d, err := local.New(opts)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	o := &opaqueRunner{trial: t, d: d}
	if err := o.openFlows(ctx); err != nil {
		return nil, err
	}
	return o.measure(ctx)
}

// openFlows creates the client machines and opens the persistent flows, spread over openDuration.
func (o *opaqueRunner) openFlows(ctx context.Context) error {
	for i := range opaqueClientCount {
		c, err := o.d.NewClient(i)
		if err != nil {
			return err
		}
		o.clients = append(o.clients, c)
	}
	for i := range o.scenario.Flows {
		f, err := o.clients[i%opaqueClientCount].Open(ctx, o.d.ServiceAddress(o.scenario.Service))
		if err != nil {
			return errors.Wrap(err, "open flows")
		}
		o.flows = append(o.flows, &persistentFlow{flow: f})
		sleepUntil(ctx, time.Now().Add(openDuration/time.Duration(o.scenario.Flows)))
	}
	return nil
}

func (o *opaqueRunner) measure(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	sampler := newUsageSampler(o.sampleUsage)
	go o.reportProgress(ctx)
	go sampler.run(ctx, start)
	if err := o.replay(ctx, start, func(a *arrival) outcome { return o.send(ctx, a) }); err != nil {
		return nil, err
	}
	res := o.evaluate()
	o.addServerUsage(res, sampler.recorded())
	return res, nil
}

// sampleUsage reads the counters of the service's backend servers.
func (o *opaqueRunner) sampleUsage() usageSample {
	var sample usageSample
	for _, p := range o.d.Agents {
		server := o.d.Server(p)
		if server.Service() != o.scenario.Service {
			continue
		}
		usage := server.Usage()
		sample.busy = append(sample.busy, usage.Busy)
		sample.flows = append(sample.flows, usage.Flows)
		sample.requests = append(sample.requests, usage.Requests)
	}
	return sample
}

// send sends the request of an arrival and waits for the response.
func (o *opaqueRunner) send(ctx context.Context, a *arrival) outcome {
	ctx, cancel := context.WithTimeout(ctx, o.timeout(a))
	defer cancel()
	request := fmt.Sprintf("%s-%d/%s", a.kind, a.index, a.serviceTime)
	started := time.Now()
	response, err := o.exchange(ctx, a, request)
	out := outcome{latency: time.Since(started), err: err}
	switch {
	case errors.Is(err, errRefused), errors.Is(err, fakes.ErrShed):
		// The reset or the response says that the request has not run. Callers of opaque flows may retry at any time, so
		// there is no Retry-After to miss.
		out.runStatus, out.hasRetryAfter = contr.RunNot, true
	case err == nil:
		out.code = http.StatusOK
		gotRequest, service, server, ok := fakes.ParseResponse(response)
		out.server = server
		if !ok || gotRequest != request || service != o.scenario.Service {
			o.mu.Lock()
			o.wrongResponses++
			o.mu.Unlock()
		}
	}
	return out
}

// errRefused is returned if the flow was reset while it was opened, so that the request has not run.
var errRefused = errors.New("load: flow refused")

// exchange sends a request on the caller's persistent flow or, while that is in use or after it failed, on a new one.
func (o *opaqueRunner) exchange(ctx context.Context, a *arrival, request string) (string, error) {
	if persistent := o.flows[a.flowIndex]; persistent.inUse.TryLock() {
		defer persistent.inUse.Unlock()
		if persistent.flow != nil {
			response, err := persistent.flow.Do(ctx, request)
			if err != nil && !errors.Is(err, fakes.ErrShed) {
				o.dropFlow(persistent, err)
			}
			return response, err
		}
	}
	f, err := o.clients[a.flowIndex%opaqueClientCount].Open(ctx, o.d.ServiceAddress(o.scenario.Service))
	if errors.Is(err, fakes.ErrReset) {
		return "", errRefused
	}
	if err != nil {
		return "", err
	}
	defer f.Close()
	return f.Do(ctx, request)
}

// dropFlow closes a persistent flow whose request failed and counts it as broken if it was reset. Later requests of the
// caller open a flow each.
func (o *opaqueRunner) dropFlow(persistent *persistentFlow, err error) {
	persistent.flow.Close()
	persistent.flow = nil
	if errors.Is(err, fakes.ErrReset) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.brokenStreams++
	}
}

// serviceTimeOf returns the service time of a request at the fastest server, which follows the slash in its text.
func serviceTimeOf(request string) time.Duration {
	_, duration, _ := strings.Cut(request, "/")
	d, err := time.ParseDuration(duration)
	if err != nil {
		panic("load: request without a service time: " + strconv.Quote(request)) // All requests come from send.
	}
	return d
}
