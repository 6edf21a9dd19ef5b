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

func TestEntryCutOffFromCallers(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 8, 4, 80)
	for range 2 { // Twice the same fault.
		time.Sleep(time.Second)
		c.fabric.Cut(c.entries[1].ip, true)
		time.Sleep(2 * time.Second)
		c.fabric.Cut(c.entries[1].ip, false)
	}
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestAgentFrozenAndResumed(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	frozen := desk.addTarget()
	desk.addTarget()
	existing := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, existing, testRequest{http.MethodPost, "/orders?ms=1", "before", "x"}))
	frozen.signal(syscall.SIGSTOP)
	desk.awaitAgentState(frozen, "lost", applyTimeout)
	for i := range 10 { // New callers are served by the other one.
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprintf("during-%d", i), "x"}))
	}
	frozen.signal(syscall.SIGCONT)
	desk.awaitAgentState(frozen, "up", applyTimeout) // It contradicts.
	is.NoErr(rec.send(ctx, desk, existing, testRequest{http.MethodPost, "/orders?ms=1", "after", "x"}))
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestPeerKilledDuringHandOver(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	h := startHandOver(t, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}) // The flow's tickets are home's too.
	ctx, desk, rec, client, home, peer := h.ctx, h.desk, h.l, h.cl, h.home, h.peer
	h.warm(t, "warm")
	outcome := make(chan string, 1)
	go func() {
		code, run := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=2000", "cut", "x"})
		outcome <- fmt.Sprintf("%d %s", code, run)
	}()
	await(t, readyTimeout, "the order runs at the peer", func() bool {
		select {
		case o := <-outcome:
			t.Fatalf("the order was answered early: %s", o)
		default:
		}
		return peer.server.Runs()["cut"] == 1
	})
	peer.kill()
	is.Equal(<-outcome, "502 unknown") // Told at once, not at the deadline.
	is.Equal(home.server.Runs()["cut"], 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestCutReadIsNotCalledNotRun is about a request that may be repeated, but can't be for want of servers.
func TestCutReadIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	h := startHandOver(t, testRequest{http.MethodGet, "/work/a?ms=1", "first", ""})
	ctx, desk, rec, client, peer := h.ctx, h.desk, h.l, h.cl, h.peer
	for i := range 30 { // The system may repeat one request in ten.
		h.warm(t, fmt.Sprint("warm-", i))
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

func TestNoServerAtAll(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	only := desk.addTarget()
	client := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}))
	only.server.Close() // The backend server is gone, its agent isn't.
	// On a pooled connection whose end the agent has not noticed, an order is "unknown": bytes have gone.
	await(t, applyTimeout, "the agent has noticed", func() bool {
		code, _ := rec.sendOnce(ctx, desk, client, testRequest{http.MethodGet, "/work/a?ms=1", "notice", ""})
		return code == http.StatusServiceUnavailable
	})
	start := time.Now()
	code, run := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "refused", "x"})
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(run, "not-run")
	is.True(time.Since(start) < 2*time.Second) // Not held to its deadline of 5 s.
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	desk.addTarget()
	client := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}))
	const burst = 60 // Four slots and a queue of sixteen.
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
	is.True(counts[http.StatusOK] >= 16) // What fits is answered.
	is.True(counts[http.StatusServiceUnavailable] > 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestTicketsOutliveAPlannedStop(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	leaving := desk.addTarget()
	client := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"})) // The caller holds tickets of the leaving agent.
	desk.addTarget()
	leaving.signal(syscall.SIGTERM)
	leaving.awaitExit(readyTimeout)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "second", "x"}))
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// runCLI runs the program and returns what it printed and its exit code.
func (c *cluster) runCLI(args ...string) (string, int) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(cmd.Environ(), "BERGAMOTRUN_TOKEN="+testToken, "USER=test")
	out, _ := cmd.CombinedOutput() // The exit code tells.
	return string(out), cmd.ProcessState.ExitCode()
}

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
	time.Sleep(2 * time.Second) // The operator waits until the key is in force.
	_, code = c.runCLI("key", "use", "-admin", admin, "2")
	is.Equal(code, 0)
	time.Sleep(2 * time.Second)
	for i := range 5 { // New flows use the new key.
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprintf("new-%d", i), "x"}))
	}
	_, code = c.runCLI("key", "drop", "-admin", admin, "2")
	is.Equal(code, 1) // The current one.
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}
