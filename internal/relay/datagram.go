package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// handleDatagram dispatches a datagram from an agent.
func (r *Relay) handleDatagram(from netip.AddrPort, b []byte) {
	r.meter.RecordReceived(b)
	header, body, err := encap.Parse(b)
	if err != nil {
		r.counters.Add("hop_damaged", 1)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch header.Kind {
	case encap.QueryReply:
		r.handleQueryReply(from, header, body, now)
	case encap.Claim:
		r.handleClaim(from, header.Service, body, now)
	case encap.ListReply:
		r.handleListReply(from, header, body, now)
	case encap.Return:
		r.handleReturn(from, header.Verdict, b, body, now)
	default:
		r.counters.Add("hop_unexpected", 1)
	}
}

// handleQueryReply records an agent's verdict on a single flow.
func (r *Relay) handleQueryReply(agent netip.AddrPort, header encap.Header, body []byte, now time.Time) {
	key, ok := encap.ParseKey(body)
	s := r.searches[key]
	if !ok || s == nil || header.Version != 0 && header.Version != s.id {
		return
	}
	s.RecordVerdict(agent, header.Verdict, sourceOf(header, seek.Reply))
	r.advance(key, s, now)
}

// handleClaim records that an agent holds a flow.
func (r *Relay) handleClaim(agent netip.AddrPort, service uint64, body []byte, now time.Time) {
	key, ok := encap.ParseKey(body)
	if !ok {
		return
	}
	if s := r.searches[key]; s != nil {
		s.RecordVerdict(agent, seek.Held, seek.Claimed)
		r.step(key, s, now)
	}
	switch f := r.flows.Get(key, now); {
	case f == nil:
	case f.agent != agent && !f.openSince.IsZero() && !r.opts.Cluster.Dead(f.agent):
		// The client's later packets went to another agent, which hasn't returned them: the claim is late, or of a server that the
		// client didn't choose.
		r.counters.Add("move_ignored", 1)
	default:
		r.logMoved(key, f, agent, "claim", now)
		f.agent, f.service, f.claimed = agent, service, true
	}
	delete(r.held, key)
	r.counters.Add("claimed", 1)
}

// logMoved logs that an agent's message is about to change the agent of a flow in the table.
func (r *Relay) logMoved(key flow.Key, f *flowState, to netip.AddrPort, by string, now time.Time) {
	if f.agent == to {
		return
	}
	fields := []zap.Field{
		zap.Stringer("flow", key), zap.Stringer("from", f.agent), zap.Stringer("to", to), zap.String("by", by), zap.Bool("claimed", f.claimed),
	}
	if !f.openedAt.IsZero() {
		fields = append(fields, zap.Duration("placed", now.Sub(f.openedAt)))
	}
	if !f.openSince.IsZero() {
		fields = append(fields, zap.Duration("open", now.Sub(f.openSince)))
	}
	r.opts.FlowLog.Info("flow moved to another agent", fields...)
}

// handleReturn searches for the holder of a packet that an agent returned because it doesn't hold the flow. sameKey is the agent's verdict
// on a flow with the same key, if it knows one.
func (r *Relay) handleReturn(agent netip.AddrPort, sameKey seek.Verdict, b, body []byte, now time.Time) {
	h, ok := r.opts.Codec.Parse(body)
	if !ok {
		r.counters.Add("hop_damaged", 1)
		return
	}
	key := h.KeyFromClient()
	if h.Opens() {
		r.handleRefusedOpen(agent, key, h, b, now)
		return
	}
	r.counters.Add("returned", 1)
	r.opts.FlowLog.Info("packet returned by an agent", zap.Stringer("flow", key), zap.Stringer("agent", agent), zap.Int("len", h.Len), zap.Bool("fin", h.Fin))
	if s := r.activeSearch(key, now); s != nil {
		r.handleReturnInSearch(agent, sameKey, key, h, s, now)
		return
	}
	if r.forwardToHolder(agent, key, h, b) {
		return
	}
	if f := r.flows.Peek(key); f != nil && f.numbers.Match(h) != flow.Other {
		r.flows.Delete(key)
	}
	rt := r.opts.Cluster.Table().Lookup(h.Dst)
	if rt == nil {
		return
	}
	r.findHolder(key, h, rt, b, now)
	if s := r.searches[key]; s != nil {
		s.RecordReturn(agent, sameKey)
	}
}

// handleReturnInSearch records that an agent returned a packet with the key of a flow that is searched for. One of another flow shows nothing
// of that one.
func (r *Relay) handleReturnInSearch(agent netip.AddrPort, sameKey seek.Verdict, key flow.Key, h flow.Header, s *search, now time.Time) {
	if !s.mayContain(h) {
		r.counters.Add("returned_late", 1)
		return
	}
	if f := r.flows.Peek(key); f != nil && f.agent == agent {
		r.flows.Delete(key)
	}
	s.RecordReturn(agent, sameKey)
	s.probedAlone = 0 // The next ones go to other servers.
	if rt := r.opts.Cluster.Table().Lookup(h.Dst); s.hinted && !s.paused && rt != nil {
		r.resume(key, s, rt, now)
		return
	}
	r.advance(key, s, now)
}

// activeSearch returns the search for a flow, or nil if there is none whose verdicts may still be used.
func (r *Relay) activeSearch(key flow.Key, now time.Time) *search {
	s := r.searches[key]
	if s == nil || s.expired(now) {
		return nil
	}
	return s
}

// forwardToHolder forwards a packet that an agent returned if the flow has been found at another agent since the packet was sent. It reports
// whether it did so.
func (r *Relay) forwardToHolder(agent netip.AddrPort, key flow.Key, h flow.Header, b []byte) bool {
	f := r.flows.Peek(key)
	if f == nil || f.agent == agent || r.opts.Cluster.Dead(f.agent) || !f.mayContain(h) {
		return false
	}
	r.send(encap.Header{Kind: encap.Forward, Version: configVersion(r.opts.Cluster.Table()), Service: f.service, Entry: r.opts.Self}, b, f.agent)
	return true
}
