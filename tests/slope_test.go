package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/caller"
)

// processUsage is the resource usage of a process. Fields without a tag are decoded from /debug/vars by name.
type processUsage struct {
	Goroutines int
	Memstats   struct{ HeapAlloc, StackInuse, Sys uint64 }
	cpu        time.Duration
}

// readUsage reads the resource usage of the process from /debug/vars and /proc.
func (p *proc) readUsage() processUsage {
	p.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:7002/debug/vars", p.ip))
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var usage processUsage
	if err := json.NewDecoder(resp.Body).Decode(&usage); err != nil {
		p.t.Fatal(err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	// userTimeField is the index of utime among the fields after the command name. The kernel reports 100 ticks per second.
	const userTimeField, clockTick = 11, 10 * time.Millisecond
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	for _, f := range fields[userTimeField : userTimeField+2] {
		ticks, _ := strconv.Atoi(f)
		usage.cpu += time.Duration(ticks) * clockTick
	}
	return usage
}

// BenchmarkSlopeFlow measures the memory and processor time that a flow and a request take in an agent process and in an
// entry process.
func BenchmarkSlopeFlow(b *testing.B) {
	const flows, requests = 400, 4000
	c := newCluster(b, 1)
	desk := c.addService("desk", nil)
	target := desk.addTarget()
	ctx := b.Context()
	get := func(client *caller.Client, id string) {
		resp, err := client.Do(ctx, desk.request(ctx, http.MethodGet, "/work/a?ms=0", id, ""))
		if err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	get(desk.caller(5), "warm")
	agentBefore, entryBefore := target.readUsage(), c.entries[0].readUsage()
	var callers []*caller.Client
	for i := range flows {
		client := desk.caller(8)
		get(client, fmt.Sprint("open-", i))
		callers = append(callers, client)
	}
	agentOpen, entryOpen := target.readUsage(), c.entries[0].readUsage()
	for i := range requests {
		get(callers[i%flows], fmt.Sprint("r-", i))
	}
	agentAfter, entryAfter := target.readUsage(), c.entries[0].readUsage()
	for b.Loop() {
		continue
	}
	perFlow := func(name string, total float64) { b.ReportMetric(total/flows, name) }
	perFlow("agent-goroutines/flow", float64(agentOpen.Goroutines-agentBefore.Goroutines))
	perFlow("agent-heap-B/flow", float64(agentOpen.Memstats.HeapAlloc)-float64(agentBefore.Memstats.HeapAlloc))
	perFlow("agent-stack-B/flow", float64(agentOpen.Memstats.StackInuse)-float64(agentBefore.Memstats.StackInuse))
	perFlow("agent-cpu-us/flow", float64((agentOpen.cpu - agentBefore.cpu).Microseconds()))
	perFlow("entry-cpu-us/flow", float64((entryOpen.cpu - entryBefore.cpu).Microseconds()))
	perFlow("entry-goroutines/flow", float64(entryOpen.Goroutines-entryBefore.Goroutines))
	b.ReportMetric(float64((agentAfter.cpu-agentOpen.cpu).Microseconds())/requests, "agent-cpu-us/request")
	b.ReportMetric(float64((entryAfter.cpu-entryOpen.cpu).Microseconds())/requests, "entry-cpu-us/request")
	b.ReportMetric(float64(entryAfter.Memstats.Sys)/(1<<20), "entry-sys-MiB")
	b.ReportMetric(float64(agentAfter.Memstats.Sys)/(1<<20), "agent-sys-MiB")
}

// BenchmarkSlopeIdle measures the control traffic and processor time of idle processes.
func BenchmarkSlopeIdle(b *testing.B) {
	const window = 10 * time.Second
	c := newCluster(b, 3)
	desk := c.addService("desk", nil)
	for range 8 {
		desk.addTarget()
	}
	type debugVars struct {
		Control map[string]float64
	}
	readControlBytes := func(p *proc) float64 {
		resp, err := http.Get(fmt.Sprintf("http://%s:7002/debug/vars", p.ip))
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		var vars debugVars
		if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
			b.Fatal(err)
		}
		return vars.Control["bytes_in"] + vars.Control["bytes_out"]
	}
	agent, entry := desk.targets[0], c.entries[0]
	agentBytes, entryBytes := readControlBytes(agent.proc), readControlBytes(entry)
	agentCPU, entryCPU := agent.readUsage().cpu, entry.readUsage().cpu
	time.Sleep(window)
	agentBytes, entryBytes = readControlBytes(agent.proc)-agentBytes, readControlBytes(entry)-entryBytes
	agentCPU, entryCPU = agent.readUsage().cpu-agentCPU, entry.readUsage().cpu-entryCPU
	for b.Loop() {
		continue
	}
	b.ReportMetric(agentBytes/window.Seconds(), "agent-B/s")
	b.ReportMetric(entryBytes/window.Seconds(), "entry-B/s")
	b.ReportMetric(100*agentCPU.Seconds()/window.Seconds(), "agent-cpu-%")
	b.ReportMetric(100*entryCPU.Seconds()/window.Seconds(), "entry-cpu-%")
}
