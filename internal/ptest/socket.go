package ptest

import (
	"net"
	"net/netip"
	"testing"
)

// Listen opens a UDP socket that is closed when the test ends.
func Listen(t *testing.T, addr string) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Addr returns a socket's address.
func Addr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
