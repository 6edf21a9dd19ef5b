package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go/http3"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// startHandOver hands an order over to the issuer of its ticket and returns the channel of the result.
func startHandOver(t *testing.T, from, issuer *Agent, ticket string) <-chan result {
	t.Helper()
	c, _ := newTestCall(from, http.MethodPost)
	c.r.Header.Set(contr.HeaderTicket, ticket)
	results := make(chan result, 1)
	go func() { results <- from.handOver(context.WithoutCancel(t.Context()), c, issuer.Control(), modeTicket) }()
	return results
}

func startDrain(t *testing.T, a *Agent) <-chan struct{} {
	t.Helper()
	a.http3 = &http3.Server{}
	drained := make(chan struct{})
	go func() {
		a.drain(context.WithoutCancel(t.Context()))
		close(drained)
	}()
	return drained
}

func isClosed(ch <-chan struct{}, within time.Duration) bool {
	select {
	case <-ch:
		return true
	case <-time.After(within):
		return false
	}
}

// TestDrainWaitsForRequestPassedBetweenPeers guards against a drain that ends while a request of a peer, which the draining
// agent has handed over to another one, is in progress: its connections are then cut, and the caller's order fails.
func TestDrainWaitsForRequestPassedBetweenPeers(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	}))
	defer backend.Close()
	defer releaseOnce()
	sender, draining, runner := newTestAgent(t, backend.URL), newTestAgent(t, backend.URL), newTestAgent(t, backend.URL)
	for _, a := range []*Agent{draining, runner} {
		go func() { _ = a.http1.Serve(a.controlListener) }()
	}
	draining.peers.setAgents([]view.Record{runner.ownRecord()}, draining.Control())
	draining.peers.recordLoad(runner.Control(), ctrl.Load{FreeSlots: 1}, time.Now())
	ticket := draining.issueTickets(1)[0]
	draining.setDraining(true, "test")
	results := startHandOver(t, sender, draining, ticket)
	is.True(isClosed(begun, 5*time.Second)) // The draining agent handed the request over.
	drained := startDrain(t, draining)
	endedEarly := isClosed(drained, 300*time.Millisecond)
	releaseOnce()
	is.True(!endedEarly)
	is.Equal((<-results).outcome, outcomeCompleted)
	is.True(isClosed(drained, 5*time.Second))
}

// TestDrainedAgentRejectsRequests guards against a drained agent that cuts the connections of peers that don't know yet that
// it has ended: a request that it hasn't run would count as one that may have run.
func TestDrainedAgentRejectsRequests(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	sender, draining := newTestAgent(t, backend.URL), newTestAgent(t, backend.URL)
	go func() { _ = draining.http1.Serve(draining.controlListener) }()
	tickets := draining.issueTickets(2)
	is.Equal((<-startHandOver(t, sender, draining, tickets[0])).outcome, outcomeCompleted) // Leaves a connection in the pool.
	drained := startDrain(t, draining)
	for draining.ownRecord().State != view.Gone {
		time.Sleep(time.Millisecond)
	}
	is.Equal((<-startHandOver(t, sender, draining, tickets[1])).outcome, outcomeRejected)
	is.True(isClosed(drained, 5*time.Second))
}

// TestRequestTrackerClosesWhenIdle guards against a request that begins after the drain has counted none, or that keeps an
// agent from ending after the drain time.
func TestRequestTrackerClosesWhenIdle(t *testing.T) {
	is := is.New(t)
	tracker := newRequestTracker()
	is.True(tracker.begin("1"))
	closed := make(chan struct{})
	go func() {
		is.NoErr(tracker.closeWhenIdle(context.WithoutCancel(t.Context())))
		close(closed)
	}()
	is.True(!isClosed(closed, 20*time.Millisecond))
	is.True(tracker.begin("2")) // Requests may begin until none is in progress.
	tracker.end()
	is.True(!isClosed(closed, 20*time.Millisecond))
	tracker.end()
	is.True(isClosed(closed, 5*time.Second))
	is.True(!tracker.begin("3"))

	tracker = newRequestTracker()
	is.True(tracker.begin("1"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(tracker.closeWhenIdle(ctx) != nil)
	is.True(!tracker.begin("2"))
	tracker.end()
}
