package relay

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

const (
	// maxSearches bounds concurrent searches. Packets of further flows are dropped; the client retransmits them.
	maxSearches = 4096
	// maxQueuedPackets bounds the packets queued by one search.
	maxQueuedPackets = 4
	// stepInterval is the delay until a waiting search is evaluated again.
	stepInterval = 13 * time.Millisecond
	// maxAgentsOfAllServices bounds the agents queried after those of the route's services have denied a flow. In a
	// larger deployment such a flow is not reset.
	maxAgentsOfAllServices = 256
	// searchLifetime is how long the verdicts of an unsuccessful search are reused. A search that was paused for that time is
	// removed.
	searchLifetime = 5 * time.Second
	// maxRetransmissionInterval is the longest time between two packets of a client that awaits a response. The verdicts of a search are not
	// reused for a later packet, which may be of a later flow with the same key.
	maxRetransmissionInterval = 2 * time.Second
	// resumeInterval is how long a paused search waits for the client's next packet before it goes on without one. Flow lists are
	// requested at most that often.
	resumeInterval = minListInterval
)

// search is the state of a search for the agent that holds one flow.
type search struct {
	*seek.Search
	// id is part of queries and of the replies to them.
	id        uint64
	startedAt time.Time
	service   uint64
	route     string
	// packetHeader is the header of the newest client packet, which came at packetAt.
	packetHeader flow.Header
	packetAt     time.Time
	// numbers are those of the client's packets that the search has had.
	numbers flow.Numbers
	// packets are the queued client packets, each preceded by encap.HeaderSize bytes for an encap.Header.
	packets [][]byte
	// probed is the number of queued packets that have been sent as probes.
	probed int
	// probedAlone is the number of packets that have been sent since all servers that may hold the flow were probed, to some of them only.
	probedAlone int
	timer       *time.Timer
	// allServices is set if the agents of all services are queried, not only those of the route's services.
	allServices bool
	// paused is set while the search waits for the client's next packet, since pausedAt. unattended is set while it goes on without
	// one; it then sends no packet to servers that may not hold the flow.
	paused, unattended bool
	pausedAt           time.Time
	// hinted is set while only the agents that were named by earlier lists have been asked, by a probe.
	hinted bool
}

// findHolder queues a packet and starts or resumes the search for the agent that holds its flow.
func (r *Relay) findHolder(key flow.Key, h flow.Header, rt *route.Route, b []byte, now time.Time) {
	s, earlier := r.searches[key], (*search)(nil)
	if s != nil && h.Rst && !s.mayContain(h) {
		return // It would end the search for another flow.
	}
	if s != nil && (s.expired(now) || now.Sub(s.packetAt) > maxRetransmissionInterval || !s.mayContain(h)) {
		r.removeSearch(key, s)
		if s.mayContain(h) {
			earlier = s
		}
		s = nil
	}
	if s == nil {
		if len(r.searches) >= maxSearches {
			r.counters.Add("search_dropped", 1)
			return
		}
		s = r.newSearch(rt, earlier, now)
		r.searches[key] = s
		r.counters.Add("searched", 1)
	}
	s.packetHeader, s.packetAt, s.unattended = h, now, false
	recordNumbers(&s.numbers, h)
	s.queuePacket(b)
	if s.paused {
		r.resume(key, s, rt, now)
	}
}

// mayContain reports whether a client's packet may be of the flow that is searched for. The verdicts of a search count for one flow only.
// The numbers of an RST may be any: it belongs to the flow only if they match.
func (s *search) mayContain(h flow.Header) bool {
	match := s.numbers.Match(h)
	return match == flow.Same || match == flow.Unknown && !h.Rst && !s.packetHeader.Rst
}

// resume continues a paused search.
func (r *Relay) resume(key flow.Key, s *search, rt *route.Route, now time.Time) {
	s.paused = false
	s.Update(r.possibleHolders(rt, s.allServices), now)
	if s.hinted = r.useHints(key, s, now); !s.hinted {
		r.queryUnanswered(key, s, now)
	}
	r.step(key, s, now)
}

// resumeUnattended continues a paused search whose client has sent nothing since. After a loss of all processes clients retransmit
// seconds later, and could use that time for another try if their flow is lost.
func (r *Relay) resumeUnattended(key flow.Key, s *search) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.searches[key] != s || !s.paused || s.expired(now) {
		return
	}
	if r.flows.Peek(key) != nil {
		r.removeSearch(key, s) // The client has opened a new flow from the same port.
		return
	}
	if !r.opts.Cluster.AllAgentsKnown() {
		r.scheduleResume(key, s)
		return
	}
	rt := r.opts.Cluster.Table().Lookup(s.packetHeader.Dst)
	r.searchCount++
	s.id, s.unattended = r.searchCount, true
	s.Search = s.Renew(r.possibleHolders(rt, s.allServices), now) // No client's packet shows that the earlier verdicts still hold.
	r.resume(key, s, rt, now)
}

// scheduleResume calls resumeUnattended after resumeInterval.
func (r *Relay) scheduleResume(key flow.Key, s *search) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(resumeInterval, func() { r.resumeUnattended(key, s) })
}

// newSearch returns a search among the agents of the route's services. A nil route means that there is no configuration
// yet; then all agents are searched. earlier is a search for the same flow whose verdicts count no longer, or nil.
func (r *Relay) newSearch(rt *route.Route, earlier *search, now time.Time) *search {
	r.searchCount++
	s := &search{id: r.searchCount, startedAt: now, packetAt: now, paused: true, allServices: rt == nil}
	if earlier != nil {
		s.Search = earlier.Renew(r.possibleHolders(rt, s.allServices), now)
	} else {
		s.Search = seek.New(r.possibleHolders(rt, s.allServices), now)
	}
	if rt != nil {
		s.route, s.service = rt.Name, route.ServiceID(rt.Targets[0].Service)
	}
	return s
}

// possibleHolders returns the agents of the route's services, or those of all services.
func (r *Relay) possibleHolders(rt *route.Route, allServices bool) []seek.Candidate {
	if allServices || rt == nil {
		all, _ := r.opts.Cluster.AllAgents(maxAgentsOfAllServices)
		return all
	}
	services := make([]uint64, 0, len(rt.Targets))
	for _, t := range rt.Targets {
		services = append(services, route.ServiceID(t.Service))
	}
	return r.opts.Cluster.PossibleHolders(services)
}

// queuePacket queues a copy of a packet. If the queue is full, it replaces the last one.
func (s *search) queuePacket(b []byte) {
	packet := append([]byte(nil), b...)
	if len(s.packets) < maxQueuedPackets {
		s.packets = append(s.packets, packet)
		return
	}
	s.packets[maxQueuedPackets-1] = packet
}

// advance executes the next step of a search unless it is paused.
func (r *Relay) advance(key flow.Key, s *search, now time.Time) {
	if !s.paused {
		r.step(key, s, now)
	}
}

// step executes the next step of a search and schedules another one if the search goes on.
func (r *Relay) step(key flow.Key, s *search, now time.Time) {
	step := s.Next(now)
	switch step.Action {
	case seek.Wait:
		r.scheduleStep(key, s)
	case seek.Forward:
		r.handleFound(key, s, step.Agents[0], now)
	case seek.Probe:
		r.probe(key, s, step.Agents, now)
	case seek.ProbeMore:
		r.probeMore(key, s, step.Agents[0], now)
	case seek.Lost:
		if !s.allServices {
			r.searchAllServices(key, s, now)
			return
		}
		r.handleLost(key, s, now)
	case seek.Drop:
		r.pauseSearch(key, s, "undecided", now)
	}
}

// searchAllServices extends a search to the agents of all services, since an earlier configuration may have routed the
// flow to any of them.
func (r *Relay) searchAllServices(key flow.Key, s *search, now time.Time) {
	all, ok := r.opts.Cluster.AllAgents(maxAgentsOfAllServices)
	if !ok {
		r.pauseSearch(key, s, "too many agents", now)
		return
	}
	s.allServices = true
	ofRoute := s.Unanswered()
	s.Update(all, now)
	version := configVersion(r.opts.Cluster.Table())
	isNewest := r.opts.Cluster.ConfigAge() < now.Sub(s.startedAt)
	for _, agent := range s.Unanswered() {
		// With this configuration version an agent of another service can't have opened a flow of the route since, so its list
		// is still valid unless a newer configuration is in force elsewhere.
		if !isNewest {
			break
		}
		if list := r.lists[agent]; list != nil && list.denies(key, version) && !slices.Contains(ofRoute, agent) {
			s.RecordVerdict(agent, seek.Denied, seek.EarlierList)
		}
	}
	r.queryUnanswered(key, s, now)
	r.step(key, s, now)
}

// pauseSearch drops the queued packets and waits for the client's next one, which resumes the search, or for resumeInterval. A client that
// has sent an RST waits for nothing. why is for the log.
func (r *Relay) pauseSearch(key flow.Key, s *search, why string, now time.Time) {
	r.counters.Add("search_failed", 1)
	if logEntry := r.opts.FlowLog.Check(zap.InfoLevel, "search paused"); logEntry != nil {
		n := s.Counts()
		logEntry.Write(zap.Stringer("flow", key), zap.String("reason", why), zap.Duration("after", now.Sub(s.startedAt)), zap.Int("denied", n.Denied),
			zap.Int("perhaps", n.Perhaps), zap.Int("opening", n.Opening), zap.Int("unanswered", n.Unanswered), zap.Int("silent", n.Silent))
	}
	if s.packetHeader.Rst {
		r.removeSearch(key, s)
		return
	}
	s.packets, s.probed, s.paused = nil, 0, true
	if !s.unattended {
		s.pausedAt = now
		r.queryUnasked(key, s, now)
	}
	r.scheduleResume(key, s)
}

// expired reports whether a search is paused and too old for its verdicts to be reused.
func (s *search) expired(now time.Time) bool {
	return s.paused && now.Sub(s.startedAt) > searchLifetime
}

// sweepSearches removes the searches whose clients have sent no packet for searchLifetime.
func (r *Relay) sweepSearches(now time.Time) {
	for key, s := range r.searches {
		if s.paused && now.Sub(s.pausedAt) > searchLifetime {
			r.removeSearch(key, s)
		}
	}
}

// scheduleStep calls step after stepInterval, unless the search is paused or removed by then.
func (r *Relay) scheduleStep(key flow.Key, s *search) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(stepInterval, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.searches[key] == s && !s.paused {
			r.step(key, s, time.Now())
		}
	})
}

// handleFound forwards the queued packets to the agent that holds the flow and ends the search.
func (r *Relay) handleFound(key flow.Key, s *search, agent netip.AddrPort, now time.Time) {
	r.opts.FlowLog.Info("flow found again", zap.Stringer("flow", key), zap.Stringer("agent", agent), zap.Duration("took", now.Sub(s.startedAt)),
		zap.Stringer("by", s.SourceOf(agent)))
	r.counters.Add("found", 1)
	if f := r.flows.Peek(key); f == nil || !f.isLaterThan(s) || r.opts.Cluster.Dead(f.agent) {
		r.flows.Put(key, flowState{agent: agent, service: s.service, route: s.route, openSince: now, numbers: s.numbers}, now)
	}
	for _, b := range s.packets {
		r.send(encap.Header{Kind: encap.Forward, Version: configVersion(r.opts.Cluster.Table()), Service: s.service, Entry: r.opts.Self}, b, agent)
	}
	r.removeSearch(key, s)
}

// handleLost resets a flow that no agent holds, so that its client can reconnect at once. Nothing is reset while some
// agents may be unknown; the search then goes on later.
func (r *Relay) handleLost(key flow.Key, s *search, now time.Time) {
	if r.usedAgain(key, s) {
		r.removeSearch(key, s)
		return
	}
	r.flows.Delete(key)
	if !r.opts.Cluster.AllAgentsKnown() {
		r.pauseSearch(key, s, "agents may be unknown", now)
		return
	}
	r.opts.FlowLog.Warn("flow is lost: no agent holds it", zap.Stringer("flow", key), zap.Bool("reset", s.awaitsAnswer()),
		zap.Duration("took", now.Sub(s.startedAt)), zap.Bool("fin", s.packetHeader.Fin), zap.Int("len", s.packetHeader.Len),
		zap.Duration("oldest_answer", s.OldestVerdict(now)), zap.Int("silent", s.Silent()), zap.String("answers", s.Trace()))
	r.counters.Add("lost", 1)
	if s.awaitsAnswer() {
		r.counters.Add("reset_lost", 1)
		r.reset(s.packetHeader)
	}
	r.removeSearch(key, s)
}

// awaitsAnswer reports whether the client has sent data, whose answer a reset tells it not to wait for. One that only acknowledges or closes
// waits for nothing, and the next flow from its port, perhaps through another entry, would get the reset.
func (s *search) awaitsAnswer() bool { return s.packetHeader.Len > 0 && !s.packetHeader.Rst }

// usedAgain reports whether the client has opened, is opening or is using another flow with the key through this entry, so that a reset of the
// flow that is searched for would meet it.
func (r *Relay) usedAgain(key flow.Key, s *search) bool {
	if r.held[key] != nil {
		return true
	}
	f := r.flows.Peek(key)
	switch {
	case f == nil:
		return false
	case f.openedAt.After(s.startedAt) || f.isLaterThan(s):
		return true
	}
	return !f.mayContain(s.packetHeader) && r.flows.UsedSince(key, s.packetAt)
}

// isLaterThan reports whether this entry has just opened the flow, so that another one with the key that is searched for is an earlier one.
func (f *flowState) isLaterThan(s *search) bool {
	return !f.mayContain(s.packetHeader) && s.startedAt.Sub(f.openedAt) < maxOpeningTime
}

// removeSearch ends a search. Packets that are still queued are dropped.
func (r *Relay) removeSearch(key flow.Key, s *search) {
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(r.searches, key)
}
