// Package pick chooses the backend server of a new flow from the load that agents last reported.
//
// It distinguishes two kinds of flows. A long-lived flow stays on the server on which it was opened, so the choice
// balances the expected utilization of all open flows: the number of flows times the request rate per flow times the
// server's service time. A flow with a single request ends soon, so the choice is the server with the shortest expected
// time to the start of the response. In both cases a server in the entry's own failure domain is preferred while the
// difference is small against the route's objective, because traffic between failure domains is expensive.
//
// The package has no I/O, clocks or shared state. A choice passes over the candidates a few times and sorts their service
// times.
package pick

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/server"
)

const (
	// reportHalfLife is the half-life of the weight of a reported number of pending requests: about two service times.
	reportHalfLife = 60 * time.Millisecond
	// lowUtilization is the expected utilization up to which long-lived flows prefer the entry's failure domain more
	// strongly: with four slots, queueing is still short at this utilization.
	lowUtilization = 0.55
	// crossDomainFactor is the factor by which a server in another failure domain must be less utilized to get a
	// long-lived flow, where the utilization in the entry's own failure domain is at least lowUtilization.
	crossDomainFactor = 1.15
	// crossDomainFraction is the fraction of the route's objective that a server in another failure domain must save to
	// get a single request.
	crossDomainFraction = 0.12
	// queueWeight is the fraction of a service time that each request in progress per slot adds before all slots are busy.
	queueWeight = 0.5
	// suspectCheckFraction is the fraction of the service time predicted from the health check below which a server is
	// suspect: four times faster is beyond the noise of a mean of about 20 requests. suspectMedianFraction applies to the
	// median service time if no health check time is known. suspectPenalty ranks suspect servers behind all others.
	suspectCheckFraction  = 0.3
	suspectMedianFraction = 0.2
	suspectPenalty        = 1e6
	// defaultRatePerFlow is the assumed request rate of a long-lived flow, in requests per second, until one is measured.
	defaultRatePerFlow = 0.5
)

// Candidate is an agent with the last reported load of its backend server.
type Candidate struct {
	Agent netip.AddrPort
	// SameDomain is true if the agent is in the same failure domain as the entry that chooses.
	SameDomain bool
	// Ready is true if the agent accepts new flows, as far as is known.
	Ready bool
	Load  Load
	// Age is the time since Load was reported.
	Age time.Duration
	// NewFlows is the estimated number of new flows that all entries with the same reports sent to the agent since Load was
	// reported.
	NewFlows int
}

// Load is a backend server's load as reported by its agent.
type Load struct {
	// PendingRequests is the number of requests that wait or run.
	PendingRequests int
	// Flows is the number of open flows.
	Flows int
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// MeanServiceTime is the mean service time; 0 when unknown.
	MeanServiceTime time.Duration
	// FirstRate counts the requests per second that are the first of their flow, FollowUpRate all others.
	FirstRate, FollowUpRate float64
	// Cold is true while the server is still slow after its start.
	Cold bool
	// MinHealthCheckTime is the shortest duration of a health check; 0 when unknown. It predicts the service time of servers
	// that have no measured one.
	MinHealthCheckTime time.Duration
}

// Flow describes the new flow.
type Flow struct {
	// Hash breaks ties, so that entries with the same reports spread their flows.
	Hash uint64
	// LongLived is true if flows of the route are expected to carry many requests.
	LongLived bool
	// Objective is the latency objective of the route's clients.
	Objective time.Duration
	// Avoid is an agent that left an earlier transmission of the flow's SYN unanswered.
	Avoid netip.AddrPort
}

// Choice holds the indexes of the best candidate and of the one to try if the first refuses the flow; -1 for none.
type Choice struct{ First, Fallback int }

// Choose returns the first choice for a new flow and its fallback.
func Choose(f Flow, candidates []Candidate) Choice {
	agg := aggregateOf(candidates)
	first := best(f, candidates, agg, -1)
	if first < 0 {
		return Choice{First: -1, Fallback: -1}
	}
	return Choice{First: first, Fallback: best(f, candidates, agg, first)}
}

// aggregate holds estimates over all candidates.
type aggregate struct {
	serviceTime time.Duration
	ratePerFlow float64
	// serviceTimePerCheck is the ratio of service time to health check time; 0 when unknown.
	serviceTimePerCheck float64
}

// aggregateOf computes the estimates from the values that the candidates reported.
func aggregateOf(candidates []Candidate) aggregate {
	serviceTimes, ratios, checkTimes := make([]float64, 0, len(candidates)), make([]float64, 0, len(candidates)), make([]float64, 0, len(candidates))
	flows, followUpRate := 0, 0.0
	for i := range candidates {
		l := &candidates[i].Load
		if l.MeanServiceTime > 0 {
			serviceTimes = append(serviceTimes, float64(l.MeanServiceTime))
		}
		if l.MinHealthCheckTime > 0 {
			checkTimes = append(checkTimes, float64(l.MinHealthCheckTime))
		}
		if l.MeanServiceTime > 0 && l.MinHealthCheckTime > 0 {
			ratios = append(ratios, float64(l.MeanServiceTime)/float64(l.MinHealthCheckTime))
		}
		flows += l.Flows
		followUpRate += l.FollowUpRate
	}
	agg := aggregate{serviceTime: server.DefaultServiceTime, ratePerFlow: defaultRatePerFlow}
	if len(serviceTimes) > 0 {
		agg.serviceTime = time.Duration(median(serviceTimes))
	}
	switch {
	case len(ratios) > 0:
		agg.serviceTimePerCheck = median(ratios)
	case len(checkTimes) > 0:
		agg.serviceTimePerCheck = float64(agg.serviceTime) / median(checkTimes)
	}
	if flows > 0 && followUpRate > 0 {
		agg.ratePerFlow = followUpRate / float64(flows)
	}
	return agg
}

// median returns the median of values, which must not be empty, and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// suspect reports whether a server responds much faster than predicted from its health check or, without one, from the
// median of the servers: it may be failing fast.
func (l *Load) suspect(agg aggregate) bool {
	if l.MeanServiceTime == 0 {
		return false
	}
	if agg.serviceTimePerCheck > 0 && l.MinHealthCheckTime > 0 {
		return float64(l.MeanServiceTime) < suspectCheckFraction*agg.serviceTimePerCheck*float64(l.MinHealthCheckTime)
	}
	return float64(l.MeanServiceTime) < suspectMedianFraction*float64(agg.serviceTime)
}

// best returns the index of the ready candidate with the lowest cost, or -1. It skips the index exclude and returns
// suspect servers and the flow's Avoid only if there is no other.
func best(f Flow, candidates []Candidate, agg aggregate, exclude int) int {
	bestIndex, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if i == exclude || !candidates[i].Ready {
			continue
		}
		cost := f.cost(&candidates[i], agg) * (1 + jitter(f.Hash, i))
		if candidates[i].Load.suspect(agg) {
			cost += suspectPenalty
		}
		if candidates[i].Agent == f.Avoid {
			cost += math.MaxFloat32
		}
		if cost < bestCost {
			bestIndex, bestCost = i, cost
		}
	}
	return bestIndex
}

// jitter returns a pseudorandom number in [0, 0.02), so that entries with the same reports choose differently among
// candidates of about equal cost.
func jitter(hash uint64, index int) float64 {
	const amplitude = 0.02
	h := (hash + uint64(index)*0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
	return amplitude * float64(h>>11) / (1 << 53)
}

// cost returns what best minimizes: a utilization for a long-lived flow, a time in seconds for a single request.
func (f Flow) cost(c *Candidate, agg aggregate) float64 {
	if f.LongLived {
		return f.longLivedCost(c, agg)
	}
	return f.singleRequestCost(c, agg)
}

// longLivedCost returns the expected utilization of the candidate's server with one more long-lived flow, plus the
// expected wait of the flow's first request as a fraction of the objective, at most 1.
func (f Flow) longLivedCost(c *Candidate, agg aggregate) float64 {
	l := &c.Load
	demand := agg.ratePerFlow*float64(l.Flows+c.NewFlows+1) + l.FirstRate
	utilization := demand * l.expectedServiceTime(agg).Seconds() / l.slotCount()
	if f.Objective > 0 {
		wait := max(0, c.expectedPending(agg)+1-l.slotCount()) / l.slotCount() * l.expectedServiceTime(agg).Seconds()
		utilization += min(1, wait/f.Objective.Seconds())
	}
	if c.SameDomain {
		if utilization < lowUtilization {
			utilization /= 1 + lowUtilization - utilization // Keeps the order within the domain.
			return utilization / crossDomainFactor
		}
		return utilization
	}
	return utilization * crossDomainFactor
}

// singleRequestCost returns the expected time, in seconds, until the response to a single request starts.
func (f Flow) singleRequestCost(c *Candidate, agg aggregate) float64 {
	l := &c.Load
	serviceTime, pending := l.expectedServiceTime(agg).Seconds(), c.expectedPending(agg)
	cost := serviceTime * (1 + queueWeight*pending/l.slotCount() + max(0, pending+1-l.slotCount())/l.slotCount())
	if !c.SameDomain {
		cost += crossDomainFraction * f.Objective.Seconds()
	}
	return cost
}

// expectedPending returns the expected number of requests in progress: the reported number, blended with the steady-state
// mean as the report ages, plus the flows sent since. A queue that was reported lasts longer than that: it gets shorter only by
// what the server can do.
func (c *Candidate) expectedPending(agg aggregate) float64 {
	l := &c.Load
	serviceTime := l.expectedServiceTime(agg).Seconds()
	steadyState := (agg.ratePerFlow*float64(l.Flows) + l.FirstRate) * serviceTime
	reported, served := float64(l.PendingRequests), c.Age.Seconds()*l.slotCount()/serviceTime
	later := max(steadyState, reported-served)
	reportWeight := math.Exp2(-float64(c.Age) / float64(reportHalfLife))
	return reported*reportWeight + later*(1-reportWeight) + float64(c.NewFlows)
}

// expectedServiceTime returns the measured service time or, without one, the estimate from the health check or the median.
// A cold server's is multiplied by server.ColdFactor.
func (l *Load) expectedServiceTime(agg aggregate) time.Duration {
	serviceTime := l.MeanServiceTime
	if serviceTime == 0 {
		serviceTime = agg.serviceTime
		if agg.serviceTimePerCheck > 0 && l.MinHealthCheckTime > 0 {
			serviceTime = time.Duration(agg.serviceTimePerCheck * float64(l.MinHealthCheckTime))
		}
	}
	if l.Cold {
		return time.Duration(server.ColdFactor * float64(serviceTime))
	}
	return serviceTime
}

// slotCount returns the number of slots, at least 1.
func (l *Load) slotCount() float64 { return float64(max(l.Slots, 1)) }
