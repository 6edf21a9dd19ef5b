// Package admin serves the administration address of a process: its health, its metrics and, at an
// entry, the API by which operators create, change and retire contracts.
package admin

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	readTimeout   = 10 * time.Second
	closeTimeout  = 2 * time.Second
	maxBodySize   = 1 << 16
	contentType   = "application/json"
	bearerPrefix  = "Bearer "
	headerTypeKey = "Content-Type"
)

// Options are what a Server works with.
type Options struct {
	Address netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Token must come with each call of the API.
	Token string
	Vars  *expvar.Map
	// Ready tells whether the process does its work.
	Ready func() bool
	// API is the entry's API; nil for an agent.
	API *API
	Log *zap.Logger
}

// Server serves an administration address.
type Server struct {
	opts Options
	http *http.Server
	ln   net.Listener
}

// New returns a server that is bound to its address.
func New(ctx context.Context, opts Options) (*Server, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", opts.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "admin: listen on %s", opts.Address)
	}
	if opts.TLS != nil {
		ln = tls.NewListener(ln, opts.TLS)
	}
	s := &Server{opts: opts, ln: ln}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout}
	return s, nil
}

// Address returns the address that is bound.
func (s *Server) Address() netip.AddrPort { return s.ln.Addr().(*net.TCPAddr).AddrPort() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = s.http.Shutdown(ctx) // What is left is closed below.
		_ = s.http.Close()
	})
	defer stop()
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "admin: serve")
	}
	return nil
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerTypeKey, contentType)
		_, _ = w.Write([]byte(s.opts.Vars.String()))
	})
	if s.opts.API != nil {
		api := http.NewServeMux()
		s.opts.API.register(api)
		mux.Handle("/v1/", s.authorize(api))
	}
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.opts.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// authorize lets only calls with the token pass.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(s.opts.Token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, ErrorResponse{Error: "a bearer token is needed"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeJSON answers by a value.
func writeJSON[T any](w http.ResponseWriter, code int, value T) {
	w.Header().Set(headerTypeKey, contentType)
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // A client that is gone needs no answer.
}
