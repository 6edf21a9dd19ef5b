package entry

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/packet"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

var testNow = time.Unix(1_700_000_000, 0)

// testEntry is a table with services numbered from 1, and a router that uses it.
type testEntry struct {
	table  *Table
	keys   *fleet.AtomicKeyring
	router *Router
}

func serviceAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(number >> 8), byte(number)}), 443)
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func testRecord(number int) contr.Record {
	c := contr.Contract{Name: fmt.Sprintf("s%d", number), Member: fmt.Sprintf("m%d", number), Address: serviceAddress(number)}
	return contr.Record{Contract: c.WithDefaults(), Number: uint32(number), Serial: uint64(number)}
}

func testAgents(number, first, n int) []view.Record {
	var out []view.Record
	for i := range n {
		out = append(out, view.Record{
			Packets: agentAddress(first + i), Role: view.Agent, Service: uint32(number),
			Domain: fmt.Sprint(i % 3), Weight: 100, Incarnation: 1, State: view.Up,
		})
	}
	return out
}

func newTestEntry(t testing.TB, services, agents int) *testEntry {
	t.Helper()
	e := &testEntry{table: NewTable(false), keys: &fleet.AtomicKeyring{}}
	keyring, err := fleet.NewKeyring(1, fleet.Key{Number: 1, Secret: [fleet.KeySize]byte{7}})
	if err != nil {
		t.Fatal(err)
	}
	e.keys.Store(keyring)
	var records []contr.Record
	for n := 1; n <= services; n++ {
		records = append(records, testRecord(n))
	}
	e.table.SetContracts(records)
	for n := 1; n <= services; n++ {
		e.table.SetAgents(uint32(n), testAgents(n, n*agents, agents))
	}
	e.router = e.newRouter()
	return e
}

func (e *testEntry) newRouter() *Router {
	return NewRouter(RouterOptions{
		Table: e.table, Keys: e.keys, AgentNetworks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}, MaxSize: 1400,
	})
}

// established returns a datagram of an established flow at location.
func (e *testEntry) established(t testing.TB, location connid.Location, counter uint32) []byte {
	t.Helper()
	id, err := connid.Encode(e.keys.Load(), location, counter)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{0x40}, id.Bytes()...), make([]byte, 1000)...)
}

// initial returns a datagram that opens a flow with a connection ID chosen by the client.
func initial(id []byte) []byte {
	out := append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...)
	return append(out, make([]byte, packet.MinInitialSize)...)
}

func TestRoute(t *testing.T) {
	e := newTestEntry(t, 2, 3)
	location := connid.Location{Service: 1, Agent: agentAddress(3), Incarnation: 1}
	otherService := connid.Location{Service: 2, Agent: agentAddress(6), Incarnation: 1}
	outside := connid.Location{Service: 1, Agent: netip.MustParseAddrPort("203.0.113.1:53"), Incarnation: 1}
	unknown := connid.Location{Service: 1, Agent: agentAddress(200), Incarnation: 9}
	foreignKey := e.established(t, location, 1)
	foreignKey[1] = 99
	forged := e.established(t, location, 1)
	forged[5] ^= 1
	cases := map[string]struct {
		datagram []byte
		local    netip.AddrPort
		want     Verdict
	}{
		"flow":                         {e.established(t, location, 1), serviceAddress(1), ForwardFlow},
		"flow at an agent not in view": {e.established(t, unknown, 1), serviceAddress(1), ForwardFlow},
		"flow of another service":      {e.established(t, otherService, 1), serviceAddress(1), DropForeignService},
		"flow outside the networks":    {e.established(t, outside, 1), serviceAddress(1), DropForeignAgent},
		"unknown key":                  {foreignKey, serviceAddress(1), DropUnknownFlow},
		"forged connection ID":         {forged, serviceAddress(1), DropForeignService},
		"new flow":                     {initial([]byte("12345678")), serviceAddress(1), ForwardNew},
		"new flow, long ID":            {initial([]byte("12345678901234567")), serviceAddress(1), ForwardNew},
		"new flow, too small":          {initial([]byte("12345678"))[:1000], serviceAddress(1), DropTooSmall},
		"no such address":              {initial([]byte("12345678")), serviceAddress(9), DropNoService},
		"truncated":                    {[]byte{0xc0, 0, 0}, serviceAddress(1), DropMalformed},
		"empty":                        {nil, serviceAddress(1), DropMalformed},
		"too large":                    {make([]byte, 1401), serviceAddress(1), DropTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := e.router.Route(c.datagram, c.local, testNow)
			is.Equal(got.Verdict, c.want)
			if got.Verdict <= ForwardNew {
				is.Equal(got.Service.Number, uint32(1))
			}
		})
	}
}

func TestEntriesChooseSameAgentForFlow(t *testing.T) {
	is := is.New(t)
	a, b := newTestEntry(t, 2, 7), newTestEntry(t, 2, 7)
	for i := range 1000 {
		d := initial(binary.BigEndian.AppendUint64(nil, uint64(i)))
		is.Equal(a.router.Route(d, serviceAddress(2), testNow).Agent, b.router.Route(d, serviceAddress(2), testNow).Agent)
	}
}

func TestMutatedConnectionIDsReachNoOtherService(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t, 2, 3)
	good := e.established(t, connid.Location{Service: 1, Agent: agentAddress(3), Incarnation: 1}, 1)
	for i := 1; i <= connid.Len; i++ {
		for bit := range 8 {
			bad := append([]byte(nil), good...)
			bad[i] ^= 1 << bit
			got := e.router.Route(bad, serviceAddress(1), testNow)
			is.True(got.Verdict > ForwardNew) // Dropped.
		}
	}
}

func TestSilentAgentIsDemoted(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t, 1, 3)
	d := initial([]byte("12345678"))
	first := e.router.Route(d, serviceAddress(1), testNow).Agent
	now := testNow
	for range demotionThreshold {
		is.Equal(e.router.Route(d, serviceAddress(1), now).Agent, first)
	}
	now = now.Add(2 * responseTimeout)
	is.True(e.router.Route(d, serviceAddress(1), now).Agent != first)
	e.table.ByNumber(1).recordResponse(first)
	is.Equal(e.router.Route(d, serviceAddress(1), now).Agent, first) // A response ends the demotion.
}

func TestOlderContractIsIgnored(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t, 2, 3)
	retired := testRecord(1)
	retired.Serial, retired.Retired = 10, true
	is.Equal(e.table.SetContracts([]contr.Record{retired}), 1)
	is.Equal(e.table.SetContracts([]contr.Record{testRecord(1)}), 0)
	is.True(e.table.ByAddress(serviceAddress(1)) == nil)
	is.True(e.table.ByNumber(1).Retired) // Replies of flows that continue still find it.
	next := testRecord(3)
	next.Contract.Address = serviceAddress(1)
	next.Serial = 11
	e.table.SetContracts([]contr.Record{next})
	is.Equal(e.table.ByAddress(serviceAddress(1)).Number, uint32(3))
}

// TestContractsAreSetWhileTableIsRead guards against a new service that is written into the slice that lookups read, where
// they met a service without a value.
func TestContractsAreSetWhileTableIsRead(t *testing.T) {
	is := is.New(t)
	const services = 200
	table := NewTable(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := uint32(1); i <= services; i++ {
			contract := contr.Contract{Member: "m", Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))}
			table.SetContracts([]contr.Record{{Contract: contract, Number: i, Serial: uint64(i)}})
		}
	}()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		default:
		}
		for _, s := range table.Services() {
			is.True(s != nil)
		}
	}
	is.True(table.ByNumber(services) != nil)
}

// TestOlderOfTwoNewContractsIsIgnored guards against an older contract that replaces a newer one of the same batch.
func TestOlderOfTwoNewContractsIsIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable(true)
	is.Equal(table.SetContracts([]contr.Record{{Number: 1, Serial: 2}, {Number: 1, Serial: 1}}), 1)
	is.Equal(table.ByNumber(1).ContractSerial, uint64(2))
}

func TestMemberSharesFollowContracts(t *testing.T) {
	is := is.New(t)
	table := NewTable(false)
	a, b := testRecord(1), testRecord(2)
	a.Contract.Member, a.Contract.Share = "m", 30
	b.Contract.Member, b.Contract.Share = "m", 20
	table.SetContracts([]contr.Record{a, b})
	m := table.ByNumber(1).Member
	is.Equal(m.Share(), uint32(50))
	a.Contract.Share, a.Serial = 5, 10
	table.SetContracts([]contr.Record{a})
	is.Equal(m.Share(), uint32(25))
	b.Retired, b.Serial = true, 11
	table.SetContracts([]contr.Record{b})
	is.Equal(m.Share(), uint32(5))
}

func TestRoutingDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t, 2, 7)
	flow := e.established(t, connid.Location{Service: 1, Agent: agentAddress(3), Incarnation: 1}, 1)
	initialPacket := initial([]byte("12345678"))
	e.router.Route(initialPacket, serviceAddress(1), testNow)
	is.Equal(testing.AllocsPerRun(100, func() {
		e.router.Route(flow, serviceAddress(1), testNow)
		e.router.Route(initialPacket, serviceAddress(1), testNow)
	}), 0.0)
}

func FuzzRoute(f *testing.F) {
	e := newTestEntry(f, 2, 3)
	f.Add(e.established(f, connid.Location{Service: 1, Agent: agentAddress(3), Incarnation: 1}, 1))
	f.Add(initial([]byte("12345678")))
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		got := e.router.Route(b, serviceAddress(1), testNow)
		if got.Verdict <= ForwardNew && got.Service.Number != 1 {
			t.Fatalf("datagram of service 1 is routed to service %d", got.Service.Number)
		}
	})
}
