package relay

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/route"
)

const (
	// maxOpeningTime is how long after its first later packet a SYN counts as a copy of that of a flow whose SYN this entry hasn't seen.
	// Clients give up a SYN after 1.4 s.
	maxOpeningTime = 2 * time.Second
	// maxHoldTime is how long a SYN waits for an agent that accepts new flows, less than the time after which clients give it up.
	maxHoldTime = 1200 * time.Millisecond
	// releaseInterval is how often the entry looks for agents that accept held SYNs.
	releaseInterval = 10 * time.Millisecond
	maxHeldOpens    = 4096
	// maxSynCopies is how many copies of a SYN a client sends.
	maxSynCopies = 3
	// maxRefusals is how many returned SYNs of a flow are sent to another agent at once. After that the flow is held.
	maxRefusals = 3
)

// heldOpen is the SYN of a flow that no agent accepts at present.
type heldOpen struct {
	header flow.Header
	// packet is the client's packet, preceded by encap.HeaderSize bytes for an encap.Header.
	packet []byte
	since  time.Time
	// sent is set if a copy of the SYN was sent to an agent, whose server may have accepted it.
	sent bool
	// copies has a bit for each copy of the SYN that came to this entry. Another entry may have opened the flow by a missing one.
	copies uint32
}

// allCopies is the value of heldOpen.copies with the SYN and both retransmissions.
const allCopies = 1<<maxSynCopies - 1

// record records the arrival of a copy of the SYN.
func (o *heldOpen) record(h flow.Header) {
	if h.AckNumber < maxSynCopies {
		o.copies |= 1 << h.AckNumber
	}
}

// numbers returns the numbers of the flow that the SYN opens.
func (o *heldOpen) numbers() *flow.Numbers { return numbersOfSyn(o.header) }

// numbersOfSyn returns the numbers of the flow that a SYN opens.
func numbersOfSyn(h flow.Header) *flow.Numbers {
	var n flow.Numbers
	n.RecordClient(h.Seq)
	return &n
}

// mayBeOpen reports whether a server may have accepted a copy of the SYN.
func (o *heldOpen) mayBeOpen() bool { return o.sent || o.copies != allCopies }

// openFlow sends a SYN to the agent chosen for the flow. A retransmission avoids the agent that left the previous SYN
// unanswered, if there is another one. A duplicate goes to the same agent, and so does a retransmission that is late: the client
// has received a response since. It may have waited at a link.
func (r *Relay) openFlow(key flow.Key, h flow.Header, rt *route.Route, b []byte, now time.Time) {
	if held := r.held[key]; held != nil {
		held.record(h)
		return
	}
	f := r.flows.Get(key, now)
	if f != nil && (!f.mayBeOpenedBy(h, now) || f.isOnlyListed() && r.opts.Cluster.Dead(f.agent)) {
		r.flows.Delete(key)
		f = nil
	}
	avoid := netip.AddrPort{}
	if f != nil && (f.retransmissions >= h.AckNumber || !f.openSince.IsZero()) {
		r.sendOpen(f.agent, netip.AddrPort{}, f.service, b)
		return
	}
	if f != nil {
		avoid = f.agent
	}
	if !r.placeFlow(key, h, rt, b, avoid, now) {
		r.holdOpen(key, h, b, now)
	}
}

// mayBeOpenedBy reports whether a SYN may be a copy of the one that opened the flow. Otherwise its client uses the addresses and ports of an
// earlier flow again.
func (f *flowState) mayBeOpenedBy(h flow.Header, now time.Time) bool {
	if !f.openedAt.IsZero() {
		return f.synSeq == h.Seq
	}
	if f.isOnlyListed() && h.AckNumber == 0 {
		return false // The list may name the earlier flow, and a first SYN is hardly ever later than the packets that follow it.
	}
	return now.Sub(f.openSince) < maxOpeningTime && f.numbers.Match(flow.Header{Seq: h.Seq}) != flow.Other
}

// awaitsOpen reports whether a SYN that an agent returned is to be sent to another one: it is the flow's, and as far as this entry knows the flow
// isn't open.
func (f *flowState) awaitsOpen(h flow.Header) bool {
	if f.openedAt.IsZero() {
		return f.isOnlyListed() && !f.claimed
	}
	return f.synSeq == h.Seq && !f.claimed && f.openSince.IsZero()
}

// isOnlyListed reports whether all that this entry knows of the flow is that an agent has listed its key.
func (f *flowState) isOnlyListed() bool { return f.openedAt.IsZero() && f.numbers == flow.Numbers{} }

// placeFlow chooses an agent for a new flow and sends it the SYN. It returns false if no agent accepts new flows.
func (r *Relay) placeFlow(key flow.Key, h flow.Header, rt *route.Route, b []byte, avoid netip.AddrPort, now time.Time) bool {
	service := rt.ServiceForHash(key.Hash())
	candidates := r.opts.Cluster.Agents(route.ServiceID(service))
	newFlow := pick.Flow{Hash: key.Hash(), LongLived: r.estimatorFor(rt.Name).LongLived(), Objective: rt.Objective, Avoid: avoid}
	choice := pick.Choose(newFlow, candidates)
	if choice.First < 0 {
		return false
	}
	first, fallback := candidates[choice.First].Agent, netip.AddrPort{}
	if choice.Fallback >= 0 {
		fallback = candidates[choice.Fallback].Agent
	}
	refusals := 0
	if f := r.flows.Peek(key); f != nil {
		refusals = f.refusals
	}
	r.flows.Put(key, flowState{
		agent: first, service: route.ServiceID(service), openedAt: now, synSeq: h.Seq, numbers: *numbersOfSyn(h),
		retransmissions: h.AckNumber, refusals: refusals, route: rt.Name,
	}, now)
	r.opts.Cluster.RecordOpen(first)
	r.counters.Add("opened", 1)
	if logEntry := r.opts.FlowLog.Check(zap.InfoLevel, "flow placed"); logEntry != nil {
		logEntry.Write(zap.Stringer("flow", key), zap.String("route", rt.Name), zap.Stringer("agent", first),
			zap.Stringer("second", fallback), zap.Uint32("copy", h.AckNumber), zap.Uint64("hash", newFlow.Hash), zap.Bool("long", newFlow.LongLived),
			zap.Duration("objective", newFlow.Objective), zap.Stringer("avoid", avoid),
			zap.Uint64("version", configVersion(r.opts.Cluster.Table())), zap.String("members", pick.Trace(candidates)))
	}
	r.sendOpen(first, fallback, route.ServiceID(service), b)
	return true
}

// sendOpen sends a SYN to an agent. A zero fallback keeps the agent from passing it on.
func (r *Relay) sendOpen(agent, fallback netip.AddrPort, service uint64, b []byte) {
	r.send(encap.Header{
		Kind: encap.Open, Version: configVersion(r.opts.Cluster.Table()), Service: service, Fallback: fallback, Entry: r.opts.Self,
	}, b, agent)
}

// handleRefusedOpen sends a SYN that an agent returned to another one. The agent to which this entry sent the SYN has refused it,
// too, if it was another one.
func (r *Relay) handleRefusedOpen(agent netip.AddrPort, key flow.Key, h flow.Header, b []byte, now time.Time) {
	r.counters.Add("open_returned", 1)
	r.opts.Cluster.RecordRefusal(agent)
	f := r.flows.Peek(key)
	if f == nil || !f.awaitsOpen(h) || r.held[key] != nil {
		return
	}
	r.opts.Cluster.RecordRefusal(f.agent)
	f.refusals++
	rt := r.opts.Cluster.Table().Lookup(h.Dst)
	if rt == nil {
		r.rejectUnrouted(h, now)
		return
	}
	if f.refusals > maxRefusals || !r.placeFlow(key, h, rt, b, f.agent, now) {
		r.holdOpen(key, h, b, now)
	}
}

// holdOpen keeps a SYN until an agent accepts new flows. The client's retransmissions would come too late for a short outage, and
// a refusal would use up its retries.
func (r *Relay) holdOpen(key flow.Key, h flow.Header, b []byte, now time.Time) {
	if len(r.held) >= maxHeldOpens {
		r.counters.Add("hold_dropped", 1)
		return
	}
	r.counters.Add("held", 1)
	held := &heldOpen{header: h, packet: slices.Clone(b), since: now, sent: r.flows.Peek(key) != nil}
	held.record(h)
	r.held[key] = held
}

// releaseHeld sends the held SYNs to agents that accept new flows, the oldest first. Those that have been held for maxHoldTime are
// refused, or dropped if a server may have accepted a copy.
func (r *Relay) releaseHeld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.held) == 0 {
		return
	}
	now := time.Now()
	keys := make([]flow.Key, 0, len(r.held))
	for key := range r.held {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b flow.Key) int { return r.held[a].since.Compare(r.held[b].since) })
	for _, key := range keys {
		r.releaseOpen(key, r.held[key], now)
	}
}

// releaseOpen sends a held SYN to an agent, or removes it if it has been held for too long or its route has gone.
func (r *Relay) releaseOpen(key flow.Key, held *heldOpen, now time.Time) {
	rt := r.opts.Cluster.Table().Lookup(held.header.Dst)
	waited := now.Sub(held.since)
	switch {
	case rt == nil:
		r.rejectUnrouted(held.header, now)
	case r.placeFlow(key, held.header, rt, held.packet, netip.AddrPort{}, now):
		r.counters.Add("released", 1)
	case waited >= maxHoldTime:
		r.counters.Add("unserved", 1)
		r.opts.FlowLog.Warn("no backend server for a new flow", zap.Stringer("flow", key), zap.String("route", rt.Name), zap.Duration("waited", waited), zap.Bool("reset", !held.mayBeOpen()))
		if !held.mayBeOpen() {
			r.reset(held.header)
		}
	default:
		return
	}
	delete(r.held, key)
}
