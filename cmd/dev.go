package cmd

import (
	"context"
	"encoding/pem"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/admin"
	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/internal/local"
)

// devToken is the API token of the dev command. It may be public, as the command serves on loopback only.
const devToken = "dev-token-for-loopback"

func devCommand() *command {
	return &command{
		name:    "dev",
		summary: "run a whole deployment in one process",
		usage: "Usage: bergamotrun dev [flags]\n\nRuns a full-size deployment in one process, with fakes for the store, the network and the\n" +
			"backend servers, until SIGINT or SIGTERM. With -check it sends requests and holds streams open while every entry is\n" +
			"replaced and one agent drains, prints a summary, and fails on any error. With -opaque it runs the commands\n" +
			"for opaque flows as child processes instead, and stops them on exit; with -rollback the store then returns from an older\n" +
			"copy again and again.\n\n" +
			"Example: bergamotrun dev -deployment kalfaoglu\n\n",
		run: runDev,
	}
}

func runDev(ctx context.Context, inv *invocation) error {
	name := inv.flags.String("deployment", "ovesna", "`name` of the deployment: ovesna or kalfaoglu")
	check := inv.flags.Bool("check", false, "check the deployment and exit")
	seed := inv.flags.Uint64("seed", 1, "`seed` of the fake network")
	level := inv.flags.String("log", "error", "log `level`: debug, info, warn or error")
	opaque := inv.flags.Bool("opaque", false, "run the commands for opaque flows")
	slot := inv.flags.Int("slot", 0, "`number` of the address range; use different ones for opaque deployments that run at the same time")
	rollback := inv.flags.Duration("rollback", 0, "with -opaque: `age` of the copy from which the store returns, again and again; 0 for never")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	if *rollback < 0 || (*rollback > 0 && (!*opaque || *check)) {
		return errors.Errorf("-rollback %s: must be positive, and used with -opaque and without -check", *rollback)
	}
	if *opaque {
		return inv.runDevOpaque(ctx, *check, *slot, *rollback)
	}
	log, err := newLog(inv.stderr, *level)
	if err != nil {
		return errors.Wrap(err, "-log")
	}
	spec, err := devel.LoadSpec(*name)
	if err != nil {
		return err
	}
	d, err := devel.Start(ctx, devel.Options{Spec: spec, Seed: *seed, Log: log})
	if err != nil {
		return err
	}
	defer d.Close()
	if *check {
		return runCheck(ctx, inv, d)
	}
	return serveDev(ctx, inv, d, log)
}

func runCheck(ctx context.Context, inv *invocation, d *devel.Deployment) error {
	result, err := d.Check(ctx, inv.progressPrinter())
	return inv.printCheck(result, err)
}

// progressPrinter returns a function that prints lines prefixed with the time since progressPrinter was called.
func (i *invocation) progressPrinter() func(format string, args ...any) {
	start := time.Now()
	return func(format string, args ...any) {
		i.printf("%5.1fs %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// printCheck prints the result of a check and returns an error if it failed.
func (i *invocation) printCheck(result devel.CheckResult, err error) error {
	i.printf("%s\n", result)
	if err != nil {
		return err
	}
	if !result.OK() {
		return errors.New("the check failed")
	}
	return nil
}

// executableAndDir returns the path of the running executable and a directory for the settings and logs of child
// processes: the requested directory, or a new temporary one if it is empty.
func executableAndDir(command, requested string) (executable, dir string, err error) {
	if executable, err = os.Executable(); err != nil {
		return "", "", errors.Wrap(err, "find executable")
	}
	if requested != "" {
		return executable, requested, nil
	}
	dir, err = os.MkdirTemp("", "bergamotrun-"+command+"-")
	return executable, dir, errors.Wrap(err, "create directory for settings and logs")
}

// runDevOpaque runs the commands for opaque flows on this machine, for a check or until ctx is done. If rollback isn't 0, the store
// returns again and again from a copy of that age.
func (i *invocation) runDevOpaque(ctx context.Context, check bool, slot int, rollback time.Duration) error {
	executable, dir, err := executableAndDir("dev", "")
	if err != nil {
		return err
	}
	opts := local.CheckOptions(executable, dir, slot)
	if check {
		result, err := local.Check(ctx, opts, i.progressPrinter())
		return i.printCheck(result, err)
	}
	d, err := local.New(opts)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Start(ctx); err != nil {
		return err
	}
	for _, p := range d.Processes() {
		i.printf("%-10s metrics http://%s/metrics\n", p.Name, p.Metrics())
	}
	i.printf("\nSettings and logs are in %s. Stop with Ctrl-C.\n", dir)
	for rollback > 0 && ctx.Err() == nil {
		if err := d.RollBackStore(ctx, rollback, rollback/rollbackOutageFraction); err != nil {
			return err
		}
		i.printf("the store has returned from a copy of %s ago\n", rollback)
	}
	<-ctx.Done()
	return nil
}

// rollbackOutageFraction is the age of a copy as a multiple of the time for which the store is unavailable before it returns to it.
const rollbackOutageFraction = 4

// serveDev prints the addresses of the deployment and example commands, and serves until ctx is done.
func serveDev(ctx context.Context, inv *invocation, d *devel.Deployment, log *zap.Logger) error {
	ca, err := writeCA(d)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(ca) }()
	server, err := newDevAdminServer(ctx, d, log)
	if err != nil {
		return err
	}
	inv.printf("store          %s\n", d.StoreURL)
	for _, e := range d.Entries() {
		inv.printf("entry          callers %s, packets %s, control %s\n", e.Bind, e.Packets(), e.Control())
	}
	for _, s := range d.Services() {
		inv.printf("service        %s at https://%s, %d backend servers\n", s.Spec.Name, s.Address, len(s.Targets))
	}
	inv.printf("administration http://%s\n\nTry next:\n", server.Address())
	s := d.Services()[0]
	inv.printf("  bergamotrun call -ca %s -name %s 'https://%s/work/a?ms=10'\n", ca, s.Spec.Name, s.Address)
	inv.printf("  bergamotrun call -ca %s -name %s -X POST -d '3 pallets' https://%s/orders\n", ca, s.Spec.Name, s.Address)
	inv.printf("  %s=%s bergamotrun contract list -admin http://%s\n", tokenVariable, devToken, server.Address())
	inv.printf("  curl http://%s/debug/vars\n\nStop with Ctrl-C.\n", server.Address())
	return server.Run(ctx)
}

// newDevAdminServer returns an administration server for the first entry.
func newDevAdminServer(ctx context.Context, d *devel.Deployment, log *zap.Logger) (*admin.Server, error) {
	e := d.Entries()[0]
	return admin.New(ctx, admin.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Token: devToken, Vars: e.Vars, Ready: isClosed(e.Ready()),
		API: admin.NewAPI(e.Journal(), e.Roster(), d.Secret, log), Log: log,
	})
}

// writeCA writes the CA certificate of the services to a temporary file and returns its name.
func writeCA(d *devel.Deployment) (string, error) {
	f, err := os.CreateTemp("", "bergamotrun-ca-*.pem")
	if err != nil {
		return "", errors.Wrap(err, "write CA certificate")
	}
	defer func() { _ = f.Close() }()
	err = pem.Encode(f, &pem.Block{Type: "CERTIFICATE", Bytes: d.Authority.DER()})
	return f.Name(), errors.Wrap(err, "write CA certificate")
}
