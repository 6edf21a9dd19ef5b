package seek

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against packets of an open flow that go to a server for good because it is silent, as behind a choked link: silence doesn't show
// that it holds the flow.
func TestServerThatDoesNotReturnProbeIsNoHolder(t *testing.T) {
	is := is.New(t)
	for _, verdict := range []Verdict{Perhaps, Opening} {
		s := newSearch(agentA, agentB)
		s.RecordVerdict(agentA, verdict, Reply)
		s.RecordVerdict(agentB, Denied, Reply)
		is.Equal(s.Next(at(0)), Step{Action: Probe, Agents: []netip.AddrPort{agentA}})
		is.Equal(s.Next(at(probeTimeout-time.Millisecond)).Action, Wait)
		is.Equal(s.Next(at(probeTimeout)), Step{Action: ProbeMore, Agents: []netip.AddrPort{agentA}}) // Servers acknowledge every second packet.
		is.Equal(s.Next(at(2*probeTimeout-time.Millisecond)).Action, Wait)
		is.Equal(s.Next(at(2*probeTimeout)).Action, Drop)
		s.RecordVerdict(agentA, Held, Claimed)
		is.Equal(s.Next(at(2*probeTimeout)), Step{Action: Forward, Agents: []netip.AddrPort{agentA}})
	}
}

// Guards against a search that never comes to the holder: a server that is named by a saved list alone stands still, and those that may
// hold the flow aren't probed.
func TestSilentServerDoesNotKeepOthersFromProbes(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Agent: agentA}, {Agent: agentB}}
	s := New(all, start)
	answer := func() {
		s.RecordVerdict(agentA, Opening, Reply)
		s.RecordVerdict(agentB, Perhaps, Unlisted)
	}
	answer()
	for _, d := range []time.Duration{0, 200 * time.Millisecond} { // The client's packet and its first copy.
		s.Update(all, at(d))
		answer()
		is.Equal(s.Next(at(d)), Step{Action: Probe, Agents: []netip.AddrPort{agentA}})
		is.Equal(s.Next(at(d+probeTimeout)).Action, ProbeMore)
		is.Equal(s.Next(at(d+2*probeTimeout)).Action, Drop)
	}
	s = s.Renew(all, at(400*time.Millisecond))
	s.Update(all, at(600*time.Millisecond))
	answer()
	is.Equal(s.Next(at(600*time.Millisecond)), Step{Action: Probe, Agents: []netip.AddrPort{agentA, agentB}})
}

// Guards against packets that go to the server of an earlier flow from the same port, as its agent replied first: a claim rests on a
// packet, a reply on the key alone.
func TestClaimGoesBeforeReply(t *testing.T) {
	is := is.New(t)
	s := newSearch(agentA, agentB)
	s.RecordVerdict(agentA, Held, List)
	s.RecordVerdict(agentB, Held, Claimed)
	is.Equal(s.Next(at(0)), Step{Action: Forward, Agents: []netip.AddrPort{agentB}})
}
