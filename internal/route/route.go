// Package route maps addresses to the services that receive their new flows.
//
// A Table holds one complete configuration. It isn't changed once it is in use, so goroutines share it without locks.
package route

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is a service that receives a share of a route's new flows.
type Target struct {
	Service string
	// Weight is the service's share relative to the weights of the route's other targets.
	Weight int
}

// Route defines the services that receive the new flows of an address.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	// Idempotent means that requests on this route may be repeated.
	Idempotent bool
	// Objective is the latency objective of clients; Timeout is how long they wait for a response.
	Objective, Timeout time.Duration
	// Priority orders routes under overload; 0 is the highest.
	Priority int
}

// Service holds the properties shared by all backend servers of a service.
type Service struct {
	Name string
	// Health is the path of the health check.
	Health string
}

// Table is a configuration: the routes and services of one version.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Idle is the time without packets after which a flow may be removed.
	Idle time.Duration

	byAddress map[netip.AddrPort]*Route
}

// NewTable returns a table of routes, ready for Lookup.
func NewTable(version uint64, routes []Route, idle time.Duration) *Table {
	t := &Table{Version: version, Routes: routes, Idle: idle}
	t.index()
	return t
}

// index builds the lookup map, which isn't encoded.
func (t *Table) index() {
	t.byAddress = make(map[netip.AddrPort]*Route, len(t.Routes))
	for i := range t.Routes {
		t.byAddress[t.Routes[i].Address] = &t.Routes[i]
	}
}

// Restore returns a table that was decoded from another process, ready for Lookup.
func Restore(t Table) *Table {
	t.index()
	return &t
}

// Lookup returns the route of an address, or nil. The table may be nil.
func (t *Table) Lookup(address netip.AddrPort) *Route {
	if t == nil {
		return nil
	}
	return t.byAddress[address]
}

// LongestTimeout returns the longest time for which clients wait for a response.
func (t *Table) LongestTimeout() time.Duration {
	var longest time.Duration
	for i := range t.Routes {
		longest = max(longest, t.Routes[i].Timeout)
	}
	return longest
}

// HealthPath returns the path of a service's health check, or "" if there is none. The table may be nil.
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

// ServiceForHash returns the service of a new flow. It depends only on the targets and the flow's hash, so all entries with
// the same configuration agree. It returns "" if no target has a positive weight.
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

// HasTarget reports whether a service is among the route's targets.
func (r *Route) HasTarget(serviceID uint64) bool {
	for _, t := range r.Targets {
		if ServiceID(t.Service) == serviceID {
			return true
		}
	}
	return false
}

// ServiceID returns the ID that identifies a service in messages between processes.
func ServiceID(service string) uint64 { return xxhash.Sum64String(service) }
