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

// devToken is the API's token in the dev command, which serves on loopback only.
const devToken = "dev-token-for-loopback"

func devCommand() *command {
	return &command{
		name:    "dev",
		summary: "run a whole deployment in one process",
		usage: "Usage: bergamotrun dev [flags]\n\nRuns a deployment of the brief's sizes in one process, with stand-ins for the store, the network and the\n" +
			"backend servers, and serves until a signal. With -check it sends requests and holds streams while every entry is\n" +
			"replaced and one agent drains, prints a summary, and fails unless all went well. With -opaque it runs the programs\n" +
			"for opaque flows as processes instead, which end with it.\n\n" +
			"Example: bergamotrun dev -deployment kalfaoglu\n\n",
		run: runDev,
	}
}

func runDev(ctx context.Context, inv *invocation) error {
	name := inv.flags.String("deployment", "ovesna", "`name` of the deployment: ovesna or kalfaoglu")
	check := inv.flags.Bool("check", false, "check the deployment and end")
	seed := inv.flags.Uint64("seed", 1, "`seed` of the network's choices")
	level := inv.flags.String("log", "error", "`level` of the log: debug, info, warn or error")
	opaque := inv.flags.Bool("opaque", false, "run the programs for opaque flows")
	slot := inv.flags.Int("slot", 0, "`number` that keeps opaque deployments at the same time apart")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	if *opaque {
		return inv.devOpaque(ctx, *check, *slot)
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
	result, err := d.Check(ctx, inv.progress())
	return inv.printCheck(result, err)
}

// progress returns a function that prints lines with the time since now.
func (i *invocation) progress() func(format string, args ...any) {
	started := time.Now()
	return func(format string, args ...any) {
		i.printf("%5.1fs %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// printCheck prints the result of a check, and returns an error unless all went well.
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

// workplace returns the program's file, and a directory for the settings and logs of its processes: the given one, or a new
// one when that is empty.
func workplace(name, given string) (binary, dir string, err error) {
	if binary, err = os.Executable(); err != nil {
		return "", "", errors.Wrap(err, "find the program")
	}
	if given != "" {
		return binary, given, nil
	}
	dir, err = os.MkdirTemp("", "bergamotrun-"+name+"-")
	return binary, dir, errors.Wrap(err, "directory for settings and logs")
}

// devOpaque runs the programs for opaque flows on this machine, for a check or until ctx ends.
func (i *invocation) devOpaque(ctx context.Context, check bool, slot int) error {
	binary, dir, err := workplace("dev", "")
	if err != nil {
		return err
	}
	opts := local.CheckOptions(binary, dir, slot)
	if check {
		result, err := local.Check(ctx, opts, i.progress())
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
	i.printf("\nSettings and logs are in %s. A signal ends it.\n", dir)
	<-ctx.Done()
	return nil
}

// serveDev tells what runs and what to try, and serves until ctx ends.
func serveDev(ctx context.Context, inv *invocation, d *devel.Deployment, log *zap.Logger) error {
	ca, err := writeCA(d)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(ca) }()
	server, err := devAdmin(ctx, d, log)
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
	inv.printf("  curl http://%s/debug/vars\n\nA signal ends it.\n", server.Address())
	return server.Run(ctx)
}

// devAdmin returns the administration server of the first entry.
func devAdmin(ctx context.Context, d *devel.Deployment, log *zap.Logger) (*admin.Server, error) {
	e := d.Entries()[0]
	return admin.New(ctx, admin.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Token: devToken, Vars: e.Vars, Ready: isClosed(e.Ready()),
		API: admin.NewAPI(e.Journal(), e.Roster(), d.Secret, log), Log: log,
	})
}

// writeCA writes the certificate that signs the services' ones to a temporary file.
func writeCA(d *devel.Deployment) (string, error) {
	f, err := os.CreateTemp("", "bergamotrun-ca-*.pem")
	if err != nil {
		return "", errors.Wrap(err, "write the services' authority")
	}
	defer func() { _ = f.Close() }()
	err = pem.Encode(f, &pem.Block{Type: "CERTIFICATE", Bytes: d.Authority.DER()})
	return f.Name(), errors.Wrap(err, "write the services' authority")
}
