package agent

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
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

// noDirectory is a store that knows no entries.
type noDirectory struct{}

func (noDirectory) Entries(context.Context) ([]netip.AddrPort, error) { return nil, nil }

// newTestAgent returns an agent that has not joined a deployment, but knows its contract.
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
	k := &knowledge{record: contr.Record{Contract: c, Number: 1, Serial: 1}}
	a.know.now.Store(k)
	a.putInForce(k)
	a.self = view.Record{Service: 1, Packets: a.conn.Addr(), Control: a.link.Addr(), Incarnation: uint64(time.Now().UnixNano())}
	return a
}

// silencer lets connections go silent while new ones work.
type silencer struct {
	next   atomic.Int64
	silent atomic.Int64
}

type connNumber struct{}

func (s *silencer) context(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumber{}, s.next.Add(1))
}

func (s *silencer) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(connNumber{}).(int64) <= s.silent.Load() {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

func testCall(a *Agent, method string) (*call, *httptest.ResponseRecorder) {
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(method, "/orders", strings.NewReader("3 pallets"))
	c := &call{
		w: &answerWriter{ResponseWriter: rec}, r: r, record: a.know.get().record,
		body: &body{source: r.Body, size: r.ContentLength}, deadline: time.Now().Add(5 * time.Second),
	}
	return c, rec
}

func TestSilentConnectionToPeer(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer backend.Close()
	a, peer := newTestAgent(t, backend.URL), newTestAgent(t, backend.URL)
	var s silencer
	peer.http1.Handler = s.wrap(peer.http1.Handler)
	peer.http1.ConnContext = s.context
	go func() { _ = peer.http1.Serve(peer.ln) }()

	c, _ := testCall(a, http.MethodPost)
	res := a.handOver(t.Context(), c, peer.link.Addr(), modeSpare)
	is.Equal(res.fate, fateAnswered)
	is.Equal(ran.Load(), int64(1))

	s.silent.Store(s.next.Load()) // The pooled connection goes silent for good; new ones work.
	c, _ = testCall(a, http.MethodPost)
	start := time.Now()
	res = a.handOver(t.Context(), c, peer.link.Addr(), modeSpare)
	is.Equal(res.fate, fateNotRun) // The peer has said so over a new connection.
	is.True(time.Since(start) < 2*time.Second)
	is.Equal(ran.Load(), int64(1))

	c, _ = testCall(a, http.MethodPost)
	res = a.handOver(t.Context(), c, peer.link.Addr(), modeSpare) // The silent one isn't used again.
	is.Equal(res.fate, fateAnswered)
	is.Equal(ran.Load(), int64(2))
}

func TestVoidedRequestNeverBegins(t *testing.T) {
	is := is.New(t)
	b := newBooks()
	is.True(b.void("late"))
	is.True(!b.begin("late")) // It arrives after all.
	is.True(b.void("late"))
	is.True(b.begin("early"))
	is.True(!b.void("early"))
	is.True(!b.begin("early")) // A duplicate.
}

func TestPeerWithoutAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	c, _ := testCall(a, http.MethodPost)
	to := ln.Addr().(*net.TCPAddr).AddrPort()
	res := a.handOver(t.Context(), c, to, modeSpare) // It accepts connections and says nothing.
	is.Equal(res.fate, fateNotRun)                   // No connection was made up to TLS: nothing was sent.
	_ = ln.Close()
	res = a.handOver(t.Context(), c, to, modeSpare)
	is.Equal(res.fate, fateNotRun)
}

func TestOrderIsNotRepeatedByTheTransport(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ran.Add(1) > 1 { // The first answer leaves a pooled connection behind.
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	backend.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	defer backend.Close()
	a := newTestAgent(t, backend.URL)
	c, _ := testCall(a, http.MethodPost)
	is.Equal(a.backend.send(t.Context(), c).fate, fateAnswered)
	for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key"} { // net/http would repeat such a request by itself.
		before := ran.Load()
		c, _ = testCall(a, http.MethodPost)
		c.r.Header.Set(key, "1")
		is.Equal(a.backend.send(t.Context(), c).fate, fateUnknown)
		is.Equal(ran.Load(), before+1)
	}
}
