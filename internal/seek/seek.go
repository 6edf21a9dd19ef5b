// Package seek finds the agent that holds a flow of which an entry knows nothing.
//
// All agents of the flow's services are asked. One that holds the flow gets its packets. An agent that has
// started after its backend server can't tell; its server is tried, since a server gives back what it doesn't
// hold. Wrong servers are tried all at once with the right one, or, while an agent doesn't answer, a few at most:
// a flow must not be led astray. Only when every possible holder has denied it is a flow known to be lost.
//
// The package is pure: times come in as arguments.
package seek

import (
	"net/netip"
	"time"
)

const (
	// answerTime is how long agents have for an answer: some round trips between failure domains.
	answerTime = 25 * time.Millisecond
	// tryTime is how long a tried server has to give a packet back.
	tryTime = 25 * time.Millisecond
	// blindTries is how many servers may be tried while an agent's answer is missing, within blindSpan:
	// three of a flow's packets at wrong servers would count as a broken flow.
	blindTries = 2
	blindSpan  = 2500 * time.Millisecond
)

// Verdict is what an agent says of a flow.
type Verdict uint8

// The verdicts of agents.
const (
	// Denied says that the agent's server doesn't hold the flow.
	Denied Verdict = iota + 1
	// Perhaps says that the agent can't tell.
	Perhaps
	// Opening says that the server was offered the flow and has not seen the end of its handshake.
	Opening
	// Held says that the server holds the flow.
	Held
)

// Action is what the entry shall do with the flow's packets.
type Action uint8

// The actions.
const (
	// Wait keeps the packets until more is known.
	Wait Action = iota + 1
	// Deliver gives them to the only agent of the step.
	Deliver
	// Probe gives them to the agents of the step, whose servers may hold the flow.
	Probe
	// Lost says that nobody holds the flow.
	Lost
	// Drop drops the packets; a retransmission starts a new search.
	Drop
)

// Step is the next step of a search.
type Step struct {
	Action Action
	Agents []netip.AddrPort
}

type candidate struct {
	agent   netip.AddrPort
	verdict Verdict
	tried   time.Time
	// silent says that the agent was not heard of for long, so that no answer is expected.
	silent bool
}

// Search is the search for one flow. Its owner serializes access.
type Search struct {
	started    time.Time
	candidates []candidate
	blind      []time.Time
}

// Candidate is an agent that may hold the flow.
type Candidate struct {
	Agent netip.AddrPort
	// Silent says that the agent was not heard of for so long that it counts as dead.
	Silent bool
}

// New returns a search that asks the candidates.
func New(candidates []Candidate, now time.Time) *Search {
	s := &Search{started: now}
	for _, c := range candidates {
		s.candidates = append(s.candidates, candidate{agent: c.Agent, silent: c.Silent})
	}
	return s
}

// Extend adds candidates that are not yet among those asked, and starts the time for answers anew.
func (s *Search) Extend(more []Candidate, now time.Time) {
	known := make(map[netip.AddrPort]bool, len(s.candidates))
	for i := range s.candidates {
		known[s.candidates[i].agent] = true
	}
	for _, c := range more {
		if !known[c.Agent] {
			s.candidates = append(s.candidates, candidate{agent: c.Agent, silent: c.Silent})
		}
	}
	s.started = now
}

// Unanswered returns the agents to ask, or to ask again.
func (s *Search) Unanswered() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range s.candidates {
		if s.candidates[i].verdict == 0 {
			out = append(out, s.candidates[i].agent)
		}
	}
	return out
}

// Awaits reports whether an agent was asked and has not answered.
func (s *Search) Awaits(agent netip.AddrPort) bool {
	for i := range s.candidates {
		if s.candidates[i].agent == agent {
			return s.candidates[i].verdict == 0
		}
	}
	return false
}

// Retry starts the time for answers anew; the verdicts so far stay.
func (s *Search) Retry(now time.Time) { s.started = now }

// RecordVerdict notes an agent's verdict. An agent that was not asked counts only when it has the flow.
func (s *Search) RecordVerdict(agent netip.AddrPort, v Verdict) {
	for i := range s.candidates {
		if s.candidates[i].agent == agent {
			s.candidates[i].verdict = v
			return
		}
	}
	if v == Held || v == Opening {
		s.candidates = append(s.candidates, candidate{agent: agent, verdict: v})
	}
}

// Next returns the next step at now. Agents of a Try step count as tried.
func (s *Search) Next(now time.Time) Step {
	if a, ok := s.holder(); ok {
		return Step{Action: Deliver, Agents: []netip.AddrPort{a}}
	}
	missing := s.missing()
	if missing > 0 && now.Sub(s.started) < answerTime {
		return Step{Action: Wait}
	}
	if opening := s.untried(Opening, now); len(opening) > 0 {
		return s.try(opening, now)
	}
	if tried := s.tried(now); len(tried) > 0 {
		return s.judge(tried, now)
	}
	if maybe := s.untried(Perhaps, now); len(maybe) > 0 {
		if missing > 0 {
			maybe = maybe[:min(len(maybe), s.blindLeft(now))]
		}
		if len(maybe) > 0 {
			return s.try(maybe, now)
		}
	}
	if missing > 0 || s.undecided() {
		return Step{Action: Drop}
	}
	return Step{Action: Lost}
}

// judge decides while servers are tried: their agents have a while to give the packet back, and then hold the flow.
func (s *Search) judge(tried []netip.AddrPort, now time.Time) Step {
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.tried.IsZero() && c.verdict != Denied && now.Sub(c.tried) < tryTime {
			return Step{Action: Wait}
		}
	}
	if len(tried) == 1 {
		return Step{Action: Deliver, Agents: tried}
	}
	return Step{Action: Drop}
}

func (s *Search) holder() (netip.AddrPort, bool) {
	for i := range s.candidates {
		if s.candidates[i].verdict == Held {
			return s.candidates[i].agent, true
		}
	}
	return netip.AddrPort{}, false
}

// missing returns the number of live agents that have not answered.
func (s *Search) missing() int {
	n := 0
	for i := range s.candidates {
		if s.candidates[i].verdict == 0 && !s.candidates[i].silent {
			n++
		}
	}
	return n
}

// undecided reports whether an agent neither denied the flow nor counts as dead.
func (s *Search) undecided() bool {
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.verdict != Denied && (c.verdict != 0 || !c.silent) {
			return true
		}
	}
	return false
}

// tryAgain is after how long a tried server that neither answered nor gave back is tried again.
const tryAgain = 150 * time.Millisecond

func (s *Search) untried(v Verdict, now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.verdict == v && (c.tried.IsZero() || now.Sub(c.tried) > tryAgain) {
			out = append(out, c.agent)
		}
	}
	return out
}

func (s *Search) tried(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.tried.IsZero() && c.verdict != Denied && now.Sub(c.tried) <= tryAgain {
			out = append(out, c.agent)
		}
	}
	return out
}

func (s *Search) try(agents []netip.AddrPort, now time.Time) Step {
	for i := range s.candidates {
		for _, a := range agents {
			if s.candidates[i].agent == a {
				s.candidates[i].tried = now
				s.blind = append(s.blind, now)
			}
		}
	}
	return Step{Action: Probe, Agents: agents}
}

// blindLeft returns how many servers may still be tried while an answer is missing.
func (s *Search) blindLeft(now time.Time) int {
	recent := 0
	for _, t := range s.blind {
		if now.Sub(t) < blindSpan {
			recent++
		}
	}
	return max(0, blindTries-recent)
}
