package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// latencyObjective is the latency, including retries, above which a response counts as late. requestTimeout limits
	// each attempt.
	latencyObjective = 250 * time.Millisecond
	requestTimeout   = 3 * time.Second
	// maxAttempts is how often a client sends a request. Each retry opens a new flow.
	maxAttempts = 3
	// usersPerClient is the default number of users of each client, and the number of users after which their kinds repeat.
	usersPerClient = 5
)

// Patient users give a request up between minDeadline and maxDeadline after its start.
const minDeadline, maxDeadline = 4 * time.Second, 10 * time.Second

// minPause, maxPause and maxLongPause bound the pauses between the requests of a user, and of one whose flow is mostly idle.
// No pause is longer than longestPause, so that the system may not discard the flow.
const (
	minPause     = 20 * time.Millisecond
	maxPause     = 140 * time.Millisecond
	maxLongPause = 4 * time.Second
	longestPause = local.IdleTimeout - 300*time.Millisecond
)

// Times of an aimed user: aimedLead is how long before the kill it sends its last request at most, minAimedAt and maxAimedAt are when it
// sends the next one, after the kill, and aimedBetween is the earliest time of a request between them, which it sends if the
// pause would be longer than longestPause.
const (
	aimedLead              = 1500 * time.Millisecond
	minAimedAt, maxAimedAt = 8 * time.Second, 19 * time.Second
	aimedBetween           = 2 * time.Second
)

// runTraffic runs virtual users on each client until ctx ends. Some keep a flow open for many safe requests, one with short
// pauses and the others with long ones, and one opens a flow for each unsafe request.
func (d *deployment) runTraffic(ctx context.Context) error {
	var wg sync.WaitGroup
	var requestCounter atomic.Int64
	for i := range d.opts.Clients {
		c, err := d.NewClient(i)
		if err != nil {
			return err
		}
		users := d.opts.Users
		if users == 0 {
			users = usersPerClient
		}
		for j := range users {
			u := d.newUser(c, i, j)
			u.requestCounter = &requestCounter
			wg.Go(func() { u.run(ctx) })
		}
	}
	wg.Wait()
	return nil
}

// newUser returns user j of client i. Options.Seed determines its kind and its pauses.
func (d *deployment) newUser(c *fakes.Client, i, j int) *virtualUser {
	kind := j % usersPerClient
	u := &virtualUser{
		d: d, client: c, service: services[(i+j)%len(services)], reuseFlow: kind != 1, safe: kind != 1, maxPause: maxPause,
		rand: rand.New(rand.NewPCG(d.opts.Seed, uint64(i)<<32|uint64(j))),
	}
	longPause := maxLongPause
	if d.opts.MaxPause > 0 {
		longPause = d.opts.MaxPause
	}
	if kind > 1 {
		u.maxPause = longPause
	}
	switch {
	case u.rand.Float64() < d.opts.Fresh:
		u.reuseFlow, u.safe, u.patient, u.maxPause = false, true, true, maxPause
	case u.rand.Float64() < d.opts.Aimed:
		u.reuseFlow, u.safe, u.patient, u.maxPause = true, true, true, longPause
		u.reopen, u.times = u.rand.IntN(2) == 0, d.aimedTimes(u.rand)
	}
	return u
}

// aimedTimes returns when an aimed user sends requests, but for those that it sends long before the kill and long after it.
func (d *deployment) aimedTimes(r *rand.Rand) []time.Time {
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
	}
	last, next := -between(0, aimedLead), between(minAimedAt, maxAimedAt)
	killedAt := d.killedAt()
	times := []time.Time{killedAt.Add(last)}
	if next-last > longestPause {
		times = append(times, killedAt.Add(between(max(aimedBetween, next-longestPause), min(next, last+longestPause))))
	}
	return append(times, killedAt.Add(next))
}

// virtualUser sends requests to a service, one at a time.
type virtualUser struct {
	d       *deployment
	client  *fakes.Client
	service string
	// reuseFlow makes the user keep its flow until a request fails. Otherwise it opens a flow for each request. safe makes it send
	// safe requests.
	reuseFlow, safe bool
	// patient makes the user wait for a response until a deadline for all attempts together, and give up half of the requests without a
	// FIN.
	patient bool
	// maxPause is the longest pause between two requests.
	maxPause time.Duration
	// times are when the user sends its next requests; aiming is set after the first of them, and no others come before the last.
	// reopen makes the user open another flow for the first.
	times          []time.Time
	aiming, reopen bool
	rand           *rand.Rand
	// requestCounter numbers the requests of all users.
	requestCounter *atomic.Int64
	// flow is the open flow, nil if there is none, and lastUsed when its last request ended.
	flow     *fakes.Flow
	lastUsed time.Time
}

func (u *virtualUser) run(ctx context.Context) {
	for ctx.Err() == nil {
		u.sendRequest(ctx)
		aimed := len(u.times)
		sleep(ctx, u.nextPause(time.Now()))
		if u.reopen && len(u.times) < aimed {
			u.reopen = false
			u.closeFlow()
		}
	}
	u.closeFlow()
}

// nextPause returns how long the user waits before its next request.
func (u *virtualUser) nextPause(now time.Time) time.Duration {
	pause := minPause + time.Duration(u.rand.Int64N(int64(u.maxPause-minPause)))
	if len(u.times) == 0 || !u.aiming && now.Add(pause).Before(u.times[0]) {
		return pause
	}
	pause = max(0, u.times[0].Sub(now))
	u.times, u.aiming = u.times[1:], true
	return pause
}

// closeFlow closes the user's flow, if it has one. A flow that has been idle for longer than the system has to keep it isn't
// ended by a packet, which may be answered with a reset.
func (u *virtualUser) closeFlow() {
	if u.flow == nil {
		return
	}
	if time.Since(u.lastUsed) > local.IdleTimeout {
		u.flow.Drop()
	} else {
		u.flow.Close()
	}
	u.flow = nil
}

// sendRequest sends a request. A safe request is retried after any failure, an unsafe one only if it has not run. The name
// of a request consists of "s" for safe or "u" for unsafe, the service and a number. For safe requests it also has the
// number of the attempt.
func (u *virtualUser) sendRequest(ctx context.Context) {
	kind := "s"
	if !u.safe {
		kind = "u"
	}
	name := fmt.Sprintf("%s/%s/%d", kind, u.service, u.requestCounter.Add(1))
	u.d.check.updateStats(func(s *secondStats) { s.sent++ })
	started := time.Now()
	limited := ctx
	if u.patient {
		var cancel context.CancelFunc
		limited, cancel = context.WithTimeout(ctx, minDeadline+time.Duration(u.rand.Int64N(int64(maxDeadline-minDeadline))))
		defer cancel()
	}
	for attempt := range maxAttempts {
		request := name
		if kind == "s" {
			request = fmt.Sprintf("%s/%d", name, attempt)
		}
		notRun, err := u.attempt(limited, request)
		if err == nil {
			late := time.Since(started) > latencyObjective
			u.d.check.updateStats(func(s *secondStats) {
				if late {
					s.late++
				} else {
					s.served++
				}
			})
			return
		}
		if ctx.Err() != nil {
			return
		}
		if limited.Err() != nil {
			break
		}
		if kind == "u" && !notRun {
			break
		}
	}
	u.d.check.updateStats(func(s *secondStats) { s.failed++ })
}

// attempt sends a request once. notRun reports that the request has certainly not run.
func (u *virtualUser) attempt(ctx context.Context, request string) (notRun bool, err error) {
	if !u.patient {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, requestTimeout)
		defer cancel()
	}
	if u.flow != nil && time.Since(u.lastUsed) > local.IdleTimeout {
		u.closeFlow()
	}
	if u.flow == nil {
		if u.flow, err = u.client.Open(ctx, u.d.ServiceAddress(u.service)); err != nil {
			return true, err
		}
	}
	response, err := u.flow.Do(ctx, request)
	u.lastUsed = time.Now()
	if u.patient && errors.Is(err, context.DeadlineExceeded) && u.rand.IntN(2) == 0 {
		u.flow.Drop()
		u.flow = nil
	}
	if err != nil || !u.reuseFlow {
		u.closeFlow()
	}
	if err != nil {
		return false, err
	}
	return false, u.verifyResponse(request, response)
}

// verifyResponse checks that a response belongs to the request and comes from the right service.
func (u *virtualUser) verifyResponse(request, response string) error {
	gotRequest, service, _, ok := fakes.ParseResponse(response)
	if !ok || gotRequest != request || service != u.service {
		u.d.check.recordViolation(responsesMatch, "request %s got the response %q", request, response)
		return errors.New("wrong response")
	}
	return nil
}

const (
	// largeShare is the fraction of the responses that are large, smallestLarge the size of the smallest of them in bytes.
	largeShare    = 0.1
	smallestLarge = 1200
)

// responseSize returns the size of the response to a request. A share of largeShare has sizes from smallestLarge to
// largest, of which each doubling is as frequent as the next; the others have the usual size.
func responseSize(request string, largest int) int {
	if largest <= smallestLarge {
		return 0
	}
	sum := xxhash.Sum64String(request)
	r := rand.New(rand.NewPCG(sum, 0))
	if r.Float64() >= largeShare {
		return 0
	}
	return int(smallestLarge * math.Pow(float64(largest)/smallestLarge, r.Float64()))
}
