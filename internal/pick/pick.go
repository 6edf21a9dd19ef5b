// Package pick chooses the backend server of a new flow by the load that agents last told.
//
// It answers two patterns. A flow that carries many requests stays where it was opened, so the choice
// levels the utilization that all open flows will bring: flows times requests a second on each times the
// server's service time. A flow that carries one request is over soon, so the choice is the shortest
// expected time until its answer begins. Either way a server in the entry's own failure domain wins while the
// difference is small against the route's objective, since bytes between failure domains are dear.
//
// The package is pure, and a choice costs one pass over the members.
package pick

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/server"
)

const (
	// reportHalf is how fast a told number of pending requests loses its meaning: about two service times.
	reportHalf = 60 * time.Millisecond
	// calm is the expected utilization up to which long flows stay in their failure domain whatever the others have:
	// queueing at four slots is still short there.
	calm = 0.55
	// farFactor is how much less utilized a server of another failure domain must be to get a long flow.
	farFactor = 1.15
	// farPart is the part of the route's objective that a far server must gain to get a single request.
	farPart = 0.12
	// queueWeight is the part of a service time that each request in progress adds below full slots.
	queueWeight = 0.5
	// suspectPart is the part of the service time expected by its health check below which a server is suspect: four times
	// faster is beyond the noise of a mean of some twenty requests. suspectAlone is that part of the median where no check is
	// known, and suspectCost puts suspects behind all others.
	suspectPart  = 0.3
	suspectAlone = 0.2
	suspectCost  = 1e6
	// defaultPerFlow is the request rate of a long flow, in requests a second, before one is known.
	defaultPerFlow = 0.5
)

// Member is an agent with the load of its backend server as last told.
type Member struct {
	Agent netip.AddrPort
	// Near says that the agent is in the chooser's failure domain.
	Near bool
	// Ready says that the agent takes new flows, as far as is known.
	Ready bool
	Load  Load
	// Age is how old the load is.
	Age time.Duration
	// Sent is how many new flows entries that know the same have sent to the agent since its load was told.
	Sent int
}

// Load is a backend server's load as its agent tells it.
type Load struct {
	Pending int
	Flows   int
	Slots   int
	// Service is the mean service time; 0 when unknown.
	Service time.Duration
	// First and Repeated are the requests a second that opened a flow, and the others.
	First, Repeated float64
	Cold            bool
	// Check is the shortest time of a health check; 0 when unknown. Among servers of which no service time is known
	// yet it tells the fast from the slow.
	Check time.Duration
}

// Flow is the new flow.
type Flow struct {
	// Hash breaks ties, so that entries with the same knowledge spread their flows.
	Hash uint64
	// Long says that flows of the route carry many requests.
	Long bool
	// Objective is the latency that callers of the route expect.
	Objective time.Duration
	// Avoid is an agent that has left an earlier copy of the opening packet unanswered.
	Avoid netip.AddrPort
}

// Choice holds the indexes of the best member and of the one that is asked when the first refuses; -1 for none.
type Choice struct{ First, Second int }

// Choose returns the members that shall get a new flow.
func Choose(f Flow, members []Member) Choice {
	s := summarize(members)
	first := best(f, members, s, -1)
	if first < 0 {
		return Choice{First: -1, Second: -1}
	}
	return Choice{First: first, Second: best(f, members, s, first)}
}

// summary holds what the members have in common.
type summary struct {
	service time.Duration
	perFlow float64
	// perCheck is the service time of a server in proportion to the time of its health check; 0 when unknown.
	perCheck float64
}

func summarize(members []Member) summary {
	services, ratios, checks := make([]float64, 0, len(members)), make([]float64, 0, len(members)), make([]float64, 0, len(members))
	flows, repeated := 0, 0.0
	for i := range members {
		l := &members[i].Load
		if l.Service > 0 {
			services = append(services, float64(l.Service))
		}
		if l.Check > 0 {
			checks = append(checks, float64(l.Check))
		}
		if l.Service > 0 && l.Check > 0 {
			ratios = append(ratios, float64(l.Service)/float64(l.Check))
		}
		flows += l.Flows
		repeated += l.Repeated
	}
	s := summary{service: server.DefaultServiceTime, perFlow: defaultPerFlow}
	if len(services) > 0 {
		s.service = time.Duration(median(services))
	}
	switch {
	case len(ratios) > 0:
		s.perCheck = median(ratios)
	case len(checks) > 0:
		s.perCheck = float64(s.service) / median(checks)
	}
	if flows > 0 && repeated > 0 {
		s.perFlow = repeated / float64(flows)
	}
	return s
}

// median returns the median of values, which must not be empty, and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// suspect reports whether a server answers much sooner than its health check and the other servers let expect: it may
// answer with errors.
func (l *Load) suspect(s summary) bool {
	if l.Service == 0 {
		return false
	}
	if s.perCheck > 0 && l.Check > 0 {
		return float64(l.Service) < suspectPart*s.perCheck*float64(l.Check)
	}
	return float64(l.Service) < suspectAlone*float64(s.service)
}

// best returns the best member but without, taking the flow's Avoid and members that aren't ready last.
func best(f Flow, members []Member, s summary, without int) int {
	found, foundCost := -1, math.Inf(1)
	for i := range members {
		if i == without || !members[i].Ready {
			continue
		}
		cost := f.cost(&members[i], s) * (1 + jitter(f.Hash, i))
		if members[i].Load.suspect(s) {
			cost += suspectCost
		}
		if members[i].Agent == f.Avoid {
			cost += math.MaxFloat32
		}
		if cost < foundCost {
			found, foundCost = i, cost
		}
	}
	return found
}

// jitter returns a number below 0.02 by which entries that know the same choose differently among equals.
func jitter(hash uint64, i int) float64 {
	const part = 0.02
	h := (hash + uint64(i)*0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
	return part * float64(h>>11) / (1 << 53)
}

func (f Flow) cost(m *Member, s summary) float64 {
	if f.Long {
		return f.longCost(m, s)
	}
	return f.shortCost(m, s)
}

// longCost is the utilization that the member's server can expect with one more long flow, and the wait of the flow's first
// request: one as long as the objective counts as much as full utilization.
func (f Flow) longCost(m *Member, s summary) float64 {
	l := &m.Load
	demand := s.perFlow*float64(l.Flows+m.Sent+1) + l.First
	u := demand * l.service(s).Seconds() / l.slots()
	if f.Objective > 0 {
		wait := max(0, m.pending(s)+1-l.slots()) / l.slots() * l.service(s).Seconds()
		u += min(1, wait/f.Objective.Seconds())
	}
	if m.Near {
		if u < calm {
			u /= 1 + calm - u // Keeps the order among near servers and puts them before far ones.
			return u / farFactor
		}
		return u
	}
	return u * farFactor
}

// shortCost is the expected time, in seconds, until the answer to a single request begins.
func (f Flow) shortCost(m *Member, s summary) float64 {
	l := &m.Load
	service, pending := l.service(s).Seconds(), m.pending(s)
	cost := service * (1 + queueWeight*pending/l.slots() + max(0, pending+1-l.slots())/l.slots())
	if !m.Near {
		cost += farPart * f.Objective.Seconds()
	}
	return cost
}

// pending is the expected number of requests in progress: what was told last, and the usual number as that gets old.
func (m *Member) pending(s summary) float64 {
	l := &m.Load
	expected := (s.perFlow*float64(l.Flows) + l.First) * l.service(s).Seconds()
	fresh := math.Exp2(-float64(m.Age) / float64(reportHalf))
	return float64(l.Pending)*fresh + expected*(1-fresh) + float64(m.Sent)
}

func (l *Load) service(s summary) time.Duration {
	service := l.Service
	if service == 0 {
		service = s.service
		if s.perCheck > 0 && l.Check > 0 {
			service = time.Duration(s.perCheck * float64(l.Check))
		}
	}
	if l.Cold {
		return time.Duration(server.ColdFactor * float64(service))
	}
	return service
}

func (l *Load) slots() float64 { return float64(max(l.Slots, 1)) }
