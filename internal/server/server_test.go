package server

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var (
	epoch   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

const interval = time.Second

func newServer() *Server {
	return New(Options{Address: address, Service: "desk", HeartbeatInterval: interval})
}

// heartbeat returns a heartbeat of a server that started at epoch.
func heartbeat(sequence uint64) Heartbeat {
	return Heartbeat{ID: "i-1", Service: "desk", Address: address, Slots: 4, Sequence: sequence, StartedAt: epoch}
}

func mustRecordHeartbeat(t *testing.T, s *Server, hb Heartbeat, now time.Time) Change {
	t.Helper()
	c, err := s.RecordHeartbeat(hb, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestNewFlowsAreRefusedBeforeFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	s := newServer()
	is.Equal(s.RefusalReason(epoch), ReasonNoHeartbeat)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(1), epoch), ChangeStarted)
	is.Equal(s.RefusalReason(epoch), ReasonNone)
}

// Guards against a server that counts as failed, with all its flows, since one wrong sequence number makes all later ones look old.
func TestWrongSequenceNumberIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	mustRecordHeartbeat(t, s, heartbeat(1<<39), epoch.Add(interval/2))
	for i := range uint64(8) {
		now := epoch.Add(time.Duration(i+1) * interval)
		is.Equal(mustRecordHeartbeat(t, s, heartbeat(2+i), now), ChangeNone)
		is.Equal(s.RefusalReason(now.Add(interval-1)), ReasonNone)
	}
	last, _ := s.LastHeartbeat()
	is.Equal(last.Sequence, uint64(9))
	mustRecordHeartbeat(t, s, heartbeat(1<<39), epoch.Add(9*interval))
	drain := heartbeat(10)
	drain.Draining = true
	is.Equal(mustRecordHeartbeat(t, s, drain, epoch.Add(10*interval)), ChangeDraining) // It is acknowledged, so it must count.
	is.Equal(s.RefusalReason(epoch.Add(10*interval)), ReasonDraining)
}

// A server that has reported draining must not get new flows because of a reordered or later heartbeat without it.
func TestHeartbeatDoesNotEndDraining(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	drain := heartbeat(5)
	drain.Draining = true
	is.Equal(mustRecordHeartbeat(t, s, drain, epoch), ChangeDraining)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(4), epoch), ChangeNone)
	is.Equal(s.RefusalReason(epoch), ReasonDraining)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(6), epoch), ChangeNone)
	is.Equal(s.RefusalReason(epoch), ReasonDraining)
}

// A server repeats a heartbeat whose acknowledgement was lost. It must be acknowledged again.
func TestRepeatedHeartbeatIsAccepted(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(1), epoch), ChangeNone)
}

// A delayed heartbeat of an earlier start must not replace the state of the current one.
func TestHeartbeatOfEarlierStartIsRejected(t *testing.T) {
	is := is.New(t)
	s := newServer()
	next := heartbeat(1)
	next.ID, next.StartedAt = "i-2", epoch.Add(10*time.Second)
	mustRecordHeartbeat(t, s, next, epoch)
	_, err := s.RecordHeartbeat(heartbeat(90), epoch)
	is.True(errors.Is(err, ErrStale))
	is.Equal(s.Restarts(), 0)
}

// If the server's clock is set back between two starts, the new start looks older. It must be accepted once the heartbeats
// of the earlier one have timed out.
func TestStartIsAcceptedAfterClockStep(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(9), epoch)
	back := heartbeat(1)
	back.StartedAt = epoch.Add(-time.Minute)
	_, err := s.RecordHeartbeat(back, epoch.Add(interval))
	is.True(errors.Is(err, ErrStale))
	is.Equal(mustRecordHeartbeat(t, s, back, epoch.Add(4*interval)), ChangeStarted)
	is.Equal(s.Restarts(), 0) // It may be a delayed heartbeat.
	back.Sequence = 2
	is.Equal(mustRecordHeartbeat(t, s, back, epoch.Add(5*interval)), ChangeSettled)
	is.Equal(s.Restarts(), 1)
}

// A restart under the same id must be detected, since the server has lost its flows.
func TestRestartWithSameIDIsDetected(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(9), epoch)
	again := heartbeat(1)
	again.StartedAt = epoch.Add(20 * time.Second)
	is.Equal(mustRecordHeartbeat(t, s, again, epoch.Add(20*time.Second)), ChangeStarted)
	is.Equal(s.Restarts(), 0) // It may be a delayed heartbeat.
	again.Sequence = 2
	is.Equal(mustRecordHeartbeat(t, s, again, epoch.Add(21*time.Second)), ChangeSettled)
	is.Equal(s.Restarts(), 1)
}

func TestHeartbeatWithWrongAddressOrServiceIsRejected(t *testing.T) {
	is := is.New(t)
	s := newServer()
	other := heartbeat(1)
	other.Address = netip.MustParseAddrPort("10.0.0.2:80")
	_, err := s.RecordHeartbeat(other, epoch)
	is.True(errors.Is(err, ErrAddress))
	other = heartbeat(1)
	other.Service = "intake"
	_, err = s.RecordHeartbeat(other, epoch)
	is.True(errors.Is(err, ErrService))
	is.Equal(s.RefusalReason(epoch), ReasonNoHeartbeat)
}

// Guards against the loss of the flows of a server that only stands still: silence isn't its end, nor is a refused connection while it sends.
func TestSilentServerHasEndedOnceItRefusesConnections(t *testing.T) {
	is := is.New(t)
	s := newServer()
	is.True(!s.RecordExitCheck(true, epoch)) // No heartbeat has come.
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	is.Equal(s.RefusalReason(epoch.Add(2*interval)), ReasonNone)
	is.Equal(s.RefusalReason(epoch.Add(4*interval)), ReasonHeartbeatsMissing)
	is.True(!s.MayHaveEnded(epoch.Add(4 * interval)))
	is.True(!s.RecordExitCheck(true, epoch.Add(4*interval)))
	is.True(!s.HasEnded())

	is.True(s.MayHaveEnded(epoch.Add(5 * interval)))
	is.True(!s.RecordExitCheck(false, epoch.Add(5*interval))) // It accepts connections, or nothing can be told.
	is.True(!s.RecordExitCheck(false, epoch.Add(1000*interval)))
	is.True(!s.HasEnded())
	s.RecordPacket(epoch.Add(5 * interval))
	is.True(!s.RecordExitCheck(true, epoch.Add(5*interval))) // A packet shows that the server runs.
	is.True(!s.HasEnded())

	is.True(s.RecordExitCheck(true, epoch.Add(10*interval)))
	is.True(s.HasEnded())
	is.True(!s.MayHaveEnded(epoch.Add(10 * interval)))
	is.Equal(s.RefusalReason(epoch.Add(10*interval)), ReasonHeartbeatsMissing)
	s.RecordPacket(epoch.Add(11 * interval))
	is.True(!s.HasEnded()) // It has started again.
	is.True(s.RecordExitCheck(true, epoch.Add(16*interval)))
	mustRecordHeartbeat(t, s, heartbeat(2), epoch.Add(17*interval))
	is.True(!s.HasEnded())
	is.Equal(s.RefusalReason(epoch.Add(17*interval)), ReasonNone)
}

// The flows of a silent server that has ended are lost then, and not a second time when the server starts again.
func TestStartAfterEndOfSilentServerIsNoRestart(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(9), epoch)
	is.True(s.RecordExitCheck(true, epoch.Add(5*interval)))
	next := heartbeat(1)
	next.ID, next.StartedAt = "i-2", epoch.Add(6*interval)
	mustRecordHeartbeat(t, s, next, epoch.Add(6*interval))
	is.True(!s.HasEnded())
	for range 5 {
		next.Sequence++
		mustRecordHeartbeat(t, s, next, epoch.Add(time.Duration(6+next.Sequence)*interval))
	}
	is.True(s.Settled())
	is.Equal(s.Restarts(), 0)
}

// Heartbeats missed while the agent's process was paused must not count against the server.
func TestAgentPauseIsNotCountedAsMissingHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	s.CompensatePause(10 * time.Second)
	is.Equal(s.RefusalReason(epoch.Add(10*time.Second)), ReasonNone)
}

func TestUnansweredOpens(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	s.RecordOpen(epoch)
	s.RecordOpen(epoch.Add(10 * time.Millisecond))
	is.Equal(s.RefusalReason(epoch.Add(openTimeout)), ReasonNone)
	is.Equal(s.RefusalReason(epoch.Add(openTimeout+time.Millisecond)), ReasonOpensUnanswered)
	s.RecordPacket(epoch.Add(200 * time.Millisecond))
	is.Equal(s.RefusalReason(epoch.Add(200*time.Millisecond)), ReasonNone)
}

func TestMeanIgnoresQueuedAndRareLongRequests(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	is.Equal(s.MeanServiceTime(), time.Duration(0))
	for range 50 {
		s.RecordServiceTime(20 * time.Millisecond)
	}
	s.RecordServiceTime(2 * time.Second) // An outlier.
	is.True(s.MeanServiceTime() < 25*time.Millisecond)
	is.True(s.MeanServiceTime() >= 20*time.Millisecond)
}

// A server with unanswered SYNs must get new flows again after its next heartbeat. Without open flows there are no packets
// from which its recovery could be seen.
func TestHeartbeatClearsUnansweredOpens(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	s.RecordOpen(epoch)
	s.RecordOpen(epoch)
	is.Equal(s.RefusalReason(epoch.Add(interval)), ReasonOpensUnanswered)
	mustRecordHeartbeat(t, s, heartbeat(2), epoch.Add(interval))
	is.Equal(s.RefusalReason(epoch.Add(interval)), ReasonNone)
}

// The start of a server is dated by the number of its heartbeats alone: its start time may be of a clock that was set. Guards against
// flows that are taken for those of an earlier start, or for unknown ones of a server that seems to be new.
func TestEarliestStartDoesNotRestOnClocks(t *testing.T) {
	for _, startTime := range []time.Time{{}, epoch.Add(-time.Hour), epoch.Add(-time.Second), epoch, epoch.Add(1300 * time.Millisecond), epoch.Add(time.Hour)} {
		for _, cold := range []time.Duration{0, time.Millisecond, 2 * time.Second} {
			is := is.New(t)
			s := newServer()
			hb := heartbeat(3)
			hb.StartedAt, hb.ColdRemaining = startTime, cold
			mustRecordHeartbeat(t, s, hb, epoch)
			is.Equal(s.EarliestStart(), epoch.Add(-4*(interval+callTimeout)))
		}
	}
}

// Two starts whose heartbeats come in turn can't both be running. Guards against a restart that is counted, so that flows are reset, by
// the order of start times: a clock was set back between the two starts, and the heartbeats of the first one are delayed.
func TestRestartIsNotCountedWhileBothStartsSendHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(30), epoch)
	mustRecordHeartbeat(t, s, heartbeat(31), epoch.Add(interval))
	is.True(s.Settled())
	delayed := heartbeat(1)
	delayed.ID, delayed.StartedAt = "i-0", epoch.Add(time.Minute)
	now := epoch.Add(interval)
	for i := range uint64(6) {
		now = now.Add(interval)
		delayed.Sequence++
		is.Equal(mustRecordHeartbeat(t, s, delayed, now), ChangeStarted)
		is.Equal(mustRecordHeartbeat(t, s, heartbeat(32+i), now.Add(interval/2)), ChangeStarted) // It is running.
		is.Equal(s.Restarts(), 0)
	}
	for i := range uint64(4) {
		mustRecordHeartbeat(t, s, heartbeat(40+i), now.Add(time.Duration(i+1)*interval))
	}
	is.True(s.Settled())
	last, _ := s.LastHeartbeat()
	is.Equal(last.ID, "i-1")
	is.True(s.EarliestStart().Before(epoch)) // Whatever was seen of it is kept.
}

// A start isn't settled while the first heartbeat of another one may still come. Guards against the reset of flows by two delayed
// heartbeats that come at once after the agent's start.
func TestStartIsSettledAfterHeartbeatInterval(t *testing.T) {
	is := is.New(t)
	s := New(Options{Address: address, Service: "desk", HeartbeatInterval: interval, ObservedSince: epoch})
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(2), epoch.Add(time.Millisecond)), ChangeNone)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(3), epoch.Add(interval)), ChangeSettled)
	is.Equal(s.Restarts(), 0)
}

// Once another start has been seen, its next heartbeats may be lost. Guards against a restart that is counted too early.
func TestStartIsSettledAfterHeartbeatTimeoutOfAnother(t *testing.T) {
	is := is.New(t)
	s := New(Options{Address: address, Service: "desk", HeartbeatInterval: interval, ObservedSince: epoch})
	next := heartbeat(1)
	next.ID, next.StartedAt = "i-2", epoch.Add(time.Second)
	mustRecordHeartbeat(t, s, next, epoch)
	_, err := s.RecordHeartbeat(heartbeat(30), epoch.Add(interval))
	is.True(errors.Is(err, ErrStale))
	for i, want := range []Change{ChangeNone, ChangeNone, ChangeSettled} {
		next.Sequence++
		is.Equal(mustRecordHeartbeat(t, s, next, epoch.Add(time.Duration(i+2)*interval)), want)
	}
}

// The first heartbeat that comes of a start may be a delayed one, and its number too low for the server's age. Guards against an agent
// that denies the flows of a server that is older than the agent.
func TestEarliestStartWithDelayedFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(2), epoch)
	mustRecordHeartbeat(t, s, heartbeat(30), epoch.Add(interval))
	is.True(s.Settled())
	is.True(s.EarliestStart().Before(epoch.Add(-30 * interval)))
}

// Two copies of one delayed heartbeat settle nothing.
func TestRepeatedHeartbeatDoesNotSettleStart(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(2), epoch)
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(2), epoch.Add(10*interval)), ChangeNone)
	is.True(!s.Settled())
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(1), epoch.Add(20*interval)), ChangeNone)
	is.True(!s.Settled())
}

// A start is confirmed by its own heartbeats only, and not once heartbeats of two starts have come: a proxy may have held one back.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	s := newServer()
	s.Confirm(heartbeat(1))
	is.True(!s.Confirmed())
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	other := heartbeat(1)
	other.StartedAt = epoch.Add(time.Second)
	s.Confirm(other)
	is.True(!s.Confirmed())
	s.Confirm(heartbeat(1))
	is.True(s.Confirmed())
	mustRecordHeartbeat(t, s, other, epoch)
	is.True(!s.Confirmed())
	s.Confirm(other)
	is.True(!s.Confirmed())
}

// A delayed heartbeat of an earlier start may arrive while the heartbeats of the running server are missing. It must not
// count as a restart, nor must the running server's next heartbeat: its flows would be reset.
func TestDelayedHeartbeatIsNotCountedAsRestart(t *testing.T) {
	is := is.New(t)
	s := newServer()
	current := heartbeat(20)
	current.ID, current.StartedAt = "i-2", epoch.Add(10*time.Second)
	mustRecordHeartbeat(t, s, current, epoch)
	mustRecordHeartbeat(t, s, heartbeat(90), epoch.Add(4*interval))
	is.Equal(s.Restarts(), 0)
	current.Sequence = 21
	mustRecordHeartbeat(t, s, current, epoch.Add(5*interval))
	is.Equal(s.Restarts(), 0)
	current.Sequence, current.StartedAt = 1, epoch.Add(20*time.Second)
	mustRecordHeartbeat(t, s, current, epoch.Add(10*interval))
	is.Equal(s.Restarts(), 0) // It may be a delayed heartbeat.
	current.Sequence = 2
	mustRecordHeartbeat(t, s, current, epoch.Add(11*interval))
	is.Equal(s.Restarts(), 1)
}

// A shutdown notice that is processed after the server has started again under the same id must not reset the flows of the
// new start.
func TestShutdownNoticeOfEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(9), epoch)
	again := heartbeat(1)
	again.StartedAt = epoch.Add(20 * time.Second)
	mustRecordHeartbeat(t, s, again, epoch.Add(20*time.Second))
	is.True(!s.RecordShutdown("i-1", epoch.Add(19*time.Second)))
	is.True(!s.HasEnded())
	is.True(s.RecordShutdown("i-1", epoch.Add(21*time.Second)))
}

// A server that has sent its shutdown notice isn't dead until it has ended, and gets no new flows. A start that follows before its end was
// noticed loses its flows once it is settled; heartbeats that come late don't bring it back.
func TestShutdownEndsWithServer(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(9), epoch)
	is.True(!s.RecordExitCheck(true, epoch))
	is.True(!s.HasEnded()) // It hasn't sent a notice.
	is.True(s.RecordShutdown("i-1", epoch))
	is.True(s.IsLeaving())
	is.True(!s.RecordExitCheck(false, epoch))
	is.True(!s.HasEnded())
	is.Equal(s.RefusalReason(epoch), ReasonLeft)

	next := heartbeat(1)
	next.ID, next.StartedAt = "i-2", epoch.Add(time.Second)
	mustRecordHeartbeat(t, s, next, epoch.Add(interval))
	is.True(!s.IsLeaving())
	_, err := s.RecordHeartbeat(heartbeat(10), epoch.Add(interval))
	is.True(errors.Is(err, ErrStale))
	for range 4 {
		next.Sequence++
		mustRecordHeartbeat(t, s, next, epoch.Add(time.Duration(next.Sequence)*interval))
	}
	is.Equal(s.Restarts(), 1)

	is.True(s.RecordShutdown("i-2", epoch.Add(6*interval)))
	is.True(s.RecordExitCheck(true, epoch.Add(6*interval)))
	is.True(s.HasEnded())
	next.Sequence, next.StartedAt = 1, epoch.Add(time.Minute)
	mustRecordHeartbeat(t, s, next, epoch.Add(7*interval))
	is.True(!s.HasEnded())
	next.Sequence++
	mustRecordHeartbeat(t, s, next, epoch.Add(11*interval))
	is.Equal(s.Restarts(), 1) // Its flows ended before.
}

// Load pattern: half of the servers crash at a crest. A crashed server returns SYNs and is idle; it must get no new flow until it has
// started again, and one that only was full for a moment is tried again after one load report.
func TestServerThatRefusesSynIsTriedAgain(t *testing.T) {
	is := is.New(t)
	s := newServer()
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	s.RecordOpen(epoch)
	s.RecordPacket(epoch) // The returned SYN.
	s.RecordOpenRefused(epoch)
	is.Equal(s.RefusalReason(epoch.Add(openRetryInterval-1)), ReasonOpensRefused)
	mustRecordHeartbeat(t, s, heartbeat(2), epoch) // Sent before the crash: proves nothing.
	is.Equal(s.RefusalReason(epoch), ReasonOpensRefused)
	is.Equal(s.RefusalReason(epoch.Add(openRetryInterval)), ReasonNone)

	s.RecordOpenRefused(epoch)
	s.RecordOpenAccepted()
	is.Equal(s.RefusalReason(epoch), ReasonNone)

	s.RecordOpenRefused(epoch)
	restarted := heartbeat(1)
	restarted.ID, restarted.StartedAt = "i-restarted", epoch.Add(time.Second)
	is.Equal(mustRecordHeartbeat(t, s, restarted, epoch.Add(time.Second)), ChangeStarted)
	is.Equal(s.RefusalReason(epoch), ReasonNone)
}

// A server is never taken for crashed by its load: neither a busy nor a slow nor a cold one returns SYNs, and each accepts them within
// openTimeout.
func TestLoadedServersAreNotTakenForCrashed(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	falseAlarms := 0
	for range 1000 {
		s := newServer()
		hb := heartbeat(1)
		hb.ColdRemaining = time.Duration(rnd.IntN(2)) * 2 * time.Second
		mustRecordHeartbeat(t, s, hb, epoch)
		now := epoch
		for range 50 {
			now = now.Add(time.Duration(rnd.IntN(int(20 * time.Millisecond))))
			s.RecordOpen(now)
			now = now.Add(time.Duration(rnd.IntN(int(openTimeout))))
			if s.RefusalReason(now) != ReasonNone {
				falseAlarms++
			}
			s.RecordPacket(now)
			s.RecordOpenAccepted()
			s.RecordServiceTime(time.Duration(rnd.IntN(int(time.Second))))
		}
	}
	is.Equal(falseAlarms, 0)
}

// Guards against the reset of the flows of a server that is older than its agent and stood still, so that it has sent few heartbeats: only what
// was observed bounds the age of a start.
func TestStartedAfterRestsOnObservations(t *testing.T) {
	is := is.New(t)
	begin := func(s *Server, id string, sequence uint64, at time.Time) {
		hb := heartbeat(sequence)
		hb.ID, hb.StartedAt = id, epoch.Add(time.Duration(len(id))*time.Second)
		mustRecordHeartbeat(t, s, hb, at)
	}
	s := newServer()
	begin(s, "a", 1, epoch)
	begin(s, "a", 2, epoch.Add(4*interval))
	is.True(s.Settled())
	is.True(s.StartedAfter().IsZero()) // Nothing is known of the time before.

	settled := epoch.Add(4 * interval)
	begin(s, "bb", 1, epoch.Add(20*interval))
	is.Equal(s.StartedAfter(), settled) // The earlier start ran then.
	begin(s, "a", 30, epoch.Add(21*interval))
	is.True(s.StartedAfter().IsZero()) // It has run all the time.
	begin(s, "ccc", 60, epoch.Add(22*interval))
	is.True(s.StartedAfter().IsZero()) // A server with as many heartbeats ran before.

	s = newServer()
	s.RecordAbsence(epoch)
	begin(s, "a", 60, epoch.Add(interval))
	is.Equal(s.StartedAfter(), epoch)
	is.True(s.RecordExitCheck(true, epoch.Add(10*interval)))
	begin(s, "bb", 1, epoch.Add(11*interval))
	is.Equal(s.StartedAfter(), epoch.Add(10*interval))
}

// A delayed heartbeat of the start before doesn't show that it still ran: flows that the current start has opened since aren't lost.
func TestPreviousStartReceivedAtIgnoresDelayedHeartbeat(t *testing.T) {
	is := is.New(t)
	s := newServer()
	is.True(s.PreviousStartReceivedAt().IsZero())
	mustRecordHeartbeat(t, s, heartbeat(1), epoch)
	mustRecordHeartbeat(t, s, heartbeat(2), epoch.Add(interval))
	is.True(s.PreviousStartReceivedAt().IsZero())
	restarted := heartbeat(1)
	restarted.StartedAt = restarted.StartedAt.Add(time.Minute)
	mustRecordHeartbeat(t, s, restarted, epoch.Add(3*interval))
	is.Equal(s.PreviousStartReceivedAt(), epoch.Add(interval))
	is.Equal(mustRecordHeartbeat(t, s, heartbeat(3), epoch.Add(4*interval)), ChangeStarted) // Delayed.
	restarted.Sequence++
	is.Equal(mustRecordHeartbeat(t, s, restarted, epoch.Add(5*interval)), ChangeStarted)
	s.CompensatePause(interval)
	is.Equal(s.PreviousStartReceivedAt(), epoch.Add(interval))
}
