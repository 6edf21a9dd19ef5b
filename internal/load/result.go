package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Result is the result of one measurement. Latencies are in milliseconds.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	// Late counts answers after the deadline, Errors those by a server's error.
	Late         int `json:"late"`
	ServerErrors int `json:"errors"`
	Refused      int `json:"refused"`
	// RefusedLate counts refusals later than 100 ms after the arrival, NoRetryAfter those without a time to come back.
	RefusedLate  int `json:"refused_late"`
	NoRetryAfter int `json:"no_retry_after"`
	// Lost counts requests without any answer.
	Lost           int `json:"lost"`
	WrongResponses int `json:"wrong"`
	BrokenStreams  int `json:"broken_streams"`

	ShortP50Ms   float64 `json:"short_p50_ms"`
	ShortP99Ms   float64 `json:"short_p99_ms"`
	BoundP99Ms   float64 `json:"bound_p99_ms"`
	RefusedP99Ms float64 `json:"refused_p99_ms"`
	// Imbalance is the largest to the mean busy part of the servers' slots.
	Imbalance float64 `json:"imbalance"`
	// FlowImbalance is the largest to the mean number of flows.
	FlowImbalance float64 `json:"flow_imbalance"`
	// PeakGoodput is the work answered in time during the crest in proportion to the capacity.
	PeakGoodput float64 `json:"crest_goodput"`
	// RecoveryMs is how long after the crest short requests still took more than twice their time before it.
	RecoveryMs float64 `json:"recovery_ms"`
	// AttemptRatio is the number of requests that servers saw in proportion to those that callers sent.
	AttemptRatio float64 `json:"attempts"`
	// EventServerShare is the part of requests that an event's server got from 2 s after it, in proportion to its fair part.
	EventServerShare float64 `json:"drawn"`
	// Servers tells what each backend server did.
	Servers []ServerUsage `json:"servers"`
}

// ServerUsage is what one backend server did during the measurement.
type ServerUsage struct {
	Slowness float64 `json:"slowness"`
	// BusyFraction is the part of its slots that were busy.
	BusyFraction float64 `json:"busy"`
	Requests     int     `json:"requests"`
	Flows        int     `json:"flows"`
	// AgentCounters holds the counters of its agent.
	AgentCounters json.RawMessage `json:"agent,omitempty"`
}

func (t *trial) servers(first, last reading) []ServerUsage {
	var out []ServerUsage
	span := float64(last.at-first.at) * float64(t.spec.Slots)
	for i := range first.busy {
		out = append(out, ServerUsage{
			Slowness:     t.slowness(i),
			BusyFraction: float64(last.busy[i]-first.busy[i]) / span,
			Requests:     last.requests[i] - first.requests[i],
			Flows:        last.flows[i],
		})
	}
	return out
}

const (
	refuseLimit  = 100 * time.Millisecond
	maxLatency   = int64(time.Hour / time.Microsecond)
	histDigits   = 3
	microsPerMs  = 1000
	percentile50 = 50
	percentile99 = 99
)

// histogram records latencies.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, maxLatency, histDigits)} }

func (h histogram) add(d time.Duration) { _ = h.h.RecordValue(max(1, d.Microseconds())) }

// at returns a percentile in milliseconds.
func (h histogram) at(percentile float64) float64 {
	return float64(h.h.ValueAtPercentile(percentile)) / microsPerMs
}

// result evaluates what became of the requests after the warm-up.
func (t *trial) result() *Result {
	res := &Result{Scenario: t.scenario.Name, Policy: t.opts.Policy, Seed: t.scenario.Seed, WrongResponses: t.wrong, BrokenStreams: t.broken}
	shorts, refusals := newHistogram(), newHistogram()
	for i := range t.arrivals {
		if t.arrivals[i].at < t.scenario.Warmup.Std() {
			continue
		}
		t.count(res, i, shorts, refusals)
	}
	res.ShortP50Ms, res.ShortP99Ms = shorts.at(percentile50), shorts.at(percentile99)
	res.RefusedP99Ms = refusals.at(percentile99)
	res.BoundP99Ms = t.boundP99()
	res.PeakGoodput, res.RecoveryMs = t.crest()
	return res
}

// use adds what the servers did after the warm-up.
func (t *trial) use(res *Result, usage []reading) {
	first, last := between(usage, t.scenario.Warmup.Std(), t.scenario.length())
	res.Imbalance = imbalance(first, last)
	res.FlowImbalance = flowImbalance(last)
	res.AttemptRatio = attempts(first, last, res.Requests)
	res.Servers = t.servers(first, last)
}

// result adds what the agents and the events' servers did.
func (r *runner) result(usage []reading) *Result {
	res := r.trial.result()
	r.use(res, usage)
	for i := range res.Servers {
		res.Servers[i].AgentCounters = json.RawMessage(r.service.Targets[i].Vars.Get("requests").String())
	}
	res.EventServerShare = r.drawn(usage)
	return res
}

func (t *trial) count(res *Result, i int, shorts, refusals histogram) {
	a, o := &t.arrivals[i], &t.outcomes[i]
	res.Requests++
	switch {
	case o.run == contr.RunNot:
		res.Refused++
		refusals.add(o.took)
		if o.took > refuseLimit {
			res.RefusedLate++
		}
		if !o.retry {
			res.NoRetryAfter++
		}
	case o.err != nil || o.code == 0:
		res.Lost++
	case o.code != http.StatusOK:
		res.ServerErrors++
	case a.kind != straggler && o.took > t.scenario.Deadline.Std():
		res.Late++
	default:
		res.Answered++
		if a.kind == short {
			shorts.add(o.took)
		}
	}
}

// boundP99 returns the 99th percentile of short requests in the lower bound.
func (t *trial) boundP99() float64 {
	var slowness []float64
	for i := range t.spec.Targets {
		slowness = append(slowness, t.slowness(i))
	}
	h := newHistogram()
	for i, d := range bound(t.arrivals, t.spec.Slots, slowness) {
		if t.arrivals[i].kind == short && t.arrivals[i].at >= t.scenario.Warmup.Std() {
			h.add(d)
		}
	}
	return h.at(percentile99)
}

func imbalance(first, last reading) float64 {
	var used []float64
	for i := range first.busy {
		if i < len(last.busy) {
			used = append(used, float64(last.busy[i]-first.busy[i]))
		}
	}
	return largestToMean(used)
}

func flowImbalance(last reading) float64 {
	var held []float64
	for _, n := range last.flows {
		held = append(held, float64(n))
	}
	return largestToMean(held)
}

func largestToMean(list []float64) float64 {
	sum, largest := 0.0, 0.0
	for _, v := range list {
		sum += v
		largest = max(largest, v)
	}
	if sum == 0 {
		return 0
	}
	return largest * float64(len(list)) / sum
}

func attempts(first, last reading, requests int) float64 {
	seen := 0
	for i := range first.requests {
		if i < len(last.requests) {
			seen += last.requests[i] - first.requests[i]
		}
	}
	return float64(seen) / float64(max(1, requests))
}

// crest returns the goodput during the crest and the time until latency was normal again.
func (t *trial) crest() (goodput, recovery float64) {
	if t.scenario.Peak.Factor == 1 {
		return 0, 0
	}
	from := t.scenario.Warmup.Std() + t.scenario.Peak.At.Std()
	to := from + t.scenario.Peak.Duration.Std()
	before := newHistogram()
	work := 0.0
	t.inTime(func(a *arrival, o *outcome) {
		ended := a.at + o.took
		if a.at >= t.scenario.Warmup.Std() && ended < from {
			before.add(o.took)
		}
		if ended >= from && ended < to {
			work += a.work.Seconds()
		}
	})
	normal := 2 * before.at(percentile99)
	t.inTime(func(a *arrival, o *outcome) {
		if a.at >= to && float64(o.took)/float64(time.Millisecond) > normal {
			recovery = float64(a.at-to) / float64(time.Millisecond)
		}
	})
	return work / (t.capacity() * t.scenario.Peak.Duration.Std().Seconds()), recovery
}

// inTime calls f with the requests that were answered before their deadline.
func (t *trial) inTime(f func(a *arrival, o *outcome)) {
	for i := range t.arrivals {
		o := &t.outcomes[i]
		if o.code == http.StatusOK && o.took <= t.scenario.Deadline.Std() {
			f(&t.arrivals[i], o)
		}
	}
}

// drawn returns the part of requests that the first event's server got in proportion to its fair part by speed.
func (r *runner) drawn(usage []reading) float64 {
	if len(r.scenario.Events) == 0 {
		return 0
	}
	e := r.scenario.Events[0]
	if e.Target < 0 || (e.Kind != EventSlow && e.Kind != EventFail) {
		return 0
	}
	const settle = 2 * time.Second
	first, last := between(usage, r.scenario.Warmup.Std()+e.At.Std()+settle, r.scenario.length())
	if first.requests == nil || last.requests == nil {
		return 0
	}
	total, own := 0, last.requests[e.Target]-first.requests[e.Target]
	fairTotal, fairOwn := 0.0, 0.0
	for i := range first.requests {
		total += last.requests[i] - first.requests[i]
		work := r.scenario.meanWork().Seconds() * r.slowness(i)
		if i == e.Target {
			work += e.Delay.Std().Seconds()
			fairOwn = 1 / work
		}
		fairTotal += 1 / work
	}
	return float64(own) / float64(max(1, total)) * fairTotal / fairOwn
}

// WriteText writes a result as text.
func (res *Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"scenario", res.Scenario}, {"policy", res.Policy}, {"seed", res.Seed}, {"requests", res.Requests},
		{"answered in time", res.Answered}, {"late", res.Late}, {"server errors", res.ServerErrors},
		{"refused", res.Refused}, {"refused after 100 ms", res.RefusedLate}, {"refused without Retry-After", res.NoRetryAfter},
		{"lost", res.Lost}, {"wrong", res.WrongResponses}, {"broken streams", res.BrokenStreams},
		{"short p50 ms", res.ShortP50Ms}, {"short p99 ms", res.ShortP99Ms}, {"lower bound p99 ms", res.BoundP99Ms},
		{"refused p99 ms", res.RefusedP99Ms}, {"imbalance", ratio(res.Imbalance)}, {"flow imbalance", ratio(res.FlowImbalance)},
		{"crest goodput", ratio(res.PeakGoodput)}, {"recovery ms", res.RecoveryMs}, {"attempts", ratio(res.AttemptRatio)},
		{"drawn by the event's server", ratio(res.EventServerShare)},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(t, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	return t.Flush()
}

func ratio(v float64) string { return fmt.Sprintf("%.3f", v) }

// WriteTable writes one line for each result.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\trequests\tanswered\tlate\terrors\trefused\t>100ms\tlost\twrong\tbroken\tp50\tp99\tbound p99\timbal\tflows\tcrest\trecovery\tattempts\tdrawn\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.3f\t\n",
			r.Scenario, r.Policy, r.Requests, r.Answered, r.Late, r.ServerErrors, r.Refused, r.RefusedLate, r.Lost, r.WrongResponses, r.BrokenStreams,
			r.ShortP50Ms, r.ShortP99Ms, r.BoundP99Ms, r.Imbalance, r.FlowImbalance, r.PeakGoodput, r.RecoveryMs, r.AttemptRatio, r.EventServerShare)
	}
	return t.Flush()
}
