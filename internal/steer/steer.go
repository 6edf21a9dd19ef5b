// Package steer decides at an agent whether it takes a new flow or passes it on to the second choice.
//
// The package is pure and holds no clocks; a decision costs constant time.
package steer

import "time"

const (
	// clearlyWorse is by how much the agent's own share of flows must exceed the other's.
	clearlyWorse = 0.05
	// reportLife is the age from which the other agent's report is not used any more.
	reportLife = 3 * time.Second
)

// Agent is one of the two agents that may take a flow.
type Agent struct {
	// Flows is the number of flows held, Limit how many the agent may hold.
	Flows, Limit int
	Draining     bool
	Failing      bool
}

// share returns the used part of the agent's limit.
func (a Agent) share() float64 { return float64(a.Flows) / float64(max(1, a.Limit)) }

// full reports whether the agent can hold no further flow.
func (a Agent) full() bool { return a.Flows >= a.Limit }

// Pass reports whether the first choice should pass a new flow on to the second choice, whose report is age old.
func Pass(first, second Agent, age time.Duration) bool {
	if age > reportLife || second.Draining || second.Failing || second.full() {
		return false
	}
	if first.Draining || first.Failing || first.full() {
		return true
	}
	gap := float64(first.Flows-second.Flows) / float64(max(1, first.Flows))
	return first.Flows > second.Flows+1 && gap > clearlyWorse && first.share() > second.share()
}
