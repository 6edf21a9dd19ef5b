package agent

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/retry"
	"github.com/bergamotrun/bergamotrun/internal/ticket"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// maxTrackedHandovers bounds the IDs of peers' requests that are recorded as begun, and those that are recorded as voided.
const maxTrackedHandovers = 1 << 16

// requestTracker holds the retry budget, the ledger of tickets and the IDs of peers' requests. It lasts as long as this
// incarnation and is safe for concurrent use.
type requestTracker struct {
	mu          sync.Mutex
	retryBudget retry.Budget
	ledger      *ticket.Ledger
	// handovers has the IDs of peers' requests: true for begun, false for voided. begunOrder and voidedOrder have them by age:
	// few requests are voided, and many begun ones must not displace them.
	handovers               map[string]bool
	begunOrder, voidedOrder []string
	// running is the number of peers' requests in progress.
	running int
	// idle is not nil once closeWhenIdle was called, and closed when no request of a peer has been in progress since.
	idle chan struct{}
	// closed is true if no request of a peer begins any more.
	closed bool
}

func newRequestTracker() *requestTracker {
	return &requestTracker{ledger: ticket.NewLedger(), handovers: make(map[string]bool)}
}

// recordRequest adds a request to the retry budget.
func (t *requestTracker) recordRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryBudget.RecordRequest()
}

// allowRetry takes a retry from the budget, and reports whether there was one.
func (t *requestTracker) allowRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryBudget.Allow()
}

// begin records that a peer's request begins, and reports false if it has begun before or was voided, or if the tracker is
// closed. If it reports true, end must be called.
func (t *requestTracker) begin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.handovers[id]; ok || t.closed {
		return false
	}
	t.record(id, true)
	t.running++
	return true
}

// end records that a peer's request has ended.
func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.closeIfIdle()
}

// closeIfIdle closes the tracker if closeWhenIdle waits for that and no request is in progress. The caller holds the lock.
func (t *requestTracker) closeIfIdle() {
	if t.idle != nil && !t.closed && t.running == 0 {
		t.closed = true
		close(t.idle)
	}
}

// closeWhenIdle waits until no request of a peer is in progress, and lets none begin from then on. If ctx is done before,
// none begins from then on either, and the error is that of ctx. It must be called once.
func (t *requestTracker) closeWhenIdle(ctx context.Context) error {
	t.mu.Lock()
	idle := make(chan struct{})
	t.idle = idle
	t.closeIfIdle()
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return errors.Wrap(ctx.Err(), "agent: requests of peers in progress")
}

// void prevents a peer's request from beginning, and reports false if it has begun already.
func (t *requestTracker) void(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if begun, ok := t.handovers[id]; ok {
		return !begun
	}
	t.record(id, false)
	return true
}

func (t *requestTracker) record(id string, begun bool) {
	order := &t.voidedOrder
	if begun {
		order = &t.begunOrder
	}
	if len(*order) >= maxTrackedHandovers {
		delete(t.handovers, (*order)[0])
		*order = (*order)[1:]
	}
	t.handovers[id] = begun
	*order = append(*order, id)
}

// issueTickets returns n new tickets.
func (a *Agent) issueTickets(n int) []string {
	self := a.ownRecord()
	a.requests.mu.Lock()
	first := a.requests.ledger.Issue(n)
	a.requests.mu.Unlock()
	texts := make([]string, n)
	for i := range texts {
		texts[i] = a.tickets.Encode(ticket.Ticket{
			Service:     self.Service,
			Agent:       self.Control,
			Incarnation: self.Incarnation,
			Serial:      first + uint64(i),
		})
	}
	return texts
}

// filterTicket makes a request that isn't idempotent and has a ticket run at most once, and requires the ticket if the
// contract does.
func (a *Agent) filterTicket(next handler) handler {
	return func(c *call) {
		text := c.r.Header.Get(contr.HeaderTicket)
		switch {
		case c.idempotent || c.mode == modeFreeSlot || c.mode == modeQueue:
			next(c)
		case text != "":
			a.runWithTicket(c, text, next)
		case c.record.Contract.Tickets:
			reason := "a " + c.r.Method + " request needs a ticket in " + contr.HeaderTicket + "; get some from " + contr.TicketPath
			c.refuse(refusal{status: http.StatusPreconditionRequired, runStatus: contr.RunNot, reason: reason})
		default:
			next(c)
		}
	}
}

// runWithTicket runs a request here if this agent issued its ticket, and otherwise hands it over to the agent that did.
func (a *Agent) runWithTicket(c *call, text string, next handler) {
	t, err := a.tickets.Decode(text)
	if err != nil || t.Service != c.record.Number {
		reason := contr.HeaderTicket + " = \"" + text + "\": not a ticket of this service"
		c.refuse(refusal{status: http.StatusBadRequest, runStatus: contr.RunNot, reason: reason})
		return
	}
	self := a.ownRecord()
	switch {
	case t.Agent == self.Control && t.Incarnation == self.Incarnation:
		a.runOnce(c, t.Serial, next)
	case t.Agent == self.Control || c.mode == modeTicket || a.service.get().hasEnded(t.Agent, t.Incarnation):
		a.refuseIssuerEnded(c)
	default:
		c.issuerIncarnation = t.Incarnation
		a.handOverToIssuer(c, t.Agent)
	}
}

func (a *Agent) refuseIssuerEnded(c *call) {
	reason := "the agent that minted the ticket has ended: the request may have run, and will not be run again"
	c.refuse(refusal{status: http.StatusConflict, runStatus: contr.RunUnknown, arrivalStatus: contr.RunNot, reason: reason})
}

// handOverToIssuer hands a request over to the agent that issued its ticket.
func (a *Agent) handOverToIssuer(c *call, issuer netip.AddrPort) {
	ctx, cancel := c.context()
	defer cancel()
	res := a.handOver(ctx, c, issuer, modeTicket)
	if res.outcome == outcomeCompleted {
		return
	}
	if c.w.wroteHeader {
		c.abort()
	}
	a.peers.recordFailure(issuer, time.Now())
	f := refusal{
		status: http.StatusServiceUnavailable, runStatus: contr.RunUnknown, retryAfter: minRetryAfter,
		reason: "the agent that minted the ticket doesn't answer: the request may have run before",
	}
	if res.outcome == outcomeNotRun || res.outcome == outcomeRejected {
		f.arrivalStatus = contr.RunNot
	}
	c.refuse(f)
}

// runOnce runs a request whose ticket was issued here, or responds according to the ledger if the ticket was used before.
func (a *Agent) runOnce(c *call, serial uint64, next handler) {
	a.requests.mu.Lock()
	status, response := a.requests.ledger.Begin(serial)
	a.requests.mu.Unlock()
	switch status {
	case ticket.Unused:
		a.runFirstTime(c, serial, next)
	case ticket.Running:
		c.refuse(refusal{status: http.StatusConflict, runStatus: contr.RunRunning, reason: "the request runs", retryAfter: minRetryAfter})
	case ticket.Completed:
		a.replayResponse(c, response)
	case ticket.OutcomeUnknown:
		reason := "the ticket was used: the request may have run, and its answer is not held"
		c.refuse(refusal{status: http.StatusConflict, runStatus: contr.RunUnknown, arrivalStatus: contr.RunNot, reason: reason})
	default:
		reason := contr.HeaderTicket + ": the serial was never given out"
		c.refuse(refusal{status: http.StatusBadRequest, runStatus: contr.RunNot, reason: reason})
	}
}

func (a *Agent) replayResponse(c *call, response ticket.Response) {
	h := c.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(contr.HeaderReplayed, "true")
	c.w.WriteHeader(response.StatusCode)
	_, _ = c.w.Write(response.Body) // A caller that has disconnected may send the request again.
}

// runFirstTime runs a request for the first time and records the outcome in the ledger.
func (a *Agent) runFirstTime(c *call, serial uint64, next handler) {
	completed := false
	defer func() {
		if !completed { // The handler was aborted: the request may have run.
			a.requests.mu.Lock()
			a.requests.ledger.Fail(serial)
			a.requests.mu.Unlock()
		}
	}()
	c.w.keepCopy = true
	next(c)
	completed = true
	a.requests.mu.Lock()
	defer a.requests.mu.Unlock()
	switch c.w.Header().Get(contr.HeaderRun) {
	case contr.RunNot:
		a.requests.ledger.Release(serial)
	case "":
		a.requests.ledger.Complete(serial, c.w.storedResponse())
	default:
		a.requests.ledger.Fail(serial)
	}
}
