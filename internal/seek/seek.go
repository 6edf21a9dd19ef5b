// Package seek finds the agent that holds a flow missing from an entry's flow table.
//
// All agents of the flow's services are queried, and the one that holds the flow gets its packets. An agent that started
// after its backend server can't determine whether the server holds the flow. Such a server is probed with a packet,
// which it bounces if it doesn't hold the flow. All such servers are probed at once, so that the holder gets the packet
// too. While an agent has not replied, the holder may not be among them and none is probed, since packets at wrong
// servers alone break the flow. A flow is lost only after every possible holder has denied it.
//
// The package does no I/O and reads no clock: the current time is passed in.
package seek

import (
	"net/netip"
	"time"
)

const (
	// replyTimeout is how long replies are awaited: several round trips between failure domains.
	replyTimeout = 25 * time.Millisecond
	// probeTimeout is how long a probed server has to bounce the packet.
	probeTimeout = 25 * time.Millisecond
	// openingProbeTime is how long servers whose agents say Opening are probed before those whose agents say Perhaps. Their answer comes once
	// the client has sent its packet twice or thrice.
	openingProbeTime = 500 * time.Millisecond
)

// Verdict is an agent's reply about a flow. Zero means that it has not replied.
type Verdict uint8

// The verdicts of agents.
const (
	// Denied means that the agent's backend server doesn't hold the flow.
	Denied Verdict = iota + 1
	// Perhaps means that the agent can't determine whether its backend server holds the flow.
	Perhaps
	// Opening means that the server may well hold the flow: it was sent the flow's SYN and the handshake isn't complete, or a saved list names
	// the flow and the server hasn't shown since that it holds it. Such servers are probed before those that say Perhaps, and their agents
	// claim the flow once the server answers.
	Opening
	// Held means that the server holds a flow with the key, or held one until just now. The agent returns packets of other flows with the key.
	Held
)

// Source is how an agent's verdict became known. Zero means that there is no verdict.
type Source uint8

// The sources of verdicts.
const (
	// Reply means that the agent replied to a query for the flow.
	Reply Source = iota + 1
	// List means that the agent sent a list of its server's flows.
	List
	// EarlierList means that the list was requested for another flow, before the search began.
	EarlierList
	// Returned means that the agent returned a packet of the flow.
	Returned
	// Claimed means that the agent claimed the flow without a query.
	Claimed
	// Unlisted means that the agent's list lacks the flow, and may lack flows of its server. The agent doesn't learn the flow's key by that.
	Unlisted
	// Witness means that the agent replied or sent a list, and denies the flow by what it has seen of its server, as its start or end.
	Witness
)

// Action is what the entry must do with the flow's packets.
type Action uint8

// The actions.
const (
	// Wait queues the packets until the search goes on.
	Wait Action = iota + 1
	// Forward sends them to the step's only agent.
	Forward
	// Probe sends a packet to each of the step's agents, whose servers may hold the flow.
	Probe
	// ProbeMore sends one more packet to the step's only agent, as a probe, and drops the others if there is none: the agent's server has not
	// bounced the first one. It isn't known to hold the flow, but servers acknowledge every second packet, so that the agent can claim it.
	ProbeMore
	// Lost means that no candidate holds the flow.
	Lost
	// Drop discards the packets; a retransmission resumes the search.
	Drop
)

// Step is the next action of a search and the agents it applies to.
type Step struct {
	Action Action
	Agents []netip.AddrPort
}

type candidate struct {
	agent   netip.AddrPort
	verdict Verdict
	source  Source
	// verdictAt is when a step first used the verdict.
	verdictAt time.Time
	// probedAt is when the server was last probed, firstProbedAt when it was first probed as it may well hold the flow.
	probedAt, firstProbedAt time.Time
	// dead is Candidate.Dead; no reply is expected. Traces call it silent.
	dead bool
	// holdsSameKey means that the agent has returned a packet, but holds, or may well hold, a flow with the same key. The packet may be a late
	// one of an earlier flow.
	holdsSameKey bool
	// doubted means that the agent couldn't tell by its list and hasn't named the flow since. A denial may then rest on its table alone, which
	// counts as complete after some time, and needs a probe.
	doubted bool
}

// Search is the search for the holder of one flow. It is not safe for concurrent use.
type Search struct {
	// queriedAt is when the agents were last queried; replyTimeout counts from then.
	queriedAt time.Time
	// moreAt is when ProbeMore was returned since then, or zero.
	moreAt     time.Time
	candidates []candidate
}

// Candidate is an agent that may hold the flow.
type Candidate struct {
	Agent netip.AddrPort
	// Dead means that the agent counts as failed, because no heartbeat came from it for too long.
	Dead bool
}

// New returns a search among the candidates that starts at now.
func New(candidates []Candidate, now time.Time) *Search {
	s := &Search{queriedAt: now}
	for _, c := range candidates {
		s.candidates = append(s.candidates, candidate{agent: c.Agent, dead: c.Dead})
	}
	return s
}

// Update adds the candidates that are not part of the search yet, records which of them are dead now, and restarts the reply
// timeout. Only the verdicts Denied and Held are kept: an agent with another one may have learned more since, or may have
// stopped, so that a packet sent to it would be lost.
func (s *Search) Update(current []Candidate, now time.Time) {
	known := make(map[netip.AddrPort]*candidate, len(s.candidates))
	for i := range s.candidates {
		c := &s.candidates[i]
		known[c.agent] = c
		if c.verdict == Perhaps || c.verdict == Opening {
			c.verdict, c.source, c.verdictAt = 0, 0, time.Time{}
		}
	}
	var added []candidate
	for _, c := range current {
		if k := known[c.Agent]; k != nil {
			k.dead = c.Dead
			continue
		}
		added = append(added, candidate{agent: c.Agent, dead: c.Dead})
	}
	s.candidates = append(s.candidates, added...)
	s.queriedAt, s.moreAt = now, time.Time{}
}

// Renew returns a search for the same flow among the current candidates that starts at now, without the verdicts of s.
func (s *Search) Renew(current []Candidate, now time.Time) *Search {
	renewed := New(current, now)
	for i := range renewed.candidates {
		c := &renewed.candidates[i]
		for j := range s.candidates {
			if s.candidates[j].agent == c.agent {
				c.firstProbedAt, c.doubted = s.candidates[j].firstProbedAt, s.candidates[j].doubted
			}
		}
	}
	return renewed
}

// Unasked returns the agents that couldn't tell by their lists and don't know that the flow is searched for. Once they are queried, they don't
// deny the flow without their server's word.
func (s *Search) Unasked() []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range s.candidates {
		if c := &s.candidates[i]; c.doubted && c.verdict == Perhaps {
			agents = append(agents, c.agent)
		}
	}
	return agents
}

// Unprobed returns the agents without a verdict that haven't been probed as they may well hold the flow.
func (s *Search) Unprobed() []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range s.candidates {
		if c := &s.candidates[i]; c.verdict == 0 && c.firstProbedAt.IsZero() {
			agents = append(agents, c.agent)
		}
	}
	return agents
}

// Unanswered returns the agents without a verdict, which are to be queried.
func (s *Search) Unanswered() []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range s.candidates {
		if s.candidates[i].verdict == 0 {
			agents = append(agents, s.candidates[i].agent)
		}
	}
	return agents
}

// Awaits reports whether an agent is a candidate without a verdict.
func (s *Search) Awaits(agent netip.AddrPort) bool {
	for i := range s.candidates {
		if s.candidates[i].agent == agent {
			return s.candidates[i].verdict == 0
		}
	}
	return false
}

// RecordVerdict records an agent's verdict and its source. An agent that isn't a candidate becomes one only by Held or
// Opening. One that has returned a packet of the flow can't revoke that by a reply or list, which may be of an earlier flow with the same
// key, but by a claim. While it holds such a flow, the search doesn't end with Lost. A denial by an agent that couldn't tell before counts as
// Perhaps unless it has named the flow in between. RecordVerdict reports whether the verdict counts.
func (s *Search) RecordVerdict(agent netip.AddrPort, verdict Verdict, source Source) bool {
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.agent != agent {
			continue
		}
		if c.verdict == Denied && c.source == Returned && source != Returned && source != Claimed {
			c.holdsSameKey = namesFlow(verdict)
			return false
		}
		c.resolveDoubt(verdict, source)
		if c.doubted && verdict == Denied {
			verdict = Perhaps
		}
		c.verdict, c.source, c.verdictAt, c.holdsSameKey = verdict, source, time.Time{}, false
		return true
	}
	if verdict == Held || verdict == Opening {
		s.candidates = append(s.candidates, candidate{agent: agent, verdict: verdict, source: source})
	}
	return true
}

// namesFlow reports whether a verdict means that the agent's server holds, or may well hold, a flow with the key.
func namesFlow(v Verdict) bool { return v == Held || v == Opening }

// resolveDoubt updates doubted by a verdict.
func (c *candidate) resolveDoubt(verdict Verdict, source Source) {
	switch {
	case source == Unlisted:
		c.doubted = true
	case verdict != Denied || source == Returned || source == Witness:
		c.doubted = false
	}
}

// RecordReturn records that an agent returned a packet of the flow. sameKey is its verdict on a flow with the same key, or 0.
func (s *Search) RecordReturn(agent netip.AddrPort, sameKey Verdict) {
	s.RecordVerdict(agent, Denied, Returned)
	for i := range s.candidates {
		if c := &s.candidates[i]; c.agent == agent {
			c.holdsSameKey = namesFlow(sameKey)
		}
	}
}

// Next returns the next step at now. It records the agents of a Probe step as probed.
func (s *Search) Next(now time.Time) Step {
	s.markUsed(now)
	if agent, ok := s.holder(); ok {
		return Step{Action: Forward, Agents: []netip.AddrPort{agent}}
	}
	if hinted := s.hinted(); len(hinted) > 0 {
		s.recordProbe(hinted, now)
		return Step{Action: Probe, Agents: hinted}
	}
	unanswered := s.unansweredLive()
	if unanswered > 0 && now.Sub(s.queriedAt) < replyTimeout {
		return Step{Action: Wait}
	}
	targets := s.probeTargets(Opening, now)
	if unanswered == 0 && !s.probesOpeningAlone(now) {
		targets = append(targets, s.probeTargets(Perhaps, now)...)
	}
	if len(targets) > 0 {
		s.recordProbe(targets, now)
		return Step{Action: Probe, Agents: targets}
	}
	if probed := s.probed(now); len(probed) > 0 {
		return s.evaluateProbes(probed, unanswered, now)
	}
	if s.undecided() {
		return Step{Action: Drop}
	}
	return Step{Action: Lost}
}

// markUsed records that a step uses the verdicts that have come.
func (s *Search) markUsed(now time.Time) {
	for i := range s.candidates {
		if c := &s.candidates[i]; c.verdict != 0 && c.verdictAt.IsZero() {
			c.verdictAt = now
		}
	}
}

// holder returns the agent that holds the flow by its own verdict. A claim, which a packet of the flow has shown, goes before replies and lists,
// which name only the key.
func (s *Search) holder() (netip.AddrPort, bool) {
	var holder netip.AddrPort
	for i := range s.candidates {
		switch c := &s.candidates[i]; {
		case c.verdict != Held:
		case c.source == Claimed:
			return c.agent, true
		case !holder.IsValid():
			holder = c.agent
		}
	}
	return holder, holder.IsValid()
}

// unansweredLive counts the agents without a verdict that aren't dead.
func (s *Search) unansweredLive() int {
	n := 0
	for i := range s.candidates {
		if s.candidates[i].verdict == 0 && !s.candidates[i].dead {
			n++
		}
	}
	return n
}

// OldestVerdict returns the age of the oldest verdict that a step has used, or 0 if there is none.
func (s *Search) OldestVerdict(now time.Time) time.Duration {
	oldest := now
	for i := range s.candidates {
		if at := s.candidates[i].verdictAt; !at.IsZero() && at.Before(oldest) {
			oldest = at
		}
	}
	return now.Sub(oldest)
}

// Silent returns the number of dead agents without a verdict.
func (s *Search) Silent() int {
	n := 0
	for i := range s.candidates {
		if s.candidates[i].verdict == 0 && s.candidates[i].dead {
			n++
		}
	}
	return n
}

// Counts is the number of agents by verdict.
type Counts struct{ Denied, Perhaps, Opening, Unanswered, Silent int }

// Counts counts the agents by verdict. Silent are the dead ones without a verdict, which Unanswered includes.
func (s *Search) Counts() Counts {
	n := Counts{Silent: s.Silent()}
	for i := range s.candidates {
		switch s.candidates[i].verdict {
		case Denied:
			n.Denied++
		case Perhaps:
			n.Perhaps++
		case Opening:
			n.Opening++
		case 0:
			n.Unanswered++
		}
	}
	return n
}

// SourceOf returns the source of an agent's verdict, or 0 if there is none.
func (s *Search) SourceOf(agent netip.AddrPort) Source {
	for i := range s.candidates {
		if s.candidates[i].agent == agent {
			return s.candidates[i].source
		}
	}
	return 0
}

// undecided reports whether an agent may hold the flow: it gave another verdict than Denied, or none without being dead, or holds a flow
// with the same key.
func (s *Search) undecided() bool {
	for i := range s.candidates {
		if c := &s.candidates[i]; c.holdsSameKey || c.mayHold() {
			return true
		}
	}
	return false
}

// mayHold reports whether the agent gave another verdict than Denied, or none without being dead.
func (c *candidate) mayHold() bool { return c.verdict != Denied && (c.verdict != 0 || !c.dead) }
