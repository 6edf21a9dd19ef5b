package encap

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

var key = flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	want := Header{
		Kind: ListReply, Hops: Exhaustive, Verdict: seek.Held, Version: 1 << 40, Service: 1<<63 + 7,
		Fallback: netip.MustParseAddrPort("10.0.0.2:7002"), Entry: netip.MustParseAddrPort("10.0.0.3:7002"),
	}
	b := want.AppendWithKey(nil, key)
	got, body, err := Parse(b)
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(ParseKeys(body), []flow.Key{key})
	k, ok := ParseKey(body)
	is.True(ok)
	is.Equal(k, key)
	_, ok = ParseKey(body[1:])
	is.True(!ok)
}

func TestParseErrors(t *testing.T) {
	is := is.New(t)
	header := Header{Kind: Open}
	b := make([]byte, HeaderSize)
	header.Encode(b)
	_, _, err := Parse(b[:HeaderSize-1])
	is.True(errors.Is(err, ErrTruncated))
	b[1] = 99
	_, _, err = Parse(b)
	is.True(errors.Is(err, ErrKind))
	b[0] = 9
	_, _, err = Parse(b)
	is.True(errors.Is(err, ErrVersion))
}

func FuzzParse(f *testing.F) {
	header := Header{Kind: Forward, Service: 7}
	f.Add(header.AppendWithKey(nil, key))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, body, err := Parse(b)
		if err != nil {
			return
		}
		encoded := make([]byte, HeaderSize)
		h.Encode(encoded)
		parsed, _, err := Parse(encoded)
		if err != nil || parsed != h {
			t.Fatalf("encoded %+v, decoded %+v: %v", h, parsed, err)
		}
		ParseKeys(body)
	})
}

func TestParseDoesNotAllocate(t *testing.T) {
	header := Header{Kind: Forward, Entry: netip.MustParseAddrPort("10.0.0.3:7002")}
	b := make([]byte, HeaderSize+100)
	n := testing.AllocsPerRun(1000, func() {
		header.Encode(b)
		if _, _, err := Parse(b); err != nil {
			t.Fatal(err)
		}
	})
	is.New(t).Equal(n, 0.0)
}

func TestListPart(t *testing.T) {
	is := is.New(t)
	want := ListPart{RequestID: 1<<60 + 3, Index: 2, Total: 5}
	b := key.Append(want.Append(nil))
	got, keys, err := ParseListPart(b)
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(keys, []flow.Key{key})
	_, _, err = ParseListPart(b[:listPartSize-1])
	is.True(errors.Is(err, ErrTruncated))
}

// The ID of a reply must not be taken for a key, by processes of earlier releases either, whose replies have none.
func TestReplyID(t *testing.T) {
	is := is.New(t)
	key := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	for count := range MaxKeysPerReply + 1 {
		body := ListPart{RequestID: 7, Total: 1}.Append(nil)
		for range count {
			body = key.Append(body)
		}
		is.Equal(ParseReplyID(body), ReplyID(0))
		body = ReplyID(1<<60 + 5).Append(body)
		is.Equal(ParseReplyID(body), ReplyID(1<<60+5))
		_, keys, err := ParseListPart(body)
		is.NoErr(err)
		is.Equal(len(keys), count)
		is.True(len(body) <= MaxPacketSize)
	}
	is.Equal(ParseReplyID(nil), ReplyID(0))
}
