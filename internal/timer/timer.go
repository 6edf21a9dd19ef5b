// Package timer runs functions periodically.
package timer

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends. It always returns nil, so that it can be used as a run function that
// returns an error.
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
