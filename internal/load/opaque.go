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

// opaqueClients is the number of client machines, whose flows the fabric spreads over the entries.
const opaqueClients = 16

// opaque runs one measurement of the programs for opaque flows. An arrival goes to its caller's flow, which carries one
// request at a time, or to a flow of its own while that is busy.
type opaque struct {
	*trial
	d       *local.Deployment
	clients []*fakes.Client
	flows   []*heldFlow
}

// heldFlow is the flow that a caller keeps.
type heldFlow struct {
	busy sync.Mutex
	flow *fakes.Flow
}

// runOpaque runs a measurement with processes on this machine.
func runOpaque(ctx context.Context, t *trial, spec *devel.Spec) (*Result, error) {
	opts := local.Options{
		Entries: spec.Entries, Slot: t.opts.Slot, Binary: t.opts.Binary, Dir: t.opts.Dir, Watcher: local.NopWatcher{}, Work: workOf,
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
	o := &opaque{trial: t, d: d}
	if err := o.openFlows(ctx); err != nil {
		return nil, err
	}
	return o.measure(ctx)
}

// openFlows opens the flows that callers keep.
func (o *opaque) openFlows(ctx context.Context) error {
	for i := range opaqueClients {
		c, err := o.d.NewClient(i)
		if err != nil {
			return err
		}
		o.clients = append(o.clients, c)
	}
	for i := range o.scenario.Flows {
		f, err := o.clients[i%opaqueClients].Open(ctx, o.d.ServiceAddress(o.scenario.Service))
		if err != nil {
			return errors.Wrap(err, "open flows")
		}
		o.flows = append(o.flows, &heldFlow{flow: f})
		sleepUntil(ctx, time.Now().Add(openTime/time.Duration(o.scenario.Flows)))
	}
	return nil
}

func (o *opaque) measure(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	meter := newMeter(o.reading)
	go o.tellProgress(ctx)
	go meter.run(ctx, start)
	if err := o.play(ctx, start, func(a *arrival) outcome { return o.send(ctx, a) }); err != nil {
		return nil, err
	}
	res := o.result()
	o.use(res, meter.usage())
	return res, nil
}

// reading reads the use of the service's servers.
func (o *opaque) reading() reading {
	var now reading
	for _, p := range o.d.Agents {
		s := o.d.Server(p)
		if s.Service() != o.scenario.Service {
			continue
		}
		u := s.Usage()
		now.busy = append(now.busy, u.Busy)
		now.flows = append(now.flows, u.Flows)
		now.requests = append(now.requests, u.Requests)
	}
	return now
}

// send sends the request of an arrival and waits for its answer.
func (o *opaque) send(ctx context.Context, a *arrival) outcome {
	ctx, cancel := context.WithTimeout(ctx, o.deadline(a))
	defer cancel()
	request := fmt.Sprintf("%s-%d/%s", a.kind, a.index, a.work)
	began := time.Now()
	answer, err := o.exchange(ctx, a, request)
	out := outcome{took: time.Since(began), err: err}
	switch {
	case errors.Is(err, errRefused), errors.Is(err, fakes.ErrShed):
		out.run, out.retry = contr.RunNot, true // The flow's reset or the answer says so; callers come back as they like.
	case err == nil:
		out.code = http.StatusOK
		got, service, server, ok := fakes.ParseResponse(answer)
		out.server = server
		if !ok || got != request || service != o.scenario.Service {
			o.mu.Lock()
			o.wrong++
			o.mu.Unlock()
		}
	}
	return out
}

// errRefused says that the system reset a flow that was to open, so that its request has not run.
var errRefused = errors.New("load: flow was refused")

// exchange sends a request on its caller's flow or on a new one.
func (o *opaque) exchange(ctx context.Context, a *arrival, request string) (string, error) {
	if h := o.flows[a.flow]; h.busy.TryLock() {
		defer h.busy.Unlock()
		if h.flow != nil {
			answer, err := h.flow.Do(ctx, request)
			if err != nil && !errors.Is(err, fakes.ErrShed) {
				o.lose(h, err)
			}
			return answer, err
		}
	}
	f, err := o.clients[a.flow%opaqueClients].Open(ctx, o.d.ServiceAddress(o.scenario.Service))
	if errors.Is(err, fakes.ErrReset) {
		return "", errRefused
	}
	if err != nil {
		return "", err
	}
	defer f.Close()
	return f.Do(ctx, request)
}

// lose closes a kept flow whose request failed, and counts it as broken if it was reset. Its caller's later requests
// open a flow each.
func (o *opaque) lose(h *heldFlow, err error) {
	h.flow.Close()
	h.flow = nil
	if errors.Is(err, fakes.ErrReset) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.broken++
	}
}

// workOf returns how long a request takes at the fastest server: what stands behind the slash.
func workOf(request string) time.Duration {
	_, text, _ := strings.Cut(request, "/")
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("load: request without its work: " + strconv.Quote(request)) // The only sender is send.
	}
	return d
}
