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
	l      *ledger
	s      *service
	ctx    context.Context
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	failed []string
	sent   int
}

// lineInterval is the time between two lines of a stream.
const lineInterval = 100 * time.Millisecond

// startTraffic opens streams of count lines and sends orders one after the other by several callers.
func startTraffic(ctx context.Context, l *ledger, s *service, streams, callers, count int) *traffic {
	tr := &traffic{l: l, s: s, ctx: ctx, stop: make(chan struct{})}
	for i := range streams {
		c := s.caller(0)
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			l.stream(ctx, s, c, fmt.Sprintf("%s-stream-%d", s.name, i), count)
		}()
	}
	for i := range callers {
		c := s.caller(8)
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			tr.orders(c, i)
		}()
	}
	return tr
}

func (tr *traffic) orders(c *caller.Client, caller int) {
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-order-%d-%d", tr.s.name, caller, n)
		err := tr.l.send(tr.ctx, tr.s, c, order{http.MethodPost, "/orders?ms=5", id, "3 pallets"})
		tr.mu.Lock()
		tr.sent++
		if err != nil {
			tr.failed = append(tr.failed, fmt.Sprintf("%s: %v", id, err))
		}
		tr.mu.Unlock()
	}
}

// end stops the orders, waits for the streams and returns the orders that weren't answered.
func (tr *traffic) end() []string {
	close(tr.stop)
	tr.wg.Wait()
	return tr.failed
}

func TestRollingReplacementOfEntries(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	c := newCluster(t, 3)
	desk, archive := c.addService("desk", nil), c.addService("archive", nil)
	for range 2 {
		desk.addTarget()
		archive.addTarget()
	}
	l := newLedger()
	deskTraffic := startTraffic(ctx, l, desk, 10, 4, 100)
	archiveTraffic := startTraffic(ctx, l, archive, 10, 4, 100)
	for _, old := range append([]*proc(nil), c.entries...) {
		c.addEntry()
		c.dropEntry(old)
		old.signal(syscall.SIGTERM)
		old.awaitEnd(readyLimit)
	}
	is.Equal(len(deskTraffic.end()), 0)    // Every order is answered.
	is.Equal(len(archiveTraffic.end()), 0) // Every order is answered.
	l.checkRuns(servers(desk, archive)...)
	l.report(t)
}

func TestEntryKilled(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, c, desk, l := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, l, desk, 10, 4, 80)
	time.Sleep(time.Second)
	c.entries[0].kill() // The fabric goes on giving it a third of the datagrams for a while.
	time.Sleep(2 * time.Second)
	c.dropEntry(c.entries[0])
	is.Equal(len(tr.end()), 0)
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestAgentDrains(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, _, desk, l := startDesk(t, 2)
	leaving := desk.addTarget()
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, l, desk, 12, 6, 60)
	time.Sleep(time.Second)
	began := time.Now()
	leaving.signal(syscall.SIGTERM)
	desk.awaitMember(leaving, "draining", leaveLimit)
	leaving.awaitEnd(readyLimit)
	is.Equal(len(tr.end()), 0)
	l.checkDrain(leaving.server, began)
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestBackendServerDrains(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, _, desk, l := startDesk(t, 2)
	leaving := desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, l, desk, 8, 4, 70)
	time.Sleep(time.Second)
	began := time.Now()
	leaving.server.SetFaults(sample.Faults{Draining: true})
	desk.awaitMember(leaving, "draining", leaveLimit)
	is.Equal(len(tr.end()), 0)
	l.checkDrain(leaving.server, began)
	leaving.server.SetFaults(sample.Faults{})
	desk.awaitMember(leaving, "up", leaveLimit) // It comes back.
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestAgentKilledDuringTicketedRequest(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, _, desk, l := startDesk(t, 2)
	victim := desk.addTarget()
	cl := desk.caller(8)
	is.NoErr(l.send(ctx, desk, cl, order{http.MethodPost, "/orders?ms=1", "first", "x"})) // The caller now holds tickets.
	desk.addTarget()
	outcome := make(chan error, 1)
	go func() { outcome <- l.send(ctx, desk, cl, order{http.MethodPost, "/orders?ms=1000", "cut", "x"}) }()
	await(t, readyLimit, "the order runs", func() bool { return victim.server.Runs()["cut"] == 1 })
	victim.kill()
	err := <-outcome
	is.True(err != nil) // It may have run: the caller is told so, and nobody runs it again.
	is.Equal(desk.targets[0].server.Runs()["cut"]+desk.targets[1].server.Runs()["cut"], 1)
	is.NoErr(l.send(ctx, desk, desk.caller(8), order{http.MethodPost, "/orders?ms=1", "after", "x"})) // A new caller is served.
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestTicketIsUsedTwice(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, _, desk, l := startDesk(t, 2)
	for range 3 {
		desk.addTarget()
	}
	desk.awaitMember(desk.targets[2], "up", forceLimit)
	minted := desk.request(ctx, http.MethodGet, contr.TicketPath+"?n=8", "mint", "")
	tickets := fetchFields(t, desk.caller(1), minted)
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
		l.orders[id], l.answered[id] = true, true
	}
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestEntryFrozenAndResumed(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, c, desk, l := startDesk(t, 3)
	desk.addTarget()
	desk.addTarget()
	frozen := c.entries[2]
	w := c.watch("desk")
	frozen.signal(syscall.SIGSTOP)
	serial := c.serialAt(c.entries[0], "desk")
	contract := contr.Contract{Name: "desk", Member: "m-desk", Address: desk.address, Tickets: true, Streams: []string{"/stream"}, Share: 9}
	code, _ := c.api(c.entries[0], http.MethodPut, "/v1/contracts/desk", serial, change1("update", &contract))
	is.Equal(code, http.StatusOK)
	changed := c.serialAt(c.entries[0], "desk")
	is.True(changed > serial)
	gone := desk.targets[0]
	gone.signal(syscall.SIGTERM)
	gone.awaitEnd(readyLimit)
	fresh := desk.addTarget()
	time.Sleep(20 * time.Second) // The length of the freeze.
	frozen.signal(syscall.SIGCONT)
	await(t, forceLimit, "the change is in force at the resumed entry", func() bool { return c.serialAt(frozen, "desk") == changed })
	desk.awaitMember(fresh, "up", forceLimit)
	desk.awaitMember(desk.targets[1], "up", forceLimit) // It was not taken for lost because its beats waited.
	tr := startTraffic(ctx, l, desk, 6, 3, 20)
	time.Sleep(2 * time.Second)
	is.Equal(len(tr.end()), 0)
	w.end(l)
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestServersComeAndGoWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, c, desk, l := startDesk(t, 2)
	leaving, dying := desk.addTarget(), desk.addTarget()
	desk.addTarget()
	c.store.Inject(kvUnresponsive)
	down := time.Now()
	tr := startTraffic(ctx, l, desk, 6, 4, 100)
	joined := desk.addTarget()
	desk.awaitMember(joined, "up", forceLimit)
	entry := c.addEntry() // It starts with an empty view.
	began := time.Now()
	leaving.server.SetFaults(sample.Faults{Draining: true})
	desk.awaitMember(leaving, "draining", leaveLimit)
	is.Equal(len(c.members(entry, "desk")), 4)
	code, _ := c.api(entry, http.MethodPost, "/v1/contracts", 0, change1("x", &contr.Contract{Name: "x", Member: "m", Address: desk.address}))
	is.Equal(code, http.StatusServiceUnavailable) // No change is accepted that can't be kept.
	is.Equal(len(tr.end()), 0)
	l.checkDrain(leaving.server, began)
	dying.kill()
	desk.awaitMember(dying, "lost", forceLimit)
	for i := range 20 {
		is.NoErr(l.send(ctx, desk, desk.caller(8), order{http.MethodPost, "/orders?ms=5", fmt.Sprintf("late-%d", i), "x"}))
	}
	time.Sleep(time.Until(down.Add(60 * time.Second))) // The length of the outage.
	is.NoErr(l.send(ctx, desk, desk.caller(8), order{http.MethodPost, "/orders?ms=5", "last", "x"}))
	c.store.Inject(kvHealthy)
	await(t, forceLimit, "changes are accepted again", func() bool {
		code, _ := c.api(entry, http.MethodPost, "/v1/contracts", 0, change1("y", &contr.Contract{Name: "y", Member: "m", Address: nextAddress(desk.address)}))
		return code == http.StatusCreated
	})
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestAddressPassesToAnotherServicesAgent(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	c := newCluster(t, 2)
	desk, archive := c.addService("desk", nil), c.addService("archive", nil)
	victim := desk.addTarget()
	archive.addTarget()
	l := newLedger()
	old := desk.caller(1)
	is.NoErr(l.send(ctx, desk, old, order{http.MethodGet, "/work/a?ms=1", "before", ""}))
	victim.kill()
	reused := archive.addTargetAt(victim.ip) // The same address, another service.
	archive.awaitMember(reused, "up", forceLimit)
	desk.addTarget()
	start := time.Now()
	_ = l.send(ctx, desk, old, order{http.MethodGet, "/work/a?ms=1", "on the old flow", ""}) // May fail, but must fail soon.
	is.True(time.Since(start) < 5*time.Second)                                               // The reset tells the caller long before its idle timeout.
	for i := range 10 {
		is.NoErr(l.send(ctx, desk, desk.caller(8), order{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("desk-%d", i), ""}))
		is.NoErr(l.send(ctx, archive, archive.caller(8), order{http.MethodGet, "/work/a?ms=1", fmt.Sprintf("archive-%d", i), ""}))
	}
	l.checkRuns(servers(desk, archive)...)
	l.report(t)
}

func TestContractChangeIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	proves(t)
	c := newCluster(t, 3)
	desk := c.addService("desk", nil)
	desk.addTarget()
	desk.addTarget()
	l := newLedger()
	w := c.watch("desk")
	contract := contr.Contract{Name: "desk", Member: "m-desk", Address: desk.address, Tickets: true}
	const changes, instances = 10, 5
	for i := range changes {
		contract.Share = uint32(10 + i)
		e, other := c.entries[i%len(c.entries)], c.entries[(i+2)%len(c.entries)]
		await(t, forceLimit, "both entries know the contract", func() bool {
			return c.serialAt(e, "desk") != 0 && c.serialAt(other, "desk") != 0
		})
		serial := c.serialAt(other, "desk")
		c.updateDeskContract(e, serial, fmt.Sprint("u", i), &contract, instances)
	}
	w.end(l)
	l.report(t)
}

func TestLostStoreReplyAndSecondOperator(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	c := newCluster(t, 2)
	desk := c.addService("desk", nil)
	contract := contr.Contract{Name: "desk", Member: "m-desk", Address: desk.address, Share: 5}
	serial := c.serialAt(c.entries[0], "desk")
	lost := kvHealthy
	lost.DropReplies = 1
	c.store.Inject(lost)
	code, answer := c.api(c.entries[0], http.MethodPut, "/v1/contracts/desk", serial, change1("one", &contract))
	is.Equal(code, http.StatusOK) // The write took effect, and the entry found out.
	first := appliedSerial(t, answer)
	contract.Share = 7
	code, _ = c.api(c.entries[1], http.MethodPut, "/v1/contracts/desk", serial, change1("two", &contract))
	is.Equal(code, http.StatusPreconditionFailed) // The second operator changed an old version.
	contract.Share = 5
	code, answer = c.api(c.entries[1], http.MethodPut, "/v1/contracts/desk", serial, change1("one", &contract))
	is.Equal(code, http.StatusOK) // The first one repeats, at another entry: not applied twice.
	is.Equal(appliedSerial(t, answer), first)
	code, answer = c.api(c.entries[0], http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(code, http.StatusOK)
	is.Equal(historyIDs(t, answer), []string{"create desk", "one"})
}
