package agent

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/admit"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

// advanceInterval is the time between two looks at the waiting requests for those that can't end in time.
const advanceInterval = 20 * time.Millisecond

// offersPerRound is how many waiting requests look for a peer at each look.
const offersPerRound = 2

// turn is what a waiting request is told.
type turn uint8

const (
	turnStart turn = iota + 1
	turnRefuse
	// turnOffer asks the request to look for a peer.
	turnOffer
)

// work schedules the requests of the backend server. It is safe for concurrent use.
type work struct {
	now func() time.Time

	mu      sync.Mutex
	sched   *admit.Scheduler
	nextID  uint64
	waiting map[uint64]chan turn
	streams int
}

func newWork(now func() time.Time) *work {
	return &work{
		now:     now,
		sched:   admit.New(admit.Limits{Slots: 1}, now()),
		waiting: make(map[uint64]chan turn),
	}
}

func (w *work) setLimits(l admit.Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sched.SetLimits(l)
}

// job returns a job for a request of a class.
func (w *work) job(class string, deadline time.Time) admit.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return admit.Job{ID: w.nextID, Class: class, Arrived: w.now(), Deadline: deadline}
}

// arrive decides about a job; its turn comes over the channel where it must wait.
func (w *work) arrive(job admit.Job) (admit.Verdict, <-chan turn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdict := w.sched.Arrive(job, w.now())
	if verdict != admit.Wait {
		return verdict, nil
	}
	ch := make(chan turn, 1)
	w.waiting[job.ID] = ch
	return verdict, ch
}

// ask notes that a caller asks for a request of a class.
func (w *work) ask(class string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sched.RecordDemand(class, w.now())
}

// tryStart starts a job only if that is possible at once.
func (w *work) tryStart(job admit.Job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sched.TryStart(job, w.now())
}

// cancel gives up a job that waits; ok is false when its turn has come already.
func (w *work) cancel(job admit.Job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, job.ID)
	return w.sched.Cancel(job.ID)
}

// finish ends a job that ran.
func (w *work) finish(job admit.Job, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sched.Finish(job.ID, failed, w.now())
	w.advance()
}

// advance tells waiting jobs whose turn has come. The caller holds the lock.
func (w *work) advance() {
	for _, answer := range w.sched.Dispatch(w.now()) {
		if answer.Verdict == admit.Start {
			w.tell(answer.Job.ID, turnStart)
		} else {
			w.tell(answer.Job.ID, turnRefuse)
		}
	}
}

func (w *work) tell(id uint64, t turn) {
	if ch := w.waiting[id]; ch != nil {
		delete(w.waiting, id)
		ch <- t
	}
}

// release asks up to n waiting jobs to look for a peer.
func (w *work) release(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, job := range w.sched.TakeLast(n) {
		w.tell(job.ID, turnOffer)
	}
}

// refresh tells the waiting jobs whose turn has come by the passing of time.
func (w *work) refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

func (w *work) load() admit.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sched.Load(w.now())
}

// backoff returns how long a request that finds no place should stay away.
func (w *work) backoff() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sched.ExpectedWait(w.now())
}

// stream counts long answers that run beside the slots.
func (w *work) stream(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams += delta
}

func (w *work) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	load := w.sched.Load(w.now())
	return load.Running == 0 && load.Queued == 0 && w.streams == 0
}

// awaitIdle waits until no request runs or waits, or ctx ends.
func (w *work) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for !w.idle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runWork refuses waiting requests that can't end in time, and lets some look for a peer, until ctx ends.
func (a *Agent) runWork(ctx context.Context) error {
	return timer.Every(ctx, advanceInterval, func() {
		a.work.refresh()
		a.work.release(offersPerRound)
	})
}
