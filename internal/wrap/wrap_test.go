package wrap

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

// fixedRing returns a ring that is the same in every run.
func fixedRing(t testing.TB, secret byte) *fleet.Keyring {
	t.Helper()
	ring, err := fleet.NewKeyring(3, fleet.Key{Number: 3, Secret: [fleet.KeySize]byte{secret}})
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

var testHeader = Header{
	Kind: Forward, Service: 77, Serial: 1 << 40,
	Caller: netip.MustParseAddrPort("192.0.2.9:5555"),
	Entry:  netip.MustParseAddrPort("10.0.0.1:7000"),
}

func sealed(t testing.TB, ring *fleet.Keyring, text string) []byte {
	t.Helper()
	buf := append(make([]byte, Size), text...)
	Seal(ring, testHeader, buf)
	return buf
}

func TestSealAndOpen(t *testing.T) {
	is := is.New(t)
	ring := fixedRing(t, 1)
	buf := sealed(t, ring, "datagram")
	h, err := Open(ring, buf)
	is.NoErr(err)
	is.Equal(h, testHeader)
	is.Equal(string(buf[Size:]), "datagram")
}

func TestEveryChangedByteIsFound(t *testing.T) {
	is := is.New(t)
	ring := fixedRing(t, 1)
	good := sealed(t, ring, "datagram")
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 1
		_, err := Open(ring, bad)
		is.True(err != nil) // One byte differs.
	}
	for n := range len(good) {
		_, err := Open(ring, append([]byte(nil), good[:n]...))
		is.True(err != nil) // Cut off.
	}
}

func TestForeignDeploymentIsRefused(t *testing.T) {
	is := is.New(t)
	buf := sealed(t, fixedRing(t, 1), "datagram")
	_, err := Open(fixedRing(t, 2), buf)
	is.Equal(err, ErrMAC)
	other, err := fleet.NewKeyring(4, fleet.NewKey(4))
	is.NoErr(err)
	_, err = Open(other, sealed(t, fixedRing(t, 1), "datagram"))
	is.Equal(err, ErrUnknownKey)
}

func TestSealAndOpenDoNotAllocate(t *testing.T) {
	is := is.New(t)
	ring := fixedRing(t, 1)
	buf := make([]byte, Size+1200)
	allocs := testing.AllocsPerRun(100, func() {
		Seal(ring, testHeader, buf)
		if _, err := Open(ring, buf); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

func FuzzOpen(f *testing.F) {
	ring := fixedRing(f, 1)
	f.Add(sealed(f, ring, "datagram"))
	f.Add([]byte{0xB1})
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := Open(ring, b)
		if err == nil && h != testHeader {
			t.Fatalf("made-up envelope accepted: %+v", h)
		}
	})
}

func BenchmarkSlopeSealOpen(b *testing.B) {
	ring := fixedRing(b, 1)
	buf := make([]byte, Size+1200)
	b.ReportAllocs()
	for b.Loop() {
		Seal(ring, testHeader, buf)
		if _, err := Open(ring, buf); err != nil {
			b.Fatal(err)
		}
	}
}
