package wrap

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

// testKeyring returns a keyring whose key is the same in every run.
func testKeyring(t testing.TB, secret byte) *fleet.Keyring {
	t.Helper()
	keyring, err := fleet.NewKeyring(3, fleet.Key{Number: 3, Secret: [fleet.KeySize]byte{secret}})
	if err != nil {
		t.Fatal(err)
	}
	return keyring
}

var testHeader = Header{
	Kind: Forward, Service: 77, ContractSerial: 1 << 40,
	Caller: netip.MustParseAddrPort("192.0.2.9:5555"),
	Entry:  netip.MustParseAddrPort("10.0.0.1:7000"),
}

func sealedDatagram(t testing.TB, keyring *fleet.Keyring, datagram string) []byte {
	t.Helper()
	buf := append(make([]byte, HeaderSize), datagram...)
	Seal(keyring, testHeader, buf)
	return buf
}

func TestSealAndOpen(t *testing.T) {
	is := is.New(t)
	keyring := testKeyring(t, 1)
	buf := sealedDatagram(t, keyring, "datagram")
	h, err := Open(keyring, buf)
	is.NoErr(err)
	is.Equal(h, testHeader)
	is.Equal(string(buf[HeaderSize:]), "datagram")
}

func TestOpenRejectsChangedBytes(t *testing.T) {
	is := is.New(t)
	keyring := testKeyring(t, 1)
	original := sealedDatagram(t, keyring, "datagram")
	for i := range original {
		changed := append([]byte(nil), original...)
		changed[i] ^= 1
		_, err := Open(keyring, changed)
		is.True(err != nil) // One byte differs.
	}
	for n := range len(original) {
		_, err := Open(keyring, append([]byte(nil), original[:n]...))
		is.True(err != nil) // The datagram is truncated.
	}
}

func TestOpenRejectsOtherKeys(t *testing.T) {
	is := is.New(t)
	buf := sealedDatagram(t, testKeyring(t, 1), "datagram")
	_, err := Open(testKeyring(t, 2), buf)
	is.Equal(err, ErrMAC)
	other, err := fleet.NewKeyring(4, fleet.NewKey(4))
	is.NoErr(err)
	_, err = Open(other, sealedDatagram(t, testKeyring(t, 1), "datagram"))
	is.Equal(err, ErrUnknownKey)
}

func TestSealAndOpenDoNotAllocate(t *testing.T) {
	is := is.New(t)
	keyring := testKeyring(t, 1)
	buf := make([]byte, HeaderSize+1200)
	allocs := testing.AllocsPerRun(100, func() {
		Seal(keyring, testHeader, buf)
		if _, err := Open(keyring, buf); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

func FuzzOpen(f *testing.F) {
	keyring := testKeyring(f, 1)
	f.Add(sealedDatagram(f, keyring, "datagram"))
	f.Add([]byte{0xB1})
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := Open(keyring, b)
		if err == nil && h != testHeader {
			t.Fatalf("forged envelope accepted: %+v", h)
		}
	})
}

func BenchmarkSlopeSealOpen(b *testing.B) {
	keyring := testKeyring(b, 1)
	buf := make([]byte, HeaderSize+1200)
	b.ReportAllocs()
	for b.Loop() {
		Seal(keyring, testHeader, buf)
		if _, err := Open(keyring, buf); err != nil {
			b.Fatal(err)
		}
	}
}
