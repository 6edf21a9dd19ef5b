package soak

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// These tests check that each invariant is reported when it is violated and not otherwise.

var (
	clientAddress = netip.MustParseAddrPort("100.64.0.1:1024")
	deskAddress   = netip.MustParseAddrPort("198.18.0.1:8443")
)

// newTestDeployment returns a deployment without running processes.
func newTestDeployment(t *testing.T, slot int) *deployment {
	t.Helper()
	is := is.New(t)
	d, err := newDeployment(Options{Entries: 1, Servers: 1, Slot: slot, Binary: "none", Dir: t.TempDir()})
	is.NoErr(err)
	t.Cleanup(d.Close)
	return d
}

// takeViolations returns the names of the violated invariants and clears them.
func (d *deployment) takeViolations() string {
	d.check.mu.Lock()
	defer d.check.mu.Unlock()
	var names []string
	for _, v := range d.check.violations {
		names = append(names, v.invariant)
	}
	d.check.violations = nil
	return strings.Join(names, ", ")
}

func TestRequestsAreChecked(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t, 25)
	d.check.recordRun("desk", "u/desk/1")
	d.check.recordRun("desk", "s/desk/2")
	d.check.recordRun("desk", "s/desk/2") // Safe requests may run more than once.
	is.Equal(d.takeViolations(), "")
	d.check.recordRun("desk", "u/desk/1")
	is.Equal(d.takeViolations(), runAtMostOnce)
	d.check.recordRun("intake", "s/desk/3")
	is.Equal(d.takeViolations(), rightService)
	d.Forged("a packet")
	is.Equal(d.takeViolations(), packetsUnchanged)
}

func TestResponsesAreChecked(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t, 26)
	u := &virtualUser{d: d, service: "desk"}
	is.NoErr(u.verifyResponse("s/desk/1", "s/desk/1|desk|s-1"))
	is.Equal(d.takeViolations(), "")
	for _, response := range []string{"s/desk/2|desk|s-1", "s/desk/1|intake|s-1", "s/desk/1", ""} {
		is.True(u.verifyResponse("s/desk/1", response) != nil)
		is.Equal(d.takeViolations(), responsesMatch)
	}
}

func TestRecoveryIsChecked(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		served, failed int
		want           string
	}{{95, 5, ""}, {80, 20, serviceRecovers}, {0, 0, serviceRecovers}} {
		d := newTestDeployment(t, 27)
		second := int((time.Second + recoveryTime).Seconds())
		d.check.stats[second] = &secondStats{sent: c.served + c.failed, served: c.served, failed: c.failed}
		d.result(time.Second)
		is.Equal(d.takeViolations(), c.want)
		d.Close()
	}
}

func TestRoutesAreChecked(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t, 28)
	s := startServer(t, d, nil)
	d.Opened(s, clientAddress, deskAddress)
	is.Equal(d.takeViolations(), "")
	d.Opened(s, clientAddress, netip.MustParseAddrPort("198.18.0.2:8443"))
	is.Equal(d.takeViolations(), rightService)
	longAgo := time.Now().Add(-2 * maxApplyTime)
	d.check.routes[deskAddress].added = longAgo
	d.Entries, d.Agents = nil, nil // Without processes, none counts as disturbed.
	d.Reset(netip.MustParseAddr("127.0.0.1"), clientAddress, deskAddress, false)
	is.Equal(d.takeViolations(), configApplied) // Refused although the route is in force.
	d.check.routes[deskAddress].removed = longAgo
	d.Opened(s, clientAddress, deskAddress)
	is.Equal(d.takeViolations(), configApplied) // Accepted although the route was removed.
	d.Reset(netip.MustParseAddr("127.0.0.1"), clientAddress, deskAddress, false)
	is.Equal(d.takeViolations(), "")
}

func TestDrainsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newTestDeployment(t, 29)
	ack := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := startServer(t, d, ack)
	s.Drain()
	for s.DrainAcked().IsZero() {
		time.Sleep(10 * time.Millisecond)
	}
	d.Opened(s, clientAddress, deskAddress)
	is.Equal(d.takeViolations(), "")
	time.Sleep(maxDrainTime + 100*time.Millisecond)
	d.Opened(s, clientAddress, deskAddress)
	is.Equal(d.takeViolations(), noFlowsWhenDraining)
}

func TestResetsOfOpenFlowsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newTestDeployment(t, 30)
	p := d.Agents[0]
	s := startServer(t, d, nil)
	forwardToClient(t, netip.AddrPortFrom(p.IP, 7007))
	c, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.MustParseAddrPort("127.171.0.9:7003"), Watcher: d,
		EntryFor: func(netip.AddrPort, netip.AddrPort) (netip.AddrPort, bool) {
			return netip.AddrPortFrom(p.IP, 7008), true
		},
	})
	is.NoErr(err)
	defer c.Close()
	f, err := c.Open(context.Background(), deskAddress)
	is.NoErr(err)
	client, service := f.Endpoints()
	for !s.HoldsFlow(client, service) {
		time.Sleep(10 * time.Millisecond)
	}
	d.Reset(d.Entries[0].IP, client, service, true)
	is.Equal(d.takeViolations(), "") // The processes were disturbed less than settleTime ago.
	time.Sleep(settleTime + 100*time.Millisecond)
	d.Reset(d.Entries[0].IP, clientAddress, service, true)
	is.Equal(d.takeViolations(), "") // No server holds this flow.
	d.Reset(d.Entries[0].IP, client, service, true)
	is.Equal(d.takeViolations(), openFlowsKept)

	is.NoErr(d.StartServer(d.Agents[1]))
	other := d.Server(d.Agents[1])
	for range maxStrayPackets {
		d.Received(other, client, service, false)
	}
	is.Equal(d.takeViolations(), "")
	for _, s := range d.check.strays {
		s.since = s.since.Add(-maxStrayTime)
	}
	d.Received(other, client, service, false)
	is.Equal(d.takeViolations(), openFlowsKept) // The flow's packets reach only another server.
}

// Packets of an open flow that reach only another server are reported, and so is nothing while the flow's server gets some.
func TestStrayPacketsAreChecked(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t, 24)
	client, service := clientAddress, deskAddress
	now := time.Now()
	for i := range maxStrayPackets {
		count, since, _ := d.check.recordStray(client, service, now.Add(time.Duration(i)*time.Second), "at s-1")
		is.Equal(count, i+1)
		is.Equal(since, now)
	}
	s := startServer(t, d, nil)
	d.Received(s, client, service, true)
	count, _, _ := d.check.recordStray(client, service, now, "at s-1")
	is.Equal(count, 1)
	d.Received(s, client, service, false)
	is.Equal(len(d.check.strays), 0) // No other server holds the flow.
	is.Equal(d.takeViolations(), "")
}

// After the store's return from an older copy, a process that is missing in the directory, has an older record there or shares its
// lease is reported; one that has ended isn't, nor one whose link to the store has had a fault since before the return (seed 9119).
func TestRecordsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	script := filepath.Join(dir, "script")
	is.NoErr(os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	d, err := newDeployment(Options{Entries: 2, Servers: 1, Slot: 23, Binary: script, Dir: dir})
	is.NoErr(err)
	defer d.Close()
	first, second := d.Entries[0], d.Entries[1]
	older, newer := []byte("older"), []byte("newer")
	d.Store.Put(d.RecordKey(first), older)
	d.Store.Put(d.RecordKey(second), older)
	copied := d.Store.Copy()
	is.NoErr(first.Start())
	is.NoErr(second.Start())
	restoredAt := time.Now()
	check := func() string {
		d.checkRecords(context.Background(), copied, restoredAt, restoredAt)
		return d.takeViolations()
	}
	is.Equal(check(), processesListed+", "+processesListed) // They have no lease.
	d.Store.PutLeased(d.RecordKey(first), newer, 1)
	d.Store.PutLeased(d.RecordKey(second), older, 2)
	is.Equal(check(), processesListed) // The second one's record is as in the copy, which was taken before it started.
	d.Store.PutLeased(d.RecordKey(second), newer, 2)
	is.Equal(check(), "")
	d.Store.PutLeased(d.RecordKey(second), newer, 1)
	is.Equal(check(), processesListed) // They have the same lease.
	d.Proxies[first].SetLink(local.Link{DropUp: true})
	is.Equal(check(), "")
	d.Proxies[first].SetLink(local.Link{})
	is.Equal(check(), processesListed)
	first.Kill()
	is.Equal(check(), "")
}

// startServer starts the backend server of the first agent. If agent isn't nil, it takes the place of the agent's HTTP
// server.
func startServer(t *testing.T, d *deployment, agent http.Handler) *fakes.Server {
	t.Helper()
	is := is.New(t)
	p := d.Agents[0]
	if agent != nil {
		ln, err := fakes.Listen(func() (net.Listener, error) { return net.Listen("tcp4", netip.AddrPortFrom(p.IP, 7006).String()) })
		is.NoErr(err)
		server := &httptest.Server{Listener: ln, Config: &http.Server{Handler: agent, ReadHeaderTimeout: time.Second}}
		server.Start()
		t.Cleanup(server.Close)
	}
	is.NoErr(d.StartServer(p))
	return d.Server(p)
}

// forwardToClient listens in place of the agent and forwards the server's packets to the test's client.
func forwardToClient(t *testing.T, at netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	conn, err := fakes.Listen(func() (*net.UDPConn, error) { return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)) })
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buf[:n], netip.MustParseAddrPort("127.171.0.9:7003")) // Lost packets are retransmitted.
		}
	}()
}

// A process that exits without a preceding SIGTERM or SIGKILL is reported.
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
	d.check.stats[int((time.Second + recoveryTime).Seconds())] = &secondStats{sent: 1, served: 1}
	d.result(time.Second)
	is.Equal(d.takeViolations(), noUnexpectedExit)
}
