package fabric

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that reach another service: entries that bind one address tell services apart by their ports alone.
func TestChosenPortsDiffer(t *testing.T) {
	is := is.New(t)
	f := New(1)
	defer f.Close()
	const services = 800 // Enough that two of them had the same port in nearly every run.
	used := make(map[uint16]bool)
	for i := range services {
		address, err := f.AddService(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20, byte(i >> 8), byte(i)}), 0))
		is.NoErr(err)
		is.True(!used[address.Port()])
		used[address.Port()] = true
	}
}
