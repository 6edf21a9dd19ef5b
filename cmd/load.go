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

Runs a deployment with fakes in one process, generates the load of a scenario file, and reports what
callers observed. With -suite it runs every scenario in a directory, also with the policies that each
scenario lists for comparison, and prints a table.

Example: bergamotrun load conf/scenarios/crest-ovesna.toml

`

func loadCommand() *command {
	return &command{name: "load", summary: "run a load test against a deployment", usage: loadUsage, run: runLoad}
}

func runLoad(ctx context.Context, inv *invocation) error {
	suite := inv.flags.String("suite", "", "run all scenarios in `directory`")
	policy := inv.flags.String("policy", load.DefaultPolicy, "load balancing `policy`: own, hash or rotate")
	asJSON := inv.flags.Bool("json", false, "print the result as JSON")
	seed := inv.flags.Uint64("seed", 0, "`seed` that replaces the scenario's; 0 keeps it")
	level := inv.flags.String("log", "error", "log `level`")
	slot := inv.flags.Int("slot", 0, "`number` of the address range; use different ones for opaque deployments that run at the same time")
	if err := inv.parse(0, 1); err != nil {
		return err
	}
	log, err := newLog(inv.stderr, *level)
	if err != nil {
		return errors.Wrap(err, "-log")
	}
	opts := load.Options{Policy: *policy, Log: log, Progress: terminalProgress(inv), Slot: *slot}
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

// runScenario runs a scenario. One with opaque flows gets a directory for its child processes.
func runScenario(ctx context.Context, s *load.Scenario, opts load.Options) (*load.Result, error) {
	if s.Opaque {
		var err error
		if opts.Binary, opts.Dir, err = executableAndDir("load", ""); err != nil {
			return nil, err
		}
	}
	return load.Run(ctx, s, opts)
}

// readScenario reads a scenario file. A seed other than 0 replaces the one in the file.
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

// terminalProgress returns a function that shows the progress on stderr, or nil if stderr is not a terminal.
func terminalProgress(inv *invocation) func(arrived, ended int) {
	f, ok := inv.stderr.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(arrived, ended int) {
		_, _ = f.WriteString("\r" + fmt.Sprintf("%d of %d requests completed\x1b[K", ended, arrived))
	}
}

// runSuite runs all scenarios in dir and prints a table.
func runSuite(ctx context.Context, inv *invocation, dir string, seed uint64, opts load.Options) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("-suite %s: no scenarios found", dir)
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
