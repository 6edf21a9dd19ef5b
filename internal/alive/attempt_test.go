package alive

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against attempts that fill the queue of connections of a process that stands still, whose instance then seems not to answer.
func TestAttemptsPauseAfterAnswer(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.True(!tracker.AttemptDue(target, start)) // It isn't suspected.
	tracker.Update([]netip.AddrPort{target})
	is.True(tracker.AttemptDue(target, start))
	tracker.RecordAttempt(target, false, start)
	is.True(tracker.AttemptDue(target, start))
	tracker.RecordAttempt(target, true, start)
	is.True(!tracker.AttemptDue(target, start.Add(attemptPause-1)))
	is.True(tracker.AttemptDue(target, start.Add(attemptPause)))
	tracker.ForgetAttempt(target)
	is.True(tracker.AttemptDue(target, start))
}
