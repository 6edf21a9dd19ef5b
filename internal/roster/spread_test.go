package roster

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// node is an entry's roster on sockets of its own.
type node struct {
	roster   *Roster
	journal  *journ.Journal
	counters *expvar.Map
	cancel   context.CancelFunc
	self     view.Record
}

// group starts n rosters that share a store.
func startGroup(t testing.TB, n int, store *kvfake.Memory) []*node {
	t.Helper()
	secret := fleet.Secret{1}
	conf, err := secret.TLSConfig()
	if err != nil {
		t.Fatal(err)
	}
	var nodes []*node
	var seeds []netip.AddrPort
	for i := range n {
		nd := &node{counters: new(expvar.Map)}
		ctx, cancel := context.WithCancel(context.Background())
		nd.cancel = cancel
		t.Cleanup(cancel)
		ln, link, err := ctrl.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"), conf, ctrl.NewCodec(secret), nd.counters)
		if err != nil {
			t.Fatal(err)
		}
		context.AfterFunc(ctx, func() { _, _ = link.Close(), ln.Close() })
		nd.self = view.Record{
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000), Control: link.Addr(),
			Role: view.Entry, Domain: fmt.Sprint(i % 3), Incarnation: 1, State: view.Up,
		}
		nd.journal = journ.New(store, func() { nd.roster.Advanced() })
		nd.roster = New(Options{
			Self: nd.self, Link: link, Client: ctrl.NewClient(conf, nd.counters), Journal: nd.journal, Directory: store, Seeds: seeds,
			Changed: func(uint32) {}, Log: zap.NewNop(), Counters: nd.counters, Now: time.Now,
			Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		server, err := ctrl.NewServer(ln, "Entry", nd.roster.Calls())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve() }()
		go func() { _ = link.Serve() }()
		if err := nd.roster.Join(ctx); err != nil {
			t.Fatal(err)
		}
		for _, duty := range []func(context.Context) error{
			nd.roster.RunSync, nd.roster.RunRumors, nd.roster.RunPulls, nd.roster.RunPolls, nd.roster.RunDetector,
		} {
			go func() { _ = duty(ctx) }()
		}
		if len(seeds) < 3 {
			seeds = append(seeds, link.Addr())
		}
		nodes = append(nodes, nd)
	}
	return nodes
}

func (n *node) bytes() int64 {
	var sum int64
	for _, name := range []string{"bytes_in", "bytes_out", "tcp_bytes_in", "tcp_bytes_out"} {
		if v, ok := n.counters.Get(name).(*expvar.Int); ok {
			sum += v.Value()
		}
	}
	return sum
}

// settle waits until all nodes satisfy ok, and returns how long that took.
func settle(t testing.TB, limit time.Duration, nodes []*node, what string, ok func(*node) bool) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		missing := 0
		for _, n := range nodes {
			if !ok(n) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Fatalf("after %s, %d of %d nodes not yet: %s", limit, missing, len(nodes), what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

const (
	inForce      = 6 * time.Second // Within this an accepted change is in force everywhere.
	controlBytes = 5000            // A node's control traffic in bytes a second.
)

func change(i int) journ.Change {
	c := contr.Contract{Name: fmt.Sprintf("s%d", i), Member: "m", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)}.WithDefaults()
	return journ.Change{ID: c.Name, Op: journ.Create, Who: "test", Name: c.Name, Contract: &c}
}

func agentRecord(i int) view.Record {
	return view.Record{
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000),
		Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7001),
		Role:    view.Agent, Service: uint32(i%7 + 1), Domain: "a", Weight: 100, Incarnation: 1, State: view.Up,
	}
}

func TestNewsReachEveryEntry(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	nodes := startGroup(t, 60, store)
	settle(t, 3*inForce, nodes, "knows all entries", func(n *node) bool { return n.roster.Len() == len(nodes) })
	for i := range 5 {
		at := nodes[i*7]
		_, err := at.journal.Commit(t.Context(), change(i))
		is.NoErr(err)
		settle(t, inForce, nodes, "has the change", func(n *node) bool { return n.journal.Position() == uint64(i+1) })
		at.roster.merge(agentRecord(i))
		settle(t, inForce, nodes, "has the record", func(n *node) bool { return n.roster.Len() == len(nodes)+i+1 })
	}
}

func TestNewsSpreadWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	nodes := startGroup(t, 30, store)
	settle(t, 3*inForce, nodes, "knows all entries", func(n *node) bool { return n.roster.Len() == len(nodes) })
	_, err := nodes[0].journal.Commit(t.Context(), change(1))
	is.NoErr(err)
	store.SetDown(true)
	settle(t, inForce, nodes, "has the change", func(n *node) bool { return n.journal.Position() == 1 })
	nodes[3].roster.merge(agentRecord(1))
	settle(t, inForce, nodes, "has the record", func(n *node) bool { return n.roster.Len() == len(nodes)+1 })
}

func TestSilentEntryIsFoundAndContradicts(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	nodes := startGroup(t, 12, store)
	settle(t, 3*inForce, nodes, "knows all entries", func(n *node) bool { return n.roster.Len() == len(nodes) })
	dead, rest := nodes[5], nodes[:5]
	dead.cancel()
	const findLimit = 60 * time.Second // Each of eleven entries probes one at random every second.
	settle(t, findLimit, rest, "takes the dead entry for lost", func(n *node) bool {
		for _, r := range n.roster.Entries() {
			if r.Packets == dead.self.Packets {
				return r.State == view.Lost
			}
		}
		return false
	})
	alive := nodes[6]
	slander := alive.self
	slander.State, slander.Since = view.Lost, time.Now()
	rest[0].roster.merge(slander)
	settle(t, findLimit, rest, "believes the living entry", func(n *node) bool {
		for _, r := range n.roster.Entries() {
			if r.Packets == alive.self.Packets {
				return r.State == view.Up && r.Epoch > 0
			}
		}
		return false
	})
	is.True(alive.roster.Len() > 0)
}

// BenchmarkSlopeSpread measures a node's control traffic and how long news take, at the target's daily rates.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, n := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) { benchmarkSpread(b, n) })
	}
}

func benchmarkSpread(b *testing.B, n int) {
	store := kvfake.NewMemory()
	nodes := startGroup(b, n, store)
	settle(b, 10*inForce, nodes, "knows all entries", func(nd *node) bool { return nd.roster.Len() == n })
	const (
		span      = 10 * time.Second
		changes   = 4 // 0.42 changes a second.
		processes = 2 // 0.2 starts and ends of processes a second.
	)
	before, calls := int64(0), store.Calls()
	for _, nd := range nodes {
		before += nd.bytes()
	}
	start := time.Now()
	worst := time.Duration(0)
	for i := range changes {
		if _, err := nodes[i].journal.Commit(b.Context(), change(i)); err != nil {
			b.Fatal(err)
		}
		took := settle(b, inForce, nodes, "has the change", func(nd *node) bool { return nd.journal.Position() == uint64(i+1) })
		worst = max(worst, took)
		if i < processes {
			nodes[n-1-i].roster.merge(agentRecord(i))
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * span / changes)))
	}
	after := int64(0)
	for _, nd := range nodes {
		after += nd.bytes()
	}
	calls = store.Calls() - calls
	for b.Loop() {
		nodes[0].roster.Len()
	}
	b.ReportMetric(float64(after-before)/float64(n)/span.Seconds(), "B/s/entry")
	b.ReportMetric(float64(worst.Milliseconds()), "ms-to-all")
	b.ReportMetric(float64(calls)/span.Seconds()/float64(n), "store-calls/s/entry")
}

// lonely returns a roster that knows n agents of 13,000 services.
func lonely(b *testing.B, n int) *Roster {
	b.Helper()
	nodes := startGroup(b, 1, kvfake.NewMemory())
	r := nodes[0].roster
	for i := range n {
		rec := agentRecord(i)
		rec.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		rec.Service = uint32(i%13_000 + 1)
		r.merge(rec)
	}
	return r
}

// BenchmarkSlopeBeat measures the handling of a heartbeat, with its answer.
func BenchmarkSlopeBeat(b *testing.B) {
	r := lonely(b, 100_000)
	if _, err := r.opts.Journal.Commit(b.Context(), change(1)); err != nil {
		b.Fatal(err)
	}
	beat := ctrl.Beat{Record: agentRecord(0), Service: "s1"}
	beat.Record.Service = 1
	b.ReportAllocs()
	for b.Loop() {
		r.onBeat(r.opts.Link.Addr(), beat)
	}
}

// BenchmarkSlopeDigest measures the comparison with another entry that lacks a few records.
func BenchmarkSlopeDigest(b *testing.B) {
	r := lonely(b, 100_000)
	digest := r.view.Digest()
	digest[7]++
	b.ReportAllocs()
	for b.Loop() {
		var reply ctrl.ExchangeReply
		if err := r.Calls().Exchange(ctrl.ExchangeArgs{Digest: digest}, &reply); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSlopeView measures the memory of a view of the target size.
func BenchmarkSlopeView(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const records = 100_000
	r := lonely(b, records)
	r.hot = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		r.Len()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "heap-B/record")
}
