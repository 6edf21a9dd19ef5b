// Package server tracks the state of an agent's backend server. The state comes from the server's heartbeats and from the
// packets that the agent observes. The package performs no I/O and reads no clock: callers pass the current time.
package server

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Announcement is the content of a backend server's heartbeat.
type Announcement struct {
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
	// StartedAt is when the server started, by its own clock. It is zero if the server doesn't announce it.
	StartedAt time.Time
}

// Errors that Announce returns.
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
	// ChangeStarted means that the server announced itself for the first time or after a restart.
	ChangeStarted
	// ChangeDraining means that the server began to drain.
	ChangeDraining
	// ChangeLeft means that the server shut down and withdrew its announcement.
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

// Announce processes an announcement. It returns an error without changing the state if the announcement is for another
// address or service, or belongs to an earlier start of the server. Reordered and repeated heartbeats are ignored.
func (s *Server) Announce(a Announcement, now time.Time) (Change, error) {
	if a.Address != s.opts.Address {
		return ChangeNone, ErrAddress
	}
	if s.opts.Service != "" && a.Service != s.opts.Service {
		return ChangeNone, ErrService
	}
	if s.announced && a.ID == s.last.ID && a.StartedAt.Equal(s.last.StartedAt) {
		return s.handleHeartbeat(a, now), nil
	}
	if s.announced && a.StartedAt.Before(s.last.StartedAt) && !s.heartbeatsLapsed(now) {
		return ChangeNone, ErrStale
	}
	s.reset(now)
	s.store(a, now)
	return ChangeStarted, nil
}

// handleHeartbeat processes a heartbeat of the current start. Draining and leaving are final within a start.
func (s *Server) handleHeartbeat(a Announcement, now time.Time) Change {
	if s.left || a.Sequence <= s.last.Sequence {
		return ChangeNone
	}
	change := ChangeNone
	switch {
	case s.last.Draining:
		a.Draining = true
	case a.Draining:
		change = ChangeDraining
	}
	s.store(a, now)
	return change
}

// store replaces the last announcement. A heartbeat also clears the count of unanswered SYNs.
func (s *Server) store(a Announcement, now time.Time) {
	s.last, s.announced, s.lastHeartbeat, s.unansweredOpens = a, true, now, 0
	s.coldUntil = now.Add(a.ColdRemaining)
}

// heartbeatsLapsed reports whether the heartbeats of the current start have timed out. A start with an earlier StartedAt is
// then accepted: the server's clock was set back between the two starts.
func (s *Server) heartbeatsLapsed(now time.Time) bool {
	return s.left || now.Sub(s.lastHeartbeat) > heartbeatTimeoutIntervals*s.opts.HeartbeatInterval
}

// reset discards the state of an earlier start. The first announcement doesn't count as a restart, since the agent may
// have seen flows of this start before.
func (s *Server) reset(now time.Time) {
	if s.announced {
		s.restarts++
	}
	s.left = false
	s.unansweredOpens = 0
	s.lastPacket = now
	s.meanServiceTime, s.samples, s.healthCheckTime = 0, 0, 0
}

// IsNew reports whether this is a heartbeat of a server that can't hold flows yet, since no agent has acknowledged one of
// its heartbeats before: the server is younger than interval, and after an acknowledgement the next heartbeat comes a
// whole interval later. now must be from a clock that the server shares.
func (a *Announcement) IsNew(now time.Time, interval time.Duration) bool {
	const maxAgeFraction = 0.8 // Heartbeats may be sent slightly early.
	age := now.Sub(a.StartedAt)
	return a.ColdRemaining > 0 && !a.StartedAt.IsZero() && age >= 0 && float64(age) < maxAgeFraction*float64(interval)
}

// Withdraw records that the server id has shut down. It reports whether id is the announced server.
func (s *Server) Withdraw(id string) bool {
	if !s.announced || s.last.ID != id {
		return false
	}
	s.left = true
	return true
}

// LastAnnouncement returns the last announcement; ok is false before the first one.
func (s *Server) LastAnnouncement() (a Announcement, ok bool) { return s.last, s.announced }
