package ctrl

import (
	"expvar"
	"net"
)

// countedConn counts the bytes of a connection as control traffic.
type countedConn struct {
	net.Conn
	counters *expvar.Map
}

// Read reads from the connection.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Add("tcp_bytes_in", int64(n))
	return n, err
}

// Write writes to the connection.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Add("tcp_bytes_out", int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counters *expvar.Map
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, counters: l.counters}, nil
}
