package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// fault is a kind of trouble; run makes it happen, and returns when it is over.
type fault struct {
	name string
	run  func(ctx context.Context, d *deployment, r *rand.Rand)
}

// faults returns all kinds of trouble.
func faults() []fault {
	return []fault{
		{"kill processes", func(ctx context.Context, d *deployment, r *rand.Rand) { d.kill(ctx, r, some(r, d.all())) }},
		{"kill entries", func(ctx context.Context, d *deployment, r *rand.Rand) { d.kill(ctx, r, some(r, d.entries)) }},
		{"kill all", func(ctx context.Context, d *deployment, r *rand.Rand) { d.kill(ctx, r, d.all()) }},
		{"roll entries", func(ctx context.Context, d *deployment, r *rand.Rand) { d.roll(ctx, r, d.entries) }},
		{"roll agents", func(ctx context.Context, d *deployment, r *rand.Rand) { d.roll(ctx, r, some(r, d.agents)) }},
		{"pause", func(ctx context.Context, d *deployment, r *rand.Rand) { d.pause(ctx, r, some(r, d.all())) }},
		{"settings", func(ctx context.Context, d *deployment, r *rand.Rand) { d.hangup(ctx, r, some(r, d.all())) }},
		{"store refuses", storeFault(fakes.Faults{Refuse: 503})},
		{"store limits", storeFault(fakes.Faults{Refuse: 429})},
		{"store silent", storeFault(fakes.Faults{Silent: true})},
		{"store slow", storeFault(fakes.Faults{Delay: 240 * time.Millisecond})},
		{"store loses answers", storeFault(fakes.Faults{Lose: 30})},
		{"store forgets", forget},
		{"store revokes", func(_ context.Context, d *deployment, _ *rand.Rand) { d.store.Revoke("bergamotrun/") }},
		{"link slow", linkFault(link{delay: 100 * time.Millisecond})},
		{"link silent", linkFault(link{muteUp: true, muteDown: true})},
		{"link one way", linkFault(link{muteDown: true})},
		{"link refused", linkFault(link{refuse: true})},
		{"links reset", func(_ context.Context, d *deployment, r *rand.Rand) { d.resetLinks(some(r, d.all())) }},
		{"server crashes", func(ctx context.Context, d *deployment, r *rand.Rand) { d.crash(ctx, r) }},
		{"server replaced", func(ctx context.Context, d *deployment, r *rand.Rand) { d.replace(ctx, r) }},
		{"configurations", func(ctx context.Context, d *deployment, r *rand.Rand) { d.configurations(ctx, r) }},
	}
}

// some returns a random part of the processes, one at least.
func some(r *rand.Rand, all []*process) []*process {
	n := 1 + r.IntN(max(1, len(all)/3))
	out := make([]*process, 0, n)
	for _, i := range r.Perm(len(all))[:n] {
		out = append(out, all[i])
	}
	return out
}

// between waits a random time, or until ctx ends.
func between(ctx context.Context, r *rand.Rand, least, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(least + time.Duration(r.Int64N(int64(most-least)))):
	}
}

// restart starts a process, unless another fault has done so.
func (d *deployment) restart(p *process) {
	if err := p.start(); err != nil {
		d.check.broke(exits, "%s", err)
	}
}

func (d *deployment) kill(ctx context.Context, r *rand.Rand, ps []*process) {
	for _, p := range ps {
		p.end()
	}
	between(ctx, r, 300*time.Millisecond, 2*time.Second)
	for _, p := range ps {
		d.restart(p)
	}
}

// roll stops and starts processes one after the other. It is planned work, which harms nothing by itself: only the
// process that is away counts as disturbed.
func (d *deployment) roll(ctx context.Context, r *rand.Rand, ps []*process) {
	for _, p := range ps {
		select {
		case <-p.signal(syscall.SIGTERM):
		case <-time.After(graceTime + time.Second):
			d.check.broke(exits, "%s did not stop within its grace time", p.name)
			p.end()
		}
		between(ctx, r, 200*time.Millisecond, 500*time.Millisecond)
		d.restart(p)
		between(ctx, r, 500*time.Millisecond, time.Second)
	}
}

func (d *deployment) pause(ctx context.Context, r *rand.Rand, ps []*process) {
	for _, p := range ps {
		p.signal(syscall.SIGSTOP)
	}
	between(ctx, r, 200*time.Millisecond, 4*time.Second)
	for _, p := range ps {
		p.signal(syscall.SIGCONT)
	}
}

func (d *deployment) hangup(ctx context.Context, r *rand.Rand, ps []*process) {
	for _, p := range ps {
		if r.IntN(2) == 0 {
			if err := p.edit(); err != nil {
				d.check.broke(exits, "%s", err)
			}
		}
		p.signal(syscall.SIGHUP)
		between(ctx, r, 0, 300*time.Millisecond)
	}
}

func storeFault(f fakes.Faults) func(context.Context, *deployment, *rand.Rand) {
	return func(ctx context.Context, d *deployment, r *rand.Rand) {
		for _, p := range d.all() {
			p.touch()
		}
		d.store.Inject(f)
		between(ctx, r, time.Second, 6*time.Second)
		d.store.Inject(fakes.Faults{})
		for _, p := range d.all() {
			p.touch()
		}
	}
}

// forget makes watches hear nothing while a change is made, and drops the history then.
func forget(ctx context.Context, d *deployment, r *rand.Rand) {
	d.store.Inject(fakes.Faults{Deaf: true})
	between(ctx, r, 500*time.Millisecond, time.Second)
	d.change(r)
	between(ctx, r, 500*time.Millisecond, time.Second)
	d.store.Forget()
	d.store.Inject(fakes.Faults{})
}

func linkFault(l link) func(context.Context, *deployment, *rand.Rand) {
	return func(ctx context.Context, d *deployment, r *rand.Rand) {
		ps := some(r, d.all())
		for _, p := range ps {
			p.touch()
			d.proxies[p].set(l)
		}
		between(ctx, r, time.Second, 6*time.Second)
		for _, p := range ps {
			d.proxies[p].set(link{})
			p.touch()
		}
	}
}

func (d *deployment) resetLinks(ps []*process) {
	for _, p := range ps {
		p.touch()
		d.proxies[p].reset()
	}
}

func (d *deployment) server(p *process) *fakes.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[p]
}

func (d *deployment) crash(ctx context.Context, r *rand.Rand) {
	p := d.agents[r.IntN(len(d.agents))]
	p.beside.Lock()
	defer p.beside.Unlock()
	p.touch()
	d.server(p).Stop(false)
	between(ctx, r, 200*time.Millisecond, 3*time.Second)
	p.touch()
	if err := d.startServer(p); err != nil {
		d.check.broke(exits, "%s", err)
	}
}

// replace lets a server leave as planned, and starts another one in its place.
func (d *deployment) replace(ctx context.Context, r *rand.Rand) {
	p := d.agents[r.IntN(len(d.agents))]
	p.beside.Lock()
	defer p.beside.Unlock()
	s := d.server(p)
	s.Drain()
	until := time.Now().Add(2 * drainBound)
	for s.DrainAcked().IsZero() && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	between(ctx, r, drainBound, drainBound+2*time.Second)
	s.Stop(true)
	if err := d.startServer(p); err != nil {
		d.check.broke(exits, "%s", err)
	}
}

// configurations writes several configurations in quick succession.
func (d *deployment) configurations(ctx context.Context, r *rand.Rand) {
	for range 1 + r.IntN(8) {
		d.change(r)
		between(ctx, r, 20*time.Millisecond, 600*time.Millisecond)
	}
}

// change adds a route, or removes one.
func (d *deployment) change(r *rand.Rand) {
	d.mu.Lock()
	if len(d.extra) > 0 && r.IntN(2) == 0 {
		i := r.IntN(len(d.extra))
		d.extra = append(d.extra[:i:i], d.extra[i+1:]...)
	} else {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(d.version)}), 8443)
		d.extra = append(d.extra, fakes.Route{Name: address.String(), Address: address, Service: services[r.IntN(len(services))]})
	}
	d.mu.Unlock()
	if err := d.configure(); err != nil {
		d.check.broke(exits, "%s", err)
	}
}

// injector starts faults that overlap, in the order that the seed gives.
type injector struct {
	d    *deployment
	rand *rand.Rand
	log  func(format string, args ...any)
	wg   sync.WaitGroup
}

// run starts faults until ctx ends, and returns when all are over.
func (in *injector) run(ctx context.Context, kinds []fault) {
	for ctx.Err() == nil {
		f := kinds[in.rand.IntN(len(kinds))]
		r := rand.New(rand.NewPCG(in.rand.Uint64(), in.rand.Uint64()))
		in.log("%6.2fs %s", time.Since(in.d.check.started).Seconds(), f.name)
		in.d.check.count(func(p *point) { p.faults++ })
		in.wg.Go(func() { f.run(ctx, in.d, r) })
		between(ctx, in.rand, 300*time.Millisecond, 5*time.Second)
	}
	in.wg.Wait()
}
