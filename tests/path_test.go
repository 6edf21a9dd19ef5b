package tests

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/devel"
	"github.com/bergamotrun/bergamotrun/internal/sample"
	"github.com/bergamotrun/bergamotrun/pkg/caller"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// smallSpec returns the specification of a deployment with two entries and two services.
func smallSpec() *devel.Spec {
	return &devel.Spec{
		Name:    "small",
		Domains: []string{"a", "b"},
		Entries: 2,
		Services: []devel.ServiceSpec{
			{
				Name: "desk", Member: "m1", Share: 50, Targets: 2, Slots: 4, Connections: 100, Queue: 8,
				Deadline: contr.Duration(5 * time.Second), Tickets: true, Streams: []string{"/stream"}, Drain: contr.Duration(10 * time.Second),
			},
			{
				Name: "archive", Member: "m2", Share: 50, Targets: 2, Slots: 4, Connections: 100, Queue: 8,
				Deadline: contr.Duration(5 * time.Second), Streams: []string{"/stream"}, Drain: contr.Duration(10 * time.Second),
			},
		},
	}
}

// startDeployment starts a deployment in the test process. It logs in verbose mode only.
func startDeployment(t *testing.T, spec *devel.Spec, seed uint64) *devel.Deployment {
	t.Helper()
	log := zap.NewNop()
	if testing.Verbose() {
		log, _ = zap.NewDevelopment()
	}
	d, err := devel.Start(context.Background(), devel.Options{Spec: spec, Seed: seed, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// newCaller returns a caller of a service with the caller library's default number of attempts.
func newCaller(t *testing.T, d *devel.Deployment, s *devel.Service) *caller.Client {
	t.Helper()
	c := caller.New(caller.Options{TLS: d.Authority.ClientConfig(s.Spec.Name)})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestRequestEndToEnd checks that a request to each service is served by a server of that service.
func TestRequestEndToEnd(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, smallSpec(), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for _, s := range d.Services() {
		c := newCaller(t, d, s)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+s.Address.String()+"/work/x?ms=5", nil)
		is.NoErr(err)
		req.Header.Set(sample.HeaderService, s.Spec.Name)
		req.Header.Set(sample.HeaderID, "r1")
		resp, err := c.Do(ctx, req)
		is.NoErr(err)
		respBody, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(string(respBody), s.Spec.Name+" r1 ")
		is.Equal(resp.Header.Get(sample.HeaderService), s.Spec.Name)
	}
}
