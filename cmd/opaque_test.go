package cmd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A stopping process that exited while routers still forwarded packets to it lost them.
func TestStoppingProcessWaitsUntilOutOfRotation(t *testing.T) {
	for _, tt := range []struct {
		name       string
		inRotation time.Duration
		want       time.Duration
	}{
		{"out of rotation early", time.Second, 2 * time.Second},
		{"out of rotation late", 3 * time.Second, 3 * time.Second},
		{"never out of rotation", time.Minute, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				opts := serveOptions{
					shutdownDelay: 2 * time.Second, maxShutdownDelay: 5 * time.Second,
					inRotation: func() bool { return time.Since(started) < tt.inRotation },
				}
				opts.waitOutOfRotation(context.Background())
				is.Equal(time.Since(started), tt.want)
			})
		})
	}
}

// A process without routers in front of it, such as an agent, stops after its shutdown delay.
func TestStoppingProcessWithoutRotationWaitsForDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		opts := serveOptions{shutdownDelay: 150 * time.Millisecond}
		opts.waitOutOfRotation(context.Background())
		is.Equal(time.Since(started), 150*time.Millisecond)
	})
}

// Guards against flows that an agent's successor doesn't know: those opened after the stop was announced, by entries that
// hadn't received the announcement yet.
func TestStateIsSavedAfterShutdownDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		var savedAfter time.Duration
		opts := serveOptions{shutdownDelay: 150 * time.Millisecond, onStop: func() { savedAfter = time.Since(started) }}
		opts.finishServing(context.Background())
		is.Equal(savedAfter, 150*time.Millisecond)
	})
}
