package memb

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// ServiceNumber returns the number of a service in process records: the low 32 bits of its route.ServiceID.
func ServiceNumber(service uint64) uint32 { return uint32(service) }

// Agents returns the agents of a service with their load, from which the agent of a new flow is chosen.
func (n *Node) Agents(service uint64) []pick.Candidate {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	records := n.view.ServiceAgents(ServiceNumber(service))
	agents := make([]pick.Candidate, 0, len(records))
	for i := range records {
		r := &records[i]
		p := n.peers[r.Packets]
		if p == nil {
			continue
		}
		agents = append(agents, pick.Candidate{
			Agent:      r.Packets,
			SameDomain: r.Domain == n.self.Domain,
			Ready:      r.State == view.Up && p.contacted && !p.silent && p.load.Ready,
			Load:       pickLoad(&p.load),
			Age:        now.Sub(p.loadReceived),
			NewFlows:   p.newFlows * n.entriesInDomain, // The other entries of the domain are assumed to have sent as many.
		})
	}
	return agents
}

// pickLoad converts a load from its form on the wire, where rates are in requests per thousand seconds.
func pickLoad(l *ctrl.ServerLoad) pick.Load {
	const thousand = 1000
	return pick.Load{
		PendingRequests: l.PendingRequests, Flows: l.Flows, Slots: l.Slots, MeanServiceTime: l.MeanServiceTime,
		FirstRate: float64(l.FirstPerKilosecond) / thousand, FollowUpRate: float64(l.FollowUpPerKilosecond) / thousand, Cold: l.Cold, MinHealthCheckTime: l.MinHealthCheckTime,
	}
}

// RecordOpen records that this process sent the SYN of a new flow to an agent.
func (n *Node) RecordOpen(agent netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[agent]; p != nil {
		p.newFlows++
	}
}

// RecordRefusal records that an agent returned the SYN of a new flow. It gets none until its next load report.
func (n *Node) RecordRefusal(agent netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[agent]; p != nil {
		p.load.Ready = false
	}
}

// PossibleHolders returns the agents of services as possible holders of a flow.
func (n *Node) PossibleHolders(services []uint64) []seek.Candidate {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []seek.Candidate
	for _, s := range services {
		for _, r := range n.view.ServiceAgents(ServiceNumber(s)) {
			p := n.peers[r.Packets]
			if p == nil {
				continue // No heartbeat for lostTimeout.
			}
			candidates = append(candidates, seek.Candidate{Agent: r.Packets, Dead: n.isDead(r.Packets, p, now)})
		}
	}
	return candidates
}

// AllAgents returns the agents of all services as possible holders of a flow; ok is false if there are more than limit.
func (n *Node) AllAgents(limit int) (agents []seek.Candidate, ok bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, p := range n.peers {
		r, known := n.view.Get(a)
		if !known || r.Role != view.Agent || r.State == view.Gone {
			continue
		}
		if len(agents) == limit {
			return nil, false
		}
		agents = append(agents, seek.Candidate{Agent: a, Dead: n.isDead(a, p, now)})
	}
	return agents, true
}

// isDead reports whether an agent counts as failed: no heartbeat came for silenceTimeout, it is not in a planned stop, other entries, if
// there are any, have confirmed the silence, and its instance doesn't answer. The caller holds the lock.
func (n *Node) isDead(agent netip.AddrPort, p *peer, now time.Time) bool {
	if !p.silent || now.Sub(p.lastHeartbeat) <= silenceTimeout || p.inPlannedStop(now) {
		return false
	}
	return n.suspicions.Failed(agent)
}

// inPlannedStop reports whether the process announced its stop less than plannedStopGrace ago.
func (p *peer) inPlannedStop(now time.Time) bool {
	return !p.stopAnnounced.IsZero() && now.Sub(p.stopAnnounced) <= plannedStopGrace
}

// Dead reports whether an agent counts as failed or is no longer known.
func (n *Node) Dead(agent netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[agent]
	return p == nil || n.isDead(agent, p, time.Now())
}

// hearsMost reports whether heartbeats are received from more than half of the other processes that have not said that they are
// gone. The caller holds the lock.
func (n *Node) hearsMost() bool {
	silent, total := 0, 0
	for a, p := range n.peers {
		if r, ok := n.view.Get(a); ok && r.State == view.Gone {
			continue
		}
		total++
		if p.silent || !p.contacted {
			silent++
		}
	}
	return total > 0 && silent*2 < total
}

// AcceptsNewFlows reports whether any agent that sends heartbeats has a backend server that accepts new flows.
func (n *Node) AcceptsNewFlows() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if p.load.Ready && !p.silent {
			return true
		}
	}
	return false
}

// peerCount returns the number of other processes from which heartbeats are expected.
func (n *Node) peerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}
