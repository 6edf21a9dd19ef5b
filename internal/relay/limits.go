package relay

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/bergamotrun/bergamotrun/internal/encap"
)

const (
	// maxQueryShare and maxProbeShare are the shares of the link that queries for single flows and probes may take.
	maxQueryShare = 0.1
	maxProbeShare = 0.2
	// maxBurstTime is the time for which unused shares accumulate.
	maxBurstTime = 500 * time.Millisecond
	// defaultLinkMegabits applies if the rate of the link isn't known.
	defaultLinkMegabits = 100
)

// searchLimits bounds what searches send. Queries and probes grow with the flows that are missing times the agents: after a loss of all
// processes they would fill a slow link, and packets, heartbeats and the replies would wait behind them. Lists don't grow with the missing
// flows, and find them as well, though later.
type searchLimits struct{ queries, probes *rate.Limiter }

// newSearchLimits returns the limits for a link, whose rate is unknown if it is 0.
func newSearchLimits(linkMegabits float64) searchLimits {
	const bytesPerMegabit = 1e6 / 8
	if linkMegabits <= 0 {
		linkMegabits = defaultLinkMegabits
	}
	limiter := func(share float64) *rate.Limiter {
		bytesPerSecond := share * linkMegabits * bytesPerMegabit
		return rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond*maxBurstTime.Seconds()))
	}
	return searchLimits{queries: limiter(maxQueryShare), probes: limiter(maxProbeShare)}
}

// allowQuery reports whether a query for a single flow may be sent, and counts it.
func (l *searchLimits) allowQuery(now time.Time) bool { return l.queries.AllowN(now, encap.QuerySize) }

// allowSpareQuery is like allowQuery for queries that find no flow. They leave half of what accumulates to those that may.
func (l *searchLimits) allowSpareQuery(now time.Time) bool {
	return l.queries.TokensAt(now) >= float64(l.queries.Burst())/2 && l.allowQuery(now)
}

// allowProbes reports whether a number of copies of a packet may be sent, and counts them. Copies that would take more than all that accumulates
// may be sent when nothing has been used.
func (l *searchLimits) allowProbes(packet []byte, copies int, now time.Time) bool {
	return l.probes.AllowN(now, min(copies*encap.WireSize(packet), l.probes.Burst()))
}
