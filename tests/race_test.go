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

// deskContract returns the contract of the service desk with a share.
func deskContract(s *service, share uint32) *contr.Contract {
	return &contr.Contract{
		Name: "desk", Member: "m-desk", Address: s.address, Share: share, Tickets: true,
		Streams: []string{"/stream"}, Drain: contr.Duration(20 * time.Second),
	}
}

func TestStoreSlow(t *testing.T) {
	t.Parallel()
	proves(t)
	c := newCluster(t, 3)
	desk := c.addService("desk", nil)
	desk.addTarget()
	l := newLedger()
	w := c.watch("desk")
	c.store.Inject(kvfake.Faults{Delay: time.Second})
	const instances = 4
	for i := range 2 {
		serial := c.serialAt(c.entries[i], "desk")
		c.updateDeskContract(c.entries[i], serial, fmt.Sprint("u", i), deskContract(desk, uint32(5+i)), instances)
	}
	w.end(l)
	l.report(t)
}

func TestEntryKilledDuringContractWrite(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	c := newCluster(t, 2)
	desk := c.addService("desk", nil)
	serial := c.serialAt(c.entries[0], "desk")
	for i := range 4 { // Killed at different moments of the write.
		c.store.Inject(kvfake.Faults{Delay: 200 * time.Millisecond})
		victim, other := c.entries[1], c.entries[0]
		id := fmt.Sprint("u", i)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.api(victim, http.MethodPut, "/v1/contracts/desk", serial, change1(id, deskContract(desk, uint32(5+i))))
		}()
		time.Sleep(time.Duration(100+100*i) * time.Millisecond)
		victim.kill()
		<-done
		c.store.Inject(kvHealthy)
		await(t, forceLimit, "the other entry has what stands in the store", func() bool {
			code, _ := c.api(other, http.MethodGet, "/v1/contracts/desk/history", 0, nil)
			return code == http.StatusOK
		})
		code, answer := c.api(other, http.MethodPut, "/v1/contracts/desk", serial, change1(id, deskContract(desk, uint32(5+i))))
		is.Equal(code, http.StatusOK) // Made now, or recognized.
		serial = appliedSerial(t, answer)
		c.dropEntry(victim)
		c.addEntry()
	}
	_, answer := c.api(c.entries[0], http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(historyIDs(t, answer), []string{"create desk", "u0", "u1", "u2", "u3"}) // Each exactly once.
}

func TestEntryFrozenDuringContractWrite(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	c := newCluster(t, 2)
	desk := c.addService("desk", nil)
	l := newLedger()
	serial := c.serialAt(c.entries[0], "desk")
	c.store.Inject(kvfake.Faults{Delay: 300 * time.Millisecond})
	frozen := c.entries[1]
	outcome := make(chan int, 1)
	go func() {
		code, _ := c.api(frozen, http.MethodPut, "/v1/contracts/desk", serial, change1("frozen", deskContract(desk, 5)))
		outcome <- code
	}()
	time.Sleep(150 * time.Millisecond) // It reads the store.
	frozen.signal(syscall.SIGSTOP)
	c.store.Inject(kvHealthy)
	code, answer := c.api(c.entries[0], http.MethodPut, "/v1/contracts/desk", serial, change1("other", deskContract(desk, 7)))
	is.Equal(code, http.StatusOK)
	applied := appliedSerial(t, answer)
	w := c.watch("desk")
	frozen.signal(syscall.SIGCONT)
	is.Equal(<-outcome, http.StatusPreconditionFailed) // Its change was made from an old version by then.
	await(t, forceLimit, "the other change is in force", func() bool { return c.serialAt(frozen, "desk") == applied })
	_, answer = c.api(frozen, http.MethodGet, "/v1/contracts/desk/history", 0, nil)
	is.Equal(historyIDs(t, answer), []string{"create desk", "other"})
	w.end(l)
	l.report(t)
}

func TestDrainDuringReplacementOfEntries(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, c, desk, l := startDesk(t, 2)
	leaving := desk.addTarget()
	desk.addTarget()
	desk.addTarget()
	tr := startTraffic(ctx, l, desk, 9, 4, 80)
	began := time.Now()
	leaving.signal(syscall.SIGTERM)
	for _, old := range slices.Clone(c.entries) {
		c.addEntry()
		c.dropEntry(old)
		old.signal(syscall.SIGTERM)
		old.awaitEnd(readyLimit)
	}
	leaving.awaitEnd(readyLimit)
	is.Equal(len(tr.end()), 0)
	l.checkDrain(leaving.server, began)
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestAgentKilledTwice(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	ctx, _, desk, l := startDesk(t, 2)
	victim := desk.addTarget()
	desk.addTarget()
	held := desk.caller(8)
	is.NoErr(l.send(ctx, desk, held, order{http.MethodPost, "/orders?ms=1", "before", "x"}))
	for i := range 2 {
		victim.kill()
		victim.run() // At the same address, with another incarnation.
		victim.awaitReady()
		desk.awaitMember(victim, "up", forceLimit)
		// The first attempt went into a flow that was gone: nobody can tell any more whether it ran.
		err := l.send(ctx, desk, held, order{http.MethodPost, "/orders?ms=1", fmt.Sprint("held-", i), "x"})
		is.True(err == nil || errors.Is(err, caller.ErrUnknown))
		is.NoErr(l.send(ctx, desk, desk.caller(8), order{http.MethodPost, "/orders?ms=1", fmt.Sprint("new-", i), "x"}))
	}
	l.checkRuns(servers(desk)...)
	l.report(t)
}

func TestPeerFrozenDuringHandOver(t *testing.T) {
	t.Parallel()
	proves(t)
	is := is.New(t)
	h := startHandOver(t, order{http.MethodPost, "/orders?ms=1", "first", "x"}) // The flow's tickets are home's too.
	ctx, desk, l, cl, peer := h.ctx, h.desk, h.ledger, h.client, h.peer
	h.awaitHandOver(t, "warm")
	peer.freeze()
	start := time.Now()
	code, run := l.once(ctx, desk, cl, order{http.MethodPost, "/orders?ms=1", "stuck", "x"})
	is.Equal(code, http.StatusBadGateway) // The peer can't say whether it will run it.
	is.Equal(run, contr.RunUnknown)
	is.True(time.Since(start) < 3*time.Second) // Told soon, not at the deadline.
	peer.signal(syscall.SIGCONT)
	desk.awaitMember(peer, "up", forceLimit)
	tries := 0
	await(t, forceLimit, "requests are handed over again", func() bool {
		tries++
		code, _ := l.once(ctx, desk, cl, order{http.MethodPost, "/orders?ms=1", fmt.Sprint("after-", tries), "x"})
		return code == http.StatusOK
	})
	l.checkRuns(servers(desk)...) // The stuck one ran once or not at all.
	l.report(t)
}
