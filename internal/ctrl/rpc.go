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
	// maxClientConns limits the number of connections that a Client keeps open.
	maxClientConns = 32
)

// ServiceArgs are the arguments of Entry.Service.
type ServiceArgs struct{ Service string }

// ServiceReply is the state that an agent of a service needs.
type ServiceReply struct {
	Record    contr.Record
	Found     bool
	Keys      journ.Keys
	KeySerial uint64
	Members   []view.Record
	// Gone are the records of agents of the service that have ended recently.
	Gone []view.Record
	// Hash is the hash of Members, as in Ack.MembersHash.
	Hash    uint64
	Entries []view.Record
}

// JournalArgs are the arguments of Entry.Journal; Since is the last position that the caller has.
type JournalArgs struct{ Since uint64 }

// JournalReply contains the journal entries after the position, or a snapshot if the replying entry no
// longer holds all of them.
type JournalReply struct {
	Entries  []journ.Entry
	Snapshot *journ.Snapshot
}

// ExchangeArgs are the arguments of Entry.Exchange. An empty Digest requests all records.
type ExchangeArgs struct{ Digest []uint64 }

// ExchangeReply contains the records of the buckets that differ and the digest of the replying entry.
type ExchangeReply struct {
	Records []view.Record
	Digest  []uint64
}

// OfferArgs are the arguments of Entry.Offer: records that the receiver may lack.
type OfferArgs struct{ Records []view.Record }

// OfferReply contains the number of records that changed the receiver's view.
type OfferReply struct{ News int }

// Server serves net/rpc calls of other processes, over mutual TLS if its listener comes from Listen.
type Server struct {
	rpc *rpc.Server
	ln  net.Listener
}

// NewServer returns a Server that registers receiver's methods under name and accepts connections from ln.
func NewServer(ln net.Listener, name string, receiver any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), ln: ln}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return nil, errors.Wrapf(err, "ctrl: register RPC service %q", name)
	}
	return s, nil
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve() error {
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "ctrl: accept connection")
		}
		go s.rpc.ServeConn(conn)
	}
}

// Client calls methods of other processes. It pools one connection per process and is safe for
// concurrent use.
type Client struct {
	tls      *tls.Config
	timeout  time.Duration
	counters *expvar.Map

	mu    sync.Mutex
	conns map[netip.AddrPort]*pooledConn
}

// pooledConn is an open connection and the time of its last use.
type pooledConn struct {
	rpc      *rpc.Client
	lastUsed time.Time
}

// NewClient returns a Client that authenticates with tlsConfig and counts its traffic in counters.
func NewClient(tlsConfig *tls.Config, counters *expvar.Map) *Client {
	return &Client{tls: tlsConfig, timeout: callTimeout, counters: counters, conns: make(map[netip.AddrPort]*pooledConn)}
}

// Call calls a method of the process at addr. It closes the connection if the call times out or the
// transport fails, so that a hung connection fails only the calls that already use it.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.discard(addr, conn)
		return errors.Wrapf(ctx.Err(), "ctrl: call %s at %s", method, addr)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, ok := call.Error.(rpc.ServerError); !ok {
		c.discard(addr, conn)
	}
	return errors.Wrapf(call.Error, "ctrl: call %s at %s", method, addr)
}

// connect returns the pooled connection to addr, or dials a new one. If a concurrent call has added a
// connection to addr in the meantime, it closes its own and returns that one.
func (c *Client) connect(ctx context.Context, addr netip.AddrPort) (*rpc.Client, error) {
	if conn := c.pooledConnTo(addr); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	tcpConn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "ctrl: dial %s", addr)
	}
	tlsConn := tls.Client(countedConn{Conn: tcpConn, counters: c.counters}, c.tls)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = tcpConn.Close()
		return nil, errors.Wrapf(err, "ctrl: TLS handshake with %s", addr)
	}
	conn := rpc.NewClient(tlsConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.conns[addr]; existing != nil {
		_ = conn.Close()
		return existing.rpc, nil
	}
	if len(c.conns) >= maxClientConns {
		c.evictOldest()
	}
	c.conns[addr] = &pooledConn{rpc: conn, lastUsed: time.Now()}
	return conn, nil
}

// pooledConnTo returns the pooled connection to addr and updates its time of use, or returns nil.
func (c *Client) pooledConnTo(addr netip.AddrPort) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.conns[addr]
	if p == nil {
		return nil
	}
	p.lastUsed = time.Now()
	return p.rpc
}

// evictOldest closes the least recently used connection. The caller holds c.mu.
func (c *Client) evictOldest() {
	var oldest netip.AddrPort
	for addr, p := range c.conns {
		if !oldest.IsValid() || p.lastUsed.Before(c.conns[oldest].lastUsed) {
			oldest = addr
		}
	}
	_ = c.conns[oldest].rpc.Close()
	delete(c.conns, oldest)
}

// discard closes conn and removes it from the pool if it is still there.
func (c *Client) discard(addr netip.AddrPort, conn *rpc.Client) {
	c.mu.Lock()
	if p := c.conns[addr]; p != nil && p.rpc == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all pooled connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.conns {
		_ = p.rpc.Close()
		delete(c.conns, addr)
	}
}

// StatusArgs are the arguments of Entry.Status; Name is the name of a contract.
type StatusArgs struct{ Name string }

// Instance is a process and the serial of the contract version in force there.
type Instance struct {
	Packets netip.AddrPort `json:"packets"`
	Role    string         `json:"role"`
	Domain  string         `json:"domain"`
	Serial  uint64         `json:"serial"`
}

// StatusReply lists the replying entry and the agents that send it heartbeats.
type StatusReply struct{ Instances []Instance }
