// Package place chooses the agents of new flows by weighted rendezvous hashing.
//
// The choice is a pure function of the client's connection ID and the service's agents, so that all entries with the
// same view make the same choice without coordination. It takes one hash and one logarithm per candidate and doesn't
// allocate.
package place

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an agent that may take new flows.
type Candidate struct {
	Agent netip.AddrPort
	// Domain is the agent's failure domain.
	Domain string
	// Weight is the agent's capacity relative to the other candidates; one with weight 0 gets no new flows.
	Weight uint16
	// Demoted is true if the entry has evidence that the agent doesn't respond; such agents are chosen last.
	Demoted bool
}

// Choice is the order in which agents are tried for a new flow, as indexes into the candidates.
type Choice struct {
	First int
	// Second is in another failure domain than First if the service has one; it is -1 for a single candidate.
	Second int
}

// None is the choice for a service without candidates.
var None = Choice{First: -1, Second: -1}

// Choose returns the first and second choice for the flow that a client opens with connection ID id. It uses weighted
// rendezvous hashing: if a candidate is removed, only its own flows move to other agents.
func Choose(id []byte, candidates []Candidate) Choice {
	seed := xxhash.Sum64(id)
	first := bestCandidate(seed, candidates, -1, "")
	if first < 0 {
		return None
	}
	second := bestCandidate(seed, candidates, first, candidates[first].Domain)
	if second < 0 {
		second = bestCandidate(seed, candidates, first, "")
	}
	return Choice{First: first, Second: second}
}

// bestCandidate returns the index of the candidate with the highest score, or -1. It skips the index exclude and, unless
// empty, the failure domain excludeDomain.
func bestCandidate(seed uint64, candidates []Candidate, exclude int, excludeDomain string) int {
	bestIndex := -1
	bestScore := 0.0
	for i := range candidates {
		c := &candidates[i]
		if i == exclude || c.Weight == 0 || (excludeDomain != "" && c.Domain == excludeDomain) {
			continue
		}
		score := score(seed, c)
		if bestIndex < 0 || beats(c, score, &candidates[bestIndex], bestScore) {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}

// beats reports whether a ranks before b; demoted candidates rank after all others.
func beats(a *Candidate, scoreA float64, b *Candidate, scoreB float64) bool {
	if a.Demoted != b.Demoted {
		return b.Demoted
	}
	return scoreA > scoreB
}

// score returns a candidate's weighted rendezvous score for a flow.
func score(seed uint64, c *Candidate) float64 {
	const scale = 1 << 53
	uniform := (float64(hashAgent(seed, c.Agent)>>11) + 0.5) / scale
	return float64(c.Weight) / -math.Log(uniform)
}

// hashAgent hashes a flow's seed with an agent's address.
func hashAgent(seed uint64, agent netip.AddrPort) uint64 {
	ip := agent.Addr().As16()
	hi := binary.LittleEndian.Uint64(ip[:8])
	lo := binary.LittleEndian.Uint64(ip[8:])
	h := seed ^ splitMix64(lo^uint64(agent.Port())<<48^hi)
	return splitMix64(h)
}

// splitMix64 is the 64-bit finalizer of SplitMix64.
func splitMix64(z uint64) uint64 {
	z += 0x9E3779B97F4A7C15
	z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
	z = (z ^ z>>27) * 0x94D049BB133111EB
	return z ^ z>>31
}

// Rank returns an agent's sort key in a pseudorandom order that is the same in all processes; each seed gives a different
// order.
func Rank(seed uint64, agent netip.AddrPort) uint64 { return hashAgent(seed, agent) }
