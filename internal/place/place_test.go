package place

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func testCandidates(n, domains int, weight func(int) uint16) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		candidates[i] = Candidate{Agent: addr, Domain: fmt.Sprint(i % domains), Weight: weight(i)}
	}
	return candidates
}

func equalWeight(int) uint16 { return 100 }

func flowID(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)*0x9E3779B97F4A7C15) }

func TestChoiceIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "members")
		candidates := testCandidates(n, 3, equalWeight)
		id := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "id")
		a, b := Choose(id, candidates), Choose(id, candidates)
		if a != b {
			t.Fatalf("two choices for the same input differ: %v and %v", a, b)
		}
		switch {
		case n == 0 && a != None, n == 1 && a != (Choice{First: 0, Second: -1}):
			t.Fatalf("got choice %v for %d candidates", a, n)
		case n > 3 && candidates[a.First].Domain == candidates[a.Second].Domain:
			t.Fatalf("both choices are in the same failure domain")
		case n > 1 && a.First == a.Second:
			t.Fatalf("both choices are the same")
		}
	})
}

func TestRemovedCandidateMovesOnlyItsFlows(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(9, 3, equalWeight)
	without := append(append([]Candidate(nil), candidates[:4]...), candidates[5:]...)
	for i := range 5000 {
		before := candidates[Choose(flowID(i), candidates).First].Agent
		after := without[Choose(flowID(i), without).First].Agent
		if before != candidates[4].Agent {
			is.Equal(after, before)
		}
	}
}

func TestFlowsFollowWeights(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(7, 3, func(i int) uint16 { return uint16(50 * (i%3 + 1)) })
	total := 0.0
	for _, c := range candidates {
		total += float64(c.Weight)
	}
	const flows = 100_000
	counts := make([]int, len(candidates))
	for i := range flows {
		counts[Choose(flowID(i), candidates).First]++
	}
	for i, c := range candidates {
		want := flows * float64(c.Weight) / total
		is.True(math.Abs(float64(counts[i])-want) < 0.05*want) // Within 5% of the proportional number.
	}
}

func TestDemotedCandidateIsChosenLast(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(3, 3, equalWeight)
	candidates[1].Demoted = true
	for i := range 1000 {
		is.True(Choose(flowID(i), candidates).First != 1)
	}
	for i := range candidates {
		candidates[i].Demoted = true
	}
	is.True(Choose(flowID(1), candidates) != None) // If all candidates are demoted, one is still chosen.
	candidates[0].Weight, candidates[1].Weight, candidates[2].Weight = 0, 0, 0
	is.Equal(Choose(flowID(1), candidates), None)
}

func BenchmarkSlopeChoose(b *testing.B) {
	candidates := testCandidates(8, 3, equalWeight)
	id := flowID(1)
	b.ReportAllocs()
	for b.Loop() {
		Choose(id, candidates)
	}
}
