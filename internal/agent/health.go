package agent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
)

// runHealth polls the health endpoint of the backend server until ctx is done. The result is used only to detect that
// the server is draining; its speed and failures are measured from the requests that it handles.
func (a *Agent) runHealth(ctx context.Context) error {
	if a.opts.HealthPath == "" {
		<-ctx.Done()
		return nil
	}
	client := &http.Client{Timeout: healthTimeout}
	return timer.Every(ctx, healthInterval, func() { a.checkHealth(ctx, client) })
}

func (a *Agent) checkHealth(ctx context.Context, client *http.Client) {
	u := a.opts.Backend.JoinPath(a.opts.HealthPath)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		a.log.Error("can't create the health check request", zap.Error(err))
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		a.counters.Add("health_unanswered", 1)
		return
	}
	_ = resp.Body.Close()
	if a.stopping.Load() || a.service.get().record.Retired {
		return
	}
	a.setDraining(resp.StatusCode == http.StatusServiceUnavailable, "the backend server's health endpoint")
}
