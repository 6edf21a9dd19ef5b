package server

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var (
	base    = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

const interval = time.Second

func newServer() *Server {
	return New(Options{Address: address, Service: "desk", HeartbeatInterval: interval})
}

func beat(sequence uint64) Announcement {
	return Announcement{ID: "i-1", Service: "desk", Address: address, Slots: 4, Sequence: sequence, StartedAt: base}
}

func mustAnnounce(t *testing.T, s *Server, a Announcement, now time.Time) Change {
	t.Helper()
	c, err := s.Announce(a, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestNothingIsTakenBeforeTheFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	s := newServer()
	is.Equal(s.RefusalReason(base), ReasonNoHeartbeat)
	is.Equal(mustAnnounce(t, s, beat(1), base), ChangeStarted)
	is.Equal(s.RefusalReason(base), ReasonNone)
}

// Draining, once acknowledged, is not taken back by a heartbeat that was overtaken.
func TestDrainingStays(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	drain := beat(5)
	drain.Draining = true
	is.Equal(mustAnnounce(t, s, drain, base), ChangeDraining)
	is.Equal(mustAnnounce(t, s, beat(4), base), ChangeNone)
	is.Equal(s.RefusalReason(base), ReasonDraining)
	is.Equal(mustAnnounce(t, s, beat(6), base), ChangeNone)
	is.Equal(s.RefusalReason(base), ReasonDraining)
}

// A heartbeat that comes twice, since its answer was lost, is acknowledged again.
func TestRepeatedHeartbeatIsNoError(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	is.Equal(mustAnnounce(t, s, beat(1), base), ChangeNone)
}

// A delayed heartbeat of a start that is over doesn't replace the new one.
func TestDelayedHeartbeatOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	s := newServer()
	next := beat(1)
	next.ID, next.StartedAt = "i-2", base.Add(10*time.Second)
	mustAnnounce(t, s, next, base)
	_, err := s.Announce(beat(90), base)
	is.True(errors.Is(err, ErrStale))
	is.Equal(s.Restarts(), 0)
}

// A server whose clock was stepped back between two starts is taken once the former start has been silent.
func TestStartAfterAClockStep(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(9), base)
	back := beat(1)
	back.StartedAt = base.Add(-time.Minute)
	_, err := s.Announce(back, base.Add(interval))
	is.True(errors.Is(err, ErrStale))
	is.Equal(mustAnnounce(t, s, back, base.Add(4*interval)), ChangeStarted)
	is.Equal(s.Restarts(), 1)
}

// A server that starts again under its old name has lost its flows.
func TestRestartUnderTheSameName(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(9), base)
	again := beat(1)
	again.StartedAt = base.Add(20 * time.Second)
	is.Equal(mustAnnounce(t, s, again, base.Add(20*time.Second)), ChangeStarted)
	is.Equal(s.Restarts(), 1)
}

func TestForeignHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newServer()
	other := beat(1)
	other.Address = netip.MustParseAddrPort("10.0.0.2:80")
	_, err := s.Announce(other, base)
	is.True(errors.Is(err, ErrAddress))
	other = beat(1)
	other.Service = "intake"
	_, err = s.Announce(other, base)
	is.True(errors.Is(err, ErrService))
	is.Equal(s.RefusalReason(base), ReasonNoHeartbeat)
}

func TestSilence(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	is.Equal(s.RefusalReason(base.Add(2*interval)), ReasonNone)
	is.Equal(s.RefusalReason(base.Add(4*interval)), ReasonHeartbeatsMissing)
	is.True(!s.IsDead(base.Add(4 * interval)))
	is.True(s.IsDead(base.Add(5 * interval)))
	s.RecordPacket(base.Add(5 * interval))
	is.True(!s.IsDead(base.Add(5 * interval))) // Its packets show that it lives.
}

// Silence while the agent itself stood still says nothing of the server.
func TestPauseOfTheAgentIsNoSilence(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	s.CompensatePause(10 * time.Second)
	is.Equal(s.RefusalReason(base.Add(10*time.Second)), ReasonNone)
}

func TestUnansweredOpens(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	s.RecordOpen(base)
	s.RecordOpen(base.Add(10 * time.Millisecond))
	is.Equal(s.RefusalReason(base.Add(openWait)), ReasonNone)
	is.Equal(s.RefusalReason(base.Add(openWait+time.Millisecond)), ReasonOpensUnanswered)
	s.RecordPacket(base.Add(200 * time.Millisecond))
	is.Equal(s.RefusalReason(base.Add(200*time.Millisecond)), ReasonNone)
}

func TestMeanIgnoresQueuedAndRareLongRequests(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	is.Equal(s.MeanServiceTime(), time.Duration(0))
	for range 50 {
		s.RecordResponse(20*time.Millisecond, 1)
	}
	s.RecordResponse(2*time.Second, 1) // An outlier.
	s.RecordResponse(time.Second, 9)   // Stood in the server's queue.
	is.True(s.MeanServiceTime() < 25*time.Millisecond)
	is.True(s.MeanServiceTime() >= 20*time.Millisecond)
}

// A server that left opens unanswered gets new flows again after its next heartbeat: nothing else would show that it is
// back when no flow is open.
func TestHeartbeatEndsMuteness(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustAnnounce(t, s, beat(1), base)
	s.RecordOpen(base)
	s.RecordOpen(base)
	is.Equal(s.RefusalReason(base.Add(interval)), ReasonOpensUnanswered)
	mustAnnounce(t, s, beat(2), base.Add(interval))
	is.Equal(s.RefusalReason(base.Add(interval)), ReasonNone)
}

// A server younger than a heartbeat interval has had none acknowledged; one whose age can't be told counts as old.
func TestNewServer(t *testing.T) {
	is := is.New(t)
	a := beat(3)
	a.ColdRemaining = time.Second
	is.True(a.IsNew(born(200*time.Millisecond), interval))
	is.True(!a.IsNew(born(interval), interval))
	is.True(!a.IsNew(born(-time.Second), interval)) // The clock was stepped back.
	a.ColdRemaining = 0
	is.True(!a.IsNew(born(200*time.Millisecond), interval))
}

// born returns the time some while after the birth of the server of beat.
func born(after time.Duration) time.Time { return base.Add(after) }
