package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// TrackSuspension returns a function that returns how long the machine has been suspended since the call of TrackSuspension, which
// time.Since doesn't count. The function returns 0 if the system doesn't tell.
func TrackSuspension() func() time.Duration {
	startedAt := time.Now()
	bootTime, err := sinceBoot()
	if err != nil {
		return func() time.Duration { return 0 }
	}
	return func() time.Duration {
		now, err := sinceBoot()
		if err != nil {
			return 0
		}
		return max(0, now-bootTime-time.Since(startedAt))
	}
}

// sinceBoot returns the time since the boot of the machine, with the time for which it was suspended.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}
