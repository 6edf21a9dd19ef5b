package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/soak"
)

func soakCommand() *command {
	return &command{
		name:    "soak",
		summary: "run the commands for opaque flows under random faults",
		usage: "Usage: bergamotrun soak [flags]\n\nRuns entries and agents as processes on loopback addresses, injects faults in an order given by the " +
			"seed, and\nchecks what clients and backend servers observe. It stops only processes that it started.\n\n" +
			"Example: bergamotrun soak -seed 7 -minutes 1\n\n",
		run: runSoak,
	}
}

func runSoak(ctx context.Context, inv *invocation) error {
	seed := inv.flags.Uint64("seed", 1, "`seed` of the first run")
	runs := inv.flags.Int("runs", 1, "`number` of runs; each uses the next seed")
	minutes := inv.flags.Float64("minutes", 0.5, "`minutes` of faults per run")
	entries := inv.flags.Int("entries", 4, "`number` of entries")
	servers := inv.flags.Int("servers", 4, "`number` of backend servers of each of two services")
	clients := inv.flags.Int("clients", 16, "`number` of client machines")
	slot := inv.flags.Int("slot", 0, "`number` of the address range; use different ones for runs at the same time")
	loss := inv.flags.Float64("loss", 0.002, "`fraction` of client packets that are lost")
	only := inv.flags.String("only", "", "comma-separated `kinds` of faults; all if empty")
	shape := inv.flags.String("shape", "", "`name` of a scripted run, in place of random faults: restarts")
	late := inv.flags.String("late", "none", "`agents` that start late in a scripted run: none, one, some or all")
	pauses := inv.flags.Bool("pauses", false, "pause single processes in a scripted run")
	maxPause := inv.flags.Duration("maxpause", 4*time.Second, "longest `pause` of users whose flows are mostly idle")
	aimed := inv.flags.Float64("aimed", 0, "`share` of users that are silent from before the kill of a scripted run until 8 to 19 s after it")
	users := inv.flags.Int("users", 5, "`number` of users of each client")
	ports := inv.flags.Int("ports", 0, "`number` of ports that a client uses one after the other; all if 0")
	maxFlows := inv.flags.Int("maxflows", 0, "`number` of flows that a backend server holds; no limit if 0")
	byDomain := inv.flags.Bool("bydomain", false, "send each client's packets to the entries of one failure domain")
	program := inv.flags.String("program", "", "`path` of the program to run as entries and agents; this one if empty")
	dir := inv.flags.String("dir", "", "`directory` for settings, logs and reports; a new temporary one if empty")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	executable, baseDir, err := executableAndDir("soak", *dir)
	if err != nil {
		return err
	}
	if *program != "" {
		executable = *program
	}
	failed := 0
	for i := range *runs {
		opts := soak.Options{
			Seed: *seed + uint64(i), FaultDuration: time.Duration(*minutes * float64(time.Minute)), Entries: *entries, Servers: *servers,
			Clients: *clients, Slot: *slot, Loss: *loss, Only: *only, Shape: *shape, Late: *late, Pauses: *pauses, Users: *users, Ports: *ports,
			MaxFlows: *maxFlows, ByDomain: *byDomain, MaxPause: *maxPause, Aimed: *aimed, Binary: executable,
			Dir: filepath.Join(baseDir, fmt.Sprint(*seed+uint64(i))), Out: inv.stdout,
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "soak")
		}
		passed, err := inv.runSoakOnce(ctx, opts)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("soak: %d of %d runs failed", failed, *runs)
	}
	return nil
}

// runSoakOnce makes one run, prints its result and reports whether it had no violations.
func (i *invocation) runSoakOnce(ctx context.Context, opts soak.Options) (passed bool, err error) {
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return false, errors.Wrap(err, "-dir")
	}
	r, err := soak.Run(ctx, opts)
	if err != nil {
		return false, err
	}
	i.printf("soak: seed=%d sent=%d served=%d late=%d failed=%d faults=%d recovered=%.3f broken=%d dir=%s\n",
		r.Seed, r.Sent, r.Served, r.Late, r.Failed, r.Faults, r.RecoveryRatio, len(r.Violations), opts.Dir)
	for _, f := range r.Violations {
		i.printf("  broken: %s\n", f)
	}
	return r.OK(), nil
}
