package agent

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/admit"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

// dispatchInterval is the interval at which waiting requests are checked against their deadlines.
const dispatchInterval = 20 * time.Millisecond

// peerTriesPerDispatch is the number of waiting requests that are offered to peers at each dispatchInterval.
const peerTriesPerDispatch = 2

// queueEvent is a decision about a waiting request.
type queueEvent uint8

const (
	eventStart queueEvent = iota + 1
	eventRefuse
	// eventTryPeer removes the request from the queue so that it can be handed over to a peer.
	eventTryPeer
)

// scheduler schedules the requests of the backend server. It is safe for concurrent use.
type scheduler struct {
	now func() time.Time

	mu      sync.Mutex
	sched   *admit.Scheduler
	nextID  uint64
	waiting map[uint64]chan queueEvent
	streams int
}

func newScheduler(now func() time.Time) *scheduler {
	return &scheduler{
		now:     now,
		sched:   admit.New(admit.Limits{Slots: 1}, now()),
		waiting: make(map[uint64]chan queueEvent),
	}
}

func (s *scheduler) setLimits(l admit.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetLimits(l)
}

// newJob returns a job with a new ID.
func (s *scheduler) newJob(class string, deadline time.Time) admit.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return admit.Job{ID: s.nextID, Class: class, Arrived: s.now(), Deadline: deadline}
}

// arrive starts, queues or refuses a job. The event of a queued job is sent on the channel.
func (s *scheduler) arrive(job admit.Job) (admit.Verdict, <-chan queueEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.sched.Arrive(job, s.now())
	if verdict != admit.Wait {
		return verdict, nil
	}
	ch := make(chan queueEvent, 1)
	s.waiting[job.ID] = ch
	return verdict, ch
}

// recordDemand records that a caller requested a job of a class.
func (s *scheduler) recordDemand(class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RecordDemand(class, s.now())
}

// tryStart starts a job if it can run at once, and reports whether it did. It never queues the job.
func (s *scheduler) tryStart(job admit.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.TryStart(job, s.now())
}

// cancel removes a waiting job from the queue, and reports false if the job was no longer waiting.
func (s *scheduler) cancel(job admit.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, job.ID)
	return s.sched.Cancel(job.ID)
}

// finish records the end of a running job and dispatches waiting ones.
func (s *scheduler) finish(job admit.Job, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Finish(job.ID, failed, s.now())
	s.dispatch()
}

// dispatch starts or refuses the waiting jobs that are due. The caller must hold the lock.
func (s *scheduler) dispatch() {
	for _, decision := range s.sched.Dispatch(s.now()) {
		if decision.Verdict == admit.Start {
			s.notify(decision.Job.ID, eventStart)
		} else {
			s.notify(decision.Job.ID, eventRefuse)
		}
	}
}

func (s *scheduler) notify(id uint64, event queueEvent) {
	if ch := s.waiting[id]; ch != nil {
		delete(s.waiting, id)
		ch <- event
	}
}

// offerToPeers takes up to n waiting jobs from the end of the queue, so that they can be handed over to peers.
func (s *scheduler) offerToPeers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.sched.TakeLast(n) {
		s.notify(job.ID, eventTryPeer)
	}
}

// dispatchDue dispatches the waiting jobs that have become due since the last event.
func (s *scheduler) dispatchDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch()
}

func (s *scheduler) load() admit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Load(s.now())
}

// expectedWait returns the expected wait for a slot.
func (s *scheduler) expectedWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.ExpectedWait(s.now())
}

// addStreams changes the number of streams in progress, which take no slots.
func (s *scheduler) addStreams(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += delta
}

func (s *scheduler) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.sched.Load(s.now())
	return load.Running == 0 && load.Queued == 0 && s.streams == 0
}

// awaitIdle waits until no request or stream is running or waiting, or ctx is done.
func (s *scheduler) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for !s.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runScheduler refuses waiting requests that can't meet their deadlines and offers others to peers, until ctx is done.
func (a *Agent) runScheduler(ctx context.Context) error {
	return timer.Every(ctx, dispatchInterval, func() {
		a.scheduler.dispatchDue()
		a.scheduler.offerToPeers(peerTriesPerDispatch)
	})
}
