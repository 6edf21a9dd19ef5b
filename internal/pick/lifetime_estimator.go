package pick

import "time"

const (
	// longAge is the age from which a flow that is still used counts as long.
	longAge = time.Second
	// habitWeight is the weight of a new flow in a route's habit: some ten flows.
	habitWeight = 0.1
)

// LifetimeEstimator learns whether the flows of a route carry many requests. The zero value takes them for long, which
// spreads them evenly until more is known. Its owner serializes access.
type LifetimeEstimator struct {
	// short is the part of flows that ended young.
	short float64
}

// ObserveUse notes a flow that is still used after age, and reports whether that made it count as long.
func (h *LifetimeEstimator) ObserveUse(age time.Duration) bool {
	if age < longAge {
		return false
	}
	h.short -= habitWeight * h.short
	return true
}

// ObserveEnd notes that a flow which didn't count as long has ended.
func (h *LifetimeEstimator) ObserveEnd() { h.short += habitWeight * (1 - h.short) }

// LongLived reports whether flows of the route carry many requests.
func (h *LifetimeEstimator) LongLived() bool { return h.short < 0.5 }
