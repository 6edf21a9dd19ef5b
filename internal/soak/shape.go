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

// shapeRestarts is the name of a scripted run: planned rolls that overlap, a restart of all agents, releases, a storm of
// configurations while the store's watches are silent, and a kill of all processes or a loss of all power.
const shapeRestarts = "restarts"

// shapeFinal is the name of a scripted run that has the final fault only.
const shapeFinal = "final"

// Values of Options.Late: no agent, one, about a third of them or all start late.
const (
	lateNone = "none"
	lateOne  = "one"
	lateSome = "some"
	lateAll  = "all"
)

var lateKinds = []string{lateNone, lateOne, lateSome, lateAll}

// Values of Options.Final: all processes are killed, or all instances lose their power, so that the backend servers crash, too.
const (
	finalKill  = "kill"
	finalPower = "power"
)

var finalFaults = []string{finalKill, finalPower}

// Times of shapeRestarts since the start of its traffic.
const (
	rollsAt      = 4 * time.Second
	agentsAt     = 6 * time.Second
	releasesAt   = 9 * time.Second
	stormAt      = 24 * time.Second
	killAt       = 34 * time.Second
	finalAt      = 14 * time.Second // In shapeFinal.
	releaseRound = time.Second
	// entryBatch and agentBatch are how many entries and agents a planned roll restarts together, batchGap the time between batches.
	entryBatch, agentBatch = 4, 12
	batchGap               = 500 * time.Millisecond
	// minDowntime and maxDowntime bound how long processes are down that start in time.
	minDowntime, maxDowntime = 900 * time.Millisecond, 1300 * time.Millisecond
	minLateness, maxLateness = time.Second, 10 * time.Second
	minPauseOf, maxPauseOf   = 1500 * time.Millisecond, 4 * time.Second
	// shapeTail is the default of how long the traffic goes on after the last process has started.
	shapeTail = 60 * time.Second
	// Entries flap from flapsAt after that on: each is out of rotation for minFlap to maxFlap, with minFlapGap to maxFlapGap between.
	flapsAt                = settleTime
	minFlap, maxFlap       = 800 * time.Millisecond, 1500 * time.Millisecond
	minFlapGap, maxFlapGap = 300 * time.Millisecond, time.Second
	// stopDelay is how long after the end of the traffic all processes are stopped.
	stopDelay = 500 * time.Millisecond
)

// killedAt returns when a scripted run's final fault comes.
func (d *deployment) killedAt() time.Time {
	if d.opts.Shape == shapeFinal {
		return d.startedAt.Add(finalAt)
	}
	return d.startedAt.Add(killAt)
}

// start logs a fault and starts it with random choices of its own.
func (in *injector) start(name string, run func(r *rand.Rand)) {
	r := rand.New(rand.NewPCG(in.rand.Uint64(), in.rand.Uint64()))
	in.log("%6.2fs %s", time.Since(in.d.check.started).Seconds(), name)
	in.d.check.updateStats(func(s *secondStats) { s.faults++ })
	in.wg.Go(func() { run(r) })
}

// restarts runs shapeRestarts.
func (in *injector) restarts(ctx context.Context) {
	d := in.d
	at := func(t time.Duration) { sleep(ctx, time.Until(d.startedAt.Add(t))) }
	at(rollsAt)
	in.start("roll entries", func(r *rand.Rand) { d.rollInBatches(ctx, r, d.Entries, entryBatch) })
	at(agentsAt)
	in.start("restart agents", func(r *rand.Rand) { d.rollInBatches(ctx, r, d.Agents, agentBatch) })
	at(releasesAt)
	in.start("releases", func(r *rand.Rand) { d.releaseServers(ctx, r) })
	pauseCtx, stopPauses := context.WithCancel(ctx)
	if d.opts.Pauses {
		in.start("pauses", func(r *rand.Rand) { d.pauseSingly(pauseCtx, r) })
	}
	at(stormAt)
	in.start("configurations, watches silent", func(r *rand.Rand) {
		d.Store.Inject(fakes.Faults{SilenceWatches: true})
		for time.Until(d.killedAt()) > time.Second && ctx.Err() == nil {
			d.changeRoutes(r)
			waitRandom(ctx, r, 200*time.Millisecond, 500*time.Millisecond)
		}
		d.Store.Inject(fakes.Faults{})
	})
	sleep(ctx, time.Until(d.killedAt()))
	stopPauses()
	in.injectFinalFault(ctx)
}

// injectFinalFault injects the final fault of a scripted run and returns when all processes have started again.
func (in *injector) injectFinalFault(ctx context.Context) {
	d := in.d
	sleep(ctx, time.Until(d.killedAt()))
	if d.opts.Final == finalPower {
		in.start("loss of power", func(r *rand.Rand) { d.losePower(ctx, r) })
	} else {
		in.start("kill all", func(r *rand.Rand) { d.killTogether(ctx, r) })
	}
	in.wg.Wait()
	if d.opts.Pauses {
		in.start("pauses", func(r *rand.Rand) {
			ctx, stop := context.WithTimeout(ctx, d.tailLength()/2)
			defer stop()
			d.pauseSingly(ctx, r)
		})
		in.wg.Wait()
	}
}

// downtimes returns how long each of some processes is to be down; Options.Late selects the agents that start late.
func (d *deployment) downtimes(r *rand.Rand, processes []*local.Process) map[*local.Process]time.Duration {
	late := make(map[*local.Process]bool)
	for i, n := range r.Perm(len(d.Agents)) {
		p := d.Agents[n]
		late[p] = d.opts.Late == lateAll || d.opts.Late == lateSome && i < (len(d.Agents)+2)/3 || d.opts.Late == lateOne && i == 0
	}
	downtimes := make(map[*local.Process]time.Duration)
	for _, p := range processes {
		downtimes[p] = minDowntime + time.Duration(r.Int64N(int64(maxDowntime-minDowntime)))
		lateness := minLateness + time.Duration(r.Int64N(int64(maxLateness-minLateness)))
		if late[p] {
			downtimes[p] += lateness
		}
	}
	return downtimes
}

// rollInBatches restarts processes gracefully, a batch at a time, without waiting for the end of a batch before the next one.
func (d *deployment) rollInBatches(ctx context.Context, r *rand.Rand, processes []*local.Process, batch int) {
	var wg sync.WaitGroup
	downtimes := d.downtimes(r, processes)
	for i, n := range r.Perm(len(processes)) {
		if i > 0 && i%batch == 0 {
			sleep(ctx, batchGap)
		}
		p := processes[n]
		wg.Go(func() {
			if !p.AwaitExit(p.Signal(syscall.SIGTERM), local.GracePeriod+time.Second) {
				d.check.recordViolation(noUnexpectedExit, "%s did not stop within its grace period", p.Name)
				p.Kill()
			}
			sleep(ctx, downtimes[p])
			d.restart(p)
		})
	}
	wg.Wait()
}

// killTogether kills all processes at once and starts them again.
func (d *deployment) killTogether(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	downtimes := d.downtimes(r, d.Processes())
	for _, p := range d.Processes() {
		wg.Go(func() {
			p.Kill()
			sleep(ctx, downtimes[p])
			d.restart(p)
		})
	}
	wg.Wait()
}

// losePower kills all processes and crashes all servers at once, and starts them again.
func (d *deployment) losePower(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	start := d.StartServer
	if d.opts.SameIDs {
		start = d.RestartServer
	}
	for _, p := range d.Agents {
		downtime := minDowntime + time.Duration(r.Int64N(int64(maxDowntime-minDowntime)))
		wg.Go(func() {
			p.ServerMu.Lock()
			defer p.ServerMu.Unlock()
			d.Server(p).Stop(false)
			sleep(ctx, downtime)
			if err := start(p); err != nil {
				d.check.recordViolation(noUnexpectedExit, "%s", err)
			}
			p.MarkDisturbed()
		})
	}
	d.killTogether(ctx, r)
	wg.Wait()
}

func (d *deployment) tailLength() time.Duration {
	if d.opts.Tail > 0 {
		return d.opts.Tail
	}
	return shapeTail
}

// tail waits for the rest of a scripted run's traffic. With Options.Flaps, one entry at a time leaves the rotation meanwhile.
func (in *injector) tail(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, in.d.tailLength())
	defer stop()
	if in.d.opts.Flaps {
		sleep(ctx, flapsAt)
		in.log("%6.2fs entries flap", time.Since(in.d.check.started).Seconds())
		for ctx.Err() == nil {
			in.d.Withdraw(in.d.Entries[in.rand.IntN(len(in.d.Entries))])
			waitRandom(ctx, in.rand, minFlap, maxFlap)
			in.d.Withdraw(nil)
			waitRandom(ctx, in.rand, minFlapGap, maxFlapGap)
		}
	}
	<-ctx.Done()
}

// stopAll stops all processes as planned, while the last flows are being closed.
func (d *deployment) stopAll(ctx context.Context) {
	sleep(ctx, stopDelay)
	var wg sync.WaitGroup
	for _, p := range d.Processes() {
		wg.Go(func() {
			if !p.AwaitExit(p.Signal(syscall.SIGTERM), local.GracePeriod+time.Second) {
				d.check.recordViolation(noUnexpectedExit, "%s did not stop within its grace period", p.Name)
			}
		})
	}
	wg.Wait()
}

// releaseServers replaces about half of the servers, a few at a time.
func (d *deployment) releaseServers(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	perRound := max(1, len(d.Agents)/8)
	for i, n := range r.Perm(len(d.Agents))[:(len(d.Agents)+1)/2] {
		if i > 0 && i%perRound == 0 {
			sleep(ctx, releaseRound)
		}
		serverRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		wg.Go(func() { d.replaceServerOf(ctx, serverRand, d.Agents[n]) })
	}
	wg.Wait()
}

// pauseSingly pauses one process at a time until ctx ends.
func (d *deployment) pauseSingly(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		p := d.Processes()[r.IntN(len(d.Processes()))]
		p.Signal(syscall.SIGSTOP)
		waitRandom(ctx, r, minPauseOf, maxPauseOf)
		p.Signal(syscall.SIGCONT)
		waitRandom(ctx, r, settleTime, settleTime+4*time.Second)
	}
}
