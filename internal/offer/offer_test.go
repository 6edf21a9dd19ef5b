package offer

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func peerAt(i int, utilization float64, free int) Peer {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7001)
	return Peer{Control: addr, ReportedAt: now, Utilization: utilization, FreeSlots: free}
}

func TestDecide(t *testing.T) {
	free, full := peerAt(1, 0.2, 3), peerAt(2, 1, 0)
	stale := free
	stale.ReportedAt = now.Add(-time.Minute)
	failing, draining, failed, occupied := free, free, free, free
	failing.Failing = true
	draining.Draining = true
	failed.LastFailure = now.Add(-100 * time.Millisecond)
	occupied.SentSinceReport = 3
	cases := map[string]struct {
		local  LocalState
		peers  []Peer
		want   int
		reason Reason
	}{
		"no peers":                       {LocalState{FreeSlots: 0}, nil, -1, RunLocally},
		"free slot here":                 {LocalState{FreeSlots: 1, Utilization: 0.2}, []Peer{free}, -1, RunLocally},
		"full here":                      {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{full, free}, 1, SlotsFull},
		"full everywhere":                {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{full}, -1, RunLocally},
		"stale report":                   {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{stale}, -1, RunLocally},
		"failing peer":                   {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{failing}, -1, RunLocally},
		"draining peer":                  {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{draining}, -1, RunLocally},
		"peer that just failed":          {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{failed}, -1, RunLocally},
		"peer whose slots are taken":     {LocalState{FreeSlots: 0, Slots: 4, Utilization: 1}, []Peer{occupied}, -1, RunLocally},
		"draining here, full everywhere": {LocalState{FreeSlots: 4, Slots: 4, Unavailable: true}, []Peer{failing, full}, 1, Unavailable},
		"draining here, no one usable":   {LocalState{FreeSlots: 4, Slots: 4, Unavailable: true}, []Peer{failing, draining, stale}, -1, RunLocally},
		"draining here":                  {LocalState{FreeSlots: 4, Slots: 4, Unavailable: true}, []Peer{full, free}, 1, Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, reason := Decide(c.local, c.peers, now, 0.5)
			is.Equal(got, c.want)
			is.Equal(reason, c.reason)
		})
	}
}

func TestBusierServerHandsOverExcess(t *testing.T) {
	is := is.New(t)
	local := LocalState{Utilization: 0.8, Demand: 0.9, FreeSlots: 1, Slots: 4}
	peers := []Peer{peerAt(1, 0.4, 2), peerAt(2, 0.6, 2), peerAt(3, 0.9, 1)}
	counts := map[int]int{}
	const n = 10_000
	for i := range n {
		got, _ := Decide(local, peers, now, (float64(i)+0.5)/n)
		counts[got]++
	}
	is.Equal(counts[2], 0)           // A peer above the mean utilization gets no requests.
	is.True(counts[0] > 2*counts[1]) // The less utilized peer gets more.
	const mean = (0.8 + 0.4 + 0.6 + 0.9) / 4
	fraction := 1 - mean/local.Demand + (local.Utilization-mean)/local.Utilization
	is.True(math.Abs(float64(counts[0]+counts[1])-fraction*n) < 0.01*n) // Only the excess is handed over.
}

func TestNeverPicksAnUnusablePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for i := range rapid.IntRange(0, 8).Draw(t, "peers") {
			p := peerAt(i, rapid.Float64Range(0, 1).Draw(t, "utilization"), rapid.IntRange(0, 4).Draw(t, "free"))
			p.SentSinceReport = rapid.IntRange(0, 4).Draw(t, "sent")
			p.Failing = rapid.Bool().Draw(t, "failing")
			p.Draining = rapid.Bool().Draw(t, "draining")
			p.ReportedAt = now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
			peers = append(peers, p)
		}
		local := LocalState{
			Utilization: rapid.Float64Range(0, 1).Draw(t, "own"),
			Demand:      rapid.Float64Range(0, 3).Draw(t, "demand"),
			FreeSlots:   rapid.IntRange(0, 4).Draw(t, "own free"),
			Slots:       4,
			Unavailable: rapid.Bool().Draw(t, "away"),
		}
		i, reason := Decide(local, peers, now, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if (i < 0) != (reason == RunLocally) {
			t.Fatalf("got peer %d with reason %v", i, reason)
		}
		if i >= 0 && !peers[i].usable(now) {
			t.Fatalf("chosen peer %d is not usable: %+v", i, peers[i])
		}
		if i >= 0 && reason != Unavailable && peers[i].expectedFreeSlots(local.Slots, now) <= 0 {
			t.Fatalf("chosen peer %d has no free slot: %+v", i, peers[i])
		}
	})
}

func BenchmarkSlopeDecide(b *testing.B) {
	peers := []Peer{peerAt(1, 0.4, 2), peerAt(2, 0.6, 2), peerAt(3, 0.9, 1), peerAt(4, 0.4, 2), peerAt(5, 0.6, 2), peerAt(6, 0.9, 1), peerAt(7, 0.9, 1)}
	b.ReportAllocs()
	for b.Loop() {
		Decide(LocalState{Utilization: 0.8, Demand: 0.9, FreeSlots: 1, Slots: 4}, peers, now, 0.1)
	}
}
