// Package server tracks the state of an agent's backend server. The state comes from the server's heartbeats and from the
// packets that the agent observes. The package performs no I/O and reads no clock: callers pass the current time.
package server

import (
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Heartbeat is the content of a heartbeat of a backend server.
type Heartbeat struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	// Release is the version of the server's software.
	Release string
	// Slots is the number of requests that the server processes concurrently.
	Slots    int
	Draining bool
	// ColdRemaining is the remaining time in which the server is slower because of its start.
	ColdRemaining time.Duration
	// Sequence increases with each heartbeat between two starts of the server.
	Sequence uint64
	// StartedAt is when the server started, by its own clock. It is zero if the heartbeat doesn't contain it.
	StartedAt time.Time
}

// Errors that RecordHeartbeat returns.
var (
	ErrAddress = errors.New("server: announcement is of another address")
	ErrService = errors.New("server: announcement is of another service")
	ErrStale   = errors.New("server: announcement is of an earlier start")
)

// Change is a change of the server's state.
type Change uint8

// The changes of a server's state.
const (
	// ChangeNone means that no change needs to be reported.
	ChangeNone Change = iota
	// ChangeStarted means that the heartbeat is the first one of its start, or that it shows that the start before the current
	// one is running after all.
	ChangeStarted
	// ChangeSettled means that the current start is certainly the one that is running. If there was an earlier start, the restart
	// is now counted.
	ChangeSettled
	// ChangeDraining means that the server began to drain.
	ChangeDraining
	// ChangeLeft means that the server shut down and sent a notice.
	ChangeLeft
)

// String returns the name of the change in logs.
func (c Change) String() string {
	switch c {
	case ChangeStarted:
		return "started"
	case ChangeSettled:
		return "settled"
	case ChangeDraining:
		return "draining"
	case ChangeLeft:
		return "left"
	default:
		return "same"
	}
}

// RecordHeartbeat records a heartbeat. It returns an error without changing the current start if the heartbeat is of another
// address or service, or of an earlier start of the server. Reordered and repeated heartbeats are ignored.
//
// Start times order two starts only as long as nothing depends on it but which of them gets new flows: clocks may be set, and
// heartbeats may be delayed. A start counts as the running one when it is settled.
func (s *Server) RecordHeartbeat(hb Heartbeat, now time.Time) (Change, error) {
	if hb.Address != s.opts.Address {
		return ChangeNone, ErrAddress
	}
	if s.opts.Service != "" && hb.Service != s.opts.Service {
		return ChangeNone, ErrService
	}
	switch {
	case s.known && hb.sameStart(&s.last):
		return s.update(hb, now), nil
	case s.unsettled && hb.sameStart(&s.previous) && hb.Sequence > s.previous.Sequence:
		// The start before the current one is running, or this is a delayed heartbeat of it. The next heartbeats tell.
	case s.known && hb.StartedAt.Before(s.last.StartedAt) && !s.heartbeatsLapsed(now):
		s.otherStartSeen, s.otherStartSeenAt = true, now
		return ChangeNone, ErrStale
	}
	s.begin(hb, now)
	return ChangeStarted, nil
}

// sameStart reports whether two heartbeats are of the same start of a server.
func (hb *Heartbeat) sameStart(other *Heartbeat) bool {
	return hb.ID == other.ID && hb.StartedAt.Equal(other.StartedAt)
}

// begin makes the start of a heartbeat the current one. One that has ended before has no flows left.
func (s *Server) begin(hb Heartbeat, now time.Time) {
	s.previous = Heartbeat{}
	if s.known && !s.ended {
		if !s.unsettled || s.previousReceivedAt.IsZero() {
			s.previousReceivedAt = s.receivedAt
		}
		s.previous, s.otherStartSeen, s.otherStartSeenAt = s.last, true, s.lastHeartbeatAt
		if s.left {
			s.previous.Sequence = math.MaxUint64 // No heartbeat follows a shutdown notice.
		}
	}
	if s.Settled() {
		s.ran, s.ranAt = s.last, s.settledAt
	}
	s.unsettled = true
	s.left, s.ended = false, false
	s.firstHeartbeatAt = now
	s.confirmed = false
	s.earliestStart = now
	s.limitEarliestStart(hb, now)
	s.unansweredOpens = 0
	s.refusesOpensUntil = time.Time{}
	s.lastPacketAt = now
	s.meanServiceTime, s.samples, s.minHealthCheckTime = 0, 0, 0
	s.store(hb, now)
}

// update records a heartbeat of the current start. Draining and leaving are final within a start. A lower sequence number than the last
// one counts only if no higher one came for a while: that one was wrong, or the server has started again at the same time of its clock.
func (s *Server) update(hb Heartbeat, now time.Time) Change {
	if s.left {
		return ChangeNone
	}
	change := ChangeNone
	if hb.Draining && !s.last.Draining {
		s.last.Draining, change = true, ChangeDraining
	}
	isNewest := hb.Sequence > s.last.Sequence
	if !isNewest && now.Sub(s.lastHeartbeatAt) <= sequenceTimeoutIntervals*s.opts.HeartbeatInterval {
		return change
	}
	hb.Draining = s.last.Draining
	s.ended = false
	s.store(hb, now)
	if s.unsettled && isNewest {
		s.limitEarliestStart(hb, now)
		if now.Sub(s.otherStartSeenAt) >= s.settleTime() {
			s.settle(now)
			change = max(change, ChangeSettled)
		}
	}
	return change
}

// limitEarliestStart records that the current start has begun as early as a heartbeat of it allows: those before it may have been
// delayed, so that they seem to show a later one.
func (s *Server) limitEarliestStart(hb Heartbeat, now time.Time) {
	if earliest := now.Add(-hb.maxAge(s.opts.HeartbeatInterval)); earliest.Before(s.earliestStart) {
		s.earliestStart = earliest
	}
}

// settleTime is how long no other start must have sent a heartbeat when a further one of the current start settles it. One that has been
// seen may only have lost some; one that hasn't been seen since ObservedSince would have sent its first one by then.
func (s *Server) settleTime() time.Duration {
	if s.otherStartSeen {
		return s.heartbeatTimeout()
	}
	return time.Duration(minIntervalFraction * float64(s.opts.HeartbeatInterval))
}

// settle records that the current start is certainly the one that is running: it has sent a further heartbeat, and no other start has
// sent one for settleTime. A single heartbeat proves nothing, since it may be a delayed one. If there was a start before, the server
// has started again.
func (s *Server) settle(now time.Time) {
	s.unsettled, s.settledAt = false, now
	if s.previous != (Heartbeat{}) {
		s.restarts++
	}
}

// store replaces the last heartbeat and clears the count of unanswered SYNs.
func (s *Server) store(hb Heartbeat, now time.Time) {
	s.last, s.known, s.lastHeartbeatAt, s.receivedAt, s.unansweredOpens = hb, true, now, now, 0
	s.coldUntil = now.Add(hb.ColdRemaining)
}

// heartbeatTimeout is the time without heartbeats after which those of the current start have lapsed.
func (s *Server) heartbeatTimeout() time.Duration {
	return heartbeatTimeoutIntervals * s.opts.HeartbeatInterval
}

// heartbeatsLapsed reports whether the heartbeats of the current start have timed out. A start with an earlier StartedAt is
// then accepted: the server's clock was set back between the two starts.
func (s *Server) heartbeatsLapsed(now time.Time) bool {
	return s.left || now.Sub(s.lastHeartbeatAt) > s.heartbeatTimeout()
}

// callTimeout is how long a server waits for the acknowledgement of a heartbeat.
const callTimeout = time.Second

// maxAge returns an upper bound for the time between the start of the server and the sending of the heartbeat, from the number of
// heartbeats: each is sent at most one interval after the end of the call before it. Lost heartbeats and clock steps don't make it
// too low.
func (hb *Heartbeat) maxAge(interval time.Duration) time.Duration {
	perHeartbeat := interval + callTimeout
	if hb.Sequence >= uint64(math.MaxInt64/perHeartbeat) {
		return math.MaxInt64
	}
	return time.Duration(hb.Sequence+1) * perHeartbeat
}

// StartedAfter returns the latest time before which the current start has certainly not begun: no server was running then, or an earlier start
// was, and the number of heartbeats since doesn't contradict that. It is zero if there was no such time. Unlike EarliestStart, it doesn't
// rest on the rate of heartbeats, which a server that stands still doesn't keep.
func (s *Server) StartedAfter() time.Time {
	if s.ranAt.After(s.absentAt) && !s.last.sameStart(&s.ran) && s.earliestStart.After(s.ranAt) {
		return s.ranAt
	}
	return s.absentAt
}

// EarliestStart returns the earliest time at which the current start may have begun, by the number of its heartbeats. It doesn't rest
// on the server's clock. Pauses of the caller, in which heartbeats may have been queued, aren't included.
func (s *Server) EarliestStart() time.Time { return s.earliestStart }

// PreviousStartReceivedAt returns when the last heartbeat of the start before the current one came, before any of another start. It is zero if
// there was no such start. The current start has begun later.
func (s *Server) PreviousStartReceivedAt() time.Time { return s.previousReceivedAt }

// Confirm records that the sender of a heartbeat was running when the heartbeat was processed.
func (s *Server) Confirm(hb Heartbeat) {
	if s.known && hb.sameStart(&s.last) {
		s.confirmed = true
	}
}

// Confirmed reports whether the current start was running when a heartbeat of it was processed, and no other start has been seen. It
// counts before the start is settled only beside other evidence: a proxy may hold heartbeats back.
func (s *Server) Confirmed() bool { return s.confirmed && !s.otherStartSeen }

// Settled reports whether the current start is certainly the one that is running.
func (s *Server) Settled() bool { return s.known && !s.unsettled }

// Ambiguous reports whether heartbeats of two starts have come and it isn't certain which of them is running.
func (s *Server) Ambiguous() bool { return s.unsettled && s.previous != (Heartbeat{}) }

// RecordShutdown records the shutdown notice of the server id, which came at receivedAt. It reports whether id is the server
// of the last heartbeat. A server that was first seen after receivedAt has the same id as the one that shut down. The server runs on until
// it has ended, and keeps its flows.
func (s *Server) RecordShutdown(id string, receivedAt time.Time) bool {
	if !s.known || s.last.ID != id || s.firstHeartbeatAt.After(receivedAt) {
		return false
	}
	s.left = true
	return true
}

// IsLeaving reports whether the server has sent its shutdown notice and isn't known to have ended.
func (s *Server) IsLeaving() bool { return s.left && !s.ended }

// LastHeartbeat returns the last heartbeat; ok is false before the first one.
func (s *Server) LastHeartbeat() (hb Heartbeat, ok bool) { return s.last, s.known }
