package entry

import (
	"context"
	"expvar"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// BenchmarkSlopeRouteFlow measures the decision about a packet of an established flow, with few and with many flows open.
func BenchmarkSlopeRouteFlow(b *testing.B) {
	for name, flows := range map[string]int{"flows=1000": 1000, "flows=100000": 100_000} {
		b.Run(name, func(b *testing.B) {
			e := newTestEntry(b, 2, 7)
			datagrams := make([][]byte, flows)
			for i := range datagrams {
				datagrams[i] = e.established(b, connid.Location{Service: 1, Agent: agentAddress(7 + i%7), Incarnation: 1}, uint32(i))[:64]
			}
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.router.Route(datagrams[i%flows], serviceAddress(1), now)
			}
		})
	}
}

// BenchmarkSlopeTouchFlows reads the datagrams of BenchmarkSlopeRouteFlow and decides nothing: what its
// two figures differ by is the price of reading more of the benchmark's own memory.
func BenchmarkSlopeTouchFlows(b *testing.B) {
	for name, flows := range map[string]int{"flows=1000": 1000, "flows=100000": 100_000} {
		b.Run(name, func(b *testing.B) {
			e := newTestEntry(b, 1, 1)
			datagrams := make([][]byte, flows)
			for i := range datagrams {
				datagrams[i] = e.established(b, connid.Location{Service: 1, Agent: agentAddress(7), Incarnation: 1}, uint32(i))[:64]
			}
			sum := 0
			for i := 0; b.Loop(); i++ {
				for _, x := range datagrams[i%flows][:18] {
					sum += int(x)
				}
			}
			runtime.KeepAlive(sum)
		})
	}
}

// BenchmarkSlopeRouteNew measures the placement of a new flow before a view of the target size.
func BenchmarkSlopeRouteNew(b *testing.B) {
	e := newTestEntry(b, 13_000, 8)
	d := initial([]byte("12345678"))
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		e.table.ByNumber(77).answered(agentAddress(77 * 8))
		e.router.Route(d, serviceAddress(77), now)
	}
}

// BenchmarkSlopeTable measures what a table of the target size takes: 13,000 services, 104,000 agents.
func BenchmarkSlopeTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	e := newTestEntry(b, 13_000, 8)
	took := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for i := 0; b.Loop(); i++ {
		r := testRecord(1 + i%13_000)
		r.Serial = uint64(20_000 + i)
		e.table.SetContracts([]contr.Record{r})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/104_000, "heap-B/target")
	b.ReportMetric(took.Seconds(), "load-s")
	runtime.KeepAlive(e)
}

// BenchmarkPath compares the entry's path with a relay that does the same reads and writes and decides nothing.
func BenchmarkPath(b *testing.B) {
	b.Run("entry", func(b *testing.B) { benchmarkForward(b, true) })
	b.Run("relay", func(b *testing.B) { benchmarkForward(b, false) })
}

const benchBatch = 32

// benchmarkForward sends batches of datagrams through one worker and reads them at the other end.
func benchmarkForward(b *testing.B, decide bool) {
	ctx := context.Background()
	listen := func() *mmsg.Conn {
		c, err := mmsg.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = c.Close() })
		return c
	}
	source, sink := listen(), listen()
	var door netip.AddrPort
	var datagram []byte
	if decide {
		door, datagram = startEntryPath(b, sink.Addr())
	} else {
		door, datagram = startRelay(b, sink.Addr())
	}
	out, in := mmsg.NewBatch(benchBatch, 0), mmsg.NewBatch(benchBatch, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range out.Messages {
			m := &out.Messages[i]
			m.Start, m.End, m.Peer = 0, copy(m.Buf, datagram), door
		}
		if _, err := source.Write(out, benchBatch); err != nil {
			b.Fatal(err)
		}
		for got := 0; got < benchBatch; {
			n, err := sink.Read(in)
			if err != nil {
				b.Fatal(err)
			}
			got += n
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchBatch), "ns/packet")
}

// startEntryPath starts the entry's path with one service whose agent is sink.
func startEntryPath(b *testing.B, sink netip.AddrPort) (door netip.AddrPort, datagram []byte) {
	b.Helper()
	e := newTestEntry(b, 0, 0)
	probe, err := mmsg.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		b.Fatal(err)
	}
	door = probe.Addr()
	_ = probe.Close()
	r := testRecord(1)
	r.Contract.Address = door
	e.table.SetContracts([]contr.Record{r})
	path, err := NewPath(b.Context(), PathOptions{
		Table: e.table, Keys: e.keys, Bind: netip.MustParseAddr("127.0.0.1"), Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		Agents: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, PathMTU: 1500, Workers: 1,
		Counters: new(expvar.Map), Log: zap.NewNop(),
	})
	if err != nil {
		b.Fatal(err)
	}
	path.Start()
	path.Open()
	b.Cleanup(path.Close)
	return door, e.established(b, connid.Location{Service: 1, Agent: sink, Incarnation: 1}, 1)
}

// startRelay starts a relay that sends each datagram on as it came.
func startRelay(b *testing.B, sink netip.AddrPort) (door netip.AddrPort, datagram []byte) {
	b.Helper()
	in, err := mmsg.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		b.Fatal(err)
	}
	out, err := mmsg.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _, _ = in.Close(), out.Close() })
	go func() {
		batch := mmsg.NewBatch(batchSize, 0)
		for {
			n, err := in.Read(batch)
			if err != nil {
				return
			}
			for i := range n {
				batch.Messages[i].Peer = sink
			}
			_, _ = out.Write(batch, n)
		}
	}()
	return in.Addr(), make([]byte, 1018)
}
