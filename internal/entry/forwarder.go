package entry

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/mmsg"
	"github.com/bergamotrun/bergamotrun/internal/wrap"
)

const (
	// batchSize is the maximum number of datagrams read by one system call.
	batchSize = 64
	// ipUDPOverhead is the size of the IPv4 and UDP headers in bytes.
	ipUDPOverhead = 28
)

// Forwarder forwards datagrams between callers and agents.
type Forwarder struct {
	opts ForwarderOptions
	// agentConns are the sockets for agents, one per worker.
	agentConns []*mmsg.Conn
	// limiters holds one limiter per worker; all are nil if there is no limit.
	limiters []*MemberLimiter

	// callerConns holds the sockets for callers by port. The map is replaced under mu and read without a lock.
	callerConns atomic.Pointer[map[uint16][]*mmsg.Conn]
	mu          sync.Mutex
	wg          sync.WaitGroup
	ctx         context.Context
}

// ForwarderOptions configure a Forwarder.
type ForwarderOptions struct {
	Table *Table
	Keys  *fleet.AtomicKeyring
	// Bind is the IP address of the sockets for callers. If it is unspecified, they are bound to all addresses and replies
	// are sent from the service's address.
	Bind netip.Addr
	// Packets is the address of the sockets for agents.
	Packets netip.AddrPort
	// AgentNetworks are the networks in which agents may be.
	AgentNetworks []netip.Prefix
	// PathMTU is the largest IP packet, in bytes, between entries and agents.
	PathMTU int
	// Capacity is the maximum number of callers' datagrams forwarded per second; 0 means no limit.
	Capacity int
	// Workers is the number of sockets and goroutines per direction and port.
	Workers  int
	Counters *expvar.Map
	Log      *zap.Logger
}

// NewForwarder returns a forwarder whose sockets for agents are bound.
func NewForwarder(ctx context.Context, opts ForwarderOptions) (*Forwarder, error) {
	f := &Forwarder{opts: opts, ctx: ctx}
	f.callerConns.Store(&map[uint16][]*mmsg.Conn{})
	addr := opts.Packets
	f.limiters = make([]*MemberLimiter, opts.Workers)
	for i := range opts.Workers {
		if opts.Capacity > 0 {
			f.limiters[i] = NewMemberLimiter(opts.Capacity / opts.Workers)
		}
		c, err := mmsg.Listen(ctx, addr, mmsg.Options{ReusePort: opts.Workers > 1})
		if err != nil {
			f.Close()
			return nil, err
		}
		addr = c.Addr()
		f.agentConns = append(f.agentConns, c)
	}
	return f, nil
}

// Packets returns the address of the sockets for agents.
func (f *Forwarder) Packets() netip.AddrPort { return f.agentConns[0].Addr() }

// Start starts the workers for datagrams from agents.
func (f *Forwarder) Start() {
	for _, c := range f.agentConns {
		f.wg.Add(1)
		go f.forwardReplies(c)
	}
}

// Close closes all sockets and waits until the workers have ended.
func (f *Forwarder) Close() {
	f.mu.Lock()
	closeAll(f.agentConns)
	for _, conns := range *f.callerConns.Load() {
		closeAll(conns)
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// ListenServices binds the ports of the services in force that aren't bound yet and starts their workers.
func (f *Forwarder) ListenServices() {
	for _, s := range f.opts.Table.Services() {
		if s.Retired {
			continue
		}
		if err := f.listenPort(s.Address.Port()); err != nil {
			f.opts.Log.Error("can't bind a service's port", zap.Stringer("address", s.Address), zap.Error(err))
		}
	}
}

func (f *Forwarder) listenPort(port uint16) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	connsByPort := maps.Clone(*f.callerConns.Load())
	if connsByPort[port] != nil || f.ctx.Err() != nil {
		return nil
	}
	opts := mmsg.Options{ReusePort: f.opts.Workers > 1, PacketInfo: f.opts.Bind.IsUnspecified()}
	for range f.opts.Workers {
		c, err := mmsg.Listen(f.ctx, netip.AddrPortFrom(f.opts.Bind, port), opts)
		if err != nil {
			closeAll(connsByPort[port])
			return err
		}
		connsByPort[port] = append(connsByPort[port], c)
	}
	f.callerConns.Store(&connsByPort)
	for i, c := range connsByPort[port] {
		f.wg.Add(1)
		go f.forwardCallers(c, f.agentConns[i], f.limiters[i])
	}
	return nil
}

func closeAll(conns []*mmsg.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// callerConn returns a socket bound to a port for callers, or nil.
func (f *Forwarder) callerConn(port uint16) *mmsg.Conn {
	if conns := (*f.callerConns.Load())[port]; len(conns) > 0 {
		return conns[0]
	}
	return nil
}

// batchCounters accumulates the counts of one batch, so that a worker updates the shared counters once per batch.
type batchCounters struct {
	verdicts [verdictCount]int64
	packets  int64
	refused  int64
}

// counters are the shared counters of one direction. They are looked up once, so that counting doesn't allocate.
type counters struct {
	verdicts [verdictCount]*expvar.Int
	packets  *expvar.Int
	refused  *expvar.Int
}

func newCounters(m *expvar.Map, direction string) *counters {
	c := &counters{packets: counter(m, direction+"_packets"), refused: counter(m, direction+"_send_refused")}
	for v := range c.verdicts {
		c.verdicts[v] = counter(m, Verdict(v).String())
	}
	return c
}

// counter returns the counter of m with the given name, which it creates if it doesn't exist.
func counter(m *expvar.Map, name string) *expvar.Int {
	m.Add(name, 0)
	return m.Get(name).(*expvar.Int)
}

// addTo adds b to the shared counters and clears b.
func (b *batchCounters) addTo(c *counters) {
	for v := range b.verdicts {
		if b.verdicts[v] > 0 {
			c.verdicts[v].Add(b.verdicts[v])
		}
	}
	c.packets.Add(b.packets)
	c.refused.Add(b.refused)
	*b = batchCounters{}
}

// forwardCallers forwards datagrams from callers to agents until callerConn is closed.
func (f *Forwarder) forwardCallers(callerConn, agentConn *mmsg.Conn, limiter *MemberLimiter) {
	defer f.wg.Done()
	router := NewRouter(RouterOptions{
		Table: f.opts.Table, Keys: f.opts.Keys, AgentNetworks: f.opts.AgentNetworks,
		MaxSize: f.opts.PathMTU - ipUDPOverhead - wrap.HeaderSize, Limiter: limiter,
	})
	batch := mmsg.NewBatch(batchSize, wrap.HeaderSize)
	totals := newCounters(f.opts.Counters, "caller")
	var counts batchCounters
	for {
		n, err := callerConn.Read(batch)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.opts.Counters.Add("door_read_failed", 1)
			continue
		}
		now := time.Now()
		for i := range n {
			f.forward(router, &batch.Messages[i], callerConn, now, &counts)
		}
		refused, _ := agentConn.Write(batch, n)
		counts.packets += int64(n)
		counts.refused += int64(refused)
		counts.addTo(totals)
	}
}

// forward seals a caller's datagram in an envelope addressed to its agent, or drops it.
func (f *Forwarder) forward(router *Router, m *mmsg.Message, callerConn *mmsg.Conn, now time.Time, counts *batchCounters) {
	local := callerConn.Addr()
	if m.Local.IsValid() {
		local = netip.AddrPortFrom(m.Local, local.Port())
	}
	decision := router.Route(m.Buf[m.Start:m.End], local, now)
	counts.verdicts[decision.Verdict]++
	if decision.Verdict > ForwardNew {
		m.Drop()
		return
	}
	header := wrap.Header{
		Kind:           wrap.Forward,
		Service:        decision.Service.Number,
		ContractSerial: decision.Service.ContractSerial,
		Caller:         m.Peer,
		Entry:          f.Packets(),
	}
	m.Start -= wrap.HeaderSize
	wrap.Seal(f.opts.Keys.Load(), header, m.Buf[m.Start:m.End])
	m.Peer = decision.Agent
	m.Local = netip.Addr{}
}

// forwardReplies forwards datagrams from agents to callers until agentConn is closed.
func (f *Forwarder) forwardReplies(agentConn *mmsg.Conn) {
	defer f.wg.Done()
	batch := mmsg.NewBatch(batchSize, 0)
	totals := newCounters(f.opts.Counters, "agent")
	var counts batchCounters
	for {
		n, err := agentConn.Read(batch)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.opts.Counters.Add("back_read_failed", 1)
			continue
		}
		f.sendReplies(batch, n, &counts)
		counts.packets += int64(n)
		counts.addTo(totals)
	}
}

// sendReplies sends the datagrams of a batch to their callers. Consecutive datagrams from the same port are sent together.
func (f *Forwarder) sendReplies(batch *mmsg.Batch, n int, counts *batchCounters) {
	var callerConn *mmsg.Conn
	var port uint16
	pending := 0
	for i := range n {
		m := &batch.Messages[i]
		service := f.openReply(m)
		if service == nil {
			m.Drop()
			continue
		}
		if pending > 0 && service.Address.Port() != port {
			counts.refused += f.flush(callerConn, batch, i)
		}
		if service.Address.Port() != port || callerConn == nil {
			port = service.Address.Port()
			callerConn = f.callerConn(port)
		}
		pending++
	}
	if pending > 0 {
		counts.refused += f.flush(callerConn, batch, n)
	}
}

// flush sends the messages of batch.Messages[:n] that haven't been sent, and returns how many the system refused. It drops
// them if callerConn is nil.
func (f *Forwarder) flush(callerConn *mmsg.Conn, batch *mmsg.Batch, n int) int64 {
	if callerConn == nil {
		for i := range n {
			batch.Messages[i].Drop()
		}
		return 0
	}
	refused, _ := callerConn.Write(batch, n)
	return int64(refused)
}

// openReply removes the envelope of an agent's datagram and returns its service, or nil if it must be dropped. An envelope
// without a datagram only shows that the agent is running; the message is then empty and isn't sent.
func (f *Forwarder) openReply(m *mmsg.Message) *Service {
	ring := f.opts.Keys.Load()
	if ring == nil {
		f.opts.Counters.Add("reply_no_keys", 1)
		return nil
	}
	header, err := wrap.Open(ring, m.Buf[m.Start:m.End])
	if err != nil || header.Kind != wrap.Reply {
		f.opts.Counters.Add("reply_rejected", 1)
		return nil
	}
	service := f.opts.Table.ByNumber(header.Service)
	if service == nil {
		f.opts.Counters.Add("reply_no_service", 1)
		return nil
	}
	service.recordResponse(m.Peer)
	m.Start += wrap.HeaderSize
	m.Peer = header.Caller
	m.Local = netip.Addr{}
	if f.opts.Bind.IsUnspecified() {
		m.Local = service.Address.Addr()
	}
	return service
}

// recordResponse records that an agent of the service sent a datagram.
func (s *Service) recordResponse(agent netip.AddrPort) {
	for i := range s.candidates {
		if s.candidates[i].Agent == agent {
			s.trackers[i].recordResponse()
			return
		}
	}
}
