// Package caller is an HTTP/3 client for services behind bergamotrun. It gets tickets for requests that are not
// idempotent, and retries a request only if that can't run it twice.
package caller

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	defaultAttempts = 5
	// ticketsPerFetch is the number of tickets that the client requests at once from a service.
	ticketsPerFetch   = 16
	idleTimeout       = 20 * time.Second
	keepAliveInterval = 5 * time.Second
	handshakeTimeout  = 5 * time.Second
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = 5 * time.Second
)

// ErrNotRun reports that a request has not run in any attempt.
var ErrNotRun = errors.New("the request has not run")

// ErrUnknown reports that a request may have run. It can't be retried safely unless it is idempotent.
var ErrUnknown = errors.New("it is unknown whether the request ran")

// Options configure a Client.
type Options struct {
	// TLS configures the connections to services, including the verification of their certificates.
	TLS *tls.Config
	// Attempts is the maximum number of attempts per request; 0 means 5.
	Attempts int
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *http3.Transport

	mu sync.Mutex
	// tickets holds the unused tickets by host.
	tickets map[string][]string
}

// New returns a client. Close it after use.
func New(opts Options) *Client {
	if opts.Attempts == 0 {
		opts.Attempts = defaultAttempts
	}
	return &Client{
		opts:    opts,
		tickets: make(map[string][]string),
		transport: &http3.Transport{
			TLSClientConfig:    opts.TLS,
			DisableCompression: true,
			QUICConfig: &quic.Config{
				MaxIdleTimeout:       idleTimeout,
				KeepAlivePeriod:      keepAliveInterval,
				HandshakeIdleTimeout: handshakeTimeout,
			},
		},
	}
}

// Close closes the client's connections.
func (c *Client) Close() error { return c.transport.Close() }

// idempotentMethods are the methods that are retried without a ticket.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

// Do sends a request, retries it if that is safe, and returns the response. A request with a body must have GetBody, as
// set by http.NewRequest. It returns an error that wraps ErrNotRun or ErrUnknown if there is no response.
func (c *Client) Do(ctx context.Context, req *http.Request) (*http.Response, error) {
	e := &exchange{client: c, req: req.Clone(ctx)}
	e.ticketProvided = e.req.Header.Get(contr.HeaderTicket) != ""
	if err := c.addTicket(ctx, e.req); err != nil {
		return nil, err
	}
	e.mode = retryModeOf(e.req)
	for attempt := range c.opts.Attempts {
		resp, result, err := e.tryOnce(ctx)
		if result.final || err != nil {
			return resp, err
		}
		if attempt+1 == c.opts.Attempts || backOff(ctx, attempt, result) != nil {
			break
		}
	}
	if e.mayHaveRun {
		return nil, errors.Wrap(ErrUnknown, e.lastErr.Error())
	}
	return nil, e.lastErr
}

// exchange is a request and the state of its attempts.
type exchange struct {
	client *Client
	req    *http.Request
	mode   retryMode
	// ticketProvided reports whether the ticket came with the request. It may then have been used before.
	ticketProvided bool
	// mayHaveRun reports whether an attempt may have run.
	mayHaveRun bool
	lastErr    error
}

// tryOnce makes one attempt. If the outcome is final, the response or error is that of the request.
func (e *exchange) tryOnce(ctx context.Context) (*http.Response, outcome, error) {
	resp, err := e.client.send(ctx, e.req)
	result := classify(resp, err, e.mode)
	if result.ticketUnusable && !e.mayHaveRun && !e.ticketProvided {
		// The ticket was new, so no attempt has run and a retry with another ticket can't run the request twice.
		e.lastErr = result.err
		return nil, outcome{ticketReplaced: true}, e.client.replaceTicket(ctx, e.req)
	}
	if result.final && result.err != nil {
		return nil, result, result.err
	}
	if result.final {
		return resp, result, nil
	}
	e.mayHaveRun = e.mayHaveRun || result.mayHaveRun
	e.lastErr = result.err
	return nil, result, nil
}

// DoOnce sends a request once, with a ticket if it needs one. It returns the response unchanged, even if bergamotrun
// refused the request.
func (c *Client) DoOnce(ctx context.Context, req *http.Request) (*http.Response, error) {
	req = req.Clone(ctx)
	if err := c.addTicket(ctx, req); err != nil {
		return nil, err
	}
	return c.send(ctx, req)
}

// send makes one attempt, with the remaining time of ctx in HeaderTimeout if the request has no such header.
func (c *Client) send(ctx context.Context, req *http.Request) (*http.Response, error) {
	attempt := req.Clone(ctx)
	if req.GetBody != nil {
		body, err := req.GetBody()
		if err != nil {
			return nil, errors.Wrap(err, "caller: get body")
		}
		attempt.Body = body
	}
	if deadline, ok := ctx.Deadline(); ok && req.Header.Get(contr.HeaderTimeout) == "" {
		attempt.Header.Set(contr.HeaderTimeout, time.Until(deadline).String())
	}
	return c.transport.RoundTrip(attempt)
}

// outcome is the result of one attempt and what it means for a retry.
type outcome struct {
	// final reports whether the response and err of the attempt are those of the request.
	final bool
	err   error
	// retryAfter is the wait that the Retry-After header asks for; 0 if it has none.
	retryAfter time.Duration
	// mayHaveRun reports whether the attempt may have run.
	mayHaveRun bool
	// ticketUnusable reports that the ticket can't be used now, and that this attempt has not run.
	ticketUnusable bool
	// ticketReplaced reports whether the request got another ticket, so that the next attempt needs no wait.
	ticketReplaced bool
}

// retryMode determines when a request may be retried.
type retryMode uint8

const (
	// retryIfNotRun is the mode of requests that must not be retried once they may have run.
	retryIfNotRun retryMode = iota
	// retryWithTicket is the mode of requests that may be retried with the same ticket.
	retryWithTicket
	// retryAlways is the mode of idempotent requests.
	retryAlways
)

func retryModeOf(req *http.Request) retryMode {
	switch {
	case idempotentMethods[req.Method]:
		return retryAlways
	case req.Header.Get(contr.HeaderTicket) != "":
		return retryWithTicket
	default:
		return retryIfNotRun
	}
}

// classify returns the outcome of an attempt.
func classify(resp *http.Response, err error, mode retryMode) outcome {
	if err != nil && mode == retryIfNotRun {
		return outcome{final: true, err: errors.Wrap(ErrUnknown, err.Error())}
	}
	if err != nil {
		return outcome{err: errors.Wrap(err, "caller: no response"), mayHaveRun: true}
	}
	runStatus := resp.Header.Get(contr.HeaderRun)
	after := retryAfter(resp)
	if runStatus == "" || (runStatus == contr.RunNot && after == 0) {
		return outcome{final: true}
	}
	defer drainAndClose(resp)
	if runStatus == contr.RunNot {
		return outcome{err: errors.Wrap(ErrNotRun, resp.Status), retryAfter: after}
	}
	return classifyPossiblyRun(resp, mode, after)
}

// classifyPossiblyRun returns the outcome of an attempt whose response says that the request may have run.
func classifyPossiblyRun(resp *http.Response, mode retryMode, after time.Duration) outcome {
	arrivalMayHaveRun := resp.Header.Get(contr.HeaderArrival) != contr.RunNot
	mayRetry := mode == retryAlways || (mode == retryWithTicket && after > 0)
	return outcome{
		final:          !mayRetry,
		err:            errors.Wrap(ErrUnknown, resp.Status),
		retryAfter:     after,
		mayHaveRun:     true,
		ticketUnusable: mode == retryWithTicket && !arrivalMayHaveRun,
	}
}

// retryAfter returns the wait in the Retry-After header, or 0 if the header is missing or isn't a number of seconds.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body) // The response is not used.
	_ = resp.Body.Close()
}

// backOff waits before the next attempt: for the time in Retry-After, or else with exponential backoff, plus up to 50%
// jitter. After a ticket was replaced it does not wait.
func backOff(ctx context.Context, attempt int, result outcome) error {
	if result.ticketReplaced {
		return ctx.Err()
	}
	wait := result.retryAfter
	if wait == 0 {
		wait = min(maxBackoff, initialBackoff<<attempt)
	}
	wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return context.DeadlineExceeded
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// addTicket adds a ticket to a request that is not idempotent and has none.
func (c *Client) addTicket(ctx context.Context, req *http.Request) error {
	if idempotentMethods[req.Method] || req.Header.Get(contr.HeaderTicket) != "" {
		return nil
	}
	t, err := c.ticket(ctx, req)
	if err != nil {
		return err
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(contr.HeaderTicket, t)
	return nil
}

// replaceTicket replaces the ticket of a request. It also discards the other unused tickets of the service, which were
// fetched along with it.
func (c *Client) replaceTicket(ctx context.Context, req *http.Request) error {
	c.mu.Lock()
	delete(c.tickets, req.URL.Host)
	c.mu.Unlock()
	t, err := c.ticket(ctx, req)
	if err != nil {
		return err
	}
	req.Header.Set(contr.HeaderTicket, t)
	return nil
}

// ticket returns an unused ticket for the request's service. It fetches more if there is none.
func (c *Client) ticket(ctx context.Context, req *http.Request) (string, error) {
	host := req.URL.Host
	if t, ok := c.popTicket(host); ok {
		return t, nil
	}
	ticketURL := *req.URL
	ticketURL.Path, ticketURL.RawQuery = contr.TicketPath, "n="+strconv.Itoa(ticketsPerFetch)
	ticketReq, err := http.NewRequestWithContext(ctx, http.MethodGet, ticketURL.String(), nil)
	if err != nil {
		return "", errors.Wrap(err, "caller: fetch tickets")
	}
	resp, err := c.Do(ctx, ticketReq)
	if err != nil {
		return "", errors.Wrap(err, "caller: fetch tickets")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "caller: read tickets")
	}
	received := strings.Fields(string(body))
	if resp.StatusCode != http.StatusOK || len(received) == 0 {
		return "", errors.Errorf("caller: fetch tickets: %s", resp.Status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[host] = append(c.tickets[host], received[1:]...)
	return received[0], nil
}

func (c *Client) popTicket(host string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := c.tickets[host]
	if len(unused) == 0 {
		return "", false
	}
	c.tickets[host] = unused[:len(unused)-1]
	return unused[len(unused)-1], true
}
