package connid

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

func testKeyring(t testing.TB, numbers ...uint8) *fleet.Keyring {
	t.Helper()
	var keys []fleet.Key
	for _, n := range numbers {
		keys = append(keys, fleet.NewKey(n))
	}
	keyring, err := fleet.NewKeyring(numbers[len(numbers)-1], keys...)
	if err != nil {
		t.Fatal(err)
	}
	return keyring
}

func TestRoundTrip(t *testing.T) {
	keyring := testKeyring(t, 1, 7)
	rapid.Check(t, func(t *rapid.T) {
		ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")
		location := Location{
			Service:     rapid.Uint32Range(0, MaxService).Draw(t, "service"),
			Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), rapid.Uint16().Draw(t, "port")),
			Incarnation: TruncateIncarnation(rapid.Uint64().Draw(t, "incarnation")),
		}
		id, err := Encode(keyring, location, rapid.Uint32().Draw(t, "counter"))
		if err != nil {
			t.Fatal(err)
		}
		var d Decoder
		got, err := d.Decode(keyring, id.Bytes())
		if err != nil || got != location {
			t.Fatalf("got %v, %v; want %v", got, err, location)
		}
	})
}

func TestKeysRotate(t *testing.T) {
	is := is.New(t)
	oldKey, newKey := fleet.NewKey(1), fleet.NewKey(2)
	before, err := fleet.NewKeyring(1, oldKey)
	is.NoErr(err)
	both, err := fleet.NewKeyring(2, oldKey, newKey)
	is.NoErr(err)
	after, err := fleet.NewKeyring(2, newKey)
	is.NoErr(err)
	location := Location{Service: 5, Agent: netip.MustParseAddrPort("10.1.2.3:7000"), Incarnation: 9}
	id, err := Encode(before, location, 1)
	is.NoErr(err)
	var d Decoder
	got, err := d.Decode(both, id.Bytes()) // Flows of the old key continue while both keys are valid.
	is.NoErr(err)
	is.Equal(got, location)
	_, err = d.Decode(after, id.Bytes())
	is.Equal(err, ErrUnknownKey)
}

func TestInvalidInputIsRejected(t *testing.T) {
	is := is.New(t)
	keyring := testKeyring(t, 1)
	_, err := Encode(keyring, Location{Agent: netip.MustParseAddrPort("[::1]:1")}, 1)
	is.True(err != nil)
	_, err = Encode(keyring, Location{Service: MaxService + 1, Agent: netip.MustParseAddrPort("10.0.0.1:1")}, 1)
	is.True(err != nil)
	var d Decoder
	_, err = d.Decode(keyring, make([]byte, 16))
	is.Equal(err, ErrConnIDLength)
}

func TestDecodeDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	keyring := testKeyring(t, 1)
	id, err := Encode(keyring, Location{Agent: netip.MustParseAddrPort("10.0.0.1:1")}, 1)
	is.NoErr(err)
	b := id.Bytes()
	var d Decoder
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = d.Decode(keyring, b) }), 0.0)
}
