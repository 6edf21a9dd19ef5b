// Package soak runs the relay and deliver programs as processes on this machine, against fakes of the platform, and
// injects a random sequence of faults from outside. During the run it checks the guarantees of docs/PLATFORM.md
// by what clients and backend servers observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// quietPeriod is how long the deployment runs without faults before the first fault and after the recovery time.
	quietPeriod = 3 * time.Second
	// recoveryTime is how long the service may take to recover after the last fault.
	recoveryTime = 6 * time.Second
	// minRecoveryRatio is the fraction of requests that must be answered after recoveryTime.
	minRecoveryRatio = 0.9
)

// Options configures a run.
type Options struct {
	// Seed determines the order of the faults and their random choices.
	Seed uint64
	// FaultDuration is how long new faults are started.
	FaultDuration time.Duration
	// Entries and Clients are the numbers of entries and client machines. Servers is the number of backend servers of
	// each service, and Servers2, if it isn't 0, that of the second one.
	Entries, Servers, Servers2, Clients int
	// Slot selects the loopback addresses, so that concurrent runs don't collide: 0 to local.MaxSlots-1.
	Slot int
	// Loss is the fraction of the clients' packets that the fabric drops.
	Loss float64
	// Shape is the name of a scripted run, which takes the place of random faults for FaultDuration. If it is empty, there is none.
	Shape string
	// MaxPause is the longest pause of the users whose flows are mostly idle; 0 means maxLongPause. Aimed is the share of all users
	// whose flows are silent from shortly before the kill of a scripted run until a time of 8 to 19 s after it.
	MaxPause time.Duration
	Aimed    float64
	// Fresh is the share of all users that open a flow for each of their requests, which are safe and have deadlines of 4 to 10 s.
	Fresh float64
	// MaxResponse is the size of the largest responses in bytes: a tenth of all have several packets. If it is 0, none has.
	MaxResponse int
	// ServerIdle is how long a flow may be idle until its server closes it. 0 means no limit.
	ServerIdle time.Duration
	// Late says which agents start late in a scripted run: lateNone, lateOne, lateSome or lateAll. Pauses makes it pause single
	// processes.
	Late   string
	Pauses bool
	// Final is the last fault of a scripted run: finalKill or finalPower, the latter with SameIDs so that servers start again with the
	// IDs that they had. Tail is how long the traffic goes on after it; 0 means shapeTail. Flaps makes entries leave the
	// rotation and come back meanwhile.
	Final          string
	SameIDs, Flaps bool
	Tail           time.Duration
	// Users is the number of users of each client, Ports the number of ports that a client uses one after the other, and MaxFlows the
	// number of flows that a server holds. 0 means the default, all and no limit.
	Users, Ports, MaxFlows int
	// RandomPorts makes clients use their ports at random.
	RandomPorts bool
	// ByDomain makes each client send to the entries of one failure domain.
	ByDomain bool
	// Only lists the names of the faults to inject, separated by commas. If it is empty, all faults are injected.
	Only string
	// Binary is the path of the program under test. Dir receives its settings files, its logs and the report.
	Binary, Dir string
	// Out receives a line for each fault that is started.
	Out io.Writer
}

// Result summarizes a run.
type Result struct {
	Seed uint64
	// Sent counts the requests, Served, Late and Failed those that were answered in time, answered late and not answered.
	Sent, Served, Late, Failed int
	// Faults is the number of faults that were started.
	Faults int
	// Violations describes each violation of an invariant: its time since the start, the invariant and what was observed.
	Violations []string
	// RecoveryRatio is the fraction of requests that were answered after the recovery time.
	RecoveryRatio float64
}

// OK reports whether no invariant was violated.
func (r *Result) OK() bool { return len(r.Violations) == 0 }

// Run performs one run. It returns an error only if the run could not be carried out; violated invariants are part of
// the result.
func Run(ctx context.Context, opts Options) (*Result, error) {
	inject, err := selectInjector(opts)
	if err != nil {
		return nil, err
	}
	d, err := newDeployment(opts)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	d.startedAt = time.Now()
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	trafficDone := make(chan error, 1)
	go func() { trafficDone <- d.runTraffic(trafficCtx) }()
	sleep(ctx, quietPeriod)
	in := &injector{d: d, rand: rand.New(rand.NewPCG(opts.Seed, 0)), log: func(format string, args ...any) {
		_, _ = fmt.Fprintf(opts.Out, format+"\n", args...)
	}}
	inject(ctx, in)
	faultsEnded := time.Since(d.check.started)
	if opts.Shape == "" {
		sleep(ctx, recoveryTime+quietPeriod)
	} else {
		in.tail(ctx)
	}
	stopTraffic()
	if err := <-trafficDone; err != nil {
		return nil, err
	}
	if opts.Shape != "" {
		d.stopAll(ctx)
	}
	return d.result(faultsEnded), writeReport(d, opts)
}

// selectInjector returns the function that injects the faults which opts selects, and returns when they are over.
func selectInjector(opts Options) (func(ctx context.Context, in *injector), error) {
	if opts.Late != "" && !slices.Contains(lateKinds, opts.Late) {
		return nil, errors.Errorf("soak: unknown kind of late starts %q: must be one of %s", opts.Late, strings.Join(lateKinds, ", "))
	}
	if opts.MaxPause < 0 || opts.MaxPause > longestPause {
		return nil, errors.Errorf("soak: pauses of up to %s: must be at most %s", opts.MaxPause, longestPause)
	}
	if opts.Final != "" && !slices.Contains(finalFaults, opts.Final) {
		return nil, errors.Errorf("soak: unknown final fault %q: must be one of %s", opts.Final, strings.Join(finalFaults, ", "))
	}
	if opts.Tail != 0 && opts.Tail < recoveryTime+quietPeriod {
		return nil, errors.Errorf("soak: traffic of %s after the faults: must be at least %s", opts.Tail, recoveryTime+quietPeriod)
	}
	switch opts.Shape {
	case "":
		selected, err := selectFaults(opts.Only)
		return func(ctx context.Context, in *injector) {
			ctx, stop := context.WithTimeout(ctx, opts.FaultDuration)
			defer stop()
			in.run(ctx, selected)
		}, err
	case shapeRestarts:
		return func(ctx context.Context, in *injector) { in.restarts(ctx) }, nil
	case shapeFinal:
		return func(ctx context.Context, in *injector) { in.injectFinalFault(ctx) }, nil
	}
	return nil, errors.Errorf("soak: unknown shape %q: must be %s or %s", opts.Shape, shapeRestarts, shapeFinal)
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// selectFaults returns the faults named in only, a comma-separated list, or all faults if only is empty.
func selectFaults(only string) ([]fault, error) {
	if only == "" {
		return allFaults(), nil
	}
	var selected []fault
	for _, name := range strings.Split(only, ",") {
		found := false
		for _, f := range allFaults() {
			if f.name == strings.TrimSpace(name) {
				selected, found = append(selected, f), true
			}
		}
		if !found {
			return nil, errors.Errorf("soak: unknown fault %q", name)
		}
	}
	return selected, nil
}

// result summarizes the run. faultsEnded is the time since the start at which the last fault ended.
func (d *deployment) result(faultsEnded time.Duration) *Result {
	for _, p := range d.Processes() {
		if n := p.UnexpectedExits(); n > 0 {
			d.check.recordViolation(noUnexpectedExit, "%s exited unexpectedly %d times", p.Name, n)
		}
	}
	r := &Result{Seed: d.opts.Seed}
	ratio, completed := d.check.answeredRatio(faultsEnded+recoveryTime, faultsEnded+recoveryTime+quietPeriod)
	r.RecoveryRatio = ratio
	if completed == 0 || ratio < minRecoveryRatio {
		d.check.recordViolation(serviceRecovers, "%.2f of %d requests were answered after the faults", ratio, completed)
	}
	_, stats := d.check.sortedStats()
	for _, s := range stats {
		r.Sent += s.sent
		r.Served += s.served
		r.Late += s.late
		r.Failed += s.failed
		r.Faults += s.faults
	}
	for _, v := range d.check.violations {
		r.Violations = append(r.Violations, fmt.Sprintf("%.2fs %s: %s", v.at.Seconds(), v.invariant, v.detail))
	}
	return r
}

// writeReport plots the run into report.svg in opts.Dir.
func writeReport(d *deployment, opts Options) error {
	f, err := os.Create(filepath.Join(opts.Dir, "report.svg"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	seconds, stats := d.check.sortedStats()
	if err := plot(f, seconds, stats); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "report")
}
