package alive

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against resets of the flows of an agent that a process hears: its contradiction half a second ago stands as long as its reply
// to the next questions is lost, as on a choked link, where many processes miss the agent's heartbeats.
func TestWitnessWhoseReplyIsLostStillContradicts(t *testing.T) {
	is := is.New(t)
	others := Others{Known: 3, Heard: 3}
	const noReply, heard, silent = -1, int(Heard), int(Silent)
	tracker := New()
	tracker.Update([]netip.AddrPort{target})
	tracker.RecordAttempt(target, false, start)
	round(tracker, start, heard, silent, silent)
	tracker.Conclude(others, start.Add(replyTimeout))
	is.True(!tracker.Failed(target))
	next := start.Add(roundInterval)
	round(tracker, next, noReply, silent, silent)
	tracker.RecordAttempt(target, false, next)
	tracker.Conclude(others, next.Add(replyTimeout))
	is.True(!tracker.Failed(target))
	later := next.Add(roundInterval)
	round(tracker, later, silent, silent, silent)
	tracker.Conclude(others, later.Add(replyTimeout))
	is.True(!tracker.Failed(target)) // The attempt to connect is one of an earlier round.
	tracker.RecordAttempt(target, false, later)
	tracker.Conclude(others, later.Add(replyTimeout))
	is.True(tracker.Failed(target))
}
