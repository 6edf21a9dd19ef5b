package logs

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the longest duration that a histogram distinguishes.
	maxDuration       = time.Minute
	significantDigits = 2
)

// Histogram is a histogram of durations. It implements expvar.Var and is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram of durations from a microsecond to a minute.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

// RecordDuration adds a duration. Durations longer than a minute count as a minute.
func (h *Histogram) RecordDuration(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	us := min(max(d.Microseconds(), 1), maxDuration.Microseconds())
	_ = h.histogram.RecordValue(us) // Can't fail: the value is within the histogram's range.
}

// String returns the count and the quantiles in microseconds as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, err := json.Marshal(map[string]int64{
		"count": h.histogram.TotalCount(), "p50_us": h.histogram.ValueAtQuantile(50), "p90_us": h.histogram.ValueAtQuantile(90),
		"p99_us": h.histogram.ValueAtQuantile(99), "max_us": h.histogram.Max(),
	})
	if err != nil {
		return "{}" // Can't happen: numbers can always be encoded.
	}
	return string(b)
}
