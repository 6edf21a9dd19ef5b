package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// maxSeeds is the number of keys under which entries store their addresses. Starting processes read them to join the
// deployment.
const maxSeeds = 8

func seedKey(slot uint32) string { return fmt.Sprintf("entries/%d", slot) }

// Announce stores the control address of an entry under one of maxSeeds keys, chosen by the hash of the address.
func (c *Client) Announce(ctx context.Context, control netip.AddrPort) error {
	h := fnv.New32a()
	_, _ = h.Write([]byte(control.String())) // Write of a hash never fails.
	return c.Put(ctx, seedKey(h.Sum32()%maxSeeds), []byte(control.String()))
}

// Entries returns the control addresses last stored by Announce. Missing and invalid addresses are skipped.
func (c *Client) Entries(ctx context.Context) ([]netip.AddrPort, error) {
	var entries []netip.AddrPort
	for slot := range uint32(maxSeeds) {
		value, ok, err := c.Get(ctx, seedKey(slot))
		if err != nil {
			return entries, err
		}
		if addr, err := netip.ParseAddrPort(string(value)); ok && err == nil {
			entries = append(entries, addr)
		}
	}
	return entries, nil
}
