// Package fresh decides when a process reads the configuration from the store, so that no process of the
// deployment runs an old one for long.
//
// Watches tell of changes at once, but may be silent while changes are made. All processes therefore share one
// thing more: how long ago somebody last read the newest version. Whoever finds that time too long reads, and tells
// the others; with many processes the store still sees about one read in each interval.
// The package is pure: times and randomness come in as arguments.
package fresh

import "time"

const (
	// readPart is the part of the allowed age after which a process reads; the rest is for spreading the news.
	readPart = 0.25
	// spreadPart is the part of the allowed age over which the processes' reads are spread.
	spreadPart = 0.15
	// toldPart is the part of the allowed age after which a process reads that others tell of the configuration.
	toldPart = 0.5
	// retryPart is the part of the allowed age after which a failed read is repeated.
	retryPart = 0.2
)

// AgeTracker keeps the age of the configuration. Its owner serializes access.
type AgeTracker struct {
	bound     time.Duration
	version   uint64
	confirmed time.Time
	tried     time.Time
	spread    float64
}

// New returns a clock for configurations that may be bound old; nothing is confirmed yet.
func New(bound time.Duration) *AgeTracker { return &AgeTracker{bound: bound} }

// Confirm notes that version was the newest one at a time; random is between 0 and 1.
func (c *AgeTracker) Confirm(version uint64, at time.Time, random float64) {
	if version < c.version || !at.After(c.confirmed) {
		return
	}
	c.version, c.confirmed, c.spread = version, at, random
}

// ShouldRead reports whether the process shall read now, and notes the attempt. A process that others tell of the
// configuration leaves them the first turn.
func (c *AgeTracker) ShouldRead(now time.Time, told bool) bool {
	if now.Sub(c.tried) < c.part(retryPart) {
		return false
	}
	if told && !c.confirmed.IsZero() && now.Sub(c.confirmed) < c.part(toldPart) {
		return false
	}
	if !c.confirmed.IsZero() && now.Sub(c.confirmed) < c.part(readPart)+time.Duration(c.spread*float64(c.part(spreadPart))) {
		return false
	}
	c.tried = now
	return true
}

// Age returns how long ago a version was last known to be the newest one; a day when never.
func (c *AgeTracker) Age(now time.Time) time.Duration {
	const never = 24 * time.Hour
	if c.confirmed.IsZero() {
		return never
	}
	return max(0, now.Sub(c.confirmed))
}

func (c *AgeTracker) part(p float64) time.Duration { return time.Duration(p * float64(c.bound)) }
