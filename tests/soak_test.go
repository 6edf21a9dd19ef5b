package tests

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

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
	// change changes the options, if it isn't nil.
	change func(opts *soak.Options)
}

// finalFault changes the options to those of a short scripted run, whose flows are silent for up to the idle timeout around the final
// fault, from ports that come back.
func finalFault(final string) func(opts *soak.Options) {
	return func(opts *soak.Options) {
		opts.Shape, opts.Final, opts.Tail, opts.Flaps = "final", final, finalFaultTail, true
		opts.Servers, opts.Servers2, opts.Users, opts.Aimed, opts.Fresh = 4, 2, 8, 1, 0.4
		opts.Ports, opts.RandomPorts, opts.ByDomain = 40, true, true
		opts.MaxPause, opts.MaxResponse = 14*time.Second, 60_000
	}
}

// reusedPorts changes the options to those of a short scripted run with long flows only, each of which is silent around a kill of all
// processes, from ports that had other flows shortly before.
func reusedPorts(opts *soak.Options) {
	finalFault("kill")(opts)
	opts.Flaps, opts.Fresh, opts.Servers, opts.Servers2, opts.Users = false, 0, 2, 2, 30
	opts.MaxPause, opts.MaxResponse = 14700*time.Millisecond, 0
}

// finalFaultTail is how long the traffic of finalFault goes on after the fault: longer than the idle timeout, the longest timeout of a route and
// the margin after them.
const finalFaultTail = 26 * time.Second

// soakCases run in CI. A seed that has failed once stays in the list, with the cause of the failure.
var soakCases = []soakCase{
	{name: "mixed", seed: 1, faults: "", duration: 12 * time.Second, reason: "a mix of all faults"},
	{name: "kill-all", seed: 2, faults: "kill all", duration: 5 * time.Second, reason: "open flows are found again after a kill of all processes"},
	{name: "servers", seed: 789, faults: "server replaced,server crashes", duration: 8 * time.Second,
		reason: "the port of a fake server was still in use: its listener was open, and a child process held a copy of its socket (no fault " +
			"of the system)"},
	{name: "store", seed: 3, faults: "store silent,store forgets,store revokes,configurations", duration: 8 * time.Second,
		reason: "configuration changes while the store fails"},
	{name: "planned", seed: 4, faults: "roll entries,roll agents,server replaced", duration: 8 * time.Second, reason: "planned operations alone break no flow"},
	{name: "agents", seed: 4, faults: "roll agents", duration: 8 * time.Second,
		reason: "flows learned before a server's first heartbeat were attributed to an earlier start of the server, and reset"},
	{name: "agents-together", seed: 21, faults: "roll all agents,roll entries", duration: 8 * time.Second,
		reason: "packets of open flows reached only other servers: lists of flows lacked some, and probes waited for free slots; seeds 21, 31, " +
			"32 and 34 reproduced it with 12 servers of each service, 5 entries and 24 clients in 24 s"},
	{name: "restored", seed: 4, faults: "store restored,configurations,kill processes", duration: 8 * time.Second,
		reason: "after the store's return from an older copy, processes that had started since the copy were listed by their predecessors' records"},
	{name: "kill-all-idle", seed: 42, reason: "silent flows after a kill of all processes", change: finalFault("kill")},
	{name: "power-idle", seed: 43, reason: "new flows after a loss of power", change: finalFault("power")},
	{name: "reused-ports", seed: 1, change: reusedPorts,
		reason: "18.5 s after a kill of all processes, entries reset open flows whose ports had flows in the agents' saved lists"},
}

// soakSlots are the slots of the cases, which no other test uses.
var soakSlots = []int{39, 38, 37, 36, 35, 34, 33, 32, 21, 20, 22}

// TestSoak fails if a run of the soak finds a violation.
func TestSoak(t *testing.T) {
	recordTestRun(t)
	for i, c := range soakCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			dir := t.TempDir()
			opts := soak.Options{
				Seed: c.seed, FaultDuration: c.duration, Entries: 3, Servers: 3, Clients: 8, Slot: soakSlots[i], Loss: 0.002,
				Only: c.faults, Binary: binary, Dir: dir, Out: testWriter{t},
			}
			if c.change != nil {
				c.change(&opts)
			}
			report, err := soak.Run(context.Background(), opts)
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
