package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/load"
)

const loadUsage = `Usage: bergamotrun load [flags] [SCENARIO]

Runs a deployment with stand-ins in one process, puts the load of a scenario file on it, and tells what
callers got. With -suite it runs every scenario of a folder, with the policies that each names for
comparison, and prints a table.

Example: bergamotrun load conf/scenarios/crest-ovesna.toml

`

func loadCommand() *command {
	return &command{name: "load", summary: "put load on a deployment and measure it", usage: loadUsage, run: runLoad}
}

func runLoad(ctx context.Context, inv *invocation) error {
	suite := inv.flags.String("suite", "", "`folder` whose scenarios are all run")
	policy := inv.flags.String("policy", load.DefaultPolicy, "`policy`: own, hash or rotate")
	asJSON := inv.flags.Bool("json", false, "print the result as JSON")
	seed := inv.flags.Uint64("seed", 0, "`seed` in place of the scenario's")
	level := inv.flags.String("log", "error", "`level` of the log")
	slot := inv.flags.Int("slot", 0, "`number` that keeps opaque deployments at the same time apart")
	if err := inv.parse(0, 1); err != nil {
		return err
	}
	log, err := newLog(inv.stderr, *level)
	if err != nil {
		return errors.Wrap(err, "-log")
	}
	opts := load.Options{Policy: *policy, Log: log, Progress: progress(inv), Slot: *slot}
	if *suite != "" {
		return runSuite(ctx, inv, *suite, *seed, opts)
	}
	if inv.flags.NArg() == 0 {
		inv.printUsage()
		return errUsage
	}
	s, err := readScenario(inv.flags.Arg(0), *seed)
	if err != nil {
		return err
	}
	result, err := runScenario(ctx, s, opts)
	if err != nil {
		return err
	}
	if *asJSON {
		encoder := json.NewEncoder(inv.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return result.WriteText(inv.stdout)
}

// runScenario runs a scenario, with a directory for the processes of one with opaque flows.
func runScenario(ctx context.Context, s *load.Scenario, opts load.Options) (*load.Result, error) {
	if s.Opaque {
		var err error
		if opts.Binary, opts.Dir, err = workplace("load", ""); err != nil {
			return nil, err
		}
	}
	return load.Run(ctx, s, opts)
}

func readScenario(file string, seed uint64) (*load.Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	s, err := load.Parse(file, text)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	if seed != 0 {
		s.Seed = seed
	}
	return s, nil
}

// progress returns a function that shows the progress on a terminal.
func progress(inv *invocation) func(arrived, ended int) {
	f, ok := inv.stderr.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(arrived, ended int) {
		_, _ = f.WriteString("\r" + fmt.Sprintf("%d of %d requests ended\x1b[K", ended, arrived))
	}
}

// runSuite runs all scenarios of a folder and prints a table.
func runSuite(ctx context.Context, inv *invocation, folder string, seed uint64, opts load.Options) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("-suite %s: holds no scenarios", folder)
	}
	var results []*load.Result
	for _, file := range files {
		s, err := readScenario(file, seed)
		if err != nil {
			return err
		}
		for _, policy := range append([]string{load.DefaultPolicy}, s.ComparePolicies...) {
			opts.Policy = policy
			result, err := runScenario(ctx, s, opts)
			if err != nil {
				return errors.Wrapf(err, "%s, policy %s", file, policy)
			}
			results = append(results, result)
		}
	}
	return load.WriteTable(inv.stdout, results)
}
