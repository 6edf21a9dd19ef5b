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

	"github.com/bergamotrun/bergamotrun/internal/flow"
)

func agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

func ready(i int, l Load) Candidate {
	return Candidate{Agent: agent(i), SameDomain: true, Ready: true, Load: l}
}

func TestFewCandidates(t *testing.T) {
	is := is.New(t)
	is.Equal(Choose(Flow{}, nil), Choice{First: -1, Fallback: -1})
	is.Equal(Choose(Flow{}, []Candidate{{Agent: agent(1)}}).First, -1) // Not ready.
	is.Equal(Choose(Flow{}, []Candidate{ready(1, Load{})}), Choice{First: 0, Fallback: -1})
}

func TestAvoidedAgentIsChosenLast(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{ready(0, Load{Slots: 4}), ready(1, Load{Slots: 4, PendingRequests: 30})}
	is.Equal(Choose(Flow{Avoid: agent(0)}, candidates), Choice{First: 1, Fallback: 0})
	is.Equal(Choose(Flow{Avoid: agent(0)}, candidates[:1]).First, 0)
}

// Long-lived flows balance the utilization: a server that is twice as fast gets twice as many flows.
func TestLongLivedFlowsFollowServerSpeed(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		ready(0, Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond}),
		ready(1, Load{Slots: 4, MeanServiceTime: 40 * time.Millisecond}),
	}
	for i := range 300 {
		candidates[Choose(Flow{LongLived: true, Hash: uint64(i) * 7919}, candidates).First].NewFlows++
	}
	is.True(candidates[0].NewFlows > 185 && candidates[0].NewFlows < 215)
}

// A server that has just started gets fewer flows than a warm one of the same speed.
func TestColdServerCountsAsSlower(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		ready(0, Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond}),
		ready(1, Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond, Cold: true}),
	}
	for i := range 300 {
		candidates[Choose(Flow{LongLived: true, Hash: uint64(i) * 7919}, candidates).First].NewFlows++
	}
	is.True(candidates[0].NewFlows > 165 && candidates[0].NewFlows < 195) // Expected ratio: 1.5 to 1.
}

// Until service times are measured, health check times predict them.
func TestHealthCheckTimesPredictServiceTimes(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		ready(0, Load{Slots: 4, MinHealthCheckTime: 800 * time.Microsecond}),
		ready(1, Load{Slots: 4, MinHealthCheckTime: 1600 * time.Microsecond}),
	}
	for i := range 300 {
		candidates[Choose(Flow{LongLived: true, Hash: uint64(i) * 7919}, candidates).First].NewFlows++
	}
	is.True(candidates[0].NewFlows > 185 && candidates[0].NewFlows < 215)
}

func TestRequestsPreferSameDomainWhileWaitIsShort(t *testing.T) {
	is := is.New(t)
	far := ready(1, Load{Slots: 4, MeanServiceTime: 25 * time.Millisecond})
	far.SameDomain = false
	f := Flow{Objective: 200 * time.Millisecond}
	is.Equal(Choose(f, []Candidate{ready(0, Load{Slots: 4, PendingRequests: 4, MeanServiceTime: 25 * time.Millisecond}), far}).First, 0)
	is.Equal(Choose(f, []Candidate{ready(0, Load{Slots: 4, PendingRequests: 20, MeanServiceTime: 25 * time.Millisecond}), far}).First, 1)
}

// As a report ages, the steady-state mean replaces its number of pending requests.
func TestOldReportsCountLess(t *testing.T) {
	is := is.New(t)
	old := ready(0, Load{Slots: 2, MeanServiceTime: 25 * time.Millisecond})
	old.Age = time.Second
	old.Load.FirstRate = 70
	fresh := ready(1, Load{Slots: 2, PendingRequests: 1, MeanServiceTime: 25 * time.Millisecond, FirstRate: 70})
	is.Equal(Choose(Flow{Objective: time.Second}, []Candidate{old, fresh}).First, 1)
}

// Load pattern: a crest beyond capacity, where servers in other failure domains report every 400 ms. A queue of a hundred requests
// doesn't vanish in that time: only what the server can do meanwhile does.
func TestQueueInOldReportIsNotForgotten(t *testing.T) {
	is := is.New(t)
	queued := ready(0, Load{Slots: 5, PendingRequests: 100, MeanServiceTime: 40 * time.Millisecond, FirstRate: 120})
	queued.Age = 300 * time.Millisecond
	other := ready(1, Load{Slots: 5, PendingRequests: 40, MeanServiceTime: 40 * time.Millisecond, FirstRate: 120})
	f := Flow{Objective: 200 * time.Millisecond}
	is.Equal(Choose(f, []Candidate{queued, other}).First, 1)
	agg := aggregateOf([]Candidate{queued, other})
	expected := queued.expectedPending(agg)
	is.True(expected > 62 && expected < 64) // 300 ms of work are done.
	queued.Age = 2 * time.Second
	is.Equal(Choose(f, []Candidate{queued, other}).First, 0)
}

func TestLifetimeEstimator(t *testing.T) {
	is := is.New(t)
	var e LifetimeEstimator
	is.True(e.LongLived())
	for range 20 {
		e.RecordSingle()
	}
	is.True(!e.LongLived())
	for range 20 {
		e.RecordReused()
	}
	is.True(e.LongLived())
}

// Load pattern: at a crest, requests wait for seconds. Acknowledgements, retransmissions and the parts of an upload don't make a flow
// with a single request a long-lived one.
func TestWaitingFlowHasOneRequest(t *testing.T) {
	is := is.New(t)
	var c RequestCounter
	is.Equal(c.Record(flow.Header{Ack: true, Seq: 100, AckNumber: 7000}), 0)
	for _, part := range []uint32{100, 1300, 2500, 1300, 2500} {
		is.Equal(c.Record(flow.Header{Ack: true, Seq: part, Len: 1200, AckNumber: 7000}), 1)
	}
	is.Equal(c.Record(flow.Header{Ack: true, Seq: 3700, AckNumber: 9000}), 1) // The response.
	is.Equal(c.Record(flow.Header{Ack: true, Fin: true, Seq: 3700, AckNumber: 9000}), 1)
	is.Equal(c.Record(flow.Header{Ack: true, Seq: 3700, Len: 50, AckNumber: 9000}), 2)
	is.Equal(c.Record(flow.Header{Ack: true, Seq: 3750, Len: 50, AckNumber: 9500}), 3)
}

func TestRequestsAreCountedAcrossWrapOfSequenceNumbers(t *testing.T) {
	is := is.New(t)
	var c RequestCounter
	is.Equal(c.Record(flow.Header{Ack: true, Seq: 0xFFFF_FFF0, Len: 32, AckNumber: 0xFFFF_FFFA}), 1)
	is.Equal(c.Record(flow.Header{Ack: true, Seq: 0x10, Len: 32, AckNumber: 0x20}), 2)
}

// simulateQueues simulates single requests to servers of unequal speed at 85% utilization, with reports from all servers
// every 200 ms, and returns the mean time in the system. A sent flow is counted sentWeight times.
func simulateQueues(entries, sentWeight int, choose func(rnd *rand.Rand, candidates []Candidate, waits []time.Duration) int) time.Duration {
	const servers, requests, slots = 12, 40_000, 2
	rnd := rand.New(rand.NewPCG(3, 4))
	serviceTimes := make([]time.Duration, servers)
	capacity := 0.0
	for i := range serviceTimes {
		serviceTimes[i] = 30 * time.Millisecond
		if i%4 == 0 {
			serviceTimes[i] = 14 * time.Millisecond
		}
		capacity += slots / serviceTimes[i].Seconds()
	}
	slotsFreeAt := make([]timeHeap, servers)
	for i := range slotsFreeAt {
		slotsFreeAt[i] = make(timeHeap, slots)
	}
	views := make([][]Candidate, entries)
	for e := range views {
		for i := range servers {
			views[e] = append(views[e], ready(i, Load{Slots: slots, MeanServiceTime: serviceTimes[i]}))
		}
	}
	var pending []completion
	now, reportedAt, total := time.Duration(0), time.Duration(0), time.Duration(0)
	pendingCount := make([]int, servers)
	for range requests {
		now += time.Duration(rnd.ExpFloat64() / (0.85 * capacity) * float64(time.Second))
		remaining := pending[:0]
		for _, p := range pending {
			if p.at > now {
				remaining = append(remaining, p)
				continue
			}
			pendingCount[p.server]--
		}
		pending = remaining
		if now-reportedAt > 200*time.Millisecond {
			reportedAt = now
			for _, candidates := range views {
				for i := range candidates {
					candidates[i].Load.PendingRequests, candidates[i].NewFlows = pendingCount[i], 0
					candidates[i].Load.FirstRate = 0.85 * slots / serviceTimes[i].Seconds()
				}
			}
		}
		candidates := views[rnd.IntN(entries)]
		for i := range candidates {
			candidates[i].Age = now - reportedAt
		}
		waits := make([]time.Duration, servers)
		for i := range waits {
			waits[i] = max(0, slotsFreeAt[i][0]-now)
		}
		i := choose(rnd, candidates, waits)
		candidates[i].NewFlows += sentWeight
		start := max(now, heap.Pop(&slotsFreeAt[i]).(time.Duration))
		end := start + time.Duration(rnd.ExpFloat64()*float64(serviceTimes[i]))
		heap.Push(&slotsFreeAt[i], end)
		pending = append(pending, completion{end, i})
		pendingCount[i]++
		total += end - now
	}
	return total / requests
}

type completion struct {
	at     time.Duration
	server int
}

type timeHeap []time.Duration

func (t timeHeap) Len() int           { return len(t) }
func (t timeHeap) Less(i, j int) bool { return t[i] < t[j] }
func (t timeHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeHeap) Push(x any)        { *t = append(*t, x.(time.Duration)) }
func (t *timeHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// Under a heavy load of single requests, the choice by expected time has a shorter mean response time than hashing and
// than the least reported number of pending requests.
func TestExpectedTimeBeatsOtherPolicies(t *testing.T) {
	is := is.New(t)
	chosen := simulateQueues(1, 1, func(rnd *rand.Rand, candidates []Candidate, _ []time.Duration) int {
		return Choose(Flow{Hash: rnd.Uint64(), Objective: 200 * time.Millisecond}, candidates).First
	})
	hash := simulateQueues(1, 1, func(rnd *rand.Rand, candidates []Candidate, _ []time.Duration) int { return rnd.IntN(len(candidates)) })
	leastPending := simulateQueues(1, 1, func(rnd *rand.Rand, candidates []Candidate, _ []time.Duration) int {
		best, offset := 0, rnd.IntN(len(candidates))
		for j := range candidates {
			i := (j + offset) % len(candidates)
			if candidates[i].Load.PendingRequests < candidates[best].Load.PendingRequests {
				best = i
			}
		}
		return best
	})
	// Lower bound: with the true wait of each server known, the servers behave like one queue for all slots.
	pooled := simulateQueues(1, 1, func(_ *rand.Rand, candidates []Candidate, waits []time.Duration) int {
		best := 0
		for i := range candidates {
			if waits[i]+candidates[i].Load.MeanServiceTime < waits[best]+candidates[best].Load.MeanServiceTime {
				best = i
			}
		}
		return best
	})
	t.Logf("mean time: chosen %s, least pending %s, hash %s, pooled %s", chosen, leastPending, hash, pooled)
	is.True(pooled < chosen)
	is.True(chosen < leastPending)
	is.True(chosen < hash/2)
}

// Entries with the same reports make the same choices. Each must count the flows of the others like its own, or all of
// them overload the server that was last reported as the least loaded.
func TestCountingFlowsOfOtherEntriesReducesMeanTime(t *testing.T) {
	is := is.New(t)
	const entries = 8
	choose := func(rnd *rand.Rand, candidates []Candidate, _ []time.Duration) int {
		return Choose(Flow{Hash: rnd.Uint64(), Objective: 200 * time.Millisecond}, candidates).First
	}
	withOthers, ownOnly := simulateQueues(entries, entries, choose), simulateQueues(entries, 1, choose)
	t.Logf("mean time: flows of all entries counted %s, own flows only %s", withOthers, ownOnly)
	is.True(withOthers < ownOnly)
}

// A choice can be reproduced from its logged trace.
func TestTraceReproducesChoice(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		var candidates []Candidate
		for i := range 9 {
			c := ready(i, Load{
				PendingRequests: rnd.IntN(9), Flows: rnd.IntN(90), Slots: 1 + rnd.IntN(4), MeanServiceTime: time.Duration(rnd.IntN(50_000_000)),
				FirstRate: 9 * rnd.Float64(), FollowUpRate: 30 * rnd.Float64(), Cold: rnd.IntN(5) == 0, MinHealthCheckTime: time.Duration(rnd.IntN(2_000_000)),
			})
			c.SameDomain, c.Ready, c.Age, c.NewFlows = rnd.IntN(2) == 0, rnd.IntN(5) > 0, time.Duration(rnd.IntN(200_000_000)), rnd.IntN(4)
			candidates = append(candidates, c)
		}
		f := Flow{Hash: rnd.Uint64(), LongLived: rnd.IntN(2) == 0, Objective: 200 * time.Millisecond}
		parsed, err := ParseTrace(Trace(candidates))
		is.NoErr(err)
		is.Equal(Choose(f, parsed), Choose(f, candidates))
	}
	_, err := ParseTrace("10.0.0.1:1,true")
	is.True(err != nil)
	_, err = ParseTrace(Trace([]Candidate{ready(1, Load{})}) + "x")
	is.True(err != nil)
}

// TestLoggedLineReproducesChoice reproduces the choice in a line of a real log.
func TestLoggedLineReproducesChoice(t *testing.T) {
	is := is.New(t)
	line, err := os.ReadFile("testdata/placed.log")
	is.NoErr(err)
	field := func(name string) string {
		m := regexp.MustCompile(name + `="?([^" \n]*)`).FindSubmatch(line)
		if m == nil {
			t.Fatalf("testdata/placed.log has no field %q", name)
		}
		return string(m[1])
	}
	candidates, err := ParseTrace(field("members"))
	is.NoErr(err)
	hash, err := strconv.ParseUint(field("hash"), 10, 64)
	is.NoErr(err)
	objective, err := time.ParseDuration(field("objective"))
	is.NoErr(err)
	choice := Choose(Flow{Hash: hash, LongLived: field("long") == "true", Objective: objective}, candidates)
	is.Equal(candidates[choice.First].Agent.String(), field("agent"))
	is.Equal(candidates[choice.Fallback].Agent.String(), field("second"))
}

// A server that answers every request with an immediate error has the shortest queue and the shortest service time. It
// must not attract new flows: long-lived ones would stay on it after it recovers.
func TestImplausiblyFastServerIsChosenLast(t *testing.T) {
	is := is.New(t)
	var candidates []Candidate
	for i := range 6 {
		candidates = append(candidates, ready(i, Load{Slots: 2, Flows: 50, PendingRequests: 2, MeanServiceTime: 30 * time.Millisecond, MinHealthCheckTime: 1500 * time.Microsecond, FollowUpRate: 20}))
	}
	candidates[3].Load.MeanServiceTime, candidates[3].Load.PendingRequests = 2*time.Millisecond, 0
	for _, long := range []bool{true, false} {
		for i := range 50 {
			is.True(Choose(Flow{Hash: uint64(i) * 7919, LongLived: long, Objective: time.Second}, candidates).First != 3)
		}
	}
	is.Equal(Choose(Flow{Objective: time.Second}, candidates[3:4]).First, 0) // It is the only candidate.

	// A server that really is fast also has faster health checks.
	candidates[3].Load.MeanServiceTime, candidates[3].Load.MinHealthCheckTime = 9*time.Millisecond, 500*time.Microsecond
	is.Equal(Choose(Flow{Objective: time.Second}, candidates).First, 3)
}

// Healthy servers of unequal speed are not suspected, even with noise in their mean service times.
func TestHealthyServersAreNotSuspected(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(7, 8))
	suspected := 0
	for range 2000 {
		var candidates []Candidate
		for range 7 {
			speed := []float64{0.55, 1, 1.2, 1.6}[rnd.IntN(4)]
			noise := 0.75 + 0.5*rnd.Float64()
			candidates = append(candidates, ready(len(candidates), Load{
				Slots: 4, MeanServiceTime: time.Duration(speed * noise * 28e6), MinHealthCheckTime: time.Duration(3e5 + speed*1e6 + 2e5*rnd.Float64()),
			}))
		}
		agg := aggregateOf(candidates)
		for i := range candidates {
			if candidates[i].Load.suspect(agg) {
				suspected++
			}
		}
	}
	is.Equal(suspected, 0)
}
