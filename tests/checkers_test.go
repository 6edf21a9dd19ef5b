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

// ledger records what callers saw, for the checkers. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// faults are the broken promises found so far.
	faults []string
	// notRun are the requests that were answered by "not run", answered those with an answer.
	notRun   map[string]bool
	answered map[string]bool
	// orders are the requests that are not idempotent.
	orders map[string]bool
}

func newLedger() *ledger {
	return &ledger{notRun: map[string]bool{}, answered: map[string]bool{}, orders: map[string]bool{}}
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// checkAnswer checks that an answer is whole and the request's own.
func (l *ledger) checkAnswer(service, id, body string, resp *http.Response, answer []byte) {
	if resp.Header.Get(sample.HeaderService) != service {
		l.fault("%s of %s was answered by %s", id, service, resp.Header.Get(sample.HeaderService))
	}
	if resp.Header.Get(sample.HeaderDigest) != sample.Digest(answer) {
		l.fault("%s: the answer is not whole", id)
	}
	if string(answer) != service+" "+id+" "+body {
		l.fault("%s: the answer is another request's: %q", id, answer)
	}
}

// checkRuns checks the backend servers' records: each order ran at most once, "not run" is true, an
// answered order ran, and nothing was meant for another service.
func (l *ledger) checkRuns(servers ...*sample.Server) {
	runs := map[string]int{}
	for _, s := range servers {
		if n := s.Misrouted(); n > 0 {
			l.fault("%d requests of another service reached a server", n)
		}
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	l.mu.Lock()
	orders, notRun, answered := l.orders, l.notRun, l.answered
	l.mu.Unlock()
	for id := range orders {
		if runs[id] > 1 {
			l.fault("order %s ran %d times", id, runs[id])
		}
		if answered[id] && runs[id] == 0 {
			l.fault("order %s was answered but didn't run", id)
		}
	}
	for id := range notRun {
		if runs[id] > 0 {
			l.fault("%s was refused as not run, but ran", id)
		}
	}
}

// checkDrain checks that a server got no new work later than the limit after its drain began.
func (l *ledger) checkDrain(s *sample.Server, began time.Time) {
	if last := s.LastStart(); last.After(began.Add(leaveLimit)) {
		l.fault("a leaving server got new work %s after its drain began", last.Sub(began))
	}
}

// report fails the test when a promise was broken.
func (l *ledger) report(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		t.Error(f)
	}
}

// servers returns the backend servers of services.
func servers(list ...*service) []*sample.Server {
	var out []*sample.Server
	for _, s := range list {
		for _, t := range s.targets {
			out = append(out, t.server)
		}
	}
	return out
}

// stream holds a long answer of count lines and checks that it is whole.
func (l *ledger) stream(ctx context.Context, s *service, c *caller.Client, id string, count int) {
	resp, err := c.Do(ctx, s.request(ctx, http.MethodGet, fmt.Sprintf("/stream?count=%d&interval=%s", count, lineInterval), id, ""))
	if err != nil {
		l.fault("%s: no answer: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	l.readStream(s.name, id, count, resp.Body)
}

func (l *ledger) readStream(service, id string, count int, body io.Reader) {
	lines := bufio.NewScanner(body)
	n := 0
	for ; lines.Scan(); n++ {
		if lines.Text() != fmt.Sprintf("%s %s %d", service, id, n) {
			l.fault("%s: line %d is %q", id, n, lines.Text())
			return
		}
	}
	if n != count || lines.Err() != nil {
		l.fault("%s: broken after %d of %d lines: %v", id, n, count, lines.Err())
	}
}

// order is a request to be sent.
type order struct{ method, path, id, body string }

// send sends a request by a caller that repeats safely, and checks the answer.
func (l *ledger) send(ctx context.Context, s *service, c *caller.Client, o order) error {
	method, path, id, body := o.method, o.path, o.id, o.body
	if method == http.MethodPost {
		l.mu.Lock()
		l.orders[id] = true
		l.mu.Unlock()
	}
	resp, err := c.Do(ctx, s.request(ctx, method, path, id, body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.Header.Get(contr.HeaderRun) == contr.RunNot {
		l.mu.Lock()
		l.notRun[id] = true
		l.mu.Unlock()
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answer %s: %s", resp.Status, answer)
	}
	l.mu.Lock()
	l.answered[id] = true
	l.mu.Unlock()
	l.checkAnswer(s.name, id, body, resp, answer)
	return nil
}

// once sends a request once and notes a refusal.
func (l *ledger) once(ctx context.Context, s *service, c *caller.Client, o order) (code int, run string) {
	method, path, id, body := o.method, o.path, o.id, o.body
	if method == http.MethodPost {
		l.mu.Lock()
		l.orders[id] = true
		l.mu.Unlock()
	}
	resp, err := c.DoOnce(ctx, s.request(ctx, method, path, id, body))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	run = resp.Header.Get(contr.HeaderRun)
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	l.mu.Lock()
	l.notRun[id] = l.notRun[id] || run == contr.RunNot
	l.answered[id] = l.answered[id] || resp.StatusCode == http.StatusOK
	if !l.notRun[id] {
		delete(l.notRun, id)
	}
	l.mu.Unlock()
	if resp.StatusCode == http.StatusOK {
		l.checkAnswer(s.name, id, body, resp, answer)
	}
	return resp.StatusCode, run
}

// TestCheckersFindFaults shows that each checker finds the fault that it is for.
func TestCheckersFindFaults(t *testing.T) {
	proves(t)
	is := is.New(t)
	server, err := sample.Start(t.Context(), "127.0.0.1:0", sample.Options{Service: "desk", Name: "d", Slots: 1, Slowness: 1})
	is.NoErr(err)
	defer server.Close()
	order := func(id, service string) (*http.Response, []byte) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL().String()+"/orders", nil)
		is.NoErr(err)
		req.Header.Set(sample.HeaderID, id)
		req.Header.Set(sample.HeaderService, service)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		answer, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp, answer
	}
	found := func(check func(l *ledger)) int {
		l := newLedger()
		check(l)
		return len(l.faults)
	}
	resp, answer := order("o1", "desk")
	is.Equal(found(func(l *ledger) { l.checkAnswer("desk", "o1", "", resp, answer) }), 0)
	is.True(found(func(l *ledger) { l.checkAnswer("desk", "o1", "", resp, answer[1:]) }) > 0) // Not whole.
	is.True(found(func(l *ledger) { l.checkAnswer("desk", "o2", "", resp, answer) }) > 0)     // Another request's.
	is.True(found(func(l *ledger) { l.checkAnswer("archive", "o1", "", resp, answer) }) > 0)  // Another service's.
	orders := map[string]bool{"o1": true, "o2": true}
	is.Equal(found(func(l *ledger) { l.orders = orders; l.checkRuns(server) }), 0)
	is.True(found(func(l *ledger) { l.notRun = map[string]bool{"o1": true}; l.checkRuns(server) }) > 0) // It ran.
	is.True(found(func(l *ledger) { l.orders, l.answered = orders, orders; l.checkRuns(server) }) > 0)  // o2 didn't run.
	order("o1", "desk")
	is.True(found(func(l *ledger) { l.orders = orders; l.checkRuns(server) }) > 0) // Doubled.
	is.True(found(func(l *ledger) { l.checkDrain(server, time.Now().Add(-time.Minute)) }) > 0)
	is.Equal(found(func(l *ledger) { l.checkDrain(server, time.Now()) }), 0)
	order("o3", "archive")
	is.True(found(func(l *ledger) { l.checkRuns(server) }) > 0) // Foreign.

	lines := "desk s 0\ndesk s 1\n"
	is.Equal(found(func(l *ledger) { l.readStream("desk", "s", 2, newReader(lines)) }), 0)
	is.True(found(func(l *ledger) { l.readStream("desk", "s", 3, newReader(lines)) }) > 0) // Broken.
	is.True(found(func(l *ledger) { l.readStream("desk", "x", 2, newReader(lines)) }) > 0) // Another's.
	is.True(found(func(l *ledger) { l.checkSerials("e", []uint64{1, 3, 2}) }) > 0)         // Went back.
	is.Equal(found(func(l *ledger) { l.checkSerials("e", []uint64{1, 1, 3}) }), 0)
}
