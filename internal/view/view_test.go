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

func addrAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// drawRecord draws a record; the rest of it follows from its address and version, as in a real deployment.
func drawRecord(t *rapid.T) Record {
	r := Record{
		Packets:     addrAt(rapid.IntRange(0, 5).Draw(t, "address")),
		Role:        Agent,
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Epoch:       rapid.Uint32Range(0, 2).Draw(t, "epoch"),
		State:       State(rapid.IntRange(1, 4).Draw(t, "state")),
		Since:       now,
	}
	r.Service = uint32(r.Incarnation) // The address may pass to another service.
	return r
}

func TestMergeIsACommutativeIdempotentJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := New(), New()
		for _, r := range records {
			before, known := a.Get(r.Packets)
			a.Merge(r, now)
			after, _ := a.Get(r.Packets)
			if known && before.Supersedes(&after) {
				t.Fatalf("went back from %+v to %+v", before, after)
			}
			if a.Merge(r, now) {
				t.Fatalf("merged twice: %+v", r)
			}
		}
		for _, r := range shuffled {
			b.Merge(r, now)
		}
		if a.Root() != b.Root() || !slices.Equal(a.Digest(), b.Digest()) {
			t.Fatalf("views differ after the same records")
		}
		for service := uint32(1); service <= 3; service++ {
			if !slices.Equal(a.ServiceAgents(service), b.ServiceAgents(service)) {
				t.Fatalf("members of %d differ", service)
			}
		}
	})
}

func TestDifferingFindsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	for i := range 5000 {
		r := Record{Packets: addrAt(i), Role: Agent, Service: uint32(i % 100), Incarnation: 1, State: Up}
		a.Merge(r, now)
		if i%1000 != 7 {
			b.Merge(r, now)
		}
	}
	is.True(a.Root() != b.Root())
	for _, r := range a.Differing(b.Digest()) {
		b.Merge(r, now)
	}
	is.Equal(a.Root(), b.Root())
	is.Equal(len(a.Differing(b.Digest())), 0)
}

func TestEndedRecordsAreForgottenEverywhere(t *testing.T) {
	is := is.New(t)
	v := New()
	gone := Record{Packets: addrAt(1), Role: Agent, Service: 1, Incarnation: 1, State: Gone, Since: now}
	old := Record{Packets: addrAt(1), Role: Agent, Service: 1, Incarnation: 1, State: Up}
	is.True(v.Merge(gone, now))
	is.True(!v.Merge(old, now)) // An old record doesn't bring it back.
	is.Equal(v.Expire(now.Add(time.Hour)), 0)
	later := now.Add(3 * time.Hour)
	is.Equal(v.Expire(later), 1)
	is.Equal(v.Len(), 0)
	is.Equal(v.Root(), uint64(0))
	is.True(!v.Merge(gone, later)) // A peer that still holds it doesn't bring it back.
}

func TestIncarnationsGrowAndDiffer(t *testing.T) {
	is := is.New(t)
	is.True(NewIncarnation(now.Add(time.Millisecond), 0) > NewIncarnation(now, 1<<16-1))
	is.True(NewIncarnation(now, 1) != NewIncarnation(now, 2)) // Also when a clock was set back to the same time.
}

func TestAddressPassesToAnotherService(t *testing.T) {
	is := is.New(t)
	v := New()
	v.Merge(Record{Packets: addrAt(1), Role: Agent, Service: 1, Incarnation: 1, State: Up}, now)
	v.Merge(Record{Packets: addrAt(1), Role: Agent, Service: 2, Incarnation: 2, State: Up}, now)
	is.Equal(len(v.ServiceAgents(1)), 0)
	is.Equal(len(v.ServiceAgents(2)), 1)
}

func BenchmarkSlopeMerge(b *testing.B) {
	v := New()
	for i := range 100_000 {
		v.Merge(Record{Packets: addrAt(i), Role: Agent, Service: uint32(i % 13_000), Incarnation: 1, State: Up}, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := i % 100_000
		v.Merge(Record{Packets: addrAt(at), Role: Agent, Service: uint32(at % 13_000), Incarnation: 2 + uint64(i), State: Up}, now)
	}
}
