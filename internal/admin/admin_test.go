package admin

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against a change that is accepted, and cut off without an answer by a planned stop.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{})
	var handled atomic.Bool
	s, err := New(context.Background(), Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Vars: new(expvar.Map), Log: zap.NewNop(),
		Ready: func() bool {
			close(accepted)
			time.Sleep(shutdownTimeout / 10)
			handled.Store(true)
			return true
		},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended, answered := make(chan error, 1), make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	go func() {
		resp, err := http.Get("http://" + s.Address().String() + "/readyz")
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-accepted
	cancel()
	is.NoErr(<-ended)
	is.True(handled.Load()) // The process may exit once Run has returned.
	is.NoErr(<-answered)
}
