package soak

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"
)

// Invariants that are checked, by the names that reports print.
const (
	responsesMatch      = "whole answers to their own requests"
	packetsUnchanged    = "packets unchanged"
	rightService        = "right service"
	runAtMostOnce       = "unsafe requests run at most once"
	noFlowsWhenDraining = "no new flows at a server that leaves"
	configApplied       = "configuration in force"
	openFlowsKept       = "open flows are kept"
	serviceRecovers     = "service recovers"
	noUnexpectedExit    = "no process ends by itself"
	processesListed     = "processes are listed in the directory"
)

// violation is an observation that breaks an invariant.
type violation struct {
	invariant string
	// at is the time since the start of the run.
	at     time.Duration
	detail string
}

// checker records what clients and servers observe and which invariants that violates. It is safe for concurrent use.
type checker struct {
	started time.Time

	mu         sync.Mutex
	violations []violation
	// runCounts counts by request how often servers ran it.
	runCounts map[string]int
	// routes holds the history of each service address.
	routes map[netip.AddrPort]*routeHistory
	// strays has the flows whose latest packets reached other servers than their own, by client and service address.
	strays map[[2]netip.AddrPort]*stray
	// stats is keyed by the second since the start of the run.
	stats map[int]*secondStats
}

// stray describes the packets of a flow that reached other servers since its own got one.
type stray struct {
	count int
	since time.Time
	// places has a word on each of the first packets.
	places []string
}

// maxPlaces is the number of packets of which a stray has the places.
const maxPlaces = 12

// routeHistory says when the route of an address was added and removed and which service it leads to. removed is zero
// while the route exists.
type routeHistory struct {
	added, removed time.Time
	service        string
}

// secondStats counts the requests and faults of one second of a run. A request is counted as sent when it starts, and when
// it ends as served (in time), late or failed.
type secondStats struct{ sent, served, late, failed, faults int }

func newChecker() *checker {
	return &checker{
		started: time.Now(), runCounts: make(map[string]int), routes: make(map[netip.AddrPort]*routeHistory),
		strays: make(map[[2]netip.AddrPort]*stray), stats: make(map[int]*secondStats),
	}
}

// recordViolation records that an invariant was violated now. The format describes the observation.
func (c *checker) recordViolation(invariant, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation{invariant, time.Since(c.started), fmt.Sprintf(format, args...)})
}

// currentStats returns the counters of the current second. The caller must hold c.mu.
func (c *checker) currentStats() *secondStats {
	second := int(time.Since(c.started).Seconds())
	stats := c.stats[second]
	if stats == nil {
		stats = new(secondStats)
		c.stats[second] = stats
	}
	return stats
}

// updateStats calls update with the counters of the current second, under c.mu.
func (c *checker) updateStats(update func(*secondStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(c.currentStats())
}

// recordRun records that a server of a service starts to run a request. The names of unsafe requests begin with "u".
func (c *checker) recordRun(service, request string) {
	c.mu.Lock()
	c.runCounts[request]++
	count := c.runCounts[request]
	c.mu.Unlock()
	if count > 1 && request[0] == 'u' {
		c.recordViolation(runAtMostOnce, "request %s ran %d times", request, count)
	}
	if want := serviceOf(request); want != service {
		c.recordViolation(rightService, "request %s ran at a server of %s", request, service)
	}
}

// serviceOf returns the service that a request is for: the second segment of its name.
func serviceOf(request string) string {
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

// recordRoutes records the routes of an accepted configuration, by address and service.
func (c *checker) recordRoutes(routes map[netip.AddrPort]string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, service := range routes {
		if history := c.routes[addr]; history == nil || !history.removed.IsZero() {
			c.routes[addr] = &routeHistory{added: now, service: service}
		}
	}
	for addr, history := range c.routes {
		if _, ok := routes[addr]; !ok && history.removed.IsZero() {
			history.removed = now
		}
	}
}

// recordStray records a packet of an open flow at another server than its own. It returns how many have come, and since when.
// place says where the packet came.
func (c *checker) recordStray(client, service netip.AddrPort, now time.Time, place string) (count int, since time.Time, places string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]netip.AddrPort{client, service}
	s := c.strays[key]
	if s == nil {
		s = &stray{since: now}
		c.strays[key] = s
	}
	s.count++
	if len(s.places) < maxPlaces {
		s.places = append(s.places, fmt.Sprintf("%s %s", now.Sub(s.since).Round(time.Millisecond), place))
	}
	return s.count, s.since, strings.Join(s.places, ", ")
}

// endStray records that a packet of a flow reached its server, or that the flow isn't checked now.
func (c *checker) endStray(client, service netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.strays, [2]netip.AddrPort{client, service})
}

// historyOf returns a copy of the route history of an address.
func (c *checker) historyOf(addr netip.AddrPort) (routeHistory, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	history := c.routes[addr]
	if history == nil {
		return routeHistory{}, false
	}
	return *history, true
}

// answeredRatio returns the fraction of the requests completed between two times since the start that were answered,
// and the number of all completed.
func (c *checker) answeredRatio(from, to time.Duration) (ratio float64, completed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := 0
	for second, s := range c.stats {
		if start := time.Duration(second) * time.Second; start >= from && start < to {
			answered += s.served + s.late
			completed += s.served + s.late + s.failed
		}
	}
	if completed == 0 {
		return 0, 0
	}
	return float64(answered) / float64(completed), completed
}

// sortedStats returns the seconds of the run in order, with their counters.
func (c *checker) sortedStats() (seconds []int, stats []secondStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for second := range c.stats {
		seconds = append(seconds, second)
	}
	sort.Ints(seconds)
	for _, second := range seconds {
		stats = append(stats, *c.stats[second])
	}
	return seconds, stats
}
