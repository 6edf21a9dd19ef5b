// Package share limits the packet rates of members to their fair shares when an entry's capacity is exceeded.
//
// A Limiter measures the demand of each member in short windows. In the next window it allows each member its weighted
// max-min fair share of the capacity, which includes capacity that other members leave unused. Packets that open flows
// are dropped before those of established flows. There are no queues: excess packets are dropped, which QUIC treats as
// congestion. Time is an argument and there are no locks. A decision takes constant time; for n members, starting a
// window takes O(n log n).
package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is the interval over which demand is measured.
	window = 50 * time.Millisecond
	// newFlowFraction is the fraction of a member's allowance above which packets that open flows are dropped.
	newFlowFraction = 0.9
	// demandDecay is the weight of the earlier windows in the moving average of the demand.
	demandDecay = 0.5
)

// member is the state of a member. All amounts but the share are packets per window.
type member struct {
	share float64
	// requested counts the packets that arrived in the current window, used those of them that passed.
	requested float64
	// demand is the number of packets expected per window: it rises at once with requested and decays by demandDecay.
	demand float64
	// allowed is the allowance of the current window.
	allowed float64
	used    float64
	// carryOver is the unused allowance of the last window, which admits bursts within the member's share.
	carryOver float64
}

// Limiter divides a capacity among members. It isn't safe for concurrent use.
type Limiter struct {
	// windowCapacity is the capacity in packets per window.
	windowCapacity float64
	members        map[string]*member
	// byDemand holds the members sorted by their demand relative to their share at the start of the window; members added
	// since then follow at the end.
	byDemand  []*member
	windowEnd time.Time
}

// New returns a limiter for a capacity in packets per second; 0 means unlimited.
func New(perSecond int) *Limiter {
	return &Limiter{windowCapacity: float64(perSecond) * window.Seconds(), members: make(map[string]*member)}
}

// SetShare sets a member's share; the default and the minimum are 1.
func (l *Limiter) SetShare(name string, share uint32) { l.member(name).share = float64(max(1, share)) }

// member returns the state of a member, a new one if there is none yet.
func (l *Limiter) member(name string) *member {
	m := l.members[name]
	if m == nil {
		m = &member{share: 1, allowed: l.windowCapacity}
		l.members[name] = m
		l.byDemand = append(l.byDemand, m)
	}
	return m
}

// Allow reports whether a packet of a member may pass at now; opensFlow means that it would open a flow.
func (l *Limiter) Allow(name string, opensFlow bool, now time.Time) bool {
	if l.windowCapacity == 0 {
		return true
	}
	if !now.Before(l.windowEnd) {
		l.startWindow(now)
	}
	m := l.member(name)
	m.requested++
	limit := m.allowed + m.carryOver
	if opensFlow {
		limit *= newFlowFraction
	}
	if m.used >= limit {
		return false
	}
	m.used++
	return true
}

// startWindow starts a window and allocates its capacity according to the demand in the previous ones.
func (l *Limiter) startWindow(now time.Time) {
	l.windowEnd = l.windowEnd.Add(window) // Windows are contiguous, even if a window's first packet comes late.
	if l.windowEnd.Before(now) {
		l.windowEnd = now.Add(window)
	}
	for _, m := range l.byDemand {
		m.demand = max(m.requested, demandDecay*m.demand+(1-demandDecay)*m.requested)
		m.carryOver = max(0, min(m.allowed, m.allowed+m.carryOver-m.used))
		m.requested, m.used = 0, 0
	}
	l.allocate()
}

// allocate allows each member its demand up to its fair share, and distributes the rest among all members by their shares.
func (l *Limiter) allocate() {
	slices.SortFunc(l.byDemand, func(a, b *member) int { return cmp.Compare(a.demand/a.share, b.demand/b.share) })
	remaining, remainingShares := l.windowCapacity, 0.0
	for _, m := range l.byDemand {
		remainingShares += m.share
	}
	for _, m := range l.byDemand {
		fairPart := remaining * m.share / remainingShares
		m.allowed = min(m.demand, fairPart)
		remaining -= m.allowed
		remainingShares -= m.share
	}
	if remaining <= 0 {
		return
	}
	totalShares := 0.0
	for _, m := range l.byDemand {
		totalShares += m.share
	}
	for _, m := range l.byDemand {
		m.allowed += remaining * m.share / totalShares
	}
}
