package entry

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/packet"
	"github.com/bergamotrun/bergamotrun/internal/place"
)

// Verdict tells what to do with a caller's datagram, and if it is to be dropped, why.
type Verdict uint8

// The verdicts.
const (
	// ForwardFlow sends the datagram to the agent where its flow lives.
	ForwardFlow Verdict = iota
	// ForwardNew sends the datagram to the agent chosen for a new flow.
	ForwardNew
	DropNoKeys
	DropNoService
	DropMalformed
	DropTooLarge
	DropTooSmall
	DropUnknownFlow
	DropForeignService
	DropForeignAgent
	DropNoAgent
	DropOverShare
	verdicts
)

// verdictNames are the names under which verdicts are counted.
var verdictNames = [verdicts]string{
	"forwarded_flow", "forwarded_new", "dropped_no_keys", "dropped_no_service", "dropped_malformed",
	"dropped_too_large", "dropped_too_small", "dropped_unknown_flow", "dropped_foreign_service",
	"dropped_foreign_agent", "dropped_no_agent", "dropped_over_share",
}

// String returns the name under which the verdict is counted.
func (v Verdict) String() string { return verdictNames[v] }

// Route is where a datagram goes.
type Route struct {
	Verdict Verdict
	Service *Service
	Agent   netip.AddrPort
}

// Router decides where datagrams go. It keeps no state of flows. It belongs to one goroutine.
type Router struct {
	table   *Table
	keys    *fleet.Holder
	agents  []netip.Prefix
	maxSize int
	decoder connid.Decoder
	scratch []place.Member
}

// NewRouter returns a router that sends datagrams of at most maxSize bytes to agents within the prefixes.
func NewRouter(table *Table, keys *fleet.Holder, agents []netip.Prefix, maxSize int) *Router {
	return &Router{table: table, keys: keys, agents: agents, maxSize: maxSize}
}

// Route decides about a datagram that came in on the service address local at time now.
func (r *Router) Route(datagram []byte, local netip.AddrPort, now time.Time) Route {
	ring := r.keys.Ring()
	if ring == nil {
		return Route{Verdict: DropNoKeys}
	}
	service := r.table.ByAddress(local)
	if service == nil {
		return Route{Verdict: DropNoService}
	}
	if len(datagram) > r.maxSize {
		return Route{Verdict: DropTooLarge, Service: service}
	}
	header, err := packet.Parse(datagram, connid.Len)
	if err != nil {
		return Route{Verdict: DropMalformed, Service: service}
	}
	home, err := r.decoder.Decode(ring, header.Dst)
	if err == nil && home.Service == service.Number {
		return r.routeFlow(service, home)
	}
	if !header.Long {
		return Route{Verdict: unknownFlow(err), Service: service}
	}
	if len(datagram) < packet.MinInitialSize {
		return Route{Verdict: DropTooSmall, Service: service}
	}
	return r.routeNew(service, header.Dst, now)
}

// unknownFlow tells a connection ID that can't be decoded from one of another service.
func unknownFlow(err error) Verdict {
	if err != nil {
		return DropUnknownFlow
	}
	return DropForeignService
}

// routeFlow sends a datagram to the agent that its connection ID names, whatever the view says of it.
func (r *Router) routeFlow(service *Service, home connid.Home) Route {
	if !r.mayReach(home.Agent) {
		return Route{Verdict: DropForeignAgent, Service: service}
	}
	return Route{Verdict: ForwardFlow, Service: service, Agent: home.Agent}
}

func (r *Router) mayReach(agent netip.AddrPort) bool {
	for _, p := range r.agents {
		if p.Contains(agent.Addr()) {
			return true
		}
	}
	return false
}

func (r *Router) routeNew(service *Service, id []byte, now time.Time) Route {
	r.scratch = append(r.scratch[:0], service.members...)
	for i := range r.scratch {
		r.scratch[i].Demoted = service.evidence[i].demoted(now)
	}
	choice := place.Choose(id, r.scratch)
	if choice.First < 0 {
		return Route{Verdict: DropNoAgent, Service: service}
	}
	service.evidence[choice.First].sent(now)
	return Route{Verdict: ForwardNew, Service: service, Agent: service.members[choice.First].Agent}
}
