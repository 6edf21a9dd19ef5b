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

// testMember is a member that sends datagrams of one established flow at a constant rate.
type testMember struct {
	share         uint32
	ratePerSecond int // Over all entries.
	datagram      []byte
	received      atomic.Int64 // Datagrams that reached the agent.
}

// shareTest runs entries of given capacities in front of one agent, and members that send through them.
type shareTest struct {
	t         *testing.T
	sink      *mmsg.Conn
	entry     *testEntry
	addresses [][]netip.AddrPort // Service addresses by entry, then by member.
	members   []*testMember
}

func newShareTest(t *testing.T, capacities []int, members ...*testMember) *shareTest {
	t.Helper()
	st := &shareTest{t: t, entry: newTestEntry(t, 0, 0), members: members}
	var err error
	if st.sink, err = mmsg.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.sink.Close() })
	for i, m := range members {
		m.datagram = st.entry.established(t, connid.Location{Service: uint32(i + 1), Agent: st.sink.Addr(), Incarnation: 1}, 1)[:200]
	}
	for _, c := range capacities {
		st.addEntry(c)
	}
	go st.receive()
	return st
}

// addEntry starts a forwarder with the given capacity and a service for each member.
func (st *shareTest) addEntry(capacity int) {
	st.t.Helper()
	table := NewTable(false)
	var records []contr.Record
	var addresses []netip.AddrPort
	for i, m := range st.members {
		probe, err := mmsg.Listen(st.t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
		if err != nil {
			st.t.Fatal(err)
		}
		r := testRecord(i + 1)
		r.Contract.Address, r.Contract.Share = probe.Addr(), m.share
		_ = probe.Close()
		records = append(records, r)
		addresses = append(addresses, r.Contract.Address)
	}
	table.SetContracts(records)
	forwarder, err := NewForwarder(st.t.Context(), ForwarderOptions{
		Table: table, Keys: st.entry.keys, Bind: netip.MustParseAddr("127.0.0.1"), Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, PathMTU: 1500, Capacity: capacity, Workers: 1,
		Counters: new(expvar.Map), Log: zap.NewNop(),
	})
	if err != nil {
		st.t.Fatal(err)
	}
	forwarder.Start()
	forwarder.ListenServices()
	st.t.Cleanup(forwarder.Close)
	st.addresses = append(st.addresses, addresses)
}

// receive counts the datagrams of each member that reach the agent.
func (st *shareTest) receive() {
	batch := mmsg.NewBatch(batchSize, 0)
	for {
		n, err := st.sink.Read(batch)
		if err != nil {
			return
		}
		for i := range n {
			message := &batch.Messages[i]
			if h, err := wrap.Open(st.entry.keys.Load(), message.Buf[message.Start:message.End]); err == nil {
				st.members[h.Service-1].received.Add(1)
			}
		}
	}
}

const (
	shareWarmup       = time.Second
	shareMeasureTime  = 3 * time.Second
	shareSendInterval = 5 * time.Millisecond
)

// run sends at the members' rates, spread evenly over the entries, and returns the rate, per second, at which datagrams of
// each member reached the agent.
func (st *shareTest) run() []float64 {
	st.t.Helper()
	source, err := mmsg.Listen(st.t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), mmsg.Options{})
	if err != nil {
		st.t.Fatal(err)
	}
	defer func() { _ = source.Close() }()
	start := time.Now()
	sent := make([]int, len(st.members))
	var before []int64
	for elapsed := time.Duration(0); elapsed < shareWarmup+shareMeasureTime; elapsed = time.Since(start) {
		if before == nil && elapsed >= shareWarmup {
			before = st.counts()
		}
		for i, m := range st.members {
			for due := int(float64(m.ratePerSecond) * elapsed.Seconds()); sent[i] < due; sent[i]++ {
				_ = source.WriteTo(m.datagram, st.addresses[sent[i]%len(st.addresses)][i]) // A lost datagram counts as not received.
			}
		}
		time.Sleep(shareSendInterval)
	}
	rates := make([]float64, len(st.members))
	for i, n := range st.counts() {
		rates[i] = float64(n-before[i]) / shareMeasureTime.Seconds()
	}
	return rates
}

func (st *shareTest) counts() []int64 {
	counts := make([]int64, len(st.members))
	for i, m := range st.members {
		counts[i] = m.received.Load()
	}
	return counts
}

func TestGreedyMemberLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	const capacity = 2000
	greedy, modest := &testMember{share: 60, ratePerSecond: 12_000}, &testMember{share: 40, ratePerSecond: 800}
	received := newShareTest(t, []int{capacity}, greedy, modest).run()
	t.Logf("datagrams per second: %v", received)
	is.True(received[1] >= 0.98*800) // The modest member sends 800 per second, which is its share, and must get it.
	is.True(received[0]+received[1] <= 1.05*capacity)
	is.True(received[0] >= 0.9*0.6*capacity) // The greedy member still gets its own share.
}

func TestFederationSharesHoldOverUnequalEntries(t *testing.T) {
	is := is.New(t)
	members := []*testMember{{share: 50, ratePerSecond: 8000}, {share: 30, ratePerSecond: 8000}, {share: 20, ratePerSecond: 8000}}
	received := newShareTest(t, []int{2000, 1000, 1000}, members...).run()
	t.Logf("datagrams per second: %v", received)
	total := received[0] + received[1] + received[2]
	for i, m := range members {
		percent := received[i] / total * 100
		is.True(percent > float64(m.share)-3)
		is.True(percent < float64(m.share)+3)
	}
}
