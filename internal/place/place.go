// Package place chooses the agents of new flows.
//
// The choice is a pure function of the client's connection ID and the service's members, so that
// all entries with the same members make the same choice without exchanging anything. It costs one
// hash and one logarithm a member and allocates nothing.
package place

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an agent that may take new flows.
type Candidate struct {
	Agent  netip.AddrPort
	Domain string
	// Weight is the agent's capacity in proportion to the other members; a member of weight 0 gets no new flow.
	Weight uint16
	// Demoted says that the chooser has evidence that the agent doesn't answer; it is taken last.
	Demoted bool
}

// Choice is the order in which the agents of a new flow are tried, as indexes into the members.
type Choice struct {
	First int
	// Second is in another failure domain than First where the service has one; it is -1 for a single member.
	Second int
}

// None is the choice for a service without members.
var None = Choice{First: -1, Second: -1}

// Choose returns the first and the second choice for the flow that a client opens with connection ID id,
// by weighted rendezvous hashing: when a member leaves, only its own flows are placed anew.
func Choose(id []byte, members []Candidate) Choice {
	seed := xxhash.Sum64(id)
	first := best(seed, members, -1, "")
	if first < 0 {
		return None
	}
	second := best(seed, members, first, members[first].Domain)
	if second < 0 {
		second = best(seed, members, first, "")
	}
	return Choice{First: first, Second: second}
}

// best returns the member with the highest score, leaving out one index and one failure domain.
func best(seed uint64, members []Candidate, without int, domain string) int {
	found := -1
	foundScore := 0.0
	for i := range members {
		m := &members[i]
		if i == without || m.Weight == 0 || (domain != "" && m.Domain == domain) {
			continue
		}
		score := score(seed, m)
		if found < 0 || better(m, score, &members[found], foundScore) {
			found, foundScore = i, score
		}
	}
	return found
}

// better reports whether member a beats member b; demoted members lose against all others.
func better(a *Candidate, scoreA float64, b *Candidate, scoreB float64) bool {
	if a.Demoted != b.Demoted {
		return b.Demoted
	}
	return scoreA > scoreB
}

// score returns a member's weighted rendezvous score for a flow.
func score(seed uint64, m *Candidate) float64 {
	const scale = 1 << 53
	u := (float64(mix(seed, m.Agent)>>11) + 0.5) / scale
	return float64(m.Weight) / -math.Log(u)
}

// mix hashes a flow's seed with an agent's address.
func mix(seed uint64, agent netip.AddrPort) uint64 {
	ip := agent.Addr().As16()
	hi := binary.LittleEndian.Uint64(ip[:8])
	lo := binary.LittleEndian.Uint64(ip[8:])
	h := seed ^ finalize(lo^uint64(agent.Port())<<48^hi)
	return finalize(h)
}

// finalize is the 64-bit finalizer of SplitMix64.
func finalize(z uint64) uint64 {
	z += 0x9E3779B97F4A7C15
	z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
	z = (z ^ z>>27) * 0x94D049BB133111EB
	return z ^ z>>31
}

// Rank returns an agent's place in a pseudorandom order that all processes share; seed sets orders apart.
func Rank(seed uint64, agent netip.AddrPort) uint64 { return mix(seed, agent) }
