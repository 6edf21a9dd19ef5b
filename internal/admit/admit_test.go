package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// warm returns a scheduler whose ramp-up is over.
func warm(limits Limits) *Scheduler { return New(limits, start.Add(-time.Hour)) }

func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Queue: rapid.IntRange(0, 6).Draw(t, "queue")}
		s := warm(limits)
		now := start
		running, waiting := map[uint64]Job{}, map[uint64]Job{}
		applyDecisions := func(decisions []Decision) {
			for _, d := range decisions {
				if _, ok := waiting[d.Job.ID]; !ok {
					t.Fatalf("decision on job %d, which isn't waiting", d.Job.ID)
				}
				delete(waiting, d.Job.ID)
				if d.Verdict != Start {
					continue
				}
				if now.Add(s.ExpectedDuration(d.Job.Class)).After(d.Job.Deadline) {
					t.Fatalf("job %d starts, but can't end before its deadline", d.Job.ID)
				}
				running[d.Job.ID] = d.Job
			}
		}
		for id := range uint64(rapid.IntRange(1, 150).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				class := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "class"))
				job := Job{ID: id, Class: class, Arrived: now, Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "left")) * time.Millisecond)}
				switch s.Arrive(job, now) {
				case Start:
					running[id] = job
				case Wait:
					waiting[id] = job
				}
			case 2:
				for id := range running {
					delete(running, id)
					s.Finish(id, false, now)
					break
				}
			case 3:
				for _, job := range s.TakeLast(1) {
					delete(waiting, job.ID)
				}
			}
			applyDecisions(s.Dispatch(now))
			if len(running) > limits.Slots || len(waiting) > limits.Queue {
				t.Fatalf("%d jobs running and %d waiting exceed the limits %+v", len(running), len(waiting), limits)
			}
			load := s.Load(now)
			if load.Running != len(running) || load.Queued != len(waiting) {
				t.Fatalf("load %+v, but %d jobs running and %d waiting", load, len(running), len(waiting))
			}
		}
	})
}

// runJobs runs n jobs of a class, one after the other, each of the given duration, and returns the time of the last end.
func runJobs(s *Scheduler, class string, n int, duration time.Duration, now time.Time) time.Time {
	for i := range n {
		id := uint64(1_000_000 + i)
		s.Arrive(Job{ID: id, Class: class, Arrived: now, Deadline: now.Add(time.Hour)}, now)
		now = now.Add(duration)
		s.Finish(id, false, now)
	}
	return now
}

func TestHeavyJobsLeaveASlotForLightJobs(t *testing.T) {
	is := is.New(t)
	s := warm(Limits{Slots: 4, Queue: 10})
	now := runJobs(s, "light", 10, 10*time.Millisecond, start)
	now = runJobs(s, "heavy", 10, 500*time.Millisecond, now)
	farDeadline := now.Add(time.Hour)
	for id := range uint64(3) {
		is.Equal(s.Arrive(Job{ID: id, Class: "heavy", Arrived: now, Deadline: farDeadline}, now), Start)
	}
	is.Equal(s.Arrive(Job{ID: 3, Class: "heavy", Arrived: now, Deadline: farDeadline}, now), Wait)
	is.Equal(len(s.Dispatch(now)), 0) // The last slot is reserved for light jobs.
	is.Equal(s.Arrive(Job{ID: 4, Class: "light", Arrived: now, Deadline: farDeadline}, now), Wait)
	decisions := s.Dispatch(now)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Job.ID, uint64(4)) // Light jobs overtake waiting heavy ones.
	is.Equal(decisions[0].Verdict, Start)
}

func TestRareLightJobsReserveNoSlot(t *testing.T) {
	is := is.New(t)
	s := warm(Limits{Slots: 4, Queue: 10})
	now := runJobs(s, "ping", 5, time.Millisecond, start)
	now = runJobs(s, "work", 100, 40*time.Millisecond, now)
	for id := range uint64(4) {
		is.Equal(s.Arrive(Job{ID: id, Class: "work", Arrived: now, Deadline: now.Add(time.Hour)}, now), Start)
	}
}

func TestHeavyJobsAreNotStarved(t *testing.T) {
	is := is.New(t)
	s := warm(Limits{Slots: 1, Queue: 100})
	now := runJobs(s, "light", 10, 10*time.Millisecond, start)
	now = runJobs(s, "heavy", 10, 100*time.Millisecond, now)
	farDeadline := now.Add(time.Hour)
	is.Equal(s.Arrive(Job{ID: 1, Class: "light", Arrived: now, Deadline: farDeadline}, now), Start)
	is.Equal(s.Arrive(Job{ID: 2, Class: "heavy", Arrived: now, Deadline: farDeadline}, now), Wait)
	last := uint64(1)
	for id := uint64(3); ; id++ {
		is.True(now.Sub(start) < time.Minute) // Heavy jobs don't starve.
		is.Equal(s.Arrive(Job{ID: id, Class: "light", Arrived: now, Deadline: farDeadline}, now), Wait)
		now = now.Add(10 * time.Millisecond)
		s.Finish(last, false, now)
		decisions := s.Dispatch(now)
		is.Equal(len(decisions), 1)
		last = decisions[0].Job.ID
		if last == 2 {
			return
		}
	}
}

func TestJobsThatMissTheirDeadlineAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := warm(Limits{Slots: 1, Queue: 100})
	now := runJobs(s, "a", 10, 100*time.Millisecond, start)
	is.Equal(s.Arrive(Job{ID: 1, Class: "a", Arrived: now, Deadline: now.Add(time.Second)}, now), Start)
	for id := uint64(2); id < 6; id++ {
		is.Equal(s.Arrive(Job{ID: id, Class: "a", Arrived: now, Deadline: now.Add(time.Second)}, now), Wait)
	}
	is.Equal(s.Arrive(Job{ID: 9, Class: "a", Arrived: now, Deadline: now.Add(300 * time.Millisecond)}, now), Refuse)
}

func TestColdServerRampsUp(t *testing.T) {
	is := is.New(t)
	s := New(Limits{Slots: 4, Queue: 0}, start)
	is.Equal(s.Slots(start), 1)
	before := 1
	for ms := range 6000 {
		slots := s.Slots(start.Add(time.Duration(ms) * time.Millisecond))
		is.True(slots >= before)
		before = slots
	}
	is.Equal(before, 4)
}

func TestErrorsMarkServerFailing(t *testing.T) {
	is := is.New(t)
	s := warm(Limits{Slots: 1, Queue: 0})
	now := start
	runJob := func(failed bool) {
		is.Equal(s.Arrive(Job{ID: 1, Arrived: now, Deadline: now.Add(time.Second)}, now), Start)
		now = now.Add(time.Millisecond)
		s.Finish(1, failed, now)
	}
	for range 20 {
		runJob(true)
	}
	is.True(s.Failing())
	for range 20 {
		runJob(false)
	}
	is.True(!s.Failing())
}

func BenchmarkSlopeArriveFinish(b *testing.B) {
	s := warm(Limits{Slots: 4, Queue: 16})
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Arrive(Job{ID: 1, Class: "a", Arrived: now, Deadline: now.Add(time.Second)}, now)
		s.Finish(1, false, now)
		s.Dispatch(now)
	}
}
