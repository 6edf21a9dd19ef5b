package tests

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// deskContract returns a contract of the service desk with the given share.
func deskContract(s *service, share uint32) *contr.Contract {
	return &contr.Contract{
		Name: "desk", Member: "m-desk", Address: s.address, Share: share, Tickets: true,
		Streams: []string{"/stream"}, Drain: contr.Duration(20 * time.Second),
	}
}

// TestStoreSlow checks that contract changes reach all processes, and no entry goes back to an older contract, if each
// request to the store takes a second.
func TestStoreSlow(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	c := newCluster(t, 3)
	desk := c.addService("desk", nil)
	desk.addTarget()
	rec := newRecorder()
	watcher := c.watchSerials("desk")
	c.store.Inject(kvfake.Faults{Delay: time.Second})
	const instances = 4
	for i := range 2 {
		serial := c.serialAt(c.entries[i], "desk")
		c.updateDeskContract(c.entries[i], serial, fmt.Sprint("u", i), deskContract(desk, uint32(5+i)), instances)
	}
	watcher.finish(rec)
	rec.report(t)
}

// TestEntryKilledDuringContractWrite checks that a change is applied exactly once if the entry that writes it is killed and
// the operator sends it again to another entry.
func TestEntryKilledDuringContractWrite(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	c := newCluster(t, 2)
	desk := c.addService("desk", nil)
	serial := c.serialAt(c.entries[0], "desk")
	for i := range 4 { // Kill the entry at different points of the write.
		c.store.Inject(kvfake.Faults{Delay: 200 * time.Millisecond})
		victim, other := c.entries[1], c.entries[0]
		id := fmt.Sprint("u", i)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.callAPI(victim, http.MethodPut, "/v1/contracts/desk", serial, changeRequest(id, deskContract(desk, uint32(5+i))))
		}()
		time.Sleep(time.Duration(100+100*i) * time.Millisecond)
		victim.kill()
		<-done
		c.store.Inject(kvHealthy)
		await(t, applyTimeout, "the other entry has read the journal", func() bool {
			code, _ := c.callAPI(other, http.MethodGet, "/v1/contracts/desk/history", 0, nil)
			return code == http.StatusOK
		})
		code, respBody := c.callAPI(other, http.MethodPut, "/v1/contracts/desk", serial, changeRequest(id, deskContract(desk, uint32(5+i))))
		is.Equal(code, http.StatusOK) // Applied now, or recognized as applied before.
		serial = appliedSerial(t, respBody)
		c.removeEntry(victim)
		c.addEntry()
	}
	_, respBody := c.callAPI(c.entries[0], http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(historyIDs(t, respBody), []string{"create desk", "u0", "u1", "u2", "u3"}) // Each change exactly once.
}

// TestEntryFrozenDuringContractWrite checks that a change is rejected if its entry was stopped after reading the store and
// another change was written in the meantime.
func TestEntryFrozenDuringContractWrite(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	c := newCluster(t, 2)
	desk := c.addService("desk", nil)
	rec := newRecorder()
	serial := c.serialAt(c.entries[0], "desk")
	c.store.Inject(kvfake.Faults{Delay: 300 * time.Millisecond})
	frozen := c.entries[1]
	outcome := make(chan int, 1)
	go func() {
		code, _ := c.callAPI(frozen, http.MethodPut, "/v1/contracts/desk", serial, changeRequest("frozen", deskContract(desk, 5)))
		outcome <- code
	}()
	time.Sleep(150 * time.Millisecond) // The entry is reading the store.
	frozen.signal(syscall.SIGSTOP)
	c.store.Inject(kvHealthy)
	code, respBody := c.callAPI(c.entries[0], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("other", deskContract(desk, 7)))
	is.Equal(code, http.StatusOK)
	applied := appliedSerial(t, respBody)
	watcher := c.watchSerials("desk")
	frozen.signal(syscall.SIGCONT)
	is.Equal(<-outcome, http.StatusPreconditionFailed) // Its change is based on an old version.
	await(t, applyTimeout, "the other change is in force", func() bool { return c.serialAt(frozen, "desk") == applied })
	_, respBody = c.callAPI(frozen, http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(historyIDs(t, respBody), []string{"create desk", "other"})
	watcher.finish(rec)
	rec.report(t)
}

// TestDrainDuringReplacementOfEntries checks that requests and streams complete if an agent drains while all entries are
// replaced.
func TestDrainDuringReplacementOfEntries(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 2)
	leaving := desk.addTarget()
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 9, 4, 80)
	drainStart := time.Now()
	leaving.signal(syscall.SIGTERM)
	for _, old := range slices.Clone(c.entries) {
		c.addEntry()
		c.removeEntry(old)
		old.signal(syscall.SIGTERM)
		old.awaitExit(readyTimeout)
	}
	leaving.awaitExit(readyTimeout)
	is.Equal(len(tr.finish()), 0)
	rec.checkDrain(leaving.server, drainStart)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestAgentKilledTwice checks that callers are served after an agent was killed and restarted at its address, twice.
func TestAgentKilledTwice(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	victim := desk.addTarget()
	desk.addTarget()
	existingCaller := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, existingCaller, testRequest{http.MethodPost, "/orders?ms=1", "before", "x"}))
	for i := range 2 {
		victim.kill()
		victim.run() // At the same address, with a new incarnation.
		victim.awaitReady()
		desk.awaitAgentState(victim, "up", applyTimeout)
		// The first attempt used a flow of the killed process: it is unknown whether the order ran.
		err := rec.send(ctx, desk, existingCaller, testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprint("held-", i), "x"})
		is.True(err == nil || errors.Is(err, caller.ErrUnknown))
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprint("new-", i), "x"}))
	}
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestPeerFrozenDuringHandOver checks that the caller soon learns that an order may have run if the peer is stopped, and that
// hand-over works again once the peer is resumed. All threads of the peer must have stopped before the order is sent:
// otherwise one of them may still accept it.
func TestPeerFrozenDuringHandOver(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	h := startHandOver(t, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"}) // The caller's tickets were issued by home.
	ctx, desk, rec, client, peer := h.ctx, h.desk, h.rec, h.client, h.peer
	h.awaitHandOver(t, "warm")
	peer.freeze()
	start := time.Now()
	code, run := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "stuck", "x"})
	is.Equal(code, http.StatusBadGateway) // The peer can't confirm that it won't run the order.
	is.Equal(run, contr.RunUnknown)
	is.True(time.Since(start) < 3*time.Second) // Well before the deadline of 5 s.
	peer.signal(syscall.SIGCONT)
	desk.awaitAgentState(peer, "up", applyTimeout)
	attempts := 0
	await(t, applyTimeout, "requests are handed over again", func() bool {
		attempts++
		code, _ := rec.sendOnce(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", fmt.Sprint("after-", attempts), "x"})
		return code == http.StatusOK
	})
	rec.checkRuns(backendServers(desk)...) // The order "stuck" ran at most once.
	rec.report(t)
}
