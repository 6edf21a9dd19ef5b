package tests

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
)

var (
	kvHealthy = kvfake.Faults{}
	kvDown    = kvfake.Faults{Down: true}

	drainingServer = sample.Faults{Draining: true}
)

// scenarioLimit bounds a scenario.
const scenarioLimit = 120 * time.Second

// startDesk starts a cluster with the service desk, which has no targets yet.
func startDesk(t *testing.T, entries int) (context.Context, *cluster, *service, *ledger) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), scenarioLimit)
	t.Cleanup(cancel)
	c := newCluster(t, entries)
	return ctx, c, c.addService("desk", nil), newLedger()
}

// freePort returns a UDP port that was free on all addresses.
func freePort(t *testing.T) uint16 {
	t.Helper()
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

// readLines sends a request and returns the lines of its answer.
func readLines(t testing.TB, c *caller.Client, req *http.Request) []string {
	t.Helper()
	resp, err := c.Do(req.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(body))
}

func nextAddress(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr(), a.Port()+1) }

// appliedSerial returns the serial of the change that an answer of the API tells.
func appliedSerial(t testing.TB, answer []byte) uint64 {
	t.Helper()
	var a struct{ Applied struct{ Position uint64 } }
	if err := json.Unmarshal(answer, &a); err != nil || a.Applied.Position == 0 {
		t.Fatalf("answer %s: %v", answer, err)
	}
	return a.Applied.Position
}

// historyIDs returns the change identifiers of a history, the oldest first.
func historyIDs(t testing.TB, answer []byte) []string {
	t.Helper()
	var entries []struct{ Change struct{ ID string } }
	if err := json.Unmarshal(answer, &entries); err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Change.ID)
	}
	return out
}
