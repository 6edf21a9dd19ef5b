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

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

var (
	kvHealthy = kvfake.Faults{}
	kvDown    = kvfake.Faults{Hang: true}

	drainingServer = sample.Faults{Draining: true}
)

// scenarioLimit bounds a scenario.
const scenarioLimit = 120 * time.Second

// startDesk starts a cluster with the service desk, which has no targets yet.
func startDesk(t *testing.T, entries int) (context.Context, *cluster, *service, *recorder) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), scenarioLimit)
	t.Cleanup(cancel)
	c := newCluster(t, entries)
	return ctx, c, c.addService("desk", nil), newRecorder()
}

// handOver is a service whose home target hands all requests over to its peer.
type handOver struct {
	ctx        context.Context
	desk       *service
	l          *recorder
	home, peer *target
	// cl is a caller whose flow, opened by a first request, is home's.
	cl *caller.Client
}

// startHandOver starts a service with two targets, the first of which drains after a caller's first request.
func startHandOver(t *testing.T, first testRequest) *handOver {
	t.Helper()
	ctx, _, desk, l := startDesk(t, 2)
	h := &handOver{ctx: ctx, desk: desk, l: l, home: desk.addTarget(), cl: desk.caller(1)}
	is.New(t).NoErr(l.send(ctx, desk, h.cl, first))
	h.peer = desk.addTarget()
	desk.awaitAgentState(h.peer, "up", applyTimeout)
	h.home.server.Inject(drainingServer)
	desk.awaitAgentState(h.home, "draining", maxDrainNotice)
	return h
}

// warm waits until a request of an ID is handed over.
func (h *handOver) warm(t *testing.T, id string) {
	t.Helper()
	await(t, applyTimeout, "home hands requests over", func() bool {
		code, _ := h.l.sendOnce(h.ctx, h.desk, h.cl, testRequest{http.MethodGet, "/work/a?ms=1", id, ""})
		return code == http.StatusOK
	})
}

// changeEverywhere changes the contract of desk at an entry, and waits until the change is in force at all instances.
func (c *cluster) changeEverywhere(e *proc, serial uint64, id string, contract *contr.Contract, instances int) {
	c.t.Helper()
	code, answer := c.callAPI(e, http.MethodPut, "/v1/contracts/desk", serial, changeRequest(id, contract))
	is.New(c.t).Equal(code, http.StatusOK)
	applied := appliedSerial(c.t, answer)
	await(c.t, applyTimeout, "the change is in force everywhere", func() bool { return c.inForce("desk", applied, instances) })
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
