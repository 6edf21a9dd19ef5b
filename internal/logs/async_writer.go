// Package logs writes logs without blocking the packet path: lines are written through a bounded queue, and messages about
// individual flows are limited to a number per second. Dropped lines are counted. The package also provides a histogram
// for metrics.
package logs

import (
	"context"
	"expvar"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the capacity of the queue, enough for some seconds of a busy process.
	maxQueuedLines = 4096
	// closeTimeout is the maximum time that Close waits for the underlying writer.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter queues lines for another writer without blocking. Write is safe for concurrent use.
type AsyncWriter struct {
	queue   chan []byte
	done    chan struct{}
	dropped *expvar.Int
}

// NewAsyncWriter returns an AsyncWriter that writes to w. dropped counts the lines that are lost because the queue is full
// or w returns an error.
func NewAsyncWriter(w io.Writer, dropped *expvar.Int) *AsyncWriter {
	asyncWriter := &AsyncWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(asyncWriter.done)
		for line := range asyncWriter.queue {
			if _, err := w.Write(line); err != nil {
				dropped.Add(1)
			}
		}
	}()
	return asyncWriter
}

// Write queues a copy of line, or drops it if the queue is full. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Close waits for the queued lines.
func (*AsyncWriter) Sync() error { return nil }

// Close waits until the queued lines are written, at most closeTimeout or until ctx ends. Write must not be called
// afterwards.
func (w *AsyncWriter) Close(ctx context.Context) {
	close(w.queue)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// Sampled returns a logger that writes at most perSecond lines per second for each level and message. The other lines are
// dropped and counted by message in droppedByMessage.
func Sampled(log *zap.Logger, perSecond int, droppedByMessage *expvar.Map) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0,
			zapcore.SamplerHook(func(e zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					droppedByMessage.Add(e.Message, 1)
				}
			}))
	}))
}
