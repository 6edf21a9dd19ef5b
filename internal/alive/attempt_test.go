package alive

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a failure that rests on an attempt of long ago: later ones showed nothing, as without file descriptors, and the suspect's
// instance may answer by now.
func TestAttemptThatShowsNothingEndsFailure(t *testing.T) {
	is := is.New(t)
	others := Others{Known: 3, Heard: 3}
	tracker := New()
	tracker.Update([]netip.AddrPort{target})
	tracker.RecordAttempt(target, false)
	round(tracker, start, int(Silent), int(Silent), int(Silent))
	tracker.Conclude(others, start)
	is.True(tracker.Failed(target))
	tracker.ForgetAttempt(target)
	round(tracker, start.Add(roundInterval), int(Silent), int(Silent), int(Silent))
	tracker.Conclude(others, start.Add(roundInterval))
	is.True(!tracker.Failed(target))
}
