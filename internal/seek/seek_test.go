package seek

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Unix(1000, 0)
	agentA = netip.MustParseAddrPort("10.0.0.1:1")
	agentB = netip.MustParseAddrPort("10.0.0.2:1")
	agentC = netip.MustParseAddrPort("10.0.0.3:1")
	agentD = netip.MustParseAddrPort("10.0.0.4:1")
)

func at(d time.Duration) time.Time { return start.Add(d) }

func newSearch(agents ...netip.AddrPort) *Search {
	var c []Candidate
	for _, a := range agents {
		c = append(c, Candidate{Agent: a})
	}
	return New(c, start)
}

func TestPacketsAreDeliveredToHolder(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	is.Equal(s.Next(at(0)).Action, Wait)
	s.RecordVerdict(agentB, Held, Reply)
	is.Equal(s.Next(at(0)), Step{Action: Forward, Agents: []netip.AddrPort{agentB}})
}

// A flow must not count as lost while a possible holder has not replied.
func TestFlowIsNotLostWhileReplyIsMissing(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC)
	s.RecordVerdict(agentA, Denied, Reply)
	s.RecordVerdict(agentB, Denied, Reply)
	is.Equal(s.Next(at(time.Second)).Action, Drop)
	s.RecordVerdict(agentC, Denied, Reply)
	is.Equal(s.Next(at(time.Second)).Action, Lost)
}

func TestSilentAgentIsNotAwaited(t *testing.T) {
	is := is.New(t)
	s := New([]Candidate{{Agent: agentA}, {Agent: agentB, Dead: true}}, start)
	s.RecordVerdict(agentA, Denied, Reply)
	is.Equal(s.Next(at(0)).Action, Lost)
}

// A flow that an earlier configuration routed to another service must be found after the search is extended to its agents.
func TestUpdateFindsHolderOfAnotherService(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA)
	s.RecordVerdict(agentA, Denied, Reply)
	is.Equal(s.Next(at(0)).Action, Lost)
	s.Update([]Candidate{{Agent: agentA}, {Agent: agentB}}, at(0))
	is.Equal(s.Unanswered(), []netip.AddrPort{agentB})
	is.Equal(s.Next(at(0)).Action, Wait)
	s.RecordVerdict(agentB, Held, Reply)
	is.Equal(s.Next(at(0)).Agents, []netip.AddrPort{agentB})
}

// All servers that may hold the flow must be probed at once, so that the holder gets the packet too.
func TestAllPossibleHoldersAreProbedTogether(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC)
	for _, a := range []netip.AddrPort{agentA, agentB, agentC} {
		s.RecordVerdict(a, Perhaps, Reply)
	}
	step := s.Next(at(0))
	is.Equal(step.Action, Probe)
	is.Equal(len(step.Agents), 3)
	is.Equal(s.Next(at(time.Millisecond)).Action, Wait)
	s.RecordVerdict(agentA, Denied, Reply)
	s.RecordVerdict(agentC, Denied, Reply)
	is.Equal(s.Next(at(probeTimeout+time.Millisecond)), Step{Action: ProbeMore, Agents: []netip.AddrPort{agentB}})
	s.RecordVerdict(agentB, Held, Claimed)
	is.Equal(s.Next(at(probeTimeout+time.Millisecond)), Step{Action: Forward, Agents: []netip.AddrPort{agentB}})
}

// Guards against packets of an open flow that reach only other servers: while an agent has not replied, as during its
// planned stop, it may be the holder's, and each entry that the flow's packets pass would probe servers of its own.
func TestNoServerIsProbedWhileReplyIsMissing(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC, agentD)
	for _, a := range []netip.AddrPort{agentA, agentB, agentC} {
		s.RecordVerdict(a, Perhaps, Reply)
	}
	for d := replyTimeout; d < 2*time.Second; d += 10 * time.Millisecond {
		is.Equal(s.Next(at(d)).Action, Drop)
	}
	s.RecordVerdict(agentD, Perhaps, Reply)
	is.Equal(s.Next(at(2*time.Second)), Step{Action: Probe, Agents: []netip.AddrPort{agentA, agentB, agentC, agentD}})
}

// Guards against the reset of an open flow: an agent that was dead when the search began may be back when the search is
// resumed, and must then deny the flow itself.
func TestResumedSearchAwaitsAgentThatIsBack(t *testing.T) {
	is := is.New(t)
	s := New([]Candidate{{Agent: agentA}, {Agent: agentB, Dead: true}}, start)
	is.Equal(s.Next(at(replyTimeout)).Action, Drop)
	s.Update([]Candidate{{Agent: agentA}, {Agent: agentB}, {Agent: agentC}}, at(time.Second))
	is.Equal(s.Unanswered(), []netip.AddrPort{agentA, agentB, agentC})
	s.RecordVerdict(agentA, Denied, Reply)
	s.RecordVerdict(agentC, Denied, Reply)
	is.Equal(s.Next(at(time.Second)).Action, Wait)
	is.Equal(s.Next(at(2*time.Second)).Action, Drop)
	s.Update([]Candidate{{Agent: agentB, Dead: true}}, at(2*time.Second))
	is.Equal(s.Next(at(2*time.Second)).Action, Lost)
}

// Guards against packets of an open flow that reach only other servers: an agent that couldn't tell whether its server holds
// the flow may be in a planned stop when the search is resumed, so that a probe would not reach the holder.
func TestResumedSearchAwaitsAgentThatCouldNotTell(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC)
	s.RecordVerdict(agentA, Perhaps, Reply)
	s.RecordVerdict(agentB, Opening, Reply)
	s.RecordVerdict(agentC, Denied, Reply)
	s.Update([]Candidate{{Agent: agentA}, {Agent: agentB}, {Agent: agentC}}, at(time.Second))
	is.Equal(s.Unanswered(), []netip.AddrPort{agentA, agentB})
	is.Equal(s.Next(at(2*time.Second)).Action, Drop)
}

// Guards against packets of an open flow that reach only another server: the server of a SYN copy that hasn't bounced a probe is
// not the holder by that, while another agent has not replied, nor once it has.
func TestUnreturnedProbeIsNotAHolderWhileReplyIsMissing(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	s.RecordVerdict(agentA, Opening, List)
	is.Equal(s.Next(at(replyTimeout)), Step{Action: Probe, Agents: []netip.AddrPort{agentA}})
	is.Equal(s.Next(at(replyTimeout+probeTimeout-time.Millisecond)).Action, Wait)
	is.Equal(s.Next(at(replyTimeout+probeTimeout)).Action, ProbeMore)
	is.Equal(s.Next(at(replyTimeout+2*probeTimeout)).Action, Drop)
	s.RecordVerdict(agentB, Denied, Reply)
	is.Equal(s.Next(at(replyTimeout+2*probeTimeout)).Action, Drop)
}

func TestOpeningFlowIsProbedFirst(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	s.RecordVerdict(agentA, Perhaps, Reply)
	s.RecordVerdict(agentB, Opening, Reply)
	is.Equal(s.Next(at(0)), Step{Action: Probe, Agents: []netip.AddrPort{agentB}})
}

// An agent that isn't a candidate must be taken for the holder if it claims the flow, and be ignored if it denies it.
func TestHolderNeedNotBeCandidate(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA)
	s.RecordVerdict(agentB, Denied, Reply)
	is.Equal(s.Unanswered(), []netip.AddrPort{agentA})
	s.RecordVerdict(agentB, Held, Reply)
	is.Equal(s.Next(at(0)), Step{Action: Forward, Agents: []netip.AddrPort{agentB}})
}

// The logged trace of a search must lead to the same decision as the search itself.
func TestTraceReproducesStep(t *testing.T) {
	is := is.New(t)
	for _, verdicts := range [][]Verdict{{Denied, Denied}, {Denied, 0}, {Denied, Perhaps}, {Held, Denied}, {Opening, Denied}} {
		for _, silent := range []bool{false, true} {
			s := New([]Candidate{{Agent: agentA}, {Agent: agentB, Dead: silent}}, start)
			for i, v := range verdicts {
				if v != 0 {
					s.RecordVerdict([]netip.AddrPort{agentA, agentB}[i], v, Source(1+i))
				}
			}
			parsed, err := ParseTrace(s.Trace(), at(replyTimeout))
			is.NoErr(err)
			is.Equal(parsed.Trace(), s.Trace())
			is.Equal(parsed.Next(at(replyTimeout)), s.Next(at(replyTimeout)))
		}
	}
	for _, bad := range []string{"x,denied", "10.0.0.1:1", "10.0.0.1:1,gone", "10.0.0.1:1,denied,rumor"} {
		_, err := ParseTrace(bad, start)
		is.True(err != nil)
	}
}
