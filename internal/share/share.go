// Package share divides an entry's capacity among members when it is short.
//
// A Divider counts what each member asks for in short windows and gives each member, in the next window,
// at most its weighted max-min fair part: its share of the capacity, and of what others leave unused.
// New flows are given up before packets of established ones. There are no queues: what is over is dropped,
// which QUIC takes as congestion. Time comes in as an argument; there are no locks. A decision costs
// constant time, a new window time in proportion to the members' number times the logarithm of it.
package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is the time over which demand is counted.
	window = 50 * time.Millisecond
	// newFlowPart is the part of a member's allowance up to which new flows are taken.
	newFlowPart = 0.9
	// memory is the weight of the last window's demand against the ones before.
	memory = 0.5
)

// member is the state of one member.
type member struct {
	share   float64
	asked   float64
	demand  float64
	allowed float64
	used    float64
	// carry is what the member left of the last window, so that uneven arrivals within its part pass.
	carry float64
}

// Limiter divides a capacity. Its owner serializes access.
type Limiter struct {
	// perWindow is the capacity of a window in packets.
	perWindow float64
	members   map[string]*member
	order     []*member
	ends      time.Time
}

// New returns a divider of a capacity in packets a second; 0 means that nothing is ever short.
func New(perSecond int) *Limiter {
	return &Limiter{perWindow: float64(perSecond) * window.Seconds(), members: make(map[string]*member)}
}

// SetShare sets a member's share. A member that has none gets 1.
func (d *Limiter) SetShare(name string, share uint32) { d.member(name).share = float64(max(1, share)) }

func (d *Limiter) member(name string) *member {
	m := d.members[name]
	if m == nil {
		m = &member{share: 1, allowed: d.perWindow}
		d.members[name] = m
		d.order = append(d.order, m)
	}
	return m
}

// Allow reports whether a packet of a member may pass at now; opens says that it would open a flow.
func (d *Limiter) Allow(name string, opens bool, now time.Time) bool {
	if d.perWindow == 0 {
		return true
	}
	if !now.Before(d.ends) {
		d.turn(now)
	}
	m := d.member(name)
	m.asked++
	limit := m.allowed + m.carry
	if opens {
		limit *= newFlowPart
	}
	if m.used >= limit {
		return false
	}
	m.used++
	return true
}

// turn starts a new window and allots its capacity by the demand of those before.
func (d *Limiter) turn(now time.Time) {
	d.ends = d.ends.Add(window) // Windows follow each other, however late the first packet of one comes.
	if d.ends.Before(now) {
		d.ends = now.Add(window)
	}
	for _, m := range d.order {
		m.demand = max(m.asked, memory*m.demand+(1-memory)*m.asked)
		m.carry = max(0, min(m.allowed, m.allowed+m.carry-m.used))
		m.asked, m.used = 0, 0
	}
	d.allot()
}

// allot gives each member what it asked for up to its fair part; the rest is lent to all by their shares.
func (d *Limiter) allot() {
	slices.SortFunc(d.order, func(a, b *member) int { return cmp.Compare(a.demand/a.share, b.demand/b.share) })
	capacity, shares := d.perWindow, 0.0
	for _, m := range d.order {
		shares += m.share
	}
	for _, m := range d.order {
		part := capacity * m.share / shares
		m.allowed = min(m.demand, part)
		capacity -= m.allowed
		shares -= m.share
	}
	if capacity <= 0 {
		return
	}
	total := 0.0
	for _, m := range d.order {
		total += m.share
	}
	for _, m := range d.order {
		m.allowed += capacity * m.share / total
	}
}
