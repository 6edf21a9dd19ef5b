package agent

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// noDirectory is a Directory without entries.
type noDirectory struct{}

func (noDirectory) Entries(context.Context) ([]netip.AddrPort, error) { return nil, nil }

// newTestAgent returns an agent that hasn't joined a deployment but has a contract.
func newTestAgent(t *testing.T, backend string) *Agent {
	t.Helper()
	u, err := url.Parse(backend)
	if err != nil {
		t.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := New(t.Context(), Options{
		Service: "desk", Backend: u, Packets: loopback, Control: loopback, PathMTU: 1500,
		Secret: fleet.Secret{1}, Directory: noDirectory{}, Log: zap.NewNop(), Vars: new(expvar.Map),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.close)
	c := contr.Contract{Name: "desk", Tickets: true}.WithDefaults()
	state := &serviceState{record: contr.Record{Contract: c, Number: 1, Serial: 1}}
	a.service.current.Store(state)
	a.applyContract(state)
	a.self = view.Record{Service: 1, Packets: a.conn.Addr(), Control: a.controlLink.Addr(), Incarnation: uint64(time.Now().UnixNano())}
	return a
}

// connSilencer makes all connections up to lastSilent stop responding; later ones work.
type connSilencer struct {
	lastNumber atomic.Int64
	lastSilent atomic.Int64
}

type connNumberKey struct{}

func (s *connSilencer) context(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumberKey{}, s.lastNumber.Add(1))
}

func (s *connSilencer) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(connNumberKey{}).(int64) <= s.lastSilent.Load() {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

func newTestCall(a *Agent, method string) (*call, *httptest.ResponseRecorder) {
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(method, "/orders", strings.NewReader("3 pallets"))
	c := &call{
		w: &responseWriter{ResponseWriter: rec}, r: r, record: a.service.get().record,
		body: &requestBody{source: r.Body, size: r.ContentLength}, deadline: time.Now().Add(5 * time.Second),
	}
	return c, rec
}

func TestUnresponsivePeerConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer backend.Close()
	a, peer := newTestAgent(t, backend.URL), newTestAgent(t, backend.URL)
	var silencer connSilencer
	peer.http1.Handler = silencer.wrap(peer.http1.Handler)
	peer.http1.ConnContext = silencer.context
	go func() { _ = peer.http1.Serve(peer.controlListener) }()
	a.peers.setAgents([]view.Record{peer.ownRecord()}, a.Control())

	c, _ := newTestCall(a, http.MethodPost)
	res := a.handOver(t.Context(), c, peer.controlLink.Addr(), modeFreeSlot)
	is.Equal(res.outcome, outcomeCompleted)
	is.Equal(ran.Load(), int64(1))

	silencer.lastSilent.Store(silencer.lastNumber.Load()) // The pooled connection stops responding; new ones work.
	c, _ = newTestCall(a, http.MethodPost)
	start := time.Now()
	res = a.handOver(t.Context(), c, peer.controlLink.Addr(), modeFreeSlot)
	is.Equal(res.outcome, outcomeNotRun) // The peer voided the request over a new connection.
	is.True(time.Since(start) < 2*time.Second)
	is.Equal(ran.Load(), int64(1))

	c, _ = newTestCall(a, http.MethodPost)
	res = a.handOver(t.Context(), c, peer.controlLink.Addr(), modeFreeSlot) // The unresponsive connection isn't reused.
	is.Equal(res.outcome, outcomeCompleted)
	is.Equal(ran.Load(), int64(2))
}

// finalOnly drops informational responses, as if they were late.
type finalOnly struct{ http.ResponseWriter }

func (w finalOnly) WriteHeader(code int) {
	if code >= http.StatusOK {
		w.ResponseWriter.WriteHeader(code)
	}
}

func (finalOnly) Flush() {}

// TestBegunRequestIsNotCut guards against an agent that cuts a request that runs at a peer because it didn't receive in time
// that the peer has accepted it.
func TestBegunRequestIsNotCut(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * acceptTimeout):
		}
	}))
	defer backend.Close()
	a, peer := newTestAgent(t, backend.URL), newTestAgent(t, backend.URL)
	next := peer.http1.Handler
	peer.http1.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(finalOnly{w}, r) })
	go func() { _ = peer.http1.Serve(peer.controlListener) }()
	a.peers.setAgents([]view.Record{peer.ownRecord()}, a.Control())
	c, rec := newTestCall(a, http.MethodPost)
	res := a.handOver(t.Context(), c, peer.controlLink.Addr(), modeFreeSlot)
	is.Equal(res.outcome, outcomeCompleted)
	is.Equal(rec.Code, http.StatusOK)
}

// TestRestartedPeerDoesntVoidRequest guards against a request that runs twice: a peer that has restarted doesn't know whether
// the request has run before, so it must not confirm that it hasn't.
func TestRestartedPeerDoesntVoidRequest(t *testing.T) {
	is := is.New(t)
	a, peer := newTestAgent(t, "http://127.0.0.1:1"), newTestAgent(t, "http://127.0.0.1:1")
	var silencer connSilencer
	silencer.lastSilent.Store(1) // The request is lost with the process that got it; the next one replies.
	peer.http1.Handler = silencer.wrap(peer.http1.Handler)
	peer.http1.ConnContext = silencer.context
	go func() { _ = peer.http1.Serve(peer.controlListener) }()
	before := peer.ownRecord()
	before.Incarnation--
	a.peers.setAgents([]view.Record{before}, a.Control())
	c, _ := newTestCall(a, http.MethodPost)
	is.Equal(a.handOver(t.Context(), c, peer.controlLink.Addr(), modeFreeSlot).outcome, outcomeUnknown)
}

func TestVoidedRequestNeverBegins(t *testing.T) {
	is := is.New(t)
	tracker := newRequestTracker()
	is.True(tracker.void("late"))
	is.True(!tracker.begin("late")) // The request arrives after it was voided.
	is.True(tracker.void("late"))
	is.True(tracker.begin("early"))
	is.True(!tracker.void("early"))
	is.True(!tracker.begin("early")) // A duplicate.
}

// TestVoidedRequestIsNotForgotten guards against a request that runs although its sender knows that it doesn't, and may have run
// it elsewhere: the ID of a voided request was forgotten after 65,536 others.
func TestVoidedRequestIsNotForgotten(t *testing.T) {
	is := is.New(t)
	tracker := newRequestTracker()
	is.True(tracker.void("late"))
	for i := range maxTrackedHandovers + 1 {
		is.True(tracker.begin(strconv.Itoa(i)))
		tracker.end()
	}
	is.True(!tracker.begin("late"))
	is.True(len(tracker.handovers) <= 2*maxTrackedHandovers)
}

// TestRequestIsNotRunWithoutTLSConnection checks that a request certainly hasn't run if no TLS connection to the peer was
// established: the peer doesn't respond to the handshake, or refuses the connection.
func TestRequestIsNotRunWithoutTLSConnection(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	c, _ := newTestCall(a, http.MethodPost)
	peerAddr := ln.Addr().(*net.TCPAddr).AddrPort()
	res := a.handOver(t.Context(), c, peerAddr, modeFreeSlot) // The peer accepts connections and sends nothing.
	is.Equal(res.outcome, outcomeNotRun)                      // Nothing was sent, as the TLS handshake didn't complete.
	_ = ln.Close()
	res = a.handOver(t.Context(), c, peerAddr, modeFreeSlot)
	is.Equal(res.outcome, outcomeNotRun)
}

func TestTransportDoesNotRetryOrder(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ran.Add(1) > 1 { // The first response leaves a connection in the pool.
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	backend.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	defer backend.Close()
	a := newTestAgent(t, backend.URL)
	c, _ := newTestCall(a, http.MethodPost)
	is.Equal(a.backend.send(t.Context(), c).outcome, outcomeCompleted)
	for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key"} { // net/http retries such a request on its own.
		before := ran.Load()
		c, _ = newTestCall(a, http.MethodPost)
		c.r.Header.Set(key, "1")
		is.Equal(a.backend.send(t.Context(), c).outcome, outcomeUnknown)
		is.Equal(ran.Load(), before+1)
	}
}
