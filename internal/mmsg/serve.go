package mmsg

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Serve reads datagrams one by one until conn is closed, and gives each to handle with its sender. The datagram stands in
// the buffer behind room free bytes, which handle gets too; it must not keep the buffer. Errors of single reads are counted
// by failed.
func Serve(conn *net.UDPConn, room int, failed func(), handle func(from netip.AddrPort, b []byte)) error {
	buf := make([]byte, room+MaxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf[room:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			failed()
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:room+n])
	}
}
