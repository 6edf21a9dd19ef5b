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

// testEntry is a roster with its own journal and loopback sockets.
type testEntry struct {
	roster   *Roster
	journal  *journ.Journal
	counters *expvar.Map
	cancel   context.CancelFunc
	self     view.Record
}

// startEntries starts count entries that share a store. The first three are the seeds of the later ones.
func startEntries(t testing.TB, count int, store *kvfake.Memory) []*testEntry {
	t.Helper()
	secret := fleet.Secret{1}
	tlsConfig, err := secret.TLSConfig()
	if err != nil {
		t.Fatal(err)
	}
	var entries []*testEntry
	var seeds []netip.AddrPort
	for i := range count {
		entry := &testEntry{counters: new(expvar.Map)}
		ctx, cancel := context.WithCancel(context.Background())
		entry.cancel = cancel
		t.Cleanup(cancel)
		ln, link, err := ctrl.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"), tlsConfig, ctrl.NewCodec(secret), entry.counters)
		if err != nil {
			t.Fatal(err)
		}
		context.AfterFunc(ctx, func() { _, _ = link.Close(), ln.Close() })
		entry.self = view.Record{
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000), Control: link.Addr(),
			Role: view.Entry, Domain: fmt.Sprint(i % 3), Incarnation: 1, State: view.Up,
		}
		entry.journal = journ.New(store, func() { entry.roster.NotifyJournalAdvanced() })
		entry.roster = New(Options{
			Self: entry.self, Link: link, Client: ctrl.NewClient(tlsConfig, entry.counters), Journal: entry.journal, Directory: store, Seeds: seeds,
			OnServiceChange: func(uint32) {}, Log: zap.NewNop(), Counters: entry.counters, Now: time.Now,
			Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		server, err := ctrl.NewServer(ln, "Entry", entry.roster.RPCMethods())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve() }()
		go func() { _ = link.Serve() }()
		if err := entry.roster.Join(ctx); err != nil {
			t.Fatal(err)
		}
		for _, run := range []func(context.Context) error{
			entry.roster.RunSync, entry.roster.RunGossip, entry.roster.RunFetches, entry.roster.RunStorePolling, entry.roster.RunFailureDetector,
		} {
			go func() { _ = run(ctx) }()
		}
		if len(seeds) < 3 {
			seeds = append(seeds, link.Addr())
		}
		entries = append(entries, entry)
	}
	return entries
}

// trafficBytes returns the control traffic of the entry, sent and received.
func (e *testEntry) trafficBytes() int64 {
	var sum int64
	for _, name := range []string{"bytes_in", "bytes_out", "tcp_bytes_in", "tcp_bytes_out"} {
		if counter, ok := e.counters.Get(name).(*expvar.Int); ok {
			sum += counter.Value()
		}
	}
	return sum
}

// waitForAll waits until all entries satisfy the condition and returns the elapsed time.
func waitForAll(t testing.TB, timeout time.Duration, entries []*testEntry, condition string, satisfied func(*testEntry) bool) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		unsatisfied := 0
		for _, entry := range entries {
			if !satisfied(entry) {
				unsatisfied++
			}
		}
		if unsatisfied == 0 {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			t.Fatalf("after %s, %d of %d entries don't satisfy: %s", timeout, unsatisfied, len(entries), condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

const (
	propagationLimit    = 6 * time.Second // An accepted change must be in force everywhere within this time.
	maxTrafficPerSecond = 5000            // Control traffic of an entry, in bytes.
)

func newChange(i int) journ.Change {
	contract := contr.Contract{Name: fmt.Sprintf("s%d", i), Member: "m", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)}.WithDefaults()
	return journ.Change{ID: contract.Name, Op: journ.Create, Who: "test", Name: contract.Name, Contract: &contract}
}

func agentRecord(i int) view.Record {
	return view.Record{
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000),
		Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7001),
		Role:    view.Agent, Service: uint32(i%7 + 1), Domain: "a", Weight: 100, Incarnation: 1, State: view.Up,
	}
}

// A committed change and a new record must reach all entries, whichever entry they start at.
func TestChangesAndRecordsReachAllEntries(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	entries := startEntries(t, 60, store)
	waitForAll(t, 3*propagationLimit, entries, "knows all entries", func(e *testEntry) bool { return e.roster.Len() == len(entries) })
	for i := range 5 {
		source := entries[i*7]
		_, err := source.journal.Commit(t.Context(), newChange(i))
		is.NoErr(err)
		waitForAll(t, propagationLimit, entries, "has the change", func(e *testEntry) bool { return e.journal.Position() == uint64(i+1) })
		source.roster.merge(agentRecord(i))
		waitForAll(t, propagationLimit, entries, "has the record", func(e *testEntry) bool { return e.roster.Len() == len(entries)+i+1 })
	}
}

// Changes must propagate between entries without the store once the store has accepted them.
func TestChangesPropagateWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	entries := startEntries(t, 30, store)
	waitForAll(t, 3*propagationLimit, entries, "knows all entries", func(e *testEntry) bool { return e.roster.Len() == len(entries) })
	_, err := entries[0].journal.Commit(t.Context(), newChange(1))
	is.NoErr(err)
	store.SetDown(true)
	waitForAll(t, propagationLimit, entries, "has the change", func(e *testEntry) bool { return e.journal.Position() == 1 })
	entries[3].roster.merge(agentRecord(1))
	waitForAll(t, propagationLimit, entries, "has the record", func(e *testEntry) bool { return e.roster.Len() == len(entries)+1 })
}

// A stopped entry must be marked lost, and a running one that is falsely reported lost must refute it.
func TestStoppedEntryIsLostAndRunningEntryRefutes(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	entries := startEntries(t, 12, store)
	waitForAll(t, 3*propagationLimit, entries, "knows all entries", func(e *testEntry) bool { return e.roster.Len() == len(entries) })
	stopped, others := entries[5], entries[:5]
	stopped.cancel()
	const detectionLimit = 60 * time.Second // Each of the 11 running entries probes one random entry per second.
	waitForAll(t, detectionLimit, others, "marks the stopped entry lost", func(e *testEntry) bool {
		for _, r := range e.roster.Entries() {
			if r.Packets == stopped.self.Packets {
				return r.State == view.Lost
			}
		}
		return false
	})
	running := entries[6]
	falseRecord := running.self
	falseRecord.State, falseRecord.Since = view.Lost, time.Now()
	others[0].roster.merge(falseRecord)
	waitForAll(t, detectionLimit, others, "has the refutation of the running entry", func(e *testEntry) bool {
		for _, r := range e.roster.Entries() {
			if r.Packets == running.self.Packets {
				return r.State == view.Up && r.Epoch > 0
			}
		}
		return false
	})
	is.True(running.roster.Len() > 0)
}

// BenchmarkSlopeSpread measures an entry's control traffic and the propagation time at the target's daily rates of changes.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, n := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) { benchmarkGossip(b, n) })
	}
}

func benchmarkGossip(b *testing.B, n int) {
	store := kvfake.NewMemory()
	entries := startEntries(b, n, store)
	waitForAll(b, 10*propagationLimit, entries, "knows all entries", func(e *testEntry) bool { return e.roster.Len() == n })
	const (
		duration  = 10 * time.Second
		changes   = 4 // The target has 0.42 changes per second.
		processes = 2 // The target has 0.2 starts and ends of processes per second.
	)
	before, storeCalls := int64(0), store.Calls()
	for _, entry := range entries {
		before += entry.trafficBytes()
	}
	start := time.Now()
	slowest := time.Duration(0)
	for i := range changes {
		if _, err := entries[i].journal.Commit(b.Context(), newChange(i)); err != nil {
			b.Fatal(err)
		}
		took := waitForAll(b, propagationLimit, entries, "has the change", func(e *testEntry) bool { return e.journal.Position() == uint64(i+1) })
		slowest = max(slowest, took)
		if i < processes {
			entries[n-1-i].roster.merge(agentRecord(i))
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * duration / changes)))
	}
	after := int64(0)
	for _, entry := range entries {
		after += entry.trafficBytes()
	}
	storeCalls = store.Calls() - storeCalls
	for b.Loop() {
		entries[0].roster.Len()
	}
	b.ReportMetric(float64(after-before)/float64(n)/duration.Seconds(), "B/s/entry")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-to-all")
	b.ReportMetric(float64(storeCalls)/duration.Seconds()/float64(n), "store-calls/s/entry")
}

// newLargeRoster returns a roster with n agent records of 13,000 services.
// TestServiceOfEndedEntry guards against a panic, which ends the process, if an agent calls an entry that has just announced
// its end and knows no other entry.
func TestServiceOfEndedEntry(t *testing.T) {
	is := is.New(t)
	r := startEntries(t, 1, kvfake.NewMemory())[0].roster
	r.SetState(view.Gone)
	var reply ctrl.ServiceReply
	is.NoErr(r.RPCMethods().Service(ctrl.ServiceArgs{Service: "s1"}, &reply))
	is.Equal(len(reply.Entries), 1)
}

func newLargeRoster(b *testing.B, n int) *Roster {
	b.Helper()
	entries := startEntries(b, 1, kvfake.NewMemory())
	r := entries[0].roster
	for i := range n {
		record := agentRecord(i)
		record.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		record.Service = uint32(i%13_000 + 1)
		r.merge(record)
	}
	return r
}

// BenchmarkSlopeBeat measures the handling of a heartbeat, including the Ack.
func BenchmarkSlopeBeat(b *testing.B) {
	r := newLargeRoster(b, 100_000)
	if _, err := r.opts.Journal.Commit(b.Context(), newChange(1)); err != nil {
		b.Fatal(err)
	}
	heartbeat := ctrl.Heartbeat{Record: agentRecord(0), Service: "s1"}
	heartbeat.Record.Service = 1
	b.ReportAllocs()
	for b.Loop() {
		r.onHeartbeat(r.opts.Link.Addr(), heartbeat)
	}
}

// BenchmarkSlopeDigest measures an Exchange call in which one bucket differs.
func BenchmarkSlopeDigest(b *testing.B) {
	r := newLargeRoster(b, 100_000)
	digest := r.view.Digest()
	digest[7]++
	b.ReportAllocs()
	for b.Loop() {
		var reply ctrl.ExchangeReply
		if err := r.RPCMethods().Exchange(ctrl.ExchangeArgs{Digest: digest}, &reply); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSlopeView measures the memory per record of a view with 100,000 records, the target size.
func BenchmarkSlopeView(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const records = 100_000
	r := newLargeRoster(b, records)
	r.unsentRecords = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		r.Len()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "heap-B/record")
}
