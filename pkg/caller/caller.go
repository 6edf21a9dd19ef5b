// Package caller is a client for services behind bergamotrun. It speaks HTTP/3, keeps tickets for
// requests that are not idempotent, and repeats a request only where that can't run it twice.
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
	ticketBlock     = 16
	idleTimeout     = 20 * time.Second
	keepAlive       = 5 * time.Second
	handshakeLimit  = 5 * time.Second
	firstPause      = 100 * time.Millisecond
	maxPause        = 5 * time.Second
)

// ErrNotRun says that a request has not run, after all attempts.
var ErrNotRun = errors.New("the request has not run")

// ErrUnknown says that a request that is not idempotent may have run, and can't safely be repeated.
var ErrUnknown = errors.New("it is unknown whether the request ran")

// Options are the properties of a Client.
type Options struct {
	// TLS checks the services' certificates.
	TLS *tls.Config
	// Attempts is how often a request is sent at the most; 0 means 5.
	Attempts int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *http3.Transport

	mu      sync.Mutex
	tickets map[string][]string
}

// New returns a client. Close must be called when it isn't needed any more.
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
				KeepAlivePeriod:      keepAlive,
				HandshakeIdleTimeout: handshakeLimit,
			},
		},
	}
}

// Close closes the client's flows.
func (c *Client) Close() error { return c.transport.Close() }

// idempotent lists the methods that the client repeats without a ticket.
var idempotent = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

// Do sends a request and returns its answer. A request with a body must have GetBody, as http.NewRequest
// sets it. It returns ErrNotRun or ErrUnknown, wrapped, when there is no answer.
func (c *Client) Do(ctx context.Context, req *http.Request) (*http.Response, error) {
	e := &exchange{client: c, req: req.Clone(ctx)}
	e.given = e.req.Header.Get(contr.HeaderTicket) != ""
	if err := c.addTicket(ctx, e.req); err != nil {
		return nil, err
	}
	e.kind = kindOf(e.req)
	for attempt := range c.opts.Attempts {
		resp, next, err := e.step(ctx)
		if next.final || err != nil {
			return resp, err
		}
		if attempt+1 == c.opts.Attempts || pause(ctx, attempt, next) != nil {
			break
		}
	}
	if e.uncertain {
		return nil, errors.Wrap(ErrUnknown, e.last.Error())
	}
	return nil, e.last
}

// exchange is a request with what is known of its attempts.
type exchange struct {
	client *Client
	req    *http.Request
	kind   kind
	// given says that the ticket came with the request, so that it may have been used before.
	given bool
	// uncertain says that an attempt may have run.
	uncertain bool
	last      error
}

// step makes one attempt. The answer or error is the request's own when the step is final.
func (e *exchange) step(ctx context.Context) (*http.Response, step, error) {
	resp, err := e.client.attempt(ctx, e.req)
	next := judge(resp, err, e.kind)
	if next.spent && !e.uncertain && !e.given {
		// The ticket was fresh, so that no attempt can have run: the request is safe with another one.
		e.last = next.err
		return nil, step{renewed: true}, e.client.renewTicket(ctx, e.req)
	}
	if next.final && next.err != nil {
		return nil, next, next.err
	}
	if next.final {
		return resp, next, nil
	}
	e.uncertain = e.uncertain || next.uncertain
	e.last = next.err
	return nil, next, nil
}

// DoOnce sends a request once, with a ticket where one is needed, and returns the answer as it is,
// also one by which the system refuses the request.
func (c *Client) DoOnce(ctx context.Context, req *http.Request) (*http.Response, error) {
	req = req.Clone(ctx)
	if err := c.addTicket(ctx, req); err != nil {
		return nil, err
	}
	return c.attempt(ctx, req)
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, req *http.Request) (*http.Response, error) {
	out := req.Clone(ctx)
	if req.GetBody != nil {
		body, err := req.GetBody()
		if err != nil {
			return nil, errors.Wrap(err, "caller: get body")
		}
		out.Body = body
	}
	if deadline, ok := ctx.Deadline(); ok && req.Header.Get(contr.HeaderTimeout) == "" {
		out.Header.Set(contr.HeaderTimeout, time.Until(deadline).String())
	}
	return c.transport.RoundTrip(out)
}

// step is what follows from one attempt.
type step struct {
	// final says that the attempt's answer and err are those of the request.
	final bool
	err   error
	// after is how long the service asks to wait.
	after time.Duration
	// uncertain says that the attempt may have run.
	uncertain bool
	// spent says that the ticket can't be used now, and that the attempt has not run.
	spent bool
	// renewed says that the request has got another ticket.
	renewed bool
}

// kind tells how a request may be repeated.
type kind uint8

const (
	// once must not be repeated after it may have run.
	once kind = iota
	// ticketed may be repeated with its ticket.
	ticketed
	// repeatable may be repeated.
	repeatable
)

func kindOf(req *http.Request) kind {
	switch {
	case idempotent[req.Method]:
		return repeatable
	case req.Header.Get(contr.HeaderTicket) != "":
		return ticketed
	default:
		return once
	}
}

// judge decides what follows from an attempt at a request of kind k.
func judge(resp *http.Response, err error, k kind) step {
	if err != nil && k == once {
		return step{final: true, err: errors.Wrap(ErrUnknown, err.Error())}
	}
	if err != nil {
		return step{err: errors.Wrap(err, "caller: no answer"), uncertain: true}
	}
	run := resp.Header.Get(contr.HeaderRun)
	after := retryAfter(resp)
	if run == "" || (run == contr.RunNot && after == 0) {
		return step{final: true}
	}
	defer discard(resp)
	if run == contr.RunNot {
		return step{err: errors.Wrap(ErrNotRun, resp.Status), after: after}
	}
	return judgeUnknown(resp, k, after)
}

// judgeUnknown decides what follows from an answer by which a request may have run.
func judgeUnknown(resp *http.Response, k kind, after time.Duration) step {
	arrived := resp.Header.Get(contr.HeaderArrival) != contr.RunNot
	mayRepeat := k == repeatable || (k == ticketed && after > 0)
	return step{
		final:     !mayRepeat,
		err:       errors.Wrap(ErrUnknown, resp.Status),
		after:     after,
		uncertain: true,
		spent:     k == ticketed && !arrived,
	}
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func discard(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body) // The answer isn't used.
	_ = resp.Body.Close()
}

// pause waits before the next attempt: as long as the service asks, or longer each time, and a random
// part of it. With another ticket the next attempt is made at once.
func pause(ctx context.Context, attempt int, next step) error {
	if next.renewed {
		return ctx.Err()
	}
	wait := next.after
	if wait == 0 {
		wait = min(maxPause, firstPause<<attempt)
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

// addTicket gives a request that is not idempotent a ticket.
func (c *Client) addTicket(ctx context.Context, req *http.Request) error {
	if idempotent[req.Method] || req.Header.Get(contr.HeaderTicket) != "" {
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

// renewTicket replaces a request's ticket, and drops the others of its service that it was got with.
func (c *Client) renewTicket(ctx context.Context, req *http.Request) error {
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

// ticket returns an unused ticket for the request's service, and gets more where there is none.
func (c *Client) ticket(ctx context.Context, req *http.Request) (string, error) {
	host := req.URL.Host
	if t, ok := c.takeTicket(host); ok {
		return t, nil
	}
	u := *req.URL
	u.Path, u.RawQuery = contr.TicketPath, "n="+strconv.Itoa(ticketBlock)
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return "", errors.Wrap(err, "caller: ask for tickets")
	}
	resp, err := c.Do(ctx, ask)
	if err != nil {
		return "", errors.Wrap(err, "caller: ask for tickets")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "caller: read tickets")
	}
	fresh := strings.Fields(string(body))
	if resp.StatusCode != http.StatusOK || len(fresh) == 0 {
		return "", errors.Errorf("caller: ask for tickets: %s", resp.Status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[host] = append(c.tickets[host], fresh[1:]...)
	return fresh[0], nil
}

func (c *Client) takeTicket(host string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.tickets[host]
	if len(list) == 0 {
		return "", false
	}
	c.tickets[host] = list[:len(list)-1]
	return list[len(list)-1], true
}
