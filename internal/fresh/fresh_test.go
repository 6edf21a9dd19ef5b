package fresh

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const bound = 3 * time.Second

func TestAgeOfAnUnreadConfiguration(t *testing.T) {
	is := is.New(t)
	c := New(bound)
	is.True(c.Age(time.Unix(1000, 0)) > time.Hour)
	is.True(c.ShouldRead(time.Unix(1000, 0), false))
}

func TestOlderNewsChangeNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(bound)
	c.Confirm(7, now, 0)
	c.Confirm(6, now.Add(time.Second), 0)
	is.Equal(c.Age(now.Add(time.Second)), time.Second)
}

func TestFailedReadIsRepeatedSoon(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(bound)
	is.True(c.ShouldRead(now, false))
	is.True(!c.ShouldRead(now.Add(50*time.Millisecond), false))
	is.True(c.ShouldRead(now.Add(bound/5), false))
}

// With no watch at all, a fleet that shares its knowledge reads about once a second together, and no process is older
// than half of what is allowed.
func TestFleetSharesReads(t *testing.T) {
	is := is.New(t)
	const processes, tick, news = 40, 50 * time.Millisecond, 500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	clocks := make([]*AgeTracker, processes)
	for i := range clocks {
		clocks[i] = New(bound)
		clocks[i].Confirm(1, time.Unix(1000, 0), rnd.Float64())
	}
	reads, oldest := 0, time.Duration(0)
	start := time.Unix(1000, 0)
	for d := time.Duration(0); d < 30*time.Second; d += tick {
		now := start.Add(d)
		for i, c := range clocks {
			if c.ShouldRead(now, false) {
				reads++
				c.Confirm(1, now, rnd.Float64())
				for j := range clocks { // A heartbeat tells the others, within the interval of heartbeats.
					if j != i {
						clocks[j].Confirm(1, now.Add(-news/2), rnd.Float64())
					}
				}
			}
			oldest = max(oldest, c.Age(now))
		}
	}
	t.Logf("reads a second: %.2f, oldest: %s", float64(reads)/30, oldest)
	is.True(reads < 30*3)
	is.True(oldest < bound/2)
}

// A process that others tell of the configuration reads only when they don't.
func TestToldProcessReadsLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(bound)
	is.True(c.ShouldRead(now, true)) // It has none yet.
	c.Confirm(1, now, 0)
	is.True(!c.ShouldRead(now.Add(bound*45/100), true))
	is.True(c.ShouldRead(now.Add(bound*55/100), true))
}
