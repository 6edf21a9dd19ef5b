// Package offer decides whether a request is run by the agent that got it or handed over to a peer.
//
// The decision rests on the agent's own load and on what peers last said of theirs; a report loses its
// weight with age, and every request handed over since counts against it. The package is pure: time and
// randomness come in as arguments. A decision costs time in proportion to the number of peers.
package offer

import (
	"net/netip"
	"time"
)

const (
	// reportLife is the age from which a peer's report is not used any more.
	reportLife = 1500 * time.Millisecond
	// memory is how long a report of free slots is trusted more than the mean utilization.
	memory = 150 * time.Millisecond
	// minRoom is the expected number of free slots from which a peer is worth asking.
	minRoom = 0.5
	// gain weighs the excess of the utilization over the mean against that of the demand.
	gain = 1.0
)

// Peer is another agent of the service, as it last reported.
type Peer struct {
	Control netip.AddrPort
	// ReportedAt is when the report came.
	ReportedAt time.Time
	// Utilization is the recent share of busy slots, from 0 to 1.
	Utilization float64
	Free        int
	Failing     bool
	Draining    bool
	// SentSinceReport is how many requests were handed to the peer since its report.
	SentSinceReport int
	// LastFailure is when a request handed to the peer last failed; zero for never.
	LastFailure time.Time
}

// failedPause is how long a peer gets nothing after a request handed to it failed.
const failedPause = time.Second

// usable reports whether the peer may get requests at all.
func (p *Peer) usable(now time.Time) bool {
	away := p.Failing || p.Draining || now.Sub(p.ReportedAt) > reportLife
	return !away && now.Sub(p.LastFailure) >= failedPause
}

// room returns the expected number of free slots of a peer with that many slots. A report counts for
// less with age: slots become free and busy again in the meantime, as the mean utilization has it.
func (p *Peer) room(slots int, now time.Time) float64 {
	if !p.usable(now) {
		return 0
	}
	reported := float64(p.Free - p.SentSinceReport)
	expected := (1 - p.Utilization) * float64(slots)
	age := min(1, float64(now.Sub(p.ReportedAt))/float64(memory))
	room := (1-age)*reported + age*expected
	if room < minRoom {
		return 0
	}
	return room
}

// LocalState is the state of the deciding agent.
type LocalState struct {
	Utilization float64
	// Demand is the work that callers ask of this agent, as a share of its slots; it may exceed 1.
	Demand float64
	// Free is the number of free slots, Slots the number of all.
	Free, Slots int
	// Bias is added to the part of the requests that is handed over; see Bias.
	Bias float64
	// Unavailable says that the agent's server takes no new work: it drains or fails.
	Unavailable bool
}

// Reason tells the reason for a decision.
type Reason uint8

// The reasons.
const (
	// RunLocally runs the request here.
	RunLocally Reason = iota
	// SlotsFull hands it over because all slots here are busy.
	SlotsFull
	// Rebalance hands it over because this server is busier than the others.
	Rebalance
	// Unavailable hands it over because this server takes no new work.
	Unavailable
)

// Decide returns the index of the peer that should get a request, and why; -1 and Stay for none.
// random is a number from 0 to 1 and decides between peers in proportion to their room.
func Decide(own LocalState, peers []Peer, now time.Time, random float64) (int, Reason) {
	switch {
	case own.Unavailable:
		return withReason(pick(peers, random, awayWeight(own, peers, now)), Unavailable)
	case own.Free <= 0:
		return withReason(pick(peers, random, roomWeight(own, peers, now)), SlotsFull)
	default:
		return balance(own, peers, now, random)
	}
}

func withReason(i int, why Reason) (int, Reason) {
	if i < 0 {
		return -1, RunLocally
	}
	return i, why
}

// biasGain is by how much the bias follows the utilization's distance from the mean, each second.
const biasGain = 0.5

// BiasController removes the error that stays when the part to hand over follows from demand and utilization alone:
// it grows as long as the agent is busier than the mean. Its owner serializes access.
type BiasController struct {
	value float64
	at    time.Time
}

// Update brings the bias up to now and returns it.
func (b *BiasController) Update(own LocalState, peers []Peer, now time.Time) float64 {
	elapsed := min(1, now.Sub(b.at).Seconds())
	b.at = now
	b.value += biasGain * elapsed * (own.Utilization - meanUtilization(own, peers, now))
	b.value = max(0, min(1, b.value))
	return b.value
}

// busyPenalty is the part of its room that counts of a peer that is busier than the mean.
const busyPenalty = 0.1

// roomWeight weighs a peer by its room; one that is busier than the mean counts little.
func roomWeight(own LocalState, peers []Peer, now time.Time) func(*Peer) float64 {
	mean := meanUtilization(own, peers, now)
	return func(p *Peer) float64 {
		room := p.room(own.Slots, now)
		if p.Utilization > mean {
			room *= busyPenalty
		}
		return room
	}
}

// queueRoom is the room that a peer without a free slot counts for when a request may wait there.
const queueRoom = 0.05

// awayWeight weighs a peer for a request that can't run here: it may also wait there.
func awayWeight(own LocalState, peers []Peer, now time.Time) func(*Peer) float64 {
	room := roomWeight(own, peers, now)
	return func(p *Peer) float64 {
		if !p.usable(now) {
			return 0
		}
		return max(queueRoom, room(p))
	}
}

// balance hands over the part of the demand that exceeds the mean utilization.
func balance(own LocalState, peers []Peer, now time.Time, random float64) (int, Reason) {
	mean := meanUtilization(own, peers, now)
	part := excess(own, mean)
	if random >= part {
		return -1, RunLocally
	}
	deficit := func(p *Peer) float64 {
		if p.room(own.Slots, now) == 0 {
			return 0
		}
		return mean - p.Utilization
	}
	return withReason(pick(peers, random/part, deficit), Rebalance)
}

// excess returns the part of the requests to hand over: what the demand exceeds the mean by, corrected
// by how far the utilization is from the mean.
func excess(own LocalState, mean float64) float64 {
	if own.Demand <= 0 || own.Utilization <= 0 {
		return 0
	}
	part := 1 - mean/own.Demand + gain*(own.Utilization-mean)/own.Utilization + own.Bias
	return max(0, min(1, part))
}

func meanUtilization(own LocalState, peers []Peer, now time.Time) float64 {
	sum, n := own.Utilization, 1.0
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

// pick returns a peer with a probability in proportion to its weight, or -1 when no weight is positive.
func pick(peers []Peer, random float64, weight func(*Peer) float64) int {
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
