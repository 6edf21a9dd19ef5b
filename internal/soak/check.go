package soak

import (
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"time"
)

// The promises that are checked, by the names that reports use.
const (
	mixed    = "whole answers to their own requests"
	forged   = "packets unchanged"
	routed   = "right service"
	once     = "unsafe requests run at most once"
	drained  = "no new flows at a server that leaves"
	applied  = "configuration in force"
	kept     = "open flows are kept"
	recovers = "service recovers"
	exits    = "no process ends by itself"
)

// finding is a promise that was broken.
type finding struct {
	promise string
	at      time.Duration
	detail  string
}

// checker notes what clients and servers see, and which promises that breaks. It is safe for concurrent use.
type checker struct {
	started time.Time

	mu       sync.Mutex
	findings []finding
	runs     map[string]int
	// routes is the history of the configuration: when a route was added and removed.
	routes map[netip.AddrPort]*routeLife
	points map[int]*point
}

// routeLife is when an address's route was added, and removed, and the services that it ever led to.
type routeLife struct {
	added, removed time.Time
	service        string
}

// point sums up one second of a run.
type point struct{ sent, served, late, failed, faults int }

func newChecker() *checker {
	return &checker{
		started: time.Now(), runs: make(map[string]int), routes: make(map[netip.AddrPort]*routeLife), points: make(map[int]*point),
	}
}

func (c *checker) broke(promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, finding{promise, time.Since(c.started), fmt.Sprintf(format, args...)})
}

// at returns the point of the current second. The caller holds the lock.
func (c *checker) at() *point {
	second := int(time.Since(c.started).Seconds())
	p := c.points[second]
	if p == nil {
		p = new(point)
		c.points[second] = p
	}
	return p
}

func (c *checker) count(f func(*point)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.at())
}

// ran notes that a server begins a request, which is named by its sender; unsafe ones begin with "u".
func (c *checker) ran(service, request string) {
	c.mu.Lock()
	c.runs[request]++
	n := c.runs[request]
	c.mu.Unlock()
	if n > 1 && request[0] == 'u' {
		c.broke(once, "request %s ran %d times", request, n)
	}
	if want := wanted(request); want != service {
		c.broke(routed, "request %s ran at %s", request, service)
	}
}

// wanted returns the service that a request is for: the second part of its name.
func wanted(request string) string {
	for i := range request {
		if request[i] == '/' {
			rest := request[i+1:]
			for j := range rest {
				if rest[j] == '/' {
					return rest[:j]
				}
			}
		}
	}
	return ""
}

// routeChanged notes an accepted configuration's routes.
func (c *checker) routeChanged(routes map[netip.AddrPort]string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, s := range routes {
		if l := c.routes[a]; l == nil || !l.removed.IsZero() {
			c.routes[a] = &routeLife{added: now, service: s}
		}
	}
	for a, l := range c.routes {
		if _, ok := routes[a]; !ok && l.removed.IsZero() {
			l.removed = now
		}
	}
}

// life returns a copy of what is known of an address's route.
func (c *checker) life(a netip.AddrPort) (routeLife, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.routes[a]
	if l == nil {
		return routeLife{}, false
	}
	return *l, true
}

// servedShare returns the part of the requests of a span that were answered.
func (c *checker) servedShare(from, to time.Duration) (share float64, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for s, p := range c.points {
		if d := time.Duration(s) * time.Second; d >= from && d < to {
			served += p.served + p.late
			sent += p.served + p.late + p.failed
		}
	}
	if sent == 0 {
		return 0, 0
	}
	return float64(served) / float64(sent), sent
}

// sorted returns the seconds of the run with their points.
func (c *checker) sorted() (seconds []int, points []point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.points {
		seconds = append(seconds, s)
	}
	sort.Ints(seconds)
	for _, s := range seconds {
		points = append(points, *c.points[s])
	}
	return seconds, points
}
