package ctrl

import (
	"bytes"
	"encoding/gob"
	"expvar"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

var testHeartbeat = Heartbeat{Service: "desk", ContractSerial: 9, Record: view.Record{
	Packets: netip.MustParseAddrPort("10.0.0.1:7000"), Control: netip.MustParseAddrPort("10.0.0.1:7001"),
	Role: view.Agent, Service: 3, Domain: "a", Weight: 100, Incarnation: 1 << 50, Epoch: 4, State: view.Draining,
}}

func TestCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	codec := NewCodec(fleet.Secret{1})
	datagram, err := Encode(codec, KindHeartbeat, testHeartbeat)
	is.NoErr(err)
	kind, body, err := codec.Verify(append([]byte(nil), datagram...))
	is.NoErr(err)
	is.Equal(kind, KindHeartbeat)
	got, err := Decode[Heartbeat](body)
	is.NoErr(err)
	is.Equal(got, testHeartbeat)
	for i := range datagram {
		corrupted := append([]byte(nil), datagram...)
		corrupted[i] ^= 1
		_, _, err := codec.Verify(corrupted)
		is.True(err != nil)
	}
	_, _, err = NewCodec(fleet.Secret{2}).Verify(datagram)
	is.Equal(err, ErrMAC)
	_, err = Encode(codec, KindRumor, Rumor{Records: make([]view.Record, 1000)})
	is.Equal(err, ErrTooLarge)
}

func FuzzCodec(f *testing.F) {
	c := NewCodec(fleet.Secret{1})
	valid, err := Encode(c, KindHeartbeat, testHeartbeat)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, body, err := c.Verify(append([]byte(nil), b...))
		if err != nil {
			body = b // Decode must not panic on unauthenticated input either.
		}
		heartbeat, decodeErr := Decode[Heartbeat](body)
		if err == nil && (decodeErr != nil || !reflect.DeepEqual(heartbeat, testHeartbeat)) {
			t.Fatalf("forged datagram accepted")
		}
		_, _ = Decode[Rumor](body)
		_, _ = Decode[Sync](body)
		_, _ = Decode[Load](body)
		_, _ = Decode[Ack](body)
	})
}

// Echo is an RPC receiver.
type Echo struct{}

// Say copies arg to reply.
func (Echo) Say(arg string, reply *string) error {
	*reply = arg
	return nil
}

// A client of a deployment with another secret must not get through the TLS handshake.
func TestCallsRequireTheDeploymentSecret(t *testing.T) {
	is := is.New(t)
	conf, err := fleet.Secret{1}.TLSConfig()
	is.NoErr(err)
	ln, link, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), conf, NewCodec(fleet.Secret{1}), new(expvar.Map))
	is.NoErr(err)
	defer func() { _, _ = link.Close(), ln.Close() }()
	server, err := NewServer(ln, "Echo", Echo{})
	is.NoErr(err)
	go func() { _ = server.Serve() }()
	client := NewClient(conf, new(expvar.Map))
	defer client.Close()
	var reply string
	is.NoErr(client.Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply))
	is.Equal(reply, "hello")
	otherDeployment, err := fleet.Secret{2}.TLSConfig()
	is.NoErr(err)
	is.True(NewClient(otherDeployment, new(expvar.Map)).Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply) != nil)
}

// A connection that hangs after it was accepted must fail one call by timeout and then be replaced.
func TestHungConnectionFailsOneCallOnly(t *testing.T) {
	is := is.New(t)
	conf, err := fleet.Secret{1}.TLSConfig()
	is.NoErr(err)
	ln, link, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), conf, NewCodec(fleet.Secret{1}), new(expvar.Map))
	is.NoErr(err)
	defer func() { _, _ = link.Close(), ln.Close() }()
	hungConns := make(chan net.Conn, 1)
	go func() { // The first connection is accepted and never served; the later ones are served.
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
		hungConns <- conn
		server, err := NewServer(ln, "Echo", Echo{})
		if err == nil {
			_ = server.Serve()
		}
	}()
	client := NewClient(conf, new(expvar.Map))
	defer client.Close()
	client.timeout = 200 * time.Millisecond
	var reply string
	is.True(client.Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply) != nil)
	is.NoErr(client.Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply))
	_ = (<-hungConns).Close()
}

func TestClientBoundsItsConnections(t *testing.T) {
	is := is.New(t)
	conf, err := fleet.Secret{1}.TLSConfig()
	is.NoErr(err)
	client := NewClient(conf, new(expvar.Map))
	defer client.Close()
	var reply string
	for range maxClientConns + 5 {
		ln, link, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), conf, NewCodec(fleet.Secret{1}), new(expvar.Map))
		is.NoErr(err)
		defer func() { _, _ = link.Close(), ln.Close() }()
		server, err := NewServer(ln, "Echo", Echo{})
		is.NoErr(err)
		go func() { _ = server.Serve() }()
		is.NoErr(client.Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply))
		is.True(len(client.conns) <= maxClientConns)
	}
}

// BenchmarkSlopeSizes reports the sizes of control datagrams and of a record in a bulk transfer.
func BenchmarkSlopeSizes(b *testing.B) {
	c := NewCodec(fleet.Secret{1})
	record := testHeartbeat.Record
	size := func(kind Kind, msg any) float64 {
		out, err := Encode(c, kind, msg)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(out))
	}
	var bulk bytes.Buffer
	const records = 1000
	if err := gob.NewEncoder(&bulk).Encode(ExchangeReply{Records: slices.Repeat([]view.Record{record}, records)}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Encode(c, KindHeartbeat, testHeartbeat); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bulk.Len())/records, "bulk-B/record")
	b.ReportMetric(size(KindHeartbeat, testHeartbeat), "beat-B")
	b.ReportMetric(size(KindAck, Ack{Record: record, ContractSerial: 1 << 20, KeySerial: 1 << 20, AgentsHash: 1 << 63, Entry: record}), "ack-B")
	b.ReportMetric(size(KindSync, Sync{Record: record, JournalPosition: 1 << 20, ViewHash: 1 << 63, Peer: record}), "sync-B")
	b.ReportMetric(size(KindLoad, Load{Record: record, UtilizationPermille: 700, FreeSlots: 2, QueuedRequests: 1, Flows: 2000}), "load-B")
	b.ReportMetric(size(KindRumor, Rumor{Records: []view.Record{record}}), "rumor-B")
}

// BenchmarkSlopePulse reports the sizes of heartbeats between processes that carry opaque flows.
func BenchmarkSlopePulse(b *testing.B) {
	c := NewCodec(fleet.Secret{})
	load := &ServerLoad{
		Ready: true, PendingRequests: 3, Flows: 120, Slots: 4, MeanServiceTime: 26 * time.Millisecond, FirstPerKilosecond: 12_000, FollowUpPerKilosecond: 60_000, MinHealthCheckTime: time.Millisecond,
	}
	record := view.Record{
		Packets: netip.MustParseAddrPort("10.0.0.1:7002"), Control: netip.MustParseAddrPort("10.0.0.1:7001"), Role: view.Agent,
		Service: 1 << 30, Domain: "zone-1", Incarnation: 1 << 56, State: view.Up, Since: time.Unix(1_800_000_000, 0),
	}
	size := func(kind Kind, msg any) float64 {
		out, err := Encode(c, kind, msg)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(out))
	}
	for b.Loop() {
		_ = size(KindCompactState, CompactState{Packets: record.Packets, Incarnation: record.Incarnation, Server: load, ConfigVersion: 70, ConfigAge: time.Second, StoreEra: 2})
	}
	b.ReportMetric(size(KindState, State{Record: record, Server: load, ConfigVersion: 70, ConfigAge: time.Second, StoreEra: 2, Uptime: time.Hour}), "B/state")
	b.ReportMetric(size(KindCompactState, CompactState{Packets: record.Packets, Incarnation: record.Incarnation, Server: load, ConfigVersion: 70, ConfigAge: time.Second, StoreEra: 2}), "B/pulse")
	b.ReportMetric(size(KindCompactState, CompactState{Packets: record.Packets, Incarnation: record.Incarnation}), "B/alive")
}

// Guards against a process of an earlier release that fails on a datagram of a kind it doesn't know.
func TestUnknownKindIsIgnored(t *testing.T) {
	is := is.New(t)
	codec, counters := NewCodec(fleet.Secret{1}), new(expvar.Map)
	received := 0
	link := &Link{codec: codec, counters: counters, handlers: map[Kind]Handler{KindState: func(netip.AddrPort, []byte) { received++ }}}
	for _, kind := range []Kind{KindSilenceQuery, KindState} {
		datagram, err := Encode(codec, kind, SilenceQuery{Round: 1})
		is.NoErr(err)
		link.dispatch(netip.MustParseAddrPort("10.0.0.1:1"), datagram)
	}
	is.Equal(received, 1)
	is.Equal(counters.Get("unhandled").String(), "1")
}
