//go:build linux

package mmsg

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func listen(t testing.TB, opts Options) *Conn {
	t.Helper()
	c, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	sender := listen(t, Options{})
	receiver := listen(t, Options{PacketInfo: true})
	out := NewBatch(3, 8)
	for i, text := range []string{"one", "", "three"} {
		m := &out.Messages[i]
		m.Start = 4
		m.End = m.Start + copy(m.Buf[4:], text)
		m.Peer = receiver.Addr()
	}
	refused, err := sender.Write(out, 3)
	is.NoErr(err)
	is.Equal(refused, 0)
	in := NewBatch(4, 10)
	var got []string
	for len(got) < 2 {
		n, err := receiver.Read(in)
		is.NoErr(err)
		for i := range n {
			m := &in.Messages[i]
			is.Equal(m.Peer, sender.Addr())
			is.Equal(m.Local, netip.MustParseAddr("127.0.0.1"))
			is.Equal(m.Start, 10)
			got = append(got, string(m.Buf[m.Start:m.End]))
		}
	}
	is.Equal(got, []string{"one", "three"}) // The empty message is skipped.
}

func TestWriteFromChosenAddress(t *testing.T) {
	is := is.New(t)
	sender, err := Listen(t.Context(), netip.MustParseAddrPort("0.0.0.0:0"), Options{PacketInfo: true})
	is.NoErr(err)
	defer func() { _ = sender.Close() }()
	receiver := listen(t, Options{})
	out := NewBatch(1, 0)
	m := &out.Messages[0]
	m.End = copy(m.Buf, "hello")
	m.Peer = receiver.Addr()
	m.Local = netip.MustParseAddr("127.0.9.9")
	_, err = sender.Write(out, 1)
	is.NoErr(err)
	in := NewBatch(1, 0)
	_, err = receiver.Read(in)
	is.NoErr(err)
	is.Equal(in.Messages[0].Peer.Addr(), netip.MustParseAddr("127.0.9.9"))
}

func TestReadAndWriteDoNotAllocate(t *testing.T) {
	is := is.New(t)
	sender := listen(t, Options{})
	receiver := listen(t, Options{PacketInfo: true})
	out, in := NewBatch(1, 0), NewBatch(1, 0)
	allocs := testing.AllocsPerRun(100, func() {
		m := &out.Messages[0]
		m.Start, m.End, m.Peer = 0, 100, receiver.Addr()
		if _, err := sender.Write(out, 1); err != nil {
			t.Fatal(err)
		}
		if _, err := receiver.Read(in); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}
