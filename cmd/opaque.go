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
	// flowLogLinesPerSecond bounds the log lines per second of each kind of flow event.
	flowLogLinesPerSecond = 40
	// rotationCheckInterval is the time between two checks whether a stopping process is still in rotation.
	rotationCheckInterval = 100 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes that no SIGHUP announced.
	settingsPollInterval = 3 * time.Second
	// readHeaderTimeout bounds reading the header of an HTTP request.
	readHeaderTimeout = 2 * time.Second
	// socketReadBuffer is the UDP receive buffer in bytes. It holds the packets that arrive while the process waits for
	// CPU time.
	socketReadBuffer = 1 << 20
)

// process is the common part of the entry and agent processes for opaque flows.
type process struct {
	log, flowLog  *zap.Logger
	logWriter     *logs.AsyncWriter
	vars          *expvar.Map
	settings      sett.OpaqueCommon
	node          *memb.Node
	controlClient *ctrl.Client
	directory     *platform.Directory
	encapConn     *net.UDPConn
	clientConn    *net.UDPConn
	isEntry       bool
}

// processOptions configure the parts of a process that depend on its role.
type processOptions struct {
	role view.Role
	// service is the service of an agent's backend server; empty at an entry, and at an agent for any service.
	service string
	// load returns the load of an agent's backend server; nil at an entry.
	load func() ctrl.ServerLoad
	// onConfigChange is called with each newer configuration.
	onConfigChange func(*route.Table)
}

// newProcess sets up logging and metrics and opens the UDP sockets.
func newProcess(ctx context.Context, out io.Writer, role string, s sett.OpaqueCommon) (*process, error) {
	vars := processVars()
	dropped, sampledOut := new(expvar.Int), new(expvar.Map)
	vars.Set("log_lines_dropped", dropped)
	vars.Set("log_lines_left_out", sampledOut)
	logWriter := logs.NewAsyncWriter(out, dropped)
	log, err := newLog(logWriter, s.Log.Level)
	if err != nil {
		return nil, err
	}
	log = log.With(zap.String("role", role), zap.String("process", s.Hops.String()))
	p := &process{log: log, flowLog: logs.Sampled(log, flowLogLinesPerSecond, sampledOut), logWriter: logWriter, vars: vars, settings: s}
	if p.encapConn, err = listenUDP(ctx, s.Hops); err != nil {
		return nil, err
	}
	if p.clientConn, err = listenUDP(ctx, s.Clients); err != nil {
		return nil, err
	}
	return p, nil
}

func listenUDP(ctx context.Context, addr netip.AddrPort) (*net.UDPConn, error) {
	var lc net.ListenConfig
	packetConn, err := lc.ListenPacket(ctx, "udp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	conn := packetConn.(*net.UDPConn)
	if err := conn.SetReadBuffer(socketReadBuffer); err != nil {
		return nil, errors.Wrapf(err, "set read buffer of %s", addr)
	}
	return conn, nil
}

// joinCluster opens the control addresses and creates the process's membership node. serve runs it.
func (p *process) joinCluster(ctx context.Context, opts processOptions) error {
	s := p.settings
	p.isEntry = opts.role == view.Entry
	secret, err := fleet.SecretFromText(s.Secret)
	if err != nil {
		return err
	}
	var tlsConfig *tls.Config
	if tlsConfig, err = secret.TLSConfig(); err != nil {
		return err
	}
	controlCounters, storeCounters := new(expvar.Map), new(expvar.Map)
	p.vars.Set("control", controlCounters)
	p.vars.Set("store", storeCounters)
	ln, link, err := ctrl.Listen(ctx, s.Control, tlsConfig, ctrl.NewCodec(secret), controlCounters)
	if err != nil {
		return err
	}
	p.controlClient = ctrl.NewClient(tlsConfig, controlCounters)
	store := platform.NewStore(s.Store, p.log, storeCounters)
	p.directory = platform.NewDirectory(store)
	record := view.Record{
		Packets: s.Hops, Control: s.Control, Role: opts.role, Domain: s.Domain, State: view.Up,
		Incarnation: view.NewIncarnation(time.Now(), uint16(rand.Uint32())),
	}
	if opts.service != "" {
		record.Service = memb.ServiceNumber(route.ServiceID(opts.service))
	}
	p.node = memb.New(memb.Options{
		Self: record, Link: link, Listener: ln, Client: p.controlClient,
		Source: platform.NewConfigSource(store, p.log), Directory: p.directory, Connector: memb.TCPConnector{}, Seeds: s.SeedAddresses(),
		MaxConfigAge: s.Apply.Std(), Suspended: timer.TrackSuspension(), Load: opts.load, OnConfigChange: opts.onConfigChange,
		Log: p.log, Vars: p.vars,
	})
	p.log.Info("process started", zap.String("domain", s.Domain), zap.Uint64("incarnation", record.Incarnation),
		zap.Stringer("store", s.Store), zap.Int("hosts", len(s.Hosts)), zap.Bool("first", s.First))
	return nil
}

// serveHTTP listens on addr and adds an HTTP server for h to g. An invalid addr disables it.
func serveHTTP(ctx context.Context, g *run.Group, addr netip.AddrPort, h http.Handler) error {
	if !addr.IsValid() {
		return nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp4", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { stopHTTP(s) })
	return nil
}

// httpStopTimeout bounds the time in which a stopping HTTP server answers the requests that it has accepted.
const httpStopTimeout = 200 * time.Millisecond

// stopHTTP stops a server once it has answered the requests that it has accepted.
func stopHTTP(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpStopTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // Requests are left that take too long.
	}
}

// metricsHandler serves the metrics of the process, one name and value per line.
func (p *process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		writeVars(w, "", p.vars)
	})
	return mux
}

// writeVars writes the metrics in vars. The names of those in nested maps are joined with dots.
func writeVars(w io.Writer, prefix string, vars *expvar.Map) {
	vars.Do(func(kv expvar.KeyValue) {
		if inner, ok := kv.Value.(*expvar.Map); ok {
			writeVars(w, prefix+kv.Key+".", inner)
			return
		}
		if kv.Key == "memstats" {
			return // It has hundreds of values; use a heap profile to inspect memory.
		}
		_, _ = fmt.Fprintf(w, "%s%s %s\n", prefix, kv.Key, kv.Value)
	})
}

// notifyHangup returns a channel that receives SIGHUP. A command calls it before it reads its settings, since a SIGHUP that isn't
// received ends the process.
func notifyHangup() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings checks the settings file at each SIGHUP received from signals and every settingsPollInterval. It applies a change of
// the seeds and logs whether other changes need a restart.
func (p *process) watchSettings(ctx context.Context, opts serveOptions) error {
	file, text, signals := opts.file, opts.text, opts.hangup
	defer signal.Stop(signals)
	reload := func(why string) {
		newText, err := os.ReadFile(file)
		if err != nil {
			p.log.Error("settings can't be read; the old ones stay in force", zap.String("why", why), zap.Error(err))
			return
		}
		if bytes.Equal(newText, text) {
			if why == "signal" {
				p.log.Info("settings reloaded", zap.String("why", why), zap.Bool("changed", false))
			}
			return
		}
		text = newText
		s, err := opts.parseSettings(file, newText)
		if err != nil {
			p.log.Error("settings are bad; the old ones stay in force", zap.String("why", why), zap.Error(err))
			return
		}
		p.log.Info("settings reloaded", zap.String("why", why), zap.Bool("changed", true),
			zap.Int("hosts", len(s.Hosts)), zap.Bool("needs_restart", p.needsRestart(s)))
		p.node.SetSeeds(s.SeedAddresses())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = timer.Every(ctx, settingsPollInterval, func() {
			select {
			case signals <- syscall.SIGWINCH: // Any value other than SIGHUP stands for a periodic check.
			default:
			}
		})
	}()
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload("signal")
			} else {
				reload("file")
			}
		}
	}
}

// needsRestart reports whether s changes a setting that is only read at startup.
func (p *process) needsRestart(s sett.OpaqueCommon) bool {
	old := p.settings
	return s.Domain != old.Domain || s.Control != old.Control || s.Hops != old.Hops || s.Clients != old.Clients ||
		s.Ready != old.Ready || s.Store != old.Store || s.Apply != old.Apply || s.Log != old.Log
}

// forwarder is the part of a process that forwards packets.
type forwarder interface {
	Run(ctx context.Context) error
	// Ready reports whether a new flow can be served.
	Ready() bool
}

// serveOptions configure the parts of serve that depend on the role.
type serveOptions struct {
	file string
	text []byte
	// hangup is the channel that notifyHangup returned.
	hangup chan os.Signal
	// shutdownDelay is how long the process keeps serving after a stop was requested. While inRotation, if set, returns
	// true, it keeps serving until maxShutdownDelay.
	shutdownDelay, maxShutdownDelay time.Duration
	inRotation                      func() bool
	// onStop, if set, is called when the process is about to stop serving.
	onStop func()
	// serverLeft reports whether an agent's backend server has ended for good; nil at an entry.
	serverLeft func() bool
	// heartbeatHandler is served on heartbeatAddr, the address of the setting announce, where a backend server sends its
	// heartbeats.
	heartbeatHandler http.Handler
	heartbeatAddr    netip.AddrPort
	parseSettings    func(string, []byte) (sett.OpaqueCommon, error)
}

// serve runs all parts of the process until shutdownDelay after ctx is done.
func (p *process) serve(ctx context.Context, f forwarder, opts serveOptions) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return p.awaitShutdown(ctx, serveCtx, opts) }, func(error) { cancel() })
	g.Add(func() error { return p.node.Run(serveCtx) }, func(error) { cancel() })
	g.Add(func() error { return f.Run(serveCtx) }, func(error) { cancel() })
	g.Add(func() error { return p.watchSettings(serveCtx, opts) }, func(error) { cancel() })
	ready := func() bool { return ctx.Err() == nil && f.Ready() }
	if err := serveHTTP(ctx, &g, p.settings.Ready, platform.ReadyHandler(ready)); err != nil {
		return err
	}
	if err := serveHTTP(ctx, &g, opts.heartbeatAddr, opts.heartbeatHandler); err != nil {
		return err
	}
	if err := serveHTTP(ctx, &g, p.settings.Metrics, p.metricsHandler()); err != nil {
		return err
	}
	return g.Run()
}

// awaitShutdown waits until ctx is done, announces the stop to the other processes and returns after shutdownDelay, which
// ends all other parts of the process.
func (p *process) awaitShutdown(ctx, serveCtx context.Context, opts serveOptions) error {
	select {
	case <-serveCtx.Done():
		return nil
	case <-ctx.Done():
	}
	p.log.Info("process stops", zap.Duration("serves_for", opts.shutdownDelay))
	p.node.AnnounceStop(view.Draining)
	opts.finishServing(serveCtx)
	if p.isEntry || (opts.serverLeft != nil && opts.serverLeft()) {
		p.node.AnnounceStop(view.Gone) // Another agent stays draining: its backend server and the flows may outlive it.
	}
	return nil
}

// finishServing waits until the process is out of rotation and then calls onStop, so that what onStop saves includes the
// flows that were opened meanwhile.
func (o *serveOptions) finishServing(ctx context.Context) {
	o.waitOutOfRotation(ctx)
	if o.onStop != nil {
		o.onStop()
	}
}

// waitOutOfRotation returns after shutdownDelay, or later if the process still receives packets then, at the latest after
// maxShutdownDelay. It returns early if ctx is done.
func (o *serveOptions) waitOutOfRotation(ctx context.Context) {
	deadline := time.Now().Add(o.maxShutdownDelay)
	for delay := o.shutdownDelay; delay > 0; delay = min(rotationCheckInterval, time.Until(deadline)) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if o.inRotation == nil || !o.inRotation() {
			return
		}
	}
}

// close closes control connections, logs the stop with err, and flushes the log.
func (p *process) close(err error) error {
	p.controlClient.Close()
	p.log.Info("process stopped", zap.Error(err))
	p.logWriter.Close(context.Background())
	return err
}
