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

// soakCase is a soak run with a fixed seed.
type soakCase struct {
	name string
	seed uint64
	// faults are the names of the faults to inject, separated by commas. If empty, all faults are injected.
	faults string
	// duration is how long new faults are started.
	duration time.Duration
	// reason is the failure that the seed has reproduced, or the purpose of the case.
	reason string
}

// soakCases run in CI. A seed that has failed once stays in the list, with the cause of the failure.
var soakCases = []soakCase{
	{"mixed", 1, "", 12 * time.Second, "a mix of all faults"},
	{"kill-all", 2, "kill all", 5 * time.Second, "open flows are found again after a kill of all processes"},
	{"servers", 789, "server replaced,server crashes", 8 * time.Second,
		"the port of a fake server was still in use: its listener was open, and a child process held a copy of its socket (no fault " +
			"of the system)"},
	{"store", 3, "store silent,store forgets,store revokes,configurations", 8 * time.Second, "configuration changes while the store fails"},
	{"planned", 4, "roll entries,roll agents,server replaced", 8 * time.Second, "planned operations alone break no flow"},
	{"agents", 4, "roll agents", 8 * time.Second,
		"flows learned before a server's first heartbeat were attributed to an earlier start of the server, and reset"},
	{"agents-together", 21, "roll all agents,roll entries", 8 * time.Second,
		"packets of open flows reached only other servers: lists of flows lacked some, and probes waited for free slots; seeds 21, 31, " +
			"32 and 34 reproduced it with 12 servers of each service, 5 entries and 24 clients in 24 s"},
	{"restored", 4, "store restored,configurations,kill processes", 8 * time.Second,
		"after the store's return from an older copy, processes that had started since the copy were listed by their predecessors' records"},
}

// TestSoak fails if a run of the soak finds a violation.
func TestSoak(t *testing.T) {
	recordTestRun(t)
	for i, c := range soakCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			dir := t.TempDir()
			report, err := soak.Run(context.Background(), soak.Options{
				Seed: c.seed, FaultDuration: c.duration, Entries: 3, Servers: 3, Clients: 8, Slot: local.MaxSlots - 1 - i, Loss: 0.002,
				Only: c.faults, Binary: binary, Dir: dir, Out: testWriter{t},
			})
			is.NoErr(err)
			t.Logf("%+v", *report)
			for _, violation := range report.Violations {
				t.Errorf("violation: %s", violation)
			}
			if t.Failed() {
				printLogs(t, dir)
			}
		})
	}
}

// testWriter is an io.Writer that logs each line to a test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(string(b[:max(0, len(b)-1)]))
	return len(b), nil
}

// printLogs logs the end of each process log in dir.
func printLogs(t *testing.T, dir string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Log(err)
		return
	}
	const maxLogBytes = 20_000
	for _, file := range files {
		content, err := os.ReadFile(dir + "/" + file.Name())
		if err != nil {
			t.Log(err)
			continue
		}
		t.Logf("%s:\n%s", file.Name(), content[max(0, len(content)-maxLogBytes):])
	}
}
