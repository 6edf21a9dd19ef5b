package logs

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMost is the longest time that a histogram tells apart.
	histogramMost   = time.Minute
	histogramDigits = 2
)

// Histogram is a histogram of times, served as a metric. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram of microseconds up to a minute.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, histogramMost.Microseconds(), histogramDigits)}
}

// RecordDuration adds a time; longer ones than a minute count as a minute.
func (h *Histogram) RecordDuration(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	us := min(max(d.Microseconds(), 1), histogramMost.Microseconds())
	_ = h.h.RecordValue(us) // The value is within the range, so that it can't fail.
}

// String returns count and quantiles in microseconds, as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, err := json.Marshal(map[string]int64{
		"count": h.h.TotalCount(), "p50_us": h.h.ValueAtQuantile(50), "p90_us": h.h.ValueAtQuantile(90),
		"p99_us": h.h.ValueAtQuantile(99), "max_us": h.h.Max(),
	})
	if err != nil {
		return "{}" // Numbers always encode.
	}
	return string(b)
}
