// Package server holds what an agent knows of the backend server beside it: what the server announces of
// itself, and what its packets show. The package is pure: times come in as arguments.
package server

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Announcement is what a backend server says of itself in a heartbeat.
type Announcement struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	// Release is the version of the server's software.
	Release string
	// Slots is how many requests the server works on at the same time.
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the server stays slow after its start.
	ColdRemaining time.Duration
	// Sequence grows with each heartbeat of one start of the server.
	Sequence uint64
	// StartedAt is when the server started, by its own clock; zero where it doesn't say.
	StartedAt time.Time
}

// Errors that Announce returns.
var (
	ErrAddress = errors.New("server: announcement is of another address")
	ErrService = errors.New("server: announcement is of another service")
	ErrStale   = errors.New("server: announcement is of an earlier start")
)

// Change tells what an announcement changed.
type Change uint8

// The changes by an announcement.
const (
	// ChangeNone changes nothing but the time of the last heartbeat.
	ChangeNone Change = iota
	// ChangeStarted is the first heartbeat of a start of the server.
	ChangeStarted
	// ChangeDraining says that the server begins to drain.
	ChangeDraining
	// ChangeLeft says that the server withdrew.
	ChangeLeft
)

// String returns the change's name.
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

// Announce takes an announcement over. It returns an error when the announcement is not of this server, or is of
// a start that is known to be over; the state is unchanged then. A heartbeat that was overtaken changes nothing.
func (s *Server) Announce(a Announcement, now time.Time) (Change, error) {
	if a.Address != s.opts.Address {
		return ChangeNone, ErrAddress
	}
	if s.opts.Service != "" && a.Service != s.opts.Service {
		return ChangeNone, ErrService
	}
	if s.known && a.ID == s.last.ID && a.StartedAt.Equal(s.last.StartedAt) {
		return s.renew(a, now), nil
	}
	if s.known && a.StartedAt.Before(s.last.StartedAt) && !s.lapsed(now) {
		return ChangeNone, ErrStale
	}
	s.restart(now)
	s.take(a, now)
	return ChangeStarted, nil
}

// renew takes a heartbeat of the known start over; draining and leaving are never taken back.
func (s *Server) renew(a Announcement, now time.Time) Change {
	if s.gone || a.Sequence <= s.last.Sequence {
		return ChangeNone
	}
	change := ChangeNone
	switch {
	case s.last.Draining:
		a.Draining = true
	case a.Draining:
		change = ChangeDraining
	}
	s.take(a, now)
	return change
}

func (s *Server) take(a Announcement, now time.Time) {
	s.last, s.known, s.beat, s.opens = a, true, now, 0
	s.coldUntil = now.Add(a.ColdRemaining)
}

// lapsed reports whether the known start has missed so many heartbeats that one with an earlier birth may follow
// it: the server's clock was stepped between the two.
func (s *Server) lapsed(now time.Time) bool {
	return s.gone || now.Sub(s.beat) > missedBeats*s.opts.HeartbeatInterval
}

// restart forgets what a former start of the server has shown. The first start that becomes known is none: flows may
// have been seen before.
func (s *Server) restart(now time.Time) {
	if s.known {
		s.starts++
	}
	s.gone = false
	s.opens = 0
	s.heard = now
	s.mean, s.samples, s.check = 0, 0, 0
}

// IsNew reports whether a heartbeat shows that no agent has acknowledged one of this start of the server before, by a
// clock that the server shares: after an acknowledged heartbeat the next one comes a whole interval later. Such a server
// holds no flows.
func (a *Announcement) IsNew(clock time.Time, interval time.Duration) bool {
	const part = 0.8 // Heartbeats come somewhat early at times.
	age := clock.Sub(a.StartedAt)
	return a.ColdRemaining > 0 && !a.StartedAt.IsZero() && age >= 0 && float64(age) < part*float64(interval)
}

// Withdraw notes that the server id leaves for good. It reports whether that is this start of the server.
func (s *Server) Withdraw(id string) bool {
	if !s.known || s.last.ID != id {
		return false
	}
	s.gone = true
	return true
}

// LastAnnouncement returns the newest announcement; ok is false before the first one.
func (s *Server) LastAnnouncement() (a Announcement, ok bool) { return s.last, s.known }
