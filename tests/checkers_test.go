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

// recorder records what callers saw, for the checkers. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	// violations are the broken promises found so far.
	violations []string
	// notRun are the requests that were answered by "not run", answered those with an answer.
	notRun    map[string]bool
	succeeded map[string]bool
	// orders are the requests that are not idempotent.
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

// checkResponse checks that an answer is whole and the request's own.
func (r *recorder) checkResponse(service, id, body string, resp *http.Response, respBody []byte) {
	if resp.Header.Get(sample.HeaderService) != service {
		r.addViolation("%s of %s was answered by %s", id, service, resp.Header.Get(sample.HeaderService))
	}
	if resp.Header.Get(sample.HeaderDigest) != sample.Digest(respBody) {
		r.addViolation("%s: the answer is not whole", id)
	}
	if string(respBody) != service+" "+id+" "+body {
		r.addViolation("%s: the answer is another request's: %q", id, respBody)
	}
}

// checkRuns checks the backend servers' records: each order ran at most once, "not run" is true, an
// answered order ran, and nothing was meant for another service.
func (r *recorder) checkRuns(servers ...*sample.Server) {
	runs := map[string]int{}
	for _, s := range servers {
		if n := s.Foreign(); n > 0 {
			r.addViolation("%d requests of another service reached a server", n)
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
			r.addViolation("order %s was answered but didn't run", id)
		}
	}
	for id := range notRun {
		if runs[id] > 0 {
			r.addViolation("%s was refused as not run, but ran", id)
		}
	}
}

// checkDrain checks that a server got no new work later than the limit after its drain began.
func (r *recorder) checkDrain(s *sample.Server, start time.Time) {
	if lastStart := s.LastStart(); lastStart.After(start.Add(maxDrainNotice)) {
		r.addViolation("a leaving server got new work %s after its drain began", lastStart.Sub(start))
	}
}

// report fails the test when a promise was broken.
func (r *recorder) report(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, violation := range r.violations {
		t.Error(violation)
	}
}

// backendServers returns the backend backendServers of services.
func backendServers(services ...*service) []*sample.Server {
	var servers []*sample.Server
	for _, s := range services {
		for _, t := range s.targets {
			servers = append(servers, t.server)
		}
	}
	return servers
}

// requestStream holds a long answer of count lines and checks that it is whole.
func (r *recorder) requestStream(ctx context.Context, s *service, c *caller.Client, id string, count int) {
	resp, err := c.Do(ctx, s.request(ctx, http.MethodGet, fmt.Sprintf("/stream?count=%d&interval=%s", count, lineInterval), id, ""))
	if err != nil {
		r.addViolation("%s: no answer: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.checkStream(s.name, id, count, resp.Body)
}

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
		r.addViolation("%s: broken after %d of %d lines: %v", id, n, count, lines.Err())
	}
}

// testRequest is a request to be sent.
type testRequest struct{ method, path, id, body string }

// send sends a request by a caller that repeats safely, and checks the answer.
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
		return fmt.Errorf("answer %s: %s", resp.Status, respBody)
	}
	r.mu.Lock()
	r.succeeded[id] = true
	r.mu.Unlock()
	r.checkResponse(s.name, id, body, resp, respBody)
	return nil
}

// sendOnce sends a request sendOnce and notes a refusal.
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

// TestCheckersFindFaults shows that each checker finds the fault that it is for.
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
	is.True(countViolations(func(rec *recorder) { rec.checkResponse("desk", "o1", "", resp, respBody[1:]) }) > 0) // Not whole.
	is.True(countViolations(func(rec *recorder) { rec.checkResponse("desk", "o2", "", resp, respBody) }) > 0)     // Another request's.
	is.True(countViolations(func(rec *recorder) { rec.checkResponse("archive", "o1", "", resp, respBody) }) > 0)  // Another service's.
	orders := map[string]bool{"o1": true, "o2": true}
	is.Equal(countViolations(func(rec *recorder) { rec.orders = orders; rec.checkRuns(server) }), 0)
	is.True(countViolations(func(rec *recorder) { rec.notRun = map[string]bool{"o1": true}; rec.checkRuns(server) }) > 0)   // It ran.
	is.True(countViolations(func(rec *recorder) { rec.orders, rec.succeeded = orders, orders; rec.checkRuns(server) }) > 0) // o2 didn't run.
	postOrder("o1", "desk")
	is.True(countViolations(func(rec *recorder) { rec.orders = orders; rec.checkRuns(server) }) > 0) // Doubled.
	is.True(countViolations(func(rec *recorder) { rec.checkDrain(server, time.Now().Add(-time.Minute)) }) > 0)
	is.Equal(countViolations(func(rec *recorder) { rec.checkDrain(server, time.Now()) }), 0)
	postOrder("o3", "archive")
	is.True(countViolations(func(rec *recorder) { rec.checkRuns(server) }) > 0) // Foreign.

	lines := "desk s 0\ndesk s 1\n"
	is.Equal(countViolations(func(rec *recorder) { rec.checkStream("desk", "s", 2, newReader(lines)) }), 0)
	is.True(countViolations(func(rec *recorder) { rec.checkStream("desk", "s", 3, newReader(lines)) }) > 0) // Broken.
	is.True(countViolations(func(rec *recorder) { rec.checkStream("desk", "x", 2, newReader(lines)) }) > 0) // Another's.
	is.True(countViolations(func(rec *recorder) { rec.checkSerials("e", []uint64{1, 3, 2}) }) > 0)          // Went back.
	is.Equal(countViolations(func(rec *recorder) { rec.checkSerials("e", []uint64{1, 1, 3}) }), 0)
}
