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

// Slots of the deployments for opaque flows in this package. TestSoak uses the highest slots.
const (
	slotCheck = local.MaxSlots - 21 - iota
	slotLoad
	slotRecovery
	slotSlope
	slotStop
	slotOdd
	slotStandstill
	slotEarlierFlows
	slotProbedPorts
	slotStopAll
)

// A deployment for opaque flows must answer all requests and keep all flows while all entries and one agent are replaced
// and a server drains.
func TestOpaqueCheck(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	out, err := exec.Command(binary, "dev", "-opaque", "-check", "-slot", strconv.Itoa(slotCheck)).CombinedOutput()
	t.Logf("%s", out)
	is.NoErr(err)
	is.True(strings.Contains(string(out), "check: requests=200 answered=200 broken=0 wrong=0 doubled=0"))
}

// Under a load within the capacity of the servers, no request may be lost, refused or answered wrongly, and no response may
// break off.
func TestOpaqueLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	scenario, err := load.Parse("scenario", []byte(`
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
	result, err := load.Run(context.Background(), scenario, load.Options{
		Policy: load.DefaultPolicy, Log: zap.NewNop(), Binary: binary, Dir: t.TempDir(), Slot: slotLoad,
	})
	is.NoErr(err)
	is.NoErr(result.WriteText(io.Discard))
	t.Logf("%+v", *result)
	is.True(result.Requests > 0)
	is.Equal(result.Lost+result.Refused+result.WrongResponses+result.BrokenStreams+result.ServerErrors, 0)
	is.Equal(result.Answered+result.Late, result.Requests)
}
