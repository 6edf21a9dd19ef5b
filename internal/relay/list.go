package relay

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// ask asks the agents that have not answered. Many flows are looked for at a time when an entry starts or takes over
// from another, so that an agent is first asked for all of its flows at once.
func (r *Relay) ask(key flow.Key, s *search, now time.Time) {
	for _, agent := range s.Unanswered() {
		l := r.lists[agent]
		if l == nil {
			l = new(listing)
			r.lists[agent] = l
		}
		head := hop.Header{Kind: hop.Query, Entry: r.opts.Self}
		switch {
		case now.Sub(l.asked) >= listEvery:
			r.questions++
			*l = listing{asked: now, question: r.questions, keys: make(map[flow.Key]struct{})}
			r.askList(agent, l)
			continue
		case !l.asked.Before(s.started) && now.Sub(l.asked) < listWait:
			continue // The list that is on its way was asked for after the flow's packet came, so that it answers this too.
		}
		var room [hop.HeaderSize + flow.KeySize]byte
		if _, err := r.opts.HopConn.WriteToUDPAddrPort(head.AppendWithKey(room[:0], key), agent); err != nil {
			r.counts.Add("send_failed", 1)
		}
	}
}

// askList asks an agent for all of its flows.
func (r *Relay) askList(agent netip.AddrPort, l *listing) {
	head := hop.Header{Kind: hop.ListFlows, Entry: r.opts.Self}
	b := make([]byte, hop.HeaderSize, hop.HeaderSize+hop.MaxPacketSize)
	head.Encode(b)
	if _, err := r.opts.HopConn.WriteToUDPAddrPort(hop.ListPart{RequestID: l.question}.Append(b), agent); err != nil {
		r.counts.Add("send_failed", 1)
	}
}

// listing is when an agent was last asked for all of its flows, and its answer.
type listing struct {
	asked    time.Time
	question uint64
	// parts is how many parts of the answer have come; complete says that these are all.
	parts    int
	complete bool
	// whole says that the server holds no other flows, and version is that of the agent's configuration.
	whole   bool
	version uint64
	keys    map[flow.Key]struct{}
}

// denies reports whether an answer under a configuration or a later one showed that the agent doesn't hold a flow.
func (l *listing) denies(key flow.Key, version uint64) bool {
	_, listed := l.keys[key]
	return l.complete && l.whole && l.version >= version && !listed
}

const (
	// listEvery is the shortest time between two questions for all of an agent's flows.
	listEvery = 400 * time.Millisecond
	// listWait is how long an answer to that may take.
	listWait = 25 * time.Millisecond
)

// listed takes over which flows an agent's server holds. Only a complete answer to the newest question denies others.
func (r *Relay) listed(from netip.AddrPort, head hop.Header, body []byte, now time.Time) {
	part, keys, err := hop.ParseListPart(body)
	l := r.lists[from]
	if err != nil || l == nil || l.question != part.RequestID {
		r.counts.Add("list_ignored", 1)
		return
	}
	for _, key := range keys {
		l.keys[key] = struct{}{}
		r.listedFlow(from, key, head, now)
	}
	l.parts++
	l.complete = l.parts == int(part.Total)
	l.whole, l.version = head.Hops&hop.Exhaustive != 0, head.Version
	if !l.complete {
		return
	}
	verdict := seek.Perhaps
	if l.whole {
		verdict = seek.Denied
	}
	for key, s := range r.searches {
		// A flow whose packet came after the question may have been opened after the answer.
		if s.Awaits(from) && !s.started.After(l.asked) {
			s.RecordVerdict(from, verdict)
			r.advance(key, s, now)
		}
	}
}

// listedFlow takes over that an agent's server holds a flow, or was offered it.
func (r *Relay) listedFlow(from netip.AddrPort, key flow.Key, head hop.Header, now time.Time) {
	s := r.searches[key]
	if s != nil {
		s.RecordVerdict(from, head.Verdict)
	}
	if head.Verdict != seek.Held {
		return
	}
	if f := r.flows.Peek(key); f != nil {
		f.agent, f.service = from, head.Service
	} else {
		r.flows.Put(key, placed{agent: from, service: head.Service}, now)
	}
	if s != nil {
		r.advance(key, s, now)
	}
}
