package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// pathLife is how long the way to a silent caller is remembered; it is longer than a flow may be idle.
	pathLife = 5 * time.Minute
	// sweepInterval is the time between two searches for paths to forget.
	sweepInterval = time.Minute
)

// path is the way by which a caller was last heard.
type path struct {
	entry netip.AddrPort
	heard time.Time
	// sent is the number of datagrams sent since then.
	sent int
}

// pathTable remembers by which entry each caller was last heard. It is safe for concurrent use.
type pathTable struct {
	mu    sync.Mutex
	paths map[netip.AddrPort]*path
	swept time.Time
}

func newPathTable() *pathTable {
	return &pathTable{paths: make(map[netip.AddrPort]*path)}
}

// heard notes that a caller's datagram came by way of entry.
func (t *pathTable) heard(caller, entry netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[caller]
	if p == nil {
		t.sweep(now)
		p = &path{}
		t.paths[caller] = p
	}
	*p = path{entry: entry, heard: now}
}

// sending notes that a datagram is sent to a caller. It returns the entry by which the caller was last
// heard, how long ago that was and how many datagrams were sent since.
func (t *pathTable) sending(caller netip.AddrPort, now time.Time) (entry netip.AddrPort, silent time.Duration, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[caller]
	if p == nil {
		return netip.AddrPort{}, 0, 0
	}
	p.sent++
	return p.entry, now.Sub(p.heard), p.sent
}

// sweep forgets callers that have been silent for long.
func (t *pathTable) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for caller, p := range t.paths {
		if now.Sub(p.heard) > pathLife {
			delete(t.paths, caller)
		}
	}
}
