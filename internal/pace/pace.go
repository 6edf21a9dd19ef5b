// Package pace decides which request on open flows a backend server gets next.
//
// It handles load peaks that exceed the server's capacity. A request on an open flow can't be refused. A server that
// gets all requests at once queues them in order of arrival, so that all of them miss their objective, and then sheds
// load. This queue holds requests back while their order can still be chosen. Requests that can still meet their objective
// go first, by priority and then by earliest objective; the others use the remaining capacity, by priority and deadline.
// A peak thus makes only the excess requests miss their objective.
//
// The package doesn't read the clock: times are arguments. Next takes time linear in the number of waiting requests.
package pace

import "time"

const (
	// requiredServiceTimes is how many mean service times must be left until the objective for a request to count as
	// timely, and until the deadline for one to take a slot that others wait for: a few requests take twice the mean, and one may
	// wait in the server's own queue before.
	requiredServiceTimes = 3
	// maxOvertakes is how many timely requests in a row may overtake a late one, so that late requests don't starve.
	maxOvertakes = 12
)

// Request is a request that waits for the server.
type Request[ID comparable] struct {
	ID ID
	// Priority orders requests; 0 is the highest.
	Priority int
	// Objective is the time by which the response is due; Deadline is the time at which the client gives up.
	Objective, Deadline time.Time
}

// Queue holds the waiting requests and those in progress at the server. It isn't safe for concurrent use.
type Queue[ID comparable] struct {
	waiting []Request[ID]
	running map[ID]time.Time
	// overtakes counts the timely requests in a row that overtook late ones.
	overtakes int
}

// New returns an empty queue.
func New[ID comparable]() *Queue[ID] { return &Queue[ID]{running: make(map[ID]time.Time)} }

// Waiting returns the number of waiting requests.
func (q *Queue[ID]) Waiting() int { return len(q.waiting) }

// Running returns the number of requests in progress at the server.
func (q *Queue[ID]) Running() int { return len(q.running) }

// Add adds a waiting request.
func (q *Queue[ID]) Add(r Request[ID]) { q.waiting = append(q.waiting, r) }

// Start adds a request that was sent to the server at now without waiting.
func (q *Queue[ID]) Start(id ID, now time.Time) { q.running[id] = now }

// Remove removes a waiting or running request and reports whether it was waiting.
func (q *Queue[ID]) Remove(id ID) (wasWaiting bool) {
	delete(q.running, id)
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Next marks the next request as running and returns it; ok is false if none is waiting or limit requests are running.
// serviceTime is the server's mean service time.
func (q *Queue[ID]) Next(now time.Time, limit int, serviceTime time.Duration) (id ID, ok bool) {
	if len(q.running) >= limit || len(q.waiting) == 0 {
		return id, false
	}
	i := q.nextIndex(now, serviceTime)
	id = q.waiting[i].ID
	q.removeAt(i)
	q.running[id] = now
	return id, true
}

// nextIndex returns the index of the waiting request that goes next; there must be one.
func (q *Queue[ID]) nextIndex(now time.Time, serviceTime time.Duration) int {
	timely, late := -1, -1
	earliestDone := now.Add(requiredServiceTimes * serviceTime)
	for i := range q.waiting {
		r := &q.waiting[i]
		if r.Objective.Before(earliestDone) {
			if late < 0 || lateBefore(r, &q.waiting[late], earliestDone) {
				late = i
			}
			continue
		}
		if timely < 0 || timelyBefore(r, &q.waiting[timely]) {
			timely = i
		}
	}
	if timely >= 0 && (late < 0 || q.overtakes < maxOvertakes) {
		if late >= 0 {
			q.overtakes++
		}
		return timely
	}
	q.overtakes = 0
	return late
}

// timelyBefore reports whether a goes before b, where both can still meet their objectives.
func timelyBefore[ID comparable](a, b *Request[ID]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Objective.Before(b.Objective)
}

// lateBefore reports whether a goes before b, where both are late. Requests that can hardly be done by their deadline, since it is
// before earliestDone, go last: served by the earliest deadline, a long queue would have just these at its head.
func lateBefore[ID comparable](a, b *Request[ID], earliestDone time.Time) bool {
	if hopeless := a.Deadline.Before(earliestDone); hopeless != b.Deadline.Before(earliestDone) {
		return !hopeless
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *Queue[ID]) removeAt(i int) {
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
}

// Expire removes and returns the waiting requests whose deadline has passed and the running ones that have run for more
// than maxRunning, so that a server that never responds doesn't occupy its slots forever.
func (q *Queue[ID]) Expire(now time.Time, maxRunning time.Duration) (expired, stuck []ID) {
	for i := 0; i < len(q.waiting); {
		if q.waiting[i].Deadline.After(now) {
			i++
			continue
		}
		expired = append(expired, q.waiting[i].ID)
		q.removeAt(i)
	}
	for id, started := range q.running {
		if now.Sub(started) > maxRunning {
			stuck = append(stuck, id)
			delete(q.running, id)
		}
	}
	return expired, stuck
}
