package tests

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEntryBindsServiceAddresses runs an entry that listens on the services' ports on all addresses, as in a deployment
// without address translation. Two services use the same port at different addresses.
func TestEntryBindsServiceAddresses(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	c := newCluster(t, 0)
	c.bind = "0.0.0.0"
	c.workers = 3
	c.addEntry()
	port := servicePort()
	desk := c.addServiceAt("desk", netip.AddrPortFrom(c.ip(), port), nil)
	archive := c.addServiceAt("archive", netip.AddrPortFrom(c.ip(), port), nil) // A different address, the same port.
	desk.addTarget()
	archive.addTarget()
	rec := newRecorder()
	for _, s := range []*service{desk, archive} {
		is.NoErr(rec.send(t.Context(), s, s.caller(8), testRequest{http.MethodPost, "/orders?ms=1", "o-" + s.name, "x"}))
	}
	rec.checkRuns(backendServers(desk, archive)...)
	rec.report(t)
}

// TestBackendServerFailsDuringResponse checks that a caller gets an error, and not a truncated response that looks complete,
// if the backend server fails while it sends the body.
func TestBackendServerFailsDuringResponse(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, _ := startDesk(t, 2)
	only := desk.addTarget()
	client := desk.caller(1)
	resp, err := client.Do(ctx, desk.request(ctx, http.MethodGet, "/stream?count=1000&interval=10ms", "s", ""))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, 20)) // Part of the body has arrived.
	is.NoErr(err)
	only.server.Close()
	start := time.Now()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // The stream must not look complete.
	is.True(time.Since(start) < 5*time.Second)
}

// TestPeerKilledDuringResponse checks that a caller gets an error, and not a truncated response that looks complete, if
// the agent of the flow hands the request over to a peer and the peer is killed.
func TestPeerKilledDuringResponse(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	home := desk.addTarget()
	client := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodGet, "/work/a?ms=1", "first", ""})) // The flow is open at home.
	peer := desk.addTarget()
	home.server.SetFaults(drainingServer)
	desk.awaitAgentState(home, "draining", maxDrainNotice)
	var resp *http.Response
	await(t, applyTimeout, "the peer serves the stream", func() bool {
		var err error
		resp, err = client.DoOnce(ctx, desk.request(ctx, http.MethodGet, "/stream?count=1000&interval=10ms", "s", ""))
		return err == nil && resp.StatusCode == http.StatusOK
	})
	defer func() { _ = resp.Body.Close() }()
	_, err := io.ReadFull(resp.Body, make([]byte, 20))
	is.NoErr(err)
	peer.kill()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // The stream must not look complete.
}
