package tests

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/fabric"
)

// TestLossyNetwork checks that requests and streams complete if datagrams are lost, duplicated, delayed and reordered.
func TestLossyNetwork(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	c.fabric.SetFaults(fabric.Faults{Drop: 0.03, Duplicate: 0.05, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
	tr := startTraffic(ctx, rec, desk, 8, 4, 60)
	time.Sleep(6 * time.Second)
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestEntryCutOffFromCallers checks that requests and streams complete if the datagrams of one entry are lost for a while.
func TestEntryCutOffFromCallers(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 8, 4, 80)
	for range 2 { // The same fault twice.
		time.Sleep(time.Second)
		c.fabric.SetIsolated(c.entries[1].ip, true)
		time.Sleep(2 * time.Second)
		c.fabric.SetIsolated(c.entries[1].ip, false)
	}
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestAgentFrozenAndResumed checks that an agent that stops responding gets no new flows, and serves its existing flows
// once it is resumed.
func TestAgentFrozenAndResumed(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	frozen := desk.addTarget()
	desk.addTarget()
	existingCaller := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, existingCaller, testRequest{http.MethodPost, "/orders?ms=1", "before", "x"}))
	frozen.signal(syscall.SIGSTOP)
	desk.awaitAgentState(frozen, "lost", applyTimeout)
	for i := range 10 { // New callers are served by the other agent.
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprintf("during-%d", i), "x"}))
	}
	frozen.signal(syscall.SIGCONT)
	desk.awaitAgentState(frozen, "up", applyTimeout) // It refutes its state "lost".
	is.NoErr(rec.send(ctx, desk, existingCaller, testRequest{http.MethodPost, "/orders?ms=1", "after", "x"}))
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestHandOverIsAwaitedWithNewIDs guards against tests that fail because a request whose first try was truthfully reported as not
// run ran in a later try with the same ID.
func TestHandOverIsAwaitedWithNewIDs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	h := &handOverScenario{ctx: ctx, desk: desk, rec: rec, home: desk.addTarget(), client: desk.caller(1)}
	is.NoErr(rec.send(ctx, desk, h.client, testRequest{http.MethodGet, "/work/a?ms=1", "first", ""}))
	h.home.server.SetFaults(drainingServer)
	desk.awaitAgentState(h.home, "draining", maxDrainNotice)
	h.peer = desk.startTargetAt(desk.cluster.ip()) // Until it is ready, home refuses requests.
	h.awaitHandOver(t, "warm")
	is.True(len(rec.notRun) > 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestPeerKilledDuringHandOver checks that the caller learns at once that an order may have run if the peer that runs it is
// killed.
func TestPeerKilledDuringHandOver(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	h := startHandOver(t, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}) // The caller's tickets were issued by home.
	ctx, desk, rec, client, home, peer := h.ctx, h.desk, h.rec, h.client, h.home, h.peer
	h.awaitHandOver(t, "warm")
	outcome := make(chan string, 1)
	go func() {
		code, run := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=2000", "cut", "x"})
		outcome <- fmt.Sprintf("%d %s", code, run)
	}()
	await(t, readyTimeout, "the order runs at the peer", func() bool {
		select {
		case o := <-outcome:
			t.Fatalf("the order ended early: %s", o)
		default:
		}
		return peer.server.Runs()["cut"] == 1
	})
	peer.kill()
	is.Equal(<-outcome, "502 unknown") // At once, not at the deadline.
	is.Equal(home.server.Runs()["cut"], 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestIdempotentRequestIsUnknownIfPeerIsKilled checks that an idempotent request is reported as unknown, and not as not
// run, if the peer that runs it is killed and no other server is left for a retry.
func TestIdempotentRequestIsUnknownIfPeerIsKilled(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	h := startHandOver(t, testRequest{http.MethodGet, "/work/a?ms=1", "first", ""})
	ctx, desk, rec, client, peer := h.ctx, h.desk, h.rec, h.client, h.peer
	for i := range 30 { // Fill the retry budget, which allows one retry for ten requests.
		h.awaitHandOver(t, fmt.Sprint("warm-", i))
	}
	outcome := make(chan string, 1)
	go func() {
		code, run := rec.sendOnce(ctx, desk, client, testRequest{http.MethodGet, "/work/a?ms=2000", "cut", ""})
		outcome <- fmt.Sprintf("%d %s", code, run)
	}()
	await(t, readyTimeout, "the request runs at the peer", func() bool { return peer.server.Runs()["cut"] == 1 })
	peer.kill()
	is.Equal(<-outcome, "503 unknown")
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestOrderIsRefusedWithoutBackendServer checks that an order is refused early as not run if the service's only backend
// server is down.
func TestOrderIsRefusedWithoutBackendServer(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	only := desk.addTarget()
	client := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}))
	only.server.Close() // The agent still runs.
	// Until the agent notices that its pooled connection is closed, it sends orders on it, whose outcome is then unknown.
	await(t, applyTimeout, "the agent has noticed that the backend server is down", func() bool {
		code, _ := rec.sendOnce(ctx, desk, client, testRequest{http.MethodGet, "/work/a?ms=1", "notice", ""})
		return code == http.StatusServiceUnavailable
	})
	start := time.Now()
	code, run := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "refused", "x"})
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(run, "not-run")
	is.True(time.Since(start) < 2*time.Second) // Well before the deadline of 5 s.
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestRequestsBeyondQueueAreRefused checks that requests beyond the slots and the queue of a service are refused, and the
// others succeed.
func TestRequestsBeyondQueueAreRefused(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	desk.addTarget()
	client := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}))
	const burst = 60 // The server has 4 slots, and the queue 16 places.
	codes := make(chan int, burst)
	for i := range burst {
		go func() {
			code, _ := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=200", fmt.Sprintf("burst-%d", i), "x"})
			codes <- code
		}()
	}
	counts := map[int]int{}
	for range burst {
		counts[<-codes]++
	}
	is.Equal(counts[http.StatusOK]+counts[http.StatusServiceUnavailable], burst)
	is.True(counts[http.StatusOK] >= 16) // At least as many as the queue holds.
	is.True(counts[http.StatusServiceUnavailable] > 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestTicketsStayValidAfterPlannedStop checks that an order succeeds if its ticket was issued by an agent that has
// stopped since.
func TestTicketsStayValidAfterPlannedStop(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	leaving := desk.addTarget()
	client := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"})) // The caller gets tickets of the agent that stops.
	desk.addTarget()
	leaving.signal(syscall.SIGTERM)
	leaving.awaitExit(readyTimeout)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "second", "x"}))
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// runCLI runs a command of the program and returns its output and exit code.
func (c *cluster) runCLI(args ...string) (string, int) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(cmd.Environ(), "BERGAMOTRUN_TOKEN="+testToken, "USER=test")
	out, _ := cmd.CombinedOutput() // An error shows in the exit code.
	return string(out), cmd.ProcessState.ExitCode()
}

// TestKeyRotationBreaksNoFlow checks that streams and orders complete while an operator rotates the packet key.
func TestKeyRotationBreaksNoFlow(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 2)
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 6, 3, 60)
	admin := fmt.Sprintf("http://%s:7002", c.entries[0].ip)
	out, code := c.runCLI("key", "add", "-admin", admin, "-why", "rotation", "2")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "add key 2: serial "))
	time.Sleep(2 * time.Second) // As an operator, wait until all processes have the key.
	_, code = c.runCLI("key", "use", "-admin", admin, "2")
	is.Equal(code, 0)
	time.Sleep(2 * time.Second)
	for i := range 5 { // New flows use the new key.
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprintf("new-%d", i), "x"}))
	}
	_, code = c.runCLI("key", "drop", "-admin", admin, "2")
	is.Equal(code, 1) // The current key can't be dropped.
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}
