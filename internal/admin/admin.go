// Package admin implements the administration server of a process: health and readiness checks, metrics and, on an entry,
// the API with which operators manage contracts and packet keys.
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
	readTimeout       = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
	maxBodyBytes      = 1 << 16
	contentTypeJSON   = "application/json"
	bearerPrefix      = "Bearer "
	headerContentType = "Content-Type"
)

// Options configure a Server.
type Options struct {
	Address netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Token is the bearer token that API requests must carry.
	Token string
	// Vars are the metrics served under /debug/vars.
	Vars *expvar.Map
	// Ready reports whether the process is ready to serve traffic.
	Ready func() bool
	// API is the operators' API of an entry; nil for an agent.
	API *API
	Log *zap.Logger
}

// Server is an HTTP server on the administration address.
type Server struct {
	opts     Options
	http     *http.Server
	listener net.Listener
}

// New returns a server that listens on its address. Run starts to serve.
func New(ctx context.Context, opts Options) (*Server, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", opts.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "admin: listen on %s", opts.Address)
	}
	if opts.TLS != nil {
		listener = tls.NewListener(listener, opts.TLS)
	}
	s := &Server{opts: opts, listener: listener}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run serves until ctx is done. It then returns once the requests that were accepted have been answered, or after shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = s.http.Shutdown(ctx) // Close below closes the remaining connections.
		_ = s.http.Close()
	})
	defer func() {
		if !stop() {
			<-stopped
		}
	}()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
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
		w.Header().Set(headerContentType, contentTypeJSON)
		_, _ = w.Write([]byte(s.opts.Vars.String()))
	})
	if s.opts.API != nil {
		api := http.NewServeMux()
		s.opts.API.registerRoutes(api)
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

// authorize rejects requests without the bearer token.
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

// writeJSON writes value as a JSON response.
func writeJSON[T any](w http.ResponseWriter, code int, value T) {
	w.Header().Set(headerContentType, contentTypeJSON)
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // Fails only if the client has disconnected.
}
