// Package soak runs the real programs for opaque flows as processes on this machine, among stand-ins of the platform,
// and harms them from outside by a random series of faults. While it runs, it checks the promises of docs/PLATFORM.md
// from what clients and servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// calmTime is how long the deployment runs undisturbed before the faults, and after them.
	calmTime = 3 * time.Second
	// recoverTime is how long service may take to recover after the last fault.
	recoverTime = 6 * time.Second
	// recoverShare is the part of requests that must be served from then on.
	recoverShare = 0.9
)

// Options are what a run needs.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Entries and Clients are the numbers of those, Servers the number of backend servers of each service.
	Entries, Servers, Clients int
	// Slot keeps runs at the same time apart, from 0 to local.MostSlots-1.
	Slot int
	// Loss is the part of clients' packets that the fabric loses.
	Loss float64
	// Only names the kinds of faults to inject; all when empty.
	Only string
	// Binary is the program under test, Dir takes its settings, its logs and the report.
	Binary, Dir string
	Out         io.Writer
}

// Result sums up a run.
type Result struct {
	Seed                       uint64
	Sent, Served, Late, Failed int
	Faults                     int
	Findings                   []string
	// Recovered is the part of requests served after the faults.
	Recovered float64
}

// OK reports whether all promises were kept.
func (r *Result) OK() bool { return len(r.Findings) == 0 }

// Run makes one run. It returns an error when the run itself could not be made.
func Run(ctx context.Context, opts Options) (*Result, error) {
	kinds, err := choose(opts.Only)
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
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.traffic(trafficCtx) }()
	sleep(ctx, calmTime)
	faultCtx, stopFaults := context.WithTimeout(ctx, opts.Length)
	in := &injector{d: d, rand: rand.New(rand.NewPCG(opts.Seed, 0)), log: func(f string, a ...any) {
		_, _ = fmt.Fprintf(opts.Out, f+"\n", a...)
	}}
	in.run(faultCtx, kinds)
	stopFaults()
	over := time.Since(d.check.started)
	sleep(ctx, recoverTime+calmTime)
	stopTraffic()
	if err := <-done; err != nil {
		return nil, err
	}
	return d.result(over), report(d, opts)
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// choose returns the faults whose names only lists, separated by commas.
func choose(only string) ([]fault, error) {
	if only == "" {
		return faults(), nil
	}
	var out []fault
	for _, name := range strings.Split(only, ",") {
		found := false
		for _, f := range faults() {
			if f.name == strings.TrimSpace(name) {
				out, found = append(out, f), true
			}
		}
		if !found {
			return nil, errors.Errorf("soak: no kind of fault is called %q", name)
		}
	}
	return out, nil
}

// result sums the run up; the last fault was over at a time.
func (d *deployment) result(over time.Duration) *Result {
	for _, p := range d.Processes() {
		if n := p.UnexpectedExits(); n > 0 {
			d.check.broke(exits, "%s ended by itself %d times", p.Name, n)
		}
	}
	r := &Result{Seed: d.opts.Seed}
	share, sent := d.check.servedShare(over+recoverTime, over+recoverTime+calmTime)
	r.Recovered = share
	if sent == 0 || share < recoverShare {
		d.check.broke(recovers, "%.2f of %d requests were served after the faults", share, sent)
	}
	_, points := d.check.sorted()
	for _, p := range points {
		r.Sent += p.sent
		r.Served += p.served
		r.Late += p.late
		r.Failed += p.failed
		r.Faults += p.faults
	}
	for _, f := range d.check.findings {
		r.Findings = append(r.Findings, fmt.Sprintf("%.2fs %s: %s", f.at.Seconds(), f.promise, f.detail))
	}
	return r
}

// report writes a plot of the run.
func report(d *deployment, opts Options) error {
	f, err := os.Create(filepath.Join(opts.Dir, "report.svg"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	seconds, points := d.check.sorted()
	if err := plot(f, seconds, points); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "report")
}
