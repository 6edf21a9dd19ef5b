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

// usage is what a process uses.
type usage struct {
	Goroutines int
	Memstats   struct{ HeapAlloc, StackInuse, Sys uint64 }
	cpu        time.Duration
}

// use reads what a process uses.
func (p *proc) use() usage {
	p.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:7002/debug/vars", p.ip))
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var u usage
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		p.t.Fatal(err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	const userField, tick = 11, 10 * time.Millisecond // Fields after the command's name; clock ticks.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	for _, f := range fields[userField : userField+2] {
		ticks, _ := strconv.Atoi(f)
		u.cpu += time.Duration(ticks) * tick
	}
	return u
}

// BenchmarkSlopeFlow measures what a flow and a request take at an agent and at an entry, as processes.
func BenchmarkSlopeFlow(b *testing.B) {
	const flows, requests = 400, 4000
	c := newCluster(b, 1)
	desk := c.addService("desk", nil)
	t := desk.addTarget()
	ctx := b.Context()
	get := func(cl *caller.Client, id string) {
		resp, err := cl.Do(ctx, desk.request(ctx, http.MethodGet, "/work/a?ms=0", id, ""))
		if err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	get(desk.caller(5), "warm")
	agent, entry := t.use(), c.entries[0].use()
	var callers []*caller.Client
	for i := range flows {
		cl := desk.caller(8)
		get(cl, fmt.Sprint("open-", i))
		callers = append(callers, cl)
	}
	openAgent, openEntry := t.use(), c.entries[0].use()
	for i := range requests {
		get(callers[i%flows], fmt.Sprint("r-", i))
	}
	endAgent, endEntry := t.use(), c.entries[0].use()
	for b.Loop() {
		continue
	}
	perFlow := func(name string, v float64) { b.ReportMetric(v/flows, name) }
	perFlow("agent-goroutines/flow", float64(openAgent.Goroutines-agent.Goroutines))
	perFlow("agent-heap-B/flow", float64(openAgent.Memstats.HeapAlloc)-float64(agent.Memstats.HeapAlloc))
	perFlow("agent-stack-B/flow", float64(openAgent.Memstats.StackInuse)-float64(agent.Memstats.StackInuse))
	perFlow("agent-cpu-us/flow", float64((openAgent.cpu - agent.cpu).Microseconds()))
	perFlow("entry-cpu-us/flow", float64((openEntry.cpu - entry.cpu).Microseconds()))
	perFlow("entry-goroutines/flow", float64(openEntry.Goroutines-entry.Goroutines))
	b.ReportMetric(float64((endAgent.cpu-openAgent.cpu).Microseconds())/requests, "agent-cpu-us/request")
	b.ReportMetric(float64((endEntry.cpu-openEntry.cpu).Microseconds())/requests, "entry-cpu-us/request")
	b.ReportMetric(float64(endEntry.Memstats.Sys)/(1<<20), "entry-sys-MiB")
	b.ReportMetric(float64(endAgent.Memstats.Sys)/(1<<20), "agent-sys-MiB")
}

// BenchmarkSlopeIdle measures what control costs idle processes.
func BenchmarkSlopeIdle(b *testing.B) {
	const span = 10 * time.Second
	c := newCluster(b, 3)
	desk := c.addService("desk", nil)
	for range 8 {
		desk.addTarget()
	}
	type control struct {
		Control map[string]float64
	}
	read := func(p *proc) float64 {
		resp, err := http.Get(fmt.Sprintf("http://%s:7002/debug/vars", p.ip))
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		var v control
		if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
			b.Fatal(err)
		}
		return v.Control["bytes_in"] + v.Control["bytes_out"]
	}
	agent, entry := desk.targets[0], c.entries[0]
	bytesAgent, bytesEntry := read(agent.proc), read(entry)
	cpuAgent, cpuEntry := agent.use().cpu, entry.use().cpu
	time.Sleep(span)
	bytesAgent, bytesEntry = read(agent.proc)-bytesAgent, read(entry)-bytesEntry
	cpuAgent, cpuEntry = agent.use().cpu-cpuAgent, entry.use().cpu-cpuEntry
	for b.Loop() {
		continue
	}
	b.ReportMetric(bytesAgent/span.Seconds(), "agent-B/s")
	b.ReportMetric(bytesEntry/span.Seconds(), "entry-B/s")
	b.ReportMetric(100*cpuAgent.Seconds()/span.Seconds(), "agent-cpu-%")
	b.ReportMetric(100*cpuEntry.Seconds()/span.Seconds(), "entry-cpu-%")
}
