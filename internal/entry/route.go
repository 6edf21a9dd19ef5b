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

// Verdict is what the router decides to do with a caller's datagram, with the reason if it is dropped.
type Verdict uint8

// The verdicts. Those up to ForwardNew forward the datagram, the others drop it.
const (
	// ForwardFlow sends the datagram to the agent that holds its flow.
	ForwardFlow Verdict = iota
	// ForwardNew sends the datagram to the agent chosen for a new flow.
	ForwardNew
	// DropNoKeys means that the entry has no packet keys yet.
	DropNoKeys
	// DropNoService means that no service has the address to which the datagram was sent.
	DropNoService
	// DropMalformed means that the header of the QUIC packet can't be parsed.
	DropMalformed
	// DropTooLarge means that the datagram and its envelope don't fit into the path MTU between entries and agents.
	DropTooLarge
	// DropTooSmall means that the datagram is too small to open a flow.
	DropTooSmall
	// DropUnknownFlow means that the connection ID can't be decoded.
	DropUnknownFlow
	// DropForeignService means that the connection ID belongs to another service.
	DropForeignService
	// DropForeignAgent means that the connection ID names an agent outside the agents' networks.
	DropForeignAgent
	// DropNoAgent means that the service has no agent for a new flow.
	DropNoAgent
	// DropOverShare means that the member exceeds its share of the capacity.
	DropOverShare
	verdictCount
)

// verdictNames are the names of the verdicts' metrics.
var verdictNames = [verdictCount]string{
	"forwarded_flow", "forwarded_new", "dropped_no_keys", "dropped_no_service", "dropped_malformed",
	"dropped_too_large", "dropped_too_small", "dropped_unknown_flow", "dropped_foreign_service",
	"dropped_foreign_agent", "dropped_no_agent", "dropped_over_share",
}

// String returns the name of the verdict's metric.
func (v Verdict) String() string { return verdictNames[v] }

// Decision is a verdict with the datagram's service, if it was found, and agent, if the datagram is forwarded.
type Decision struct {
	Verdict Verdict
	Service *Service
	Agent   netip.AddrPort
}

// Router decides where callers' datagrams are sent. It keeps no state of flows. It isn't safe for concurrent use.
type Router struct {
	opts       RouterOptions
	decoder    connid.Decoder
	candidates []place.Candidate // Reused between calls, so that placement doesn't allocate.
}

// RouterOptions configure a Router.
type RouterOptions struct {
	Table *Table
	Keys  *fleet.AtomicKeyring
	// AgentNetworks are the networks in which agents may be.
	AgentNetworks []netip.Prefix
	// MaxSize is the size, in bytes, of the largest datagram accepted from a caller.
	MaxSize int
	// Limiter limits members to their shares of the capacity of all routers that use it; nil means no limit.
	Limiter *MemberLimiter
}

// MemberLimiter divides a capacity among members. It is safe for concurrent use. Each worker has one, used by its routers of
// all ports, so that with a single port there is no lock contention between cores.
type MemberLimiter struct {
	mu      sync.Mutex
	limiter *share.Limiter
}

// NewMemberLimiter returns a limiter for a capacity in datagrams per second.
func NewMemberLimiter(capacity int) *MemberLimiter {
	return &MemberLimiter{limiter: share.New(capacity)}
}

// allow reports whether a datagram of a member is within the member's share.
func (l *MemberLimiter) allow(m *Member, opensFlow bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetShare(m.Name, m.Share())
	return l.limiter.Allow(m.Name, opensFlow, now)
}

// NewRouter returns a Router with the given options.
func NewRouter(opts RouterOptions) *Router {
	return &Router{opts: opts}
}

// Route decides what to do with a datagram that was received on the service address local at time now.
func (r *Router) Route(datagram []byte, local netip.AddrPort, now time.Time) Decision {
	decision := r.decide(datagram, local, now)
	if decision.Verdict > ForwardNew || r.opts.Limiter == nil {
		return decision
	}
	if !r.opts.Limiter.allow(decision.Service.Member, decision.Verdict == ForwardNew, now) {
		return Decision{Verdict: DropOverShare, Service: decision.Service}
	}
	return decision
}

// decide decides what to do with a datagram, ignoring members' shares.
func (r *Router) decide(datagram []byte, local netip.AddrPort, now time.Time) Decision {
	ring := r.opts.Keys.Load()
	if ring == nil {
		return Decision{Verdict: DropNoKeys}
	}
	service := r.opts.Table.ByAddress(local)
	if service == nil {
		return Decision{Verdict: DropNoService}
	}
	if len(datagram) > r.opts.MaxSize {
		return Decision{Verdict: DropTooLarge, Service: service}
	}
	header, err := packet.Parse(datagram, connid.Len)
	if err != nil {
		return Decision{Verdict: DropMalformed, Service: service}
	}
	location, err := r.decoder.Decode(ring, header.DstConnID)
	if err == nil && location.Service == service.Number {
		return r.routeEstablished(service, location)
	}
	if !header.Long {
		return Decision{Verdict: unroutableVerdict(err), Service: service}
	}
	if len(datagram) < packet.MinInitialSize {
		return Decision{Verdict: DropTooSmall, Service: service}
	}
	return r.routeNew(service, header.DstConnID, now)
}

// unroutableVerdict returns the verdict for a connection ID of no flow of the service. err is the error of decoding it; nil
// means that it belongs to another service.
func unroutableVerdict(err error) Verdict {
	if err != nil {
		return DropUnknownFlow
	}
	return DropForeignService
}

// routeEstablished routes a datagram to the agent in its connection ID, even if that agent isn't in the view.
func (r *Router) routeEstablished(service *Service, location connid.Location) Decision {
	if !r.isAllowed(location.Agent) {
		return Decision{Verdict: DropForeignAgent, Service: service}
	}
	return Decision{Verdict: ForwardFlow, Service: service, Agent: location.Agent}
}

// isAllowed reports whether an agent is in one of the agents' networks.
func (r *Router) isAllowed(agent netip.AddrPort) bool {
	for _, network := range r.opts.AgentNetworks {
		if network.Contains(agent.Addr()) {
			return true
		}
	}
	return false
}

// routeNew chooses an agent for a new flow by the connection ID that its client chose. Demoted agents come last.
func (r *Router) routeNew(service *Service, id []byte, now time.Time) Decision {
	r.candidates = append(r.candidates[:0], service.candidates...)
	for i := range r.candidates {
		r.candidates[i].Demoted = service.trackers[i].demoted(now)
	}
	choice := place.Choose(id, r.candidates)
	if choice.First < 0 {
		return Decision{Verdict: DropNoAgent, Service: service}
	}
	service.trackers[choice.First].recordHandshake(now)
	return Decision{Verdict: ForwardNew, Service: service, Agent: service.candidates[choice.First].Agent}
}
