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

// The headers and paths that agents use among themselves.
const (
	headerHandover = "Bergamot-Handover"
	headerMode     = "Bergamot-Mode"
	headerService  = "Bergamot-Service"
	headerRejected = "Bergamot-Rejected"
	headerLoad     = "Bergamot-Load"
	voidPath       = "/.bergamot/void"

	// acceptTimeout is how long a peer may take to accept a request or to reject it.
	acceptTimeout = 250 * time.Millisecond
	// voidTimeout bounds the question whether a request has begun.
	voidTimeout = 500 * time.Millisecond
)

// handOver sends a call to a peer and passes its answer on.
//
// The peer says at once whether it accepts the request. Where it doesn't, the connection may have gone
// silent: the peer is then asked over a new one to void the request, so that it is certain not to run.
func (a *Agent) handOver(ctx context.Context, c *call, to netip.AddrPort, m mode) result {
	id := strconv.FormatUint(a.record().Incarnation, 36) + "-" + a.link.Addr().String() + "-" + strconv.FormatUint(a.handovers.Add(1), 36)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var accepted, reached atomic.Bool
	timer := time.AfterFunc(acceptTimeout, func() {
		if !accepted.Load() {
			cancel()
		}
	})
	defer timer.Stop()
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				accepted.Store(true)
				a.learnLoad(to, http.Header(h))
			}
			return nil
		},
	}
	out := a.handoverRequest(httptrace.WithClientTrace(ctx, trace), c, to, m, id)
	resp, err := a.peers.http.RoundTrip(out)
	if err != nil {
		res := result{fate: fateUnknown, err: errors.Wrapf(err, "agent: peer %s", to)}
		if !reached.Load() || (!accepted.Load() && a.void(to, id)) {
			res.fate = fateNotRun
		}
		return res
	}
	accepted.Store(true)
	defer func() { _ = resp.Body.Close() }()
	a.learnLoad(to, resp.Header)
	if resp.Header.Get(headerRejected) != "" {
		_, _ = io.Copy(io.Discard, resp.Body) // Lets the connection be used again.
		return result{fate: fateRejected}
	}
	return pass(c, resp)
}

func (a *Agent) handoverRequest(ctx context.Context, c *call, to netip.AddrPort, m mode, id string) *http.Request {
	out := outgoing(ctx, c, &url.URL{Scheme: "https", Host: to.String()})
	out.Header.Set(headerHandover, id)
	out.Header.Set(headerMode, string(m))
	out.Header.Set(headerService, strconv.FormatUint(uint64(c.record.Number), 10))
	if !c.deadline.IsZero() {
		out.Header.Set(contr.HeaderTimeout, time.Until(c.deadline).String())
	}
	if t := c.r.Header.Get(contr.HeaderTicket); t != "" && m == modeTicket {
		out.Header.Set(contr.HeaderTicket, t)
	}
	return out
}

// void asks a peer, over a new connection, to make sure that a request doesn't run. It reports whether that is certain.
func (a *Agent) void(to netip.AddrPort, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
	defer cancel()
	u := url.URL{Scheme: "https", Host: to.String(), Path: voidPath, RawQuery: url.Values{"id": {id}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return false
	}
	fresh := a.peers.http.Clone()
	fresh.DisableKeepAlives = true
	resp, err := fresh.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// peerHandler returns the handler for requests of other agents.
func (a *Agent) peerHandler() http.Handler {
	run := chain(a.run, a.filterCount, a.filterPeer, a.filterContract, a.filterBody, a.filterDeadline, a.filterTicket)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+voidPath, func(w http.ResponseWriter, r *http.Request) {
		if !a.books.void(r.URL.Query().Get("id")) {
			w.WriteHeader(http.StatusConflict)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		run(&call{w: &answerWriter{ResponseWriter: w}, r: r, mode: mode(r.Header.Get(headerMode)), handover: r.Header.Get(headerHandover)})
	})
	return mux
}

// filterPeer checks that a request was meant for this agent, and has been neither begun nor voided.
func (a *Agent) filterPeer(next handler) handler {
	return func(c *call) {
		service, _ := a.identity()
		meant := c.r.Header.Get(headerService) == strconv.FormatUint(uint64(service), 10)
		known := c.mode == modeSpare || c.mode == modeQueue || c.mode == modeTicket
		if !meant || !known || c.handover == "" {
			a.counters.Add("peer_foreign", 1)
			a.reject(c)
			return
		}
		if a.away() && c.mode != modeTicket {
			a.reject(c)
			return
		}
		if !a.books.begin(c.handover) {
			a.reject(c)
			return
		}
		if c.mode != modeSpare {
			a.accept(c)
		}
		next(c)
	}
}

// showLoad puts the agent's load into an answer to a peer.
func (a *Agent) showLoad(c *call) {
	load := a.ownLoad()
	c.w.Header().Set(headerLoad, fmt.Sprintf("%d %d %d %t", load.UtilizationPermille, load.FreeSlots, load.Flows, load.Failing))
}

// learnLoad takes the load that a peer put into its answer.
func (a *Agent) learnLoad(from netip.AddrPort, h http.Header) {
	var load ctrl.Load
	if _, err := fmt.Sscanf(h.Get(headerLoad), "%d %d %d %t", &load.UtilizationPermille, &load.FreeSlots, &load.Flows, &load.Failing); err != nil {
		return
	}
	h.Del(headerLoad)
	a.peers.answered(from, load, time.Now())
}

// reject tells the peer that its request has not run and won't.
func (a *Agent) reject(c *call) {
	a.showLoad(c)
	c.w.Header().Set(headerRejected, "true")
	c.refuse(refusal{code: http.StatusServiceUnavailable, run: contr.RunNot, reason: "no room"})
}

// accept tells a peer that its request was accepted and will be answered.
func (a *Agent) accept(c *call) {
	a.showLoad(c)
	c.w.WriteHeader(http.StatusProcessing)
	c.w.beforeAnswer = func() { a.showLoad(c) }
}
