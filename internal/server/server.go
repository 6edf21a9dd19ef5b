package server

import (
	"math"
	"net/netip"
	"time"
)

const (
	// missedBeats is after how many heartbeat intervals of silence a server is taken for dead: two may be lost.
	missedBeats = 3
	// openWait is how long a server may leave an opening packet unanswered; it answers within a millisecond
	// when it works, and the margin covers a full processor.
	openWait = 120 * time.Millisecond
	// openStrikes is how many unanswered opening packets in a row show that a server doesn't answer.
	openStrikes = 2
	// rateWindow is the time constant of the request rates: long against a request, short against a wave.
	rateWindow = 2 * time.Second
	// serviceWeight is the weight of a new sample in the mean service time: some 20 requests.
	serviceWeight = 0.05
	// trustedSamples is how many requests must be seen before their mean says something.
	trustedSamples = 5
	// DefaultServiceTime is the service time while none is known.
	DefaultServiceTime = 25 * time.Millisecond
	// ColdFactor is how much slower a server is taken to be right after its start.
	ColdFactor = 1.5
	// outlier bounds a sample, in means: a rare long request says little of the server.
	outlier = 4
)

// Options are the fixed facts of a backend server.
type Options struct {
	// Address is where the server takes packets.
	Address netip.AddrPort
	// Service is the service that the server must announce; any when empty.
	Service string
	// HeartbeatInterval is the time between the server's heartbeats.
	HeartbeatInterval time.Duration
}

// Server is what is known of the backend server. Its owner serializes access.
type Server struct {
	opts Options

	known     bool
	gone      bool
	starts    int
	last      Announcement
	beat      time.Time
	coldUntil time.Time

	heard    time.Time
	opens    int
	opened   time.Time
	mean     time.Duration
	samples  int
	check    time.Duration
	first    rate
	repeated rate
}

// New returns a server of which nothing is known.
func New(opts Options) *Server { return &Server{opts: opts} }

// CompensatePause moves what is timed by silence past a time in which the agent itself did not run.
func (s *Server) CompensatePause(gap time.Duration) {
	s.beat = s.beat.Add(gap)
	s.heard = s.heard.Add(gap)
	s.opened = s.opened.Add(gap)
}

// Reason tells why a server takes no new flow.
type Reason string

// The reasons; ReasonNone means that it takes new flows.
const (
	ReasonNone              Reason = ""
	ReasonNoHeartbeat       Reason = "no_heartbeat_yet"
	ReasonDraining          Reason = "draining"
	ReasonLeft              Reason = "left"
	ReasonHeartbeatsMissing Reason = "heartbeats_missing"
	ReasonOpensUnanswered   Reason = "opens_unanswered"
	ReasonOtherService      Reason = "other_service"
)

// RefusalReason returns why the server takes no new flow now, or ReasonNone.
func (s *Server) RefusalReason(now time.Time) Reason {
	switch {
	case !s.known:
		return ReasonNoHeartbeat
	case s.gone:
		return ReasonLeft
	case s.known && s.last.Draining:
		return ReasonDraining
	case s.known && now.Sub(s.beat) > missedBeats*s.opts.HeartbeatInterval && now.Sub(s.heard) > s.opts.HeartbeatInterval:
		return ReasonHeartbeatsMissing
	case s.opens >= openStrikes && now.Sub(s.opened) > openWait:
		return ReasonOpensUnanswered
	}
	return ReasonNone
}

// IsDead reports whether the server has certainly stopped: it left, or neither beats nor packets came for long.
func (s *Server) IsDead(now time.Time) bool {
	if !s.known {
		return false
	}
	lapse := (missedBeats + 1) * s.opts.HeartbeatInterval
	return s.gone || (now.Sub(s.beat) > lapse && now.Sub(s.heard) > lapse)
}

// Restarts returns how often the server was seen to start again; flows of an earlier start are lost.
func (s *Server) Restarts() int { return s.starts }

// RecordPacket notes a packet of the server's own.
func (s *Server) RecordPacket(now time.Time) {
	s.heard = now
	s.opens = 0
}

// RecordOpen notes that an opening packet was delivered.
func (s *Server) RecordOpen(now time.Time) {
	if s.opens == 0 {
		s.opened = now
	}
	s.opens++
}

// RecordRequest notes that a request came; repeat says that its flow carried others before.
func (s *Server) RecordRequest(repeat bool, now time.Time) {
	if repeat {
		s.repeated.add(now)
		return
	}
	s.first.add(now)
}

// RecordResponse notes that the answer to a request began took after its delivery; among is how many requests the server then
// worked on, this one included.
func (s *Server) RecordResponse(took time.Duration, among int) {
	if among > s.Slots() {
		return // It waited in the server's own queue.
	}
	s.samples++
	if s.samples > trustedSamples {
		took = min(took, outlier*s.mean)
	}
	weight := max(1/float64(s.samples), serviceWeight)
	s.mean += time.Duration(weight * float64(took-s.mean))
}

// Slots returns how many requests the server works on at the same time.
func (s *Server) Slots() int {
	if s.known && s.last.Slots > 0 {
		return s.last.Slots
	}
	return 1
}

// MeanServiceTime returns the mean service time of requests that found a free slot; 0 when too few were seen.
func (s *Server) MeanServiceTime() time.Duration {
	if s.samples < trustedSamples {
		return 0
	}
	return s.mean
}

// ExpectedServiceTime returns how long a request is expected to take now.
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

// RecordHealthCheck notes how long the server took to answer a health check while it had nothing else to do.
func (s *Server) RecordHealthCheck(took time.Duration) {
	if s.check == 0 || took < s.check {
		s.check = took
	}
}

// HealthCheckTime returns the shortest time of a health check in this start of the server; 0 when none was made.
func (s *Server) HealthCheckTime() time.Duration { return s.check }

// RequestRates returns the requests a second that were the first of their flow, and the others.
func (s *Server) RequestRates(now time.Time) (first, repeated float64) {
	return s.first.at(now), s.repeated.at(now)
}

// IsCold reports whether the server is still slow after its start.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.coldUntil) }

// rate is an exponentially weighted rate of events.
type rate struct {
	perSecond float64
	since     time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.at(now) + 1/rateWindow.Seconds()
	r.since = now
}

func (r *rate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.since).Seconds()/rateWindow.Seconds())
}
