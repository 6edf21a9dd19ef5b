package soak

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// Each test shows that a checker finds the fault that it is for, and nothing where there is none.

var (
	client = netip.MustParseAddrPort("100.64.0.1:1024")
	desk   = netip.MustParseAddrPort("198.18.0.1:8443")
)

// newChecked returns a deployment whose processes aren't started.
func newChecked(t *testing.T, slot int) *deployment {
	t.Helper()
	is := is.New(t)
	d, err := newDeployment(Options{Entries: 1, Servers: 1, Slot: slot, Binary: "none", Dir: t.TempDir()})
	is.NoErr(err)
	t.Cleanup(d.Close)
	return d
}

// found returns the promises that were broken, and forgets them.
func (d *deployment) found() string {
	d.check.mu.Lock()
	defer d.check.mu.Unlock()
	var names []string
	for _, f := range d.check.findings {
		names = append(names, f.promise)
	}
	d.check.findings = nil
	return strings.Join(names, ", ")
}

func TestRequestsAreChecked(t *testing.T) {
	is := is.New(t)
	d := newChecked(t, 25)
	d.check.ran("desk", "u/desk/1")
	d.check.ran("desk", "s/desk/2")
	d.check.ran("desk", "s/desk/2") // Safe ones may run again.
	is.Equal(d.found(), "")
	d.check.ran("desk", "u/desk/1")
	is.Equal(d.found(), once)
	d.check.ran("intake", "s/desk/3")
	is.Equal(d.found(), routed)
	d.Forged("a packet")
	is.Equal(d.found(), forged)
}

func TestAnswersAreChecked(t *testing.T) {
	is := is.New(t)
	d := newChecked(t, 26)
	u := &user{d: d, service: "desk"}
	is.NoErr(u.verify("s/desk/1", "s/desk/1|desk|s-1"))
	is.Equal(d.found(), "")
	for _, wrong := range []string{"s/desk/2|desk|s-1", "s/desk/1|intake|s-1", "s/desk/1", ""} {
		is.True(u.verify("s/desk/1", wrong) != nil)
		is.Equal(d.found(), mixed)
	}
}

func TestRecoveryIsChecked(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		served, failed int
		want           string
	}{{95, 5, ""}, {80, 20, recovers}, {0, 0, recovers}} {
		d := newChecked(t, 27)
		second := int((time.Second + recoverTime).Seconds())
		d.check.points[second] = &point{sent: c.served + c.failed, served: c.served, failed: c.failed}
		d.result(time.Second)
		is.Equal(d.found(), c.want)
		d.Close()
	}
}

func TestRoutesAreChecked(t *testing.T) {
	is := is.New(t)
	d := newChecked(t, 28)
	s := startServer(t, d, nil)
	d.Opened(s, client, desk)
	is.Equal(d.found(), "")
	d.Opened(s, client, netip.MustParseAddrPort("198.18.0.2:8443"))
	is.Equal(d.found(), routed)
	ago := time.Now().Add(-2 * applyBound)
	d.check.routes[desk].added = ago
	d.Entries, d.Agents = nil, nil // None is disturbed.
	d.Reset(netip.MustParseAddr("127.0.0.1"), client, desk, false)
	is.Equal(d.found(), applied) // Refused though the route is in force.
	d.check.routes[desk].removed = ago
	d.Opened(s, client, desk)
	is.Equal(d.found(), applied) // Taken though the route is gone.
	d.Reset(netip.MustParseAddr("127.0.0.1"), client, desk, false)
	is.Equal(d.found(), "")
}

func TestDrainsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newChecked(t, 29)
	ack := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := startServer(t, d, ack)
	s.Drain()
	for s.DrainAcked().IsZero() {
		time.Sleep(10 * time.Millisecond)
	}
	d.Opened(s, client, desk)
	is.Equal(d.found(), "")
	time.Sleep(drainBound + 100*time.Millisecond)
	d.Opened(s, client, desk)
	is.Equal(d.found(), drained)
}

func TestResetsOfOpenFlowsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newChecked(t, 30)
	p := d.Agents[0]
	s := startServer(t, d, nil)
	forward(t, netip.AddrPortFrom(p.IP, 7007))
	c, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.MustParseAddrPort("127.171.0.9:7003"), Watcher: d,
		EntryFor: func(netip.AddrPort, netip.AddrPort) (netip.AddrPort, bool) {
			return netip.AddrPortFrom(p.IP, 7008), true
		},
	})
	is.NoErr(err)
	defer c.Close()
	f, err := c.Open(context.Background(), desk)
	is.NoErr(err)
	from, service := f.Endpoints()
	for !s.HoldsFlow(from, service) {
		time.Sleep(10 * time.Millisecond)
	}
	d.Reset(d.Entries[0].IP, from, service, true)
	is.Equal(d.found(), "") // Its processes were disturbed a moment ago.
	time.Sleep(stable + 100*time.Millisecond)
	d.Reset(d.Entries[0].IP, client, service, true)
	is.Equal(d.found(), "") // Of a flow that no server holds.
	d.Reset(d.Entries[0].IP, from, service, true)
	is.Equal(d.found(), kept)
}

// startServer starts the server beside the first agent, with a handler in place of the agent.
func startServer(t *testing.T, d *deployment, agent http.Handler) *fakes.Server {
	t.Helper()
	is := is.New(t)
	p := d.Agents[0]
	if agent != nil {
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(p.IP, 7006).String())
		is.NoErr(err)
		server := &httptest.Server{Listener: ln, Config: &http.Server{Handler: agent, ReadHeaderTimeout: time.Second}}
		server.Start()
		t.Cleanup(server.Close)
	}
	is.NoErr(d.StartServer(p))
	return d.Server(p)
}

// forward gives the packets that a server sends to the client that they are for, in place of the agent.
func forward(t *testing.T, at netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buf[:n], netip.MustParseAddrPort("127.171.0.9:7003")) // A lost packet comes again.
		}
	}()
}

// A process that ends by itself is found.
func TestExitsAreChecked(t *testing.T) {
	is := is.New(t)
	d, err := newDeployment(Options{Entries: 1, Servers: 1, Slot: 31, Binary: "/bin/false", Dir: t.TempDir()})
	is.NoErr(err)
	defer d.Close()
	p := d.Entries[0]
	is.NoErr(p.Start())
	for p.UnexpectedExits() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	d.check.points[int((time.Second + recoverTime).Seconds())] = &point{sent: 1, served: 1}
	d.result(time.Second)
	is.Equal(d.found(), exits)
}
