package view

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// digestBuckets is the number of parts into which a view's digest is divided.
	digestBuckets = 1024
	// keepTime is how long the record of a process that is lost or gone is kept, so that an old record can't bring it back.
	keepTime = 2 * time.Hour
)

// View is a set of records, at most one an address. Its owner serializes access.
// Merge costs time in proportion to the members of one service.
type View struct {
	records map[netip.AddrPort]Record
	members map[uint32][]netip.AddrPort
	entries []netip.AddrPort
	buckets [digestBuckets]uint64
	root    uint64
	// ended holds the addresses of processes that are lost or gone.
	ended map[netip.AddrPort]struct{}
}

// New returns an empty view.
func New() *View {
	return &View{
		records: make(map[netip.AddrPort]Record),
		members: make(map[uint32][]netip.AddrPort),
		ended:   make(map[netip.AddrPort]struct{}),
	}
}

// Len returns the number of records, with those of processes that are gone.
func (v *View) Len() int { return len(v.records) }

// Get returns the record of an address.
func (v *View) Get(a netip.AddrPort) (Record, bool) {
	r, ok := v.records[a]
	return r, ok
}

// Merge takes r over when it is newer than what the view holds, and reports whether it did.
// The view then differs at r.Packets only.
func (v *View) Merge(r Record, now time.Time) bool {
	if !r.Packets.IsValid() || expired(&r, now) {
		return false
	}
	old, known := v.records[r.Packets]
	if known && !r.Supersedes(&old) {
		return false
	}
	if known {
		v.toggle(&old)
		v.unlist(&old)
	}
	v.records[r.Packets] = r
	v.toggle(&r)
	v.list(&r)
	if hasEnded(&r) {
		v.ended[r.Packets] = struct{}{}
	} else {
		delete(v.ended, r.Packets)
	}
	return true
}

func hasEnded(r *Record) bool { return r.State == Lost || r.State == Gone }

func expired(r *Record, now time.Time) bool { return hasEnded(r) && now.Sub(r.Since) > keepTime }

// toggle adds a record's hash to the digest, or takes it out again.
func (v *View) toggle(r *Record) {
	h := r.hash()
	v.buckets[bucket(r.Packets)] ^= h
	v.root ^= h
}

func (v *View) list(r *Record) {
	if r.State == Gone {
		return
	}
	if r.Role == Entry {
		v.entries = append(v.entries, r.Packets)
		return
	}
	v.members[r.Service] = append(v.members[r.Service], r.Packets)
}

func (v *View) unlist(r *Record) {
	if r.Role == Entry {
		v.entries = remove(v.entries, r.Packets)
		return
	}
	rest := remove(v.members[r.Service], r.Packets)
	if len(rest) == 0 {
		delete(v.members, r.Service)
		return
	}
	v.members[r.Service] = rest
}

func remove(list []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	i := slices.Index(list, a)
	if i < 0 {
		return list
	}
	list[i] = list[len(list)-1]
	return list[:len(list)-1]
}

// ServiceAgents returns the records of a service's agents that are not gone, in the order of their addresses.
func (v *View) ServiceAgents(service uint32) []Record { return v.pick(v.members[service]) }

// GoneAgents returns the records of a service's agents that have ended in the last two hours.
func (v *View) GoneAgents(service uint32) []Record {
	var out []Record
	for a := range v.ended {
		if r := v.records[a]; r.State == Gone && r.Service == service && r.Role == Agent {
			out = append(out, r)
		}
	}
	return out
}

// Entries returns the records of the entries that are not gone, in the order of their addresses.
func (v *View) Entries() []Record { return v.pick(v.entries) }

func (v *View) pick(list []netip.AddrPort) []Record {
	out := make([]Record, len(list))
	for i, a := range list {
		out[i] = v.records[a]
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Packets.Compare(b.Packets) })
	return out
}

// EntryAt returns the i-th entry, in no particular order, for picking one at random; EntryCount is their number.
func (v *View) EntryAt(i int) Record { return v.records[v.entries[i]] }

// EntryCount returns the number of entries that are not gone.
func (v *View) EntryCount() int { return len(v.entries) }

// Expire forgets processes that have been lost or gone for two hours, and returns their number.
func (v *View) Expire(now time.Time) int {
	n := 0
	for a := range v.ended {
		r := v.records[a]
		if !expired(&r, now) {
			continue
		}
		v.toggle(&r)
		v.unlist(&r)
		delete(v.records, a)
		delete(v.ended, a)
		n++
	}
	return n
}

// Root returns a hash of all records. Equal views have equal roots.
func (v *View) Root() uint64 { return v.root }

// Digest returns the hashes of the view's buckets.
func (v *View) Digest() []uint64 { return slices.Clone(v.buckets[:]) }

// Differing returns the records in the buckets whose hash differs from digest.
func (v *View) Differing(digest []uint64) []Record {
	if len(digest) != digestBuckets {
		return v.All()
	}
	var out []Record
	for a, r := range v.records {
		if b := bucket(a); v.buckets[b] != digest[b] {
			out = append(out, r)
		}
	}
	return out
}

// All returns all records.
func (v *View) All() []Record {
	out := make([]Record, 0, len(v.records))
	for _, r := range v.records {
		out = append(out, r)
	}
	return out
}

// ServiceHash returns a hash of a service's members, for its agents to see whether they know them all.
func (v *View) ServiceHash(service uint32) uint64 {
	var h uint64
	for _, a := range v.members[service] {
		r := v.records[a]
		h ^= r.hash()
	}
	return h
}
