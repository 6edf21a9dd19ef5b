package view

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0).UTC()

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// generateRecord draws the address and version of a record. The other fields follow from them, as in a deployment, where two
// records of the same version are equal.
func generateRecord(t *rapid.T) Record {
	r := Record{
		Packets:     testAddr(rapid.IntRange(0, 5).Draw(t, "address")),
		Role:        Agent,
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Epoch:       rapid.Uint32Range(0, 2).Draw(t, "epoch"),
		State:       State(rapid.IntRange(1, 4).Draw(t, "state")),
		Since:       now,
	}
	r.Service = uint32(r.Incarnation) // A later process at the address may be of another service.
	return r
}

// Views that merged the same records in any order, also repeatedly, must be equal; otherwise processes would never agree.
func TestMergeIsACommutativeIdempotentJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(generateRecord), 0, 40).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		first, second := New(), New()
		for _, r := range records {
			before, known := first.Get(r.Packets)
			first.Merge(r, now)
			after, _ := first.Get(r.Packets)
			if known && before.Supersedes(&after) {
				t.Fatalf("record %+v was replaced by an older one: %+v", before, after)
			}
			if first.Merge(r, now) {
				t.Fatalf("second merge of the same record changed the view: %+v", r)
			}
		}
		for _, r := range shuffled {
			second.Merge(r, now)
		}
		if first.Hash() != second.Hash() || !slices.Equal(first.Digest(), second.Digest()) {
			t.Fatalf("views differ after merging the same records")
		}
		for service := uint32(1); service <= 3; service++ {
			if !slices.Equal(first.ServiceAgents(service), second.ServiceAgents(service)) {
				t.Fatalf("agents of service %d differ", service)
			}
		}
	})
}

// One exchange of differing buckets must bring a view up to date that missed some records.
func TestDifferingFindsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	full, partial := New(), New()
	for i := range 5000 {
		r := Record{Packets: testAddr(i), Role: Agent, Service: uint32(i % 100), Incarnation: 1, State: Up}
		full.Merge(r, now)
		if i%1000 != 7 {
			partial.Merge(r, now)
		}
	}
	is.True(full.Hash() != partial.Hash())
	for _, r := range full.Differing(partial.Digest()) {
		partial.Merge(r, now)
	}
	is.Equal(full.Hash(), partial.Hash())
	is.Equal(len(full.Differing(partial.Digest())), 0)
}

// The record of a gone process must outlive older records of it, and after its expiry must not be merged again from a peer
// that still holds it.
func TestInactiveRecordsExpire(t *testing.T) {
	is := is.New(t)
	v := New()
	tombstone := Record{Packets: testAddr(1), Role: Agent, Service: 1, Incarnation: 1, State: Gone, Since: now}
	stale := Record{Packets: testAddr(1), Role: Agent, Service: 1, Incarnation: 1, State: Up}
	is.True(v.Merge(tombstone, now))
	is.True(!v.Merge(stale, now)) // The older record is rejected.
	is.Equal(v.Expire(now.Add(time.Hour)), 0)
	later := now.Add(3 * time.Hour)
	is.Equal(v.Expire(later), 1)
	is.Equal(v.Len(), 0)
	is.Equal(v.Hash(), uint64(0))
	is.True(!v.Merge(tombstone, later)) // An expired record is rejected.
}

func TestNewIncarnationsGrowAndDiffer(t *testing.T) {
	is := is.New(t)
	is.True(NewIncarnation(now.Add(time.Millisecond), 0) > NewIncarnation(now, 1<<16-1))
	is.True(NewIncarnation(now, 1) != NewIncarnation(now, 2)) // The start times are equal, as after a clock was set back.
}

// A later process at an address may be an agent of another service, and must leave the earlier service's agents.
func TestAddressPassesToAnotherService(t *testing.T) {
	is := is.New(t)
	v := New()
	v.Merge(Record{Packets: testAddr(1), Role: Agent, Service: 1, Incarnation: 1, State: Up}, now)
	v.Merge(Record{Packets: testAddr(1), Role: Agent, Service: 2, Incarnation: 2, State: Up}, now)
	is.Equal(len(v.ServiceAgents(1)), 0)
	is.Equal(len(v.ServiceAgents(2)), 1)
}

// BenchmarkSlopeMerge measures Merge in a view of 100,000 agents of 13,000 services.
func BenchmarkSlopeMerge(b *testing.B) {
	v := New()
	for i := range 100_000 {
		v.Merge(Record{Packets: testAddr(i), Role: Agent, Service: uint32(i % 13_000), Incarnation: 1, State: Up}, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		index := i % 100_000
		v.Merge(Record{Packets: testAddr(index), Role: Agent, Service: uint32(index % 13_000), Incarnation: 2 + uint64(i), State: Up}, now)
	}
}
