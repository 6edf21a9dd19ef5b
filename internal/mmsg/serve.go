package mmsg

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Serve reads datagrams one at a time until conn is closed and calls handle with the sender and the buffer of each. The
// buffer has headroom free bytes before the datagram. It is reused after handle returns, so handle must not keep it.
// onReadError is called for each failed read.
func Serve(conn *net.UDPConn, headroom int, onReadError func(), handle func(from netip.AddrPort, b []byte)) error {
	buf := make([]byte, headroom+MaxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf[headroom:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			onReadError()
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:headroom+n])
	}
}
