package local

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// An entry that is withdrawn gets no packets although it is ready; it gets some again afterwards, also where clients send to the entries
// of their own failure domain.
func TestWithdrawnEntryGetsNoPackets(t *testing.T) {
	is := is.New(t)
	d := &Deployment{probeFailures: make(map[*Process]int)}
	for i := range 2 * domainCount {
		d.Entries = append(d.Entries, &Process{IP: netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)})})
	}
	for _, byDomain := range []bool{false, true} {
		d.opts.ByDomain = byDomain
		for _, withdrawn := range []*Process{nil, d.Entries[1], nil} {
			d.Withdraw(withdrawn)
			packets := make(map[netip.Addr]int)
			for port := range uint16(60) {
				client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(port%domainCount + 1)}), port)
				entry, ok := d.pickEntry(client, netip.MustParseAddrPort("198.18.0.1:8443"))
				is.True(ok)
				packets[entry.Addr()]++
			}
			for _, p := range d.Entries {
				is.Equal(packets[p.IP] > 0, p != withdrawn)
			}
		}
	}
}
