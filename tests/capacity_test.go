package tests

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

// slope is a measured figure that docs/CAPACITY.md uses.
type slope struct {
	Name  string  `toml:"name"`
	Value float64 `toml:"value"`
	Unit  string  `toml:"unit"`
	Bench string  `toml:"bench"`
}

// slopes reads docs/slopes.toml.
func slopes(t *testing.T) map[string]slope {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("../docs/slopes.toml")
	is.NoErr(err)
	var file struct{ Slope []slope }
	is.NoErr(toml.Unmarshal(text, &file))
	out := make(map[string]slope)
	for _, s := range file.Slope {
		out[s.Name] = s
	}
	return out
}

// TestEverySlopeHasABenchmark checks that the page's figures name the benchmark that gives them.
func TestEverySlopeHasABenchmark(t *testing.T) {
	is := is.New(t)
	var source strings.Builder
	for _, pattern := range []string{"../internal/*/*_test.go", "../pkg/*/*_test.go", "*_test.go"} {
		files, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, f := range files {
			text, err := os.ReadFile(f)
			is.NoErr(err)
			source.Write(text)
		}
	}
	for name, s := range slopes(t) {
		is.True(s.Unit != "")
		if !strings.Contains(source.String(), "func "+s.Bench+"(b *testing.B)") {
			t.Errorf("slope %s names %s, which doesn't exist", name, s.Bench)
		}
	}
}

// The target's sizes and rates.
const (
	targetEntries   = 20_000
	targetAgents    = 100_000
	targetContracts = 13_000
	targetFlows     = 210e6
	targetNewFlows  = 890_000 // A second.
	day             = 86_400
	changesPerDay   = 36_000
	failuresPerDay  = 660
	restartsPerDay  = 8600
	recordsPerFail  = 2 // Lost, up again.
	recordsPerStart = 3 // Draining, gone, up.
	beatsPerAgent   = 2 // A second.
	peersPerAgent   = 7
	loadsPerSecond  = 2
	ipHeaders       = 28 // Of a datagram, in bytes.
	lostDomain      = 11_000
	mebibyte        = 1 << 20

	budgetCore   = 2.3 // Percent.
	budgetMemory = 128 // MB.
	budgetBytes  = 5000
)

// row is a line of the page.
type row struct {
	what, mechanism string
	value           float64
	unit            string
}

// capacity works the page's figures out from the slopes.
func capacity(s map[string]slope) (entry, agent, store, events []row) {
	v := func(name string) float64 { return s[name].Value }
	churn := (failuresPerDay*recordsPerFail + restartsPerDay*recordsPerStart) / float64(day)
	beats := float64(targetAgents*beatsPerAgent) / targetEntries
	beatBytes := beats * (v("beat_size") + v("ack_size") + 2*ipHeaders)
	view := v("view_record") * (targetAgents + targetEntries) / 1e6
	table := v("table_target") * targetAgents / 1e6
	state := v("state_contract") * targetContracts / 1e6
	newFlows := targetNewFlows / float64(targetEntries)
	entry = []row{
		{"view of all processes", "records merged by version (view)", view, "MB"},
		{"routing table", "one immutable service a slot (entry.Table)", table, "MB"},
		{"contracts", "state of the journal (journ)", state, "MB"},
		{"process without them", "Go runtime, buffers", v("entry_base") * mebibyte / 1e6, "MB"},
		{"memory, sum", "", view + table + state + v("entry_base")*mebibyte/1e6, "MB of 128"},
		{"heartbeats", fmt.Sprintf("%.0f a second, each answered", beats), beatBytes, "B/s"},
		{"news and comparisons", "rumors to four, one sync a second; measured with 0.4 changes and 0.2 records a second", v("spread_bytes"), "B/s"},
		{"traffic, sum", "", beatBytes + v("spread_bytes"), "B/s of 5000"},
		{"heartbeats", "handled one after the other", beats * v("beat_cpu") / 1e9 * 100, "% of a core"},
		{"idle process with 8 heartbeats a second", "all controllers", v("entry_idle_cpu"), "% of a core, of 2.3"},
		{"applying a contract change", "journal and table", (v("apply_cpu") + v("table_change_cpu")) / 1000, "us"},
		{"records that change", "", churn, "a second"},
		{"new flows (not control)", fmt.Sprintf("%.1f a second, with the first request", newFlows), newFlows * v("entry_flow_cpu") / 1e6 * 100, "% of a core"},
		{"state of open flows", "none", 0, "B"},
	}
	flows := targetFlows / targetAgents
	loads := peersPerAgent * loadsPerSecond * 2 * (v("load_size") + ipHeaders)
	agent = []row{
		{"open flows", fmt.Sprintf("%.0f at an agent", flows), flows * (v("flow_heap") + v("flow_stack")) / 1e6, "MB (not control)"},
		{"goroutines of open flows", "QUIC and HTTP/3 library", flows * v("flow_goroutines"), ""},
		{"load news", "twice a second to 7 peers, and from them", loads, "B/s of 5000"},
		{"idle agent with 7 peers", "without IP headers", v("agent_idle_bytes"), "B/s of 5000"},
		{"idle agent with 7 peers", "all controllers", v("agent_idle_cpu"), "% of a core, of 2.3"},
		{"new flows (not control)", "TLS handshake and first request", float64(targetNewFlows) / targetAgents * v("agent_flow_cpu") / 1e6 * 100, "% of a core"},
		{"a request", "HTTP/3 in, HTTP/1.1 out", v("agent_request_cpu"), "us"},
	}
	polls := min(float64(targetEntries), 1000)
	store = []row{
		{"polls of the journal", "each entry each 20 s on average; no watches", polls, "reads/s of 2000"},
		{"contract changes", "one create each, and a read before it", float64(changesPerDay) / day, "writes/s of several hundred"},
		{"entries' addresses", "each entry each 2000 s", targetEntries / 2000.0, "writes/s"},
		{"journal", fmt.Sprintf("%.0f bytes a change", v("entry_size")), changesPerDay * v("entry_size") / 1e6, "MB/day"},
	}
	events = []row{
		{"a failure domain lost", "11,000 lost records, sent to 4 and got from 4", lostDomain * 8 * v("rumor_size") / 1e6, "MB an entry, within some 10 s"},
		{"a failure domain's return", "each agent asks 3 entries", lostDomain * 3.0 / targetEntries, "calls an entry"},
		{"an entry that starts with nothing", "one exchange of all records", (targetAgents + targetEntries) * v("record_size") / 1e6, "MB"},
		{"a comparison of views", "at most each 30 s while news are under way", v("digest_cpu") / 1e6, "ms"},
	}
	return entry, agent, store, events
}

// TestCapacityPage checks docs/CAPACITY.md against the slopes.
func TestCapacityPage(t *testing.T) {
	is := is.New(t)
	const file = "../docs/CAPACITY.md"
	want := capacityPage(slopes(t), is)
	if *update {
		is.NoErr(os.WriteFile(file, []byte(want), 0o644))
	}
	got, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(string(got) == want) // Else run go test ./tests -run CapacityPage -update.
}

func capacityPage(s map[string]slope, is *is.I) string {
	var b strings.Builder
	notes, err := os.ReadFile("../docs/capacity_notes.md")
	is.NoErr(err)
	b.WriteString("# Capacity\n\n")
	b.WriteString("What the target takes: 20,000 entries before 100,000 targets behind 13,000 addresses, 210 million open flows,\n")
	b.WriteString("890,000 new ones a second, 36,000 changes a day. Each figure is a slope measured here times a count. The tables\n")
	b.WriteString("are made from docs/slopes.toml by `go test ./tests -run CapacityPage -update`; a test compares them. The slopes\n")
	b.WriteString("come from `make slopes`, which runs the benchmarks named.\n\n")
	entry, agent, store, events := capacity(s)
	writeRows(&b, "An entry", entry)
	writeRows(&b, "An agent", agent)
	writeRows(&b, "The store", store)
	writeRows(&b, "Events", events)
	b.Write(notes)
	b.WriteString("\n## Slopes\n\n| slope | value | benchmark |\n| --- | --- | --- |\n")
	for _, name := range sortedNames(s) {
		fmt.Fprintf(&b, "| %s | %g %s | %s |\n", name, s[name].Value, s[name].Unit, s[name].Bench)
	}
	return b.String()
}

func sortedNames(s map[string]slope) []string {
	var out []string
	for name := range s {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func writeRows(b *strings.Builder, title string, rows []row) {
	fmt.Fprintf(b, "## %s\n\n| what | mechanism | figure |\n| --- | --- | --- |\n", title)
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %.4g %s |\n", r.what, r.mechanism, r.value, r.unit)
	}
	b.WriteString("\n")
}

// TestTargetFitsTheBudget checks the sums of the steady day against the letter's budget.
func TestTargetFitsTheBudget(t *testing.T) {
	is := is.New(t)
	entry, agent, _, _ := capacity(slopes(t))
	for _, r := range append(entry, agent...) {
		switch {
		case strings.HasSuffix(r.unit, "MB of 128"):
			is.True(r.value <= budgetMemory)
		case strings.HasSuffix(r.unit, "B/s of 5000"):
			is.True(r.value <= budgetBytes)
		case strings.HasSuffix(r.unit, "of 2.3"):
			is.True(r.value <= budgetCore)
		}
	}
}
