package tests

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/internal/soak"
)

// soakCase is a seeded run of the soak.
type soakCase struct {
	name   string
	seed   uint64
	only   string
	length time.Duration
	// why says what the seed once showed, or what the case is for.
	why string
}

// soakCases are run in CI. A seed that ever failed stays here with its cause.
var soakCases = []soakCase{
	{"mixed", 1, "", 12 * time.Second, "a mix of all faults"},
	{"kill-all", 2, "kill all", 5 * time.Second, "open flows are found again after all processes were killed"},
	{"servers", 789, "server replaced,server crashes", 8 * time.Second,
		"two faults at one server within a moment: the stand-in's port was still taken (no fault of the system)"},
	{"store", 3, "store silent,store forgets,store revokes,configurations", 8 * time.Second, "configurations while the store fails"},
	{"planned", 4, "roll entries,roll agents,server replaced", 8 * time.Second, "planned work alone breaks no flow"},
	{"agents", 4, "roll agents", 8 * time.Second,
		"flows learned before a server's first heartbeat were taken for those of an earlier start, and reset"},
}

func TestSoak(t *testing.T) {
	recordTestRun(t)
	for i, c := range soakCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			dir := t.TempDir()
			r, err := soak.Run(context.Background(), soak.Options{
				Seed: c.seed, Length: c.length, Entries: 3, Servers: 3, Clients: 8, Slot: local.MostSlots - 1 - i, Loss: 0.002,
				Only: c.only, Binary: binary, Dir: dir, Out: testWriter{t},
			})
			is.NoErr(err)
			t.Logf("%+v", *r)
			for _, f := range r.Findings {
				t.Errorf("broken: %s", f)
			}
			if t.Failed() {
				printLogs(t, dir)
			}
		})
	}
}

// testWriter writes lines to a test's log.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(string(b[:max(0, len(b)-1)]))
	return len(b), nil
}

// printLogs shows the logs of the processes of a run that failed.
func printLogs(t *testing.T, dir string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Log(err)
		return
	}
	const most = 20_000
	for _, f := range files {
		b, err := os.ReadFile(dir + "/" + f.Name())
		if err != nil {
			t.Log(err)
			continue
		}
		t.Logf("%s:\n%s", f.Name(), b[max(0, len(b)-most):])
	}
}
