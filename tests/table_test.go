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

// update rewrites docs/FAULTS.md from the table.
var update = flag.Bool("update", false, "rewrite docs/FAULTS.md")

// steps are the steps of the path, the rows of the fault table.
var steps = []string{
	"announce", "view spread", "contract write", "contract read", "contract apply", "handshake, first datagram",
	"handshake, second datagram", "established packet", "reply", "admission", "queue", "hand-over sent",
	"hand-over accepted", "hand-over running", "hand-over answered", "dispatch to backend server", "answer headers",
	"answer body", "ticket minted", "ticket used", "ticket repeated", "drain", "stop", "packet key rotation",
}

// faults are the faults of the brief, the columns of the fault table.
var faults = []string{
	"kill", "freeze and resume", "cut one way", "cut both ways", "delay", "loss", "reorder", "duplicate",
	"store down", "store slow", "store reply lost", "watch silent", "lease lapsed", "uneven updates",
	"racing operators", "connection silent for good", "drain and replacement at once", "same fault twice",
}

// cell is what is known of a fault at a step: the tests that prove it, or why it can't be.
type cell struct {
	tests      []string
	impossible string
}

// rule fills the cells of some steps and faults.
type rule struct {
	steps, faults []string
	cell          cell
}

func by(tests ...string) cell { return cell{tests: tests} }

func never(why string) cell { return cell{impossible: why} }

var (
	all            = []string(nil)
	packetSteps    = []string{"handshake, first datagram", "handshake, second datagram", "established packet", "reply"}
	handSteps      = []string{"hand-over sent", "hand-over accepted", "hand-over running", "hand-over answered"}
	localSteps     = []string{"admission", "queue", "dispatch to backend server", "answer headers", "answer body", "ticket minted"}
	storelessSteps = append(append(append([]string{"ticket used", "ticket repeated"}, packetSteps...), handSteps...), localSteps...)
	storeFaults    = []string{"store down", "store slow", "store reply lost"}
	storeSteps     = []string{"contract write", "contract read"}
	wireFaults     = []string{"loss", "reorder", "duplicate", "delay"}
)

// rules fill the table; a later rule goes before an earlier one.
var rules = []rule{
	{all, []string{"lease lapsed"}, never("the system takes no lease")},
	{all, []string{"watch silent"}, never("the system uses no watch: it polls")},
	{storelessSteps, storeFaults, never("the store takes no part")},
	{storelessSteps, []string{"store down"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{append(append([]string{}, packetSteps...), localSteps...), []string{"racing operators"}, never("nothing here is changed by operators")},
	{handSteps, append([]string{"racing operators"}, "loss", "reorder", "duplicate"), never("TCP carries it, and operators change nothing here")},
	{localSteps, []string{"cut one way", "cut both ways", "loss", "reorder", "duplicate"}, never("it happens within one instance")},
	{packetSteps, wireFaults, by("TestLossyNetwork")},
	{packetSteps, []string{"kill"}, by("TestEntryKilled")},
	{packetSteps, []string{"freeze and resume"}, by("TestEntryFrozenAndResumed", "TestAgentFrozenAndResumed")},
	{packetSteps, []string{"cut both ways", "same fault twice"}, by("TestEntryCutOffFromCallers")},
	{packetSteps, []string{"uneven updates"}, by("TestServersComeAndGoWhileTheStoreIsDown", "internal/entry.TestEveryEntryPlacesAFlowAlike")},
	{packetSteps, []string{"drain and replacement at once"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{packetSteps, []string{"connection silent for good"}, by("TestAddressPassesToAnotherServicesAgent")},
	{[]string{"announce"}, []string{"kill"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{[]string{"announce"}, []string{"freeze and resume"}, by("TestAgentFrozenAndResumed")},
	{[]string{"announce", "view spread"}, []string{"store down"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{[]string{"announce", "view spread"}, []string{"store slow", "store reply lost"}, never("the store takes no part")},
	{[]string{"announce", "view spread"}, []string{"racing operators"}, never("nothing here is changed by operators")},
	{[]string{"view spread"}, []string{"kill"}, by("TestRollingReplacementOfEntries", "TestEntryKilled")},
	{[]string{"view spread"}, []string{"freeze and resume"}, by("TestEntryFrozenAndResumed")},
	{[]string{"view spread"}, []string{"reorder", "duplicate", "uneven updates"}, by("internal/view.TestMergeIsACommutativeIdempotentJoin")},
	{[]string{"view spread"}, []string{"loss"}, by("internal/view.TestDifferingFindsWhatIsMissing")},
	{storeSteps, []string{"store down"}, by("TestServersComeAndGoWhileTheStoreIsDown", "internal/journ.TestStoreDownRefusesChangesAndKeepsState")},
	{[]string{"contract write"}, []string{"store reply lost", "connection silent for good"}, by("TestLostStoreReplyAndSecondOperator", "internal/journ.TestLostAnswerIsRecognized", "internal/journ.TestUnansweredWriteIsUnknown")},
	{[]string{"contract read"}, []string{"store reply lost"}, never("a read has no effect that could outlive its reply")},
	{[]string{"contract write"}, []string{"racing operators"}, by("TestLostStoreReplyAndSecondOperator", "internal/journ.TestRacingOperatorsLoseNothing")},
	{[]string{"contract read", "contract apply"}, []string{"racing operators", "reorder", "duplicate"}, by("internal/journ.TestStateFollowsFromEntriesAlone")},
	{[]string{"contract apply"}, []string{"freeze and resume"}, by("TestEntryFrozenAndResumed")},
	{[]string{"contract apply"}, []string{"uneven updates"}, by("internal/journ.TestSnapshotNeverGoesBack", "internal/entry.TestTableNeverGoesBack", "TestContractChangeIsInForceEverywhere")},
	{[]string{"contract apply"}, []string{"store down"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{[]string{"contract apply"}, []string{"store reply lost"}, by("TestLostStoreReplyAndSecondOperator")},
	{handSteps[1:], []string{"kill"}, by("TestPeerKilledDuringHandOver", "TestCutReadIsNotCalledNotRun")},
	{handSteps[:2], []string{"connection silent for good"}, by("internal/agent.TestSilentConnectionToPeer")},
	{handSteps[:1], []string{"delay"}, by("internal/agent.TestVoidedRequestNeverBegins")},
	{handSteps[:1], []string{"kill"}, by("internal/agent.TestPeerWithoutAnswerIsUnknown")},
	{[]string{"dispatch to backend server"}, []string{"kill"}, by("TestNoServerAtAll", "TestAgentKilledDuringTicketedRequest")},
	{[]string{"dispatch to backend server"}, []string{"connection silent for good"}, by("internal/agent.TestOrderIsNotRepeatedByTheTransport")},
	{[]string{"ticket used"}, []string{"kill"}, by("TestAgentKilledDuringTicketedRequest")},
	{[]string{"ticket used", "ticket repeated"}, []string{"duplicate"}, by("TestTicketIsUsedTwice", "internal/ticket.TestSerialBeginsOnce")},
	{[]string{"ticket used", "ticket repeated"}, []string{"loss", "reorder", "delay"}, by("TestLossyNetwork")},
	{[]string{"ticket used", "ticket repeated"}, []string{"freeze and resume"}, by("TestAgentFrozenAndResumed")},
	{[]string{"ticket used", "ticket repeated"}, []string{"racing operators"}, never("nothing here is changed by operators")},
	{[]string{"ticket used", "ticket minted"}, []string{"drain and replacement at once"}, by("TestTicketsOutliveAPlannedStop")},
	{[]string{"drain"}, []string{"drain and replacement at once"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{[]string{"drain"}, []string{"store down"}, by("TestServersComeAndGoWhileTheStoreIsDown")},
	{[]string{"drain"}, []string{"uneven updates"}, by("TestAgentDrains", "TestBackendServerDrains")},
	{[]string{"drain", "stop"}, []string{"racing operators"}, never("operators don't drain by contracts")},
	{[]string{"contract write", "contract read", "contract apply"}, []string{"store slow"}, by("TestStoreSlow")},
	{[]string{"contract write"}, []string{"kill", "same fault twice"}, by("TestEntryKilledDuringContractWrite")},
	{[]string{"contract write"}, []string{"freeze and resume"}, by("TestEntryFrozenDuringContractWrite")},
	{[]string{"drain", "view spread"}, []string{"drain and replacement at once"}, by("TestDrainDuringReplacementOfEntries")},
	{handSteps, []string{"drain and replacement at once"}, by("TestDrainDuringReplacementOfEntries")},
	{handSteps[:2], []string{"freeze and resume"}, by("TestPeerFrozenDuringHandOver")},
	{[]string{"announce", "ticket used"}, []string{"same fault twice"}, by("TestAgentKilledTwice")},
	{[]string{"ticket minted"}, []string{"kill", "same fault twice"}, by("TestAgentKilledTwice")},
	{[]string{"answer headers", "answer body"}, []string{"kill"}, by("TestBackendServerDiesDuringAnswer")},
	{[]string{"hand-over answered"}, []string{"kill"}, by("TestHandOverIsCutWhenThePeerDies")},
	{[]string{"packet key rotation"}, []string{"uneven updates"}, by("TestKeyRotationBreaksNoFlow", "internal/connid.TestKeysRotate")},
	{[]string{"packet key rotation"}, []string{"racing operators"}, by("internal/journ.TestFirstKeyIsOne")},
}

// table returns the fault table.
func table() map[string]map[string]cell {
	out := make(map[string]map[string]cell)
	for _, s := range steps {
		out[s] = make(map[string]cell)
	}
	for _, r := range rules {
		ss, fs := r.steps, r.faults
		if ss == nil {
			ss = steps
		}
		for _, s := range ss {
			for _, f := range fs {
				out[s][f] = r.cell
			}
		}
	}
	return out
}

// counts returns how many cells are proved, impossible and unproved.
func counts() (proved, impossible, unproved int) {
	t := table()
	for _, s := range steps {
		for _, f := range faults {
			switch c := t[s][f]; {
			case len(c.tests) > 0:
				proved++
			case c.impossible != "":
				impossible++
			default:
				unproved++
			}
		}
	}
	return proved, impossible, unproved
}

// namedTests returns the tests that the table names.
func namedTests() map[string]bool {
	out := make(map[string]bool)
	for _, r := range rules {
		for _, name := range r.cell.tests {
			out[name] = true
		}
	}
	for _, k := range kinds {
		for _, name := range k.tests {
			out[name] = true
		}
	}
	return out
}

// checkTableAgainstRuns returns an error when the table names a test of this package that didn't run. It
// holds for a run of all tests only.
func checkTableAgainstRuns() error {
	if f := flag.Lookup("test.run"); f != nil && f.Value.String() != "" {
		return nil
	}
	if f := flag.Lookup("test.skip"); f != nil && f.Value.String() != "" {
		return nil
	}
	for name := range namedTests() {
		if strings.Contains(name, ".") {
			continue
		}
		if _, ok := ranTests.Load(name); !ok {
			return errors.Errorf("the fault table names %s, which didn't run", name)
		}
	}
	proved, impossible, unproved := counts()
	fmt.Printf("fault table: %d proved, %d not possible, %d unproved\n", proved, impossible, unproved)
	return nil
}

var testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(t \*testing\.T\)`)

// TestFaultTableNamesRealTests checks that tests of other packages that the table names exist.
func TestFaultTableNamesRealTests(t *testing.T) {
	is := is.New(t)
	for name := range namedTests() {
		dir, test, other := strings.Cut(name, ".")
		if !other {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
		is.NoErr(err)
		found := false
		for _, file := range files {
			text, err := os.ReadFile(file)
			is.NoErr(err)
			for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
				found = found || m[1] == test
			}
		}
		if !found {
			t.Errorf("the fault table names %s, which doesn't exist", name)
		}
	}
}

// TestFaultsPage checks docs/FAULTS.md against the table.
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
	is.True(string(got) == want) // Else run go test ./tests -run FaultsPage -update.
}

// faultsPage returns the fault table as a page.
func faultsPage() (string, error) {
	var b strings.Builder
	proved, impossible, unproved := counts()
	b.WriteString("# Fault matrix\n\n")
	b.WriteString("Made by `go test ./tests -run FaultsPage -update` from the table in tests/table_test.go; a test compares them.\n")
	b.WriteString("A fault at a step is proved by the tests named, not possible for the reason given, or unproved.\n\n")
	fmt.Fprintf(&b, "%d cells: %d proved, %d not possible, %d unproved.\n\n", len(steps)*len(faults), proved, impossible, unproved)
	b.WriteString("A cell is proved where the test brings the fault about while traffic passes that step. Where the brief's promise\n")
	b.WriteString("at the step needs the fault at an exact moment, such as a kill between two messages, and the test can't choose that\n")
	b.WriteString("moment, it meets it by chance over many requests.\n\n")
	t := table()
	for _, s := range steps {
		fmt.Fprintf(&b, "## %s\n\n| fault | outcome |\n| --- | --- |\n", s)
		for _, f := range faults {
			c := t[s][f]
			text := "unproved"
			switch {
			case len(c.tests) > 0:
				text = "proved: " + strings.Join(c.tests, ", ")
			case c.impossible != "":
				text = "not possible: " + c.impossible
			}
			fmt.Fprintf(&b, "| %s | %s |\n", f, text)
		}
		b.WriteString("\n")
	}
	if err := writeKinds(&b); err != nil {
		return "", err
	}
	return b.String(), nil
}
