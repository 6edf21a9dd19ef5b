package cmd

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/deliv"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/platform"
)

// deliverShutdownDelay is how long a stopping agent keeps forwarding packets. The announcement of the stop reaches the
// entries within milliseconds.
const deliverShutdownDelay = 150 * time.Millisecond

func deliverCommand() *command {
	return &command{
		name:    "deliver",
		summary: "run an agent next to a backend server, for opaque flows",
		usage: "Usage: bergamotrun deliver -config FILE\n\nForwards packets between clients and the backend server next to it until " +
			"SIGINT or SIGTERM; it then shuts down gracefully.\n\nExample: bergamotrun deliver -config conf/deliver.toml\n\n",
		run: runDeliver,
	}
}

func runDeliver(ctx context.Context, inv *invocation) error {
	file := inv.flags.String("config", "deliver.toml", "settings `file`")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	hangup := notifyHangup()
	text, err := os.ReadFile(*file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s, err := sett.ParseDeliver(*file, text)
	if err != nil {
		return err
	}
	p, err := newProcess(ctx, inv.stdout, "deliver", s.OpaqueCommon)
	if err != nil {
		return err
	}
	serverConn, err := listenUDP(ctx, s.Outbound)
	if err != nil {
		return err
	}
	var a *deliv.Agent
	err = p.joinCluster(ctx, processOptions{
		role: view.Agent, service: s.Service, load: func() ctrl.ServerLoad { return a.Load() },
		onConfigChange: func(t *route.Table) { a.Configure(t) },
	})
	if err != nil {
		return err
	}
	a = deliv.New(deliv.Options{
		EncapConn: p.encapConn, ServerConn: serverConn, ClientConn: p.clientConn, Server: s.Server, Service: s.Service, HeartbeatInterval: s.Heartbeat.Std(),
		FirstStart: s.First, Self: s.Hops, Codec: platform.Codec{}, Cluster: p.node, FlowListStore: p.directory.FlowListStore(s.Hops),
		HealthChecker: platform.NewHealthChecker(),
		Log:           p.log, FlowLog: p.flowLog, Vars: p.vars,
	})
	return p.close(p.serve(ctx, a, serveOptions{
		file: *file, text: text, hangup: hangup, shutdownDelay: deliverShutdownDelay, onStop: a.SaveFlowList,
		serverLeft:       a.ServerLeft,
		heartbeatHandler: platform.HeartbeatHandler(a, p.log), heartbeatAddr: s.Announce,
		parseSettings: func(f string, t []byte) (sett.OpaqueCommon, error) {
			s, err := sett.ParseDeliver(f, t)
			return s.OpaqueCommon, err
		},
	}))
}
