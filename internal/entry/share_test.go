package entry

import (
	"expvar"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/wrap"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// tenant is a member that sends datagrams of an established flow at a rate.
type tenant struct {
	share    uint32
	rate     int // Datagrams a second, over all entries.
	datagram []byte
	passed   atomic.Int64
}

// shareBench is entries of given capacities before one agent, and the members that use them.
type shareBench struct {
	t       *testing.T
	sink    *mmsg.Conn
	e       *testEntry
	doors   [][]netip.AddrPort // By entry, then by tenant.
	tenants []*tenant
}

func newShareBench(t *testing.T, capacities []int, tenants ...*tenant) *shareBench {
	t.Helper()
	b := &shareBench{t: t, e: newTestEntry(t, 0, 0), tenants: tenants}
	var err error
	if b.sink, err = mmsg.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.sink.Close() })
	for i, tn := range tenants {
		tn.datagram = b.e.established(t, connid.Home{Service: uint32(i + 1), Agent: b.sink.Addr(), Incarnation: 1}, 1)[:200]
	}
	for _, c := range capacities {
		b.addEntry(c)
	}
	go b.receive()
	return b
}

// addEntry starts a path of a capacity with a service for each tenant.
func (b *shareBench) addEntry(capacity int) {
	b.t.Helper()
	table := NewTable(false)
	var records []contr.Record
	var doors []netip.AddrPort
	for i, tn := range b.tenants {
		probe, err := mmsg.Listen(b.t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
		if err != nil {
			b.t.Fatal(err)
		}
		r := testRecord(i + 1)
		r.Contract.Address, r.Contract.Share = probe.Addr(), tn.share
		_ = probe.Close()
		records = append(records, r)
		doors = append(doors, r.Contract.Address)
	}
	table.SetContracts(records)
	path, err := NewPath(b.t.Context(), PathOptions{
		Table: table, Keys: b.e.keys, Bind: netip.MustParseAddr("127.0.0.1"), Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		Agents: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, PathMTU: 1500, Capacity: capacity, Workers: 1,
		Counters: new(expvar.Map), Log: zap.NewNop(),
	})
	if err != nil {
		b.t.Fatal(err)
	}
	path.Start()
	path.Open()
	b.t.Cleanup(path.Close)
	b.doors = append(b.doors, doors)
}

// receive counts what passes.
func (b *shareBench) receive() {
	batch := mmsg.NewBatch(batchSize, 0)
	for {
		n, err := b.sink.Read(batch)
		if err != nil {
			return
		}
		for i := range n {
			m := &batch.Messages[i]
			if h, err := wrap.Open(b.e.keys.Load(), m.Buf[m.Start:m.End]); err == nil {
				b.tenants[h.Service-1].passed.Add(1)
			}
		}
	}
}

const (
	shareWarmup = time.Second
	shareSpan   = 3 * time.Second
	shareTick   = 5 * time.Millisecond
)

// run sends at the tenants' rates, spread evenly over the entries, and returns what passed of each, a second.
func (b *shareBench) run() []float64 {
	b.t.Helper()
	source, err := mmsg.Listen(b.t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = source.Close() }()
	start := time.Now()
	sent := make([]int, len(b.tenants))
	var before []int64
	for elapsed := time.Duration(0); elapsed < shareWarmup+shareSpan; elapsed = time.Since(start) {
		if before == nil && elapsed >= shareWarmup {
			before = b.counts()
		}
		for i, tn := range b.tenants {
			for due := int(float64(tn.rate) * elapsed.Seconds()); sent[i] < due; sent[i]++ {
				_ = source.WriteTo(tn.datagram, b.doors[sent[i]%len(b.doors)][i]) // A lost datagram counts as not passed.
			}
		}
		time.Sleep(shareTick)
	}
	out := make([]float64, len(b.tenants))
	for i, n := range b.counts() {
		out[i] = float64(n-before[i]) / shareSpan.Seconds()
	}
	return out
}

func (b *shareBench) counts() []int64 {
	out := make([]int64, len(b.tenants))
	for i, tn := range b.tenants {
		out[i] = tn.passed.Load()
	}
	return out
}

func TestGreedyMemberLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	const capacity = 2000
	greedy, modest := &tenant{share: 60, rate: 12_000}, &tenant{share: 40, rate: 800}
	passed := newShareBench(t, []int{capacity}, greedy, modest).run()
	t.Logf("passed a second: %v", passed)
	is.True(passed[1] >= 0.98*800) // All that its share promises.
	is.True(passed[0]+passed[1] <= 1.05*capacity)
	is.True(passed[0] >= 0.9*0.6*capacity) // And the greedy one gets its own.
}

func TestFederationSharesHoldOverUnequalEntries(t *testing.T) {
	is := is.New(t)
	tenants := []*tenant{{share: 50, rate: 8000}, {share: 30, rate: 8000}, {share: 20, rate: 8000}}
	passed := newShareBench(t, []int{2000, 1000, 1000}, tenants...).run()
	t.Logf("passed a second: %v", passed)
	total := passed[0] + passed[1] + passed[2]
	for i, tn := range tenants {
		part := passed[i] / total * 100
		is.True(part > float64(tn.share)-3)
		is.True(part < float64(tn.share)+3)
	}
}
