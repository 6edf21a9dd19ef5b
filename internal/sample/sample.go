// Package sample is a sample backend server, for tests and for the dev command.
//
// It works on a few requests at once, at a speed of its own, and records what it has seen: which
// requests ran how often, and whether any was meant for another service.
package sample

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// The headers that sample servers use.
const (
	// HeaderService names, in a request, the service that the caller means, and in an answer the one that answered.
	HeaderService = "Sample-Service"
	// HeaderServer names the server that answered.
	HeaderServer = "Sample-Server"
	// HeaderID identifies a request, for counting how often it ran.
	HeaderID = "Sample-Id"
	// HeaderDigest is the SHA-256 of the answer's body.
	HeaderDigest = "Sample-Digest"
)

// Options are the properties of a server.
type Options struct {
	Service string
	Name    string
	// Slots is how many requests it works on at once.
	Slots int
	// Slowness multiplies the time that work takes.
	Slowness float64
}

// Faults are what goes wrong in a server.
type Faults struct {
	// Fail answers each request by 500.
	Fail bool
	// Hang takes requests and never answers them.
	Hang bool
	// Draining makes the health endpoint say so.
	Draining bool
	// ExtraDelay is added to each request's work.
	ExtraDelay time.Duration
}

// Server is a running sample server.
type Server struct {
	opts  Options
	slots chan struct{}
	http  *http.Server
	ln    net.Listener

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int
	orders  map[string]int
	starts  []time.Time
	foreign int
	busy    time.Duration
	streams int
}

// Start starts a server at addr.
func Start(ctx context.Context, addr string, opts Options) (*Server, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "sample: listen on %s", addr)
	}
	s := &Server{opts: opts, slots: make(chan struct{}, opts.Slots), ln: ln, runs: make(map[string]int), orders: make(map[string]int)}
	mux := http.NewServeMux()
	for _, path := range []string{"/work/", "/short/", "/straggler/"} {
		mux.HandleFunc(path, s.serveWork)
	}
	mux.HandleFunc("/orders", s.serveWork)
	mux.HandleFunc("/stream", s.serveStream)
	mux.HandleFunc("/blob", s.serveBlob)
	mux.HandleFunc("/health", s.serveHealth)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		_ = s.http.Serve(ln) // Returns when the server is closed.
	}()
	return s, nil
}

// URL returns the server's address.
func (s *Server) URL() *url.URL { return &url.URL{Scheme: "http", Host: s.ln.Addr().String()} }

// Close ends the server and cuts what runs.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults sets what goes wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each identified request ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// OrderRuns returns how often each identified POST request ran.
func (s *Server) OrderRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.orders)
}

// Misrouted returns the number of requests that were meant for another service.
func (s *Server) Misrouted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreign
}

// LastStart returns when the last request began, the zero time for none.
func (s *Server) LastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.starts) == 0 {
		return time.Time{}
	}
	return s.starts[len(s.starts)-1]
}

// Usage returns the slot time used so far, and the number of long answers now.
func (s *Server) Usage() (slotTime time.Duration, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, s.streams
}

// RequestCount returns the number of requests that began.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.starts)
}

// begin records a request and returns the faults in force.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, time.Now())
	if id := r.Header.Get(HeaderID); id != "" {
		s.runs[id]++
		if r.Method == http.MethodPost {
			s.orders[id]++
		}
	}
	if meant := r.Header.Get(HeaderService); meant != "" && meant != s.opts.Service {
		s.foreign++
	}
	w.Header().Set(HeaderService, s.opts.Service)
	w.Header().Set(HeaderServer, s.opts.Name)
	return s.faults
}

// fail answers by a fault, and reports whether it did.
func fail(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Hang {
		<-r.Context().Done()
		return true
	}
	if f.Fail {
		http.Error(w, "sample server fails", http.StatusInternalServerError)
	}
	return f.Fail
}

// serveWork takes a slot for the time that the query parameter ms gives, and answers by the request's body.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.begin(w, r)
	if fail(w, r, f) {
		return
	}
	ms, _ := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	work := time.Duration(ms*s.opts.Slowness*float64(time.Millisecond)) + f.ExtraDelay
	if !s.work(r.Context(), work) {
		return
	}
	answer := fmt.Appendf(nil, "%s %s %s", s.opts.Service, r.Header.Get(HeaderID), body)
	w.Header().Set(HeaderDigest, Digest(answer))
	_, _ = w.Write(answer) // A peer that is gone needs no answer.
}

// work holds a slot for d; it reports false when the request was cancelled.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	began := time.Now()
	defer func() {
		<-s.slots
		s.mu.Lock()
		s.busy += time.Since(began)
		s.mu.Unlock()
	}()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// serveStream sends numbered lines at an interval, as many as the query parameter count gives.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	if fail(w, r, s.begin(w, r)) {
		return
	}
	s.mu.Lock()
	s.streams++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.streams--
		s.mu.Unlock()
	}()
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	interval, err := time.ParseDuration(r.URL.Query().Get("interval"))
	if err != nil || interval <= 0 {
		http.Error(w, "interval must be a duration", http.StatusBadRequest)
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := range count {
		if _, err := fmt.Fprintf(w, "%s %s %d\n", s.opts.Service, r.Header.Get(HeaderID), i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// serveBlob sends size pseudo-random bytes that follow from seed.
func (s *Server) serveBlob(w http.ResponseWriter, r *http.Request) {
	if fail(w, r, s.begin(w, r)) {
		return
	}
	const maxBlob = 64 << 20
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 0 || size > maxBlob {
		http.Error(w, "size must be 0 to 67108864", http.StatusBadRequest)
		return
	}
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	blob := Blob(size, seed)
	w.Header().Set(HeaderDigest, Digest(blob))
	_, _ = w.Write(blob) // A peer that is gone needs no answer.
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Blob returns the bytes that serveBlob sends.
func Blob(size int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, seed))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

// Digest returns the SHA-256 of b as text.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
