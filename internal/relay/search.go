package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

const (
	// maxSearches bounds the flows that are looked for at the same time; the packets of others are dropped and come again.
	maxSearches = 4096
	// maxKept bounds the packets that are kept for a flow that is looked for.
	maxKept = 4
	// stepWait is the time between two looks at a search.
	stepWait = 13 * time.Millisecond
	// maxWide is how many agents are asked at the most when those of the route's services deny a flow; in larger
	// deployments such a flow is not reset.
	maxWide = 256
	// searchLife is how long a search without a result stands; its verdicts hold that long.
	searchLife = 5 * time.Second
)

// search is a flow that is looked for.
type search struct {
	*seek.Search
	started time.Time
	service uint64
	route   string
	// head is that of the newest packet.
	head flow.Head
	// kept are packets, each behind room for a hop head.
	kept  [][]byte
	timer *time.Timer
	// wide says that agents of all services are asked.
	wide bool
	// idle says that the search waits for the client's next packet.
	idle bool
}

// seek looks for the agent that holds a flow.
func (r *Relay) seek(key flow.Key, h flow.Head, rt *route.Route, b []byte, now time.Time) {
	s := r.searches[key]
	if s == nil {
		if len(r.searches) >= maxSearches {
			r.counts.Add("search_dropped", 1)
			return
		}
		s = r.newSearch(rt, now)
		r.searches[key] = s
		r.counts.Add("searched", 1)
	}
	s.head = h
	s.keep(b)
	if s.idle {
		s.idle = false
		s.Retry(now)
		r.ask(key, s, now)
		r.step(key, s, now)
	}
}

// newSearch returns a search among the agents of a route's services; without a route, since there is no configuration
// yet, among all.
func (r *Relay) newSearch(rt *route.Route, now time.Time) *search {
	s := &search{started: now, idle: true}
	if rt == nil {
		all, _ := r.opts.Members.AllAgents(maxWide)
		s.Search, s.wide = seek.New(all, now), true
		return s
	}
	services := make([]uint64, 0, len(rt.Targets))
	for _, t := range rt.Targets {
		services = append(services, route.Number(t.Service))
	}
	s.Search, s.route, s.service = seek.New(r.opts.Members.PossibleHolders(services), now), rt.Name, services[0]
	return s
}

// keep stores a packet; the newest replaces the last one when there is no room.
func (s *search) keep(b []byte) {
	packet := append([]byte(nil), b...)
	if len(s.kept) < maxKept {
		s.kept = append(s.kept, packet)
		return
	}
	s.kept[maxKept-1] = packet
}

// advance takes the next step of a search that doesn't wait for the client.
func (r *Relay) advance(key flow.Key, s *search, now time.Time) {
	if !s.idle {
		r.step(key, s, now)
	}
}

// step takes the search's next step, and comes back later when that is to wait.
func (r *Relay) step(key flow.Key, s *search, now time.Time) {
	step := s.Next(now)
	switch step.Action {
	case seek.Wait:
		r.later(key, s)
	case seek.Deliver:
		r.found(key, s, step.Agents[0], now)
	case seek.Try:
		r.counts.Add("tried", int64(len(step.Agents)))
		r.opts.Flows.Info("flow tried at servers that may hold it", zap.Stringer("flow", key), zap.Int("servers", len(step.Agents)))
		for _, a := range step.Agents {
			r.send(hop.Head{Kind: hop.Probe, Version: versionOf(r.opts.Members.Table()), Service: s.service, Entry: r.opts.Self}, s.kept[0], a)
		}
		r.later(key, s)
	case seek.Lost:
		if !s.wide {
			r.widen(key, s, now)
			return
		}
		r.lost(key, s, now)
	case seek.Fail:
		r.fail(key, s, now)
	}
}

// widen asks the agents of all services: an earlier configuration may have sent the flow to any of them.
func (r *Relay) widen(key flow.Key, s *search, now time.Time) {
	all, ok := r.opts.Members.AllAgents(maxWide)
	if !ok {
		r.fail(key, s, now)
		return
	}
	s.wide = true
	s.Extend(all, now)
	version := versionOf(r.opts.Members.Table())
	for _, agent := range s.Unanswered() {
		// An agent with this configuration opens no flow of the route any more, so that its list stays true.
		if l := r.lists[agent]; l != nil && l.denies(key, version) {
			s.Answer(agent, seek.Denied)
		}
	}
	r.ask(key, s, now)
	r.step(key, s, now)
}

// fail drops the packets; the client's next one goes on with the search.
func (r *Relay) fail(key flow.Key, s *search, now time.Time) {
	r.counts.Add("search_failed", 1)
	s.kept, s.idle = nil, true
	if now.Sub(s.started) > searchLife {
		delete(r.searches, key)
	}
}

func (r *Relay) later(key flow.Key, s *search) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(stepWait, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.searches[key] == s && !s.idle {
			r.step(key, s, time.Now())
		}
	})
}

// found gives the kept packets to the agent that holds the flow.
func (r *Relay) found(key flow.Key, s *search, agent netip.AddrPort, now time.Time) {
	r.opts.Flows.Info("flow found again", zap.Stringer("flow", key), zap.Stringer("agent", agent), zap.Duration("took", now.Sub(s.started)))
	r.counts.Add("found", 1)
	r.flows.Put(key, placed{agent: agent, service: s.service, route: s.route}, now)
	for _, b := range s.kept {
		r.send(hop.Head{Kind: hop.Carry, Version: versionOf(r.opts.Members.Table()), Service: s.service, Entry: r.opts.Self}, b, agent)
	}
	r.drop(key, s)
}

// lost ends a flow that nobody holds, so that its client can come back at once.
func (r *Relay) lost(key flow.Key, s *search, now time.Time) {
	sure := r.opts.Members.AllAgentsKnown()
	r.opts.Flows.Warn("flow is lost: no agent holds it", zap.Stringer("flow", key), zap.Bool("reset", sure),
		zap.Duration("took", now.Sub(s.started)), zap.Bool("fin", s.head.Fin), zap.Int("len", s.head.Len), zap.String("answers", s.Trace()))
	r.counts.Add("lost", 1)
	if sure && !s.head.Rst {
		r.reset(s.head)
	}
	r.flows.Delete(key)
	r.drop(key, s)
}

func (r *Relay) drop(key flow.Key, s *search) {
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(r.searches, key)
}

// fromHop handles what an agent says of a flow.
func (r *Relay) fromHop(from netip.AddrPort, b []byte) {
	head, body, err := hop.Parse(b)
	if err != nil {
		r.counts.Add("hop_damaged", 1)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch head.Kind {
	case hop.Answer:
		r.answered(from, head.Verdict, body, now)
	case hop.Claim:
		r.claimed(from, head.Service, body, now)
	case hop.Listed:
		r.listed(from, head, body, now)
	case hop.Return:
		r.returned(from, b, body, now)
	default:
		r.counts.Add("hop_unexpected", 1)
	}
}

func (r *Relay) answered(from netip.AddrPort, v seek.Verdict, body []byte, now time.Time) {
	key, ok := hop.Key(body)
	s := r.searches[key]
	if !ok || s == nil {
		return
	}
	s.Answer(from, v)
	r.advance(key, s, now)
}

// claimed notes that an agent holds a flow.
func (r *Relay) claimed(from netip.AddrPort, service uint64, body []byte, now time.Time) {
	key, ok := hop.Key(body)
	if !ok {
		return
	}
	if s := r.searches[key]; s != nil {
		s.Answer(from, seek.Held)
		r.advance(key, s, now)
	}
	if f := r.flows.Get(key, now); f != nil {
		f.agent, f.service = from, service
	}
	r.counts.Add("claimed", 1)
}

// returned looks for the holder of a packet that an agent gave back.
func (r *Relay) returned(from netip.AddrPort, b, body []byte, now time.Time) {
	h, ok := r.opts.Format.Parse(body)
	if !ok {
		r.counts.Add("hop_damaged", 1)
		return
	}
	key := h.FromClient()
	r.counts.Add("returned", 1)
	if f := r.flows.Peek(key); f != nil && f.agent == from {
		r.flows.Delete(key)
	}
	if s := r.searches[key]; s != nil {
		s.Answer(from, seek.Denied)
		r.advance(key, s, now)
		return
	}
	rt := r.opts.Members.Table().Lookup(h.Dst)
	if rt == nil {
		return
	}
	r.seek(key, h, rt, b, now)
	if s := r.searches[key]; s != nil {
		s.Answer(from, seek.Denied)
	}
}
