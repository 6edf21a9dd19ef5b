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

// BenchmarkSlopeRouteFlow measures the routing of a datagram of an established flow, with few and many open flows.
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

// BenchmarkSlopeTouchFlows reads the datagrams of BenchmarkSlopeRouteFlow without routing them. The difference between its
// two results is the cost of reading more of the benchmark's own memory.
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

// BenchmarkSlopeRouteNew measures the placement of a new flow with a table of the target size: 13,000 services, 104,000
// agents.
func BenchmarkSlopeRouteNew(b *testing.B) {
	e := newTestEntry(b, 13_000, 8)
	d := initial([]byte("12345678"))
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		e.table.ByNumber(77).recordResponse(agentAddress(77 * 8))
		e.router.Route(d, serviceAddress(77), now)
	}
}

// BenchmarkSlopeTable measures the memory, load time and time per contract change of a table of the target size: 13,000
// services, 104,000 agents.
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

// BenchmarkPath compares the entry's packet path with a relay that does the same reads and writes without routing.
func BenchmarkPath(b *testing.B) {
	b.Run("entry", func(b *testing.B) { benchmarkForward(b, true) })
	b.Run("relay", func(b *testing.B) { benchmarkForward(b, false) })
}

const benchBatch = 32

// benchmarkForward sends batches of datagrams through one worker and receives them at the other end.
func benchmarkForward(b *testing.B, route bool) {
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
	var serviceAddr netip.AddrPort
	var datagram []byte
	if route {
		serviceAddr, datagram = startForwarder(b, sink.Addr())
	} else {
		serviceAddr, datagram = startPlainRelay(b, sink.Addr())
	}
	out, in := mmsg.NewBatch(benchBatch, 0), mmsg.NewBatch(benchBatch, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range out.Messages {
			m := &out.Messages[i]
			m.Start, m.End, m.Peer = 0, copy(m.Buf, datagram), serviceAddr
		}
		if _, err := source.Write(out, benchBatch); err != nil {
			b.Fatal(err)
		}
		for received := 0; received < benchBatch; {
			n, err := sink.Read(in)
			if err != nil {
				b.Fatal(err)
			}
			received += n
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchBatch), "ns/packet")
}

// startForwarder starts a Forwarder with one service whose agent is sink.
func startForwarder(b *testing.B, sink netip.AddrPort) (serviceAddr netip.AddrPort, datagram []byte) {
	b.Helper()
	e := newTestEntry(b, 0, 0)
	probe, err := mmsg.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		b.Fatal(err)
	}
	serviceAddr = probe.Addr()
	_ = probe.Close()
	r := testRecord(1)
	r.Contract.Address = serviceAddr
	e.table.SetContracts([]contr.Record{r})
	forwarder, err := NewForwarder(b.Context(), ForwarderOptions{
		Table: e.table, Keys: e.keys, Bind: netip.MustParseAddr("127.0.0.1"), Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, PathMTU: 1500, Workers: 1,
		Counters: new(expvar.Map), Log: zap.NewNop(),
	})
	if err != nil {
		b.Fatal(err)
	}
	forwarder.Start()
	forwarder.ListenServices()
	b.Cleanup(forwarder.Close)
	return serviceAddr, e.established(b, connid.Location{Service: 1, Agent: sink, Incarnation: 1}, 1)
}

// startPlainRelay starts a relay that forwards each datagram unchanged.
func startPlainRelay(b *testing.B, sink netip.AddrPort) (serviceAddr netip.AddrPort, datagram []byte) {
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
