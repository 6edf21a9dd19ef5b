package cmd

import (
	"context"
	"flag"
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
	program := inv.flags.String("program", "", "`path` of the program to run as entries and agents; this one if empty")
	dir := inv.flags.String("dir", "", "`directory` for settings, logs and reports; a new temporary one if empty")
	var opts soak.Options
	addDeploymentFlags(inv.flags, &opts)
	addUserFlags(inv.flags, &opts)
	addShapeFlags(inv.flags, &opts)
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
	opts.FaultDuration, opts.Binary, opts.Out = time.Duration(*minutes*float64(time.Minute)), executable, inv.stdout
	failed := 0
	for i := range *runs {
		opts.Seed = *seed + uint64(i)
		opts.Dir = filepath.Join(baseDir, fmt.Sprint(opts.Seed))
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

// addDeploymentFlags adds the flags that describe the deployment.
func addDeploymentFlags(flags *flag.FlagSet, opts *soak.Options) {
	flags.IntVar(&opts.Entries, "entries", 4, "`number` of entries")
	flags.IntVar(&opts.Servers, "servers", 4, "`number` of backend servers of each of two services")
	flags.IntVar(&opts.Servers2, "servers2", 0, "`number` of backend servers of the second service; as of the first if 0")
	flags.IntVar(&opts.MaxFlows, "maxflows", 0, "`number` of flows that a backend server holds; no limit if 0")
	flags.IntVar(&opts.Slot, "slot", 0, "`number` of the address range; use different ones for runs at the same time")
	flags.Float64Var(&opts.Loss, "loss", 0.002, "`fraction` of client packets that are lost")
	flags.BoolVar(&opts.ByDomain, "bydomain", false, "send each client's packets to the entries of one failure domain")
}

// addUserFlags adds the flags that describe clients and their users.
func addUserFlags(flags *flag.FlagSet, opts *soak.Options) {
	flags.IntVar(&opts.Clients, "clients", 16, "`number` of client machines")
	flags.IntVar(&opts.Users, "users", 5, "`number` of users of each client")
	flags.DurationVar(&opts.MaxPause, "maxpause", 4*time.Second, "longest `pause` of users whose flows are mostly idle")
	flags.Float64Var(&opts.Aimed, "aimed", 0, "`share` of users that are silent from before the kill of a scripted run until 8 to 19 s after it")
	flags.Float64Var(&opts.Fresh, "fresh", 0, "`share` of users that open a flow for each request, beside those that do anyway")
	flags.IntVar(&opts.MaxResponse, "maxresponse", 0, "largest `bytes` of responses, of which a tenth have several packets; no large ones if 0")
	flags.DurationVar(&opts.ServerIdle, "serveridle", 0, "`time` after which servers close idle flows; no limit if 0")
	flags.IntVar(&opts.Ports, "ports", 0, "`number` of ports that a client uses one after the other; all if 0")
	flags.BoolVar(&opts.RandomPorts, "randomports", false, "use the ports at random")
}

// addShapeFlags adds the flags that select faults.
func addShapeFlags(flags *flag.FlagSet, opts *soak.Options) {
	flags.StringVar(&opts.Only, "only", "", "comma-separated `kinds` of faults; all if empty")
	flags.StringVar(&opts.Shape, "shape", "", "`name` of a scripted run, in place of random faults: restarts, or final for its last fault only")
	flags.StringVar(&opts.Late, "late", "none", "`agents` that start late in a scripted run: none, one, some or all")
	flags.BoolVar(&opts.Pauses, "pauses", false, "pause single processes in a scripted run")
	flags.StringVar(&opts.Final, "final", "kill", "last `fault` of a scripted run: kill (of all processes) or power (lost by the servers, too)")
	flags.BoolVar(&opts.SameIDs, "sameids", false, "start servers again with the IDs that they had before a loss of power")
	flags.DurationVar(&opts.Tail, "tail", time.Minute, "`time` that the traffic of a scripted run goes on after the last fault")
	flags.BoolVar(&opts.Flaps, "flaps", false, "take single entries out of rotation for a second after the last fault of a scripted run")
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
