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

var testBeat = Beat{Service: "desk", Serial: 9, Record: view.Record{
	Packets: netip.MustParseAddrPort("10.0.0.1:7000"), Control: netip.MustParseAddrPort("10.0.0.1:7001"),
	Role: view.Agent, Service: 3, Domain: "a", Weight: 100, Incarnation: 1 << 50, Epoch: 4, State: view.Draining,
}}

func TestCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	c := NewCodec(fleet.Secret{1})
	b, err := Encode(c, KindBeat, testBeat)
	is.NoErr(err)
	kind, body, err := c.Open(append([]byte(nil), b...))
	is.NoErr(err)
	is.Equal(kind, KindBeat)
	got, err := Decode[Beat](body)
	is.NoErr(err)
	is.Equal(got, testBeat)
	for i := range b {
		bad := append([]byte(nil), b...)
		bad[i] ^= 1
		_, _, err := c.Open(bad)
		is.True(err != nil)
	}
	_, _, err = NewCodec(fleet.Secret{2}).Open(b)
	is.Equal(err, ErrMAC)
	_, err = Encode(c, KindRumor, Rumor{Records: make([]view.Record, 1000)})
	is.Equal(err, ErrTooLarge)
}

func FuzzCodec(f *testing.F) {
	c := NewCodec(fleet.Secret{1})
	good, err := Encode(c, KindBeat, testBeat)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, body, err := c.Open(append([]byte(nil), b...))
		if err != nil {
			body = b // A message is decoded safely also when it is not authentic.
		}
		beat, decodeErr := Decode[Beat](body)
		if err == nil && (decodeErr != nil || !reflect.DeepEqual(beat, testBeat)) {
			t.Fatalf("made-up message accepted")
		}
		_, _ = Decode[Rumor](body)
		_, _ = Decode[Sync](body)
		_, _ = Decode[Load](body)
		_, _ = Decode[Ack](body)
	})
}

// Echo is a method set for calls in tests.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(arg string, reply *string) error {
	*reply = arg
	return nil
}

func TestCallsNeedTheSecret(t *testing.T) {
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
	foreign, err := fleet.Secret{2}.TLSConfig()
	is.NoErr(err)
	is.True(NewClient(foreign, new(expvar.Map)).Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply) != nil)
}

func TestSilentConnectionDelaysOneCallOnly(t *testing.T) {
	is := is.New(t)
	conf, err := fleet.Secret{1}.TLSConfig()
	is.NoErr(err)
	ln, link, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), conf, NewCodec(fleet.Secret{1}), new(expvar.Map))
	is.NoErr(err)
	defer func() { _, _ = link.Close(), ln.Close() }()
	silent := make(chan net.Conn, 1)
	go func() { // The first connection is accepted and goes silent; the others are served.
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
		silent <- conn
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
	_ = (<-silent).Close()
}

func TestClientKeepsFewConnections(t *testing.T) {
	is := is.New(t)
	conf, err := fleet.Secret{1}.TLSConfig()
	is.NoErr(err)
	client := NewClient(conf, new(expvar.Map))
	defer client.Close()
	var reply string
	for range maxConns + 5 {
		ln, link, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), conf, NewCodec(fleet.Secret{1}), new(expvar.Map))
		is.NoErr(err)
		defer func() { _, _ = link.Close(), ln.Close() }()
		server, err := NewServer(ln, "Echo", Echo{})
		is.NoErr(err)
		go func() { _ = server.Serve() }()
		is.NoErr(client.Call(t.Context(), link.Addr(), "Echo.Say", "hello", &reply))
		is.True(len(client.conns) <= maxConns)
	}
}

// BenchmarkSlopeSizes measures the sizes of control datagrams.
func BenchmarkSlopeSizes(b *testing.B) {
	c := NewCodec(fleet.Secret{1})
	rec := testBeat.Record
	size := func(kind Kind, msg any) float64 {
		out, err := Encode(c, kind, msg)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(out))
	}
	var bulk bytes.Buffer
	const records = 1000
	if err := gob.NewEncoder(&bulk).Encode(ExchangeReply{Records: slices.Repeat([]view.Record{rec}, records)}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Encode(c, KindBeat, testBeat); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bulk.Len())/records, "bulk-B/record")
	b.ReportMetric(size(KindBeat, testBeat), "beat-B")
	b.ReportMetric(size(KindAck, Ack{Record: rec, Serial: 1 << 20, KeySerial: 1 << 20, Members: 1 << 63, Entry: rec}), "ack-B")
	b.ReportMetric(size(KindSync, Sync{Record: rec, Position: 1 << 20, Root: 1 << 63, Peer: rec}), "sync-B")
	b.ReportMetric(size(KindLoad, Load{Record: rec, Utilization: 700, Free: 2, Queued: 1, Flows: 2000}), "load-B")
	b.ReportMetric(size(KindRumor, Rumor{Records: []view.Record{rec}}), "rumor-B")
}

// BenchmarkSlopePulse measures the sizes of heartbeats for opaque flows.
func BenchmarkSlopePulse(b *testing.B) {
	c := NewCodec(fleet.Secret{})
	load := &ServerLoad{
		Ready: true, Pending: 3, Flows: 120, Slots: 4, Service: 26 * time.Millisecond, First: 12_000, Repeated: 60_000, Check: time.Millisecond,
	}
	r := view.Record{
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
		_ = size(KindPulse, Pulse{Packets: r.Packets, Incarnation: r.Incarnation, Server: load, Version: 70, Age: time.Second})
	}
	b.ReportMetric(size(KindState, State{Record: r, Server: load, Version: 70, Age: time.Second}), "B/state")
	b.ReportMetric(size(KindPulse, Pulse{Packets: r.Packets, Incarnation: r.Incarnation, Server: load, Version: 70, Age: time.Second}), "B/pulse")
	b.ReportMetric(size(KindPulse, Pulse{Packets: r.Packets, Incarnation: r.Incarnation}), "B/alive")
}
