// Package offer decides whether the agent that received a request runs it or hands it over to a peer.
//
// The decision depends on the agent's own load and the last reported load of its peers. A report loses weight with age,
// and each request handed over since counts against its free slots. The package has no state but BiasController; time
// and randomness are arguments. A decision takes time linear in the number of peers.
package offer

import (
	"net/netip"
	"time"
)

const (
	// maxReportAge is the age above which a peer's report is ignored.
	maxReportAge = 1500 * time.Millisecond
	// freeSlotsHorizon is the age of a report at which the expected number of free slots no longer depends on the reported
	// number, but only on the reported utilization, which is a mean over time.
	freeSlotsHorizon = 150 * time.Millisecond
	// minFreeSlots is the least expected number of free slots with which a peer is considered.
	minFreeSlots = 0.5
	// utilizationGain is the weight of the excess utilization relative to the excess demand.
	utilizationGain = 1.0
)

// Peer is another agent of the service with its last reported load.
type Peer struct {
	Control netip.AddrPort
	// ReportedAt is the time at which the report was received.
	ReportedAt time.Time
	// Utilization is the recent fraction of busy slots, from 0 to 1.
	Utilization float64
	FreeSlots   int
	Failing     bool
	Draining    bool
	// SentSinceReport is the number of requests handed over to the peer since its report.
	SentSinceReport int
	// LastFailure is the time at which a request handed over to the peer last failed; zero if none has.
	LastFailure time.Time
}

// failureBackoff is how long a peer gets no requests after one handed over to it failed.
const failureBackoff = time.Second

// usable reports whether requests may be handed over to the peer.
func (p *Peer) usable(now time.Time) bool {
	unavailable := p.Failing || p.Draining || now.Sub(p.ReportedAt) > maxReportAge
	return !unavailable && now.Sub(p.LastFailure) >= failureBackoff
}

// expectedFreeSlots returns the expected number of free slots of a peer with the given number of slots, or 0 if it is below
// minFreeSlots. Slots become free and busy again after a report, so as it ages, the reported utilization, a mean over time,
// replaces the reported number of free slots.
func (p *Peer) expectedFreeSlots(slots int, now time.Time) float64 {
	if !p.usable(now) {
		return 0
	}
	reported := float64(p.FreeSlots - p.SentSinceReport)
	steadyState := (1 - p.Utilization) * float64(slots)
	ageFraction := min(1, float64(now.Sub(p.ReportedAt))/float64(freeSlotsHorizon))
	freeSlots := (1-ageFraction)*reported + ageFraction*steadyState
	if freeSlots < minFreeSlots {
		return 0
	}
	return freeSlots
}

// LocalState is the state of the agent that decides.
type LocalState struct {
	Utilization float64
	// Demand is the work that callers request from this agent, as a fraction of its slots; it may exceed 1.
	Demand float64
	// FreeSlots is the number of free slots, Slots the total.
	FreeSlots, Slots int
	// Bias is added to the fraction of requests that is handed over; see BiasController.
	Bias float64
	// Unavailable is true if the agent's server takes no new requests because it is draining or failing.
	Unavailable bool
}

// Reason is the reason for a decision.
type Reason uint8

// The reasons.
const (
	// RunLocally keeps the request on this agent.
	RunLocally Reason = iota
	// SlotsFull hands it over because all local slots are busy.
	SlotsFull
	// Rebalance hands it over because the local server is busier than the mean.
	Rebalance
	// Unavailable hands it over because the local server takes no new requests.
	Unavailable
)

// Decide returns the index of the peer to hand a request over to and the reason, or -1 and RunLocally. random is a uniform
// random number in [0, 1) that selects among peers in proportion to their weights.
func Decide(local LocalState, peers []Peer, now time.Time, random float64) (int, Reason) {
	switch {
	case local.Unavailable:
		return withReason(weightedChoice(peers, random, unavailableWeight(local, peers, now)), Unavailable)
	case local.FreeSlots <= 0:
		return withReason(weightedChoice(peers, random, freeSlotsWeight(local, peers, now)), SlotsFull)
	default:
		return rebalance(local, peers, now, random)
	}
}

// withReason returns index and reason, or RunLocally if no peer was chosen.
func withReason(index int, reason Reason) (int, Reason) {
	if index < 0 {
		return -1, RunLocally
	}
	return index, reason
}

// biasGainPerSecond is the gain per second with which BiasController integrates the difference from the mean utilization.
const biasGainPerSecond = 0.5

// BiasController is an integral controller. It removes the steady-state error that remains if the fraction to hand over
// depends on demand and utilization only: the bias grows while the agent is busier than the mean. It isn't safe for
// concurrent use.
type BiasController struct {
	bias      float64
	updatedAt time.Time
}

// Update updates the bias to now and returns it. It is between 0 and 1.
func (b *BiasController) Update(local LocalState, peers []Peer, now time.Time) float64 {
	elapsed := min(1, now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.bias += biasGainPerSecond * elapsed * (local.Utilization - meanUtilization(local, peers, now))
	b.bias = max(0, min(1, b.bias))
	return b.bias
}

// busierWeight is the factor on the free slots of a peer that is busier than the mean.
const busierWeight = 0.1

// freeSlotsWeight weights a peer by its expected free slots, reduced for one that is busier than the mean.
func freeSlotsWeight(local LocalState, peers []Peer, now time.Time) func(*Peer) float64 {
	mean := meanUtilization(local, peers, now)
	return func(p *Peer) float64 {
		freeSlots := p.expectedFreeSlots(local.Slots, now)
		if p.Utilization > mean {
			freeSlots *= busierWeight
		}
		return freeSlots
	}
}

// queueWeight is the least weight of a usable peer for a request that may also wait in its queue.
const queueWeight = 0.05

// unavailableWeight weights a peer for a request that can't run locally and may also wait in the peer's queue.
func unavailableWeight(local LocalState, peers []Peer, now time.Time) func(*Peer) float64 {
	weight := freeSlotsWeight(local, peers, now)
	return func(p *Peer) float64 {
		if !p.usable(now) {
			return 0
		}
		return max(queueWeight, weight(p))
	}
}

// rebalance hands over the fraction of requests by which the demand exceeds the mean utilization.
func rebalance(local LocalState, peers []Peer, now time.Time, random float64) (int, Reason) {
	mean := meanUtilization(local, peers, now)
	fraction := handOverFraction(local, mean)
	if random >= fraction {
		return -1, RunLocally
	}
	deficit := func(p *Peer) float64 {
		if p.expectedFreeSlots(local.Slots, now) == 0 {
			return 0
		}
		return mean - p.Utilization
	}
	return withReason(weightedChoice(peers, random/fraction, deficit), Rebalance)
}

// handOverFraction returns the fraction of requests to hand over: the excess of the demand over the mean utilization,
// corrected by the difference of the local utilization from the mean and by the bias.
func handOverFraction(local LocalState, mean float64) float64 {
	if local.Demand <= 0 || local.Utilization <= 0 {
		return 0
	}
	fraction := 1 - mean/local.Demand + utilizationGain*(local.Utilization-mean)/local.Utilization + local.Bias
	return max(0, min(1, fraction))
}

// meanUtilization returns the mean utilization of the local server and of those of the usable peers.
func meanUtilization(local LocalState, peers []Peer, now time.Time) float64 {
	sum, n := local.Utilization, 1.0
	for i := range peers {
		p := &peers[i]
		if !p.usable(now) {
			continue
		}
		sum += p.Utilization
		n++
	}
	return sum / n
}

// weightedChoice returns the index of a peer with a probability in proportion to its weight, or -1 if no weight is positive.
func weightedChoice(peers []Peer, random float64, weight func(*Peer) float64) int {
	total := 0.0
	for i := range peers {
		total += max(0, weight(&peers[i]))
	}
	if total <= 0 {
		return -1
	}
	target := random * total
	last := -1
	for i := range peers {
		w := weight(&peers[i])
		if w <= 0 {
			continue
		}
		last = i
		if target < w {
			return i
		}
		target -= w
	}
	return last
}
