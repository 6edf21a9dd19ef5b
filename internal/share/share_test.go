package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memberLoad is the load of a member in packets per second.
type memberLoad struct {
	name string
	rate int
}

// simulate sends loads to limiters for five seconds, distributing the packets at random according to weights, and returns
// the packets per second that passed of each member. The first second isn't counted.
func simulate(limiters []*Limiter, weights []float64, loads []memberLoad) map[string]float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	const seconds = 5
	const step = time.Millisecond
	passed := map[string]float64{}
	pending := map[string]float64{}
	for tick := range int(seconds * time.Second / step) {
		now = now.Add(step)
		for _, l := range loads {
			pending[l.name] += float64(l.rate) * step.Seconds()
			for ; pending[l.name] >= 1; pending[l.name]-- {
				ok := limiters[weightedIndex(rnd.Float64(), weights)].Allow(l.name, false, now)
				if ok && tick > int(time.Second/step) {
					passed[l.name]++
				}
			}
		}
	}
	for name := range passed {
		passed[name] /= seconds - 1
	}
	return passed
}

func weightedIndex(x float64, weights []float64) int {
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

func TestOverloadingMemberDoesNotReduceOtherShares(t *testing.T) {
	is := is.New(t)
	l := New(10_000)
	l.SetShare("a", 60)
	l.SetShare("b", 40)
	passed := simulate([]*Limiter{l}, []float64{1}, []memberLoad{{"a", 60_000}, {"b", 4000}}) // a sends 10 times its share.
	is.True(passed["b"] >= 0.98*4000)
	is.True(passed["a"] >= 0.95*6000) // a still gets its own share.
	is.True(passed["a"]+passed["b"] <= 10_000)
}

func TestUnusedShareIsRedistributed(t *testing.T) {
	is := is.New(t)
	l := New(10_000)
	l.SetShare("a", 60)
	l.SetShare("b", 40)
	passed := simulate([]*Limiter{l}, []float64{1}, []memberLoad{{"a", 60_000}, {"b", 1000}})
	is.True(passed["b"] >= 0.98*1000)
	is.True(passed["a"] >= 0.95*9000)
}

func TestSharesHoldAcrossEntriesOfUnequalCapacity(t *testing.T) {
	is := is.New(t)
	capacities := []int{4000, 2000, 2000}
	var limiters []*Limiter
	for _, c := range capacities {
		l := New(c)
		l.SetShare("a", 50)
		l.SetShare("b", 30)
		l.SetShare("c", 20)
		limiters = append(limiters, l)
	}
	even := []float64{1. / 3, 1. / 3, 1. / 3} // The network fabric doesn't know the capacities.
	passed := simulate(limiters, even, []memberLoad{{"a", 40_000}, {"b", 24_000}, {"c", 16_000}})
	total := passed["a"] + passed["b"] + passed["c"]
	for name, want := range map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2} {
		is.True(passed[name]/total > want-0.03)
		is.True(passed[name]/total < want+0.03)
	}
	is.True(total >= 0.95*8000)
}

func TestNewFlowsAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	l := New(10_000)
	now := time.Unix(1_700_000_000, 0)
	established, opening := 0, 0
	for range 200 {
		now = now.Add(window)
		for i := range 1000 {
			opens := i%2 == 0
			ok := l.Allow("a", opens, now)
			switch {
			case ok && opens:
				opening++
			case ok:
				established++
			}
		}
	}
	is.True(established > opening)
}

func TestZeroCapacityIsUnlimited(t *testing.T) {
	is := is.New(t)
	l := New(0)
	now := time.Unix(1_700_000_000, 0)
	for range 1_000_000 {
		is.True(l.Allow("a", true, now))
	}
}

func BenchmarkSlopeAllow(b *testing.B) {
	l := New(1_000_000)
	l.SetShare("a", 60)
	now := time.Unix(1_700_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Allow("a", false, now)
	}
}
