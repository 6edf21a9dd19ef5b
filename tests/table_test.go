package tests

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// update rewrites the generated pages docs/FAULTS.md and docs/CAPACITY.md.
var update = flag.Bool("update", false, "rewrite docs/FAULTS.md")

// steps are the rows of the fault table: the steps that requests, control messages and contract changes go through.
var steps = []string{
	"announce", "view spread", "contract write", "contract read", "contract apply", "handshake, first datagram",
	"handshake, second datagram", "established packet", "reply", "admission", "queue", "hand-over sent",
	"hand-over accepted", "hand-over running", "hand-over answered", "dispatch to backend server", "answer headers",
	"answer body", "ticket minted", "ticket used", "ticket repeated", "drain", "stop", "packet key rotation",
}

// faults are the columns of the fault table: the faults that the requirements list.
var faults = []string{
	"kill", "freeze and resume", "cut one way", "cut both ways", "delay", "loss", "reorder", "duplicate",
	"store down", "store slow", "store reply lost", "watch silent", "lease lapsed", "uneven updates",
	"racing operators", "connection silent for good", "drain and replacement at once", "same fault twice",
}

// coverage is a cell of the fault table: the tests that prove the behavior under a fault at a step, or the reason why the
// fault can't occur there. Neither is set if the cell is unproved.
type coverage struct {
	tests       []string
	notPossible string
}

// coverageRule sets the cells of all combinations of its steps and faults; steps of nil stands for all steps.
type coverageRule struct {
	steps, faults []string
	coverage      coverage
}

// provedBy returns the coverage of a fault that the given tests prove.
func provedBy(tests ...string) coverage { return coverage{tests: tests} }

// cannotOccur returns the coverage of a fault that is not possible at a step.
func cannotOccur(reason string) coverage { return coverage{notPossible: reason} }

var (
	allSteps       = []string(nil)
	packetSteps    = []string{"handshake, first datagram", "handshake, second datagram", "established packet", "reply"}
	handOverSteps  = []string{"hand-over sent", "hand-over accepted", "hand-over running", "hand-over answered"}
	localSteps     = []string{"admission", "queue", "dispatch to backend server", "answer headers", "answer body", "ticket minted"}
	storelessSteps = append(append(append([]string{"ticket used", "ticket repeated"}, packetSteps...), handOverSteps...), localSteps...)
	storeFaults    = []string{"store down", "store slow", "store reply lost"}
	contractSteps  = []string{"contract write", "contract read"}
	networkFaults  = []string{"loss", "reorder", "duplicate", "delay"}
)

// coverageRules define the fault table. A later rule overrides earlier ones.
var coverageRules = []coverageRule{
	{allSteps, []string{"lease lapsed"}, cannotOccur("the system takes no lease")},
	{allSteps, []string{"watch silent"}, cannotOccur("the system uses no watch: it polls")},
	{storelessSteps, storeFaults, cannotOccur("the store takes no part")},
	{storelessSteps, []string{"store down"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{append(append([]string{}, packetSteps...), localSteps...), []string{"racing operators"}, cannotOccur("nothing here is changed by operators")},
	{handOverSteps, append([]string{"racing operators"}, "loss", "reorder", "duplicate"), cannotOccur("TCP carries it, and operators change nothing here")},
	{localSteps, []string{"cut one way", "cut both ways", "loss", "reorder", "duplicate"}, cannotOccur("it happens within one instance")},
	{packetSteps, networkFaults, provedBy("TestLossyNetwork")},
	{packetSteps, []string{"kill"}, provedBy("TestEntryKilled")},
	{packetSteps, []string{"freeze and resume"}, provedBy("TestEntryFrozenAndResumed", "TestAgentFrozenAndResumed")},
	{packetSteps, []string{"cut both ways", "same fault twice"}, provedBy("TestEntryCutOffFromCallers")},
	{packetSteps, []string{"uneven updates"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage", "internal/entry.TestEntriesChooseSameAgentForFlow")},
	{packetSteps, []string{"drain and replacement at once"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{packetSteps, []string{"connection silent for good"}, provedBy("TestAddressReusedByAgentOfAnotherService")},
	{[]string{"announce"}, []string{"kill"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{[]string{"announce"}, []string{"freeze and resume"}, provedBy("TestAgentFrozenAndResumed")},
	{[]string{"announce", "view spread"}, []string{"store down"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{[]string{"announce", "view spread"}, []string{"store slow", "store reply lost"}, cannotOccur("the store takes no part")},
	{[]string{"announce", "view spread"}, []string{"racing operators"}, cannotOccur("nothing here is changed by operators")},
	{[]string{"view spread"}, []string{"kill"}, provedBy("TestRollingReplacementOfEntries", "TestEntryKilled")},
	{[]string{"view spread"}, []string{"freeze and resume"}, provedBy("TestEntryFrozenAndResumed")},
	{[]string{"view spread"}, []string{"reorder", "duplicate", "uneven updates"}, provedBy("internal/view.TestMergeIsACommutativeIdempotentJoin")},
	{[]string{"view spread"}, []string{"loss"}, provedBy("internal/view.TestDifferingReturnsMissingRecords")},
	{contractSteps, []string{"store down"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage", "internal/journ.TestStoreDownRefusesChangesAndKeepsState")},
	{[]string{"contract write"}, []string{"store reply lost", "connection silent for good"}, provedBy("TestLostStoreReplyAndSecondOperator", "internal/journ.TestCommitSucceedsAfterLostResponse", "internal/journ.TestUnansweredWriteHasUnknownOutcome")},
	{[]string{"contract read"}, []string{"store reply lost"}, cannotOccur("a read has no effect that could outlive its reply")},
	{[]string{"contract write"}, []string{"racing operators"}, provedBy("TestLostStoreReplyAndSecondOperator", "internal/journ.TestConcurrentUpdatesAreNotLost")},
	{[]string{"contract read", "contract apply"}, []string{"racing operators", "reorder", "duplicate"}, provedBy("internal/journ.TestStateDependsOnlyOnEntries")},
	{[]string{"contract apply"}, []string{"freeze and resume"}, provedBy("TestEntryFrozenAndResumed")},
	{[]string{"contract apply"}, []string{"uneven updates"}, provedBy("internal/journ.TestOlderSnapshotIsNotLoaded", "internal/entry.TestOlderContractIsIgnored", "TestContractChangeReachesAllProcesses")},
	{[]string{"contract apply"}, []string{"store down"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{[]string{"contract apply"}, []string{"store reply lost"}, provedBy("TestLostStoreReplyAndSecondOperator")},
	{handOverSteps[1:], []string{"kill"}, provedBy("TestPeerKilledDuringHandOver", "TestIdempotentRequestIsUnknownIfPeerIsKilled")},
	{handOverSteps[:2], []string{"connection silent for good"}, provedBy("internal/agent.TestUnresponsivePeerConnectionIsReplaced")},
	{handOverSteps[:1], []string{"delay"}, provedBy("internal/agent.TestVoidedRequestNeverBegins")},
	{handOverSteps[:1], []string{"kill"}, provedBy("internal/agent.TestRequestIsNotRunWithoutTLSConnection")},
	{[]string{"dispatch to backend server"}, []string{"kill"}, provedBy("TestOrderIsRefusedWithoutBackendServer", "TestAgentKilledDuringTicketedRequest")},
	{[]string{"dispatch to backend server"}, []string{"connection silent for good"}, provedBy("internal/agent.TestTransportDoesNotRetryOrder")},
	{[]string{"ticket used"}, []string{"kill"}, provedBy("TestAgentKilledDuringTicketedRequest")},
	{[]string{"ticket used", "ticket repeated"}, []string{"duplicate"}, provedBy("TestReusedTicketRunsOrderOnce", "internal/ticket.TestSerialBeginsOnce")},
	{[]string{"ticket used", "ticket repeated"}, []string{"loss", "reorder", "delay"}, provedBy("TestLossyNetwork")},
	{[]string{"ticket used", "ticket repeated"}, []string{"freeze and resume"}, provedBy("TestAgentFrozenAndResumed")},
	{[]string{"ticket used", "ticket repeated"}, []string{"racing operators"}, cannotOccur("nothing here is changed by operators")},
	{[]string{"ticket used", "ticket minted"}, []string{"drain and replacement at once"}, provedBy("TestTicketsStayValidAfterPlannedStop")},
	{[]string{"drain"}, []string{"drain and replacement at once"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{[]string{"drain"}, []string{"store down"}, provedBy("TestProcessesJoinDrainAndFailDuringStoreOutage")},
	{[]string{"drain"}, []string{"uneven updates"}, provedBy("TestAgentDrains", "TestBackendServerDrains")},
	{[]string{"drain", "stop"}, []string{"racing operators"}, cannotOccur("operators don't drain by contracts")},
	{[]string{"contract write", "contract read", "contract apply"}, []string{"store slow"}, provedBy("TestStoreSlow")},
	{[]string{"contract write"}, []string{"kill", "same fault twice"}, provedBy("TestEntryKilledDuringContractWrite")},
	{[]string{"contract write"}, []string{"freeze and resume"}, provedBy("TestEntryFrozenDuringContractWrite")},
	{[]string{"drain", "view spread"}, []string{"drain and replacement at once"}, provedBy("TestDrainDuringReplacementOfEntries")},
	{handOverSteps, []string{"drain and replacement at once"}, provedBy("TestDrainDuringReplacementOfEntries")},
	{handOverSteps[:2], []string{"freeze and resume"}, provedBy("TestPeerFrozenDuringHandOver")},
	{[]string{"announce", "ticket used"}, []string{"same fault twice"}, provedBy("TestAgentKilledTwice")},
	{[]string{"ticket minted"}, []string{"kill", "same fault twice"}, provedBy("TestAgentKilledTwice")},
	{[]string{"answer headers", "answer body"}, []string{"kill"}, provedBy("TestBackendServerFailsDuringResponse")},
	{[]string{"hand-over answered"}, []string{"kill"}, provedBy("TestPeerKilledDuringResponse")},
	{[]string{"packet key rotation"}, []string{"uneven updates"}, provedBy("TestKeyRotationBreaksNoFlow", "internal/connid.TestKeysRotate")},
	{[]string{"packet key rotation"}, []string{"racing operators"}, provedBy("internal/journ.TestConcurrentEnsureKeyAddsOneKey")},
}

// faultTable returns the coverage by step and fault.
func faultTable() map[string]map[string]coverage {
	cells := make(map[string]map[string]coverage)
	for _, s := range steps {
		cells[s] = make(map[string]coverage)
	}
	for _, r := range coverageRules {
		ruleSteps, ruleFaults := r.steps, r.faults
		if ruleSteps == nil {
			ruleSteps = steps
		}
		for _, s := range ruleSteps {
			for _, f := range ruleFaults {
				cells[s][f] = r.coverage
			}
		}
	}
	return cells
}

// countCells returns the numbers of cells that are proved, not possible and unproved.
func countCells() (proved, notPossible, unproved int) {
	cells := faultTable()
	for _, s := range steps {
		for _, f := range faults {
			switch cell := cells[s][f]; {
			case len(cell.tests) > 0:
				proved++
			case cell.notPossible != "":
				notPossible++
			default:
				unproved++
			}
		}
	}
	return proved, notPossible, unproved
}

// citedTests returns the names of the tests in the fault table and the table of event kinds.
func citedTests() map[string]bool {
	names := make(map[string]bool)
	for _, r := range coverageRules {
		for _, name := range r.coverage.tests {
			names[name] = true
		}
	}
	for _, k := range eventKinds {
		for _, name := range k.tests {
			names[name] = true
		}
	}
	return names
}

// checkTableAgainstRuns returns an error if the tables name a test of this package that didn't run. It checks nothing if
// only a selection of the tests was run.
func checkTableAgainstRuns() error {
	if f := flag.Lookup("test.run"); f != nil && f.Value.String() != "" {
		return nil
	}
	if f := flag.Lookup("test.skip"); f != nil && f.Value.String() != "" {
		return nil
	}
	for name := range citedTests() {
		if strings.Contains(name, ".") {
			continue
		}
		if _, ok := ranTests.Load(name); !ok {
			return errors.Errorf("the fault table names %s, which didn't run", name)
		}
	}
	proved, notPossible, unproved := countCells()
	fmt.Printf("fault table: %d proved, %d not possible, %d unproved\n", proved, notPossible, unproved)
	return nil
}

// testFunc matches the declaration of a test.
var testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(t \*testing\.T\)`)

// TestFaultTableNamesRealTests checks that the tests of other packages that the tables name exist.
func TestFaultTableNamesRealTests(t *testing.T) {
	is := is.New(t)
	for name := range citedTests() {
		pkg, test, qualified := strings.Cut(name, ".")
		if !qualified {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
		is.NoErr(err)
		found := false
		for _, file := range files {
			content, err := os.ReadFile(file)
			is.NoErr(err)
			for _, match := range testFunc.FindAllStringSubmatch(string(content), -1) {
				found = found || match[1] == test
			}
		}
		if !found {
			t.Errorf("the fault table names %s, which doesn't exist", name)
		}
	}
}

// TestFaultsPage checks that docs/FAULTS.md matches the page generated from the tables.
func TestFaultsPage(t *testing.T) {
	is := is.New(t)
	const file = "../docs/FAULTS.md"
	want, err := faultsPage()
	is.NoErr(err)
	if *update {
		is.NoErr(os.WriteFile(file, []byte(want), 0o644))
	}
	got, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(string(got) == want) // If not, run go test ./tests -run FaultsPage -update.
}

// faultsPage returns the text of docs/FAULTS.md.
func faultsPage() (string, error) {
	var page strings.Builder
	proved, notPossible, unproved := countCells()
	page.WriteString("# Fault matrix\n\n")
	page.WriteString("Made by `go test ./tests -run FaultsPage -update` from the table in tests/table_test.go; a test compares them.\n")
	page.WriteString("A fault at a step is proved by the tests named, not possible for the reason given, or unproved.\n\n")
	fmt.Fprintf(&page, "%d cells: %d proved, %d not possible, %d unproved.\n\n", len(steps)*len(faults), proved, notPossible, unproved)
	page.WriteString("A cell is proved where the test brings the fault about while traffic passes that step. Where the brief's promise\n")
	page.WriteString("at the step needs the fault at an exact moment, such as a kill between two messages, and the test can't choose that\n")
	page.WriteString("moment, it meets it by chance over many requests.\n\n")
	cells := faultTable()
	for _, s := range steps {
		fmt.Fprintf(&page, "## %s\n\n| fault | outcome |\n| --- | --- |\n", s)
		for _, f := range faults {
			c := cells[s][f]
			outcome := "unproved"
			switch {
			case len(c.tests) > 0:
				outcome = "proved: " + strings.Join(c.tests, ", ")
			case c.notPossible != "":
				outcome = "not possible: " + c.notPossible
			}
			fmt.Fprintf(&page, "| %s | %s |\n", f, outcome)
		}
		page.WriteString("\n")
	}
	if err := writeEventKinds(&page); err != nil {
		return "", err
	}
	return page.String(), nil
}
