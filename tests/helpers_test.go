package tests

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
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
	kvHealthy      = kvfake.Faults{}
	kvUnresponsive = kvfake.Faults{Hang: true}

	drainingServer = sample.Faults{Draining: true}
)

// scenarioTimeout limits the duration of a scenario.
const scenarioTimeout = 120 * time.Second

// startDesk starts a cluster with the service desk, which has no targets yet.
func startDesk(t *testing.T, entries int) (context.Context, *cluster, *service, *recorder) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), scenarioTimeout)
	t.Cleanup(cancel)
	c := newCluster(t, entries)
	return ctx, c, c.addService("desk", nil), newRecorder()
}

// handOverScenario is a service with two targets: home is draining and hands over all requests to peer.
type handOverScenario struct {
	ctx        context.Context
	desk       *service
	rec        *recorder
	home, peer *target
	// client has a flow to home, opened by the first request.
	client *caller.Client
}

// startHandOver starts a service with two targets, the first of which drains after a caller's first request.
func startHandOver(t *testing.T, first testRequest) *handOverScenario {
	t.Helper()
	ctx, _, desk, rec := startDesk(t, 2)
	h := &handOverScenario{ctx: ctx, desk: desk, rec: rec, home: desk.addTarget(), client: desk.caller(1)}
	is.New(t).NoErr(rec.send(ctx, desk, h.client, first))
	h.peer = desk.addTarget()
	desk.awaitAgentState(h.peer, "up", applyTimeout)
	h.home.server.SetFaults(drainingServer)
	desk.awaitAgentState(h.home, "draining", maxDrainNotice)
	return h
}

// awaitHandOver sends requests, each with an ID of its own that begins with id, until home hands one over successfully.
func (h *handOverScenario) awaitHandOver(t *testing.T, id string) {
	t.Helper()
	attempts := 0
	await(t, applyTimeout, "home hands requests over", func() bool {
		attempts++
		req := testRequest{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("%s-%d", id, attempts), ""}
		code, _ := h.rec.sendOnce(h.ctx, h.desk, h.client, req)
		return code == http.StatusOK
	})
}

// updateDeskContract updates the contract of "desk" at an entry, and waits until the update is in force at all instances.
func (c *cluster) updateDeskContract(entry *proc, serial uint64, id string, contract *contr.Contract, instances int) {
	c.t.Helper()
	code, respBody := c.callAPI(entry, http.MethodPut, "/v1/contracts/desk", serial, changeRequest(id, contract))
	is.New(c.t).Equal(code, http.StatusOK)
	applied := appliedSerial(c.t, respBody)
	await(c.t, applyTimeout, "the change is in force everywhere", func() bool { return c.inForce("desk", applied, instances) })
}

// servicePort returns a UDP port that entries can bind on all local addresses. The system assigns it to no other socket, and it
// depends on the process ID, so that concurrent test processes seldom use the same one.
func servicePort() uint16 { return uint16(20_000 + os.Getpid()%10_000) }

// fetchFields sends a request and returns the whitespace-separated fields of the response body.
func fetchFields(t testing.TB, c *caller.Client, req *http.Request) []string {
	t.Helper()
	resp, err := c.Do(req.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(respBody))
}

// nextAddress returns the address with the next higher port.
func nextAddress(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr(), address.Port()+1)
}

// appliedSerial returns the serial of the change that an API response reports as applied.
func appliedSerial(t testing.TB, respBody []byte) uint64 {
	t.Helper()
	var result struct{ Applied struct{ Position uint64 } }
	if err := json.Unmarshal(respBody, &result); err != nil || result.Applied.Position == 0 {
		t.Fatalf("response %s: %v", respBody, err)
	}
	return result.Applied.Position
}

// historyIDs returns the change IDs of an API response with a contract's history, oldest first.
func historyIDs(t testing.TB, respBody []byte) []string {
	t.Helper()
	var entries []struct{ Change struct{ ID string } }
	if err := json.Unmarshal(respBody, &entries); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, e := range entries {
		ids = append(ids, e.Change.ID)
	}
	return ids
}
