package memb

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/pick"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// Short returns the number of a service in records of processes.
func Short(service uint64) uint32 { return uint32(service) }

// Members returns a service's agents as candidates for a new flow.
func (n *Node) Members(service uint64) []pick.Member {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	records := n.view.Members(Short(service))
	out := make([]pick.Member, 0, len(records))
	for i := range records {
		r := &records[i]
		p := n.peers[r.Packets]
		if p == nil {
			continue
		}
		out = append(out, pick.Member{
			Agent: r.Packets,
			Near:  r.Domain == n.self.Domain,
			Ready: r.State == view.Up && p.tells && !p.silent && p.load.Ready,
			Load:  toLoad(&p.load),
			Age:   now.Sub(p.loaded),
			Sent:  p.sent * n.alike, // The others have sent it as many.
		})
	}
	return out
}

func toLoad(l *ctrl.ServerLoad) pick.Load {
	const thousand = 1000
	return pick.Load{
		Pending: l.PendingRequests, Flows: l.Flows, Slots: l.Slots, Service: l.MeanServiceTime,
		First: float64(l.FirstPerKilosecond) / thousand, Repeated: float64(l.RepeatedPerKilosecond) / thousand, Cold: l.Cold, Check: l.MinHealthCheckTime,
	}
}

// Sent notes that a new flow was sent to an agent.
func (n *Node) Sent(agent netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[agent]; p != nil {
		p.sent++
	}
}

// Holders returns the agents of services that may hold a flow.
func (n *Node) Holders(services []uint64) []seek.Candidate {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []seek.Candidate
	for _, s := range services {
		for _, r := range n.view.Members(Short(s)) {
			p := n.peers[r.Packets]
			if p == nil {
				continue // Lost for long.
			}
			out = append(out, seek.Candidate{Agent: r.Packets, Silent: n.dead(p, now)})
		}
	}
	return out
}

// Everyone returns all agents, whatever their service, as possible holders of a flow; ok is false when they are more
// than most.
func (n *Node) Everyone(most int) (all []seek.Candidate, ok bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, p := range n.peers {
		r, known := n.view.Get(a)
		if !known || r.Role != view.Agent || r.State == view.Gone {
			continue
		}
		if len(all) == most {
			return nil, false
		}
		all = append(all, seek.Candidate{Agent: a, Silent: n.dead(p, now)})
	}
	return all, true
}

// dead reports whether a process counts as ended without notice.
func (n *Node) dead(p *peer, now time.Time) bool {
	return p.silent && now.Sub(p.heard) > silentAfter && (p.away.IsZero() || now.Sub(p.away) > plannedLapse)
}

// Dead reports whether an agent counts as ended without notice, or is no longer known.
func (n *Node) Dead(agent netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[agent]
	return p == nil || n.dead(p, time.Now())
}

// Sure reports whether this process knows all agents, and hears most processes, so that what it does not find is
// nowhere. Right after a start it knows some only.
func (n *Node) Sure() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	up := time.Since(n.started)
	if up < settleTime || (n.listed.IsZero() && up < settleAlone) {
		return false
	}
	silent := 0
	for _, p := range n.peers {
		if p.silent || !p.tells {
			silent++
		}
	}
	return len(n.peers) > 0 && silent*2 < len(n.peers)
}

const (
	// settleTime is how long after its start a process has heard of all others that know it, or that the directory lists:
	// five heartbeats of agents.
	settleTime = time.Second
	// settleAlone is that time without the directory: others tell of all within some exchanges.
	settleAlone = 6 * time.Second
)

// Serves reports whether an agent that is heard has a backend server that takes new flows.
func (n *Node) Serves() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if p.load.Ready && !p.silent {
			return true
		}
	}
	return false
}

func (n *Node) known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}
