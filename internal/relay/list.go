package relay

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// queryUnanswered queries the agents of a search that haven't replied. An entry that starts or takes over from another
// one searches for many flows at the same time, so it requests an agent's complete flow list, and queries single flows
// only while the last list request is less than minListInterval ago. Unattended searches wait for lists alone.
func (r *Relay) queryUnanswered(key flow.Key, s *search, now time.Time) {
	for _, agent := range s.Unanswered() {
		list := r.lists[agent]
		if list == nil {
			list = new(flowList)
			r.lists[agent] = list
		}
		switch {
		case now.Sub(list.requestedAt) >= minListInterval:
			r.listRequests++
			*list = *newFlowList(now, r.listRequests)
			r.requestList(agent, list)
			continue
		case !list.complete && !list.requestedAt.Before(s.startedAt) && now.Sub(list.requestedAt) < listReplyTimeout:
			continue // The pending list was requested after the flow's packet arrived, so its reply covers this flow.
		}
		if s.unattended || !r.limits.allowQuery(now) {
			r.counters.Add("query_left_out", 1)
			continue // The next list covers the flow.
		}
		r.query(key, s, agent)
	}
}

// queryUnasked queries the agents that couldn't tell by their lists, so that they know that the flow is searched for: they don't deny it as soon
// as their tables count as complete, to whichever entry the client's next packet comes.
func (r *Relay) queryUnasked(key flow.Key, s *search, now time.Time) {
	for _, agent := range s.Unasked() {
		if !r.limits.allowSpareQuery(now) {
			r.counters.Add("query_left_out", 1)
			return
		}
		r.query(key, s, agent)
	}
}

// query queries an agent for a single flow.
func (r *Relay) query(key flow.Key, s *search, agent netip.AddrPort) {
	header := encap.Header{Kind: encap.Query, Version: s.id, Entry: r.opts.Self}
	var buf [encap.HeaderSize + flow.KeySize]byte
	r.write(header.AppendWithKey(buf[:0], key), agent)
}

// requestList requests the keys of all flows of an agent.
func (r *Relay) requestList(agent netip.AddrPort, list *flowList) {
	header := encap.Header{Kind: encap.ListFlows, Entry: r.opts.Self}
	b := make([]byte, encap.HeaderSize, encap.HeaderSize+encap.MaxPacketSize)
	header.Encode(b)
	r.write(encap.ListPart{RequestID: list.requestID}.Append(b), agent)
}

// flowList is the state of the latest list request to an agent and of its reply.
type flowList struct {
	requestedAt time.Time
	requestID   uint64
	// parts has the indexes of the datagrams of the reply received so far, of a total number that each of them tells with the
	// reply's ID. mixed means that these differ, so that the parts are of two replies. complete is set once all parts have
	// arrived.
	parts           map[uint16]struct{}
	total           uint16
	replyID         encap.ReplyID
	mixed, complete bool
	// exhaustive means that the backend server holds only the listed flows. version is the agent's configuration version,
	// the lowest one of all parts.
	exhaustive bool
	version    uint64
	// keys has all flows of the list, opening those that the server may well hold.
	keys, opening map[flow.Key]struct{}
}

func newFlowList(now time.Time, requestID uint64) *flowList {
	return &flowList{requestedAt: now, requestID: requestID, keys: make(map[flow.Key]struct{}), opening: make(map[flow.Key]struct{})}
}

// useHints records the agents whose latest list names the flow as one that their server may well hold. It reports whether there are any: their
// servers are probed before other agents are asked. A list is such a hint only once in a search.
func (r *Relay) useHints(key flow.Key, s *search, now time.Time) bool {
	if s.unattended {
		return false
	}
	hinted := false
	for _, agent := range s.Unprobed() {
		list := r.lists[agent]
		if list == nil || now.Sub(list.requestedAt) > maxHintAge {
			continue
		}
		if _, ok := list.opening[key]; ok {
			s.RecordVerdict(agent, seek.Opening, seek.EarlierList)
			hinted = true
		}
	}
	return hinted
}

// denies reports whether the list proves that the agent doesn't hold a flow: it is complete and exhaustive, lacks the
// key, and was sent under the given configuration version or a later one.
func (list *flowList) denies(key flow.Key, version uint64) bool {
	_, listed := list.keys[key]
	return list.complete && list.exhaustive && list.version >= version && !listed
}

// addPart records the arrival of a part. The list is only as good as each of its parts: the agent may have changed while it
// sent them, or have replied twice.
func (list *flowList) addPart(part encap.ListPart, replyID encap.ReplyID, header encap.Header) {
	exhaustive := header.Hops&encap.Exhaustive != 0
	if len(list.parts) == 0 {
		list.parts = make(map[uint16]struct{}, part.Total)
		list.total, list.replyID, list.exhaustive, list.version = part.Total, replyID, exhaustive, header.Version
	}
	list.parts[part.Index] = struct{}{}
	list.mixed = list.mixed || part.Total != list.total || replyID != list.replyID || part.Index >= part.Total
	list.exhaustive = list.exhaustive && exhaustive
	list.version = min(list.version, header.Version)
	list.complete = !list.mixed && len(list.parts) == int(list.total)
}

const (
	// minListInterval is the minimum time between two list requests to the same agent.
	minListInterval = 400 * time.Millisecond
	// maxHintAge is the maximum age of a list that names a flow for a probe.
	maxHintAge = 5 * time.Second
	// listReplyTimeout is how long a list reply is awaited before the flow is queried on its own.
	listReplyTimeout = 25 * time.Millisecond
	// minListAge is the minimum age of the list of a dead agent at which it is removed: the agent may still reply to a request.
	minListAge = 5 * time.Second
)

// sweepLists removes the lists of agents that have failed or are no longer known.
func (r *Relay) sweepLists(now time.Time) {
	for agent, list := range r.lists {
		if now.Sub(list.requestedAt) > minListAge && r.opts.Cluster.Dead(agent) {
			delete(r.lists, agent)
		}
	}
}

// handleListReply records the flows in one part of an agent's list reply. Flows that are not listed count as denied only
// after all parts of the reply to the latest request have arrived.
func (r *Relay) handleListReply(agent netip.AddrPort, header encap.Header, body []byte, now time.Time) {
	part, keys, err := encap.ParseListPart(body)
	list := r.lists[agent]
	if err != nil || list == nil || list.requestID != part.RequestID {
		r.counters.Add("list_ignored", 1)
		return
	}
	for _, key := range keys {
		list.keys[key] = struct{}{}
		if header.Verdict == seek.Opening {
			list.opening[key] = struct{}{}
		}
		r.handleListedFlow(agent, key, header, now)
	}
	if list.complete {
		return // A part of a second reply.
	}
	list.addPart(part, encap.ParseReplyID(body), header)
	if !list.complete {
		return
	}
	verdict, source := seek.Perhaps, seek.Unlisted
	if list.exhaustive {
		verdict, source = seek.Denied, sourceOf(header, seek.List)
	}
	for key, s := range r.searches {
		// A flow whose packet arrived after the request may have been opened after the reply was sent.
		if s.Awaits(agent) && !s.startedAt.After(list.requestedAt) {
			s.RecordVerdict(agent, verdict, source)
			r.advance(key, s, now)
		}
	}
}

// sourceOf returns the source of the verdicts in a reply or list.
func sourceOf(header encap.Header, source seek.Source) seek.Source {
	if header.Hops&encap.Certain != 0 {
		return seek.Witness
	}
	return source
}

// handleListedFlow records that an agent listed a flow, as held by its backend server or as opening. A held flow is added to
// the flow table. One in the table stays at its agent unless that has failed: the list may name an earlier flow with the same key.
func (r *Relay) handleListedFlow(agent netip.AddrPort, key flow.Key, header encap.Header, now time.Time) {
	s := r.searches[key]
	if s != nil && !s.RecordVerdict(agent, header.Verdict, seek.List) || header.Verdict != seek.Held {
		return
	}
	switch f := r.flows.Peek(key); {
	case f != nil && f.agent == agent:
	case f != nil && !r.opts.Cluster.Dead(f.agent):
		r.counters.Add("move_ignored", 1)
	default:
		if f != nil {
			r.logMoved(key, f, agent, "list", now)
		}
		r.flows.Put(key, flowState{agent: agent, service: header.Service, openSince: now}, now)
	}
	if s != nil {
		r.advance(key, s, now)
	}
}
