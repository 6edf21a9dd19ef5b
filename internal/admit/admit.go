// Package admit implements admission control and scheduling of the requests of a backend server.
//
// The caller passes arrivals and completions with their times to a Scheduler, which has no locks, sockets or clocks. It
// guarantees that at most as many jobs run as there are slots, that at most as many wait as the queue may hold, that every
// job gets exactly one of a start, a refusal, a removal by TakeLast and a cancellation, and that a job which isn't expected
// to end before its deadline isn't started from the queue. A call takes time linear in the length of the queue.
package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// heavyFactor is the factor by which the jobs of a heavy class take longer than those of light classes. minLightFraction
	// is the fraction of recent requests that the light classes must have for a slot to be reserved for them.
	heavyFactor      = 4
	minLightFraction = 0.25
	// recentTimeConstant is the time constant of the decaying count of recent requests.
	recentTimeConstant = 10 * time.Second
	// orderFactor is the weight of a job's expected duration relative to its waiting time in the order of the queue.
	orderFactor = 4
	// minSamples is how many completed jobs a class needs before its own mean is used.
	minSamples = 3
	// meanGain is the weight of a new duration in a moving average.
	meanGain = 0.2
	// utilizationTimeConstant is the time constant of the mean number of busy slots and of the demand.
	utilizationTimeConstant = time.Second
	// maxClasses bounds the classes with their own statistics; further ones use the mean over all classes.
	maxClasses = 256
	// rampDuration is the time over which the slots in use of a newly started server grow to the limit.
	rampDuration = 5 * time.Second
	// errorGain is the weight of one result in the moving average of the error ratio.
	errorGain = 0.1
	// failingErrorRatio is the error ratio at and above which a server counts as failing.
	failingErrorRatio = 0.5
)

// Limits are the limits of a backend server, as set by its contract.
type Limits struct {
	Slots int
	Queue int
}

// Job is a request to be scheduled.
type Job struct {
	ID uint64
	// Class groups requests with similar durations.
	Class    string
	Arrived  time.Time
	Deadline time.Time
}

// Verdict is the decision on a job.
type Verdict uint8

// The verdicts.
const (
	// Start runs the job now; the caller must call Finish when it has ended.
	Start Verdict = iota + 1
	// Wait keeps the job in the queue; a later Dispatch decides on it.
	Wait
	// Refuse rejects the job without running it.
	Refuse
)

// Decision is the verdict on a job from the queue.
type Decision struct {
	Job     Job
	Verdict Verdict
}

// classStats holds the statistics of one class of jobs.
type classStats struct {
	meanDuration time.Duration
	samples      int
	// recent is the exponentially decayed count of completed jobs as of recentAsOf.
	recent     float64
	recentAsOf time.Time
}

// runningJob is a job in progress.
type runningJob struct {
	job     Job
	started time.Time
	heavy   bool
}

// Scheduler schedules the jobs of one backend server. It isn't safe for concurrent use.
type Scheduler struct {
	limits       Limits
	startedAt    time.Time
	classes      map[string]*classStats
	allClasses   classStats
	queue        []Job
	running      map[uint64]runningJob
	heavyRunning int

	busySlots     float64
	busySlotsAsOf time.Time
	demandSlots   float64
	demandAsOf    time.Time
	errorRatio    float64
}

// New returns a scheduler for a server that starts at now.
func New(limits Limits, now time.Time) *Scheduler {
	return &Scheduler{
		limits:        limits,
		startedAt:     now,
		classes:       make(map[string]*classStats),
		running:       make(map[uint64]runningJob),
		busySlotsAsOf: now,
	}
}

// SetLimits replaces the limits. It keeps running and waiting jobs, even beyond the new limits.
func (s *Scheduler) SetLimits(limits Limits) { s.limits = limits }

// Slots returns the number of usable slots at now, which grows during rampDuration after the start.
func (s *Scheduler) Slots(now time.Time) int {
	age := now.Sub(s.startedAt)
	if age >= rampDuration {
		return s.limits.Slots
	}
	ramped := 1 + int(float64(s.limits.Slots)*float64(age)/float64(rampDuration))
	return min(ramped, s.limits.Slots)
}

// FreeSlots returns the number of slots in which a light job could start at now.
func (s *Scheduler) FreeSlots(now time.Time) int {
	return max(0, s.Slots(now)-len(s.running)-len(s.queue))
}

// Arrive starts, queues or refuses a job that arrives at now.
func (s *Scheduler) Arrive(job Job, now time.Time) Verdict {
	if len(s.queue) == 0 && s.canStart(job, now) {
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

// RecordDemand records that a caller requested a job of a class, whether it runs here or on another server.
func (s *Scheduler) RecordDemand(class string, now time.Time) {
	s.decayDemand(now)
	s.demandSlots += float64(s.ExpectedDuration(class)) / float64(utilizationTimeConstant)
}

// decayDemand decays the demand, in slots, to its value at now.
func (s *Scheduler) decayDemand(now time.Time) {
	if elapsed := now.Sub(s.demandAsOf); elapsed > 0 {
		s.demandSlots *= math.Exp(-float64(elapsed) / float64(utilizationTimeConstant))
		s.demandAsOf = now
	}
}

// TryStart starts a job if it can run at once, and reports whether it did. It never queues the job.
func (s *Scheduler) TryStart(job Job, now time.Time) bool {
	if len(s.queue) > 0 || !s.canStart(job, now) {
		return false
	}
	s.start(job, now)
	return true
}

// Finish records that a job has ended; failed means that the backend server itself returned an error. The caller must then
// call Dispatch to start waiting jobs.
func (s *Scheduler) Finish(id uint64, failed bool, now time.Time) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	s.updateBusySlots(now)
	delete(s.running, id)
	if r.heavy {
		s.heavyRunning--
	}
	s.recordResult(failed)
	if !failed {
		s.recordDuration(r.job.Class, now.Sub(r.started), now)
	}
}

// Cancel removes a job from the queue and reports whether it was there.
func (s *Scheduler) Cancel(id uint64) bool {
	i := slices.IndexFunc(s.queue, func(j Job) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// TakeLast removes and returns up to n jobs from the end of the queue, so that other servers can run them.
func (s *Scheduler) TakeLast(n int) []Job {
	s.sortQueue()
	n = min(n, len(s.queue))
	split := len(s.queue) - n
	taken := slices.Clone(s.queue[split:])
	s.queue = s.queue[:split]
	return taken
}

// Dispatch starts the waiting jobs that can run at now, and refuses those that can't end before their deadline.
func (s *Scheduler) Dispatch(now time.Time) []Decision {
	if len(s.queue) == 0 {
		return nil
	}
	s.sortQueue()
	var decisions []Decision
	var remaining []Job
	for _, job := range s.queue {
		switch {
		case now.Add(s.ExpectedDuration(job.Class)).After(job.Deadline):
			decisions = append(decisions, Decision{Job: job, Verdict: Refuse})
		case s.canStart(job, now):
			s.start(job, now)
			decisions = append(decisions, Decision{Job: job, Verdict: Start})
		default:
			remaining = append(remaining, job)
		}
	}
	s.queue = remaining
	return decisions
}

// sortQueue sorts the queue by arrival time plus a multiple of the expected duration: short jobs go first, but long ones
// don't starve.
func (s *Scheduler) sortQueue() {
	slices.SortStableFunc(s.queue, func(a, b Job) int {
		keyA := a.Arrived.Add(orderFactor * s.ExpectedDuration(a.Class))
		keyB := b.Arrived.Add(orderFactor * s.ExpectedDuration(b.Class))
		return keyA.Compare(keyB)
	})
}

// canStart reports whether a slot is free for the job. Heavy jobs leave one slot to light ones, unless there is only one.
func (s *Scheduler) canStart(job Job, now time.Time) bool {
	slots := s.Slots(now)
	if len(s.running) >= slots {
		return false
	}
	return slots == 1 || s.heavyRunning < slots-1 || !s.isHeavy(job.Class, now)
}

// start occupies a slot with the job.
func (s *Scheduler) start(job Job, now time.Time) {
	s.updateBusySlots(now)
	heavy := s.isHeavy(job.Class, now)
	if heavy {
		s.heavyRunning++
	}
	s.running[job.ID] = runningJob{job: job, started: now, heavy: heavy}
}

// isHeavy reports whether jobs of a class take more than heavyFactor times as long as those of classes that together make
// up at least minLightFraction of the recent requests. Rare light jobs don't justify a reserved slot.
func (s *Scheduler) isHeavy(class string, now time.Time) bool {
	c := s.classes[class]
	if c == nil || c.samples < minSamples {
		return false
	}
	lightRequests, allRequests := 0.0, 0.0
	for _, other := range s.classes {
		n := other.decayedRecent(now)
		allRequests += n
		if other.samples >= minSamples && c.meanDuration > heavyFactor*other.meanDuration {
			lightRequests += n
		}
	}
	return lightRequests >= minLightFraction*allRequests
}

// decayedRecent returns the decayed count of completed jobs at now.
func (c *classStats) decayedRecent(now time.Time) float64 {
	return c.recent * math.Exp(-float64(now.Sub(c.recentAsOf))/float64(recentTimeConstant))
}

// ExpectedDuration returns the expected duration of a job of a class; 0 if no job has completed yet.
func (s *Scheduler) ExpectedDuration(class string) time.Duration {
	if c := s.classes[class]; c != nil && c.samples >= minSamples {
		return c.meanDuration
	}
	return s.allClasses.meanDuration
}

// ExpectedWait returns the expected time until a job that arrives at now can start.
func (s *Scheduler) ExpectedWait(now time.Time) time.Duration {
	slots := s.Slots(now)
	if len(s.running)+len(s.queue) < slots {
		return 0
	}
	pendingWork := s.allClasses.meanDuration // Mean time until a running job ends, times the number of slots.
	for _, job := range s.queue {
		pendingWork += s.ExpectedDuration(job.Class)
	}
	return pendingWork / time.Duration(slots)
}

// recordDuration adds the duration of a completed job to the statistics of its class and of all classes.
func (s *Scheduler) recordDuration(class string, duration time.Duration, now time.Time) {
	s.allClasses.add(duration, now)
	c := s.classes[class]
	if c == nil {
		if len(s.classes) >= maxClasses {
			return
		}
		c = &classStats{}
		s.classes[class] = c
	}
	c.add(duration, now)
}

// add adds one duration. Until meanGain is the larger weight, the mean is that of all samples.
func (c *classStats) add(duration time.Duration, now time.Time) {
	c.recent = c.decayedRecent(now) + 1
	c.recentAsOf = now
	c.samples++
	gain := max(meanGain, 1/float64(c.samples))
	c.meanDuration += time.Duration(gain * float64(duration-c.meanDuration))
}

// recordResult updates the moving average of the error ratio.
func (s *Scheduler) recordResult(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.errorRatio += errorGain * (sample - s.errorRatio)
}

// Failing reports whether at least half of the server's recent responses were errors.
func (s *Scheduler) Failing() bool { return s.errorRatio >= failingErrorRatio }

// updateBusySlots updates the moving average of the number of busy slots to now.
func (s *Scheduler) updateBusySlots(now time.Time) {
	elapsed := now.Sub(s.busySlotsAsOf)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(utilizationTimeConstant))
	s.busySlots += weight * (float64(len(s.running)) - s.busySlots)
	s.busySlotsAsOf = now
}

// Load is the load of a backend server.
type Load struct {
	// Utilization is the recent fraction of busy slots, from 0 to 1.
	Utilization float64
	// Demand is the work that callers recently requested, as a fraction of the slots; it may exceed 1.
	Demand float64
	// FreeSlots is the number of slots in which a light job could start, Slots the number of usable slots.
	FreeSlots int
	Slots     int
	Running   int
	Queued    int
	Failing   bool
}

// Load returns the server's load at now.
func (s *Scheduler) Load(now time.Time) Load {
	s.updateBusySlots(now)
	s.decayDemand(now)
	slots := float64(max(1, s.Slots(now)))
	return Load{
		Utilization: min(1, s.busySlots/slots),
		Demand:      s.demandSlots / slots,
		FreeSlots:   s.FreeSlots(now),
		Slots:       s.Slots(now),
		Running:     len(s.running),
		Queued:      len(s.queue),
		Failing:     s.Failing(),
	}
}
