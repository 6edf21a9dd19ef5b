package agent

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/ticket"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// mode tells how a request from a peer may be treated.
type mode string

const (
	// modeCaller is a request that came by a caller's own flow.
	modeCaller mode = ""
	// modeSpare runs only if a slot is free at once.
	modeSpare mode = "spare"
	// modeQueue may wait for a slot.
	modeQueue mode = "queue"
	// modeTicket brings a request to the agent that minted its ticket.
	modeTicket mode = "ticket"
)

// call is a request on its way through the filters.
type call struct {
	w          *answerWriter
	r          *http.Request
	body       *body
	mode       mode
	record     contr.Record
	deadline   time.Time
	idempotent bool
	stream     bool
	// mayHaveRun says that an attempt at the request may have run, so that it can't be called not run any more.
	mayHaveRun bool
	// handover identifies the request among those that its sender handed over; empty for a caller's.
	handover string
}

// handler handles a call.
type handler func(*call)

// filter wraps a handler by one step of the chain.
type filter func(next handler) handler

// chain returns last behind the filters, the first one outermost.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// class returns the group of requests that are expected to take as long as this one.
func (c *call) class() string {
	path := strings.TrimPrefix(c.r.URL.Path, "/")
	first, _, _ := strings.Cut(path, "/")
	return c.r.Method + " " + first
}

// refusal is an answer of the system's own.
type refusal struct {
	code int
	run  string
	// arrival is what became of this arrival, where run tells of the ticket; see contr.HeaderArrival.
	arrival string
	reason  string
	// retry is how long the caller should stay away; zero for an answer that won't change.
	retry time.Duration
}

// refuse answers a call by a refusal. Where the answer has begun already, it cuts it.
func (c *call) refuse(f refusal) {
	if c.w.wrote {
		c.cut()
	}
	if f.run == contr.RunNot && c.mayHaveRun {
		f.run = contr.RunUnknown
	}
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.run != "" {
		h.Set(contr.HeaderRun, f.run)
	}
	if f.arrival != "" {
		h.Set(contr.HeaderArrival, f.arrival)
	}
	if f.retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retry.Seconds()))))
	}
	c.w.WriteHeader(f.code)
	_, _ = c.w.Write([]byte(f.reason + "\n")) // A caller that is gone needs no answer.
}

// cut ends an answer that can't be completed, in a way that the caller doesn't take for its end.
func (*call) cut() { panic(http.ErrAbortHandler) }

// answerWriter passes an answer to the caller and keeps a copy of it where one is wanted.
type answerWriter struct {
	http.ResponseWriter
	wrote bool
	code  int
	// keep says that a copy is wanted; it is given up for a large body.
	keep bool
	body []byte
	// beforeAnswer is called before the header of the final answer is sent; it may be nil.
	beforeAnswer func()
	// gone says that the caller doesn't take the answer any more.
	gone bool
}

// WriteHeader sends the answer's header.
func (w *answerWriter) WriteHeader(code int) {
	const firstFinal = 200
	if code >= firstFinal {
		if w.wrote {
			return
		}
		w.wrote, w.code = true, code
		if w.beforeAnswer != nil {
			w.beforeAnswer()
		}
	}
	w.ResponseWriter.WriteHeader(code)
}

// Write sends a part of the answer's body. With a copy kept, it goes on when the caller is gone.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	if w.keep && len(w.body) <= ticket.MaxResponseSize {
		w.body = append(w.body, p...)
	}
	if w.gone {
		return len(p), nil
	}
	n, err := w.ResponseWriter.Write(p)
	if err != nil && w.keep {
		w.gone = true
		return len(p), nil
	}
	return n, err
}

// Flush sends what is buffered.
func (w *answerWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok && !w.gone {
		f.Flush()
	}
}

// answer returns the copy of the answer.
func (w *answerWriter) answer() ticket.Response {
	h := w.Header().Clone()
	h.Del(headerLoad) // It told a peer of the load at that time.
	return ticket.Response{StatusCode: w.code, Header: h, Body: w.body}
}
