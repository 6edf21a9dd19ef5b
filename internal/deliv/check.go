package deliv

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

const (
	// checks is how many health checks follow a start of the server: the shortest of three is little disturbed.
	checks = 3
	// checkPause is the time between two of them.
	checkPause = 100 * time.Millisecond
	// checkWait is how often the agent looks for a configuration, which names the path of the check.
	checkWait = 100 * time.Millisecond
)

// HealthChecker checks the health of a backend server.
type HealthChecker interface {
	// Check returns how long the answer took; an error when the server is not healthy.
	Check(ctx context.Context, server netip.AddrPort, path string) (time.Duration, error)
}

// checkStarts checks the server's health after each of its starts, to learn how fast it is before it serves.
func (a *Agent) checkStarts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.starts:
			a.checkStart(ctx)
		}
	}
}

func (a *Agent) checkStart(ctx context.Context) {
	for done := 0; done < checks && ctx.Err() == nil; {
		a.mu.Lock()
		path := a.opts.Cluster.Table().Health(a.service())
		idle := a.queue.Running()+a.queue.Waiting() == 0
		a.mu.Unlock()
		if path == "" {
			wait(ctx, checkWait)
			continue
		}
		done++
		if !idle {
			continue // A check would stand in line, and say nothing.
		}
		took, err := a.opts.HealthChecker.Check(ctx, a.opts.Server, path)
		if err != nil {
			a.opts.Log.Debug("health check failed", zap.Error(err))
			continue
		}
		a.mu.Lock()
		a.server.RecordHealthCheck(took)
		a.mu.Unlock()
		wait(ctx, checkPause)
	}
}
