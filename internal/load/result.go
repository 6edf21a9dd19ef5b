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

// Result is the result of one measurement. Requests that arrived during the warm-up don't count.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Answered counts responses with status 200 that were in time, Late those after the deadline, which doesn't apply to
	// stragglers. ServerErrors counts responses with another status.
	Answered     int `json:"answered"`
	Late         int `json:"late"`
	ServerErrors int `json:"errors"`
	Refused      int `json:"refused"`
	// RefusedLate counts refusals that took longer than 100 ms, NoRetryAfter those without a Retry-After header.
	RefusedLate  int `json:"refused_late"`
	NoRetryAfter int `json:"no_retry_after"`
	// Lost counts requests without a response.
	Lost int `json:"lost"`
	// WrongResponses counts responses that don't match their requests, BrokenStreams streaming responses that ended early and
	// persistent opaque flows that were reset. Both include the warm-up.
	WrongResponses int `json:"wrong"`
	BrokenStreams  int `json:"broken_streams"`

	// ShortP50Ms and ShortP99Ms are percentiles of the latency of short requests answered in time.
	ShortP50Ms float64 `json:"short_p50_ms"`
	ShortP99Ms float64 `json:"short_p99_ms"`
	// BoundP99Ms is the percentile if all slots shared one queue, without a network: a lower bound for ShortP99Ms while no
	// request is refused.
	BoundP99Ms   float64 `json:"bound_p99_ms"`
	RefusedP99Ms float64 `json:"refused_p99_ms"`
	// Imbalance is the ratio of the largest to the mean busy time of the servers.
	Imbalance float64 `json:"imbalance"`
	// FlowImbalance is the ratio of the largest to the mean number of flows of the servers.
	FlowImbalance float64 `json:"flow_imbalance"`
	// PeakGoodput is the work of requests answered in time during the load peak as a fraction of the capacity.
	PeakGoodput float64 `json:"crest_goodput"`
	// RecoveryMs is the time from the end of the load peak to the arrival of the last request answered in time whose latency
	// was more than twice the 99th percentile before the peak.
	RecoveryMs float64 `json:"recovery_ms"`
	// AttemptRatio is the ratio of requests started by servers to requests sent by callers.
	AttemptRatio float64 `json:"attempts"`
	// EventServerShare is the share of requests that the server of the first event got from 2 s after the event, relative to
	// its fair share by speed. It is 0 unless the event slows one server or makes it fail.
	EventServerShare float64       `json:"drawn"`
	Servers          []ServerUsage `json:"servers"`
}

// ServerUsage is the usage of one backend server during the measurement, without the warm-up.
type ServerUsage struct {
	Slowness float64 `json:"slowness"`
	// BusyFraction is the mean fraction of the server's slots that were busy.
	BusyFraction float64 `json:"busy"`
	Requests     int     `json:"requests"`
	Flows        int     `json:"flows"`
	// AgentCounters holds the request counters of the server's agent since its start.
	AgentCounters json.RawMessage `json:"agent,omitempty"`
}

// serverUsage returns the usage of each backend server between two samples.
func (t *trial) serverUsage(first, last usageSample) []ServerUsage {
	var usage []ServerUsage
	slotTime := float64(last.at-first.at) * float64(t.spec.Slots)
	for i := range first.busy {
		usage = append(usage, ServerUsage{
			Slowness:     t.slowness(i),
			BusyFraction: float64(last.busy[i]-first.busy[i]) / slotTime,
			Requests:     last.requests[i] - first.requests[i],
			Flows:        last.flows[i],
		})
	}
	return usage
}

const (
	// maxRefusalTime is the latency above which a refusal counts as late.
	maxRefusalTime = 100 * time.Millisecond
	// maxLatencyMicros is the largest latency that a histogram records.
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	// histogramDigits is the precision of histograms in significant decimal digits.
	histogramDigits = 3
	microsPerMs     = 1000
	percentile50    = 50
	percentile99    = 99
)

// histogram records latencies.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
}

func (h histogram) add(d time.Duration) { _ = h.h.RecordValue(max(1, d.Microseconds())) }

// percentileMs returns a percentile in milliseconds.
func (h histogram) percentileMs(percentile float64) float64 {
	return float64(h.h.ValueAtPercentile(percentile)) / microsPerMs
}

// evaluate summarizes the outcomes of the requests after the warm-up.
func (t *trial) evaluate() *Result {
	res := &Result{
		Scenario: t.scenario.Name, Policy: t.opts.Policy, Seed: t.scenario.Seed,
		WrongResponses: t.wrongResponses, BrokenStreams: t.brokenStreams,
	}
	shorts, refusals := newHistogram(), newHistogram()
	for i := range t.arrivals {
		if t.arrivals[i].at < t.scenario.Warmup.Std() {
			continue
		}
		t.countOutcome(res, i, shorts, refusals)
	}
	res.ShortP50Ms, res.ShortP99Ms = shorts.percentileMs(percentile50), shorts.percentileMs(percentile99)
	res.RefusedP99Ms = refusals.percentileMs(percentile99)
	res.BoundP99Ms = t.boundP99Ms()
	res.PeakGoodput, res.RecoveryMs = t.peakMetrics()
	return res
}

// addServerUsage adds the usage of the backend servers after the warm-up.
func (t *trial) addServerUsage(res *Result, samples []usageSample) {
	first, last := boundarySamples(samples, t.scenario.Warmup.Std(), t.scenario.totalDuration())
	res.Imbalance = imbalance(first, last)
	res.FlowImbalance = flowImbalance(last)
	res.AttemptRatio = attemptRatio(first, last, res.Requests)
	res.Servers = t.serverUsage(first, last)
}

// finish returns the result with the counters of the agents and the share of the event's server.
func (r *runner) finish(samples []usageSample) *Result {
	res := r.trial.evaluate()
	r.addServerUsage(res, samples)
	for i := range res.Servers {
		res.Servers[i].AgentCounters = json.RawMessage(r.service.Targets[i].Vars.Get("requests").String())
	}
	res.EventServerShare = r.eventServerShare(samples)
	return res
}

// countOutcome counts the i-th request by its outcome and adds its latency to a histogram.
func (t *trial) countOutcome(res *Result, i int, shorts, refusals histogram) {
	a, o := &t.arrivals[i], &t.outcomes[i]
	res.Requests++
	switch {
	case o.runStatus == contr.RunNot:
		res.Refused++
		refusals.add(o.latency)
		if o.latency > maxRefusalTime {
			res.RefusedLate++
		}
		if !o.hasRetryAfter {
			res.NoRetryAfter++
		}
	case o.err != nil || o.code == 0:
		res.Lost++
	case o.code != http.StatusOK:
		res.ServerErrors++
	case a.kind != straggler && o.latency > t.scenario.Deadline.Std():
		res.Late++
	default:
		res.Answered++
		if a.kind == short {
			shorts.add(o.latency)
		}
	}
}

// boundP99Ms returns the 99th percentile of the latency of short requests in a pooled queue, in milliseconds.
func (t *trial) boundP99Ms() float64 {
	var slowness []float64
	for i := range t.spec.Targets {
		slowness = append(slowness, t.slowness(i))
	}
	h := newHistogram()
	for i, d := range pooledQueueLatencies(t.arrivals, t.spec.Slots, slowness) {
		if t.arrivals[i].kind == short && t.arrivals[i].at >= t.scenario.Warmup.Std() {
			h.add(d)
		}
	}
	return h.percentileMs(percentile99)
}

func imbalance(first, last usageSample) float64 {
	var busy []float64
	for i := range first.busy {
		if i < len(last.busy) {
			busy = append(busy, float64(last.busy[i]-first.busy[i]))
		}
	}
	return maxToMean(busy)
}

func flowImbalance(last usageSample) float64 {
	var flows []float64
	for _, n := range last.flows {
		flows = append(flows, float64(n))
	}
	return maxToMean(flows)
}

func maxToMean(values []float64) float64 {
	sum, largest := 0.0, 0.0
	for _, v := range values {
		sum += v
		largest = max(largest, v)
	}
	if sum == 0 {
		return 0
	}
	return largest * float64(len(values)) / sum
}

func attemptRatio(first, last usageSample, requests int) float64 {
	seen := 0
	for i := range first.requests {
		if i < len(last.requests) {
			seen += last.requests[i] - first.requests[i]
		}
	}
	return float64(seen) / float64(max(1, requests))
}

// peakMetrics returns the goodput during the load peak and the time from its end until latency was normal again.
func (t *trial) peakMetrics() (goodput, recoveryMs float64) {
	if t.scenario.Peak.Factor == 1 {
		return 0, 0
	}
	peakStart := t.scenario.Warmup.Std() + t.scenario.Peak.At.Std()
	peakEnd := peakStart + t.scenario.Peak.Duration.Std()
	before := newHistogram()
	workInPeak := 0.0
	t.forEachInTime(func(a *arrival, o *outcome) {
		completedAt := a.at + o.latency
		if a.at >= t.scenario.Warmup.Std() && completedAt < peakStart {
			before.add(o.latency)
		}
		if completedAt >= peakStart && completedAt < peakEnd {
			workInPeak += a.serviceTime.Seconds()
		}
	})
	latencyLimitMs := 2 * before.percentileMs(percentile99)
	t.forEachInTime(func(a *arrival, o *outcome) {
		if a.at >= peakEnd && float64(o.latency)/float64(time.Millisecond) > latencyLimitMs {
			recoveryMs = float64(a.at-peakEnd) / float64(time.Millisecond)
		}
	})
	return workInPeak / (t.capacity() * t.scenario.Peak.Duration.Std().Seconds()), recoveryMs
}

// forEachInTime calls f for each request that was answered before its deadline.
func (t *trial) forEachInTime(f func(a *arrival, o *outcome)) {
	for i := range t.arrivals {
		o := &t.outcomes[i]
		if o.code == http.StatusOK && o.latency <= t.scenario.Deadline.Std() {
			f(&t.arrivals[i], o)
		}
	}
}

// eventServerShare returns the share of requests that the server of the first event got, relative to its fair share by
// speed. The first 2 s after the event don't count, so that the system can adapt.
func (r *runner) eventServerShare(samples []usageSample) float64 {
	if len(r.scenario.Events) == 0 {
		return 0
	}
	e := r.scenario.Events[0]
	if e.Target < 0 || (e.Kind != EventSlow && e.Kind != EventFail) {
		return 0
	}
	const settle = 2 * time.Second
	first, last := boundarySamples(samples, r.scenario.Warmup.Std()+e.At.Std()+settle, r.scenario.totalDuration())
	if first.requests == nil || last.requests == nil {
		return 0
	}
	totalRequests, targetRequests := 0, last.requests[e.Target]-first.requests[e.Target]
	totalFairRate, targetFairRate := 0.0, 0.0
	for i := range first.requests {
		totalRequests += last.requests[i] - first.requests[i]
		meanTime := r.scenario.meanServiceTime().Seconds() * r.slowness(i)
		if i == e.Target {
			meanTime += e.Delay.Std().Seconds()
			targetFairRate = 1 / meanTime
		}
		totalFairRate += 1 / meanTime
	}
	return float64(targetRequests) / float64(max(1, totalRequests)) * totalFairRate / targetFairRate
}

// WriteText writes a result as text, one value a line.
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
		{"refused p99 ms", res.RefusedP99Ms},
		{"imbalance", formatRatio(res.Imbalance)}, {"flow imbalance", formatRatio(res.FlowImbalance)},
		{"crest goodput", formatRatio(res.PeakGoodput)}, {"recovery ms", res.RecoveryMs}, {"attempts", formatRatio(res.AttemptRatio)},
		{"drawn by the event's server", formatRatio(res.EventServerShare)},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(t, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	return t.Flush()
}

func formatRatio(v float64) string { return fmt.Sprintf("%.3f", v) }

// WriteTable writes a table with one line for each result.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\trequests\tanswered\tlate\terrors\trefused\t>100ms\tlost\twrong\tbroken\tp50\tp99\tbound p99\timbal\tflows\tcrest\trecovery\tattempts\tdrawn\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.3f\t\n",
			r.Scenario, r.Policy, r.Requests, r.Answered, r.Late, r.ServerErrors, r.Refused, r.RefusedLate,
			r.Lost, r.WrongResponses, r.BrokenStreams,
			r.ShortP50Ms, r.ShortP99Ms, r.BoundP99Ms, r.Imbalance, r.FlowImbalance,
			r.PeakGoodput, r.RecoveryMs, r.AttemptRatio, r.EventServerShare)
	}
	return t.Flush()
}
