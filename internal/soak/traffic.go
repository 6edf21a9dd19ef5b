package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// objective is until when an answer counts as in time, deadline until when a client waits.
	objective = 250 * time.Millisecond
	deadline  = 3 * time.Second
	// tries is how often a client tries a request, with a new flow each time.
	tries = 3
)

// traffic runs clients until ctx ends: half of them keep a flow open for many requests, the others open one for each.
func (d *deployment) traffic(ctx context.Context) error {
	var wg sync.WaitGroup
	var serial atomic.Int64
	for i := range d.opts.Clients {
		c, err := d.NewClient(i)
		if err != nil {
			return err
		}
		for n := range 2 {
			u := &user{d: d, client: c, service: services[(i+n)%len(services)], long: n == 0, serial: &serial}
			wg.Go(func() { u.run(ctx) })
		}
	}
	wg.Wait()
	return nil
}

// user sends one request after the other.
type user struct {
	d       *deployment
	client  *fakes.Client
	service string
	long    bool
	serial  *atomic.Int64
	flow    *fakes.Flow
}

func (u *user) run(ctx context.Context) {
	for ctx.Err() == nil {
		u.request(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+rand.IntN(120)) * time.Millisecond):
		}
	}
	if u.flow != nil {
		u.flow.Close()
	}
}

// request sends a request; a safe one is tried again after any failure, an unsafe one only while it has not run.
func (u *user) request(ctx context.Context) {
	kind := "s"
	if !u.long {
		kind = "u"
	}
	name := fmt.Sprintf("%s/%s/%d", kind, u.service, u.serial.Add(1))
	u.d.check.count(func(p *point) { p.sent++ })
	started := time.Now()
	for try := range tries {
		request := name
		if kind == "s" {
			request = fmt.Sprintf("%s/%d", name, try)
		}
		retry, err := u.try(ctx, request)
		if err == nil {
			late := time.Since(started) > objective
			u.d.check.count(func(p *point) {
				if late {
					p.late++
				} else {
					p.served++
				}
			})
			return
		}
		if ctx.Err() != nil {
			return
		}
		if kind == "u" && !retry {
			break
		}
	}
	u.d.check.count(func(p *point) { p.failed++ })
}

// try makes one attempt. retry says that it has certainly not run.
func (u *user) try(ctx context.Context, request string) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	if u.flow == nil {
		if u.flow, err = u.client.Open(ctx, u.d.ServiceAddress(u.service)); err != nil {
			return true, err
		}
	}
	answer, err := u.flow.Do(ctx, request)
	if err != nil || !u.long {
		u.flow.Close()
		u.flow = nil
	}
	if err != nil {
		return false, err
	}
	return false, u.verify(request, answer)
}

// verify checks that an answer is the service's answer to a request.
func (u *user) verify(request, answer string) error {
	got, service, _, ok := fakes.ParseResponse(answer)
	if !ok || got != request || service != u.service {
		u.d.check.broke(mixed, "request %s got the answer %q", request, answer)
		return errors.New("wrong answer")
	}
	return nil
}
