package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// directoryKeyCount is the number of keys under which entries register their control addresses. Starting processes read them
// to join the deployment.
const directoryKeyCount = 8

func directoryKey(index uint32) string { return fmt.Sprintf("entries/%d", index) }

// Register stores the control address of an entry under one of directoryKeyCount keys, chosen by the hash of the address.
func (c *Client) Register(ctx context.Context, control netip.AddrPort) error {
	h := fnv.New32a()
	_, _ = h.Write([]byte(control.String())) // Write of a hash never fails.
	return c.Put(ctx, directoryKey(h.Sum32()%directoryKeyCount), []byte(control.String()))
}

// Entries returns the control addresses last stored by Register. Missing and invalid addresses are skipped.
func (c *Client) Entries(ctx context.Context) ([]netip.AddrPort, error) {
	var entries []netip.AddrPort
	for index := range uint32(directoryKeyCount) {
		value, ok, err := c.Get(ctx, directoryKey(index))
		if err != nil {
			return entries, err
		}
		if addr, err := netip.ParseAddrPort(string(value)); ok && err == nil {
			entries = append(entries, addr)
		}
	}
	return entries, nil
}
