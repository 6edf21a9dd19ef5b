// Package fresh decides when a process reads the configuration from the store, so that no process of the deployment uses
// an outdated one for long.
//
// Watches report changes immediately, but may miss changes without an error. Processes therefore also share the time at
// which any of them last read the newest version. A process that finds this time too long ago reads the configuration and
// notifies the others, so that even with many processes the store gets only one or two reads
// in each readFraction of the maximum age.
//
// The package has no I/O and doesn't read the clock: times and random numbers are arguments.
package fresh

import "time"

const (
	// readFraction is the fraction of the maximum age after which a process reads. The rest is left for distributing the
	// result.
	readFraction = 0.25
	// spreadFraction is the fraction of the maximum age over which the reads of different processes are spread.
	spreadFraction = 0.15
	// notifiedFraction is the fraction of the maximum age after which a process reads that others normally notify.
	notifiedFraction = 0.5
	// retryFraction is the fraction of the maximum age after which a failed read is retried.
	retryFraction = 0.2
)

// AgeTracker tracks the age of the configuration. It isn't safe for concurrent use.
type AgeTracker struct {
	maxAge      time.Duration
	version     uint64
	confirmedAt time.Time
	lastAttempt time.Time
	jitter      float64
}

// New returns a tracker with no confirmed version for configurations that may be up to maxAge old.
func New(maxAge time.Duration) *AgeTracker { return &AgeTracker{maxAge: maxAge} }

// Confirm records that version was the newest one at the given time; random is a random number between 0 and 1.
func (t *AgeTracker) Confirm(version uint64, at time.Time, random float64) {
	if version < t.version || !at.After(t.confirmedAt) {
		return
	}
	t.version, t.confirmedAt, t.jitter = version, at, random
}

// ShouldRead reports whether the process should read the configuration now, and if so records the attempt. notified is true
// if other processes normally notify this one; it then waits longer, so that they read first.
func (t *AgeTracker) ShouldRead(now time.Time, notified bool) bool {
	if now.Sub(t.lastAttempt) < t.fractionOfMaxAge(retryFraction) {
		return false
	}
	if notified && !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) < t.fractionOfMaxAge(notifiedFraction) {
		return false
	}
	if !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) < t.fractionOfMaxAge(readFraction)+time.Duration(t.jitter*float64(t.fractionOfMaxAge(spreadFraction))) {
		return false
	}
	t.lastAttempt = now
	return true
}

// Age returns the time since the last confirmation, or a day if there was none.
func (t *AgeTracker) Age(now time.Time) time.Duration {
	const never = 24 * time.Hour
	if t.confirmedAt.IsZero() {
		return never
	}
	return max(0, now.Sub(t.confirmedAt))
}

func (t *AgeTracker) fractionOfMaxAge(fraction float64) time.Duration {
	return time.Duration(fraction * float64(t.maxAge))
}
