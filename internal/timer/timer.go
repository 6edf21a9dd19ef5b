// Package timer runs duties at intervals.
package timer

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends. It returns nil, so that it can end a duty.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}
