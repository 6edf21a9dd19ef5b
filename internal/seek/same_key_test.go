package seek

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against the reset of an open flow whose agent returned a late packet of an earlier flow with the same key, which all agents deny.
func TestFlowOfAgentThatHoldsFlowWithSameKeyIsNotLost(t *testing.T) {
	is := is.New(t)
	for _, record := range []func(*Search){
		func(s *Search) { s.RecordReturn(agentA, Held) },
		func(s *Search) { s.RecordReturn(agentA, 0); s.RecordVerdict(agentA, Held, Reply) },
		func(s *Search) { s.RecordReturn(agentA, 0); s.RecordVerdict(agentA, Held, List) },
		// Its flow is named by a saved list, or is opening.
		func(s *Search) { s.RecordReturn(agentA, Opening) },
		func(s *Search) { s.RecordReturn(agentA, 0); s.RecordVerdict(agentA, Opening, Reply) },
	} {
		s := newSearch(agentA, agentB)
		record(s)
		s.RecordVerdict(agentB, Denied, Reply)
		is.Equal(s.Next(at(0)).Action, Drop)
		s.RecordReturn(agentA, 0) // Its server has bounced the packet.
		is.Equal(s.Next(at(0)).Action, Lost)
	}
}

// Guards against an agent that gets a packet again that it has returned: it isn't among the possible holders.
func TestReturnOfAgentThatIsNoCandidateIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentB)
	s.RecordReturn(agentA, Held)
	s.RecordVerdict(agentB, Denied, Reply)
	is.Equal(s.Next(at(0)).Action, Lost)
}
