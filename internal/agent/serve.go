package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/admit"
	"github.com/bergamotrun/bergamotrun/internal/offer"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	// retryFloor and retrySpread make refused callers come back spread out.
	retryFloor  = time.Second
	retrySpread = 2 * time.Second
	// maxBodySize is the largest body of a request in bytes.
	maxBodySize = 1 << 30
)

// callerHandler returns the handler for requests that come by callers' flows.
func (a *Agent) callerHandler() http.Handler {
	h := chain(a.run, a.filterCount, a.filterContract, a.filterMint, a.filterBody, a.filterDeadline, a.filterTicket)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h(&call{w: &answerWriter{ResponseWriter: w}, r: r})
	})
}

// filterCount counts calls and their answers.
func (a *Agent) filterCount(next handler) handler {
	return func(c *call) {
		a.counters.Add("arrived", 1)
		a.books.request()
		defer func() {
			if p := recover(); p != nil {
				a.counters.Add("cut", 1)
				panic(p)
			}
			a.counters.Add("answered_"+strconv.Itoa(c.w.code), 1)
		}()
		next(c)
	}
}

// filterContract puts the contract in force to a call.
func (a *Agent) filterContract(next handler) handler {
	return func(c *call) {
		c.record = a.know.get().record
		if c.record.Retired {
			c.refuse(refusal{code: http.StatusGone, run: contr.RunNot, reason: "the service has ended"})
			return
		}
		c.idempotent = c.record.Contract.IsIdempotent(c.r.Method)
		c.stream = c.record.Contract.IsStream(c.r.URL.Path)
		next(c)
	}
}

// filterMint answers requests for tickets.
func (a *Agent) filterMint(next handler) handler {
	return func(c *call) {
		if c.r.URL.Path != contr.TicketPath {
			next(c)
			return
		}
		n, err := strconv.Atoi(c.r.URL.Query().Get("n"))
		if err != nil || n < 1 || n > contr.MaxTickets {
			reason := fmt.Sprintf("n = %q: must be 1 to %d", c.r.URL.Query().Get("n"), contr.MaxTickets)
			c.refuse(refusal{code: http.StatusBadRequest, run: contr.RunNot, reason: reason})
			return
		}
		for _, t := range a.mint(n) {
			_, _ = fmt.Fprintln(c.w, t) // A caller that is gone needs no tickets.
		}
	}
}

// bodiless are the methods whose requests have no body unless they tell its length.
var bodiless = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true, http.MethodDelete: true,
}

// filterBody bounds the body of a request.
func (a *Agent) filterBody(next handler) handler {
	return func(c *call) {
		if c.r.ContentLength > maxBodySize {
			reason := fmt.Sprintf("the body has %d bytes, at most %d are taken", c.r.ContentLength, maxBodySize)
			c.refuse(refusal{code: http.StatusRequestEntityTooLarge, run: contr.RunNot, reason: reason})
			return
		}
		if c.r.ContentLength < 0 && bodiless[c.r.Method] {
			c.r.ContentLength = 0 // HTTP/3 tells no length for a request without a body.
		}
		c.body = &body{source: http.MaxBytesReader(c.w, c.r.Body, maxBodySize), size: c.r.ContentLength}
		next(c)
	}
}

// filterDeadline sets the deadline: the caller's, or the contract's for what is not a stream.
func (a *Agent) filterDeadline(next handler) handler {
	return func(c *call) {
		timeout := c.record.Contract.Deadline.Std()
		text := c.r.Header.Get(contr.HeaderTimeout)
		if text != "" {
			d, err := time.ParseDuration(text)
			if err != nil || d <= 0 || d > contr.MaxDeadline {
				reason := fmt.Sprintf("%s = %q: must be a duration above 0s and at most %s", contr.HeaderTimeout, text, contr.MaxDeadline)
				c.refuse(refusal{code: http.StatusBadRequest, run: contr.RunNot, reason: reason})
				return
			}
			timeout = d
		}
		if text != "" || !c.stream {
			c.deadline = time.Now().Add(timeout)
		}
		next(c)
	}
}

// maxOffers is how many peers are asked to run a request before it is run or waits here.
const maxOffers = 2

// run brings a call to the backend server or to a peer.
func (a *Agent) run(c *call) {
	ctx, cancel := c.context()
	defer cancel()
	if c.stream && c.mode != modeSpare {
		a.runStream(ctx, c)
		return
	}
	if c.mode == modeCaller || c.mode == modeTicket {
		a.work.ask(c.class())
	}
	for range maxOffers {
		peer, why := a.decidePeer(c)
		if why == offer.RunLocally {
			break
		}
		if a.tryPeer(ctx, c, peer, why) {
			return
		}
	}
	if a.away() {
		a.refuseBusy(c, "this server takes no new work and no other one has room")
		return
	}
	a.runHere(ctx, c)
}

// context returns the context of a call. A request with a ticket goes on when its caller is gone, so that
// a repeat gets the answer.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx := c.r.Context()
	if c.w.keep {
		ctx = context.WithoutCancel(ctx)
	}
	if c.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// away reports whether the backend server gets no new work.
func (a *Agent) away() bool { return a.draining.Load() }

// decidePeer decides whether a call goes to a peer. A call that came from a peer stays.
func (a *Agent) decidePeer(c *call) (peer netip.AddrPort, why offer.Reason) {
	if c.mode == modeSpare || c.mode == modeQueue {
		return netip.AddrPort{}, offer.RunLocally
	}
	load := a.work.load()
	own := offer.LocalState{Utilization: load.Utilization, Demand: load.Demand, Free: load.Free, Slots: load.Slots, Unavailable: a.away() || load.Failing}
	if own.Unavailable && !a.away() && rand.Float64() < probePart {
		own.Unavailable = false // A failing server gets a few requests, to show that it has recovered.
	}
	return a.peers.decide(own, time.Now())
}

// probePart is the part of its requests that a failing backend server still gets.
const probePart = 0.1

// tryPeer hands a call over and reports whether it has been answered; otherwise it may be sent elsewhere.
func (a *Agent) tryPeer(ctx context.Context, c *call, peer netip.AddrPort, why offer.Reason) bool {
	m := modeSpare
	if why == offer.Unavailable {
		m = modeQueue
	}
	again, err := c.body.hold()
	if err != nil {
		c.refuse(refusal{code: http.StatusBadRequest, run: contr.RunNot, reason: err.Error()})
		return true
	}
	if !again && m == modeSpare {
		return false // A large body is sent once, to where it is sure to be taken.
	}
	res := a.handOver(ctx, c, peer, m)
	switch res.fate {
	case fateAnswered:
		a.counters.Add("handed_over", 1)
		return true
	case fateRejected:
		a.counters.Add("handover_rejected", 1)
		if !c.body.spent() {
			return false
		}
		a.refuseBusy(c, "no server had room")
		return true
	}
	c.mayHaveRun = c.mayHaveRun || res.fate == fateUnknown
	a.peers.failed(peer, time.Now())
	a.log.Info("a peer didn't answer a request", zap.Stringer("peer", peer), zap.String("class", c.class()), zap.String("mode", string(m)),
		zap.Bool("may_have_run", res.fate == fateUnknown), zap.Error(res.err))
	if a.mayRepeat(c, res) {
		return false
	}
	a.giveUp(ctx, c, res)
	return true
}

// mayRepeat reports whether a call that failed elsewhere may be sent again.
func (a *Agent) mayRepeat(c *call, res result) bool {
	harmless := res.fate == fateNotRun || c.idempotent
	if !harmless || c.w.wrote || c.body.spent() {
		return false
	}
	return a.books.mayRepeat()
}

// giveUp answers a call that can't be completed.
func (a *Agent) giveUp(ctx context.Context, c *call, res result) {
	if c.w.wrote {
		c.cut()
	}
	switch {
	case res.fate == fateNotRun || res.fate == fateRejected:
		a.refuseBusy(c, "no server could be reached")
	case ctx.Err() != nil:
		c.refuse(refusal{code: http.StatusGatewayTimeout, run: contr.RunUnknown, reason: "the deadline passed while the request ran"})
	default:
		c.refuse(refusal{code: http.StatusBadGateway, run: contr.RunUnknown, reason: "the server didn't answer"})
	}
}

// refuseBusy answers a call that has not run, with a time to come back that differs from call to call.
func (a *Agent) refuseBusy(c *call, reason string) {
	retry := retryFloor + a.work.backoff() + time.Duration(rand.Int64N(int64(retrySpread)))
	c.refuse(refusal{code: http.StatusServiceUnavailable, run: contr.RunNot, reason: reason, retry: retry})
}

// runHere runs a call at the backend server of this agent, when its turn comes.
func (a *Agent) runHere(ctx context.Context, c *call) {
	job := a.work.job(c.class(), c.deadline)
	if c.mode == modeSpare {
		if !a.work.tryStart(job) {
			a.reject(c)
			return
		}
		a.accept(c)
		a.runJob(ctx, c, job)
		return
	}
	for {
		switch a.awaitTurn(ctx, job) {
		case turnStart:
			a.runJob(ctx, c, job)
			return
		case turnRefuse:
			a.refuseBusy(c, "the request can't be answered before its deadline")
			return
		}
		if peer, why := a.decidePeer(c); why != offer.RunLocally && a.tryPeer(ctx, c, peer, why) {
			return
		}
		arrived := job.Arrived
		job = a.work.job(job.Class, job.Deadline)
		job.Arrived = arrived
	}
}

// awaitTurn waits until a job may start, is refused, or should look for a peer.
func (a *Agent) awaitTurn(ctx context.Context, job admit.Job) turn {
	verdict, ch := a.work.arrive(job)
	switch verdict {
	case admit.Start:
		return turnStart
	case admit.Refuse:
		return turnRefuse
	}
	a.counters.Add("queued", 1)
	select {
	case t := <-ch:
		return t
	case <-ctx.Done():
	}
	if a.work.cancel(job) {
		return turnRefuse
	}
	return <-ch // Its turn came in the same moment.
}

// runJob runs a call whose job has a slot.
func (a *Agent) runJob(ctx context.Context, c *call, job admit.Job) {
	finished := false
	finish := func(failed bool) {
		if !finished {
			finished = true
			a.work.finish(job, failed)
			a.tellFree()
		}
	}
	defer finish(false)
	res := a.backend.send(ctx, c)
	finish(res.failed)
	if res.fate == fateAnswered {
		return
	}
	c.mayHaveRun = c.mayHaveRun || res.fate == fateUnknown
	a.log.Info("the backend server didn't answer a request", zap.Bool("may_have_run", res.fate == fateUnknown), zap.Error(res.err))
	if c.mode == modeCaller && a.mayRepeat(c, res) {
		if peer, why := a.anyPeer(); why != offer.RunLocally && a.tryPeer(ctx, c, peer, why) {
			return
		}
	}
	a.giveUp(ctx, c, res)
}

// anyPeer returns a peer with a free slot, whatever the load here.
func (a *Agent) anyPeer() (netip.AddrPort, offer.Reason) {
	return a.peers.decide(offer.LocalState{Unavailable: true, Slots: a.work.load().Slots}, time.Now())
}

// runStream runs a call whose answer is long; it takes no slot.
func (a *Agent) runStream(ctx context.Context, c *call) {
	if c.mode == modeCaller && a.away() {
		if peer, why := a.anyPeer(); why != offer.RunLocally && a.tryPeer(ctx, c, peer, why) {
			return
		}
		a.refuseBusy(c, "this server takes no new work and no other one has room")
		return
	}
	a.work.stream(1)
	defer a.work.stream(-1)
	if res := a.backend.send(ctx, c); res.fate != fateAnswered {
		a.giveUp(ctx, c, res)
	}
}
