// Package logs writes logs without ever holding a packet up: lines go through a bounded ring, and lines about single
// flows are bounded in number a second. What is left out is counted.
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
	// ringLines is how many lines wait for the writer at the most: some seconds of a busy process.
	ringLines = 4096
	// drainTime is how long Close waits for the writer.
	drainTime = 500 * time.Millisecond
)

// AsyncWriter is a writer that hands lines to another one and never blocks. Write is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped *expvar.Int
}

// NewAsyncWriter returns a ring in front of w. It counts lines that found the ring full in dropped.
func NewAsyncWriter(w io.Writer, dropped *expvar.Int) *AsyncWriter {
	r := &AsyncWriter{lines: make(chan []byte, ringLines), done: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(r.done)
		for line := range r.lines {
			if _, err := w.Write(line); err != nil {
				dropped.Add(1)
			}
		}
	}()
	return r
}

// Write queues a line, or drops it when the ring is full. It returns no error.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Close waits for the lines that are queued.
func (*AsyncWriter) Sync() error { return nil }

// Close writes the queued lines, for a while. Write must not be called after it.
func (r *AsyncWriter) Close(ctx context.Context) {
	close(r.lines)
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// Sampled returns a log that writes at most perSecond lines a second of each kind of event below the level of
// errors, and counts the others by event in left.
func Sampled(log *zap.Logger, perSecond int, left *expvar.Map) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0,
			zapcore.SamplerHook(func(e zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					left.Add(e.Message, 1)
				}
			}))
	}))
}
