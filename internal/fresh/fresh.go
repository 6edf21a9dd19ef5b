// Package fresh decides when a process reads the configuration from the store, so that no process of the deployment uses
// an outdated one for long.
//
// Watches report changes immediately, but may miss changes without an error. Processes therefore also share the time at
// which any of them last read the newest version. A process that finds this time too long ago reads the configuration and
// notifies the others, so that even with many processes the store gets only one or two reads
// in each readFraction of the maximum age.
//
// The store may return from an older copy, which its era tells. The operator then writes again what was lost, but until then a read
// returns an older configuration. A read doesn't show which version is the newest until settleTime after the process first saw the
// era, which is its start if it doesn't know an earlier one.
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
	// settleTime is how long after its return from an older copy the store may hold an older configuration than was accepted.
	settleTime = 2 * time.Second
)

// AgeTracker tracks the age of the configuration. It isn't safe for concurrent use.
type AgeTracker struct {
	maxAge      time.Duration
	version     uint64
	confirmedAt time.Time
	lastAttempt time.Time
	// lastRead is when the last read that succeeded began, era the store's era in it, and eraSeen when that era was first seen.
	lastRead time.Time
	era      uint64
	eraSeen  time.Time
	jitter   float64
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

// RecordRead records a read of the store that began at started and ended at now, in an era of the store; random is a random number
// between 0 and 1. It returns when the version that was read is known to have been the newest one: at started, or the zero time if the
// store may hold an older one.
func (t *AgeTracker) RecordRead(era uint64, started, now time.Time, random float64) (confirmed time.Time) {
	if t.eraSeen.IsZero() || era != t.era {
		t.era, t.eraSeen = era, now
	}
	if started.After(t.lastRead) {
		t.lastRead, t.jitter = started, random
	}
	if started.Sub(t.eraSeen) < settleTime {
		return time.Time{}
	}
	return started
}

// ShouldRead reports whether the process should read the configuration now, and if so records the attempt. notified is true
// if other processes normally notify this one; it then waits longer, so that they read first.
func (t *AgeTracker) ShouldRead(now time.Time, notified bool) bool {
	if now.Sub(t.lastAttempt) < t.fractionOfMaxAge(retryFraction) {
		return false
	}
	known := t.confirmedAt
	if t.lastRead.After(known) {
		known = t.lastRead
	}
	wait := t.fractionOfMaxAge(readFraction) + time.Duration(t.jitter*float64(t.fractionOfMaxAge(spreadFraction)))
	if notified {
		wait = max(wait, t.fractionOfMaxAge(notifiedFraction))
	}
	if !known.IsZero() && now.Sub(known) < wait {
		return false
	}
	t.lastAttempt = now
	return true
}

// ShouldReadOnRequest reports whether a read that was requested should be made now. While a read confirms nothing, requested reads are
// spread like retries: each packet without a route requests one.
func (t *AgeTracker) ShouldReadOnRequest(now time.Time) bool {
	settled := t.eraSeen.IsZero() || now.Sub(t.eraSeen) >= settleTime
	return settled || now.Sub(t.lastRead) >= t.fractionOfMaxAge(retryFraction)
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
