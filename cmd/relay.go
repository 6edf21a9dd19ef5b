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
	// relayLinger is how long a stopping entry still carries packets: routers need two misses, half a second apart each.
	relayLinger = 2200 * time.Millisecond
	// stopSlack is the part of the stop time that is kept for the end of the process.
	stopSlack = 1500 * time.Millisecond
)

func relayCommand() *command {
	return &command{
		name:    "relay",
		summary: "run an entry for opaque flows",
		usage: "Usage: bergamotrun relay -config FILE\n\nCarries callers' packets to the agents beside backend servers until a " +
			"signal; it then leaves gracefully.\n\nExample: bergamotrun relay -config conf/relay.toml\n\n",
		run: runRelay,
	}
}

func runRelay(ctx context.Context, inv *invocation) error {
	file := inv.flags.String("config", "relay.toml", "`file` with the settings")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
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
	if err := p.join(ctx, processOptions{role: view.Entry, changed: func(t *route.Table) { r.Configure(t) }}); err != nil {
		return err
	}
	r = relay.New(relay.Options{
		ClientConn: p.clients, EncapConn: p.hops, Self: s.Hops, Codec: platform.Codec{}, Cluster: p.node,
		Log: p.log, FlowLog: p.flows, Vars: p.vars,
	})
	return p.close(p.serve(ctx, r, serveOptions{
		file: *file, text: text, linger: min(relayLinger, s.Stop.Std()-stopSlack),
		announce: http.NotFoundHandler(), announceOn: s.Announce,
		parse: func(f string, t []byte) (sett.OpaqueCommon, error) {
			s, err := sett.ParseRelay(f, t)
			return s.OpaqueCommon, err
		},
	}))
}
