package cmd

import (
	"context"
	"crypto/tls"
	"expvar"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/admin"
	"github.com/bergamotrun/bergamotrun/internal/agent"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/internal/store"
)

func agentCommand() *command {
	return &command{
		name:    "agent",
		summary: "run an agent, which forwards requests to the backend server next to it",
		usage: "Usage: bergamotrun agent -config FILE\n\nRuns an agent until SIGINT or SIGTERM; it then drains.\n\n" +
			"Example: bergamotrun agent -config /etc/bergamotrun/agent.toml\n\n",
		run: runAgent,
	}
}

func runAgent(ctx context.Context, inv *invocation) error {
	file := inv.flags.String("config", "agent.toml", "settings `file`")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	settings, err := sett.ParseAgent(*file, text)
	if err != nil {
		return err
	}
	log, err := newLog(inv.stdout, settings.Log.Level)
	if err != nil {
		return err
	}
	vars := processVars()
	agentProcess, err := newAgent(ctx, settings, log.With(zap.String("role", "agent")), vars)
	if err != nil {
		return err
	}
	server, err := newAdminServer(ctx, settings.Admin, vars, isClosed(agentProcess.Ready()), nil, log)
	if err != nil {
		return err
	}
	return runWithAdmin(ctx, agentProcess.Run, server)
}

func newAgent(ctx context.Context, s sett.AgentFile, log *zap.Logger, vars *expvar.Map) (*agent.Agent, error) {
	secret, err := fleet.SecretFromText(s.Secret)
	if err != nil {
		return nil, err
	}
	backend, err := url.Parse(s.Agent.Backend)
	if err != nil {
		return nil, errors.Wrap(err, "agent.backend")
	}
	cert, err := tls.LoadX509KeyPair(s.Agent.Cert, s.Agent.Key)
	if err != nil {
		return nil, errors.Wrap(err, "agent.cert and agent.key")
	}
	storeClient, err := newStore(s.Store, vars)
	if err != nil {
		return nil, err
	}
	return agent.New(ctx, agent.Options{
		Service:    s.Agent.Service,
		Backend:    backend,
		HealthPath: s.Agent.Health,
		Packets:    s.Agent.Packets,
		Control:    s.Agent.Control,
		Domain:     s.Domain,
		Weight:     uint16(s.Agent.Weight),
		TLS:        &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13},
		PathMTU:    s.Agent.PathMTU,
		Secret:     secret,
		Seeds:      s.Peers,
		Directory:  storeClient,
		Log:        log,
		Vars:       vars,
		DrainDelay: s.Agent.Notice.Std(),
	})
}

// newStore returns a client for the configured store.
func newStore(s sett.Store, vars *expvar.Map) (*store.Client, error) {
	u, err := url.Parse(s.URL)
	if err != nil {
		return nil, errors.Wrap(err, "store.url")
	}
	counters := new(expvar.Map)
	vars.Set("store", counters)
	return store.New(u, s.Token, counters), nil
}

// newAdminServer returns the configured administration server.
func newAdminServer(ctx context.Context, s sett.Admin, vars *expvar.Map, ready func() bool, api *admin.API, log *zap.Logger) (*admin.Server, error) {
	opts := admin.Options{Address: s.Address, Token: s.Token, Vars: vars, Ready: ready, API: api, Log: log}
	if s.Cert != "" {
		cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			return nil, errors.Wrap(err, "admin.cert and admin.key")
		}
		opts.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	}
	return admin.New(ctx, opts)
}
