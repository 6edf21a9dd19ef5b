package fresh

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const maxAge = 3 * time.Second

func TestAgeOfAnUnreadConfiguration(t *testing.T) {
	is := is.New(t)
	tracker := New(maxAge)
	is.True(tracker.Age(time.Unix(1000, 0)) > time.Hour)
	is.True(tracker.ShouldRead(time.Unix(1000, 0), false))
}

func TestOlderVersionIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New(maxAge)
	tracker.Confirm(7, now, 0)
	tracker.Confirm(6, now.Add(time.Second), 0)
	is.Equal(tracker.Age(now.Add(time.Second)), time.Second)
}

func TestFailedReadIsRetried(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New(maxAge)
	is.True(tracker.ShouldRead(now, false))
	is.True(!tracker.ShouldRead(now.Add(50*time.Millisecond), false))
	is.True(tracker.ShouldRead(now.Add(maxAge/5), false))
}

// Without any watch, processes that share their confirmations make about two reads per second together, and the
// configuration of no process gets older than half the maximum age.
func TestProcessesShareConfigurationReads(t *testing.T) {
	is := is.New(t)
	const processes, tick, heartbeatInterval = 40, 50 * time.Millisecond, 500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	trackers := make([]*AgeTracker, processes)
	for i := range trackers {
		trackers[i] = New(maxAge)
		trackers[i].Confirm(1, time.Unix(1000, 0), rnd.Float64())
	}
	reads, oldest := 0, time.Duration(0)
	start := time.Unix(1000, 0)
	for d := time.Duration(0); d < 30*time.Second; d += tick {
		now := start.Add(d)
		for i, tracker := range trackers {
			if tracker.ShouldRead(now, false) {
				reads++
				tracker.Confirm(1, now, rnd.Float64())
				for j := range trackers { // Heartbeats notify the others, on average after half an interval.
					if j != i {
						trackers[j].Confirm(1, now.Add(-heartbeatInterval/2), rnd.Float64())
					}
				}
			}
			oldest = max(oldest, tracker.Age(now))
		}
	}
	t.Logf("reads per second: %.2f, oldest: %s", float64(reads)/30, oldest)
	is.True(reads < 30*3)
	is.True(oldest < maxAge/2)
}

// Guards against an older configuration that counts as the newest: the store has returned from an older copy, and the operator hasn't
// written again yet. A process that has just started can't know when the store's era began.
func TestReadConfirmsOnlyOnceStoreHasSettled(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	tracker := New(maxAge)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	read := func(era uint64, d time.Duration) bool {
		return !tracker.RecordRead(era, at(d), at(d+10*time.Millisecond), 0).IsZero()
	}
	is.True(!read(1, 0))
	is.True(!read(1, settleTime-time.Millisecond))
	is.True(read(1, settleTime+10*time.Millisecond))
	is.True(!read(2, 10*time.Second))
	is.True(!read(2, 10*time.Second+settleTime))
	is.True(read(2, 10*time.Second+settleTime+10*time.Millisecond))
	tracker.Confirm(7, at(20*time.Second), 0) // Another process has known the era for longer.
	is.Equal(tracker.Age(at(20*time.Second)), time.Duration(0))
}

// Guards against reads that follow each other without a pause while none confirms a version.
func TestUnconfirmedReadsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New(maxAge)
	is.True(tracker.ShouldRead(now, false))
	is.True(tracker.RecordRead(1, now, now, 0.5).IsZero())
	is.True(!tracker.ShouldRead(now.Add(maxAge*32/100), false)) // 0.25 plus half of 0.15.
	is.True(tracker.ShouldRead(now.Add(maxAge*33/100), false))
}

// Guards against a read of the store for each packet without a route while no read confirms the configuration.
func TestRequestedReadsAreSpreadUntilStoreHasSettled(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New(maxAge)
	is.True(tracker.ShouldReadOnRequest(now))
	tracker.RecordRead(1, now, now, 0)
	is.True(!tracker.ShouldReadOnRequest(now.Add(50 * time.Millisecond)))
	is.True(tracker.ShouldReadOnRequest(now.Add(maxAge / 5)))
	now = now.Add(settleTime)
	tracker.RecordRead(1, now, now, 0)
	is.True(tracker.ShouldReadOnRequest(now.Add(50 * time.Millisecond)))
}

// A process that others normally notify reads only if they don't.
func TestNotifiedProcessDelaysReads(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New(maxAge)
	is.True(tracker.ShouldRead(now, true)) // No version is confirmed yet.
	tracker.Confirm(1, now, 0)
	is.True(!tracker.ShouldRead(now.Add(maxAge*45/100), true))
	is.True(tracker.ShouldRead(now.Add(maxAge*55/100), true))
}
