package tests

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEntryBindsServiceAddresses runs an entry as it is deployed without an address translation.
func TestEntryBindsServiceAddresses(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	c := newCluster(t, 0)
	c.bind = "0.0.0.0"
	c.workers = 3
	c.addEntry()
	port := freePort(t)
	desk := c.addServiceAt("desk", netip.AddrPortFrom(c.ip(), port), nil)
	archive := c.addServiceAt("archive", netip.AddrPortFrom(c.ip(), port), nil) // Another address, the same port.
	desk.addTarget()
	archive.addTarget()
	rec := newRecorder()
	for _, s := range []*service{desk, archive} {
		is.NoErr(rec.send(t.Context(), s, s.caller(8), testRequest{http.MethodPost, "/orders?ms=1", "o-" + s.name, "x"}))
	}
	rec.checkRuns(backendServers(desk, archive)...)
	rec.report(t)
}

// TestBackendServerDiesDuringAnswer checks that a caller doesn't take a part of an answer for the whole.
func TestBackendServerDiesDuringAnswer(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, _ := startDesk(t, 2)
	only := desk.addTarget()
	client := desk.caller(1)
	resp, err := client.Do(ctx, desk.request(ctx, http.MethodGet, "/stream?count=1000&interval=10ms", "s", ""))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, 20)) // The answer has begun.
	is.NoErr(err)
	only.server.Close()
	start := time.Now()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // Cut, not ended.
	is.True(time.Since(start) < 5*time.Second)
}

// TestHandOverIsCutWhenThePeerDies is the same for an answer that comes by way of a peer.
func TestHandOverIsCutWhenThePeerDies(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	home := desk.addTarget()
	client := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodGet, "/work/a?ms=1", "first", ""})) // Its flow is home's.
	peer := desk.addTarget()
	home.server.Inject(drainingServer)
	desk.awaitAgentState(home, "draining", maxDrainNotice)
	var resp *http.Response
	await(t, applyTimeout, "the stream comes by way of the peer", func() bool {
		var err error
		resp, err = client.DoOnce(ctx, desk.request(ctx, http.MethodGet, "/stream?count=1000&interval=10ms", "s", ""))
		return err == nil && resp.StatusCode == http.StatusOK
	})
	defer func() { _ = resp.Body.Close() }()
	_, err := io.ReadFull(resp.Body, make([]byte, 20))
	is.NoErr(err)
	peer.kill()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // Cut, not ended.
}
