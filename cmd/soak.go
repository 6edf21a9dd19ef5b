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
		summary: "run the programs for opaque flows under random faults",
		usage: "Usage: bergamotrun soak [flags]\n\nRuns entries and agents as processes on loopback addresses, harms them by faults in an order that the " +
			"seed gives, and\nchecks what clients and backend servers see. It ends only processes that it started.\n\n" +
			"Example: bergamotrun soak -seed 7 -minutes 1\n\n",
		run: runSoak,
	}
}

func runSoak(ctx context.Context, inv *invocation) error {
	seed := inv.flags.Uint64("seed", 1, "`seed` of the first run")
	runs := inv.flags.Int("runs", 1, "`number` of runs, with a seed each")
	minutes := inv.flags.Float64("minutes", 0.5, "`minutes` of faults in a run")
	entries := inv.flags.Int("entries", 4, "`number` of entries")
	servers := inv.flags.Int("servers", 4, "`number` of backend servers of each of two services")
	clients := inv.flags.Int("clients", 16, "`number` of client machines")
	slot := inv.flags.Int("slot", 0, "`number` that keeps runs at the same time apart")
	loss := inv.flags.Float64("loss", 0.002, "`part` of clients' packets that is lost")
	only := inv.flags.String("only", "", "`kinds` of faults, separated by commas; all when empty")
	dir := inv.flags.String("dir", "", "`directory` for settings, logs and reports; a new temporary one when empty")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	binary, base, err := workplace("soak", *dir)
	if err != nil {
		return err
	}
	failed := 0
	for i := range *runs {
		opts := soak.Options{
			Seed: *seed + uint64(i), FaultDuration: time.Duration(*minutes * float64(time.Minute)), Entries: *entries, Servers: *servers,
			Clients: *clients, Slot: *slot, Loss: *loss, Only: *only, Binary: binary,
			Dir: filepath.Join(base, fmt.Sprint(*seed+uint64(i))), Out: inv.stdout,
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "soak")
		}
		ok, err := inv.soakOnce(ctx, opts)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("soak: %d of %d runs broke a promise", failed, *runs)
	}
	return nil
}

// soakOnce makes one run and prints its result; ok is false when it broke a promise.
func (i *invocation) soakOnce(ctx context.Context, opts soak.Options) (ok bool, err error) {
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
