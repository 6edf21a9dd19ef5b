package view

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// digestBuckets is the number of hashes in a view's digest.
	digestBuckets = 1024
	// tombstoneRetention is how long the record of a lost or gone process is kept, so that an older record of it that a peer
	// still holds isn't merged again.
	tombstoneRetention = 2 * time.Hour
)

// View is a set of records, at most one per address. It is not safe for concurrent use.
// The time of Merge is proportional to the number of agents of one service.
type View struct {
	records map[netip.AddrPort]Record
	// agents holds the addresses of agents by the number of their service; entries holds those of entries.
	agents  map[uint32][]netip.AddrPort
	entries []netip.AddrPort
	// buckets and hash are the XOR of the hashes of the records in each bucket, and of all records.
	buckets [digestBuckets]uint64
	hash    uint64
	// inactive holds the addresses of processes that are lost or gone.
	inactive map[netip.AddrPort]struct{}
}

// New returns an empty view.
func New() *View {
	return &View{
		records:  make(map[netip.AddrPort]Record),
		agents:   make(map[uint32][]netip.AddrPort),
		inactive: make(map[netip.AddrPort]struct{}),
	}
}

// Len returns the number of records, including those of processes that are gone.
func (v *View) Len() int { return len(v.records) }

// Get returns the record of an address.
func (v *View) Get(addr netip.AddrPort) (Record, bool) {
	r, ok := v.records[addr]
	return r, ok
}

// Merge stores r if it is newer than the view's record of the same address, and reports whether it did. No other record
// changes. An expired record is not stored.
func (v *View) Merge(r Record, now time.Time) bool {
	if !r.Packets.IsValid() || isExpired(&r, now) {
		return false
	}
	old, known := v.records[r.Packets]
	if known && !r.Supersedes(&old) {
		return false
	}
	if known {
		v.xorDigest(&old)
		v.removeFromIndex(&old)
	}
	v.records[r.Packets] = r
	v.xorDigest(&r)
	v.addToIndex(&r)
	if isInactive(&r) {
		v.inactive[r.Packets] = struct{}{}
	} else {
		delete(v.inactive, r.Packets)
	}
	return true
}

// isInactive reports whether the record is of a lost or gone process, and therefore expires.
func isInactive(r *Record) bool { return r.State == Lost || r.State == Gone }

func isExpired(r *Record, now time.Time) bool {
	return isInactive(r) && now.Sub(r.Since) > tombstoneRetention
}

// xorDigest adds a record's hash to the digest, or removes it if it is there: XOR is its own inverse.
func (v *View) xorDigest(r *Record) {
	hash := r.hash()
	v.buckets[digestBucket(r.Packets)] ^= hash
	v.hash ^= hash
}

// addToIndex adds the address to the entries or the agents of its service, unless the process is gone.
func (v *View) addToIndex(r *Record) {
	if r.State == Gone {
		return
	}
	if r.Role == Entry {
		v.entries = append(v.entries, r.Packets)
		return
	}
	v.agents[r.Service] = append(v.agents[r.Service], r.Packets)
}

// removeFromIndex undoes addToIndex.
func (v *View) removeFromIndex(r *Record) {
	if r.Role == Entry {
		v.entries = removeAddr(v.entries, r.Packets)
		return
	}
	remaining := removeAddr(v.agents[r.Service], r.Packets)
	if len(remaining) == 0 {
		delete(v.agents, r.Service)
		return
	}
	v.agents[r.Service] = remaining
}

// removeAddr removes addr from addrs if it is there. It changes the order.
func removeAddr(addrs []netip.AddrPort, addr netip.AddrPort) []netip.AddrPort {
	i := slices.Index(addrs, addr)
	if i < 0 {
		return addrs
	}
	addrs[i] = addrs[len(addrs)-1]
	return addrs[:len(addrs)-1]
}

// ServiceAgents returns the records of a service's agents that are not gone, sorted by address.
func (v *View) ServiceAgents(service uint32) []Record { return v.sortedRecords(v.agents[service]) }

// GoneAgents returns the records of a service's agents that are gone, for tombstoneRetention after their end.
func (v *View) GoneAgents(service uint32) []Record {
	var records []Record
	for addr := range v.inactive {
		if r := v.records[addr]; r.State == Gone && r.Service == service && r.Role == Agent {
			records = append(records, r)
		}
	}
	return records
}

// Entries returns the records of the entries that are not gone, sorted by address.
func (v *View) Entries() []Record { return v.sortedRecords(v.entries) }

// sortedRecords returns the records of addrs, sorted by address.
func (v *View) sortedRecords(addrs []netip.AddrPort) []Record {
	records := make([]Record, len(addrs))
	for i, a := range addrs {
		records[i] = v.records[a]
	}
	slices.SortFunc(records, func(a, b Record) int { return a.Packets.Compare(b.Packets) })
	return records
}

// EntryAt returns the i-th entry in an unspecified order, where 0 <= i < EntryCount(). It serves to pick one at random.
func (v *View) EntryAt(i int) Record { return v.records[v.entries[i]] }

// EntryCount returns the number of entries that are not gone.
func (v *View) EntryCount() int { return len(v.entries) }

// Expire removes the records of processes that have been lost or gone for tombstoneRetention, and returns their number.
func (v *View) Expire(now time.Time) int {
	expired := 0
	for addr := range v.inactive {
		r := v.records[addr]
		if !isExpired(&r, now) {
			continue
		}
		v.xorDigest(&r)
		v.removeFromIndex(&r)
		delete(v.records, addr)
		delete(v.inactive, addr)
		expired++
	}
	return expired
}

// Hash returns a hash of all records. Equal views have equal hashes.
func (v *View) Hash() uint64 { return v.hash }

// Digest returns the hash of each bucket of records. Peers compare digests to exchange only the buckets that differ.
func (v *View) Digest() []uint64 { return slices.Clone(v.buckets[:]) }

// Differing returns the records in the buckets whose hash differs from digest, all if digest has another length.
func (v *View) Differing(digest []uint64) []Record {
	if len(digest) != digestBuckets {
		return v.All()
	}
	var records []Record
	for addr, r := range v.records {
		if b := digestBucket(addr); v.buckets[b] != digest[b] {
			records = append(records, r)
		}
	}
	return records
}

// All returns all records.
func (v *View) All() []Record {
	records := make([]Record, 0, len(v.records))
	for _, r := range v.records {
		records = append(records, r)
	}
	return records
}

// ServiceHash returns a hash of the records of a service's agents, by which an agent detects that its list is out of date.
func (v *View) ServiceHash(service uint32) uint64 {
	var hash uint64
	for _, a := range v.agents[service] {
		r := v.records[a]
		hash ^= r.hash()
	}
	return hash
}
