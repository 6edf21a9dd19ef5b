package memb

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// round is a round of heartbeats: the whole state for those that may not know the record, a pulse for the others, and
// a pulse that only shows life for those to which the load isn't worth its bytes each time.
type round struct {
	state              ctrl.State
	full, pulse, alive []netip.AddrPort
}

// round prepares a round of heartbeats, to the own failure domain only if near is set. The caller holds the lock.
func (n *Node) round(now time.Time, near bool) round {
	r := round{state: n.state(now)}
	full := n.self.Newer(&n.told)
	if !near {
		n.beats++
		n.told = n.self
		full = full || n.beats%fullEvery == 0
	}
	for a, p := range n.peers {
		record, ok := n.view.Get(a)
		far := record.Domain != n.self.Domain
		if !ok || record.State == view.Gone || !n.cares(record) || (near && far) {
			continue
		}
		to := n.listFor(&r, far)
		if full || p.full < fullBeats {
			p.full++
			to = &r.full
		}
		*to = append(*to, record.Control)
	}
	return r
}

// listFor returns the list of those that get a pulse as a process near or far does.
func (n *Node) listFor(r *round, far bool) *[]netip.AddrPort {
	if far && n.opts.Load != nil && n.beats%farEvery != 0 {
		return &r.alive
	}
	return &r.pulse
}

// sendRound sends a round of heartbeats, with the server's load as it is now.
func (n *Node) sendRound(r round) {
	n.addLoad(&r.state)
	pulse := ctrl.CompactState{
		Packets: r.state.Record.Packets, Incarnation: r.state.Record.Incarnation,
		Server: r.state.Server, ConfigVersion: r.state.ConfigVersion, ConfigAge: r.state.ConfigAge,
	}
	alive := ctrl.CompactState{Packets: pulse.Packets, Incarnation: pulse.Incarnation}
	for _, err := range []error{
		ctrl.Broadcast(n.opts.Link, r.full, ctrl.KindState, r.state),
		ctrl.Broadcast(n.opts.Link, r.pulse, ctrl.KindCompactState, pulse),
		ctrl.Broadcast(n.opts.Link, r.alive, ctrl.KindCompactState, alive),
	} {
		if err != nil {
			n.opts.Log.Debug("heartbeat not sent", zap.Error(err))
		}
	}
}

// send sends the whole state, with the server's load as it is now.
func (n *Node) send(state ctrl.State, to []netip.AddrPort) {
	n.addLoad(&state)
	if err := ctrl.Broadcast(n.opts.Link, to, ctrl.KindState, state); err != nil {
		n.opts.Log.Debug("heartbeat not sent", zap.Error(err))
	}
}

func (n *Node) addLoad(state *ctrl.State) {
	if n.opts.Load != nil {
		load := n.opts.Load()
		state.Server = &load
	}
}

// state returns the node's state without its server's load. The caller holds the lock.
func (n *Node) state(now time.Time) ctrl.State {
	s := ctrl.State{Record: n.self}
	if n.table != nil {
		s.ConfigVersion, s.ConfigAge = n.table.Version, n.clock.Age(now)
	}
	return s
}
