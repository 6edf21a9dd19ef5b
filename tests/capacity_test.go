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

// slope is a measured unit cost, such as bytes per record, from which docs/CAPACITY.md is calculated.
type slope struct {
	Name  string  `toml:"name"`
	Value float64 `toml:"value"`
	Unit  string  `toml:"unit"`
	Bench string  `toml:"bench"`
}

// slopes reads docs/slopes.toml and returns its entries by name.
func slopes(t *testing.T) map[string]slope {
	t.Helper()
	is := is.New(t)
	content, err := os.ReadFile("../docs/slopes.toml")
	is.NoErr(err)
	var slopesFile struct{ Slope []slope }
	is.NoErr(toml.Unmarshal(content, &slopesFile))
	byName := make(map[string]slope)
	for _, s := range slopesFile.Slope {
		byName[s.Name] = s
	}
	return byName
}

// TestEverySlopeHasABenchmark checks that each slope has a unit and names an existing benchmark that measures it.
func TestEverySlopeHasABenchmark(t *testing.T) {
	is := is.New(t)
	var source strings.Builder
	for _, pattern := range []string{"../internal/*/*_test.go", "../pkg/*/*_test.go", "*_test.go"} {
		files, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, file := range files {
			content, err := os.ReadFile(file)
			is.NoErr(err)
			source.Write(content)
		}
	}
	for name, s := range slopes(t) {
		is.True(s.Unit != "")
		if !strings.Contains(source.String(), "func "+s.Bench+"(b *testing.B)") {
			t.Errorf("slope %s names benchmark %s, which doesn't exist", name, s.Bench)
		}
	}
}

// Sizes and rates of the deployment that the system is designed for.
const (
	targetEntries            = 20_000
	targetAgents             = 100_000
	targetContracts          = 13_000
	targetFlows              = 210e6
	newFlowsPerSecond        = 890_000
	secondsPerDay            = 86_400
	changesPerDay            = 36_000
	failuresPerDay           = 660
	restartsPerDay           = 8600
	recordsPerFailure        = 2 // Lost and up.
	recordsPerRestart        = 3 // Draining, gone and up.
	agentHeartbeatsPerSecond = 2
	peersPerAgent            = 7
	loadReportsPerSecond     = 2
	datagramHeaderBytes      = 28 // IPv4 and UDP headers.
	targetsPerDomain         = 11_000
	bytesPerMiB              = 1 << 20

	cpuBudgetPercent   = 2.3 // Of one core.
	memoryBudgetMB     = 128
	controlBudgetBytes = 5000 // Per second.
)

// capacityRow is a row of a table in docs/CAPACITY.md.
type capacityRow struct {
	item, mechanism string
	value           float64
	unit            string
}

// capacityRows calculates the rows of docs/CAPACITY.md for an entry, an agent, the store and large events from the slopes.
func capacityRows(slopes map[string]slope) (entry, agent, store, events []capacityRow) {
	slopeValue := func(name string) float64 { return slopes[name].Value }
	recordChangesPerSecond := (failuresPerDay*recordsPerFailure + restartsPerDay*recordsPerRestart) / float64(secondsPerDay)
	heartbeatsPerSecond := float64(targetAgents*agentHeartbeatsPerSecond) / targetEntries
	heartbeatBytesPerSecond := heartbeatsPerSecond * (slopeValue("beat_size") + slopeValue("ack_size") + 2*datagramHeaderBytes)
	viewMB := slopeValue("view_record") * (targetAgents + targetEntries) / 1e6
	tableMB := slopeValue("table_target") * targetAgents / 1e6
	contractsMB := slopeValue("state_contract") * targetContracts / 1e6
	entryFlowsPerSecond := newFlowsPerSecond / float64(targetEntries)
	entry = []capacityRow{
		{"view of all processes", "records merged by version (view)", viewMB, "MB"},
		{"routing table", "one immutable service a slot (entry.Table)", tableMB, "MB"},
		{"contracts", "state of the journal (journ)", contractsMB, "MB"},
		{"process without them", "Go runtime, buffers", slopeValue("entry_base") * bytesPerMiB / 1e6, "MB"},
		{"memory, sum", "", viewMB + tableMB + contractsMB + slopeValue("entry_base")*bytesPerMiB/1e6, "MB of 128"},
		{"heartbeats", fmt.Sprintf("%.0f a second, each answered", heartbeatsPerSecond), heartbeatBytesPerSecond, "B/s"},
		{"news and comparisons", "rumors to four, one sync a second; measured with 0.4 changes and 0.2 records a second", slopeValue("spread_bytes"), "B/s"},
		{"traffic, sum", "", heartbeatBytesPerSecond + slopeValue("spread_bytes"), "B/s of 5000"},
		{"heartbeats", "handled one after the other", heartbeatsPerSecond * slopeValue("beat_cpu") / 1e9 * 100, "% of a core"},
		{"idle process with 8 heartbeats a second", "all controllers", slopeValue("entry_idle_cpu"), "% of a core, of 2.3"},
		{"applying a contract change", "journal and table", (slopeValue("apply_cpu") + slopeValue("table_change_cpu")) / 1000, "us"},
		{"records that change", "", recordChangesPerSecond, "a second"},
		{"new flows (not control)", fmt.Sprintf("%.1f a second, with the first request", entryFlowsPerSecond), entryFlowsPerSecond * slopeValue("entry_flow_cpu") / 1e6 * 100, "% of a core"},
		{"state of open flows", "none", 0, "B"},
	}
	openFlowsPerAgent := targetFlows / targetAgents
	loadBytesPerSecond := peersPerAgent * loadReportsPerSecond * 2 * (slopeValue("load_size") + datagramHeaderBytes)
	agent = []capacityRow{
		{"open flows", fmt.Sprintf("%.0f at an agent", openFlowsPerAgent), openFlowsPerAgent * (slopeValue("flow_heap") + slopeValue("flow_stack")) / 1e6, "MB (not control)"},
		{"goroutines of open flows", "QUIC and HTTP/3 library", openFlowsPerAgent * slopeValue("flow_goroutines"), ""},
		{"load news", "twice a second to 7 peers, and from them", loadBytesPerSecond, "B/s of 5000"},
		{"idle agent with 7 peers", "without IP headers", slopeValue("agent_idle_bytes"), "B/s of 5000"},
		{"idle agent with 7 peers", "all controllers", slopeValue("agent_idle_cpu"), "% of a core, of 2.3"},
		{"new flows (not control)", "TLS handshake and first request", float64(newFlowsPerSecond) / targetAgents * slopeValue("agent_flow_cpu") / 1e6 * 100, "% of a core"},
		{"a request", "HTTP/3 in, HTTP/1.1 out", slopeValue("agent_request_cpu"), "us"},
	}
	journalPollsPerSecond := min(float64(targetEntries), 1000)
	store = []capacityRow{
		{"polls of the journal", "each entry each 20 s on average; no watches", journalPollsPerSecond, "reads/s of 2000"},
		{"contract changes", "one create each, and a read before it", float64(changesPerDay) / secondsPerDay, "writes/s of several hundred"},
		{"entries' addresses", "each entry each 2000 s", targetEntries / 2000.0, "writes/s"},
		{"journal", fmt.Sprintf("%.0f bytes a change", slopeValue("entry_size")), changesPerDay * slopeValue("entry_size") / 1e6, "MB/day"},
	}
	events = []capacityRow{
		{"a failure domain lost", "11,000 lost records, sent to 4 and got from 4", targetsPerDomain * 8 * slopeValue("rumor_size") / 1e6, "MB an entry, within some 10 s"},
		{"a failure domain's return", "each agent asks 3 entries", targetsPerDomain * 3.0 / targetEntries, "calls an entry"},
		{"an entry that starts with nothing", "one exchange of all records", (targetAgents + targetEntries) * slopeValue("record_size") / 1e6, "MB"},
		{"a comparison of views", "at most each 30 s while news are under way", slopeValue("digest_cpu") / 1e6, "ms"},
	}
	return entry, agent, store, events
}

// TestCapacityPage checks that docs/CAPACITY.md matches the page generated from the slopes.
func TestCapacityPage(t *testing.T) {
	is := is.New(t)
	const file = "../docs/CAPACITY.md"
	want := capacityPage(slopes(t), is)
	if *update {
		is.NoErr(os.WriteFile(file, []byte(want), 0o644))
	}
	got, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(string(got) == want) // If not, run go test ./tests -run CapacityPage -update.
}

// capacityPage returns the text of docs/CAPACITY.md.
func capacityPage(slopes map[string]slope, is *is.I) string {
	var page strings.Builder
	notes, err := os.ReadFile("../docs/capacity_notes.md")
	is.NoErr(err)
	page.WriteString("# Capacity\n\n")
	page.WriteString("What the target takes: 20,000 entries before 100,000 targets behind 13,000 addresses, 210 million open flows,\n")
	page.WriteString("890,000 new ones a second, 36,000 changes a day. Each figure is a slope measured here times a count. The tables\n")
	page.WriteString("are made from docs/slopes.toml by `go test ./tests -run CapacityPage -update`; a test compares them. The slopes\n")
	page.WriteString("come from `make slopes`, which runs the benchmarks named.\n\n")
	entry, agent, store, events := capacityRows(slopes)
	writeSection(&page, "An entry", entry)
	writeSection(&page, "An agent", agent)
	writeSection(&page, "The store", store)
	writeSection(&page, "Events", events)
	page.Write(notes)
	page.WriteString("\n## Slopes\n\n| slope | value | benchmark |\n| --- | --- | --- |\n")
	for _, name := range sortedSlopeNames(slopes) {
		fmt.Fprintf(&page, "| %s | %g %s | %s |\n", name, slopes[name].Value, slopes[name].Unit, slopes[name].Bench)
	}
	return page.String()
}

// sortedSlopeNames returns the names of slopes in alphabetical order.
func sortedSlopeNames(slopes map[string]slope) []string {
	var names []string
	for name := range slopes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// writeSection writes a section with a table of rows.
func writeSection(page *strings.Builder, title string, rows []capacityRow) {
	fmt.Fprintf(page, "## %s\n\n| what | mechanism | figure |\n| --- | --- | --- |\n", title)
	for _, r := range rows {
		fmt.Fprintf(page, "| %s | %s | %.4g %s |\n", r.item, r.mechanism, r.value, r.unit)
	}
	page.WriteString("\n")
}

// TestTargetFitsTheBudget checks that an entry and an agent of the target deployment stay within their budgets for memory,
// control traffic and processor time in steady operation.
func TestTargetFitsTheBudget(t *testing.T) {
	is := is.New(t)
	entry, agent, _, _ := capacityRows(slopes(t))
	for _, r := range append(entry, agent...) {
		switch {
		case strings.HasSuffix(r.unit, "MB of 128"):
			is.True(r.value <= memoryBudgetMB)
		case strings.HasSuffix(r.unit, "B/s of 5000"):
			is.True(r.value <= controlBudgetBytes)
		case strings.HasSuffix(r.unit, "of 2.3"):
			is.True(r.value <= cpuBudgetPercent)
		}
	}
}
