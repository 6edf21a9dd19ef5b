// Package sample implements a sample HTTP backend server for tests and for the dev command.
//
// It processes a limited number of requests at a time, at a configurable speed, and records how often each request ran
// and how many requests were meant for another service.
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

// Headers of requests and responses.
const (
	// HeaderService names the service: in a request the one that the caller addresses, in a response the one that served it.
	HeaderService = "Sample-Service"
	// HeaderServer is the name of the server that responded.
	HeaderServer = "Sample-Server"
	// HeaderID identifies a request, to count how often it runs.
	HeaderID = "Sample-Id"
	// HeaderDigest is the SHA-256 of the response body, in hexadecimal.
	HeaderDigest = "Sample-Digest"
)

// Options configure a server.
type Options struct {
	Service string
	Name    string
	// Slots is the number of requests that the server processes at a time.
	Slots int
	// Slowness is a factor on the processing time of requests.
	Slowness float64
}

// Faults are the faults that a server injects.
type Faults struct {
	// Fail makes the server respond to each request with status 500.
	Fail bool
	// Hang makes the server accept requests without responding to them. It takes precedence over Fail.
	Hang bool
	// Draining makes the health endpoint respond with status 503.
	Draining bool
	// ExtraDelay is added to the processing time of each request for work.
	ExtraDelay time.Duration
}

// Server is a running sample server.
type Server struct {
	opts  Options
	slots chan struct{}
	http  *http.Server
	ln    net.Listener

	mu          sync.Mutex
	faults      Faults
	requestRuns map[string]int
	orderRuns   map[string]int
	startTimes  []time.Time
	misrouted   int
	slotTime    time.Duration
	openStreams int
}

// Start starts a server that listens on addr.
func Start(ctx context.Context, addr string, opts Options) (*Server, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "sample: listen on %s", addr)
	}
	s := &Server{opts: opts, slots: make(chan struct{}, opts.Slots), ln: ln, requestRuns: make(map[string]int), orderRuns: make(map[string]int)}
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

// URL returns the base URL of the server.
func (s *Server) URL() *url.URL { return &url.URL{Scheme: "http", Host: s.ln.Addr().String()} }

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults sets the faults to inject into new requests.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request with a HeaderID ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.requestRuns)
}

// OrderRuns returns how often each POST request with a HeaderID ran.
func (s *Server) OrderRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.orderRuns)
}

// Misrouted returns the number of requests whose HeaderService names another service.
func (s *Server) Misrouted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.misrouted
}

// LastStart returns the start time of the last request, or the zero time if there was none.
func (s *Server) LastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.startTimes) == 0 {
		return time.Time{}
	}
	return s.startTimes[len(s.startTimes)-1]
}

// Usage returns the total time for which slots have been held, and the number of open streams.
func (s *Server) Usage() (slotTime time.Duration, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slotTime, s.openStreams
}

// RequestCount returns the number of requests that were started.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.startTimes)
}

// recordStart records the start of a request, sets the headers that identify the server and returns the current faults.
func (s *Server) recordStart(w http.ResponseWriter, r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTimes = append(s.startTimes, time.Now())
	if id := r.Header.Get(HeaderID); id != "" {
		s.requestRuns[id]++
		if r.Method == http.MethodPost {
			s.orderRuns[id]++
		}
	}
	if wantService := r.Header.Get(HeaderService); wantService != "" && wantService != s.opts.Service {
		s.misrouted++
	}
	w.Header().Set(HeaderService, s.opts.Service)
	w.Header().Set(HeaderServer, s.opts.Name)
	return s.faults
}

// injectFault fails or blocks the request if a fault requires it, and reports whether it did.
func injectFault(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Hang {
		<-r.Context().Done()
		return true
	}
	if f.Fail {
		http.Error(w, "sample server fails", http.StatusInternalServerError)
	}
	return f.Fail
}

// serveWork holds a slot for the number of milliseconds in the query parameter ms, times the slowness. It responds with
// the service's name, the request's ID and the request's body.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.recordStart(w, r)
	if injectFault(w, r, f) {
		return
	}
	ms, _ := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	duration := time.Duration(ms*s.opts.Slowness*float64(time.Millisecond)) + f.ExtraDelay
	if !s.holdSlot(r.Context(), duration) {
		return
	}
	response := fmt.Appendf(nil, "%s %s %s", s.opts.Service, r.Header.Get(HeaderID), body)
	w.Header().Set(HeaderDigest, Digest(response))
	_, _ = w.Write(response) // Fails only if the client has disconnected.
}

// holdSlot waits for a slot and holds it for d. It returns false if the request is cancelled meanwhile.
func (s *Server) holdSlot(ctx context.Context, d time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	startTime := time.Now()
	defer func() {
		<-s.slots
		s.mu.Lock()
		s.slotTime += time.Since(startTime)
		s.mu.Unlock()
	}()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// serveStream sends numbered lines; the query parameters count and interval give their number and the time between them.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	if injectFault(w, r, s.recordStart(w, r)) {
		return
	}
	s.mu.Lock()
	s.openStreams++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.openStreams--
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

// serveBlob sends pseudo-random bytes, given by the query parameters size and seed.
func (s *Server) serveBlob(w http.ResponseWriter, r *http.Request) {
	if injectFault(w, r, s.recordStart(w, r)) {
		return
	}
	const maxBlobSize = 64 << 20
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 0 || size > maxBlobSize {
		http.Error(w, "size must be 0 to 67108864", http.StatusBadRequest)
		return
	}
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	blob := Blob(size, seed)
	w.Header().Set(HeaderDigest, Digest(blob))
	_, _ = w.Write(blob) // Fails only if the client has disconnected.
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Blob returns the body of a response to /blob: size pseudo-random bytes, derived from seed.
func Blob(size int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, seed))
	blob := make([]byte, size)
	for i := range blob {
		blob[i] = byte(rng.Uint32())
	}
	return blob
}

// Digest returns the SHA-256 of b in hexadecimal, as in HeaderDigest.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
