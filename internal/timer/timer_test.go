package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A machine that isn't suspended has no suspended time: the two clocks run alike.
func TestNoSuspension(t *testing.T) {
	is := is.New(t)
	suspended := TrackSuspension()
	time.Sleep(30 * time.Millisecond)
	is.Equal(suspended(), time.Duration(0))
}
