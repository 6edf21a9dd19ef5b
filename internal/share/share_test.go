package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// offered is the load of one member in packets a second.
type offered struct {
	name string
	rate int
}

// drive offers loads to dividers for some seconds, spraying packets over them in proportion to their
// capacity, and returns how many packets a second of each member passed.
func drive(dividers []*Limiter, weights []float64, loads []offered) map[string]float64 {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	const seconds = 5
	const step = time.Millisecond
	passed := map[string]float64{}
	carry := map[string]float64{}
	for tick := range int(seconds * time.Second / step) {
		now = now.Add(step)
		for _, l := range loads {
			carry[l.name] += float64(l.rate) * step.Seconds()
			for ; carry[l.name] >= 1; carry[l.name]-- {
				ok := dividers[choose(r.Float64(), weights)].Allow(l.name, false, now)
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

func choose(x float64, weights []float64) int {
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

func TestOthersKeepTheirShare(t *testing.T) {
	is := is.New(t)
	d := New(10_000)
	d.SetShare("a", 60)
	d.SetShare("b", 40)
	passed := drive([]*Limiter{d}, []float64{1}, []offered{{"a", 60_000}, {"b", 4000}}) // a asks 10 times its share.
	is.True(passed["b"] >= 0.98*4000)
	is.True(passed["a"] >= 0.95*6000) // And gets its own.
	is.True(passed["a"]+passed["b"] <= 10_000)
}

func TestUnusedShareIsLent(t *testing.T) {
	is := is.New(t)
	d := New(10_000)
	d.SetShare("a", 60)
	d.SetShare("b", 40)
	passed := drive([]*Limiter{d}, []float64{1}, []offered{{"a", 60_000}, {"b", 1000}})
	is.True(passed["b"] >= 0.98*1000)
	is.True(passed["a"] >= 0.95*9000)
}

func TestSharesHoldOverUnequalEntries(t *testing.T) {
	is := is.New(t)
	capacities := []int{4000, 2000, 2000}
	var dividers []*Limiter
	for _, c := range capacities {
		d := New(c)
		d.SetShare("a", 50)
		d.SetShare("b", 30)
		d.SetShare("c", 20)
		dividers = append(dividers, d)
	}
	even := []float64{1. / 3, 1. / 3, 1. / 3} // The fabric doesn't know the sizes.
	passed := drive(dividers, even, []offered{{"a", 40_000}, {"b", 24_000}, {"c", 16_000}})
	total := passed["a"] + passed["b"] + passed["c"]
	for name, want := range map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2} {
		is.True(passed[name]/total > want-0.03)
		is.True(passed[name]/total < want+0.03)
	}
	is.True(total >= 0.95*8000)
}

func TestNewFlowsAreGivenUpFirst(t *testing.T) {
	is := is.New(t)
	d := New(10_000)
	now := time.Unix(1_700_000_000, 0)
	established, opening := 0, 0
	for range 200 {
		now = now.Add(window)
		for i := range 1000 {
			opens := i%2 == 0
			ok := d.Allow("a", opens, now)
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

func TestNoCapacityMeansNoLimit(t *testing.T) {
	is := is.New(t)
	d := New(0)
	now := time.Unix(1_700_000_000, 0)
	for range 1_000_000 {
		is.True(d.Allow("a", true, now))
	}
}

func BenchmarkSlopeAllow(b *testing.B) {
	d := New(1_000_000)
	d.SetShare("a", 60)
	now := time.Unix(1_700_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		d.Allow("a", false, now)
	}
}
