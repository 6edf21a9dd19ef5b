package agent

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/retry"
	"github.com/bergamotrun/bergamotrun/internal/ticket"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// maxHandovers bounds the requests of peers that are remembered as begun or voided.
const maxHandovers = 1 << 16

// books hold what this incarnation must remember of requests. They are safe for concurrent use.
type books struct {
	mu     sync.Mutex
	budget retry.Budget
	ledger *ticket.Ledger
	// begun holds the requests of peers: true for begun, false for voided.
	begun map[string]bool
	order []string
}

func newBooks() *books {
	return &books{ledger: ticket.NewLedger(), begun: make(map[string]bool)}
}

func (b *books) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

func (b *books) mayRepeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow()
}

// begin notes that a peer's request begins; it reports false for one that has begun or was voided.
func (b *books) begin(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.begun[id]; ok {
		return false
	}
	b.note(id, true)
	return true
}

// void makes sure that a peer's request doesn't begin; it reports false for one that has begun.
func (b *books) void(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun, ok := b.begun[id]; ok {
		return !begun
	}
	b.note(id, false)
	return true
}

func (b *books) note(id string, begun bool) {
	if len(b.order) >= maxHandovers {
		delete(b.begun, b.order[0])
		b.order = b.order[1:]
	}
	b.begun[id] = begun
	b.order = append(b.order, id)
}

// mint returns n new tickets.
func (a *Agent) mint(n int) []string {
	self := a.record()
	a.books.mu.Lock()
	first := a.books.ledger.Issue(n)
	a.books.mu.Unlock()
	out := make([]string, n)
	for i := range out {
		out[i] = a.tickets.Encode(ticket.Ticket{
			Service:     self.Service,
			Agent:       self.Control,
			Incarnation: self.Incarnation,
			Serial:      first + uint64(i),
		})
	}
	return out
}

// filterTicket makes a request that is not idempotent run at most once.
func (a *Agent) filterTicket(next handler) handler {
	return func(c *call) {
		text := c.r.Header.Get(contr.HeaderTicket)
		switch {
		case c.idempotent || c.mode == modeSpare || c.mode == modeQueue:
			next(c)
		case text != "":
			a.runTicket(c, text, next)
		case c.record.Contract.Tickets:
			reason := "a " + c.r.Method + " request needs a ticket in " + contr.HeaderTicket + "; get some from " + contr.TicketPath
			c.refuse(refusal{code: http.StatusPreconditionRequired, run: contr.RunNot, reason: reason})
		default:
			next(c)
		}
	}
}

// runTicket runs a request with a ticket at the agent that minted it.
func (a *Agent) runTicket(c *call, text string, next handler) {
	t, err := a.tickets.Decode(text)
	if err != nil || t.Service != c.record.Number {
		reason := contr.HeaderTicket + " = \"" + text + "\": not a ticket of this service"
		c.refuse(refusal{code: http.StatusBadRequest, run: contr.RunNot, reason: reason})
		return
	}
	self := a.record()
	switch {
	case t.Agent == self.Control && t.Incarnation == self.Incarnation:
		a.runOnce(c, t.Serial, next)
	case t.Agent == self.Control || c.mode == modeTicket || a.know.get().hasEnded(t.Agent, t.Incarnation):
		a.refuseGone(c)
	default:
		a.runAtMinter(c, t.Agent)
	}
}

func (a *Agent) refuseGone(c *call) {
	reason := "the agent that minted the ticket has ended: the request may have run, and will not be run again"
	c.refuse(refusal{code: http.StatusConflict, run: contr.RunUnknown, arrival: contr.RunNot, reason: reason})
}

// runAtMinter brings a request to the agent that minted its ticket.
func (a *Agent) runAtMinter(c *call, minter netip.AddrPort) {
	ctx, cancel := c.context()
	defer cancel()
	res := a.handOver(ctx, c, minter, modeTicket)
	if res.fate == fateAnswered {
		return
	}
	if c.w.wrote {
		c.cut()
	}
	a.peers.failed(minter, time.Now())
	f := refusal{
		code: http.StatusServiceUnavailable, run: contr.RunUnknown, retry: retryFloor,
		reason: "the agent that minted the ticket doesn't answer: the request may have run before",
	}
	if res.fate == fateNotRun || res.fate == fateRejected {
		f.arrival = contr.RunNot
	}
	c.refuse(f)
}

// runOnce runs a request whose ticket was minted here, or answers by what is known of it.
func (a *Agent) runOnce(c *call, serial uint64, next handler) {
	a.books.mu.Lock()
	status, answer := a.books.ledger.Begin(serial)
	a.books.mu.Unlock()
	switch status {
	case ticket.Unused:
		a.runFresh(c, serial, next)
	case ticket.Running:
		c.refuse(refusal{code: http.StatusConflict, run: contr.RunRunning, reason: "the request runs", retry: retryFloor})
	case ticket.Completed:
		a.replay(c, answer)
	case ticket.OutcomeUnknown:
		reason := "the ticket was used: the request may have run, and its answer is not held"
		c.refuse(refusal{code: http.StatusConflict, run: contr.RunUnknown, arrival: contr.RunNot, reason: reason})
	default:
		reason := contr.HeaderTicket + ": the serial was never given out"
		c.refuse(refusal{code: http.StatusBadRequest, run: contr.RunNot, reason: reason})
	}
}

func (a *Agent) replay(c *call, answer ticket.Response) {
	h := c.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set(contr.HeaderReplayed, "true")
	c.w.WriteHeader(answer.StatusCode)
	_, _ = c.w.Write(answer.Body) // A caller that is gone may repeat once more.
}

// runFresh runs a request for the first time and enters the outcome in the ledger.
func (a *Agent) runFresh(c *call, serial uint64, next handler) {
	settled := false
	defer func() {
		if !settled { // The handler was cut: the request may have run.
			a.books.mu.Lock()
			a.books.ledger.Fail(serial)
			a.books.mu.Unlock()
		}
	}()
	c.w.keep = true
	next(c)
	settled = true
	a.books.mu.Lock()
	defer a.books.mu.Unlock()
	switch c.w.Header().Get(contr.HeaderRun) {
	case contr.RunNot:
		a.books.ledger.Release(serial)
	case "":
		a.books.ledger.Complete(serial, c.w.answer())
	default:
		a.books.ledger.Fail(serial)
	}
}
