package entry

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/packet"
	"github.com/bergamotrun/bergamotrun/internal/place"
	"github.com/bergamotrun/bergamotrun/internal/share"
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
	opts    RouterOptions
	decoder connid.Decoder
	scratch []place.Candidate
}

// RouterOptions are what a Router works with.
type RouterOptions struct {
	Table *Table
	Keys  *fleet.AtomicKeyring
	// Agents are the networks that agents may be in.
	Agents []netip.Prefix
	// MaxSize is the largest datagram of a caller in bytes.
	MaxSize int
	// Shares divides the capacity of the routers that share it; nil for no limit.
	Shares *Shares
}

// Shares divides a capacity among members. It is safe for concurrent use; the routers of one worker of
// each port share one, so that with a single port no two cores do.
type Shares struct {
	mu      sync.Mutex
	divider *share.Limiter
}

// NewShares returns shares of a capacity in datagrams a second.
func NewShares(capacity int) *Shares { return &Shares{divider: share.New(capacity)} }

// allow reports whether a datagram of a member may pass.
func (s *Shares) allow(m *Member, opens bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.SetShare(m.Name, m.Share())
	return s.divider.Allow(m.Name, opens, now)
}

// NewRouter returns a router.
func NewRouter(opts RouterOptions) *Router {
	return &Router{opts: opts}
}

// Route decides about a datagram that came in on the service address local at time now.
func (r *Router) Route(datagram []byte, local netip.AddrPort, now time.Time) Route {
	route := r.find(datagram, local, now)
	if route.Verdict > ForwardNew || r.opts.Shares == nil {
		return route
	}
	if !r.opts.Shares.allow(route.Service.Member, route.Verdict == ForwardNew, now) {
		return Route{Verdict: DropOverShare, Service: route.Service}
	}
	return route
}

// find decides about a datagram without regard to members' shares.
func (r *Router) find(datagram []byte, local netip.AddrPort, now time.Time) Route {
	ring := r.opts.Keys.Load()
	if ring == nil {
		return Route{Verdict: DropNoKeys}
	}
	service := r.opts.Table.ByAddress(local)
	if service == nil {
		return Route{Verdict: DropNoService}
	}
	if len(datagram) > r.opts.MaxSize {
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
	for _, p := range r.opts.Agents {
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
