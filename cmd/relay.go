package cmd

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/relay"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/platform"
)

const (
	// relayShutdownDelay is how long a stopping entry at least keeps forwarding packets. Routers take it out of rotation
	// after two failed readiness checks, half a second apart, unless too many entries of its failure domain are out already.
	relayShutdownDelay = 2200 * time.Millisecond
	// exitReserve is the part of the configured stop time that is reserved for process exit.
	exitReserve = 500 * time.Millisecond
)

func relayCommand() *command {
	return &command{
		name:    "relay",
		summary: "run an entry for opaque flows",
		usage: "Usage: bergamotrun relay -config FILE\n\nForwards client packets to the agents of the backend servers until " +
			"SIGINT or SIGTERM; it then shuts down gracefully.\n\nExample: bergamotrun relay -config conf/relay.toml\n\n",
		run: runRelay,
	}
}

func runRelay(ctx context.Context, inv *invocation) error {
	file := inv.flags.String("config", "relay.toml", "settings `file`")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	hangup := notifyHangup()
	text, err := os.ReadFile(*file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s, err := sett.ParseRelay(*file, text)
	if err != nil {
		return err
	}
	p, err := newProcess(ctx, inv.stdout, "relay", s.OpaqueCommon)
	if err != nil {
		return err
	}
	var r *relay.Relay
	if err := p.joinCluster(ctx, processOptions{role: view.Entry, onConfigChange: func(t *route.Table) { r.Configure(t) }}); err != nil {
		return err
	}
	r = relay.New(relay.Options{
		ClientConn: p.clientConn, EncapConn: p.encapConn, Self: s.Hops, Codec: platform.Codec{}, Cluster: p.node,
		LinkMegabits: s.Link, Log: p.log, FlowLog: p.flowLog, Vars: p.vars,
	})
	return p.close(p.serve(ctx, r, serveOptions{
		file: *file, text: text, hangup: hangup, shutdownDelay: min(relayShutdownDelay, s.Stop.Std()-exitReserve),
		maxShutdownDelay: s.Stop.Std() - exitReserve, inRotation: r.InRotation,
		heartbeatHandler: http.NotFoundHandler(), heartbeatAddr: s.Announce,
		parseSettings: func(f string, t []byte) (sett.OpaqueCommon, error) {
			s, err := sett.ParseRelay(f, t)
			return s.OpaqueCommon, err
		},
	}))
}
