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
	// minRetryAfter is the least Retry-After of a refusal. Up to retryAfterJitter is added at random, so that callers don't
	// retry at the same time.
	minRetryAfter    = time.Second
	retryAfterJitter = 2 * time.Second
	// maxBodySize is the largest body of a request in bytes.
	maxBodySize = 1 << 30
)

// callerHandler returns the handler for requests of callers.
func (a *Agent) callerHandler() http.Handler {
	handle := chain(a.handleCall, a.filterCount, a.filterContract, a.filterTicketIssue, a.filterBody, a.filterDeadline, a.filterTicket)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handle(&call{w: &responseWriter{ResponseWriter: w}, r: r})
	})
}

// filterCount counts calls and responses, and adds each call to the retry budget.
func (a *Agent) filterCount(next handler) handler {
	return func(c *call) {
		a.counters.Add("arrived", 1)
		a.requests.recordRequest()
		defer func() {
			if p := recover(); p != nil {
				a.counters.Add("cut", 1)
				panic(p)
			}
			a.counters.Add("answered_"+strconv.Itoa(c.w.status), 1)
		}()
		next(c)
	}
}

// filterContract sets a call's contract and the properties that depend on it, and refuses the call if the contract is
// retired.
func (a *Agent) filterContract(next handler) handler {
	return func(c *call) {
		c.record = a.service.get().record
		if c.record.Retired {
			c.refuse(refusal{status: http.StatusGone, runStatus: contr.RunNot, reason: "the service has ended"})
			return
		}
		c.idempotent = c.record.Contract.IsIdempotent(c.r.Method)
		c.stream = c.record.Contract.IsStream(c.r.URL.Path)
		next(c)
	}
}

// filterTicketIssue handles requests for new tickets.
func (a *Agent) filterTicketIssue(next handler) handler {
	return func(c *call) {
		if c.r.URL.Path != contr.TicketPath {
			next(c)
			return
		}
		n, err := strconv.Atoi(c.r.URL.Query().Get("n"))
		if err != nil || n < 1 || n > contr.MaxTickets {
			reason := fmt.Sprintf("n = %q: must be 1 to %d", c.r.URL.Query().Get("n"), contr.MaxTickets)
			c.refuse(refusal{status: http.StatusBadRequest, runStatus: contr.RunNot, reason: reason})
			return
		}
		for _, ticket := range a.issueTickets(n) {
			_, _ = fmt.Fprintln(c.w, ticket) // A caller that has disconnected needs no tickets.
		}
	}
}

// bodilessMethods are the methods whose requests have no body unless they state its length.
var bodilessMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true, http.MethodDelete: true,
}

// filterBody limits the size of a request body.
func (a *Agent) filterBody(next handler) handler {
	return func(c *call) {
		if c.r.ContentLength > maxBodySize {
			reason := fmt.Sprintf("the body has %d bytes, at most %d are taken", c.r.ContentLength, maxBodySize)
			c.refuse(refusal{status: http.StatusRequestEntityTooLarge, runStatus: contr.RunNot, reason: reason})
			return
		}
		if c.r.ContentLength < 0 && bodilessMethods[c.r.Method] {
			c.r.ContentLength = 0 // In HTTP/3, a request without a body need not state a length.
		}
		c.body = &requestBody{source: http.MaxBytesReader(c.w, c.r.Body, maxBodySize), size: c.r.ContentLength}
		next(c)
	}
}

// filterDeadline sets the deadline of a call from the caller's timeout, or else from the contract. A stream has none unless
// the caller sets one.
func (a *Agent) filterDeadline(next handler) handler {
	return func(c *call) {
		timeout := c.record.Contract.Deadline.Std()
		text := c.r.Header.Get(contr.HeaderTimeout)
		if text != "" {
			d, err := time.ParseDuration(text)
			if err != nil || d <= 0 || d > contr.MaxDeadline {
				reason := fmt.Sprintf("%s = %q: must be a duration above 0s and at most %s", contr.HeaderTimeout, text, contr.MaxDeadline)
				c.refuse(refusal{status: http.StatusBadRequest, runStatus: contr.RunNot, reason: reason})
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

// maxHandovers is the maximum number of attempts to hand a request over before it runs or waits here.
const maxHandovers = 2

// handleCall hands a call over to a peer or runs it at the backend server.
func (a *Agent) handleCall(c *call) {
	ctx, cancel := c.context()
	defer cancel()
	if c.stream && c.mode != modeFreeSlot {
		a.runStream(ctx, c)
		return
	}
	if c.mode == modeCaller || c.mode == modeTicket {
		a.scheduler.recordDemand(c.class())
	}
	for range maxHandovers {
		peer, reason := a.choosePeer(c)
		if reason == offer.RunLocally {
			break
		}
		if a.tryPeer(ctx, c, peer, reason) {
			return
		}
	}
	if a.isDraining() {
		a.refuseBusy(c, "this server takes no new work and no other one has room")
		return
	}
	a.runLocally(ctx, c)
}

// context returns the context of a call. A request with a ticket continues if its caller disconnects, so that a retry gets
// the response.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx := c.r.Context()
	if c.w.keepCopy {
		ctx = context.WithoutCancel(ctx)
	}
	if c.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// isDraining reports whether the backend server gets no new requests.
func (a *Agent) isDraining() bool { return a.draining.Load() }

// choosePeer decides whether a call is handed over, and to which peer. A call that a peer handed over in modeFreeSlot or
// modeQueue isn't handed over again.
func (a *Agent) choosePeer(c *call) (peer netip.AddrPort, reason offer.Reason) {
	if c.mode == modeFreeSlot || c.mode == modeQueue {
		return netip.AddrPort{}, offer.RunLocally
	}
	load := a.scheduler.load()
	local := offer.LocalState{Utilization: load.Utilization, Demand: load.Demand, FreeSlots: load.FreeSlots, Slots: load.Slots, Unavailable: a.isDraining() || load.Failing}
	if local.Unavailable && !a.isDraining() && rand.Float64() < probeFraction {
		local.Unavailable = false // A failing server gets a few requests, so that its recovery is noticed.
	}
	return a.peers.choose(local, time.Now())
}

// probeFraction is the fraction of requests that aren't kept from a failing backend server.
const probeFraction = 0.1

// tryPeer hands a call over to a peer and reports whether the caller has got a response. If not, the call can be tried
// elsewhere.
func (a *Agent) tryPeer(ctx context.Context, c *call, peer netip.AddrPort, reason offer.Reason) bool {
	m := modeFreeSlot
	if reason == offer.Unavailable {
		m = modeQueue
	}
	rereadable, err := c.body.buffer()
	if err != nil {
		c.refuse(refusal{status: http.StatusBadRequest, runStatus: contr.RunNot, reason: err.Error()})
		return true
	}
	if !rereadable && m == modeFreeSlot {
		return false // A body that can be sent only once isn't offered to a peer that may have no free slot.
	}
	res := a.handOver(ctx, c, peer, m)
	switch res.outcome {
	case outcomeCompleted:
		a.counters.Add("handed_over", 1)
		return true
	case outcomeRejected:
		a.counters.Add("handover_rejected", 1)
		if !c.body.consumed() {
			return false
		}
		a.refuseBusy(c, "no server had room")
		return true
	}
	c.mayHaveRun = c.mayHaveRun || res.outcome == outcomeUnknown
	a.peers.recordFailure(peer, time.Now())
	a.log.Info("a peer didn't answer a request", zap.Stringer("peer", peer), zap.String("class", c.class()), zap.String("mode", string(m)),
		zap.Bool("may_have_run", res.outcome == outcomeUnknown), zap.Error(res.err))
	if a.mayRetry(c, res) {
		return false
	}
	a.refuseFailed(ctx, c, res)
	return true
}

// mayRetry reports whether a failed call may be tried again. If so, it takes a retry from the budget.
func (a *Agent) mayRetry(c *call, res result) bool {
	safe := res.outcome == outcomeNotRun || c.idempotent
	if !safe || c.w.wroteHeader || c.body.consumed() {
		return false
	}
	return a.requests.allowRetry()
}

// refuseFailed refuses a call after a failed attempt.
func (a *Agent) refuseFailed(ctx context.Context, c *call, res result) {
	if c.w.wroteHeader {
		c.abort()
	}
	switch {
	case res.outcome == outcomeNotRun || res.outcome == outcomeRejected:
		a.refuseBusy(c, "no server could be reached")
	case ctx.Err() != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, runStatus: contr.RunUnknown, reason: "the deadline passed while the request ran"})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, runStatus: contr.RunUnknown, reason: "the server didn't answer"})
	}
}

// refuseBusy refuses a call that hasn't run for lack of capacity, with a randomized Retry-After.
func (a *Agent) refuseBusy(c *call, reason string) {
	retry := minRetryAfter + a.scheduler.expectedWait() + time.Duration(rand.Int64N(int64(retryAfterJitter)))
	c.refuse(refusal{status: http.StatusServiceUnavailable, runStatus: contr.RunNot, reason: reason, retryAfter: retry})
}

// runLocally runs a call at this agent's backend server when it gets a slot. A call that waits may be handed over instead.
func (a *Agent) runLocally(ctx context.Context, c *call) {
	job := a.scheduler.newJob(c.class(), c.deadline)
	if c.mode == modeFreeSlot {
		if !a.scheduler.tryStart(job) {
			a.reject(c)
			return
		}
		a.accept(c)
		a.runJob(ctx, c, job)
		return
	}
	for {
		switch a.awaitSlot(ctx, job) {
		case eventStart:
			a.runJob(ctx, c, job)
			return
		case eventRefuse:
			a.refuseBusy(c, "the request can't be answered before its deadline")
			return
		}
		if peer, reason := a.choosePeer(c); reason != offer.RunLocally && a.tryPeer(ctx, c, peer, reason) {
			return
		}
		arrived := job.Arrived
		job = a.scheduler.newJob(job.Class, job.Deadline)
		job.Arrived = arrived
	}
}

// awaitSlot waits until a job may start, is refused, or should be offered to a peer.
func (a *Agent) awaitSlot(ctx context.Context, job admit.Job) queueEvent {
	verdict, ch := a.scheduler.arrive(job)
	switch verdict {
	case admit.Start:
		return eventStart
	case admit.Refuse:
		return eventRefuse
	}
	a.counters.Add("queued", 1)
	select {
	case event := <-ch:
		return event
	case <-ctx.Done():
	}
	if a.scheduler.cancel(job) {
		return eventRefuse
	}
	return <-ch // The job was dispatched before it could be canceled.
}

// runJob runs a call whose job has a slot.
func (a *Agent) runJob(ctx context.Context, c *call, job admit.Job) {
	finished := false
	finish := func(failed bool) {
		if !finished {
			finished = true
			a.scheduler.finish(job, failed)
			a.reportFreeSlots()
		}
	}
	defer finish(false)
	res := a.backend.send(ctx, c)
	finish(res.failed)
	if res.outcome == outcomeCompleted {
		return
	}
	c.mayHaveRun = c.mayHaveRun || res.outcome == outcomeUnknown
	a.log.Info("a request to the backend server failed", zap.Bool("may_have_run", res.outcome == outcomeUnknown), zap.Error(res.err))
	if c.mode == modeCaller && a.mayRetry(c, res) {
		if peer, reason := a.anyPeer(); reason != offer.RunLocally && a.tryPeer(ctx, c, peer, reason) {
			return
		}
	}
	a.refuseFailed(ctx, c, res)
}

// anyPeer chooses a peer as if the local server were unavailable.
func (a *Agent) anyPeer() (netip.AddrPort, offer.Reason) {
	return a.peers.choose(offer.LocalState{Unavailable: true, Slots: a.scheduler.load().Slots}, time.Now())
}

// runStream runs a call with a streamed response, which takes no slot.
func (a *Agent) runStream(ctx context.Context, c *call) {
	if c.mode == modeCaller && a.isDraining() {
		if peer, reason := a.anyPeer(); reason != offer.RunLocally && a.tryPeer(ctx, c, peer, reason) {
			return
		}
		a.refuseBusy(c, "this server takes no new work and no other one has room")
		return
	}
	a.scheduler.addStreams(1)
	defer a.scheduler.addStreams(-1)
	if res := a.backend.send(ctx, c); res.outcome != outcomeCompleted {
		a.refuseFailed(ctx, c, res)
	}
}
