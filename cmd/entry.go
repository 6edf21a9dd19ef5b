package cmd

import (
	"context"
	"expvar"
	"os"
	"runtime"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/admin"
	"github.com/bergamotrun/bergamotrun/internal/entry"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/sett"
)

func entryCommand() *command {
	return &command{
		name:    "entry",
		summary: "run an entry, which receives callers' datagrams",
		usage: "Usage: bergamotrun entry -config FILE\n\nRuns an entry until SIGINT or SIGTERM; it then shuts down gracefully.\n\n" +
			"Example: bergamotrun entry -config /etc/bergamotrun/entry.toml\n\n",
		run: runEntry,
	}
}

func runEntry(ctx context.Context, inv *invocation) error {
	file := inv.flags.String("config", "entry.toml", "settings `file`")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	settings, err := sett.ParseEntry(*file, text)
	if err != nil {
		return err
	}
	log, err := newLog(inv.stdout, settings.Log.Level)
	if err != nil {
		return err
	}
	secret, err := fleet.SecretFromText(settings.Secret)
	if err != nil {
		return err
	}
	vars := processVars()
	e, err := newEntry(ctx, settings, secret, log.With(zap.String("role", "entry")), vars)
	if err != nil {
		return err
	}
	api := admin.NewAPI(e.Journal(), e.Roster(), secret, log)
	server, err := newAdminServer(ctx, settings.Admin, vars, isClosed(e.Ready()), api, log)
	if err != nil {
		return err
	}
	return runWithAdmin(ctx, e.Run, server)
}

func newEntry(ctx context.Context, s sett.EntryFile, secret fleet.Secret, log *zap.Logger, vars *expvar.Map) (*entry.Entry, error) {
	storeClient, err := newStore(s.Store, vars)
	if err != nil {
		return nil, err
	}
	return entry.New(ctx, entry.Options{
		Bind:          s.Entry.Bind,
		Packets:       s.Entry.Packets,
		Control:       s.Entry.Control,
		Domain:        s.Domain,
		AgentNetworks: s.Entry.Agents,
		PathMTU:       s.Entry.PathMTU,
		Capacity:      s.Entry.Capacity,
		Workers:       s.Entry.Workers,
		Secret:        secret,
		Store:         storeClient,
		Seeds:         s.Peers,
		Log:           log,
		Vars:          vars,
		DrainDelay:    s.Entry.Leave.Std(),
	})
}

// processVars returns a metrics map with the metrics that every role exports.
func processVars() *expvar.Map {
	vars := new(expvar.Map)
	started := time.Now()
	vars.Set("uptime_seconds", expvar.Func(func() any { return time.Since(started).Seconds() }))
	vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	vars.Set("memstats", expvar.Get("memstats"))
	return vars
}

// runWithAdmin runs serve and the administration server. The server keeps running until serve has returned.
func runWithAdmin(ctx context.Context, serve func(context.Context) error, server *admin.Server) error {
	adminCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return serve(ctx) }, func(error) {})
	g.Add(func() error { return server.Run(adminCtx) }, func(error) { cancel() })
	return g.Run()
}

// isClosed returns a function that reports whether ch is closed.
func isClosed(ch <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-ch:
			return true
		default:
			return false
		}
	}
}
