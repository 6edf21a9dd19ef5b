// Package admit decides which requests a backend server works on, in which order, and which are refused.
//
// A Scheduler is given arrivals and endings with their times; it holds no locks, sockets or clocks.
// It guarantees that no more jobs run than there are slots, that no more wait than the queue holds,
// that every job given to it is answered by exactly one start, refusal, removal or cancellation, and
// that a job which can't end before its deadline isn't started. A call costs time in proportion to the
// queue's length.
package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// heavyFactor is how many times longer than other classes a class must be to count as heavy, and
	// lightPart the part of recent requests that those classes must have to be worth a slot.
	heavyFactor = 4
	lightPart   = 0.25
	// recentTime is the time constant of the count of recent requests.
	recentTime = 10 * time.Second
	// orderFactor weighs a job's expected duration against its waiting time in the queue's order.
	orderFactor = 4
	// minSamples is how many endings a class needs before its mean is trusted.
	minSamples = 3
	// meanGain is the weight of a new duration in a mean.
	meanGain = 0.2
	// utilizationTime is the time constant of the mean number of busy slots.
	utilizationTime = time.Second
	// maxClasses bounds the classes that are told apart; further ones share the overall mean.
	maxClasses = 256
	// rampTime is the time in which a server that starts cold gets to use all its slots.
	rampTime = 5 * time.Second
	// errorGain is the weight of one ending in the error ratio.
	errorGain = 0.1
	// failingRatio is the error ratio from which a server counts as failing.
	failingRatio = 0.5
)

// Limits are the limits of one backend server, which follow from its contract.
type Limits struct {
	Slots int
	Queue int
}

// Job is a request to be scheduled.
type Job struct {
	ID uint64
	// Class groups requests that are expected to take equally long.
	Class    string
	Arrived  time.Time
	Deadline time.Time
}

// Verdict is the answer to a job.
type Verdict uint8

// The verdicts.
const (
	// Start lets the job run now; Finish must be called when it has ended.
	Start Verdict = iota + 1
	// Wait keeps the job in the queue; Advance answers it later.
	Wait
	// Refuse ends the job before it ran.
	Refuse
)

// Decision is a verdict on a job that waited.
type Decision struct {
	Job     Job
	Verdict Verdict
}

// class is what is known of the durations of one class.
type class struct {
	mean    time.Duration
	samples int
	// recent counts the requests of the recent past, as of at.
	recent float64
	at     time.Time
}

// running is a job that runs.
type running struct {
	job     Job
	started time.Time
	heavy   bool
}

// Scheduler schedules the jobs of one backend server. Its owner serializes access.
type Scheduler struct {
	limits  Limits
	born    time.Time
	classes map[string]*class
	overall class
	queue   []Job
	running map[uint64]running
	heavy   int

	busy      float64
	busySince time.Time
	demand    float64
	asked     time.Time
	errors    float64
}

// New returns a scheduler for a server that starts cold at now.
func New(limits Limits, now time.Time) *Scheduler {
	return &Scheduler{
		limits:    limits,
		born:      now,
		classes:   make(map[string]*class),
		running:   make(map[uint64]running),
		busySince: now,
	}
}

// SetLimits puts other limits in force. Jobs that run or wait are not ended by it.
func (s *Scheduler) SetLimits(limits Limits) { s.limits = limits }

// Slots returns the number of slots in use at now, which grows while the server is cold.
func (s *Scheduler) Slots(now time.Time) int {
	age := now.Sub(s.born)
	if age >= rampTime {
		return s.limits.Slots
	}
	ramped := 1 + int(float64(s.limits.Slots)*float64(age)/float64(rampTime))
	return min(ramped, s.limits.Slots)
}

// FreeSlots returns the number of slots that a light job could start in at now.
func (s *Scheduler) FreeSlots(now time.Time) int {
	return max(0, s.Slots(now)-len(s.running)-len(s.queue))
}

// Arrive decides about a job that arrives at now.
func (s *Scheduler) Arrive(job Job, now time.Time) Verdict {
	if len(s.queue) == 0 && s.mayStart(job, now) {
		s.start(job, now)
		return Start
	}
	if s.ExpectedWait(now)+s.ExpectedDuration(job.Class) > job.Deadline.Sub(now) {
		return Refuse
	}
	if len(s.queue) >= s.limits.Queue {
		return Refuse
	}
	s.queue = append(s.queue, job)
	return Wait
}

// RecordDemand notes that a caller asks for a job of a class, wherever it is run then.
func (s *Scheduler) RecordDemand(class string, now time.Time) {
	s.decayDemand(now)
	s.demand += float64(s.ExpectedDuration(class)) / float64(utilizationTime)
}

// decayDemand brings the mean demand, in slots, up to now.
func (s *Scheduler) decayDemand(now time.Time) {
	if elapsed := now.Sub(s.asked); elapsed > 0 {
		s.demand *= math.Exp(-float64(elapsed) / float64(utilizationTime))
		s.asked = now
	}
}

// TryStart starts a job only if that is possible at once, and reports whether it did.
func (s *Scheduler) TryStart(job Job, now time.Time) bool {
	if len(s.queue) > 0 || !s.mayStart(job, now) {
		return false
	}
	s.start(job, now)
	return true
}

// Finish notes that a job has ended; failed says that the server answered with an error of its own.
// The caller then asks Advance for the jobs that may start.
func (s *Scheduler) Finish(id uint64, failed bool, now time.Time) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	s.settle(now)
	delete(s.running, id)
	if r.heavy {
		s.heavy--
	}
	s.noteError(failed)
	if !failed {
		s.learn(r.job.Class, now.Sub(r.started), now)
	}
}

// Cancel takes a waiting job out of the queue, and reports whether it waited there.
func (s *Scheduler) Cancel(id uint64) bool {
	i := slices.IndexFunc(s.queue, func(j Job) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// TakeLast removes and returns up to n waiting jobs that would start last, for another server to run.
func (s *Scheduler) TakeLast(n int) []Job {
	s.sort()
	n = min(n, len(s.queue))
	at := len(s.queue) - n
	taken := slices.Clone(s.queue[at:])
	s.queue = s.queue[:at]
	return taken
}

// Dispatch starts the waiting jobs that may run at now, and refuses those that can't end in time.
func (s *Scheduler) Dispatch(now time.Time) []Decision {
	if len(s.queue) == 0 {
		return nil
	}
	s.sort()
	var answers []Decision
	var rest []Job
	for _, job := range s.queue {
		switch {
		case now.Add(s.ExpectedDuration(job.Class)).After(job.Deadline):
			answers = append(answers, Decision{Job: job, Verdict: Refuse})
		case s.mayStart(job, now):
			s.start(job, now)
			answers = append(answers, Decision{Job: job, Verdict: Start})
		default:
			rest = append(rest, job)
		}
	}
	s.queue = rest
	return answers
}

// sort orders the queue: long jobs go behind short ones until they have waited in proportion.
func (s *Scheduler) sort() {
	slices.SortStableFunc(s.queue, func(a, b Job) int {
		keyA := a.Arrived.Add(orderFactor * s.ExpectedDuration(a.Class))
		keyB := b.Arrived.Add(orderFactor * s.ExpectedDuration(b.Class))
		return keyA.Compare(keyB)
	})
}

func (s *Scheduler) mayStart(job Job, now time.Time) bool {
	slots := s.Slots(now)
	if len(s.running) >= slots {
		return false
	}
	return slots == 1 || s.heavy < slots-1 || !s.isHeavy(job.Class, now)
}

func (s *Scheduler) start(job Job, now time.Time) {
	s.settle(now)
	heavy := s.isHeavy(job.Class, now)
	if heavy {
		s.heavy++
	}
	s.running[job.ID] = running{job: job, started: now, heavy: heavy}
}

// isHeavy reports whether jobs of a class take several times longer than those of classes which together
// make a good part of the recent requests. Work that is rare isn't worth a slot kept for it.
func (s *Scheduler) isHeavy(name string, now time.Time) bool {
	c := s.classes[name]
	if c == nil || c.samples < minSamples {
		return false
	}
	light, all := 0.0, 0.0
	for _, other := range s.classes {
		n := other.recentAt(now)
		all += n
		if other.samples >= minSamples && c.mean > heavyFactor*other.mean {
			light += n
		}
	}
	return light >= lightPart*all
}

// recentAt returns the count of recent requests at now.
func (c *class) recentAt(now time.Time) float64 {
	return c.recent * math.Exp(-float64(now.Sub(c.at))/float64(recentTime))
}

// ExpectedDuration returns the expected duration of a job of a class; 0 when nothing is known yet.
func (s *Scheduler) ExpectedDuration(name string) time.Duration {
	if c := s.classes[name]; c != nil && c.samples >= minSamples {
		return c.mean
	}
	return s.overall.mean
}

// ExpectedWait returns the expected time until a job that arrives at now may start.
func (s *Scheduler) ExpectedWait(now time.Time) time.Duration {
	slots := s.Slots(now)
	if len(s.running)+len(s.queue) < slots {
		return 0
	}
	work := s.overall.mean // Until one of the running jobs ends, on average.
	for _, job := range s.queue {
		work += s.ExpectedDuration(job.Class)
	}
	return work / time.Duration(slots)
}

func (s *Scheduler) learn(name string, d time.Duration, now time.Time) {
	s.overall.add(d, now)
	c := s.classes[name]
	if c == nil {
		if len(s.classes) >= maxClasses {
			return
		}
		c = &class{}
		s.classes[name] = c
	}
	c.add(d, now)
}

func (c *class) add(d time.Duration, now time.Time) {
	c.recent = c.recentAt(now) + 1
	c.at = now
	c.samples++
	gain := max(meanGain, 1/float64(c.samples))
	c.mean += time.Duration(gain * float64(d-c.mean))
}

func (s *Scheduler) noteError(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.errors += errorGain * (sample - s.errors)
}

// Failing reports whether most of the server's recent answers were errors.
func (s *Scheduler) Failing() bool { return s.errors >= failingRatio }

// settle brings the mean number of busy slots up to now.
func (s *Scheduler) settle(now time.Time) {
	elapsed := now.Sub(s.busySince)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(utilizationTime))
	s.busy += weight * (float64(len(s.running)) - s.busy)
	s.busySince = now
}

// Load is a server's load.
type Load struct {
	// Utilization is the recent share of busy slots, from 0 to 1.
	Utilization float64
	// Demand is the recent work that callers asked for, as a share of the slots; it may exceed 1.
	Demand  float64
	Free    int
	Slots   int
	Running int
	Queued  int
	Failing bool
}

// Load returns the server's load at now.
func (s *Scheduler) Load(now time.Time) Load {
	s.settle(now)
	s.decayDemand(now)
	slots := float64(max(1, s.Slots(now)))
	return Load{
		Utilization: min(1, s.busy/slots),
		Demand:      s.demand / slots,
		Free:        s.FreeSlots(now),
		Slots:       s.Slots(now),
		Running:     len(s.running),
		Queued:      len(s.queue),
		Failing:     s.Failing(),
	}
}
