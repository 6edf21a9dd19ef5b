package tests

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// traffic keeps streams open and sends orders until it is told to end.
type traffic struct {
	rec     *recorder
	service *service
	ctx     context.Context
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	failed  []string
	sent    int
}

// lineInterval is the time between two lines of a stream.
const lineInterval = 100 * time.Millisecond

// startTraffic opens streams of count lines and sends orders one after the other by several callers.
func startTraffic(ctx context.Context, rec *recorder, s *service, streams, callers, lines int) *traffic {
	tr := &traffic{rec: rec, service: s, ctx: ctx, stop: make(chan struct{})}
	for i := range streams {
		c := s.caller(0)
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			rec.requestStream(ctx, s, c, fmt.Sprintf("%s-stream-%d", s.name, i), lines)
		}()
	}
	for i := range callers {
		c := s.caller(8)
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			tr.sendOrders(c, i)
		}()
	}
	return tr
}

func (tr *traffic) sendOrders(c *caller.Client, caller int) {
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-order-%d-%d", tr.service.name, caller, n)
		err := tr.rec.send(tr.ctx, tr.service, c, testRequest{http.MethodPost, "/orders?ms=5", id, "3 pallets"})
		tr.mu.Lock()
		tr.sent++
		if err != nil {
			tr.failed = append(tr.failed, fmt.Sprintf("%s: %v", id, err))
		}
		tr.mu.Unlock()
	}
}

// finish stops the orders, waits for the streams and returns the orders that weren't answered.
func (tr *traffic) finish() []string {
	close(tr.stop)
	tr.wg.Wait()
	return tr.failed
}

func TestRollingReplacementOfEntries(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	c := newCluster(t, 3)
	desk, archive := c.addService("desk", nil), c.addService("archive", nil)
	for range 2 {
		desk.addTarget()
		archive.addTarget()
	}
	rec := newRecorder()
	deskTraffic := startTraffic(ctx, rec, desk, 10, 4, 100)
	archiveTraffic := startTraffic(ctx, rec, archive, 10, 4, 100)
	for _, old := range append([]*proc(nil), c.entries...) {
		c.addEntry()
		c.removeEntry(old)
		old.signal(syscall.SIGTERM)
		old.awaitExit(readyTimeout)
	}
	is.Equal(len(deskTraffic.finish()), 0)    // Every order is answered.
	is.Equal(len(archiveTraffic.finish()), 0) // Every order is answered.
	rec.checkRuns(backendServers(desk, archive)...)
	rec.report(t)
}

func TestEntryKilled(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 10, 4, 80)
	time.Sleep(time.Second)
	c.entries[0].kill() // The fabric goes on giving it a third of the datagrams for a while.
	time.Sleep(2 * time.Second)
	c.removeEntry(c.entries[0])
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestAgentDrains(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	leaving := desk.addTarget()
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 12, 6, 60)
	time.Sleep(time.Second)
	drainStart := time.Now()
	leaving.signal(syscall.SIGTERM)
	desk.awaitAgentState(leaving, "draining", maxDrainNotice)
	leaving.awaitExit(readyTimeout)
	is.Equal(len(tr.finish()), 0)
	rec.checkDrain(leaving.server, drainStart)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestBackendServerDrains(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	leaving := desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 8, 4, 70)
	time.Sleep(time.Second)
	drainStart := time.Now()
	leaving.server.Inject(sample.Faults{Draining: true})
	desk.awaitAgentState(leaving, "draining", maxDrainNotice)
	is.Equal(len(tr.finish()), 0)
	rec.checkDrain(leaving.server, drainStart)
	leaving.server.Inject(sample.Faults{})
	desk.awaitAgentState(leaving, "up", maxDrainNotice) // It comes back.
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestAgentKilledDuringTicketedRequest(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	victim := desk.addTarget()
	client := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"})) // The caller now holds tickets.
	desk.addTarget()
	outcome := make(chan error, 1)
	go func() {
		outcome <- rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1000", "cut", "x"})
	}()
	await(t, readyTimeout, "the order runs", func() bool { return victim.server.Runs()["cut"] == 1 })
	victim.kill()
	err := <-outcome
	is.True(err != nil) // It may have run: the caller is told so, and nobody runs it again.
	is.Equal(desk.targets[0].server.Runs()["cut"]+desk.targets[1].server.Runs()["cut"], 1)
	is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", "after", "x"})) // A new caller is served.
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestTicketIsUsedTwice(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	for range 3 {
		desk.addTarget()
	}
	desk.awaitAgentState(desk.targets[2], "up", applyTimeout)
	ticketsReq := desk.request(ctx, http.MethodGet, contr.TicketPath+"?n=8", "mint", "")
	tickets := readLines(t, desk.caller(1), ticketsReq)
	is.Equal(len(tickets), 8)
	for i, ticket := range tickets {
		id := fmt.Sprintf("o%d", i)
		var wg sync.WaitGroup
		for range 6 { // The same ticket by six callers, whose flows live at different agents.
			wg.Add(1)
			go func() {
				defer wg.Done()
				req := desk.request(ctx, http.MethodPost, "/orders?ms=20", id, "x")
				req.Header.Set(contr.HeaderTicket, ticket)
				resp, err := desk.caller(6).Do(ctx, req)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("%s: %s", id, resp.Status)
				}
			}()
		}
		wg.Wait()
		rec.orders[id], rec.succeeded[id] = true, true
	}
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestEntryFrozenAndResumed(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	frozen := c.entries[2]
	watcher := c.watchSerials("desk")
	frozen.signal(syscall.SIGSTOP)
	serial := c.serialAt(c.entries[0], "desk")
	contract := contr.Contract{Name: "desk", Member: "m-desk", Address: desk.address, Tickets: true, Streams: []string{"/stream"}, Share: 9}
	code, _ := c.callAPI(c.entries[0], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("update", &contract))
	is.Equal(code, http.StatusOK)
	changed := c.serialAt(c.entries[0], "desk")
	is.True(changed > serial)
	stopped := desk.targets[0]
	stopped.signal(syscall.SIGTERM)
	stopped.awaitExit(readyTimeout)
	added := desk.addTarget()
	time.Sleep(20 * time.Second) // The length of the freeze.
	frozen.signal(syscall.SIGCONT)
	await(t, applyTimeout, "the change is in force at the resumed entry", func() bool { return c.serialAt(frozen, "desk") == changed })
	desk.awaitAgentState(added, "up", applyTimeout)
	desk.awaitAgentState(desk.targets[1], "up", applyTimeout) // It was not taken for lost because its beats waited.
	tr := startTraffic(ctx, rec, desk, 6, 3, 20)
	time.Sleep(2 * time.Second)
	is.Equal(len(tr.finish()), 0)
	watcher.finish(rec)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestServersComeAndGoWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 2)
	leaving, dying := desk.addTarget(), desk.addTarget()
	desk.addTarget()
	c.store.Inject(kvDown)
	outageStart := time.Now()
	tr := startTraffic(ctx, rec, desk, 6, 4, 100)
	joined := desk.addTarget()
	desk.awaitAgentState(joined, "up", applyTimeout)
	entry := c.addEntry() // It starts with an empty view.
	drainStart := time.Now()
	leaving.server.Inject(sample.Faults{Draining: true})
	desk.awaitAgentState(leaving, "draining", maxDrainNotice)
	is.Equal(len(c.agentStates(entry, "desk")), 4)
	code, _ := c.callAPI(entry, http.MethodPost, "/v1/contracts", 0, changeRequest("x", &contr.Contract{Name: "x", Member: "m", Address: desk.address}))
	is.Equal(code, http.StatusServiceUnavailable) // No change is accepted that can't be kept.
	is.Equal(len(tr.finish()), 0)
	rec.checkDrain(leaving.server, drainStart)
	dying.kill()
	desk.awaitAgentState(dying, "lost", applyTimeout)
	for i := range 20 {
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=5", fmt.Sprintf("late-%d", i), "x"}))
	}
	time.Sleep(time.Until(outageStart.Add(60 * time.Second))) // The length of the outage.
	is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=5", "last", "x"}))
	c.store.Inject(kvHealthy)
	await(t, applyTimeout, "changes are accepted again", func() bool {
		code, _ := c.callAPI(entry, http.MethodPost, "/v1/contracts", 0, changeRequest("y", &contr.Contract{Name: "y", Member: "m", Address: nextAddress(desk.address)}))
		return code == http.StatusCreated
	})
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

func TestAddressPassesToAnotherServicesAgent(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	c := newCluster(t, 2)
	desk, archive := c.addService("desk", nil), c.addService("archive", nil)
	victim := desk.addTarget()
	archive.addTarget()
	rec := newRecorder()
	old := desk.caller(1)
	is.NoErr(rec.send(ctx, desk, old, testRequest{http.MethodGet, "/work/a?ms=1", "before", ""}))
	victim.kill()
	reused := archive.addTargetAt(victim.ip) // The same address, another service.
	archive.awaitAgentState(reused, "up", applyTimeout)
	desk.addTarget()
	start := time.Now()
	_ = rec.send(ctx, desk, old, testRequest{http.MethodGet, "/work/a?ms=1", "on the old flow", ""}) // May fail, but must fail soon.
	is.True(time.Since(start) < 5*time.Second)                                                       // The reset tells the caller long before its idle timeout.
	for i := range 10 {
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("desk-%d", i), ""}))
		is.NoErr(rec.send(ctx, archive, archive.caller(8), testRequest{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("archive-%d", i), ""}))
	}
	rec.checkRuns(backendServers(desk, archive)...)
	rec.report(t)
}

func TestContractChangeIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	c := newCluster(t, 3)
	desk := c.addService("desk", nil)
	desk.addTarget()
	desk.addTarget()
	rec := newRecorder()
	watcher := c.watchSerials("desk")
	contract := contr.Contract{Name: "desk", Member: "m-desk", Address: desk.address, Tickets: true}
	const changes, instances = 10, 5
	for i := range changes {
		contract.Share = uint32(10 + i)
		e, other := c.entries[i%len(c.entries)], c.entries[(i+2)%len(c.entries)]
		await(t, applyTimeout, "both entries know the contract", func() bool {
			return c.serialAt(e, "desk") != 0 && c.serialAt(other, "desk") != 0
		})
		serial := c.serialAt(other, "desk")
		c.changeEverywhere(e, serial, fmt.Sprint("u", i), &contract, instances)
	}
	watcher.finish(rec)
	rec.report(t)
}

func TestLostStoreReplyAndSecondOperator(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	c := newCluster(t, 2)
	desk := c.addService("desk", nil)
	contract := contr.Contract{Name: "desk", Member: "m-desk", Address: desk.address, Share: 5}
	serial := c.serialAt(c.entries[0], "desk")
	faults := kvHealthy
	faults.DropReplies = 1
	c.store.Inject(faults)
	code, respBody := c.callAPI(c.entries[0], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("one", &contract))
	is.Equal(code, http.StatusOK) // The write took effect, and the entry found out.
	firstSerial := appliedSerial(t, respBody)
	contract.Share = 7
	code, _ = c.callAPI(c.entries[1], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("two", &contract))
	is.Equal(code, http.StatusPreconditionFailed) // The second operator changed an old version.
	contract.Share = 5
	code, respBody = c.callAPI(c.entries[1], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("one", &contract))
	is.Equal(code, http.StatusOK) // The first one repeats, at another entry: not applied twice.
	is.Equal(appliedSerial(t, respBody), firstSerial)
	code, respBody = c.callAPI(c.entries[0], http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(code, http.StatusOK)
	is.Equal(historyIDs(t, respBody), []string{"create desk", "one"})
}
