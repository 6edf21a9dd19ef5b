package pace

import (
	"slices"
	"time"
)

// ServiceTimer measures the service times of requests at a server that may have more of them than slots and starts them in the
// order in which they were sent. The time that a request waits in the server's own queue isn't part of its service time. It isn't
// safe for concurrent use.
type ServiceTimer[ID comparable] struct {
	// startedAt has the requests that occupy a slot, and when each started; zero if that is unknown.
	startedAt map[ID]time.Time
	// queued has the requests that wait for a slot at the server, in the order in which they were sent.
	queued []ID
}

// NewServiceTimer returns a timer for a server without requests.
func NewServiceTimer[ID comparable]() *ServiceTimer[ID] {
	return &ServiceTimer[ID]{startedAt: make(map[ID]time.Time)}
}

// Send records that a request was sent to the server, which has a number of slots.
func (t *ServiceTimer[ID]) Send(id ID, slots int, now time.Time) {
	if len(t.startedAt) < slots {
		t.startedAt[id] = now
		return
	}
	t.queued = append(t.queued, id)
}

// Complete records that the response to a request has begun and returns the request's service time; ok is false if it is unknown.
func (t *ServiceTimer[ID]) Complete(id ID, now time.Time) (serviceTime time.Duration, ok bool) {
	started, running := t.startedAt[id]
	if !running {
		t.Cancel(id)
		return 0, false
	}
	delete(t.startedAt, id)
	t.startNext(now)
	return now.Sub(started), !started.IsZero()
}

// Cancel records that a request won't get a response. When the next one starts is then unknown.
func (t *ServiceTimer[ID]) Cancel(id ID) {
	if i := slices.Index(t.queued, id); i >= 0 {
		t.queued = slices.Delete(t.queued, i, i+1)
		return
	}
	if _, running := t.startedAt[id]; running {
		delete(t.startedAt, id)
		t.startNext(time.Time{})
	}
}

// startNext gives the slot of a request that has ended to the first queued one, which starts at a time, zero if unknown.
func (t *ServiceTimer[ID]) startNext(at time.Time) {
	if len(t.queued) == 0 {
		return
	}
	t.startedAt[t.queued[0]] = at
	t.queued = t.queued[1:]
}
