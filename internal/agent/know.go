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

// knowledge is what an agent knows of its service and of the entries. It is immutable.
type knowledge struct {
	record    contr.Record
	keySerial uint64
	members   []view.Record
	gone      []view.Record
	hash      uint64
	entries   []view.Record
}

// knower holds the knowledge in force; contracts and keys in it never go back to older ones.
type knower struct{ now atomic.Pointer[knowledge] }

func newKnower() *knower {
	k := &knower{}
	k.now.Store(&knowledge{})
	return k
}

func (k *knower) get() *knowledge { return k.now.Load() }

// update takes over what an entry told and returns the knowledge before and after.
// It must not be called by two goroutines at once.
func (k *knower) update(reply *ctrl.ServiceReply) (before, after *knowledge) {
	before = k.get()
	fresh := *before
	if reply.Found && reply.Record.Serial >= before.record.Serial {
		fresh.record = reply.Record
	}
	if reply.KeySerial > before.keySerial {
		fresh.keySerial = reply.KeySerial
	}
	fresh.members = reply.Members
	fresh.gone = reply.Gone
	fresh.hash = reply.Hash
	fresh.entries = mergeEntries(before.entries, reply.Entries)
	k.now.Store(&fresh)
	return before, &fresh
}

// maxEntries bounds the entries that an agent remembers.
const maxEntries = 32

// mergeEntries returns the newest record of each entry in both lists that is not gone.
func mergeEntries(old, fresh []view.Record) []view.Record {
	newest := make(map[netip.AddrPort]view.Record, len(old)+len(fresh))
	for _, list := range [][]view.Record{old, fresh} {
		for _, r := range list {
			if known, ok := newest[r.Packets]; !ok || r.Supersedes(&known) {
				newest[r.Packets] = r
			}
		}
	}
	var out []view.Record
	for _, r := range newest {
		if r.State != view.Gone {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b view.Record) int {
		return cmp.Or(cmp.Compare(a.State, b.State), a.Packets.Compare(b.Packets))
	})
	return out[:min(len(out), maxEntries)]
}

// hasEnded reports whether the incarnation of the agent at a control address is known to have ended.
func (k *knowledge) hasEnded(control netip.AddrPort, incarnation uint64) bool {
	for _, list := range [][]view.Record{k.members, k.gone} {
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

// homeCount is the number of entries that an agent sends heartbeats to.
const homeCount = 2

// homes returns the control addresses of the entries that the agent at self sends heartbeats to. The
// choice is by rendezvous hashing, so that it changes little when entries come and go.
func (k *knowledge) homes(self netip.AddrPort) []netip.AddrPort {
	type ranked struct {
		addr netip.AddrPort
		rank uint64
	}
	var up []ranked
	for _, r := range k.entries {
		if r.State == view.Up {
			up = append(up, ranked{r.Control, xxhash.Sum64String(self.String() + " " + r.Control.String())})
		}
	}
	slices.SortFunc(up, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var out []netip.AddrPort
	for _, r := range up[:min(len(up), homeCount)] {
		out = append(out, r.addr)
	}
	return out
}
