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

func testMembers(n, domains int, weight func(int) uint16) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		out[i] = Candidate{Agent: addr, Domain: fmt.Sprint(i % domains), Weight: weight(i)}
	}
	return out
}

func same(int) uint16 { return 100 }

func flowID(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)*0x9E3779B97F4A7C15) }

func TestChoiceFollowsFromInputsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "members")
		members := testMembers(n, 3, same)
		id := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "id")
		a, b := Choose(id, members), Choose(id, members)
		if a != b {
			t.Fatalf("%v and %v", a, b)
		}
		switch {
		case n == 0 && a != None, n == 1 && a != (Choice{First: 0, Second: -1}):
			t.Fatalf("%v of %d members", a, n)
		case n > 3 && members[a.First].Domain == members[a.Second].Domain:
			t.Fatalf("both choices are in one failure domain")
		case n > 1 && a.First == a.Second:
			t.Fatalf("both choices are the same")
		}
	})
}

func TestLeavingMemberMovesOnlyItsFlows(t *testing.T) {
	is := is.New(t)
	members := testMembers(9, 3, same)
	without := append(append([]Candidate(nil), members[:4]...), members[5:]...)
	for i := range 5000 {
		before := members[Choose(flowID(i), members).First].Agent
		after := without[Choose(flowID(i), without).First].Agent
		if before != members[4].Agent {
			is.Equal(after, before)
		}
	}
}

func TestFlowsFollowWeights(t *testing.T) {
	is := is.New(t)
	members := testMembers(7, 3, func(i int) uint16 { return uint16(50 * (i%3 + 1)) })
	total := 0.0
	for _, m := range members {
		total += float64(m.Weight)
	}
	const flows = 100_000
	counts := make([]int, len(members))
	for i := range flows {
		counts[Choose(flowID(i), members).First]++
	}
	for i, m := range members {
		want := flows * float64(m.Weight) / total
		is.True(math.Abs(float64(counts[i])-want) < 0.05*want) // Within 5% of the weight's part.
	}
}

func TestDemotedIsTakenLast(t *testing.T) {
	is := is.New(t)
	members := testMembers(3, 3, same)
	members[1].Demoted = true
	for i := range 1000 {
		is.True(Choose(flowID(i), members).First != 1)
	}
	for i := range members {
		members[i].Demoted = true
	}
	is.True(Choose(flowID(1), members) != None) // All demoted is not the same as none.
	members[0].Weight, members[1].Weight, members[2].Weight = 0, 0, 0
	is.Equal(Choose(flowID(1), members), None)
}

func BenchmarkSlopeChoose(b *testing.B) {
	members := testMembers(8, 3, same)
	id := flowID(1)
	b.ReportAllocs()
	for b.Loop() {
		Choose(id, members)
	}
}
