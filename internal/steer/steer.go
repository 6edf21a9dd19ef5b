// Package steer decides whether the agent that received a new flow, the first choice, accepts it or passes it on to the
// second choice, the best of its peers.
//
// The package has no state and doesn't read the clock; a decision takes constant time.
package steer

import "time"

const (
	// minRelativeGap is the relative difference by which the first agent's flows must exceed the second's.
	minRelativeGap = 0.05
	// maxReportAge is the age above which the second agent's report is ignored.
	maxReportAge = 3 * time.Second
)

// Agent is the state of one of the two agents that may accept a flow.
type Agent struct {
	// Flows is the number of open flows, Limit the maximum.
	Flows, Limit int
	// Draining is true if the agent is draining.
	Draining bool
	// Failing is true if at least half of the recent responses of the agent's backend server were errors.
	Failing bool
}

// usage returns the fraction of the agent's limit that is in use.
func (a Agent) usage() float64 { return float64(a.Flows) / float64(max(1, a.Limit)) }

// full reports whether the agent has reached its limit.
func (a Agent) full() bool { return a.Flows >= a.Limit }

// Pass reports whether the first choice should pass a new flow on to the second, whose state was reported reportAge ago.
func Pass(first, second Agent, reportAge time.Duration) bool {
	if reportAge > maxReportAge || second.Draining || second.Failing || second.full() {
		return false
	}
	if first.Draining || first.Failing || first.full() {
		return true
	}
	relativeGap := float64(first.Flows-second.Flows) / float64(max(1, first.Flows))
	return first.Flows > second.Flows+1 && relativeGap > minRelativeGap && first.usage() > second.usage()
}
