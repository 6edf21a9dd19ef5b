package server

import (
	"math"
	"net/netip"
	"time"
)

const (
	// heartbeatTimeoutIntervals is the heartbeat timeout in heartbeat intervals. Two heartbeats in a row may be lost.
	heartbeatTimeoutIntervals = 3
	// sequenceTimeoutIntervals is how many heartbeat intervals a sequence number keeps lower ones from being used. It is less than
	// heartbeatTimeoutIntervals, so that a wrong number doesn't make the heartbeats lapse.
	sequenceTimeoutIntervals = 2
	// minIntervalFraction is the shortest time between two heartbeats of a start, as a fraction of the heartbeat interval.
	minIntervalFraction = 0.9
	// openTimeout is the time in which a server must respond to a SYN. A working server takes less than 1 ms; the margin
	// allows for a fully loaded CPU.
	openTimeout = 120 * time.Millisecond
	// unansweredOpenThreshold is the number of consecutive unanswered SYNs from which on a server counts as unresponsive.
	unansweredOpenThreshold = 2
	// openRetryInterval is how long after a server refused a SYN it gets no other one: about one load report of the agent.
	openRetryInterval = 200 * time.Millisecond
	// rateWindow is the time constant of request rates: longer than a request, shorter than a load peak.
	rateWindow = 2 * time.Second
	// serviceTimeWeight is the weight of a new sample in the mean service time, which thus covers about 20 requests.
	serviceTimeWeight = 0.05
	// minSamples is the number of requests needed for a meaningful mean service time.
	minSamples = 5
	// DefaultServiceTime is assumed until the mean service time is known.
	DefaultServiceTime = 25 * time.Millisecond
	// ColdFactor is the assumed ratio of the service time of a cold server to that of a warm one.
	ColdFactor = 1.5
	// outlierFactor caps samples at a multiple of the mean: rare long requests don't reflect the server's speed.
	outlierFactor = 4
)

// Options are the settings for a backend server.
type Options struct {
	// Address is the address on which the server receives packets.
	Address netip.AddrPort
	// Service is the service that heartbeats must name. Empty accepts any service.
	Service string
	// HeartbeatInterval is the time between the server's heartbeats.
	HeartbeatInterval time.Duration
	// ObservedSince is since when the server's heartbeats have been received, by the clock of the caller.
	ObservedSince time.Time
}

// Server is the observed state of a backend server. It is not safe for concurrent use.
type Server struct {
	opts Options

	known bool
	// left means that the server has sent its shutdown notice, ended that it has certainly ended.
	left, ended     bool
	restarts        int
	last            Heartbeat
	lastHeartbeatAt time.Time
	// firstHeartbeatAt is when the first heartbeat of the current start came.
	firstHeartbeatAt time.Time
	coldUntil        time.Time
	// earliestStart is the earliest time at which the current start may have begun.
	earliestStart time.Time
	// absentAt is when the server was last found not to be running, ranAt when the start of ran was settled, the last one before the current
	// one that was. Both are zero if there was no such time.
	absentAt, ranAt time.Time
	ran             Heartbeat
	// settledAt is when the current start was settled.
	settledAt time.Time
	// confirmed means that the sender of a heartbeat of the current start was running when the heartbeat was processed.
	confirmed bool
	// unsettled means that another start than the current one may be running. previous is the last heartbeat of the start before,
	// zero if there was none. otherStartSeen means that heartbeats of another start have come, the last one at otherStartSeenAt, which
	// is Options.ObservedSince otherwise.
	unsettled bool
	previous  Heartbeat
	// receivedAt is when the last heartbeat of the current start was recorded, previousReceivedAt when that of the start before was.
	// CompensatePause doesn't change them.
	receivedAt, previousReceivedAt time.Time
	otherStartSeen                 bool
	otherStartSeenAt               time.Time

	lastPacketAt        time.Time
	unansweredOpens     int
	firstUnansweredOpen time.Time
	// refusesOpensUntil is when the server is tried again after it refused a SYN.
	refusesOpensUntil  time.Time
	meanServiceTime    time.Duration
	samples            int
	minHealthCheckTime time.Duration
	// firstRate is the rate of requests that are the first of their flow, followUpRate that of the others.
	firstRate    eventRate
	followUpRate eventRate
}

// New returns the state of a server before its first heartbeat.
func New(opts Options) *Server { return &Server{opts: opts, otherStartSeenAt: opts.ObservedSince} }

// CompensatePause extends the running timeouts by a time in which the agent's own process was paused.
func (s *Server) CompensatePause(gap time.Duration) {
	s.lastHeartbeatAt = s.lastHeartbeatAt.Add(gap)
	s.otherStartSeenAt = s.otherStartSeenAt.Add(gap)
	s.lastPacketAt = s.lastPacketAt.Add(gap)
	s.firstUnansweredOpen = s.firstUnansweredOpen.Add(gap)
}

// Reason is why a server must not be given new flows.
type Reason string

// The reasons. ReasonNone means that the server accepts new flows.
const (
	ReasonNone              Reason = ""
	ReasonNoHeartbeat       Reason = "no_heartbeat_yet"
	ReasonDraining          Reason = "draining"
	ReasonLeft              Reason = "left"
	ReasonHeartbeatsMissing Reason = "heartbeats_missing"
	ReasonOpensUnanswered   Reason = "opens_unanswered"
	ReasonOpensRefused      Reason = "opens_refused"
	ReasonOtherService      Reason = "other_service"
)

// RefusalReason returns why the server must not be given new flows now, or ReasonNone.
func (s *Server) RefusalReason(now time.Time) Reason {
	switch {
	case !s.known:
		return ReasonNoHeartbeat
	case s.left:
		return ReasonLeft
	case s.known && s.last.Draining:
		return ReasonDraining
	case s.ended:
		return ReasonHeartbeatsMissing
	case s.known && now.Sub(s.lastHeartbeatAt) > s.heartbeatTimeout() &&
		now.Sub(s.lastPacketAt) > s.opts.HeartbeatInterval:
		return ReasonHeartbeatsMissing
	case s.unansweredOpens >= unansweredOpenThreshold && now.Sub(s.firstUnansweredOpen) > openTimeout:
		return ReasonOpensUnanswered
	case now.Before(s.refusesOpensUntil):
		return ReasonOpensRefused
	}
	return ReasonNone
}

// HasEnded reports whether the server has certainly ended, so that its flows are lost.
func (s *Server) HasEnded() bool { return s.ended }

// IsSilent reports whether the server has sent neither heartbeats nor packets for one interval more than the heartbeat timeout. It has
// ended, or stands still.
func (s *Server) IsSilent(now time.Time) bool {
	timeout := s.heartbeatTimeout() + s.opts.HeartbeatInterval
	return s.known && now.Sub(s.lastHeartbeatAt) > timeout && now.Sub(s.lastPacketAt) > timeout
}

// MayHaveEnded reports whether it must be checked whether the server has ended: it is leaving or silent.
func (s *Server) MayHaveEnded(now time.Time) bool { return !s.ended && (s.left || s.IsSilent(now)) }

// RecordExitCheck records the result of a connection to the server: whether it was refused, so that no process listens at the server's
// address. It reports whether the server has ended now. Silence alone is the end only of a server that has announced it.
func (s *Server) RecordExitCheck(refused bool, now time.Time) bool {
	if !s.MayHaveEnded(now) {
		return false
	}
	if refused {
		s.RecordAbsence(now)
	}
	s.ended = refused || s.left && s.IsSilent(now)
	return s.ended
}

// RecordAbsence records that a connection to the server was refused, so that no server was running at the given time.
func (s *Server) RecordAbsence(at time.Time) { s.absentAt = at }

// Silence returns the times since the last heartbeat and since the last packet of the server.
func (s *Server) Silence(now time.Time) (heartbeat, packet time.Duration) {
	return now.Sub(s.lastHeartbeatAt), now.Sub(s.lastPacketAt)
}

// Restarts returns how many restarts of the server are certain. Flows that were opened before EarliestStart are then lost.
func (s *Server) Restarts() int { return s.restarts }

// RecordPacket records that the server sent a packet. One that had ended without a notice has started again.
func (s *Server) RecordPacket(now time.Time) {
	s.ended = s.ended && s.left
	s.lastPacketAt = now
	s.unansweredOpens = 0
}

// RecordOpen records that the SYN of a flow was sent to the server.
func (s *Server) RecordOpen(now time.Time) {
	if s.unansweredOpens == 0 {
		s.firstUnansweredOpen = now
	}
	s.unansweredOpens++
}

// RecordOpenRefused records that the server refused the SYN of a flow: it has crashed, or can't hold more flows. It gets no SYN
// until openRetryInterval has passed or it has started again.
func (s *Server) RecordOpenRefused(now time.Time) { s.refusesOpensUntil = now.Add(openRetryInterval) }

// RecordOpenAccepted records that the server accepted the SYN of a flow.
func (s *Server) RecordOpenAccepted() { s.refusesOpensUntil = time.Time{} }

// RecordRequest records the arrival of a request. followUp means that it isn't the first one of its flow.
func (s *Server) RecordRequest(followUp bool, now time.Time) {
	if followUp {
		s.followUpRate.add(now)
		return
	}
	s.firstRate.add(now)
}

// RecordServiceTime records the time from the start of a request at the server until the start of the response.
func (s *Server) RecordServiceTime(serviceTime time.Duration) {
	s.samples++
	if s.samples > minSamples {
		serviceTime = min(serviceTime, outlierFactor*s.meanServiceTime)
	}
	weight := max(1/float64(s.samples), serviceTimeWeight)
	s.meanServiceTime += time.Duration(weight * float64(serviceTime-s.meanServiceTime))
}

// Slots returns the number of requests that the server processes concurrently, or 1 if it isn't known.
func (s *Server) Slots() int {
	if s.known && s.last.Slots > 0 {
		return s.last.Slots
	}
	return 1
}

// MeanServiceTime returns the mean service time, or 0 with fewer than minSamples.
func (s *Server) MeanServiceTime() time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return s.meanServiceTime
}

// ExpectedServiceTime returns the estimated service time of a request sent now.
func (s *Server) ExpectedServiceTime(now time.Time) time.Duration {
	d := s.MeanServiceTime()
	if d == 0 {
		d = DefaultServiceTime
	}
	if s.IsCold(now) {
		d = time.Duration(ColdFactor * float64(d))
	}
	return d
}

// RecordHealthCheck records the response time of a health check of an idle server.
func (s *Server) RecordHealthCheck(responseTime time.Duration) {
	if s.minHealthCheckTime == 0 || responseTime < s.minHealthCheckTime {
		s.minHealthCheckTime = responseTime
	}
}

// MinHealthCheckTime returns the shortest response time of a health check since the server started, or 0 without any.
func (s *Server) MinHealthCheckTime() time.Duration { return s.minHealthCheckTime }

// RequestRates returns the rate, in requests per second, of first requests of a flow and of later ones.
func (s *Server) RequestRates(now time.Time) (first, followUp float64) {
	return s.firstRate.value(now), s.followUpRate.value(now)
}

// IsCold reports whether the server is still slower because of its start.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.coldUntil) }

// eventRate is an exponentially weighted rate of events.
type eventRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *eventRate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *eventRate) value(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds())
}
