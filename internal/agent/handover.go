package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// The headers, path and timeouts of requests between agents.
const (
	headerHandover = "Bergamot-Handover"
	headerMode     = "Bergamot-Mode"
	headerService  = "Bergamot-Service"
	headerRejected = "Bergamot-Rejected"
	headerLoad     = "Bergamot-Load"
	voidPath       = "/.bergamot/void"

	// acceptTimeout is how long a peer may take to accept or reject a request.
	acceptTimeout = 250 * time.Millisecond
	// voidTimeout limits a request to void another one.
	voidTimeout = 500 * time.Millisecond
)

// attempt is the state of one attempt to hand a request over.
type attempt struct {
	id   string
	peer netip.AddrPort
	// incarnation is that of the peer's process that gets the request, as far as this agent knows; 0 if it doesn't.
	incarnation uint64
	// connected is true if the request may have been sent, accepted if the peer has accepted, rejected or begun it, and
	// voided if the peer has confirmed that it won't run it.
	connected, accepted, voided atomic.Bool
}

// handOver sends a call to a peer and writes the peer's response to the caller.
//
// The peer accepts or rejects the request at once. If nothing is received within acceptTimeout, the connection may have become
// unresponsive. A second request, over a new connection, then voids the first one, so that it certainly doesn't run. If the
// peer replies that the first one has begun, its response is awaited, unless it may be sent again since it is idempotent.
func (a *Agent) handOver(ctx context.Context, c *call, peer netip.AddrPort, m mode) result {
	id := strconv.FormatUint(a.ownRecord().Incarnation, 36) + "-" + a.controlLink.Addr().String() + "-" + strconv.FormatUint(a.lastHandoverID.Add(1), 36)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	try := &attempt{id: id, peer: peer, incarnation: a.peers.incarnation(peer)}
	if m == modeTicket {
		try.incarnation = c.issuerIncarnation
	}
	timer := time.AfterFunc(acceptTimeout, func() {
		if !try.accepted.Load() && (!try.connected.Load() || !a.hasBegun(try) || c.idempotent) {
			cancel()
		}
	})
	defer timer.Stop()
	req := a.newHandoverRequest(httptrace.WithClientTrace(ctx, a.attemptTrace(try)), c, peer, m, id)
	resp, err := a.peers.transport.RoundTrip(req)
	if err != nil {
		res := result{outcome: outcomeUnknown, err: errors.Wrapf(err, "agent: peer %s", peer)}
		if a.hasNotRun(try) {
			res.outcome = outcomeNotRun
		}
		return res
	}
	try.accepted.Store(true)
	defer func() { _ = resp.Body.Close() }()
	a.recordLoadHeader(peer, resp.Header)
	if resp.Header.Get(headerRejected) != "" {
		_, _ = io.Copy(io.Discard, resp.Body) // Allows the connection to be reused.
		return result{outcome: outcomeRejected}
	}
	return writeResponse(c, resp)
}

// attemptTrace returns the trace that records whether a request was sent and accepted.
func (a *Agent) attemptTrace(try *attempt) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { try.connected.Store(true) },
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				try.accepted.Store(true)
				a.recordLoadHeader(try.peer, http.Header(h))
			}
			return nil
		},
	}
}

// hasNotRun reports whether the request of a failed attempt certainly hasn't run and won't run.
func (a *Agent) hasNotRun(try *attempt) bool {
	if !try.connected.Load() || try.voided.Load() {
		return true
	}
	return !try.accepted.Load() && !a.hasBegun(try) && try.voided.Load()
}

// hasBegun asks the peer of an attempt to void the request, and reports whether the peer has begun it already.
func (a *Agent) hasBegun(try *attempt) bool {
	switch a.voidAtPeer(try) {
	case http.StatusOK:
		try.voided.Store(true)
	case http.StatusConflict:
		try.accepted.Store(true)
		return true
	}
	return false
}

func (a *Agent) newHandoverRequest(ctx context.Context, c *call, peer netip.AddrPort, m mode, id string) *http.Request {
	req := newOutgoingRequest(ctx, c, &url.URL{Scheme: "https", Host: peer.String()})
	req.Header.Set(headerHandover, id)
	req.Header.Set(headerMode, string(m))
	req.Header.Set(headerService, strconv.FormatUint(uint64(c.record.Number), 10))
	if !c.deadline.IsZero() {
		req.Header.Set(contr.HeaderTimeout, time.Until(c.deadline).String())
	}
	if t := c.r.Header.Get(contr.HeaderTicket); t != "" && m == modeTicket {
		req.Header.Set(contr.HeaderTicket, t)
	}
	return req
}

// voidAtPeer sends a peer a request, over a new connection, to void an earlier request. It returns the status of the response:
// http.StatusOK if the earlier one won't run, http.StatusConflict if it has begun, http.StatusNotFound if another process than
// the one that got it replies, and 0 if there is no response.
func (a *Agent) voidAtPeer(try *attempt) int {
	ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
	defer cancel()
	query := url.Values{"id": {try.id}, "incarnation": {strconv.FormatUint(try.incarnation, 10)}}
	u := url.URL{Scheme: "https", Host: try.peer.String(), Path: voidPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return 0
	}
	transport := a.peers.transport.Clone()
	transport.DisableKeepAlives = true
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// peerHandler returns the handler for requests of peers.
func (a *Agent) peerHandler() http.Handler {
	handle := chain(a.handleCall, a.filterCount, a.filterPeer, a.filterContract, a.filterBody, a.filterDeadline, a.filterTicket)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+voidPath, a.handleVoid)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		handle(&call{w: &responseWriter{ResponseWriter: w}, r: r, mode: mode(r.Header.Get(headerMode)), handoverID: r.Header.Get(headerHandover)})
	})
	return mux
}

// handleVoid voids a request of a peer that was sent to this incarnation. One that was sent to an earlier incarnation may have
// run.
func (a *Agent) handleVoid(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case query.Get("incarnation") != strconv.FormatUint(a.ownRecord().Incarnation, 10):
		w.WriteHeader(http.StatusNotFound)
	case !a.requests.void(query.Get("id")):
		w.WriteHeader(http.StatusConflict)
	}
}

// filterPeer rejects a request that wasn't meant for this agent's service, that has begun or was voided, that arrives while
// the agent is draining and isn't handed over because of its ticket, or that arrives after the agent has drained.
func (a *Agent) filterPeer(next handler) handler {
	return func(c *call) {
		service, _ := a.identity()
		serviceMatches := c.r.Header.Get(headerService) == strconv.FormatUint(uint64(service), 10)
		modeKnown := c.mode == modeFreeSlot || c.mode == modeQueue || c.mode == modeTicket
		if !serviceMatches || !modeKnown || c.handoverID == "" {
			a.counters.Add("peer_foreign", 1)
			a.reject(c)
			return
		}
		if a.isDraining() && c.mode != modeTicket {
			a.reject(c)
			return
		}
		if !a.requests.begin(c.handoverID) {
			a.reject(c)
			return
		}
		defer a.requests.end()
		if c.mode != modeFreeSlot {
			a.accept(c)
		}
		next(c)
	}
}

// setLoadHeader adds the agent's load to the response to a peer.
func (a *Agent) setLoadHeader(c *call) {
	load := a.ownLoad()
	c.w.Header().Set(headerLoad, fmt.Sprintf("%d %d %d %t", load.UtilizationPermille, load.FreeSlots, load.Flows, load.Failing))
}

// recordLoadHeader records the load in the header of a peer's response, and removes it from the header.
func (a *Agent) recordLoadHeader(peer netip.AddrPort, h http.Header) {
	var load ctrl.Load
	if _, err := fmt.Sscanf(h.Get(headerLoad), "%d %d %d %t", &load.UtilizationPermille, &load.FreeSlots, &load.Flows, &load.Failing); err != nil {
		return
	}
	h.Del(headerLoad)
	a.peers.recordLoad(peer, load, time.Now())
}

// reject responds to a peer that its request hasn't run and won't run.
func (a *Agent) reject(c *call) {
	a.setLoadHeader(c)
	c.w.Header().Set(headerRejected, "true")
	c.refuse(refusal{status: http.StatusServiceUnavailable, runStatus: contr.RunNot, reason: "no room"})
}

// accept sends a peer an informational response (102): its request was accepted, and a final response will follow.
func (a *Agent) accept(c *call) {
	a.setLoadHeader(c)
	c.w.WriteHeader(http.StatusProcessing)
	c.w.beforeFinalHeader = func() { a.setLoadHeader(c) }
}
