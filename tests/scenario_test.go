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

// traffic holds streams open and sends orders until finish is called.
type traffic struct {
	rec     *recorder
	service *service
	ctx     context.Context
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	// failed has the IDs and errors of failed orders, sent is the number of all orders.
	failed []string
	sent   int
}

// lineInterval is the time between two lines of a stream.
const lineInterval = 100 * time.Millisecond

// startTraffic opens streams with the given number of lines and starts callers, each of which sends one order after the
// other.
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

// sendOrders sends orders until finish is called, and records those that fail.
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

// finish stops sending orders, waits for the streams to end, and logs and returns the errors of failed orders.
func (tr *traffic) finish() []string {
	tr.service.cluster.t.Helper()
	close(tr.stop)
	tr.wg.Wait()
	for _, failure := range tr.failed {
		tr.service.cluster.t.Log(failure)
	}
	return tr.failed
}

// TestRollingReplacementOfEntries checks that requests and streams of two services complete while all entries are replaced.
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
	is.Equal(len(deskTraffic.finish()), 0)    // No order failed.
	is.Equal(len(archiveTraffic.finish()), 0) // No order failed.
	rec.checkRuns(backendServers(desk, archive)...)
	rec.report(t)
}

// TestEntryKilled checks that requests and streams complete if an entry is killed and gets datagrams for a while longer.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, rec, desk, 10, 4, 80)
	time.Sleep(time.Second)
	c.entries[0].kill() // The fabric still sends it a third of the datagrams.
	time.Sleep(2 * time.Second)
	c.removeEntry(c.entries[0])
	is.Equal(len(tr.finish()), 0)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestAgentDrains checks that requests and streams complete if an agent stops as planned, and that its server gets no new
// request later than maxDrainNotice.
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

// TestBackendServerDrains checks that requests and streams complete if the health endpoint of a backend server reports
// that it is draining, that the server gets no new request later than maxDrainNotice, and that its agent is up again
// afterwards.
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
	leaving.server.SetFaults(sample.Faults{Draining: true})
	desk.awaitAgentState(leaving, "draining", maxDrainNotice)
	is.Equal(len(tr.finish()), 0)
	rec.checkDrain(leaving.server, drainStart)
	leaving.server.SetFaults(sample.Faults{})
	desk.awaitAgentState(leaving, "up", maxDrainNotice) // It comes back.
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestAgentKilledDuringTicketedRequest checks that an order isn't run again, and the caller gets an error, if its agent is
// killed while it runs.
func TestAgentKilledDuringTicketedRequest(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	victim := desk.addTarget()
	client := desk.caller(8)
	is.NoErr(rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1", "first", "x"})) // The caller gets tickets with the response.
	desk.addTarget()
	outcome := make(chan error, 1)
	go func() {
		outcome <- rec.send(ctx, desk, client, testRequest{http.MethodPost, "/orders?ms=1000", "cut", "x"})
	}()
	await(t, readyTimeout, "the order runs", func() bool { return victim.server.Runs()["cut"] == 1 })
	victim.kill()
	err := <-outcome
	is.True(err != nil) // The caller learns that the order may have run, and nobody runs it again.
	is.Equal(desk.targets[0].server.Runs()["cut"]+desk.targets[1].server.Runs()["cut"], 1)
	is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=1", "after", "x"})) // A new caller is served.
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestReusedTicketRunsOrderOnce checks that an order runs once if several callers send it with the same ticket, and that
// all get a response.
func TestReusedTicketRunsOrderOnce(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, _, desk, rec := startDesk(t, 2)
	for range 3 {
		desk.addTarget()
	}
	desk.awaitAgentState(desk.targets[2], "up", applyTimeout)
	ticketsReq := desk.request(ctx, http.MethodGet, contr.TicketPath+"?n=8", "mint", "")
	tickets := fetchFields(t, desk.caller(1), ticketsReq)
	is.Equal(len(tickets), 8)
	for i, ticket := range tickets {
		id := fmt.Sprintf("o%d", i)
		var wg sync.WaitGroup
		for range 6 { // Six callers with flows at different agents use the same ticket.
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

// TestEntryFrozenAndResumed checks that an entry that was stopped while a contract and agents changed catches up once it is
// resumed, and does not report agents as lost whose heartbeats it has not read yet.
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
	time.Sleep(20 * time.Second) // The entry stays stopped.
	frozen.signal(syscall.SIGCONT)
	await(t, applyTimeout, "the change is in force at the resumed entry", func() bool { return c.serialAt(frozen, "desk") == changed })
	desk.awaitAgentState(added, "up", applyTimeout)
	desk.awaitAgentState(desk.targets[1], "up", applyTimeout) // Not "lost" because its heartbeats were read late.
	tr := startTraffic(ctx, rec, desk, 6, 3, 20)
	time.Sleep(2 * time.Second)
	is.Equal(len(tr.finish()), 0)
	watcher.finish(rec)
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestProcessesJoinDrainAndFailDuringStoreOutage checks that agents and entries start, drain and fail without effect on
// callers while the store is down, that contract changes are refused meanwhile, and that they are accepted again
// afterwards.
func TestProcessesJoinDrainAndFailDuringStoreOutage(t *testing.T) {
	t.Parallel()
	recordTestRun(t)
	is := is.New(t)
	ctx, c, desk, rec := startDesk(t, 2)
	leaving, dying := desk.addTarget(), desk.addTarget()
	desk.addTarget()
	c.store.Inject(kvUnresponsive)
	outageStart := time.Now()
	tr := startTraffic(ctx, rec, desk, 6, 4, 100)
	joined := desk.addTarget()
	desk.awaitAgentState(joined, "up", applyTimeout)
	entry := c.addEntry() // It knows no processes at first.
	drainStart := time.Now()
	leaving.server.SetFaults(sample.Faults{Draining: true})
	desk.awaitAgentState(leaving, "draining", maxDrainNotice)
	is.Equal(len(c.agentStates(entry, "desk")), 4)
	code, _ := c.callAPI(entry, http.MethodPost, "/v1/contracts", 0, changeRequest("x", &contr.Contract{Name: "x", Member: "m", Address: desk.address}))
	is.Equal(code, http.StatusServiceUnavailable) // A change that can't be stored is refused.
	is.Equal(len(tr.finish()), 0)
	rec.checkDrain(leaving.server, drainStart)
	dying.kill()
	desk.awaitAgentState(dying, "lost", applyTimeout)
	for i := range 20 {
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=5", fmt.Sprintf("late-%d", i), "x"}))
	}
	time.Sleep(time.Until(outageStart.Add(60 * time.Second))) // The outage lasts 60 s.
	is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodPost, "/orders?ms=5", "last", "x"}))
	c.store.Inject(kvHealthy)
	await(t, applyTimeout, "changes are accepted again", func() bool {
		code, _ := c.callAPI(entry, http.MethodPost, "/v1/contracts", 0, changeRequest("y", &contr.Contract{Name: "y", Member: "m", Address: nextAddress(desk.address)}))
		return code == http.StatusCreated
	})
	rec.checkRuns(backendServers(desk)...)
	rec.report(t)
}

// TestAddressReusedByAgentOfAnotherService checks that no request reaches the wrong service if an agent is killed and an
// agent of another service starts at its address, and that an old flow is reset.
func TestAddressReusedByAgentOfAnotherService(t *testing.T) {
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
	reused := archive.addTargetAt(victim.ip) // The same address, a different service.
	archive.awaitAgentState(reused, "up", applyTimeout)
	desk.addTarget()
	start := time.Now()
	_ = rec.send(ctx, desk, old, testRequest{http.MethodGet, "/work/a?ms=1", "on the old flow", ""}) // May fail, but must fail soon.
	is.True(time.Since(start) < 5*time.Second)                                                       // The reset arrives long before the caller's idle timeout.
	for i := range 10 {
		is.NoErr(rec.send(ctx, desk, desk.caller(8), testRequest{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("desk-%d", i), ""}))
		is.NoErr(rec.send(ctx, archive, archive.caller(8), testRequest{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("archive-%d", i), ""}))
	}
	rec.checkRuns(backendServers(desk, archive)...)
	rec.report(t)
}

// TestContractChangeReachesAllProcesses checks that changes sent to different entries reach all processes in time, and
// that no entry goes back to an older contract.
func TestContractChangeReachesAllProcesses(t *testing.T) {
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
		c.updateDeskContract(e, serial, fmt.Sprint("u", i), &contract, instances)
	}
	watcher.finish(rec)
	rec.report(t)
}

// TestLostStoreReplyAndSecondOperator checks that a change is applied once if the store's response to the write is lost
// and the operator repeats the change, and that a change of another operator that is based on the old version is
// rejected.
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
	is.Equal(code, http.StatusOK) // The entry found that the write took effect.
	firstSerial := appliedSerial(t, respBody)
	contract.Share = 7
	code, _ = c.callAPI(c.entries[1], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("two", &contract))
	is.Equal(code, http.StatusPreconditionFailed) // The second change is based on an old version.
	contract.Share = 5
	code, respBody = c.callAPI(c.entries[1], http.MethodPut, "/v1/contracts/desk", serial, changeRequest("one", &contract))
	is.Equal(code, http.StatusOK) // The first operator repeats the change at another entry; it is not applied twice.
	is.Equal(appliedSerial(t, respBody), firstSerial)
	code, respBody = c.callAPI(c.entries[0], http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(code, http.StatusOK)
	is.Equal(historyIDs(t, respBody), []string{"create desk", "one"})
}
