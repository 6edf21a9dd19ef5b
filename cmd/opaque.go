package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/logs"
	"github.com/bergamotrun/bergamotrun/internal/memb"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/platform"
)

const (
	// flowLines is how many log lines a second each kind of decision about flows may write.
	flowLines = 40
	// settingsEvery is how often the settings file is looked at: it may change without a signal.
	settingsEvery = 3 * time.Second
	// headerTime bounds the reading of a request's head on the HTTP addresses.
	headerTime = 2 * time.Second
	// socketBuffer holds the packets that come while the process waits for the processor, in bytes.
	socketBuffer = 1 << 20
)

// process is what the processes that carry opaque flows have in common.
type process struct {
	log, flows *zap.Logger
	ring       *logs.Ring
	vars       *expvar.Map
	settings   sett.OpaqueCommon
	node       *memb.Node
	client     *ctrl.Client
	directory  *platform.Directory
	hops       *net.UDPConn
	clients    *net.UDPConn
	entry      bool
}

// processOptions tell the parts of a process that differ by role.
type processOptions struct {
	role    view.Role
	service string
	load    func() ctrl.ServerLoad
	changed func(*route.Table)
}

// newProcess opens the log and the sockets.
func newProcess(ctx context.Context, out io.Writer, role string, s sett.OpaqueCommon) (*process, error) {
	vars := processVars()
	dropped, left := new(expvar.Int), new(expvar.Map)
	vars.Set("log_lines_dropped", dropped)
	vars.Set("log_lines_left_out", left)
	ring := logs.NewRing(out, dropped)
	log, err := newLog(ring, s.Log.Level)
	if err != nil {
		return nil, err
	}
	log = log.With(zap.String("role", role), zap.String("process", s.Hops.String()))
	p := &process{log: log, flows: logs.Bounded(log, flowLines, left), ring: ring, vars: vars, settings: s}
	if p.hops, err = listenUDP(ctx, s.Hops); err != nil {
		return nil, err
	}
	if p.clients, err = listenUDP(ctx, s.Clients); err != nil {
		return nil, err
	}
	return p, nil
}

func listenUDP(ctx context.Context, addr netip.AddrPort) (*net.UDPConn, error) {
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	conn := pc.(*net.UDPConn)
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		return nil, errors.Wrapf(err, "buffer of %s", addr)
	}
	return conn, nil
}

// join opens the process's membership.
func (p *process) join(ctx context.Context, opts processOptions) error {
	s := p.settings
	p.entry = opts.role == view.Entry
	secret, err := fleet.SecretFromText(s.Secret)
	if err != nil {
		return err
	}
	var conf *tls.Config
	if conf, err = secret.TLS(); err != nil {
		return err
	}
	counters, calls := new(expvar.Map), new(expvar.Map)
	p.vars.Set("control", counters)
	p.vars.Set("store", calls)
	ln, link, err := ctrl.Listen(ctx, s.Control, conf, ctrl.NewCodec(secret), counters)
	if err != nil {
		return err
	}
	p.client = ctrl.NewClient(conf, counters)
	store := platform.NewStore(s.Store, calls)
	p.directory = platform.NewDirectory(store)
	record := view.Record{
		Packets: s.Hops, Control: s.Control, Role: opts.role, Domain: s.Domain, State: view.Up,
		Incarnation: view.NewIncarnation(time.Now(), uint16(rand.Uint32())),
	}
	if opts.service != "" {
		record.Service = memb.ServiceNumber(route.ServiceID(opts.service))
	}
	p.node = memb.New(memb.Options{
		Self: record, Link: link, Listener: ln, Client: p.client,
		Source: platform.NewConfigSource(store, p.log), Directory: p.directory, Seeds: s.Seeds(),
		MaxConfigAge: s.Apply.Std(), Load: opts.load, OnTableChange: opts.changed, Log: p.log, Vars: p.vars,
	})
	p.log.Info("process started", zap.String("domain", s.Domain), zap.Uint64("incarnation", record.Incarnation),
		zap.Stringer("store", s.Store), zap.Int("hosts", len(s.Hosts)), zap.Bool("first", s.First))
	return nil
}

// serveHTTP serves a handler on an address until ctx ends.
func serveHTTP(ctx context.Context, g *run.Group, addr netip.AddrPort, h http.Handler) error {
	if !addr.IsValid() {
		return nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp4", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	g.Add(func() error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = s.Close() })
	return nil
}

// metrics serves the process's metrics, one name and value a line.
func (p *process) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		writeVars(w, "", p.vars)
	})
	return mux
}

func writeVars(w io.Writer, prefix string, m *expvar.Map) {
	m.Do(func(kv expvar.KeyValue) {
		if inner, ok := kv.Value.(*expvar.Map); ok {
			writeVars(w, prefix+kv.Key+".", inner)
			return
		}
		if kv.Key == "memstats" {
			return // The full list has hundreds of numbers; a profile is the way to look at memory.
		}
		_, _ = fmt.Fprintf(w, "%s%s %s\n", prefix, kv.Key, kv.Value)
	})
}

// watchSettings calls changed with the settings file's text when it is signalled or found changed.
func (p *process) watchSettings(ctx context.Context, file string, text []byte, parse func(string, []byte) (sett.OpaqueCommon, error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	look := func(why string) {
		fresh, err := os.ReadFile(file)
		if err != nil {
			p.log.Error("settings can't be read; the old ones stay in force", zap.String("why", why), zap.Error(err))
			return
		}
		if bytes.Equal(fresh, text) {
			if why == "signal" {
				p.log.Info("settings reloaded", zap.String("why", why), zap.Bool("changed", false))
			}
			return
		}
		text = fresh
		s, err := parse(file, fresh)
		if err != nil {
			p.log.Error("settings are bad; the old ones stay in force", zap.String("why", why), zap.Error(err))
			return
		}
		p.log.Info("settings reloaded", zap.String("why", why), zap.Bool("changed", true),
			zap.Int("hosts", len(s.Hosts)), zap.Bool("needs_restart", p.needsRestart(s)))
		p.node.SetSeeds(s.Seeds())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = timer.Every(ctx, settingsEvery, func() {
			select {
			case hup <- syscall.SIGWINCH: // Any other signal stands for a look without one.
			default:
			}
		})
	}()
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case s := <-hup:
			if s == syscall.SIGHUP {
				look("signal")
			} else {
				look("file")
			}
		}
	}
}

// needsRestart reports whether settings differ in what is only read at a start.
func (p *process) needsRestart(s sett.OpaqueCommon) bool {
	old := p.settings
	return s.Domain != old.Domain || s.Control != old.Control || s.Hops != old.Hops || s.Clients != old.Clients ||
		s.Ready != old.Ready || s.Store != old.Store || s.Apply != old.Apply || s.Log != old.Log
}

// carrier is the part of a process that carries packets.
type carrier interface {
	Run(ctx context.Context) error
	// Ready reports whether a new flow could be served.
	Ready() bool
}

// serveOptions tell what differs by role while a process serves.
type serveOptions struct {
	file string
	text []byte
	// linger is how long the process serves after it was told to stop.
	linger time.Duration
	// stopping is called once the others know that the process stops.
	stopping   func()
	announce   http.Handler
	announceOn netip.AddrPort
	parse      func(string, []byte) (sett.OpaqueCommon, error)
}

// serve runs all duties of a process until ctx ends and the process has lingered.
func (p *process) serve(ctx context.Context, c carrier, opts serveOptions) error {
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return p.linger(ctx, duties, opts) }, func(error) { cancel() })
	g.Add(func() error { return p.node.Run(duties) }, func(error) { cancel() })
	g.Add(func() error { return c.Run(duties) }, func(error) { cancel() })
	g.Add(func() error { return p.watchSettings(duties, opts.file, opts.text, opts.parse) }, func(error) { cancel() })
	ready := func() bool { return ctx.Err() == nil && c.Ready() }
	if err := serveHTTP(ctx, &g, p.settings.Ready, platform.ReadyHandler(ready)); err != nil {
		return err
	}
	if err := serveHTTP(ctx, &g, opts.announceOn, opts.announce); err != nil {
		return err
	}
	if err := serveHTTP(ctx, &g, p.settings.Metrics, p.metrics()); err != nil {
		return err
	}
	return g.Run()
}

// linger runs after ctx ends: it tells the others, and keeps serving for a while before it cancels the duties.
func (p *process) linger(ctx, duties context.Context, opts serveOptions) error {
	select {
	case <-duties.Done():
		return nil
	case <-ctx.Done():
	}
	p.log.Info("process stops", zap.Duration("serves_for", opts.linger))
	p.node.AnnounceStop(view.Draining)
	if opts.stopping != nil {
		opts.stopping()
	}
	select {
	case <-duties.Done():
	case <-time.After(opts.linger):
	}
	if p.entry {
		p.node.AnnounceStop(view.Gone) // An agent's server may outlive it, with its flows: it stays draining.
	}
	return nil
}

// close writes the last lines of the log.
func (p *process) close(err error) error {
	p.client.Close()
	p.log.Info("process stopped", zap.Error(err))
	p.ring.Close(context.Background())
	return err
}
