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
	backendDialTimeout = time.Second
	copyBufferSize     = 32 << 10
	ownHeaderPrefix    = "Bergamot-"
)

// fate is what is known of a request that was sent on.
type fate uint8

const (
	// fateAnswered is a request whose whole answer has been passed on.
	fateAnswered fate = iota + 1
	// fateNotRun is a request of which the receiver has seen nothing.
	fateNotRun
	// fateRejected is a request that a peer had no place for.
	fateRejected
	// fateUnknown is a request that may have run.
	fateUnknown
)

// result is the outcome of sending a request on.
type result struct {
	fate fate
	// failed says that the receiver itself answered by a server error, or didn't answer.
	failed bool
	err    error
}

// backend sends requests to the backend server.
type backend struct {
	base *url.URL
	http *http.Transport
}

func newBackend(base *url.URL) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{base: base, http: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

func (b *backend) close() { b.http.CloseIdleConnections() }

// send runs a call at the backend server and passes its answer on.
func (b *backend) send(ctx context.Context, c *call) result {
	var reached atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) {
			if !c.idempotent { // The transport then tries another connection only when nothing was written to the former one.
				reached.Store(false)
			}
		},
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	}
	out := outgoing(httptrace.WithClientTrace(ctx, trace), c, b.base)
	out.Header.Set(contr.HeaderTimeout, time.Until(c.deadline).String())
	if c.deadline.IsZero() {
		out.Header.Del(contr.HeaderTimeout)
	}
	resp, err := b.http.RoundTrip(out)
	if err != nil {
		f := fateNotRun
		if reached.Load() {
			f = fateUnknown
		}
		return result{fate: f, failed: ctx.Err() == nil, err: errors.Wrap(err, "agent: backend server")}
	}
	defer func() { _ = resp.Body.Close() }()
	removeOwn(resp.Header)
	return pass(c, resp)
}

// outgoing returns the request to be sent on for a call, below base.
func outgoing(ctx context.Context, c *call, base *url.URL) *http.Request {
	u := *c.r.URL
	u.Scheme, u.Host = base.Scheme, base.Host
	out := c.r.Clone(ctx)
	out.URL = &u
	out.RequestURI = ""
	out.Close = false
	out.Header = c.r.Header.Clone()
	removeHops(out.Header)
	removeOwn(out.Header)
	out.Body = c.body.reader()
	if c.r.ContentLength == 0 && c.idempotent {
		out.Body = nil // The transport may repeat it by itself.
	}
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		out.Header.Set("X-Forwarded-For", host)
	}
	return out
}

// pass passes an answer on to the call's sender.
func pass(c *call, resp *http.Response) result {
	h := c.w.Header()
	removeHops(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if c.mayHaveRun && h.Get(contr.HeaderRun) == contr.RunNot {
		h.Set(contr.HeaderRun, contr.RunUnknown) // True of this attempt, not of the one before.
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	c.w.WriteHeader(resp.StatusCode)
	c.w.Flush()
	if err := copyBody(c.w, resp.Body); err != nil {
		return result{fate: fateUnknown, failed: failed, err: err}
	}
	return result{fate: fateAnswered, failed: failed}
}

// copyBody copies an answer's body and sends each part on at once.
func copyBody(w *answerWriter, body io.Reader) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "agent: send answer")
			}
			w.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "agent: read answer")
		}
	}
}

// hopHeaders are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHops(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// removeOwn removes the system's own headers, which neither callers nor backend servers may set for each other.
func removeOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			h.Del(name)
		}
	}
}
