package packet

import (
	"testing"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	long := []byte{0xc0, 0, 0, 0, 1, 3, 'a', 'b', 'c', 2, 'd', 'e', 9, 9}
	h, err := Parse(long, 17)
	is.NoErr(err)
	is.True(h.Long)
	is.Equal(h.Version, uint32(1))
	is.Equal(string(h.DstConnID), "abc")
	is.Equal(string(h.SrcConnID), "de")

	short := append([]byte{0x40}, "0123456789abcdefgREST"...)
	h, err = Parse(short, 17)
	is.NoErr(err)
	is.True(!h.Long)
	is.Equal(string(h.DstConnID), "0123456789abcdefg")
}

func TestParseMalformed(t *testing.T) {
	cases := map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":                 {nil, ErrTruncated},
		"short header":          {make([]byte, 17), ErrTruncated},
		"long header":           {[]byte{0x80, 0, 0, 0, 1}, ErrTruncated},
		"destination truncated": {[]byte{0x80, 0, 0, 0, 1, 4, 1, 2}, ErrTruncated},
		"source truncated":      {[]byte{0x80, 0, 0, 0, 1, 1, 1, 4, 1}, ErrTruncated},
		"source missing":        {[]byte{0x80, 0, 0, 0, 1, 1, 1}, ErrTruncated},
		"destination too long":  {append([]byte{0x80, 0, 0, 0, 1, 21}, make([]byte, 40)...), ErrConnIDTooLong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(c.datagram, 17)
			is.Equal(err, c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{0xc0, 0, 0, 0, 1, 3, 'a', 'b', 'c', 2, 'd', 'e'})
	f.Add([]byte{0x40})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := Parse(b, 17)
		if err == nil && len(h.DstConnID) > MaxConnIDLen {
			t.Fatalf("connection ID of %d bytes", len(h.DstConnID))
		}
	})
}
