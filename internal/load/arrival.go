package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// requestKind is the kind of a request. Its name is part of request IDs and paths.
type requestKind uint8

const (
	short requestKind = iota
	// straggler is a request that takes Work.StragglerFactor times as long as a short one.
	straggler
	// order is a request that is not idempotent.
	order
	numKinds
)

// String returns the name of the kind.
func (k requestKind) String() string { return [numKinds]string{"short", "straggler", "order"}[k] }

// arrival is one request of a measurement, to be sent at a fixed time.
type arrival struct {
	index int
	// at is the time since the start of the measurement.
	at time.Duration
	// flowIndex is the index of the caller whose flow carries the request.
	flowIndex int
	kind      requestKind
	// serviceTime is how long the request takes at the fastest server.
	serviceTime time.Duration
}

// meanServiceTime returns the mean service time of the requests at the fastest server.
func (s *Scenario) meanServiceTime() time.Duration {
	factor := 1 + s.Work.StragglerFraction*(s.Work.StragglerFactor-1)
	return time.Duration(factor * float64(s.Work.ServiceTime))
}

// totalDuration returns the duration of the measurement including the warm-up.
func (s *Scenario) totalDuration() time.Duration { return s.Warmup.Std() + s.Duration.Std() }

// inPeak reports whether a time since the start is within the load peak.
func (s *Scenario) inPeak(at time.Duration) bool {
	from := s.Warmup.Std() + s.Peak.At.Std()
	return s.Peak.Factor != 1 && at >= from && at < from+s.Peak.Duration.Std()
}

// generateArrivals returns the requests of a measurement, a Poisson process whose rate is multiplied during the load
// peak. capacity is the capacity of the service, in slots of its fastest server.
func (s *Scenario) generateArrivals(capacity float64) []arrival {
	r := rand.New(rand.NewPCG(s.Seed, s.Seed))
	rate := s.Load * capacity / s.meanServiceTime().Seconds()
	var arrivals []arrival
	at := time.Duration(0)
	for {
		currentRate := rate
		if s.inPeak(at) {
			currentRate *= s.Peak.Factor
		}
		at += time.Duration(-math.Log(1-r.Float64()) / currentRate * float64(time.Second))
		if at >= s.totalDuration() {
			return arrivals
		}
		a := arrival{index: len(arrivals), at: at, flowIndex: r.IntN(s.Flows), serviceTime: s.Work.ServiceTime.Std()}
		switch draw := r.Float64(); {
		case draw < s.Work.StragglerFraction:
			a.kind = straggler
			a.serviceTime = time.Duration(float64(a.serviceTime) * s.Work.StragglerFactor)
		case draw < s.Work.StragglerFraction+s.Work.OrderFraction:
			a.kind = order
		}
		arrivals = append(arrivals, a)
	}
}
