package pick

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

func ready(i int, l Load) Candidate {
	return Candidate{Agent: agent(i), SameDomain: true, Ready: true, Load: l}
}

func TestNoMember(t *testing.T) {
	is := is.New(t)
	is.Equal(Choose(Flow{}, nil), Choice{First: -1, Second: -1})
	is.Equal(Choose(Flow{}, []Candidate{{Agent: agent(1)}}).First, -1) // Not ready.
	is.Equal(Choose(Flow{}, []Candidate{ready(1, Load{})}), Choice{First: 0, Second: -1})
}

func TestAvoidIsTheLastResort(t *testing.T) {
	is := is.New(t)
	members := []Candidate{ready(0, Load{Slots: 4}), ready(1, Load{Slots: 4, Pending: 30})}
	is.Equal(Choose(Flow{Avoid: agent(0)}, members), Choice{First: 1, Second: 0})
	is.Equal(Choose(Flow{Avoid: agent(0)}, members[:1]).First, 0)
}

// Long flows level the utilization: a server of twice the speed gets twice the flows.
func TestLongFlowsFollowSpeed(t *testing.T) {
	is := is.New(t)
	members := []Candidate{
		ready(0, Load{Slots: 4, ServiceTime: 20 * time.Millisecond}),
		ready(1, Load{Slots: 4, ServiceTime: 40 * time.Millisecond}),
	}
	for i := range 300 {
		members[Choose(Flow{LongLived: true, Hash: uint64(i) * 7919}, members).First].Sent++
	}
	is.True(members[0].Sent > 185 && members[0].Sent < 215)
}

// A server right after its start, among warm ones of the same speed, gets fewer flows.
func TestColdServerCountsAsSlower(t *testing.T) {
	is := is.New(t)
	members := []Candidate{
		ready(0, Load{Slots: 4, ServiceTime: 20 * time.Millisecond}),
		ready(1, Load{Slots: 4, ServiceTime: 20 * time.Millisecond, Cold: true}),
	}
	for i := range 300 {
		members[Choose(Flow{LongLived: true, Hash: uint64(i) * 7919}, members).First].Sent++
	}
	is.True(members[0].Sent > 165 && members[0].Sent < 195) // 1.5 to 1.
}

// Before requests were seen, health checks tell the fast servers.
func TestFirstFlowsFollowHealthChecks(t *testing.T) {
	is := is.New(t)
	members := []Candidate{
		ready(0, Load{Slots: 4, HealthCheckTime: 800 * time.Microsecond}),
		ready(1, Load{Slots: 4, HealthCheckTime: 1600 * time.Microsecond}),
	}
	for i := range 300 {
		members[Choose(Flow{LongLived: true, Hash: uint64(i) * 7919}, members).First].Sent++
	}
	is.True(members[0].Sent > 185 && members[0].Sent < 215)
}

func TestSingleRequestsStayNearWhileTheWaitIsShort(t *testing.T) {
	is := is.New(t)
	far := ready(1, Load{Slots: 4, ServiceTime: 25 * time.Millisecond})
	far.SameDomain = false
	f := Flow{Objective: 200 * time.Millisecond}
	is.Equal(Choose(f, []Candidate{ready(0, Load{Slots: 4, Pending: 4, ServiceTime: 25 * time.Millisecond}), far}).First, 0)
	is.Equal(Choose(f, []Candidate{ready(0, Load{Slots: 4, Pending: 20, ServiceTime: 25 * time.Millisecond}), far}).First, 1)
}

// An old number of pending requests gives way to the mean.
func TestOldReportsCountLess(t *testing.T) {
	is := is.New(t)
	old := ready(0, Load{Slots: 2, ServiceTime: 25 * time.Millisecond})
	old.Age = time.Second
	old.Load.OpeningRate = 70
	fresh := ready(1, Load{Slots: 2, Pending: 1, ServiceTime: 25 * time.Millisecond, OpeningRate: 70})
	is.Equal(Choose(Flow{Objective: time.Second}, []Candidate{old, fresh}).First, 1)
}

func TestHabit(t *testing.T) {
	is := is.New(t)
	var h LifetimeEstimator
	is.True(h.LongLived())
	for range 20 {
		h.ObserveEnd()
	}
	is.True(!h.LongLived())
	is.True(!h.ObserveUse(100 * time.Millisecond))
	for range 20 {
		is.True(h.ObserveUse(2 * time.Second))
	}
	is.True(h.LongLived())
}

// crowd plays single requests against servers of unequal speed at 85% utilization, with reports every 200 ms from all
// of them, and returns the mean time in the system.
func crowd(entries, alike int, choose func(rnd *rand.Rand, members []Candidate, waits []time.Duration) int) time.Duration {
	const servers, requests, slots = 12, 40_000, 2
	rnd := rand.New(rand.NewPCG(3, 4))
	means := make([]time.Duration, servers)
	capacity := 0.0
	for i := range means {
		means[i] = 30 * time.Millisecond
		if i%4 == 0 {
			means[i] = 14 * time.Millisecond
		}
		capacity += slots / means[i].Seconds()
	}
	free := make([]times, servers)
	for i := range free {
		free[i] = make(times, slots)
	}
	known := make([][]Candidate, entries)
	for e := range known {
		for i := range servers {
			known[e] = append(known[e], ready(i, Load{Slots: slots, ServiceTime: means[i]}))
		}
	}
	var pending []finish
	now, reported, total := time.Duration(0), time.Duration(0), time.Duration(0)
	count := make([]int, servers)
	for range requests {
		now += time.Duration(rnd.ExpFloat64() / (0.85 * capacity) * float64(time.Second))
		kept := pending[:0]
		for _, p := range pending {
			if p.at > now {
				kept = append(kept, p)
				continue
			}
			count[p.server]--
		}
		pending = kept
		if now-reported > 200*time.Millisecond {
			reported = now
			for _, members := range known {
				for i := range members {
					members[i].Load.Pending, members[i].Sent = count[i], 0
					members[i].Load.OpeningRate = 0.85 * slots / means[i].Seconds()
				}
			}
		}
		members := known[rnd.IntN(entries)]
		for i := range members {
			members[i].Age = now - reported
		}
		waits := make([]time.Duration, servers)
		for i := range waits {
			waits[i] = max(0, free[i][0]-now)
		}
		i := choose(rnd, members, waits)
		members[i].Sent += alike
		start := max(now, heap.Pop(&free[i]).(time.Duration))
		end := start + time.Duration(rnd.ExpFloat64()*float64(means[i]))
		heap.Push(&free[i], end)
		pending = append(pending, finish{end, i})
		count[i]++
		total += end - now
	}
	return total / requests
}

type finish struct {
	at     time.Duration
	server int
}

type times []time.Duration

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i] < t[j] }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(time.Duration)) }
func (t *times) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// Against a hash and the least told number of pending requests, the choice by expected time serves a heavy load of
// single requests sooner.
func TestCrowdIsServedSooner(t *testing.T) {
	is := is.New(t)
	chosen := crowd(1, 1, func(rnd *rand.Rand, members []Candidate, _ []time.Duration) int {
		return Choose(Flow{Hash: rnd.Uint64(), Objective: 200 * time.Millisecond}, members).First
	})
	hash := crowd(1, 1, func(rnd *rand.Rand, members []Candidate, _ []time.Duration) int { return rnd.IntN(len(members)) })
	least := crowd(1, 1, func(rnd *rand.Rand, members []Candidate, _ []time.Duration) int {
		found, offset := 0, rnd.IntN(len(members))
		for j := range members {
			i := (j + offset) % len(members)
			if members[i].Load.Pending < members[found].Load.Pending {
				found = i
			}
		}
		return found
	})
	// With each server's true wait known, the choice is that of one queue before all slots.
	pooled := crowd(1, 1, func(_ *rand.Rand, members []Candidate, waits []time.Duration) int {
		found := 0
		for i := range members {
			if waits[i]+members[i].Load.ServiceTime < waits[found]+members[found].Load.ServiceTime {
				found = i
			}
		}
		return found
	})
	t.Logf("mean time: chosen %s, least told %s, hash %s, pooled %s", chosen, least, hash, pooled)
	is.True(pooled < chosen)
	is.True(chosen < least)
	is.True(chosen < hash/2)
}

// Entries that know the same choose alike: each must take it that the others send as much as itself, or all of them
// crowd the server that was told to be the least loaded.
func TestEntriesThatChooseAlikeDontCrowd(t *testing.T) {
	is := is.New(t)
	const entries = 8
	choose := func(rnd *rand.Rand, members []Candidate, _ []time.Duration) int {
		return Choose(Flow{Hash: rnd.Uint64(), Objective: 200 * time.Millisecond}, members).First
	}
	counted, alone := crowd(entries, entries, choose), crowd(entries, 1, choose)
	t.Logf("mean time: others counted %s, own flows only %s", counted, alone)
	is.True(counted < alone)
}

// A logged choice can be made again from what was logged.
func TestTraceMakesTheChoiceAgain(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		var members []Candidate
		for i := range 9 {
			m := ready(i, Load{
				Pending: rnd.IntN(9), Flows: rnd.IntN(90), Slots: 1 + rnd.IntN(4), ServiceTime: time.Duration(rnd.IntN(50_000_000)),
				OpeningRate: 9 * rnd.Float64(), FollowUpRate: 30 * rnd.Float64(), Cold: rnd.IntN(5) == 0, HealthCheckTime: time.Duration(rnd.IntN(2_000_000)),
			})
			m.SameDomain, m.Ready, m.Age, m.Sent = rnd.IntN(2) == 0, rnd.IntN(5) > 0, time.Duration(rnd.IntN(200_000_000)), rnd.IntN(4)
			members = append(members, m)
		}
		f := Flow{Hash: rnd.Uint64(), LongLived: rnd.IntN(2) == 0, Objective: 200 * time.Millisecond}
		again, err := ParseTrace(Trace(members))
		is.NoErr(err)
		is.Equal(Choose(f, again), Choose(f, members))
	}
	_, err := ParseTrace("10.0.0.1:1,true")
	is.True(err != nil)
	_, err = ParseTrace(Trace([]Candidate{ready(1, Load{})}) + "x")
	is.True(err != nil)
}

// TestLoggedLine makes the choice of a line of a real log again.
func TestLoggedLine(t *testing.T) {
	is := is.New(t)
	line, err := os.ReadFile("testdata/placed.log")
	is.NoErr(err)
	field := func(name string) string {
		m := regexp.MustCompile(name + `="?([^" \n]*)`).FindSubmatch(line)
		if m == nil {
			t.Fatalf("the line has no %s", name)
		}
		return string(m[1])
	}
	members, err := ParseTrace(field("members"))
	is.NoErr(err)
	hash, err := strconv.ParseUint(field("hash"), 10, 64)
	is.NoErr(err)
	objective, err := time.ParseDuration(field("objective"))
	is.NoErr(err)
	choice := Choose(Flow{Hash: hash, LongLived: field("long") == "true", Objective: objective}, members)
	is.Equal(members[choice.First].Agent.String(), field("agent"))
	is.Equal(members[choice.Second].Agent.String(), field("second"))
}

// A server that answers everything with an error at once has the shortest queue and the shortest service time. It must not
// draw the new flows: long ones would stay there when it works again.
func TestImplausiblyFastServerIsTakenLast(t *testing.T) {
	is := is.New(t)
	var members []Candidate
	for i := range 6 {
		members = append(members, ready(i, Load{Slots: 2, Flows: 50, Pending: 2, ServiceTime: 30 * time.Millisecond, HealthCheckTime: 1500 * time.Microsecond, FollowUpRate: 20}))
	}
	members[3].Load.ServiceTime, members[3].Load.Pending = 2*time.Millisecond, 0
	for _, long := range []bool{true, false} {
		for i := range 50 {
			is.True(Choose(Flow{Hash: uint64(i) * 7919, LongLived: long, Objective: time.Second}, members).First != 3)
		}
	}
	is.Equal(Choose(Flow{Objective: time.Second}, members[3:4]).First, 0) // Better than none.

	// One that is fast in truth answers its health checks faster too.
	members[3].Load.ServiceTime, members[3].Load.HealthCheckTime = 9*time.Millisecond, 500*time.Microsecond
	is.Equal(Choose(Flow{Objective: time.Second}, members).First, 3)
}

// Fair servers of unequal speed are not taken for implausibly fast ones, whatever noise their means have.
func TestFairServersAreNotSuspected(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(7, 8))
	suspected := 0
	for range 2000 {
		var members []Candidate
		for range 7 {
			speed := []float64{0.55, 1, 1.2, 1.6}[rnd.IntN(4)]
			noise := 0.75 + 0.5*rnd.Float64()
			members = append(members, ready(len(members), Load{
				Slots: 4, ServiceTime: time.Duration(speed * noise * 28e6), HealthCheckTime: time.Duration(3e5 + speed*1e6 + 2e5*rnd.Float64()),
			}))
		}
		s := summarize(members)
		for i := range members {
			if members[i].Load.suspect(s) {
				suspected++
			}
		}
	}
	is.Equal(suspected, 0)
}
