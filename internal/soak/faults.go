package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// fault is a kind of fault. run injects it and returns when it is over.
type fault struct {
	name string
	run  func(ctx context.Context, d *deployment, r *rand.Rand)
}

// allFaults returns all kinds of faults. The names are accepted by Options.Only and printed in reports.
func allFaults() []fault {
	return []fault{
		{"kill processes", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.killProcesses(ctx, r, randomSubset(r, d.Processes()))
		}},
		{"kill entries", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.killProcesses(ctx, r, randomSubset(r, d.Entries))
		}},
		{"kill all", func(ctx context.Context, d *deployment, r *rand.Rand) { d.killProcesses(ctx, r, d.Processes()) }},
		{"roll entries", func(ctx context.Context, d *deployment, r *rand.Rand) { d.rollProcesses(ctx, r, d.Entries) }},
		{"roll agents", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.rollProcesses(ctx, r, randomSubset(r, d.Agents))
		}},
		{"roll all agents", func(ctx context.Context, d *deployment, r *rand.Rand) { d.rollTogether(ctx, r, d.Agents) }},
		{"pause", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.pauseProcesses(ctx, r, randomSubset(r, d.Processes()))
		}},
		{"settings", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.reloadSettings(ctx, r, randomSubset(r, d.Processes()))
		}},
		{"store refuses", storeFault(fakes.Faults{RejectStatus: 503})},
		{"store limits", storeFault(fakes.Faults{RejectStatus: 429})},
		{"store silent", storeFault(fakes.Faults{Hang: true})},
		{"store slow", storeFault(fakes.Faults{Delay: 240 * time.Millisecond})},
		{"store loses answers", storeFault(fakes.Faults{DropResponses: 30})},
		{"store delays writes", func(ctx context.Context, d *deployment, r *rand.Rand) {
			storeFault(fakes.Faults{DelayWrites: 30})(ctx, d, r)
			d.Store.ExecuteDelayed()
		}},
		{"store forgets", compactStoreHistory},
		{"store revokes", func(_ context.Context, d *deployment, _ *rand.Rand) { d.revokeKeys() }},
		{"store restored", restoreStore},
		{"link slow", linkFault(local.Link{Delay: 100 * time.Millisecond})},
		{"link silent", linkFault(local.Link{DropUp: true, DropDown: true})},
		{"link one way", linkFault(local.Link{DropDown: true})},
		{"link refused", linkFault(local.Link{Refuse: true})},
		{"links reset", func(_ context.Context, d *deployment, r *rand.Rand) { d.resetLinks(randomSubset(r, d.Processes())) }},
		{"fabric loses", func(ctx context.Context, d *deployment, r *rand.Rand) { d.losePackets(ctx, r) }},
		{"fabric cuts an entry", func(ctx context.Context, d *deployment, r *rand.Rand) { d.isolateEntry(ctx, r) }},
		{"server crashes", func(ctx context.Context, d *deployment, r *rand.Rand) { d.crashServer(ctx, r, 0) }},
		{"server crashes, clock steps", func(ctx context.Context, d *deployment, r *rand.Rand) {
			d.crashServer(ctx, r, time.Duration(r.IntN(2*maxClockStepSeconds+1)-maxClockStepSeconds)*time.Second)
		}},
		{"server replaced", func(ctx context.Context, d *deployment, r *rand.Rand) { d.replaceServer(ctx, r) }},
		{"configurations", func(ctx context.Context, d *deployment, r *rand.Rand) { d.changeConfigurations(ctx, r) }},
	}
}

// randomSubset returns between one and a third of the processes, in random order.
func randomSubset(r *rand.Rand, all []*local.Process) []*local.Process {
	n := 1 + r.IntN(max(1, len(all)/3))
	subset := make([]*local.Process, 0, n)
	for _, i := range r.Perm(len(all))[:n] {
		subset = append(subset, all[i])
	}
	return subset
}

// waitRandom waits a random time between shortest and longest, or until ctx ends.
func waitRandom(ctx context.Context, r *rand.Rand, shortest, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(shortest + time.Duration(r.Int64N(int64(longest-shortest)))):
	}
}

// restart starts a process, unless another fault that overlaps has already started it.
func (d *deployment) restart(p *local.Process) {
	if err := p.Start(); err != nil {
		d.check.recordViolation(noUnexpectedExit, "%s", err)
	}
}

func (d *deployment) killProcesses(ctx context.Context, r *rand.Rand, processes []*local.Process) {
	for _, p := range processes {
		p.Kill()
	}
	waitRandom(ctx, r, 300*time.Millisecond, 2*time.Second)
	for _, p := range processes {
		d.restart(p)
	}
}

// rollProcesses restarts processes gracefully, one after the other. This is a planned operation that must break nothing,
// so that only the stopped process counts as disturbed.
func (d *deployment) rollProcesses(ctx context.Context, r *rand.Rand, processes []*local.Process) {
	for _, p := range processes {
		if !p.AwaitExit(p.Signal(syscall.SIGTERM), local.GracePeriod+time.Second) {
			d.check.recordViolation(noUnexpectedExit, "%s did not stop within its grace period", p.Name)
			p.Kill()
		}
		waitRandom(ctx, r, 200*time.Millisecond, 500*time.Millisecond)
		d.restart(p)
		waitRandom(ctx, r, 500*time.Millisecond, time.Second)
	}
}

// rollTogether restarts processes gracefully, each at a time of its own within a second, so that the restarts overlap. It does
// so twice.
func (d *deployment) rollTogether(ctx context.Context, r *rand.Rand, processes []*local.Process) {
	for range 2 {
		var wg sync.WaitGroup
		for _, p := range processes {
			seed := r.Uint64()
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, 0))
				waitRandom(ctx, r, time.Millisecond, time.Second)
				d.rollProcesses(ctx, r, []*local.Process{p})
			})
		}
		wg.Wait()
	}
}

func (d *deployment) pauseProcesses(ctx context.Context, r *rand.Rand, processes []*local.Process) {
	for _, p := range processes {
		p.Signal(syscall.SIGSTOP)
	}
	waitRandom(ctx, r, 200*time.Millisecond, 4*time.Second)
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
	}
}

// reloadSettings makes processes reload their settings files. It rewrites about half of the files before.
func (d *deployment) reloadSettings(ctx context.Context, r *rand.Rand, processes []*local.Process) {
	for _, p := range processes {
		if r.IntN(2) == 0 {
			if err := p.RewriteSettings(); err != nil {
				d.check.recordViolation(noUnexpectedExit, "%s", err)
			}
		}
		p.Signal(syscall.SIGHUP)
		waitRandom(ctx, r, 0, 300*time.Millisecond)
	}
}

// storeFault returns a function that injects faults into the store for a while. All processes count as disturbed.
func storeFault(faults fakes.Faults) func(context.Context, *deployment, *rand.Rand) {
	return func(ctx context.Context, d *deployment, r *rand.Rand) {
		d.markAllDisturbed()
		d.injectStoreFaults(faults)
		waitRandom(ctx, r, time.Second, 6*time.Second)
		d.injectStoreFaults(fakes.Faults{})
		d.markAllDisturbed()
	}
}

// compactStoreHistory withholds events from watches while the routes change, and then compacts the store's history, so that
// the watches can't catch up.
func compactStoreHistory(ctx context.Context, d *deployment, r *rand.Rand) {
	d.injectStoreFaults(fakes.Faults{SilenceWatches: true})
	waitRandom(ctx, r, 500*time.Millisecond, time.Second)
	d.changeRoutes(r)
	waitRandom(ctx, r, 500*time.Millisecond, time.Second)
	d.Store.Compact()
	d.injectStoreFaults(fakes.Faults{})
}

const (
	// maxCopyAge is the largest age of the copy from which the store returns, minCopyAge the smallest.
	minCopyAge, maxCopyAge = 500 * time.Millisecond, 6 * time.Second
	// minOutage and maxOutage bound how long the store is away before it returns.
	minOutage, maxOutage = 100 * time.Millisecond, 2 * time.Second
	// maxOperatorDelay is how long after the store's return the operator writes the newest configuration again.
	maxOperatorDelay = time.Second
)

// restoreStore makes the store unavailable for a while, and then return from an older copy: its changes and leases since are gone,
// and revisions and lease IDs are assigned again. Between the copy and the outage the routes change and processes restart, which write
// to the store. All processes count as disturbed. Afterwards each process must be listed in the directory again.
func restoreStore(ctx context.Context, d *deployment, r *rand.Rand) {
	c := d.Store.Copy()
	restart := []func(context.Context, *rand.Rand, []*local.Process){d.killProcesses, d.rollProcesses}[r.IntN(2)]
	restart(ctx, r, randomSubset(r, d.Processes()))
	for range r.IntN(3) {
		d.changeRoutes(r)
	}
	waitRandom(ctx, r, minCopyAge, maxCopyAge)
	d.markAllDisturbed()
	d.injectStoreFaults(fakes.Faults{RejectStatus: http.StatusServiceUnavailable})
	waitRandom(ctx, r, minOutage, maxOutage)
	d.injectStoreFaults(fakes.Faults{})
	restoredAt := time.Now()
	if err := d.RestoreStore(c, time.Duration(r.Int64N(int64(maxOperatorDelay)))); err != nil {
		d.check.recordViolation(noUnexpectedExit, "%s", err)
	}
	d.markAllDisturbed()
	d.checkRecords(ctx, c, restoredAt, time.Now())
}

func (d *deployment) markAllDisturbed() {
	for _, p := range d.Processes() {
		p.MarkDisturbed()
	}
}

// linkFault returns a function that injects faults into the links between some processes and the store for a while.
func linkFault(link local.Link) func(context.Context, *deployment, *rand.Rand) {
	return func(ctx context.Context, d *deployment, r *rand.Rand) {
		processes := randomSubset(r, d.Processes())
		for _, p := range processes {
			p.MarkDisturbed()
			d.Proxies[p].SetLink(link)
		}
		waitRandom(ctx, r, time.Second, 6*time.Second)
		for _, p := range processes {
			d.Proxies[p].SetLink(local.Link{})
			p.MarkDisturbed()
		}
	}
}

func (d *deployment) resetLinks(processes []*local.Process) {
	for _, p := range processes {
		p.MarkDisturbed()
		d.Proxies[p].Reset()
	}
}

const (
	// maxLoss is the largest fraction of the clients' packets that a fault makes the fabric drop.
	maxLoss = 0.15
	// maxClockStepSeconds is the largest step of a server's wall clock, forwards or backwards.
	maxClockStepSeconds = 90
)

// losePackets sets the fabric's packet loss to a random fraction of up to maxLoss for a while.
func (d *deployment) losePackets(ctx context.Context, r *rand.Rand) {
	d.SetLoss(maxLoss * r.Float64())
	waitRandom(ctx, r, time.Second, 6*time.Second)
	d.SetLoss(d.opts.Loss)
}

// isolateEntry makes the fabric drop all packets to an entry for a while.
func (d *deployment) isolateEntry(ctx context.Context, r *rand.Rand) {
	p := d.Entries[r.IntN(len(d.Entries))]
	p.MarkDisturbed()
	d.Isolate(p)
	waitRandom(ctx, r, time.Second, 6*time.Second)
	d.Isolate(nil)
	p.MarkDisturbed()
}

// crashServer stops a server without a drain and starts another one in its place, whose wall clock is ahead by
// clockOffset.
func (d *deployment) crashServer(ctx context.Context, r *rand.Rand, clockOffset time.Duration) {
	p := d.Agents[r.IntN(len(d.Agents))]
	p.ServerMu.Lock()
	defer p.ServerMu.Unlock()
	p.MarkDisturbed()
	d.Server(p).Stop(false)
	waitRandom(ctx, r, 200*time.Millisecond, 3*time.Second)
	p.MarkDisturbed()
	if err := d.StartServerWithClock(p, clockOffset); err != nil {
		d.check.recordViolation(noUnexpectedExit, "%s", err)
	}
}

// replaceServer drains and stops a server and starts another one in its place.
func (d *deployment) replaceServer(ctx context.Context, r *rand.Rand) {
	d.replaceServerOf(ctx, r, d.Agents[r.IntN(len(d.Agents))])
}

// replaceServerOf does the same for the server beside an agent.
func (d *deployment) replaceServerOf(ctx context.Context, r *rand.Rand, p *local.Process) {
	p.ServerMu.Lock()
	defer p.ServerMu.Unlock()
	server := d.Server(p)
	server.Drain()
	deadline := time.Now().Add(2 * maxDrainTime)
	for server.DrainAcked().IsZero() && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	waitRandom(ctx, r, maxDrainTime, maxDrainTime+2*time.Second)
	server.Stop(true)
	if err := d.StartServer(p); err != nil {
		d.check.recordViolation(noUnexpectedExit, "%s", err)
	}
}

// changeConfigurations writes several configurations in quick succession.
func (d *deployment) changeConfigurations(ctx context.Context, r *rand.Rand) {
	for range 1 + r.IntN(8) {
		d.changeRoutes(r)
		waitRandom(ctx, r, 20*time.Millisecond, 600*time.Millisecond)
	}
}

// changeRoutes writes a configuration with one route more or less.
func (d *deployment) changeRoutes(r *rand.Rand) {
	if err := d.ChangeRoutes(r); err != nil {
		d.check.recordViolation(noUnexpectedExit, "%s", err)
	}
}

// injector starts faults, which may overlap, in an order given by the seed.
type injector struct {
	d    *deployment
	rand *rand.Rand
	log  func(format string, args ...any)
	wg   sync.WaitGroup
}

// run starts faults until ctx ends and returns when all of them are over.
func (in *injector) run(ctx context.Context, selected []fault) {
	for ctx.Err() == nil {
		f := selected[in.rand.IntN(len(selected))]
		faultRand := rand.New(rand.NewPCG(in.rand.Uint64(), in.rand.Uint64()))
		in.log("%6.2fs %s", time.Since(in.d.check.started).Seconds(), f.name)
		in.d.check.updateStats(func(s *secondStats) { s.faults++ })
		in.wg.Go(func() { f.run(ctx, in.d, faultRand) })
		waitRandom(ctx, in.rand, 300*time.Millisecond, 5*time.Second)
	}
	in.wg.Wait()
}
