package ctrl

import (
	"expvar"
	"net"
)

// countedConn is a connection that counts its bytes in counters.
type countedConn struct {
	net.Conn
	counters *expvar.Map
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Add("tcp_bytes_in", int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Add("tcp_bytes_out", int64(n))
	return n, err
}

// countedListener is a listener whose connections count their bytes in counters.
type countedListener struct {
	net.Listener
	counters *expvar.Map
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, counters: l.counters}, nil
}
