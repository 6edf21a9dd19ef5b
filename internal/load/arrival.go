package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is a kind of request.
type kind uint8

const (
	short kind = iota
	straggler
	order
	kinds
)

// String returns the kind's name.
func (k kind) String() string { return [kinds]string{"short", "straggler", "order"}[k] }

// arrival is one request of a measurement.
type arrival struct {
	index int
	// at is the time since the measurement's start.
	at   time.Duration
	flow int
	kind kind
	// work is how long it takes at the fastest server.
	work time.Duration
}

// meanWork returns the mean work of a request.
func (s *Scenario) meanWork() time.Duration {
	mean := 1 + s.Work.StragglerFraction*(s.Work.StragglerFactor-1)
	return time.Duration(mean * float64(s.Work.ServiceTime))
}

// length returns how long the measurement takes, with its warm-up.
func (s *Scenario) length() time.Duration { return s.Warmup.Std() + s.Duration.Std() }

// inCrest reports whether a time since the start is within the crest.
func (s *Scenario) inCrest(at time.Duration) bool {
	from := s.Warmup.Std() + s.Peak.At.Std()
	return s.Peak.Factor != 1 && at >= from && at < from+s.Peak.Duration.Std()
}

// arrivals returns the requests of a measurement of a service whose fastest-server slots are capacity.
// They are a Poisson process whose rate the crest multiplies.
func (s *Scenario) arrivals(capacity float64) []arrival {
	r := rand.New(rand.NewPCG(s.Seed, s.Seed))
	rate := s.Load * capacity / s.meanWork().Seconds()
	var out []arrival
	at := time.Duration(0)
	for {
		now := rate
		if s.inCrest(at) {
			now *= s.Peak.Factor
		}
		at += time.Duration(-math.Log(1-r.Float64()) / now * float64(time.Second))
		if at >= s.length() {
			return out
		}
		a := arrival{index: len(out), at: at, flow: r.IntN(s.Flows), work: s.Work.ServiceTime.Std()}
		switch p := r.Float64(); {
		case p < s.Work.StragglerFraction:
			a.kind = straggler
			a.work = time.Duration(float64(a.work) * s.Work.StragglerFactor)
		case p < s.Work.StragglerFraction+s.Work.OrderFraction:
			a.kind = order
		}
		out = append(out, a)
	}
}
