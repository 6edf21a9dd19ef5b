package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	backendDialTimeout   = time.Second
	copyBufferSize       = 32 << 10
	internalHeaderPrefix = "Bergamot-"
)

// outcome is the outcome of an attempt to send a request to the backend server or to a peer.
type outcome uint8

const (
	// outcomeCompleted means that the complete response has been written to the sender of the request.
	outcomeCompleted outcome = iota + 1
	// outcomeNotRun means that the request certainly didn't run: the receiver wasn't reached or has voided it.
	outcomeNotRun
	// outcomeRejected means that a peer rejected the request without running it.
	outcomeRejected
	// outcomeUnknown means that the request may have run.
	outcomeUnknown
)

// result is the result of an attempt to send a request to the backend server or to a peer.
type result struct {
	outcome outcome
	// failed is true if the receiver responded with a server error, or if the request to the backend server failed for a
	// reason other than its cancellation or deadline.
	failed bool
	err    error
}

// backend sends requests to the backend server.
type backend struct {
	baseURL   *url.URL
	transport *http.Transport
}

func newBackend(baseURL *url.URL) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{baseURL: baseURL, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

func (b *backend) close() { b.transport.CloseIdleConnections() }

// send sends a call to the backend server and writes the response to the sender of the call.
func (b *backend) send(ctx context.Context, c *call) result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) {
			if !c.idempotent { // The transport then tries another connection only if it wrote nothing to the previous one.
				connected.Store(false)
			}
		},
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req := newOutgoingRequest(httptrace.WithClientTrace(ctx, trace), c, b.baseURL)
	req.Header.Set(contr.HeaderTimeout, time.Until(c.deadline).String())
	if c.deadline.IsZero() {
		req.Header.Del(contr.HeaderTimeout)
	}
	resp, err := b.transport.RoundTrip(req)
	if err != nil {
		o := outcomeNotRun
		if connected.Load() {
			o = outcomeUnknown
		}
		return result{outcome: o, failed: ctx.Err() == nil, err: errors.Wrap(err, "agent: request to the backend server")}
	}
	defer func() { _ = resp.Body.Close() }()
	removeInternalHeaders(resp.Header)
	return writeResponse(c, resp)
}

// newOutgoingRequest returns the request that sends a call to the host of baseURL.
func newOutgoingRequest(ctx context.Context, c *call, baseURL *url.URL) *http.Request {
	u := *c.r.URL
	u.Scheme, u.Host = baseURL.Scheme, baseURL.Host
	req := c.r.Clone(ctx)
	req.URL = &u
	req.RequestURI = ""
	req.Close = false
	req.Header = c.r.Header.Clone()
	removeHopByHopHeaders(req.Header)
	removeInternalHeaders(req.Header)
	req.Body = c.body.newReader()
	if c.r.ContentLength == 0 && c.idempotent {
		req.Body = nil // Allows the transport to retry the request.
	}
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		req.Header.Set("X-Forwarded-For", host)
	}
	return req
}

// writeResponse writes a response to the sender of the call.
func writeResponse(c *call, resp *http.Response) result {
	h := c.w.Header()
	removeHopByHopHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if c.mayHaveRun && h.Get(contr.HeaderRun) == contr.RunNot {
		h.Set(contr.HeaderRun, contr.RunUnknown) // The header covers this attempt only; an earlier one may have run.
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	c.w.WriteHeader(resp.StatusCode)
	c.w.Flush()
	if err := copyBody(c.w, resp.Body); err != nil {
		return result{outcome: outcomeUnknown, failed: failed, err: err}
	}
	return result{outcome: outcomeCompleted, failed: failed}
}

// copyBody copies the body of a response and flushes after each read.
func copyBody(w *responseWriter, body io.Reader) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "agent: write response")
			}
			w.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "agent: read response")
		}
	}
}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, section 7.6.1), and Expect.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// removeInternalHeaders removes the system's own headers, which neither callers nor backend servers may send to each other.
func removeInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			h.Del(name)
		}
	}
}
