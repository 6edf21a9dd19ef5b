package memb

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a failure that rests on an attempt to connect of long ago: later ones showed nothing, and the agent's instance may answer
// by now.
func TestFailureEndsOnceAttemptsShowNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	for _, n := range g.entries {
		silence(n)
	}
	n := g.entries[0]
	is.True(diesWithin(n, otherAddr, testPeriod))
	attempting := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.attempting) > 0
	}
	for attempting() {
		time.Sleep(time.Millisecond)
	}
	n.opts.Connector.(*stubConnector).failure = errors.New("no file descriptors are left")
	n.attempt(otherAddr, g.agent.Control)
	is.True(!n.Dead(otherAddr))
}
