package memb

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// heartbeatRound holds the node's state and the control addresses that get it, by the form of the heartbeat: full is the
// state with the record, for processes that may not have the record; compact omits the record; minimal also omits the
// load and the configuration version, for processes to which the load isn't worth its bytes each time.
type heartbeatRound struct {
	state                  ctrl.State
	full, compact, minimal []netip.AddrPort
}

// buildRound prepares a round of heartbeats; if domainOnly is set, only to the node's own failure domain. All processes get
// the whole state if the node's record has changed, while a stop is announced, and in every fullHeartbeatEvery-th round. The
// caller holds the lock.
func (n *Node) buildRound(domainOnly bool) heartbeatRound {
	round := heartbeatRound{state: n.state()}
	full := n.self.Supersedes(&n.sentRecord)
	if !domainOnly {
		n.heartbeats++
		n.sentRecord = n.self
		full = full || n.heartbeats%fullHeartbeatEvery == 0 || n.announcementsLeft > 0
		n.announcementsLeft = max(0, n.announcementsLeft-1)
	}
	for addr, p := range n.peers {
		record, ok := n.view.Get(addr)
		remote := record.Domain != n.self.Domain
		if !ok || record.State == view.Gone || !n.tracks(record) || (domainOnly && remote) {
			continue
		}
		list := n.compactHeartbeatList(&round, remote)
		if full || p.fullHeartbeats < initialFullHeartbeats {
			p.fullHeartbeats++
			list = &round.full
		}
		*list = append(*list, record.Control)
	}
	return round
}

// compactHeartbeatList returns the list for a process that has the record. An agent sends its load to processes in other
// failure domains only in every remoteLoadEvery-th heartbeat.
func (n *Node) compactHeartbeatList(round *heartbeatRound, remote bool) *[]netip.AddrPort {
	if remote && n.opts.Load != nil && n.heartbeats%remoteLoadEvery != 0 {
		return &round.minimal
	}
	return &round.compact
}

// sendRound sends a round of heartbeats with the current load of the backend server.
func (n *Node) sendRound(round heartbeatRound) {
	n.addLoad(&round.state)
	compact := ctrl.CompactState{
		Packets: round.state.Record.Packets, Incarnation: round.state.Record.Incarnation,
		Server: round.state.Server, ConfigVersion: round.state.ConfigVersion, ConfigAge: round.state.ConfigAge,
		StoreEra: round.state.StoreEra,
	}
	minimal := ctrl.CompactState{Packets: compact.Packets, Incarnation: compact.Incarnation}
	for _, err := range []error{
		ctrl.Broadcast(n.opts.Link, round.full, ctrl.KindState, round.state),
		ctrl.Broadcast(n.opts.Link, round.compact, ctrl.KindCompactState, compact),
		ctrl.Broadcast(n.opts.Link, round.minimal, ctrl.KindCompactState, minimal),
	} {
		if err != nil {
			n.opts.Log.Debug("heartbeat not sent", zap.Error(err))
		}
	}
}

// sendState sends the whole state with the current load of the backend server.
func (n *Node) sendState(state ctrl.State, to []netip.AddrPort) {
	n.addLoad(&state)
	if err := ctrl.Broadcast(n.opts.Link, to, ctrl.KindState, state); err != nil {
		n.opts.Log.Debug("heartbeat not sent", zap.Error(err))
	}
}

// addLoad adds the current load of the backend server; entries have none.
func (n *Node) addLoad(state *ctrl.State) {
	if n.opts.Load != nil {
		load := n.opts.Load()
		state.Server = &load
	}
}

// state returns the node's state without the load of its backend server. The caller holds the lock.
func (n *Node) state() ctrl.State {
	state := ctrl.State{Record: n.self, StoreEra: n.opts.Directory.Era(), Uptime: max(time.Since(n.startedAt), time.Millisecond)}
	if n.table != nil {
		state.ConfigVersion, state.ConfigAge = n.table.Version, n.freshness.Age(n.ageClock())
	}
	return state
}
