package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// serviceState is an agent's copy of the state of its service and of the entries. It is immutable.
type serviceState struct {
	// record is the record of the service's contract.
	record contr.Record
	// keySerial is the serial of the packet keys.
	keySerial uint64
	// agents has the records of the service's agents, goneAgents those of its agents that have ended. agentsHash is the
	// entry's hash of agents.
	agents     []view.Record
	goneAgents []view.Record
	agentsHash uint64
	entries    []view.Record
}

// serviceStateHolder holds the current state. Its contract and packet keys are never replaced by older ones.
type serviceStateHolder struct{ current atomic.Pointer[serviceState] }

func newServiceStateHolder() *serviceStateHolder {
	h := &serviceStateHolder{}
	h.current.Store(&serviceState{})
	return h
}

func (h *serviceStateHolder) get() *serviceState { return h.current.Load() }

// update merges the reply of an entry and returns the states before and after. It must not be called concurrently.
func (h *serviceStateHolder) update(reply *ctrl.ServiceReply) (before, after *serviceState) {
	before = h.get()
	updated := *before
	if reply.Found && reply.Record.Serial >= before.record.Serial {
		updated.record = reply.Record
	}
	if reply.KeySerial > before.keySerial {
		updated.keySerial = reply.KeySerial
	}
	if reply.Found { // An entry that doesn't know the contract yet doesn't know the agents either.
		updated.agents, updated.goneAgents, updated.agentsHash = reply.Members, reply.Gone, reply.Hash
	}
	updated.entries = mergeEntries(before.entries, reply.Entries)
	h.current.Store(&updated)
	return before, &updated
}

// maxEntries bounds the number of entries in a serviceState.
const maxEntries = 32

// mergeEntries returns the newest record of each entry in the two lists, without entries that are gone.
func mergeEntries(known, received []view.Record) []view.Record {
	newest := make(map[netip.AddrPort]view.Record, len(known)+len(received))
	for _, list := range [][]view.Record{known, received} {
		for _, r := range list {
			if current, ok := newest[r.Packets]; !ok || r.Supersedes(&current) {
				newest[r.Packets] = r
			}
		}
	}
	var entries []view.Record
	for _, r := range newest {
		if r.State != view.Gone {
			entries = append(entries, r)
		}
	}
	slices.SortFunc(entries, func(a, b view.Record) int {
		return cmp.Or(cmp.Compare(a.State, b.State), a.Packets.Compare(b.Packets))
	})
	return entries[:min(len(entries), maxEntries)]
}

// hasEnded reports whether an incarnation of the agent at a control address is known to have ended.
func (s *serviceState) hasEnded(control netip.AddrPort, incarnation uint64) bool {
	for _, list := range [][]view.Record{s.agents, s.goneAgents} {
		for i := range list {
			r := &list[i]
			if r.Control != control || r.Incarnation < incarnation {
				continue
			}
			if r.Incarnation > incarnation || r.State == view.Gone {
				return true
			}
		}
	}
	return false
}

// heartbeatEntryCount is the number of entries that an agent sends heartbeats to.
const heartbeatEntryCount = 2

// heartbeatEntries returns the control addresses of the entries that the agent at self sends heartbeats to. They are chosen
// by rendezvous hashing, so that few agents change their entries when one joins or leaves.
func (s *serviceState) heartbeatEntries(self netip.AddrPort) []netip.AddrPort {
	type ranked struct {
		addr netip.AddrPort
		rank uint64
	}
	var candidates []ranked
	for _, r := range s.entries {
		if r.State == view.Up {
			candidates = append(candidates, ranked{r.Control, xxhash.Sum64String(self.String() + " " + r.Control.String())})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var addrs []netip.AddrPort
	for _, r := range candidates[:min(len(candidates), heartbeatEntryCount)] {
		addrs = append(addrs, r.addr)
	}
	return addrs
}
