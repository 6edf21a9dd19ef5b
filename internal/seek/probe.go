package seek

import (
	"net/netip"
	"slices"
	"time"
)

// probeRetryDelay is the time after which a server may be probed again if its agent has neither returned the packet to the
// entry nor claimed the flow.
const probeRetryDelay = 150 * time.Millisecond

// evaluateProbes returns the next step while probes are pending. After probeTimeout, the only server that has not bounced the packet gets another
// one if no reply is missing or the server may well hold the flow. It isn't taken for the holder: its answer may be late. The holder's
// agent claims the flow once it knows.
func (s *Search) evaluateProbes(probed []netip.AddrPort, unanswered int, now time.Time) Step {
	switch {
	case s.awaitsBounce(now):
		return Step{Action: Wait}
	case len(probed) > 1 || unanswered > 0 && len(s.MostLikely(probed)) == 0:
		return Step{Action: Drop}
	case s.moreAt.IsZero():
		s.moreAt = now
		return Step{Action: ProbeMore, Agents: probed}
	case now.Sub(s.moreAt) < probeTimeout:
		return Step{Action: Wait}
	}
	return Step{Action: Drop}
}

// hinted returns the agents whose earlier lists name the flow as one that their servers may well hold, and that haven't been probed.
func (s *Search) hinted() []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range s.candidates {
		if c := &s.candidates[i]; c.verdict == Opening && c.source == EarlierList && c.firstProbedAt.IsZero() {
			agents = append(agents, c.agent)
		}
	}
	return agents
}

// awaitsBounce reports whether a server that was probed less than probeTimeout ago may still bounce the packet.
func (s *Search) awaitsBounce(now time.Time) bool {
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.probedAt.IsZero() && c.verdict != Denied && now.Sub(c.probedAt) < probeTimeout {
			return true
		}
	}
	return false
}

// probesOpeningAlone reports whether a server that may well hold the flow has been probed for less than openingProbeTime, or not yet.
func (s *Search) probesOpeningAlone(now time.Time) bool {
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.verdict == Opening && (c.firstProbedAt.IsZero() || now.Sub(c.firstProbedAt) < openingProbeTime) {
			return true
		}
	}
	return false
}

// MostLikely returns those of some agents that say Opening.
func (s *Search) MostLikely(agents []netip.AddrPort) []netip.AddrPort {
	var opening []netip.AddrPort
	for i := range s.candidates {
		if c := &s.candidates[i]; c.verdict == Opening && slices.Contains(agents, c.agent) {
			opening = append(opening, c.agent)
		}
	}
	return opening
}

// LeavesOut reports whether an agent that isn't among those given may hold the flow.
func (s *Search) LeavesOut(agents []netip.AddrPort) bool {
	for i := range s.candidates {
		if c := &s.candidates[i]; c.mayHold() && !slices.Contains(agents, c.agent) {
			return true
		}
	}
	return false
}

// probeTargets returns the agents with the given verdict that have not been probed within probeRetryDelay.
func (s *Search) probeTargets(verdict Verdict, now time.Time) []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.verdict == verdict && (c.probedAt.IsZero() || now.Sub(c.probedAt) > probeRetryDelay) {
			agents = append(agents, c.agent)
		}
	}
	return agents
}

// probed returns the agents that were probed within probeRetryDelay and have not denied the flow.
func (s *Search) probed(now time.Time) []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range s.candidates {
		c := &s.candidates[i]
		if !c.probedAt.IsZero() && c.verdict != Denied && now.Sub(c.probedAt) <= probeRetryDelay {
			agents = append(agents, c.agent)
		}
	}
	return agents
}

// CancelProbe records that the packets of a Probe step aren't sent.
func (s *Search) CancelProbe(agents []netip.AddrPort) {
	for i := range s.candidates {
		c := &s.candidates[i]
		if !slices.Contains(agents, c.agent) {
			continue
		}
		if c.firstProbedAt.Equal(c.probedAt) {
			c.firstProbedAt = time.Time{}
		}
		c.probedAt = time.Time{}
	}
}

// recordProbe records that a packet is sent to agents whose servers may hold the flow.
func (s *Search) recordProbe(agents []netip.AddrPort, now time.Time) {
	for i := range s.candidates {
		c := &s.candidates[i]
		if !slices.Contains(agents, c.agent) {
			continue
		}
		c.probedAt = now
		if c.verdict == Opening && c.firstProbedAt.IsZero() {
			c.firstProbedAt = now
		}
	}
}
