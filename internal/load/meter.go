package load

import (
	"context"
	"sync"
	"time"
)

// reading is what the backend servers have used and seen at one time.
type reading struct {
	at       time.Duration
	busy     []time.Duration
	requests []int
	flows    []int
}

// meter reads the backend servers' use during a measurement.
type meter struct {
	// take reads the servers once.
	take func() reading

	mu       sync.Mutex
	readings []reading
}

func newMeter(take func() reading) *meter { return &meter{take: take} }

// meterInterval is the time between two readings.
const meterInterval = 250 * time.Millisecond

// run takes readings until ctx ends.
func (m *meter) run(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		m.read(time.Since(start))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *meter) read(at time.Duration) {
	now := m.take()
	now.at = at
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readings = append(m.readings, now)
}

// reading reads the use of the service's servers.
func (r *runner) reading() reading {
	var now reading
	for _, t := range r.service.Targets {
		busy, _ := t.Server.Usage()
		now.busy = append(now.busy, busy)
		now.flows = append(now.flows, t.Agent.Flows())
		now.requests = append(now.requests, t.Server.RequestCount())
	}
	return now
}

// usage returns the readings so far.
func (m *meter) usage() []reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readings
}

// between returns what the servers used from the first reading at or after one time to the last before another.
func between(readings []reading, from, to time.Duration) (first, last reading) {
	for _, r := range readings {
		if r.at < from {
			continue
		}
		if first.busy == nil {
			first = r
		}
		if r.at <= to {
			last = r
		}
	}
	return first, last
}
