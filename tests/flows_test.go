package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
)

// TestManyFlowsOpenAtOnce opens flows faster than agents exchange their loads. Every flow must open at exactly one agent,
// and every agent must get some.
func TestManyFlowsOpenAtOnce(t *testing.T) {
	recordTestRun(t)
	is := is.New(t)
	spec, err := devel.LoadSpec("ovesna")
	is.NoErr(err)
	d := startDeployment(t, spec, 7)
	s := d.Services()[0]
	const flows = 300
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	errs := make(chan error, flows)
	for i := range flows {
		c := caller.New(caller.Options{TLS: d.Authority.ClientConfig(s.Spec.Name), Attempts: 1})
		defer func() { _ = c.Close() }()
		go func() {
			errs <- openFlow(ctx, c, s, i)
		}()
		time.Sleep(time.Millisecond)
	}
	for range flows {
		is.NoErr(<-errs)
	}
	open := 0
	for _, target := range s.Targets {
		open += target.Agent.Flows()
		is.True(target.Agent.Flows() > 0)
	}
	is.Equal(open, flows) // Each flow is open at exactly one agent.
}

// openFlow opens a flow by sending a request with a new caller.
func openFlow(ctx context.Context, c *caller.Client, s *devel.Service, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("https://%s/work/a?ms=0", s.Address), nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(ctx, req)
	if err != nil {
		return fmt.Errorf("flow %d: %w", i, err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
