// Package load puts load on a deployment and measures what callers get.
//
// Arrivals are open-loop: they follow from the scenario and its seed alone, not from the answers.
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
	// Opaque runs the programs for opaque flows, as processes.
	Opaque bool   `toml:"opaque"`
	Seed   uint64 `toml:"seed"`
	// Flows is the number of callers, each with one flow.
	Flows int `toml:"flows"`
	// Load is the offered work in proportion to the service's capacity.
	Load     float64        `toml:"load"`
	Warmup   contr.Duration `toml:"warmup"`
	Duration contr.Duration `toml:"duration"`
	Deadline contr.Duration `toml:"deadline"`
	// Streams is the number of long answers that are held all the time.
	Streams         int      `toml:"streams"`
	Work            Work     `toml:"work"`
	Peak            Peak     `toml:"crest"`
	Events          []Event  `toml:"event"`
	ComparePolicies []string `toml:"against"`
}

// Work describes the requests.
type Work struct {
	// ServiceTime is how long a short request takes at the fastest server.
	ServiceTime contr.Duration `toml:"time"`
	// StragglerFraction is the part of requests that take StragglerFactor times as long.
	StragglerFraction float64 `toml:"straggler_part"`
	StragglerFactor   float64 `toml:"straggler_factor"`
	// UnmarkedStragglers gives stragglers the same path as short requests, so that nothing tells them apart beforehand.
	UnmarkedStragglers bool `toml:"unmarked"`
	// OrderFraction is the part of requests that are not idempotent.
	OrderFraction float64 `toml:"order_part"`
}

// Peak is a time of higher demand.
type Peak struct {
	At       contr.Duration `toml:"at"`
	Duration contr.Duration `toml:"for"`
	Factor   float64        `toml:"factor"`
}

// Event is something that happens to a backend server during the measurement.
type Event struct {
	At     contr.Duration `toml:"at"`
	Kind   EventKind      `toml:"kind"`
	Target int            `toml:"target"`
	// Delay is added to each request's work by a slow server.
	Delay contr.Duration `toml:"delay"`
}

// EventKind tells what happens to a backend server.
type EventKind string

// The kinds of event.
const (
	// EventSlow makes a server slower while it reports health.
	EventSlow EventKind = "slow"
	// EventFail makes a server answer by errors while it reports health; target -1 means all.
	EventFail EventKind = "fail"
	// EventJoin adds a cold server.
	EventJoin EventKind = "join"
	// EventDrain stops a server as planned.
	EventDrain EventKind = "drain"
)

// Parse reads a scenario.
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
		return errors.New("name, deployment and service are needed")
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
			return errors.Errorf("against = %q: there are hash and rotate", p)
		}
	}
	return nil
}
