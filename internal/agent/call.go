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

// mode determines how a request from a peer may be handled.
type mode string

const (
	// modeCaller marks a request that a caller sent to this agent.
	modeCaller mode = ""
	// modeFreeSlot allows the request to run only if a slot is free now.
	modeFreeSlot mode = "spare"
	// modeQueue allows the request to wait for a slot.
	modeQueue mode = "queue"
	// modeTicket marks a request that is handed over to the agent that issued its ticket.
	modeTicket mode = "ticket"
)

// call is a request with its response and the properties that the filters set.
type call struct {
	w    *responseWriter
	r    *http.Request
	body *requestBody
	mode mode
	// record is the record of the contract in force when the call arrived.
	record     contr.Record
	deadline   time.Time
	idempotent bool
	stream     bool
	// mayHaveRun is true if an earlier attempt may have run, so that the response must not say that the request didn't run.
	mayHaveRun bool
	// handoverID identifies a request that a peer handed over; it is empty for a caller's request.
	handoverID string
	// issuerIncarnation is the incarnation of the agent that issued the request's ticket, if the request is handed over to it.
	issuerIncarnation uint64
}

// handler handles a call.
type handler func(*call)

// filter wraps a handler, as HTTP middleware does.
type filter func(next handler) handler

// chain wraps final with the filters; the first filter is the outermost.
func chain(final handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		final = filters[i](final)
	}
	return final
}

// class returns the method and the first path segment; requests of one class are expected to take equally long.
func (c *call) class() string {
	path := strings.TrimPrefix(c.r.URL.Path, "/")
	first, _, _ := strings.Cut(path, "/")
	return c.r.Method + " " + first
}

// refusal is a response with which the agent itself refuses a request.
type refusal struct {
	status int
	// runStatus is the value of contr.HeaderRun.
	runStatus string
	// arrivalStatus is the value of contr.HeaderArrival: the outcome of this attempt, where runStatus is that of the ticket.
	arrivalStatus string
	reason        string
	// retryAfter is how long the caller should wait before it retries; zero if a retry would get the same response.
	retryAfter time.Duration
}

// refuse responds to a call with a refusal. If the response has begun already, refuse aborts it.
func (c *call) refuse(f refusal) {
	if c.w.wroteHeader {
		c.abort()
	}
	if f.runStatus == contr.RunNot && c.mayHaveRun {
		f.runStatus = contr.RunUnknown
	}
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.runStatus != "" {
		h.Set(contr.HeaderRun, f.runStatus)
	}
	if f.arrivalStatus != "" {
		h.Set(contr.HeaderArrival, f.arrivalStatus)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	c.w.WriteHeader(f.status)
	_, _ = c.w.Write([]byte(f.reason + "\n")) // A caller that has disconnected needs no response.
}

// abort ends a response that can't be completed, such that the caller doesn't mistake it for a complete one.
func (*call) abort() { panic(http.ErrAbortHandler) }

// responseWriter writes a response and optionally keeps a copy of it.
type responseWriter struct {
	http.ResponseWriter
	wroteHeader bool
	status      int
	// keepCopy is true if the body is copied; the copy stops growing above ticket.MaxResponseSize, as it isn't stored then.
	keepCopy bool
	bodyCopy []byte
	// beforeFinalHeader, if not nil, is called before the header of the final (not 1xx) response is sent.
	beforeFinalHeader func()
	// clientGone is true if a write failed while a copy is kept, as after a disconnect; later writes only extend the copy.
	clientGone bool
}

// WriteHeader sends the header of an informational or of the final response.
func (w *responseWriter) WriteHeader(code int) {
	const firstFinalStatus = 200
	if code >= firstFinalStatus {
		if w.wroteHeader {
			return
		}
		w.wroteHeader, w.status = true, code
		if w.beforeFinalHeader != nil {
			w.beforeFinalHeader()
		}
	}
	w.ResponseWriter.WriteHeader(code)
}

// Write sends a part of the response body. If a copy is kept, Write succeeds even if the client has disconnected.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if w.keepCopy && len(w.bodyCopy) <= ticket.MaxResponseSize {
		w.bodyCopy = append(w.bodyCopy, p...)
	}
	if w.clientGone {
		return len(p), nil
	}
	n, err := w.ResponseWriter.Write(p)
	if err != nil && w.keepCopy {
		w.clientGone = true
		return len(p), nil
	}
	return n, err
}

// Flush sends buffered data.
func (w *responseWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok && !w.clientGone {
		f.Flush()
	}
}

// storedResponse returns the copy of the response.
func (w *responseWriter) storedResponse() ticket.Response {
	h := w.Header().Clone()
	h.Del(headerLoad) // The load is outdated when the response is replayed.
	return ticket.Response{StatusCode: w.status, Header: h, Body: w.bodyCopy}
}
