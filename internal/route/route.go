// Package route holds which service serves the new flows of an address, as a configuration says.
//
// A Table is one configuration in full. It is immutable after New, so that processes share it freely.
package route

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is a service that gets a part of a route's new flows.
type Target struct {
	Service string
	// Weight is the service's part in proportion to the route's other targets.
	Weight int
}

// Route says where the new flows of one address go.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	// Idempotent says that the requests inside may be repeated.
	Idempotent bool
	// Objective is the latency that callers expect; Timeout is after how long they give up.
	Objective, Timeout time.Duration
	// Priority orders routes when there is not enough for all; 0 is the highest.
	Priority int
}

// Service is what backend servers of a name have in common.
type Service struct {
	Name string
	// Health is the path of their health check.
	Health string
}

// Table is a configuration: all routes under one version.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Idle is after how long without a packet a flow may be forgotten.
	Idle time.Duration

	byAddress map[netip.AddrPort]*Route
}

// NewTable returns a table of routes.
func NewTable(version uint64, routes []Route, idle time.Duration) *Table {
	t := &Table{Version: version, Routes: routes, Idle: idle}
	t.index()
	return t
}

// index makes a table that was decoded ready for Lookup.
func (t *Table) index() {
	t.byAddress = make(map[netip.AddrPort]*Route, len(t.Routes))
	for i := range t.Routes {
		t.byAddress[t.Routes[i].Address] = &t.Routes[i]
	}
}

// Restore returns a table that was sent by another process, ready for use.
func Restore(t Table) *Table {
	t.index()
	return &t
}

// Lookup returns the route of an address, or nil.
func (t *Table) Lookup(address netip.AddrPort) *Route {
	if t == nil {
		return nil
	}
	return t.byAddress[address]
}

// HealthPath returns the path of a service's health check, or an empty one.
func (t *Table) HealthPath(service string) string {
	if t == nil {
		return ""
	}
	for i := range t.Services {
		if t.Services[i].Name == service {
			return t.Services[i].Health
		}
	}
	return ""
}

// ServiceForHash returns the service of a new flow: a pure function of the flow's hash, so that all entries
// agree. It returns an empty name when no target has a weight.
func (r *Route) ServiceForHash(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	point := int((hash >> 1) % uint64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= max(t.Weight, 0)
	}
	return ""
}

// HasTarget reports whether the route may send flows to a service.
func (r *Route) HasTarget(number uint64) bool {
	for _, t := range r.Targets {
		if ServiceID(t.Service) == number {
			return true
		}
	}
	return false
}

// ServiceID returns the number by which processes name a service to each other.
func ServiceID(service string) uint64 { return xxhash.Sum64String(service) }
