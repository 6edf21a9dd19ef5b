package tests

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// recorder records the outcomes of requests and the violations found by the checks. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	// violations describes the violations found so far.
	violations []string
	// notRun has the IDs of requests whose response said that they did not run, succeeded those with status 200.
	notRun    map[string]bool
	succeeded map[string]bool
	// orders has the IDs of requests that are not idempotent.
	orders map[string]bool
}

func newRecorder() *recorder {
	return &recorder{notRun: map[string]bool{}, succeeded: map[string]bool{}, orders: map[string]bool{}}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// checkResponse checks that a response is complete and belongs to the request.
func (r *recorder) checkResponse(service, id, body string, resp *http.Response, respBody []byte) {
	if resp.Header.Get(sample.HeaderService) != service {
		r.addViolation("request %s to service %s was served by %q", id, service, resp.Header.Get(sample.HeaderService))
	}
	if resp.Header.Get(sample.HeaderDigest) != sample.Digest(respBody) {
		r.addViolation("%s: the digest does not match the response body", id)
	}
	if string(respBody) != service+" "+id+" "+body {
		r.addViolation("%s: response of another request: %q", id, respBody)
	}
}

// checkRuns compares the responses with the requests that the backend servers ran: each order ran at most once, an order
// that succeeded ran, a request reported as not run did not run, and no server received a request for another service.
func (r *recorder) checkRuns(servers ...*sample.Server) {
	runs := map[string]int{}
	for _, s := range servers {
		if n := s.Misrouted(); n > 0 {
			r.addViolation("a server received %d requests for another service", n)
		}
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	r.mu.Lock()
	orders, notRun, succeeded := r.orders, r.notRun, r.succeeded
	r.mu.Unlock()
	for id := range orders {
		if runs[id] > 1 {
			r.addViolation("order %s ran %d times", id, runs[id])
		}
		if succeeded[id] && runs[id] == 0 {
			r.addViolation("order %s succeeded but did not run", id)
		}
	}
	for id := range notRun {
		if runs[id] > 0 {
			r.addViolation("%s was reported as not run, but ran", id)
		}
	}
}

// checkDrain checks that a server got no new request later than maxDrainNotice after its drain began.
func (r *recorder) checkDrain(s *sample.Server, start time.Time) {
	if lastStart := s.LastStart(); lastStart.After(start.Add(maxDrainNotice)) {
		r.addViolation("a draining server got a new request %s after its drain began", lastStart.Sub(start))
	}
}

// report fails the test if there are violations.
func (r *recorder) report(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, violation := range r.violations {
		t.Error(violation)
	}
}

// backendServers returns the backend servers of all given services.
func backendServers(services ...*service) []*sample.Server {
	var servers []*sample.Server
	for _, s := range services {
		for _, t := range s.targets {
			servers = append(servers, t.server)
		}
	}
	return servers
}

// requestStream requests a stream of count lines, reads it to its end and checks that it is complete.
func (r *recorder) requestStream(ctx context.Context, s *service, c *caller.Client, id string, count int) {
	resp, err := c.Do(ctx, s.request(ctx, http.MethodGet, fmt.Sprintf("/stream?count=%d&interval=%s", count, lineInterval), id, ""))
	if err != nil {
		r.addViolation("%s: no response: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.checkStream(s.name, id, count, resp.Body)
}

// checkStream checks that body has exactly count lines, all of the given request.
func (r *recorder) checkStream(service, id string, count int, body io.Reader) {
	lines := bufio.NewScanner(body)
	n := 0
	for ; lines.Scan(); n++ {
		if lines.Text() != fmt.Sprintf("%s %s %d", service, id, n) {
			r.addViolation("%s: line %d is %q", id, n, lines.Text())
			return
		}
	}
	if n != count || lines.Err() != nil {
		r.addViolation("%s: ended after %d of %d lines: %v", id, n, count, lines.Err())
	}
}

// testRequest describes a request to a sample server. POST requests are orders, which are not idempotent.
type testRequest struct{ method, path, id, body string }

// send sends a request with the caller library, which retries only if that is safe, records the outcome and checks the
// response.
func (r *recorder) send(ctx context.Context, s *service, c *caller.Client, req testRequest) error {
	method, path, id, body := req.method, req.path, req.id, req.body
	if method == http.MethodPost {
		r.mu.Lock()
		r.orders[id] = true
		r.mu.Unlock()
	}
	resp, err := c.Do(ctx, s.request(ctx, method, path, id, body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.Header.Get(contr.HeaderRun) == contr.RunNot {
		r.mu.Lock()
		r.notRun[id] = true
		r.mu.Unlock()
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s: %s", resp.Status, respBody)
	}
	r.mu.Lock()
	r.succeeded[id] = true
	r.mu.Unlock()
	r.checkResponse(s.name, id, body, resp, respBody)
	return nil
}

// sendOnce sends a request without retries, records the outcome and checks a successful response. It returns the status
// and the run header, or status 0 if there is no complete response.
func (r *recorder) sendOnce(ctx context.Context, s *service, c *caller.Client, req testRequest) (code int, run string) {
	method, path, id, body := req.method, req.path, req.id, req.body
	if method == http.MethodPost {
		r.mu.Lock()
		r.orders[id] = true
		r.mu.Unlock()
	}
	resp, err := c.DoOnce(ctx, s.request(ctx, method, path, id, body))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	run = resp.Header.Get(contr.HeaderRun)
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	r.mu.Lock()
	r.notRun[id] = r.notRun[id] || run == contr.RunNot
	r.succeeded[id] = r.succeeded[id] || resp.StatusCode == http.StatusOK
	if !r.notRun[id] {
		delete(r.notRun, id)
	}
	r.mu.Unlock()
	if resp.StatusCode == http.StatusOK {
		r.checkResponse(s.name, id, body, resp, respBody)
	}
	return resp.StatusCode, run
}

// TestCheckersFindFaults verifies that each check reports the violation that it guards against.
func TestCheckersFindFaults(t *testing.T) {
	recordTestRun(t)
	is := is.New(t)
	server, err := sample.Start(t.Context(), "127.0.0.1:0", sample.Options{Service: "desk", Name: "d", Slots: 1, Slowness: 1})
	is.NoErr(err)
	defer server.Close()
	postOrder := func(id, service string) (*http.Response, []byte) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL().String()+"/orders", nil)
		is.NoErr(err)
		req.Header.Set(sample.HeaderID, id)
		req.Header.Set(sample.HeaderService, service)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		respBody, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp, respBody
	}
	countViolations := func(check func(rec *recorder)) int {
		rec := newRecorder()
		check(rec)
		return len(rec.violations)
	}
	resp, respBody := postOrder("o1", "desk")
	is.Equal(countViolations(func(rec *recorder) { rec.checkResponse("desk", "o1", "", resp, respBody) }), 0)
	is.True(countViolations(func(rec *recorder) { rec.checkResponse("desk", "o1", "", resp, respBody[1:]) }) > 0) // Truncated.
	is.True(countViolations(func(rec *recorder) { rec.checkResponse("desk", "o2", "", resp, respBody) }) > 0)     // Response of another request.
	is.True(countViolations(func(rec *recorder) { rec.checkResponse("archive", "o1", "", resp, respBody) }) > 0)  // Response of another service.
	orders := map[string]bool{"o1": true, "o2": true}
	is.Equal(countViolations(func(rec *recorder) { rec.orders = orders; rec.checkRuns(server) }), 0)
	is.True(countViolations(func(rec *recorder) { rec.notRun = map[string]bool{"o1": true}; rec.checkRuns(server) }) > 0)   // Reported as not run, but it ran.
	is.True(countViolations(func(rec *recorder) { rec.orders, rec.succeeded = orders, orders; rec.checkRuns(server) }) > 0) // o2 succeeded, but did not run.
	postOrder("o1", "desk")
	is.True(countViolations(func(rec *recorder) { rec.orders = orders; rec.checkRuns(server) }) > 0) // o1 ran twice.
	is.True(countViolations(func(rec *recorder) { rec.checkDrain(server, time.Now().Add(-time.Minute)) }) > 0)
	is.Equal(countViolations(func(rec *recorder) { rec.checkDrain(server, time.Now()) }), 0)
	postOrder("o3", "archive")
	is.True(countViolations(func(rec *recorder) { rec.checkRuns(server) }) > 0) // A request for another service.

	lines := "desk s 0\ndesk s 1\n"
	is.Equal(countViolations(func(rec *recorder) { rec.checkStream("desk", "s", 2, newReader(lines)) }), 0)
	is.True(countViolations(func(rec *recorder) { rec.checkStream("desk", "s", 3, newReader(lines)) }) > 0) // A line is missing.
	is.True(countViolations(func(rec *recorder) { rec.checkStream("desk", "x", 2, newReader(lines)) }) > 0) // Lines of another request.
	is.True(countViolations(func(rec *recorder) { rec.checkSerials("e", []uint64{1, 3, 2}) }) > 0)          // Serials decrease.
	is.Equal(countViolations(func(rec *recorder) { rec.checkSerials("e", []uint64{1, 1, 3}) }), 0)
}
