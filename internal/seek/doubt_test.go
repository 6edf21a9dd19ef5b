package seek

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the reset of an open flow: its agent couldn't tell by its list, which doesn't name the flow's key to it, and denies the flow
// once its table counts as complete, without any packet of the flow at its server.
func TestDenialAfterUndecidedListNeedsProbe(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Agent: agentA}, {Agent: agentB}}
	for _, renew := range []bool{false, true} {
		for _, source := range []Source{Reply, List, EarlierList} {
			s := New(all, start)
			s.RecordVerdict(agentA, Perhaps, Unlisted)
			is.Equal(s.Unasked(), []netip.AddrPort{agentA})
			s.Update(all, at(200*time.Millisecond))
			if renew {
				s = s.Renew(all, at(200*time.Millisecond))
			}
			s.RecordVerdict(agentA, Denied, source)
			s.RecordVerdict(agentB, Denied, Reply)
			is.Equal(s.Next(at(200*time.Millisecond)), Step{Action: Probe, Agents: []netip.AddrPort{agentA}})
			s.RecordReturn(agentA, 0)
			is.Equal(s.Next(at(210*time.Millisecond)).Action, Lost)
		}
	}
}

// Guards against callers that wait for the reset of a lost flow: the agent knows by itself that its server doesn't hold the flow, or has learned
// the key and would not deny the flow without its server's word.
func TestDenialByAgentThatKnowsFlowNeedsNoProbe(t *testing.T) {
	is := is.New(t)
	for _, record := range []func(*Search){
		func(s *Search) { s.RecordVerdict(agentA, Denied, Witness) },
		func(s *Search) {
			s.RecordVerdict(agentA, Perhaps, Reply)
			is.Equal(len(s.Unasked()), 0)
			s.RecordVerdict(agentA, Denied, List)
		},
		func(s *Search) { s.RecordVerdict(agentA, Opening, List); s.RecordVerdict(agentA, Denied, List) },
	} {
		s := newSearch(agentA)
		s.RecordVerdict(agentA, Perhaps, Unlisted)
		record(s)
		is.Equal(s.Next(at(0)).Action, Lost)
	}
}
