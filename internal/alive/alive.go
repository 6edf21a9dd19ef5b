// Package alive decides whether a silent process has failed, by the opinions of other processes.
//
// A process that receives no heartbeats from another one suspects it, and asks some other processes whether they receive
// any, as SWIM does by indirect probes. The suspect counts as failed if they confirm the silence and none contradicts, and
// if its instance doesn't answer an attempt to connect: a process that stands still or is starting is silent, too.
// While no opinion arrives it doesn't: the suspecting process may be cut off itself.
//
// The package does no I/O and reads no clock: the current time is passed in.
package alive

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Opinion is what a process knows of a suspect.
type Opinion uint8

// The opinions. The numbers are part of the wire format.
const (
	// None means that the process can't tell.
	None Opinion = iota
	// Heard means that it receives heartbeats from the suspect.
	Heard
	// Stopping means that the suspect has announced a planned stop, and may be starting again.
	Stopping
	// Silent means that it receives no heartbeats from the suspect either.
	Silent
)

// String returns the opinion's name.
func (o Opinion) String() string {
	switch o {
	case Heard:
		return "heard"
	case Stopping:
		return "stopping"
	case Silent:
		return "silent"
	default:
		return "none"
	}
}

const (
	// roundInterval is the time between two rounds of questions about a suspect.
	roundInterval = 500 * time.Millisecond
	// replyTimeout is how long the replies of a round are awaited: several round trips between failure domains.
	replyTimeout = 100 * time.Millisecond
	// confirmationLifetime is how long a confirmed failure lasts without a further confirmation: three rounds.
	confirmationLifetime = 3 * roundInterval
	// attemptPause is the time between two attempts to connect to a suspect whose instance has answered.
	attemptPause = 2 * time.Second
	// maxRequired is the number of confirmations that suffice in a deployment of any size.
	maxRequired = 2
)

// Report is the opinion of one process.
type Report struct {
	From    netip.AddrPort
	Opinion Opinion
}

// Others counts the other processes that can be asked.
type Others struct {
	// Known is the number of those in the deployment; if it is 0, the suspecting process decides alone.
	Known int
	// Heard is the number of those from which heartbeats are received.
	Heard int
}

// required returns the number of confirmations that a failure needs.
func (o Others) required() int { return max(1, min(maxRequired, o.Heard)) }

// Decision is a change of what a Tracker holds of a suspect.
type Decision struct {
	Suspect netip.AddrPort
	// Failed is set if the suspect counts as failed from now on; otherwise an opinion has contradicted.
	Failed bool
	// Reports are the opinions of the round, sorted by their senders.
	Reports []Report
}

// presence is what an attempt to connect shows of an instance.
type presence uint8

const (
	presenceUnknown presence = iota
	answers
	unreachable
)

// suspect is what a Tracker holds of one suspect.
type suspect struct {
	// round is the latest round of questions about the suspect, asked at askedAt of as many processes as asked says.
	round   uint64
	askedAt time.Time
	asked   int
	reports []Report
	// failed is set while the suspect counts as failed; the last confirmation came at confirmedAt.
	failed      bool
	confirmedAt time.Time
	// contradicted is set while the last contradiction has been reported by a Decision. contradictedAt is when the round of the
	// last contradiction was asked.
	contradicted   bool
	contradictedAt time.Time
	// instance is what the last attempt to connect, which ended at attemptedAt, showed of the suspect's instance.
	instance    presence
	attemptedAt time.Time
	// witnesses are the processes that contradicted in the last round that had a contradiction.
	witnesses []netip.AddrPort
}

// Tracker tracks the suspects of one process. It is not safe for concurrent use.
type Tracker struct {
	suspects map[netip.AddrPort]*suspect
	round    uint64
}

// New returns a Tracker without suspects.
func New() *Tracker { return &Tracker{suspects: make(map[netip.AddrPort]*suspect)} }

// Len returns the number of suspects.
func (t *Tracker) Len() int { return len(t.suspects) }

// Update replaces the set of suspects. What is known of those that stay is kept.
func (t *Tracker) Update(silent []netip.AddrPort) {
	if len(silent) == 0 {
		clear(t.suspects)
		return
	}
	current := make(map[netip.AddrPort]*suspect, len(silent))
	for _, addr := range silent {
		s := t.suspects[addr]
		if s == nil {
			s = new(suspect)
		}
		current[addr] = s
	}
	t.suspects = current
}

// Due returns at most limit suspects of which others must be asked at now, those asked least recently first. Once a suspect
// is due, those that would be due within half an interval are included, so that questions share datagrams.
func (t *Tracker) Due(now time.Time, limit int) []netip.AddrPort {
	var due []netip.AddrPort
	start := false
	for addr, s := range t.suspects {
		age := now.Sub(s.askedAt)
		start = start || age >= roundInterval
		if age >= roundInterval/2 {
			due = append(due, addr)
		}
	}
	if !start {
		return nil
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int {
		return cmp.Or(t.suspects[a].askedAt.Compare(t.suspects[b].askedAt), a.Compare(b))
	})
	return due[:min(len(due), limit)]
}

// Witnesses returns at most limit processes that contradicted the silence of the given suspects. They are asked again, since
// a random choice may omit the only ones that hear the suspect.
func (t *Tracker) Witnesses(suspects []netip.AddrPort, limit int) []netip.AddrPort {
	var witnesses []netip.AddrPort
	for _, addr := range suspects {
		s := t.suspects[addr]
		if s == nil {
			continue
		}
		for _, w := range s.witnesses {
			if len(witnesses) < limit && !slices.Contains(witnesses, w) {
				witnesses = append(witnesses, w)
			}
		}
	}
	return witnesses
}

// Ask starts a round of questions about the suspects to a number of processes, and returns the round's number.
func (t *Tracker) Ask(suspects []netip.AddrPort, asked int, now time.Time) uint64 {
	t.round++
	for _, addr := range suspects {
		if s := t.suspects[addr]; s != nil {
			s.round, s.askedAt, s.asked, s.reports = t.round, now, asked, nil
		}
	}
	return t.round
}

// Record records an opinion. It is ignored unless it belongs to the latest round of questions about the suspect.
func (t *Tracker) Record(round uint64, addr netip.AddrPort, r Report) {
	s := t.suspects[addr]
	if s == nil || s.round != round || slices.ContainsFunc(s.reports, func(old Report) bool { return old.From == r.From }) {
		return
	}
	s.reports = append(s.reports, r)
}

// RecordAttempt records whether a suspect's instance answered an attempt to connect that ended at now. It reports whether that differs from the last
// attempt.
func (t *Tracker) RecordAttempt(addr netip.AddrPort, answered bool, now time.Time) (changed bool) {
	s := t.suspects[addr]
	if s == nil {
		return false
	}
	previous := s.instance
	s.instance, s.attemptedAt = unreachable, now
	if answered {
		s.instance = answers
	}
	return s.instance != previous
}

// AttemptDue reports whether an attempt to connect to a suspect is of use. After an answer there is none for attemptPause: a process that
// stands still accepts no connections, and its queue of them is bounded.
func (t *Tracker) AttemptDue(addr netip.AddrPort, now time.Time) bool {
	s := t.suspects[addr]
	return s != nil && (s.instance != answers || now.Sub(s.attemptedAt) >= attemptPause)
}

// ForgetAttempt drops what the last attempt to connect to a suspect showed: a later one showed nothing.
func (t *Tracker) ForgetAttempt(addr netip.AddrPort) {
	if s := t.suspects[addr]; s != nil {
		s.instance = presenceUnknown
	}
}

// Conclude evaluates the rounds whose replies have arrived or timed out, and returns the changes.
func (t *Tracker) Conclude(others Others, now time.Time) []Decision {
	var decisions []Decision
	for addr, s := range t.suspects {
		wasFailed, wasContradicted := s.failed, s.contradicted
		s.conclude(others, now)
		if s.failed && !wasFailed || s.contradicted && !wasContradicted {
			d := Decision{Suspect: addr, Failed: s.failed, Reports: slices.Clone(s.reports)}
			slices.SortFunc(d.Reports, func(a, b Report) int { return a.From.Compare(b.From) })
			decisions = append(decisions, d)
		}
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return a.Suspect.Compare(b.Suspect) })
	return decisions
}

// conclude evaluates the latest round.
func (s *suspect) conclude(others Others, now time.Time) {
	if others.Known == 0 {
		s.failed, s.confirmedAt = s.instance == unreachable, now
		return
	}
	s.failed = s.failed && s.instance == unreachable && now.Sub(s.confirmedAt) <= confirmationLifetime
	if len(s.reports) < s.asked && now.Sub(s.askedAt) < replyTimeout {
		return
	}
	silent, witnesses := s.countOpinions()
	switch {
	case len(witnesses) > 0:
		s.failed, s.contradicted, s.contradictedAt, s.witnesses = false, true, s.askedAt, witnesses
	case silent >= others.required() && s.isUnreachable() && now.Sub(s.askedAt) <= confirmationLifetime && !s.awaitsWitness(now):
		s.failed, s.contradicted, s.confirmedAt = true, false, s.askedAt
	}
}

// isUnreachable reports whether the suspect's instance hasn't answered an attempt to connect that ended in the latest round.
func (s *suspect) isUnreachable() bool {
	return s.instance == unreachable && !s.attemptedAt.Before(s.askedAt)
}

// awaitsWitness reports whether a process that contradicted lately hasn't replied in the latest round.
func (s *suspect) awaitsWitness(now time.Time) bool {
	if s.contradictedAt.IsZero() || now.Sub(s.contradictedAt) > confirmationLifetime {
		return false
	}
	return slices.ContainsFunc(s.witnesses, func(w netip.AddrPort) bool {
		return !slices.ContainsFunc(s.reports, func(r Report) bool { return r.From == w })
	})
}

// countOpinions returns how many processes confirm the silence in the latest round, and those that contradict it.
func (s *suspect) countOpinions() (silent int, witnesses []netip.AddrPort) {
	for _, r := range s.reports {
		switch r.Opinion {
		case Heard, Stopping:
			witnesses = append(witnesses, r.From)
		case Silent:
			silent++
		}
	}
	return silent, witnesses
}

// Failed reports whether a suspect counts as failed.
func (t *Tracker) Failed(addr netip.AddrPort) bool {
	s := t.suspects[addr]
	return s != nil && s.failed
}

// ContradictedAt returns when others last contradicted the silence of a suspect, or the zero time if they didn't.
func (t *Tracker) ContradictedAt(addr netip.AddrPort) time.Time {
	if s := t.suspects[addr]; s != nil {
		return s.contradictedAt
	}
	return time.Time{}
}

// Trace returns reports in a form for logs.
func Trace(reports []Report) string {
	var b strings.Builder
	for i, r := range reports {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(r.From.String() + "=" + r.Opinion.String())
	}
	return b.String()
}
