package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var base = time.Unix(1000, 0)

const serviceTime = 25 * time.Millisecond

func request(id, priority int, objective, deadline time.Duration) Request[int] {
	return Request[int]{ID: id, Priority: priority, Objective: base.Add(objective), Deadline: base.Add(deadline)}
}

func drain(q *Queue[int], now time.Time) []int {
	var order []int
	for {
		id, ok := q.Next(now, 1, serviceTime)
		if !ok {
			return order
		}
		order = append(order, id)
		q.Remove(id)
	}
}

func TestTimelyRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	q.Add(request(1, 1, 10*time.Millisecond, time.Second))  // Can't meet its objective any more.
	q.Add(request(2, 2, 300*time.Millisecond, time.Second)) // Timely, low priority.
	q.Add(request(3, 1, 400*time.Millisecond, time.Second)) // Timely, high priority.
	q.Add(request(4, 2, 200*time.Millisecond, time.Second)) // Timely, low priority, earlier objective.
	is.Equal(drain(q, base), []int{3, 4, 2, 1})
}

func TestExpiredDeadlinesGoLast(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	q.Add(request(1, 0, -time.Second, -time.Millisecond))
	q.Add(request(2, 5, -time.Second, time.Second))
	is.Equal(drain(q, base), []int{2, 1})
}

func TestNextRespectsLimit(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	for i := range 5 {
		q.Add(request(i, 1, time.Second, time.Second))
	}
	for range 3 {
		_, ok := q.Next(base, 3, serviceTime)
		is.True(ok)
	}
	_, ok := q.Next(base, 3, serviceTime)
	is.True(!ok)
	is.Equal(q.Running(), 3)
	is.Equal(q.Waiting(), 2)
}

// Timely requests overtake a late one only a bounded number of times.
func TestLateRequestDoesNotStarve(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	q.Add(request(-1, 9, -time.Second, time.Second))
	for i := range 100 {
		q.Add(request(i, 0, time.Second, time.Second))
	}
	order := drain(q, base)
	is.Equal(order[maxOvertakes], -1)
}

func TestExpireFreesSlots(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	q.Add(request(1, 1, time.Second, 5*time.Second))
	q.Add(request(2, 1, time.Second, time.Second))
	_, ok := q.Next(base, 1, serviceTime)
	is.True(ok)
	expired, stuck := q.Expire(base.Add(2*time.Second), 1500*time.Millisecond)
	is.Equal(expired, []int{2})
	is.Equal(stuck, []int{1})
	is.Equal(q.Running()+q.Waiting(), 0)
}

// simulateOverload simulates a load peak at a server with one slot: requests arrive at 1.5 times the service rate for two
// seconds and at half the service rate before and after; one in four has high priority. It returns the fractions of all
// requests and of those with high priority that are served within their objective.
func simulateOverload(startNext func(q *Queue[int], now time.Time) (int, bool)) (allInTime, highInTime float64) {
	const objective, deadline = 200 * time.Millisecond, 3 * time.Second
	q := New[int]()
	var arrivals []time.Duration
	for at := time.Duration(0); at < 6*time.Second; {
		arrivals = append(arrivals, at)
		interval := 2 * serviceTime
		if at > 2*time.Second && at < 4*time.Second {
			interval = serviceTime * 2 / 3
		}
		at += interval
	}
	next, timely, timelyHigh, total, totalHigh := 0, 0, 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += serviceTime {
		for next < len(arrivals) && arrivals[next] <= now {
			q.Add(Request[int]{ID: next, Priority: min(next%4, 1), Objective: base.Add(arrivals[next] + objective),
				Deadline: base.Add(arrivals[next] + deadline)})
			next++
		}
		id, ok := startNext(q, base.Add(now))
		if !ok {
			continue
		}
		q.Remove(id)
		if now+serviceTime <= arrivals[id]+objective {
			timely++
			if id%4 == 0 {
				timelyHigh++
			}
		}
	}
	for i := range arrivals {
		total++
		if i%4 == 0 {
			totalHigh++
		}
	}
	return float64(timely) / float64(total), float64(timelyHigh) / float64(totalHigh)
}

// During a peak of 1.5 times the service rate, serving in order of arrival makes nearly all requests of the peak late. The
// queue's order makes only the excess late, and no requests with high priority.
func TestOverloadDelaysOnlyExcessRequests(t *testing.T) {
	is := is.New(t)
	paced, high := simulateOverload(func(q *Queue[int], now time.Time) (int, bool) { return q.Next(now, 1, serviceTime) })
	inArrivalOrder, _ := simulateOverload(func(q *Queue[int], _ time.Time) (int, bool) {
		if len(q.waiting) == 0 {
			return 0, false
		}
		first := 0
		for i := range q.waiting {
			if q.waiting[i].ID < q.waiting[first].ID {
				first = i
			}
		}
		return q.waiting[first].ID, true
	})
	t.Logf("within the objective: paced %.2f (high priority %.2f), in order of arrival %.2f", paced, high, inArrivalOrder)
	is.True(high == 1)
	is.True(paced > 0.75)
	is.True(paced > inArrivalOrder+0.2)
}

// A request that was sent without waiting occupies a slot like any other.
func TestStartedRequestTakesASlot(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	q.Start(1, base)
	q.Add(request(2, 1, time.Second, time.Second))
	_, ok := q.Next(base, 1, serviceTime)
	is.True(!ok)
	is.True(!q.Remove(1))
	id, ok := q.Next(base, 1, serviceTime)
	is.True(ok)
	is.Equal(id, 2)
}

// Load pattern: a server with one request more than it has slots, all the time. Its service times must be measured without the time
// that requests wait for a slot there: at a crest each request does.
func TestServiceTimesAreMeasuredUnderOverload(t *testing.T) {
	is := is.New(t)
	const slots = 2
	timer := NewServiceTimer[int]()
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	timer.Send(1, slots, at(0))
	timer.Send(2, slots, at(0))
	timer.Send(3, slots, at(0)) // Starts when the first one ends.
	complete := func(id, ms int) time.Duration {
		serviceTime, ok := timer.Complete(id, at(ms))
		is.True(ok)
		return serviceTime
	}
	is.Equal(complete(2, 40), 40*time.Millisecond)
	timer.Send(4, slots, at(40))
	is.Equal(complete(1, 60), 60*time.Millisecond)
	is.Equal(complete(3, 85), 45*time.Millisecond)
	is.Equal(complete(4, 100), 40*time.Millisecond)
	is.Equal(len(timer.startedAt)+len(timer.queued), 0)
}

// A caller that leaves doesn't show when the server starts the next request, whose service time is then unknown.
func TestServiceTimeAfterCancelIsUnknown(t *testing.T) {
	is := is.New(t)
	timer := NewServiceTimer[int]()
	for id := range 3 {
		timer.Send(id, 1, base)
	}
	timer.Cancel(2)
	timer.Cancel(0)
	_, ok := timer.Complete(1, base.Add(time.Second))
	is.True(!ok)
	timer.Send(3, 1, base)
	serviceTime, ok := timer.Complete(3, base.Add(time.Second))
	is.True(ok)
	is.Equal(serviceTime, time.Second)
	_, ok = timer.Complete(9, base)
	is.True(!ok)
}

// Load pattern: a crest beyond capacity that lasts longer than the deadline. Requests take 20 or 30 ms with a mean of 25; those that end
// after their deadline are wasted work. Nearly all of the server's time must go to requests that are served.
func TestServerDoesNotWorkOnRequestsThatExpire(t *testing.T) {
	is := is.New(t)
	const deadline = time.Second
	q := New[int]()
	arrivedAt := make(map[int]time.Duration)
	arrived, served, wasted := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; {
		for ; time.Duration(arrived)*serviceTime/2 <= now; arrived++ { // Twice the capacity.
			at := time.Duration(arrived) * serviceTime / 2
			arrivedAt[arrived] = at
			q.Add(request(arrived, 0, at+100*time.Millisecond, at+deadline))
		}
		id, ok := q.Next(base.Add(now), 1, serviceTime)
		is.True(ok)
		q.Remove(id)
		now += 20*time.Millisecond + time.Duration(id%3%2)*10*time.Millisecond
		if now > arrivedAt[id]+deadline {
			wasted++
		} else {
			served++
		}
		q.Expire(base.Add(now), time.Second)
	}
	t.Logf("served %d, wasted %d", served, wasted)
	is.True(wasted*100 <= served)
}
