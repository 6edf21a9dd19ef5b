package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/local"
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
		{"kill processes", func(ctx context.Context, d *deployment, r *rand.Rand) { d.kill(ctx, r, some(r, d.Processes())) }},
		{"kill entries", func(ctx context.Context, d *deployment, r *rand.Rand) { d.kill(ctx, r, some(r, d.Entries)) }},
		{"kill all", func(ctx context.Context, d *deployment, r *rand.Rand) { d.kill(ctx, r, d.Processes()) }},
		{"roll entries", func(ctx context.Context, d *deployment, r *rand.Rand) { d.roll(ctx, r, d.Entries) }},
		{"roll agents", func(ctx context.Context, d *deployment, r *rand.Rand) { d.roll(ctx, r, some(r, d.Agents)) }},
		{"pause", func(ctx context.Context, d *deployment, r *rand.Rand) { d.pause(ctx, r, some(r, d.Processes())) }},
		{"settings", func(ctx context.Context, d *deployment, r *rand.Rand) { d.hangup(ctx, r, some(r, d.Processes())) }},
		{"store refuses", storeFault(fakes.Faults{RejectStatus: 503})},
		{"store limits", storeFault(fakes.Faults{RejectStatus: 429})},
		{"store silent", storeFault(fakes.Faults{Hang: true})},
		{"store slow", storeFault(fakes.Faults{Delay: 240 * time.Millisecond})},
		{"store loses answers", storeFault(fakes.Faults{DropReplies: 30})},
		{"store forgets", forget},
		{"store revokes", func(_ context.Context, d *deployment, _ *rand.Rand) { d.Store.DeletePrefix("bergamotrun/") }},
		{"link slow", linkFault(local.Link{Delay: 100 * time.Millisecond})},
		{"link silent", linkFault(local.Link{DropUp: true, DropDown: true})},
		{"link one way", linkFault(local.Link{DropDown: true})},
		{"link refused", linkFault(local.Link{Refuse: true})},
		{"links reset", func(_ context.Context, d *deployment, r *rand.Rand) { d.resetLinks(some(r, d.Processes())) }},
		{"fabric loses", func(ctx context.Context, d *deployment, r *rand.Rand) { d.lose(ctx, r) }},
		{"fabric cuts an entry", func(ctx context.Context, d *deployment, r *rand.Rand) { d.cutEntry(ctx, r) }},
		{"server crashes", func(ctx context.Context, d *deployment, r *rand.Rand) { d.crash(ctx, r, 0) }},
		{"server crashes, clock steps", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.crash(ctx, r, time.Duration(r.IntN(2*clockSteps+1)-clockSteps)*time.Second)
		}},
		{"server replaced", func(ctx context.Context, d *deployment, r *rand.Rand) { d.replace(ctx, r) }},
		{"configurations", func(ctx context.Context, d *deployment, r *rand.Rand) { d.configurations(ctx, r) }},
	}
}

// some returns a random part of the processes, one at least.
func some(r *rand.Rand, all []*local.Process) []*local.Process {
	n := 1 + r.IntN(max(1, len(all)/3))
	out := make([]*local.Process, 0, n)
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
func (d *deployment) restart(p *local.Process) {
	if err := p.Start(); err != nil {
		d.check.broke(exits, "%s", err)
	}
}

func (d *deployment) kill(ctx context.Context, r *rand.Rand, ps []*local.Process) {
	for _, p := range ps {
		p.Kill()
	}
	between(ctx, r, 300*time.Millisecond, 2*time.Second)
	for _, p := range ps {
		d.restart(p)
	}
}

// roll stops and starts processes one after the other. It is planned work, which harms nothing by itself: only the
// process that is away counts as disturbed.
func (d *deployment) roll(ctx context.Context, r *rand.Rand, ps []*local.Process) {
	for _, p := range ps {
		select {
		case <-p.Signal(syscall.SIGTERM):
		case <-time.After(local.GracePeriod + time.Second):
			d.check.broke(exits, "%s did not stop within its grace time", p.Name)
			p.Kill()
		}
		between(ctx, r, 200*time.Millisecond, 500*time.Millisecond)
		d.restart(p)
		between(ctx, r, 500*time.Millisecond, time.Second)
	}
}

func (d *deployment) pause(ctx context.Context, r *rand.Rand, ps []*local.Process) {
	for _, p := range ps {
		p.Signal(syscall.SIGSTOP)
	}
	between(ctx, r, 200*time.Millisecond, 4*time.Second)
	for _, p := range ps {
		p.Signal(syscall.SIGCONT)
	}
}

func (d *deployment) hangup(ctx context.Context, r *rand.Rand, ps []*local.Process) {
	for _, p := range ps {
		if r.IntN(2) == 0 {
			if err := p.RewriteSettings(); err != nil {
				d.check.broke(exits, "%s", err)
			}
		}
		p.Signal(syscall.SIGHUP)
		between(ctx, r, 0, 300*time.Millisecond)
	}
}

func storeFault(f fakes.Faults) func(context.Context, *deployment, *rand.Rand) {
	return func(ctx context.Context, d *deployment, r *rand.Rand) {
		for _, p := range d.Processes() {
			p.MarkDisturbed()
		}
		d.Store.Inject(f)
		between(ctx, r, time.Second, 6*time.Second)
		d.Store.Inject(fakes.Faults{})
		for _, p := range d.Processes() {
			p.MarkDisturbed()
		}
	}
}

// forget makes watches hear nothing while a change is made, and drops the history then.
func forget(ctx context.Context, d *deployment, r *rand.Rand) {
	d.Store.Inject(fakes.Faults{SilenceWatches: true})
	between(ctx, r, 500*time.Millisecond, time.Second)
	d.change(r)
	between(ctx, r, 500*time.Millisecond, time.Second)
	d.Store.Compact()
	d.Store.Inject(fakes.Faults{})
}

func linkFault(l local.Link) func(context.Context, *deployment, *rand.Rand) {
	return func(ctx context.Context, d *deployment, r *rand.Rand) {
		ps := some(r, d.Processes())
		for _, p := range ps {
			p.MarkDisturbed()
			d.Proxies[p].SetLink(l)
		}
		between(ctx, r, time.Second, 6*time.Second)
		for _, p := range ps {
			d.Proxies[p].SetLink(local.Link{})
			p.MarkDisturbed()
		}
	}
}

func (d *deployment) resetLinks(ps []*local.Process) {
	for _, p := range ps {
		p.MarkDisturbed()
		d.Proxies[p].Reset()
	}
}

const (
	// lossMost is the part of packets that the fabric loses at the worst.
	lossMost = 0.15
	// clockSteps is how many seconds a server's clock is stepped at the most, either way.
	clockSteps = 90
)

// lose makes the fabric lose many packets for a while.
func (d *deployment) lose(ctx context.Context, r *rand.Rand) {
	d.SetLoss(lossMost * r.Float64())
	between(ctx, r, time.Second, 6*time.Second)
	d.SetLoss(d.opts.Loss)
}

// cutEntry makes the fabric lose all packets to an entry for a while.
func (d *deployment) cutEntry(ctx context.Context, r *rand.Rand) {
	p := d.Entries[r.IntN(len(d.Entries))]
	p.MarkDisturbed()
	d.Isolate(p)
	between(ctx, r, time.Second, 6*time.Second)
	d.Isolate(nil)
	p.MarkDisturbed()
}

// crash ends a server and starts another one in its place, whose time of day is ahead by clock.
func (d *deployment) crash(ctx context.Context, r *rand.Rand, clock time.Duration) {
	p := d.Agents[r.IntN(len(d.Agents))]
	p.ServerMu.Lock()
	defer p.ServerMu.Unlock()
	p.MarkDisturbed()
	d.Server(p).Stop(false)
	between(ctx, r, 200*time.Millisecond, 3*time.Second)
	p.MarkDisturbed()
	if err := d.StartServerWithClock(p, clock); err != nil {
		d.check.broke(exits, "%s", err)
	}
}

// replace lets a server leave as planned, and starts another one in its place.
func (d *deployment) replace(ctx context.Context, r *rand.Rand) {
	p := d.Agents[r.IntN(len(d.Agents))]
	p.ServerMu.Lock()
	defer p.ServerMu.Unlock()
	s := d.Server(p)
	s.Drain()
	until := time.Now().Add(2 * drainBound)
	for s.DrainAcked().IsZero() && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	between(ctx, r, drainBound, drainBound+2*time.Second)
	s.Stop(true)
	if err := d.StartServer(p); err != nil {
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
	if err := d.ChangeRoutes(r); err != nil {
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
