package memb

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/alive"
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// suspicionDelay is added to silenceTimeout before others are asked. Within it they notice the silence too: an agent
	// notifies its own failure domain between two heartbeats, so some have a later heartbeat than others.
	suspicionDelay = agentHeartbeatInterval + tickInterval
	// randomEntriesAsked is how many random entries are asked for their opinions, besides up to maxWitnessesAsked that
	// contradicted before.
	randomEntriesAsked = 3
	maxWitnessesAsked  = 3
	// maxSuspectsAsked bounds the suspects of one round, so that the failure of many agents causes only a few datagrams.
	maxSuspectsAsked = 4 * ctrl.MaxSuspects
)

// The names of counters.
const (
	agentsFailedCounter        = "agents_failed"
	silenceContradictedCounter = "silence_contradicted"
)

// questions are the queries of one round, the control addresses that get them, and the attempts to connect to the suspects.
type questions struct {
	queries  []ctrl.SilenceQuery
	to       []netip.AddrPort
	attempts []func()
}

// checkSuspicions updates the suspected agents and concludes the replies about them. It returns the queries that are due.
// The caller holds the lock.
func (n *Node) checkSuspicions(now time.Time) questions {
	if n.opts.Load != nil {
		return questions{} // Agents search for no flows.
	}
	n.suspicions.Update(n.suspects(now))
	n.concludeSuspicions(now)
	due := n.suspicions.Due(now, maxSuspectsAsked)
	if len(due) == 0 {
		return questions{}
	}
	q := questions{to: n.entriesToAsk(n.suspicions.Witnesses(due, maxWitnessesAsked)), attempts: n.dueAttempts(due, now)}
	for suspects := range slices.Chunk(due, ctrl.MaxSuspects) {
		round := n.suspicions.Ask(suspects, len(q.to), now)
		q.queries = append(q.queries, ctrl.SilenceQuery{Round: round, Suspects: suspects})
	}
	return q
}

// suspects returns the agents that are silent without being in a planned stop known here. The caller holds the lock.
func (n *Node) suspects(now time.Time) []netip.AddrPort {
	var suspects []netip.AddrPort
	for a, p := range n.peers {
		if !p.silent || now.Sub(p.lastHeartbeat) <= silenceTimeout+suspicionDelay || p.inPlannedStop(now) {
			continue
		}
		if r, ok := n.view.Get(a); ok && r.Role == view.Agent && r.State != view.Gone {
			suspects = append(suspects, a)
		}
	}
	return suspects
}

// otherEntries returns the records of the other entries from which heartbeats are received, and the number of all that are
// not lost or gone. The caller holds the lock.
func (n *Node) otherEntries() (heard []view.Record, known int) {
	for a, p := range n.peers {
		r, ok := n.view.Get(a)
		if !ok || r.Role != view.Entry || r.State == view.Gone {
			continue
		}
		known++
		if p.contacted && !p.silent && r.State == view.Up {
			heard = append(heard, r)
		}
	}
	return heard, known
}

// entriesToAsk returns the control addresses of the witnesses that are heard and of some random entries, from different
// failure domains where possible: entries of one domain often lose an agent's heartbeats together. The caller holds the lock.
func (n *Node) entriesToAsk(witnesses []netip.AddrPort) []netip.AddrPort {
	heard, _ := n.otherEntries()
	rand.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	var to []netip.AddrPort
	domains := make(map[string]int)
	var rest []view.Record
	for _, r := range heard {
		if slices.Contains(witnesses, r.Packets) {
			to = append(to, r.Control)
		} else {
			rest = append(rest, r)
		}
	}
	// rank is the number of entries of the same domain that come before r in the random order.
	rank := make(map[netip.AddrPort]int, len(rest))
	for _, r := range rest {
		rank[r.Packets] = domains[r.Domain]
		domains[r.Domain]++
	}
	slices.SortStableFunc(rest, func(a, b view.Record) int { return rank[a.Packets] - rank[b.Packets] })
	for _, r := range rest[:min(len(rest), randomEntriesAsked)] {
		to = append(to, r.Control)
	}
	return to
}

// sendQuestions sends the queries of a round and starts its attempts to connect.
func (n *Node) sendQuestions(q questions) {
	for _, attempt := range q.attempts {
		go attempt()
	}
	for _, query := range q.queries {
		if err := ctrl.Broadcast(n.opts.Link, q.to, ctrl.KindSilenceQuery, query); err != nil {
			n.opts.Log.Debug("silence query not sent", zap.Error(err))
		}
	}
}

// onSilenceQuery replies with this entry's opinions of the suspects, and with the records of those that are gone.
func (n *Node) onSilenceQuery(from netip.AddrPort, query ctrl.SilenceQuery) {
	if n.opts.Load != nil || len(query.Suspects) > ctrl.MaxSuspects {
		return
	}
	now := time.Now()
	reply := ctrl.SilenceReply{Round: query.Round, Suspects: query.Suspects, Opinions: make([]alive.Opinion, 0, len(query.Suspects))}
	n.mu.Lock()
	reply.Packets = n.self.Packets
	hearsMost := n.hearsMost()
	for _, addr := range query.Suspects {
		reply.Opinions = append(reply.Opinions, n.opinion(addr, hearsMost, now))
	}
	n.mu.Unlock()
	if err := ctrl.Send(n.opts.Link, from, ctrl.KindSilenceReply, reply); err != nil {
		n.opts.Log.Debug("silence reply not sent", zap.Error(err))
	}
	n.sendGone(from, query.Suspects)
}

// opinion returns this entry's opinion of an agent. It can't confirm a silence if it receives few heartbeats at all, or if it
// may have missed the announcement of a planned stop: it never received a heartbeat of the agent, and started less than
// plannedStopGrace ago. The caller holds the lock.
func (n *Node) opinion(agent netip.AddrPort, hearsMost bool, now time.Time) alive.Opinion {
	p := n.peers[agent]
	switch {
	case p == nil:
		return alive.None
	case p.inPlannedStop(now):
		return alive.Stopping
	case p.contacted && !p.silent:
		return alive.Heard
	case !p.silent || !hearsMost || (!p.contacted && now.Sub(n.startedAt) < plannedStopGrace):
		return alive.None
	default:
		return alive.Silent
	}
}

// onSilenceReply records the opinions of another entry.
func (n *Node) onSilenceReply(_ netip.AddrPort, reply ctrl.SilenceReply) {
	if len(reply.Suspects) != len(reply.Opinions) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, addr := range reply.Suspects {
		n.suspicions.Record(reply.Round, addr, alive.Report{From: reply.Packets, Opinion: reply.Opinions[i]})
	}
	n.concludeSuspicions(time.Now())
}

// concludeSuspicions evaluates the replies, and logs and counts the changes. The caller holds the lock.
func (n *Node) concludeSuspicions(now time.Time) {
	if n.suspicions.Len() == 0 {
		return
	}
	heard, known := n.otherEntries()
	for _, d := range n.suspicions.Conclude(alive.Others{Known: known, Heard: len(heard)}, now) {
		fields := []zap.Field{
			zap.Stringer("peer", d.Suspect), zap.String("opinions", alive.Trace(d.Reports)),
			zap.Int("entries", known), zap.Int("entries_heard", len(heard)),
		}
		if d.Failed {
			n.opts.Vars.Add(agentsFailedCounter, 1)
			n.opts.Log.Warn("agent counts as failed", fields...)
			continue
		}
		n.opts.Vars.Add(silenceContradictedCounter, 1)
		n.opts.Log.Info("silence of an agent is contradicted", fields...)
	}
}
