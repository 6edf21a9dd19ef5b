package cmd

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/memb"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// A stopping process that exited while routers still forwarded packets to it lost them.
func TestStoppingProcessWaitsUntilOutOfRotation(t *testing.T) {
	for _, tt := range []struct {
		name       string
		inRotation time.Duration
		want       time.Duration
	}{
		{"out of rotation early", time.Second, 2 * time.Second},
		{"out of rotation late", 3 * time.Second, 3 * time.Second},
		{"never out of rotation", time.Minute, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				opts := serveOptions{
					shutdownDelay: 2 * time.Second, maxShutdownDelay: 5 * time.Second,
					inRotation: func() bool { return time.Since(started) < tt.inRotation },
				}
				opts.waitOutOfRotation(context.Background())
				is.Equal(time.Since(started), tt.want)
			})
		})
	}
}

// A process without routers in front of it, such as an agent, stops after its shutdown delay.
func TestStoppingProcessWithoutRotationWaitsForDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		opts := serveOptions{shutdownDelay: 150 * time.Millisecond}
		opts.waitOutOfRotation(context.Background())
		is.Equal(time.Since(started), 150*time.Millisecond)
	})
}

// Guards against flows that an agent's successor doesn't know: those opened after the stop was announced, by entries that
// hadn't received the announcement yet.
func TestStateIsSavedAfterShutdownDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		var savedAfter time.Duration
		opts := serveOptions{shutdownDelay: 150 * time.Millisecond, onStop: func() { savedAfter = time.Since(started) }}
		opts.finishServing(context.Background())
		is.Equal(savedAfter, 150*time.Millisecond)
	})
}

// emptySource is a memb.Source whose configuration has no routes.
type emptySource struct{}

func (emptySource) Read(context.Context) (*route.Table, error) {
	return new(route.Table), nil
}
func (emptySource) Watch(ctx context.Context) (*route.Table, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// emptyDirectory is a memb.Directory that lists no process, and counts deregistrations.
type emptyDirectory struct{ deregistrations int }

func (*emptyDirectory) Register(context.Context, view.Record) error        { return nil }
func (*emptyDirectory) KeepAlive(context.Context) error                    { return nil }
func (*emptyDirectory) KeepAliveInterval() time.Duration                   { return time.Minute }
func (*emptyDirectory) Current() bool                                      { return true }
func (*emptyDirectory) Era() uint64                                        { return 0 }
func (*emptyDirectory) List(context.Context, bool) ([]view.Listing, error) { return nil, nil }
func (d *emptyDirectory) Deregister(context.Context) error {
	d.deregistrations++
	return nil
}

// idleForwarder is a forwarder without packets.
type idleForwarder struct{}

func (idleForwarder) Ready() bool { return true }
func (idleForwarder) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// newTestNode returns a node on the loopback interface.
func newTestNode(t *testing.T, packets string, role view.Role, directory memb.Directory, seeds ...netip.AddrPort) (
	*memb.Node, memb.Options,
) {
	t.Helper()
	is := is.New(t)
	secret, err := fleet.SecretFromText("a secret for tests only")
	is.NoErr(err)
	tlsConfig, err := secret.TLSConfig()
	is.NoErr(err)
	addr := netip.MustParseAddrPort("127.0.0.1:0")
	ln, link, err := ctrl.Listen(context.Background(), addr, tlsConfig, ctrl.NewCodec(secret), new(expvar.Map))
	is.NoErr(err)
	opts := memb.Options{
		Self: view.Record{
			Packets: netip.MustParseAddrPort(packets), Control: link.Addr(), Role: role, Domain: "a", Incarnation: 1, State: view.Up,
		},
		Link: link, Listener: ln, Client: ctrl.NewClient(tlsConfig, new(expvar.Map)), Source: emptySource{}, Directory: directory,
		Seeds: seeds, MaxConfigAge: time.Second, Suspended: func() time.Duration { return 0 }, Log: zap.NewNop(), Vars: new(expvar.Map),
	}
	if role == view.Agent {
		opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{} }
	}
	return memb.New(opts), opts
}

// Guards against searches for flows that wait for an agent that ended with its backend server, and against an agent that leaves
// while its server lives.
func TestAgentIsGoneOnlyIfItsServerHasLeft(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		serverLeft              bool
		holders, deregistration int
	}{
		{"server has left", true, 0, 1},
		{"server lives", false, 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			entry, entryOpts := newTestNode(t, "127.0.1.1:1", view.Entry, new(emptyDirectory))
			entryCtx, stopEntry := context.WithCancel(context.Background())
			entryDone := make(chan error, 1)
			go func() { entryDone <- entry.Run(entryCtx) }()
			directory := new(emptyDirectory)
			agent, agentOpts := newTestNode(t, "127.0.1.2:1", view.Agent, directory, entryOpts.Self.Control)
			p := &process{log: zap.NewNop(), node: agent}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				done <- p.serve(ctx, idleForwarder{}, serveOptions{
					hangup: make(chan os.Signal, 1), shutdownDelay: 10 * time.Millisecond, serverLeft: func() bool { return tt.serverLeft },
				})
			}()
			holders := func() int {
				agents, _ := entry.AllAgents(10)
				return len(agents)
			}
			poll(t, func() bool { return holders() == 1 && agentOpts.Vars.Get("processes_known").String() == "1" })
			stop()
			is.NoErr(<-done)
			is.Equal(directory.deregistrations, tt.deregistration)
			if tt.holders == 0 {
				poll(t, func() bool { return holders() == 0 })
			}
			is.Equal(holders(), tt.holders)
			stopEntry()
			is.NoErr(<-entryDone)
		})
	}
}

// poll waits until condition is true, and fails the test after some seconds.
func poll(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition isn't met")
		}
	}
}

// Guards against a heartbeat or drain notice of a backend server that is accepted, and cut off without an answer by a planned stop.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	is := is.New(t)
	var g run.Group
	stop, accepted := make(chan struct{}), make(chan struct{})
	g.Add(func() error { <-stop; return nil }, func(error) {})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	is.NoErr(ln.Close())
	is.NoErr(serveHTTP(context.Background(), &g, addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		time.Sleep(httpStopTimeout / 4)
		w.WriteHeader(http.StatusOK)
	})))
	ended := make(chan error, 1)
	go func() { ended <- g.Run() }()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + addr.String())
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-accepted
	close(stop)
	is.NoErr(<-answered)
	is.NoErr(<-ended)
}
