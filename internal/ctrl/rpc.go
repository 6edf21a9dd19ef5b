package ctrl

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	dialTimeout = 2 * time.Second
	callTimeout = 10 * time.Second
	// maxConns is how many connections a process keeps to others.
	maxConns = 32
)

// ServiceArgs asks an entry for what the agent of a service needs.
type ServiceArgs struct{ Service string }

// ServiceReply is what the agent of a service needs.
type ServiceReply struct {
	Record    contr.Record
	Found     bool
	Keys      journ.Keys
	KeySerial uint64
	Members   []view.Record
	// Gone are former members that have ended lately.
	Gone []view.Record
	// Hash is the hash of Members that an Ack gives.
	Hash    uint64
	Entries []view.Record
}

// JournalArgs asks an entry for the journal after a position.
type JournalArgs struct{ Since uint64 }

// JournalReply holds the entries after the position, or a snapshot where the entry no longer holds them all.
type JournalReply struct {
	Entries  []journ.Entry
	Snapshot *journ.Snapshot
}

// ExchangeArgs gives an entry another one's digest, which is empty to ask for all records.
type ExchangeArgs struct{ Digest []uint64 }

// ExchangeReply holds the records in the buckets that differ and the answering entry's digest.
type ExchangeReply struct {
	Records []view.Record
	Digest  []uint64
}

// OfferArgs gives an entry records that it may lack.
type OfferArgs struct{ Records []view.Record }

// OfferReply tells how many of the records were news.
type OfferReply struct{ News int }

// Server serves net/rpc calls over mutual TLS.
type Server struct {
	rpc *rpc.Server
	ln  net.Listener
}

// NewServer returns a server for receiver's methods under name, on a listener that ServeConn gets its connections from.
func NewServer(ln net.Listener, name string, receiver any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), ln: ln}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return nil, errors.Wrapf(err, "ctrl: register %s", name)
	}
	return s, nil
}

// Serve serves connections until the listener is closed.
func (s *Server) Serve() error {
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "ctrl: accept")
		}
		go s.rpc.ServeConn(conn)
	}
}

// Client calls other processes. It keeps one connection a process and is safe for concurrent use.
type Client struct {
	tls      *tls.Config
	timeout  time.Duration
	counters *expvar.Map

	mu    sync.Mutex
	conns map[netip.AddrPort]*pooled
}

// pooled is a connection that is kept for further calls.
type pooled struct {
	rpc  *rpc.Client
	used time.Time
}

// NewClient returns a client that proves itself by conf, and counts its bytes in counters.
func NewClient(conf *tls.Config, counters *expvar.Map) *Client {
	return &Client{tls: conf, timeout: callTimeout, counters: counters, conns: make(map[netip.AddrPort]*pooled)}
}

// Call calls method of the process at addr. A connection on which a call failed isn't used again, so
// that one which has gone silent delays one call only.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(addr, conn)
		return errors.Wrapf(ctx.Err(), "ctrl: call %s at %s", method, addr)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, ok := call.Error.(rpc.ServerError); !ok {
		c.drop(addr, conn)
	}
	return errors.Wrapf(call.Error, "ctrl: call %s at %s", method, addr)
}

func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (*rpc.Client, error) {
	if conn := c.take(addr); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "ctrl: dial %s", addr)
	}
	secure := tls.Client(countedConn{Conn: raw, counters: c.counters}, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Wrapf(err, "ctrl: handshake with %s", addr)
	}
	conn := rpc.NewClient(secure)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[addr]; other != nil {
		_ = conn.Close()
		return other.rpc, nil
	}
	if len(c.conns) >= maxConns {
		c.evict()
	}
	c.conns[addr] = &pooled{rpc: conn, used: time.Now()}
	return conn, nil
}

// take returns the connection that is kept to a process, or nil.
func (c *Client) take(addr netip.AddrPort) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.conns[addr]
	if p == nil {
		return nil
	}
	p.used = time.Now()
	return p.rpc
}

// evict closes the connection that was used the longest time ago. The caller holds the lock.
func (c *Client) evict() {
	var oldest netip.AddrPort
	for addr, p := range c.conns {
		if !oldest.IsValid() || p.used.Before(c.conns[oldest].used) {
			oldest = addr
		}
	}
	_ = c.conns[oldest].rpc.Close()
	delete(c.conns, oldest)
}

func (c *Client) drop(addr netip.AddrPort, conn *rpc.Client) {
	c.mu.Lock()
	if p := c.conns[addr]; p != nil && p.rpc == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.conns {
		_ = p.rpc.Close()
		delete(c.conns, addr)
	}
}

// StatusArgs asks an entry which version of a contract is in force at it and at the agents that it hears.
type StatusArgs struct{ Name string }

// Instance is a process with the serial of a contract that is in force at it.
type Instance struct {
	Packets netip.AddrPort `json:"packets"`
	Role    string         `json:"role"`
	Domain  string         `json:"domain"`
	Serial  uint64         `json:"serial"`
}

// StatusReply lists the entry and the agents that it hears.
type StatusReply struct{ Instances []Instance }
