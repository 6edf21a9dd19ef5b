package seek

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	base   = time.Unix(1000, 0)
	agentA = netip.MustParseAddrPort("10.0.0.1:1")
	agentB = netip.MustParseAddrPort("10.0.0.2:1")
	agentC = netip.MustParseAddrPort("10.0.0.3:1")
	agentD = netip.MustParseAddrPort("10.0.0.4:1")
)

func at(d time.Duration) time.Time { return base.Add(d) }

func newSearch(agents ...netip.AddrPort) *Search {
	var c []Candidate
	for _, a := range agents {
		c = append(c, Candidate{Agent: a})
	}
	return New(c, base)
}

func TestHolderGetsThePackets(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	is.Equal(s.Next(at(0)).Action, Wait)
	s.RecordVerdict(agentB, Held)
	is.Equal(s.Next(at(0)), Step{Action: Deliver, Agents: []netip.AddrPort{agentB}})
}

// A flow is lost only when every possible holder has denied it: a missing answer keeps it.
func TestMissingAnswerIsNoDenial(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC)
	s.RecordVerdict(agentA, Denied)
	s.RecordVerdict(agentB, Denied)
	is.Equal(s.Next(at(time.Second)).Action, Drop)
	s.RecordVerdict(agentC, Denied)
	is.Equal(s.Next(at(time.Second)).Action, Lost)
}

func TestSilentAgentDoesNotKeepAFlow(t *testing.T) {
	is := is.New(t)
	s := New([]Candidate{{Agent: agentA}, {Agent: agentB, Silent: true}}, base)
	s.RecordVerdict(agentA, Denied)
	is.Equal(s.Next(at(0)).Action, Lost)
}

// A flow that an earlier configuration sent to another service is found by the wider search.
func TestExtendFindsAHolderOfAnotherService(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA)
	s.RecordVerdict(agentA, Denied)
	is.Equal(s.Next(at(0)).Action, Lost)
	s.Extend([]Candidate{{Agent: agentA}, {Agent: agentB}}, at(0))
	is.Equal(s.Unanswered(), []netip.AddrPort{agentB})
	is.Equal(s.Next(at(0)).Action, Wait)
	s.RecordVerdict(agentB, Held)
	is.Equal(s.Next(at(0)).Agents, []netip.AddrPort{agentB})
}

// All servers that may hold the flow are tried at once, so that the right one gets the packet too.
func TestAllPossibleHoldersAreTriedTogether(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC)
	for _, a := range []netip.AddrPort{agentA, agentB, agentC} {
		s.RecordVerdict(a, Perhaps)
	}
	step := s.Next(at(0))
	is.Equal(step.Action, Probe)
	is.Equal(len(step.Agents), 3)
	is.Equal(s.Next(at(time.Millisecond)).Action, Wait)
	s.RecordVerdict(agentA, Denied)
	s.RecordVerdict(agentC, Denied)
	is.Equal(s.Next(at(tryTime+time.Millisecond)), Step{Action: Deliver, Agents: []netip.AddrPort{agentB}})
}

// While an agent's answer is missing, at most two wrong servers see the flow within the span that counts.
func TestBlindTriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB, agentC, agentD)
	for _, a := range []netip.AddrPort{agentA, agentB, agentC} {
		s.RecordVerdict(a, Perhaps)
	}
	tried := 0
	for d := answerTime; d < 2*time.Second; d += 10 * time.Millisecond {
		step := s.Next(at(d))
		if step.Action != Probe {
			continue
		}
		tried += len(step.Agents)
		for _, a := range step.Agents {
			s.RecordVerdict(a, Denied)
		}
	}
	is.Equal(tried, blindTries)
}

func TestOfferedFlowIsTriedBeforeOthers(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	s.RecordVerdict(agentA, Perhaps)
	s.RecordVerdict(agentB, Opening)
	is.Equal(s.Next(at(0)), Step{Action: Probe, Agents: []netip.AddrPort{agentB}})
}

// An agent that was not asked may say that it holds the flow.
func TestHolderThatWasNotAsked(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA)
	s.RecordVerdict(agentB, Denied)
	is.Equal(s.Unanswered(), []netip.AddrPort{agentA})
	s.RecordVerdict(agentB, Held)
	is.Equal(s.Next(at(0)), Step{Action: Deliver, Agents: []netip.AddrPort{agentB}})
}

// What was logged of a lost flow is enough to come to the same verdict.
func TestTraceGivesTheSameVerdict(t *testing.T) {
	is := is.New(t)
	for _, answers := range [][]Verdict{{Denied, Denied}, {Denied, 0}, {Denied, Perhaps}, {Held, Denied}, {Opening, Denied}} {
		for _, silent := range []bool{false, true} {
			s := New([]Candidate{{Agent: agentA}, {Agent: agentB, Silent: silent}}, base)
			for i, v := range answers {
				if v != 0 {
					s.RecordVerdict([]netip.AddrPort{agentA, agentB}[i], v)
				}
			}
			again, err := ParseTrace(s.Trace(), at(answerTime))
			is.NoErr(err)
			is.Equal(again.Next(at(answerTime)), s.Next(at(answerTime)))
		}
	}
	for _, bad := range []string{"x,denied", "10.0.0.1:1", "10.0.0.1:1,gone"} {
		_, err := ParseTrace(bad, base)
		is.True(err != nil)
	}
}
