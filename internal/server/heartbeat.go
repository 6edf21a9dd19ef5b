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
	// ChangeStarted means that the first heartbeat came from the server, or the first one after a restart.
	ChangeStarted
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
	case ChangeDraining:
		return "draining"
	case ChangeLeft:
		return "left"
	default:
		return "same"
	}
}

// RecordHeartbeat records a heartbeat. It returns an error without changing the state if the heartbeat is of another address
// or service, or of an earlier start of the server. Reordered and repeated heartbeats are ignored.
func (s *Server) RecordHeartbeat(hb Heartbeat, now time.Time) (Change, error) {
	if hb.Address != s.opts.Address {
		return ChangeNone, ErrAddress
	}
	if s.opts.Service != "" && hb.Service != s.opts.Service {
		return ChangeNone, ErrService
	}
	if s.known && hb.ID == s.last.ID && hb.StartedAt.Equal(s.last.StartedAt) {
		return s.update(hb, now), nil
	}
	if s.known && hb.StartedAt.Before(s.last.StartedAt) && !s.heartbeatsLapsed(now) {
		return ChangeNone, ErrStale
	}
	restarted := s.isRestart(&hb, now)
	if s.known && hb.StartedAt.Before(s.last.StartedAt) {
		s.replaced = s.last
	}
	s.reset(restarted, now)
	s.store(hb, now)
	return ChangeStarted, nil
}

// isRestart reports whether a heartbeat of another start than the last one proves that the server has started again, so that
// its flows are lost. A delayed heartbeat of an earlier start proves nothing, whether it comes before or after those of
// the running server.
func (s *Server) isRestart(hb *Heartbeat, now time.Time) bool {
	switch {
	case !s.known, hb.ID == s.replaced.ID && hb.StartedAt.Equal(s.replaced.StartedAt):
		return false
	case hb.StartedAt.Before(s.last.StartedAt):
		return hb.maxAge(s.opts.HeartbeatInterval) <= now.Sub(s.lastHeartbeatAt)
	}
	return !hb.StartedAt.Before(s.opts.ObservedSince)
}

// update records a heartbeat of the current start. Draining and leaving are final within a start.
func (s *Server) update(hb Heartbeat, now time.Time) Change {
	if s.left || hb.Sequence <= s.last.Sequence {
		return ChangeNone
	}
	change := ChangeNone
	switch {
	case s.last.Draining:
		hb.Draining = true
	case hb.Draining:
		change = ChangeDraining
	}
	s.store(hb, now)
	return change
}

// store replaces the last heartbeat and clears the count of unanswered SYNs.
func (s *Server) store(hb Heartbeat, now time.Time) {
	s.last, s.known, s.lastHeartbeatAt, s.unansweredOpens = hb, true, now, 0
	s.coldUntil = now.Add(hb.ColdRemaining)
}

// heartbeatsLapsed reports whether the heartbeats of the current start have timed out. A start with an earlier StartedAt is
// then accepted: the server's clock was set back between the two starts.
func (s *Server) heartbeatsLapsed(now time.Time) bool {
	return s.left || now.Sub(s.lastHeartbeatAt) > heartbeatTimeoutIntervals*s.opts.HeartbeatInterval
}

// reset discards the state of an earlier start and counts the restart if it is certain.
func (s *Server) reset(restarted bool, now time.Time) {
	if restarted {
		s.restarts++
	}
	s.left = false
	s.firstHeartbeatAt = now
	s.unansweredOpens = 0
	s.refusesOpensUntil = time.Time{}
	s.lastPacketAt = now
	s.meanServiceTime, s.samples, s.minHealthCheckTime = 0, 0, 0
}

// IsNew reports whether this is a heartbeat of a server that can't hold flows yet, since no agent has acknowledged one of
// its heartbeats before: the server is younger than interval, and after an acknowledgement the next heartbeat comes a
// whole interval later. now must be from a clock that the server shares.
func (hb *Heartbeat) IsNew(now time.Time, interval time.Duration) bool {
	const maxAgeFraction = 0.8 // Heartbeats may be sent slightly early.
	age := now.Sub(hb.StartedAt)
	return hb.ColdRemaining > 0 && !hb.StartedAt.IsZero() && age >= 0 && float64(age) < maxAgeFraction*float64(interval)
}

// callTimeout is how long a server waits for the acknowledgement of a heartbeat.
const callTimeout = time.Second

// maxAge returns an upper bound for the time since the server started, from the number of its heartbeats: each is sent at
// most one interval after the end of the call before it. Lost and late heartbeats and clock steps don't make it too low.
func (hb *Heartbeat) maxAge(interval time.Duration) time.Duration {
	perHeartbeat := interval + callTimeout
	if hb.Sequence >= uint64(math.MaxInt64/perHeartbeat) {
		return math.MaxInt64
	}
	return time.Duration(hb.Sequence+1) * perHeartbeat
}

// StartedSince reports whether the server certainly started after t, a time of a clock that the server shares. Both the
// start time and the number of heartbeats must show it: the wall clock may have been set back since the server's start.
func (hb *Heartbeat) StartedSince(t, now time.Time, interval time.Duration) bool {
	return hb.StartedAt.After(t) && hb.maxAge(interval) < now.Sub(t)
}

// EarliestStart returns the earliest time at which the server may have started, by its start time, which is of a clock that
// the server shares, and by the number of its heartbeats.
func (hb *Heartbeat) EarliestStart(now time.Time, interval time.Duration) time.Time {
	earliest := now.Add(-hb.maxAge(interval))
	if hb.StartedAt.After(earliest) {
		return hb.StartedAt
	}
	return earliest
}

// RecordShutdown records the shutdown notice of the server id, which came at receivedAt. It reports whether id is the server
// of the last heartbeat. A server that was first seen after receivedAt has the same id as the one that shut down.
func (s *Server) RecordShutdown(id string, receivedAt time.Time) bool {
	if !s.known || s.last.ID != id || s.firstHeartbeatAt.After(receivedAt) {
		return false
	}
	s.left = true
	return true
}

// LastHeartbeat returns the last heartbeat; ok is false before the first one.
func (s *Server) LastHeartbeat() (hb Heartbeat, ok bool) { return s.last, s.known }
