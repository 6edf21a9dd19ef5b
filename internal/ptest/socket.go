package ptest

import (
	"net"
	"net/netip"
	"testing"
)

// Listen opens a UDP socket that is closed when the test ends.
func Listen(t *testing.T, addr string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Addr returns the local address of a socket.
func Addr(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }
