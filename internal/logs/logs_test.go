package logs

import (
	"bytes"
	"context"
	"expvar"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	mu      sync.Mutex
	release chan struct{}
	buf     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// A writer that doesn't take lines holds nobody up: lines beyond the ring are dropped and counted.
func TestRingNeverBlocks(t *testing.T) {
	is := is.New(t)
	dropped := new(expvar.Int)
	w := &stuck{release: make(chan struct{})}
	r := NewAsyncWriter(w, dropped)
	for range ringLines + 100 {
		n, err := r.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(dropped.Value() >= 99)
	close(w.release)
	r.Close(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	is.Equal(int64(strings.Count(w.buf.String(), "\n"))+dropped.Value(), int64(ringLines+100))
}

func TestRingCloseIsBounded(t *testing.T) {
	is := is.New(t)
	w := &stuck{release: make(chan struct{})}
	r := NewAsyncWriter(w, new(expvar.Int))
	_, err := r.Write([]byte("line\n"))
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		r.Close(context.Background())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for ever")
	}
	close(w.release)
}

// Each kind of event is bounded by itself, and what is left out is counted; other logs are not bounded.
func TestBounded(t *testing.T) {
	is := is.New(t)
	core, seen := observer.New(zapcore.InfoLevel)
	log := zap.New(core)
	left := new(expvar.Map)
	flows := Sampled(log, 5, left)
	for range 50 {
		flows.Info("flow placed")
		log.Info("process seen")
	}
	flows.Warn("flow is lost")
	is.Equal(seen.FilterMessage("flow placed").Len(), 5)
	is.Equal(seen.FilterMessage("flow is lost").Len(), 1)
	is.Equal(seen.FilterMessage("process seen").Len(), 50)
	is.Equal(left.Get("flow placed").String(), "45")
}

func TestHistogram(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	for i := range 100 {
		h.RecordDuration(time.Duration(i) * time.Millisecond)
	}
	h.RecordDuration(time.Hour) // Counts as a minute.
	is.True(strings.Contains(h.String(), `"count":101`))
	is.True(strings.Contains(h.String(), `"max_us":6`))
}
