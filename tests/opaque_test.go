package tests

import (
	"context"
	"io"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/load"
	"github.com/bergamotrun/bergamotrun/internal/local"
)

// The slots of this file's deployments; those of the soak's cases are the highest ones.
const (
	slotCheck = local.MostSlots - 21 - iota
	slotLoad
	slotCarry
	slotSlope
)

// A deployment of the programs for opaque flows serves all requests and keeps all flows while every entry and an agent are
// replaced and a server drains.
func TestOpaqueCheck(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	out, err := exec.Command(binary, "dev", "-opaque", "-check", "-slot", strconv.Itoa(slotCheck)).CombinedOutput()
	t.Logf("%s", out)
	is.NoErr(err)
	is.True(strings.Contains(string(out), "check: requests=200 answered=200 broken=0 wrong=0 doubled=0"))
}

// At a load that the servers can take, nothing is lost, mixed up or broken.
func TestOpaqueLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, err := load.Parse("scenario", []byte(`
name = "steady"
deployment = "ovesna"
service = "order-desk"
opaque = true
load = 0.4
warmup = "1s"
duration = "4s"
deadline = "3s"
`))
	is.NoErr(err)
	r, err := load.Run(context.Background(), s, load.Options{
		Policy: load.Own, Log: zap.NewNop(), Binary: binary, Dir: t.TempDir(), Slot: slotLoad,
	})
	is.NoErr(err)
	is.NoErr(r.WriteText(io.Discard))
	t.Logf("%+v", *r)
	is.True(r.Requests > 0)
	is.Equal(r.Lost+r.Refused+r.Wrong+r.Broken+r.Errors, 0)
	is.Equal(r.Answered+r.Late, r.Requests)
}
