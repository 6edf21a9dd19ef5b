package load

import (
	"context"
	"sync"
	"time"
)

// usageSample holds the counters of the backend servers at one time, indexed by server.
type usageSample struct {
	// at is the time since the start of the measurement.
	at time.Duration
	// busy is the total time for which slots were busy, requests the number of requests started so far.
	busy     []time.Duration
	requests []int
	// flows is the number of open flows.
	flows []int
}

// usageSampler samples the usage of the backend servers during a measurement.
type usageSampler struct {
	// sample reads the counters of all servers.
	sample func() usageSample

	mu      sync.Mutex
	samples []usageSample
}

func newUsageSampler(sample func() usageSample) *usageSampler { return &usageSampler{sample: sample} }

// sampleInterval is the time between two samples.
const sampleInterval = 250 * time.Millisecond

// run takes samples until ctx ends.
func (s *usageSampler) run(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.record(time.Since(start))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *usageSampler) record(at time.Duration) {
	sample := s.sample()
	sample.at = at
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

// sampleUsage reads the counters of the service's backend servers.
func (r *runner) sampleUsage() usageSample {
	var sample usageSample
	for _, t := range r.service.Targets {
		busy, _ := t.Server.Usage()
		sample.busy = append(sample.busy, busy)
		sample.flows = append(sample.flows, t.Agent.Flows())
		sample.requests = append(sample.requests, t.Server.RequestCount())
	}
	return sample
}

// recorded returns the samples taken so far.
func (s *usageSampler) recorded() []usageSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.samples
}

// boundarySamples returns the first and the last sample between two times, both inclusive.
func boundarySamples(samples []usageSample, from, to time.Duration) (first, last usageSample) {
	for _, sample := range samples {
		if sample.at < from {
			continue
		}
		if first.busy == nil {
			first = sample
		}
		if sample.at <= to {
			last = sample
		}
	}
	return first, last
}
