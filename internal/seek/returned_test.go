package seek

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against packets that go back and forth between an entry and an agent that returns them, and lists an earlier flow with the same
// key, while another agent holds the flow.
func TestAgentThatReturnedPacketIsNotTheHolder(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	s.RecordVerdict(agentA, Denied, Returned)
	is.True(!s.RecordVerdict(agentA, Held, Reply))
	is.True(!s.RecordVerdict(agentA, Held, List))
	is.Equal(s.Next(at(0)).Action, Wait)
	s.RecordVerdict(agentB, Held, Reply)
	is.Equal(s.Next(at(0)), Step{Action: Forward, Agents: []netip.AddrPort{agentB}})
}

// Guards against a flow that isn't found at an agent that claims it after it has returned an earlier packet.
func TestClaimRevokesReturn(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	s.RecordVerdict(agentA, Denied, Returned)
	is.True(s.RecordVerdict(agentA, Held, Claimed))
	is.Equal(s.Next(at(0)), Step{Action: Forward, Agents: []netip.AddrPort{agentA}})
}
