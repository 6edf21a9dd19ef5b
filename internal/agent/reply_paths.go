package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// pathTTL is how long the path to a silent caller is kept; it exceeds the idle timeout of flows.
	pathTTL = 5 * time.Minute
	// evictionInterval is the least time between two evictions of expired paths.
	evictionInterval = time.Minute
)

// path is the entry through which the last datagram of a caller came.
type path struct {
	entry        netip.AddrPort
	lastReceived time.Time
	// sentSince is the number of datagrams sent to the caller since lastReceived.
	sentSince int
}

// pathTable holds the path of each caller. It is safe for concurrent use.
type pathTable struct {
	mu           sync.Mutex
	paths        map[netip.AddrPort]*path
	lastEviction time.Time
}

func newPathTable() *pathTable {
	return &pathTable{paths: make(map[netip.AddrPort]*path)}
}

// recordReceived records that a datagram of a caller came through entry.
func (t *pathTable) recordReceived(caller, entry netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[caller]
	if p == nil {
		t.evictExpired(now)
		p = &path{}
		t.paths[caller] = p
	}
	*p = path{entry: entry, lastReceived: now}
}

// recordSent records that a datagram is sent to a caller. It returns the entry through which the caller's last datagram
// came, how long ago that was and how many datagrams were sent since, including this one.
func (t *pathTable) recordSent(caller netip.AddrPort, now time.Time) (entry netip.AddrPort, sinceReceived time.Duration, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[caller]
	if p == nil {
		return netip.AddrPort{}, 0, 0
	}
	p.sentSince++
	return p.entry, now.Sub(p.lastReceived), p.sentSince
}

// evictExpired removes the paths of callers that have been silent for longer than pathTTL.
func (t *pathTable) evictExpired(now time.Time) {
	if now.Sub(t.lastEviction) < evictionInterval {
		return
	}
	t.lastEviction = now
	for caller, p := range t.paths {
		if now.Sub(p.lastReceived) > pathTTL {
			delete(t.paths, caller)
		}
	}
}
