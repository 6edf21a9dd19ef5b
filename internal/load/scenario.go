// Package load generates load on a deployment and measures latencies, errors and the usage of backend servers.
//
// The load is open-loop: arrivals depend only on the scenario and its seed, not on responses.
package load

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Scenario describes one measurement.
type Scenario struct {
	Name       string `toml:"name"`
	Deployment string `toml:"deployment"`
	Service    string `toml:"service"`
	// Opaque selects the programs for opaque flows, which run as processes.
	Opaque bool   `toml:"opaque"`
	Seed   uint64 `toml:"seed"`
	// Flows is the number of callers, each with one flow.
	Flows int `toml:"flows"`
	// Load is the offered load as a multiple of the service's capacity.
	Load     float64        `toml:"load"`
	Warmup   contr.Duration `toml:"warmup"`
	Duration contr.Duration `toml:"duration"`
	// Deadline is the timeout of requests. Stragglers get a longer one, see trial.timeout.
	Deadline contr.Duration `toml:"deadline"`
	// Streams is the number of streaming responses that stay open during the whole measurement.
	Streams int     `toml:"streams"`
	Work    Work    `toml:"work"`
	Peak    Peak    `toml:"crest"`
	Events  []Event `toml:"event"`
	// ComparePolicies names policies that a suite measures for comparison.
	ComparePolicies []string `toml:"against"`
}

// Work describes the mix of requests.
type Work struct {
	// ServiceTime is how long a short request takes at the fastest server.
	ServiceTime contr.Duration `toml:"time"`
	// StragglerFraction is the fraction of requests that take StragglerFactor times as long.
	StragglerFraction float64 `toml:"straggler_part"`
	StragglerFactor   float64 `toml:"straggler_factor"`
	// UnmarkedStragglers gives stragglers the same path as short requests, so that the system can't predict their duration.
	UnmarkedStragglers bool `toml:"unmarked"`
	// OrderFraction is the fraction of requests that are not idempotent.
	OrderFraction float64 `toml:"order_part"`
}

// Peak is a period in which the arrival rate is multiplied by Factor. At counts from the end of the warm-up.
type Peak struct {
	At       contr.Duration `toml:"at"`
	Duration contr.Duration `toml:"for"`
	Factor   float64        `toml:"factor"`
}

// Event is a change of a backend server during the measurement.
type Event struct {
	// At counts from the end of the warm-up.
	At   contr.Duration `toml:"at"`
	Kind EventKind      `toml:"kind"`
	// Target is the index of the server, or -1 for all. EventJoin ignores it.
	Target int `toml:"target"`
	// Delay is added to the service time of each request by EventSlow.
	Delay contr.Duration `toml:"delay"`
}

// EventKind is the kind of an event.
type EventKind string

// Kinds of events.
const (
	// EventSlow makes a server slower. Its health check still passes.
	EventSlow EventKind = "slow"
	// EventFail makes a server respond with errors. Its health check still passes.
	EventFail EventKind = "fail"
	// EventJoin adds a server that has just started.
	EventJoin EventKind = "join"
	// EventDrain drains a server.
	EventDrain EventKind = "drain"
)

// Parse decodes and validates a scenario in TOML.
func Parse(file string, text []byte) (*Scenario, error) {
	s := &Scenario{Seed: 1, Flows: 40, Load: 0.7, Warmup: contr.Duration(6 * time.Second), Duration: contr.Duration(10 * time.Second)}
	s.Deadline = contr.Duration(2 * time.Second)
	s.Work.ServiceTime = contr.Duration(40 * time.Millisecond)
	s.Work.StragglerFactor = 50
	s.Peak.Factor = 1
	if err := sett.Decode(file, text, s); err != nil {
		return nil, err
	}
	if s.Opaque && len(s.ComparePolicies)+len(s.Events)+s.Streams > 0 {
		return nil, errors.New("opaque = true: against, event and streams can't be combined with it")
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	switch {
	case s.Name == "" || s.Deployment == "" || s.Service == "":
		return errors.New("name, deployment and service are required")
	case s.Flows < 1:
		return errors.Errorf("flows = %d: must be at least 1", s.Flows)
	case s.Load <= 0 || s.Load > 10:
		return errors.Errorf("load = %v: must be above 0 and at most 10", s.Load)
	case s.Work.ServiceTime <= 0:
		return errors.Errorf("work.time = %s: must be above 0s", s.Work.ServiceTime.Std())
	case s.Duration <= 0:
		return errors.Errorf("duration = %s: must be above 0s", s.Duration.Std())
	}
	for _, p := range s.ComparePolicies {
		if _, ok := policies[p]; !ok {
			return errors.Errorf("against = %q: must be hash, rotate or own", p)
		}
	}
	return nil
}
