package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// seedSlots is how many entries' addresses the store holds for processes that start.
const seedSlots = 8

func seedKey(slot uint32) string { return fmt.Sprintf("entries/%d", slot) }

// Announce stores the control address of an entry in one of a few places.
func (c *Client) Announce(ctx context.Context, control netip.AddrPort) error {
	h := fnv.New32a()
	_, _ = h.Write([]byte(control.String())) // A hash's Write never fails.
	return c.Put(ctx, seedKey(h.Sum32()%seedSlots), []byte(control.String()))
}

// Entries returns the control addresses of the entries that announced themselves last.
func (c *Client) Entries(ctx context.Context) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for slot := range uint32(seedSlots) {
		value, ok, err := c.Get(ctx, seedKey(slot))
		if err != nil {
			return out, err
		}
		if addr, err := netip.ParseAddrPort(string(value)); ok && err == nil {
			out = append(out, addr)
		}
	}
	return out, nil
}
