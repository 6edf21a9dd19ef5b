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

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// If the underlying writer blocks, Write must not block: lines beyond the queue's capacity are dropped and counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	dropped := new(expvar.Int)
	blocked := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(blocked, dropped)
	for range maxQueuedLines + 100 {
		n, err := writer.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(dropped.Value() >= 99)
	close(blocked.release)
	writer.Close(context.Background())
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	is.Equal(int64(strings.Count(blocked.buf.String(), "\n"))+dropped.Value(), int64(maxQueuedLines+100))
}

// Close must return although the underlying writer blocks.
func TestAsyncWriterCloseTimesOut(t *testing.T) {
	is := is.New(t)
	blocked := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(blocked, new(expvar.Int))
	_, err := writer.Write([]byte("line\n"))
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		writer.Close(context.Background())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Close didn't return within 10 s")
	}
	close(blocked.release)
}

// Each message has its own limit, and dropped lines are counted. The original logger isn't limited.
func TestSampledLimitsEachMessage(t *testing.T) {
	is := is.New(t)
	core, observed := observer.New(zapcore.InfoLevel)
	log := zap.New(core)
	droppedByMessage := new(expvar.Map)
	sampled := Sampled(log, 5, droppedByMessage)
	for range 50 {
		sampled.Info("flow placed")
		log.Info("process seen")
	}
	sampled.Warn("flow is lost")
	is.Equal(observed.FilterMessage("flow placed").Len(), 5)
	is.Equal(observed.FilterMessage("flow is lost").Len(), 1)
	is.Equal(observed.FilterMessage("process seen").Len(), 50)
	is.Equal(droppedByMessage.Get("flow placed").String(), "45")
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
