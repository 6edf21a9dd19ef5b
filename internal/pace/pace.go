// Package pace decides which request of open flows a backend server gets next.
//
// It answers a crest: more requests come than the server can serve. A request on an open flow can't be refused, and a
// server that gets all of them queues them in the order of arrival, so that all are late, and then sheds. Here they
// wait where the order can still be chosen. Requests that can still meet their objective go first, by priority and then
// by the earliest objective; those that can't any more fill what is left, by priority and deadline. So a crest that
// exceeds the server costs the excess its objective, and not everybody.
//
// The package is pure: times come in as arguments. Next costs time in proportion to the waiting requests.
package pace

import "time"

const (
	// margin is how many mean service times a request needs to meet its objective: nine in ten take less.
	margin = 2
	// lateTurn is how many requests in a row may overtake one that is late, so that late ones don't starve.
	lateTurn = 12
)

// Request is a request that waits for the server.
type Request[ID comparable] struct {
	ID ID
	// Priority orders requests; 0 is the highest.
	Priority int
	// Objective is until when its answer is worth most, Deadline until when its caller waits.
	Objective, Deadline time.Time
}

// Queue holds requests that wait and those that the server works on. Its owner serializes access.
type Queue[ID comparable] struct {
	waiting []Request[ID]
	running map[ID]time.Time
	// overtaken counts the requests that went before late ones.
	overtaken int
}

// New returns an empty queue.
func New[ID comparable]() *Queue[ID] { return &Queue[ID]{running: make(map[ID]time.Time)} }

// Waiting returns the number of requests that wait.
func (q *Queue[ID]) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that the server works on.
func (q *Queue[ID]) Running() int { return len(q.running) }

// Add adds a waiting request.
func (q *Queue[ID]) Add(r Request[ID]) { q.waiting = append(q.waiting, r) }

// Remove takes a request out, whether it waits or runs, and reports whether it waited.
func (q *Queue[ID]) Remove(id ID) (waited bool) {
	delete(q.running, id)
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.take(i)
			return true
		}
	}
	return false
}

// Next starts the request that shall go to the server next; ok is false when none waits or limit requests run.
// service is the server's mean service time.
func (q *Queue[ID]) Next(now time.Time, limit int, service time.Duration) (id ID, ok bool) {
	if len(q.running) >= limit || len(q.waiting) == 0 {
		return id, false
	}
	i := q.choose(now, service)
	id = q.waiting[i].ID
	q.take(i)
	q.running[id] = now
	return id, true
}

func (q *Queue[ID]) choose(now time.Time, service time.Duration) int {
	timely, late := -1, -1
	need := now.Add(margin * service)
	for i := range q.waiting {
		r := &q.waiting[i]
		if r.Objective.Before(need) {
			if late < 0 || laterFirst(r, &q.waiting[late], now) {
				late = i
			}
			continue
		}
		if timely < 0 || sooner(r, &q.waiting[timely]) {
			timely = i
		}
	}
	if timely >= 0 && (late < 0 || q.overtaken < lateTurn) {
		if late >= 0 {
			q.overtaken++
		}
		return timely
	}
	q.overtaken = 0
	return late
}

// sooner reports whether a goes before b, both of which can meet their objectives.
func sooner[ID comparable](a, b *Request[ID]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Objective.Before(b.Objective)
}

// laterFirst reports whether a goes before b, both of which are late: those whose callers have left go last.
func laterFirst[ID comparable](a, b *Request[ID], now time.Time) bool {
	if gone := a.Deadline.Before(now); gone != b.Deadline.Before(now) {
		return !gone
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *Queue[ID]) take(i int) {
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
}

// Expire takes out waiting requests whose deadline has passed, and running ones that have run longer than most, and
// returns them. A server that never answers keeps no slot for ever that way.
func (q *Queue[ID]) Expire(now time.Time, most time.Duration) (waited, ran []ID) {
	for i := 0; i < len(q.waiting); {
		if q.waiting[i].Deadline.After(now) {
			i++
			continue
		}
		waited = append(waited, q.waiting[i].ID)
		q.take(i)
	}
	for id, since := range q.running {
		if now.Sub(since) > most {
			ran = append(ran, id)
			delete(q.running, id)
		}
	}
	return waited, ran
}
