package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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

// minPause, maxPause and maxLongPause bound the pauses between the requests of a user, and of one whose flow is mostly idle.
const (
	minPause     = 20 * time.Millisecond
	maxPause     = 140 * time.Millisecond
	maxLongPause = 4 * time.Second
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
			kind := j % usersPerClient
			u := &virtualUser{
				d: d, client: c, service: services[(i+j)%len(services)], reuseFlow: kind != 1, maxPause: maxPause, requestCounter: &requestCounter,
			}
			if kind > 1 {
				u.maxPause = maxLongPause
			}
			wg.Go(func() { u.run(ctx) })
		}
	}
	wg.Wait()
	return nil
}

// virtualUser sends requests to a service, one at a time.
type virtualUser struct {
	d       *deployment
	client  *fakes.Client
	service string
	// reuseFlow makes the user send safe requests and keep its flow until a request fails. Otherwise it sends unsafe
	// requests and opens a flow for each.
	reuseFlow bool
	// maxPause is the longest pause between two requests.
	maxPause time.Duration
	// requestCounter numbers the requests of all users.
	requestCounter *atomic.Int64
	// flow is the open flow, nil if there is none.
	flow *fakes.Flow
}

func (u *virtualUser) run(ctx context.Context) {
	for ctx.Err() == nil {
		u.sendRequest(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(minPause + rand.N(u.maxPause-minPause)):
		}
	}
	if u.flow != nil {
		u.flow.Close()
	}
}

// sendRequest sends a request. A safe request is retried after any failure, an unsafe one only if it has not run. The name
// of a request consists of "s" for safe or "u" for unsafe, the service and a number. For safe requests it also has the
// number of the attempt.
func (u *virtualUser) sendRequest(ctx context.Context) {
	kind := "s"
	if !u.reuseFlow {
		kind = "u"
	}
	name := fmt.Sprintf("%s/%s/%d", kind, u.service, u.requestCounter.Add(1))
	u.d.check.updateStats(func(s *secondStats) { s.sent++ })
	started := time.Now()
	for attempt := range maxAttempts {
		request := name
		if kind == "s" {
			request = fmt.Sprintf("%s/%d", name, attempt)
		}
		notRun, err := u.attempt(ctx, request)
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
		if kind == "u" && !notRun {
			break
		}
	}
	u.d.check.updateStats(func(s *secondStats) { s.failed++ })
}

// attempt sends a request once. notRun reports that the request has certainly not run.
func (u *virtualUser) attempt(ctx context.Context, request string) (notRun bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if u.flow == nil {
		if u.flow, err = u.client.Open(ctx, u.d.ServiceAddress(u.service)); err != nil {
			return true, err
		}
	}
	response, err := u.flow.Do(ctx, request)
	if err != nil || !u.reuseFlow {
		u.flow.Close()
		u.flow = nil
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
