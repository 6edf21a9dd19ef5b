package pick

import "time"

const (
	// longLivedAge is the age from which a flow that still carries requests counts as long-lived.
	longLivedAge = time.Second
	// sampleWeight is the weight of a new flow in the moving average, which thus spans about ten flows.
	sampleWeight = 0.1
)

// LifetimeEstimator estimates whether the flows of a route carry many requests. The zero value assumes that they do,
// because placement then spreads flows evenly until flows have been observed. It isn't safe for concurrent use.
type LifetimeEstimator struct {
	// shortFraction is the moving average of the fraction of flows that ended before longLivedAge.
	shortFraction float64
}

// RecordUse records that a flow of the given age is still in use, and reports whether it counts as long-lived.
func (e *LifetimeEstimator) RecordUse(age time.Duration) bool {
	if age < longLivedAge {
		return false
	}
	e.shortFraction -= sampleWeight * e.shortFraction
	return true
}

// RecordEnd records the end of a flow that didn't count as long-lived.
func (e *LifetimeEstimator) RecordEnd() { e.shortFraction += sampleWeight * (1 - e.shortFraction) }

// LongLived reports whether flows of the route carry many requests.
func (e *LifetimeEstimator) LongLived() bool { return e.shortFraction < 0.5 }
