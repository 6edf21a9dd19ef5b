package deliv

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

const (
	// healthCheckCount is the number of health checks after a start of the server. The agent uses the shortest time,
	// since single checks may be delayed by other work.
	healthCheckCount = 3
	// healthCheckInterval is the pause after a health check.
	healthCheckInterval = 100 * time.Millisecond
	// configPollInterval is how often the agent looks for a configuration with the path of the health check.
	configPollInterval = 100 * time.Millisecond
)

// HealthChecker sends health checks to a backend server.
type HealthChecker interface {
	// Check returns the response time, or an error if the server is not healthy.
	Check(ctx context.Context, server netip.AddrPort, path string) (time.Duration, error)
}

// runHealthChecks measures the response time of health checks after each start of the server. It is the first estimate
// of the server's speed, before requests have been served.
func (a *Agent) runHealthChecks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.serverStarted:
			a.measureHealthChecks(ctx)
		}
	}
}

// measureHealthChecks sends healthCheckCount health checks and records their response times.
func (a *Agent) measureHealthChecks(ctx context.Context) {
	for done := 0; done < healthCheckCount && ctx.Err() == nil; {
		a.mu.Lock()
		path := a.opts.Cluster.Table().HealthPath(a.serviceName())
		idle := a.queue.Running()+a.queue.Waiting() == 0
		a.mu.Unlock()
		if path == "" {
			sleep(ctx, configPollInterval)
			continue
		}
		done++
		if !idle {
			continue // The response time would include the wait behind other requests.
		}
		took, err := a.opts.HealthChecker.Check(ctx, a.opts.Server, path)
		if err != nil {
			a.opts.Log.Debug("health check failed", zap.Error(err))
			continue
		}
		a.mu.Lock()
		a.server.RecordHealthCheck(took)
		a.mu.Unlock()
		sleep(ctx, healthCheckInterval)
	}
}
