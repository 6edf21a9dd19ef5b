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
	batchSize = 64
	// ipOverhead is the size of the IPv4 and UDP headers in bytes.
	ipOverhead = 28
)

// Path moves datagrams between callers and agents.
type Path struct {
	opts PathOptions
	back []*mmsg.Conn
	// shares holds the shares of each worker; its entries are nil for no limit.
	shares []*Shares

	// doors holds the sockets of each port for callers; it is replaced under mu, and read without a lock.
	doors atomic.Pointer[map[uint16][]*mmsg.Conn]
	mu    sync.Mutex
	wg    sync.WaitGroup
	ctx   context.Context
}

// PathOptions are what a Path works with.
type PathOptions struct {
	Table *Table
	Keys  *fleet.AtomicKeyring
	// Bind is the IP for callers; unspecified binds all, and replies leave from the service's address.
	Bind netip.Addr
	// Packets is the address for agents.
	Packets netip.AddrPort
	// Agents are the networks that agents may be in.
	Agents []netip.Prefix
	// PathMTU is the largest IP packet, in bytes, between entries and agents.
	PathMTU int
	// Capacity is how many datagrams a second of callers are forwarded at the most; 0 for no limit.
	Capacity int
	// Workers is the number of sockets and goroutines for each direction and port.
	Workers  int
	Counters *expvar.Map
	Log      *zap.Logger
}

// NewPath returns a path that is bound to the address for agents.
func NewPath(ctx context.Context, opts PathOptions) (*Path, error) {
	p := &Path{opts: opts, ctx: ctx}
	p.doors.Store(&map[uint16][]*mmsg.Conn{})
	addr := opts.Packets
	p.shares = make([]*Shares, opts.Workers)
	for i := range opts.Workers {
		if opts.Capacity > 0 {
			p.shares[i] = NewShares(opts.Capacity / opts.Workers)
		}
		c, err := mmsg.Listen(ctx, addr, mmsg.Options{Shared: opts.Workers > 1})
		if err != nil {
			p.Close()
			return nil, err
		}
		addr = c.Addr()
		p.back = append(p.back, c)
	}
	return p, nil
}

// Packets returns the address for agents.
func (p *Path) Packets() netip.AddrPort { return p.back[0].Addr() }

// Start starts the workers for packets from agents.
func (p *Path) Start() {
	for _, c := range p.back {
		p.wg.Add(1)
		go p.runBack(c)
	}
}

// Close closes all sockets and waits for the workers.
func (p *Path) Close() {
	p.mu.Lock()
	closeAll(p.back)
	for _, list := range *p.doors.Load() {
		closeAll(list)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Open binds the ports of the services in force that are not bound yet.
func (p *Path) Open() {
	for _, s := range p.opts.Table.Services() {
		if s.Retired {
			continue
		}
		if err := p.openDoor(s.Address.Port()); err != nil {
			p.opts.Log.Error("can't bind a service's port", zap.Stringer("address", s.Address), zap.Error(err))
		}
	}
}

func (p *Path) openDoor(port uint16) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	doors := maps.Clone(*p.doors.Load())
	if doors[port] != nil || p.ctx.Err() != nil {
		return nil
	}
	opts := mmsg.Options{Shared: p.opts.Workers > 1, Local: p.opts.Bind.IsUnspecified()}
	for range p.opts.Workers {
		c, err := mmsg.Listen(p.ctx, netip.AddrPortFrom(p.opts.Bind, port), opts)
		if err != nil {
			closeAll(doors[port])
			return err
		}
		doors[port] = append(doors[port], c)
	}
	p.doors.Store(&doors)
	for i, c := range doors[port] {
		p.wg.Add(1)
		go p.runDoor(c, p.back[i], p.shares[i])
	}
	return nil
}

func closeAll(conns []*mmsg.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// doorConn returns a socket that callers of the port know.
func (p *Path) doorConn(port uint16) *mmsg.Conn {
	if list := (*p.doors.Load())[port]; len(list) > 0 {
		return list[0]
	}
	return nil
}

// counts collects a worker's counters, so that the shared ones are touched once a batch.
type counts struct {
	verdicts [verdicts]int64
	packets  int64
	refused  int64
}

// tally are the shared counters of one direction, looked up once, so that counting doesn't allocate.
type tally struct {
	verdicts [verdicts]*expvar.Int
	packets  *expvar.Int
	refused  *expvar.Int
}

func newTally(m *expvar.Map, direction string) *tally {
	t := &tally{packets: counter(m, direction+"_packets"), refused: counter(m, direction+"_send_refused")}
	for v := range t.verdicts {
		t.verdicts[v] = counter(m, Verdict(v).String())
	}
	return t
}

// counter returns the counter of m under a name, which it creates where needed.
func counter(m *expvar.Map, name string) *expvar.Int {
	m.Add(name, 0)
	return m.Get(name).(*expvar.Int)
}

// publish adds c to the shared counters and clears it.
func (c *counts) publish(t *tally) {
	for v := range c.verdicts {
		if c.verdicts[v] > 0 {
			t.verdicts[v].Add(c.verdicts[v])
		}
	}
	t.packets.Add(c.packets)
	t.refused.Add(c.refused)
	*c = counts{}
}

// runDoor moves datagrams from callers to agents.
func (p *Path) runDoor(door, back *mmsg.Conn, shares *Shares) {
	defer p.wg.Done()
	router := NewRouter(RouterOptions{
		Table: p.opts.Table, Keys: p.opts.Keys, Agents: p.opts.Agents, MaxSize: p.opts.PathMTU - ipOverhead - wrap.Size,
		Shares: shares,
	})
	batch := mmsg.NewBatch(batchSize, wrap.Size)
	shared := newTally(p.opts.Counters, "caller")
	var counts counts
	for {
		n, err := door.Read(batch)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.opts.Counters.Add("door_read_failed", 1)
			continue
		}
		now := time.Now()
		for i := range n {
			p.forward(router, &batch.Messages[i], door, now, &counts)
		}
		refused, _ := back.Write(batch, n)
		counts.packets += int64(n)
		counts.refused += int64(refused)
		counts.publish(shared)
	}
}

// forward turns a caller's datagram into an envelope for its agent, or drops it.
func (p *Path) forward(router *Router, m *mmsg.Message, door *mmsg.Conn, now time.Time, counts *counts) {
	local := door.Addr()
	if m.Local.IsValid() {
		local = netip.AddrPortFrom(m.Local, local.Port())
	}
	route := router.Route(m.Buf[m.Start:m.End], local, now)
	counts.verdicts[route.Verdict]++
	if route.Verdict > ForwardNew {
		m.Drop()
		return
	}
	header := wrap.Header{
		Kind:    wrap.Forward,
		Service: route.Service.Number,
		Serial:  route.Service.Serial,
		Caller:  m.Peer,
		Entry:   p.Packets(),
	}
	m.Start -= wrap.Size
	wrap.Seal(p.opts.Keys.Load(), header, m.Buf[m.Start:m.End])
	m.Peer = route.Agent
	m.Local = netip.Addr{}
}

// runBack moves datagrams from agents to callers.
func (p *Path) runBack(back *mmsg.Conn) {
	defer p.wg.Done()
	batch := mmsg.NewBatch(batchSize, 0)
	shared := newTally(p.opts.Counters, "agent")
	var counts counts
	for {
		n, err := back.Read(batch)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.opts.Counters.Add("back_read_failed", 1)
			continue
		}
		p.replyAll(batch, n, &counts)
		counts.packets += int64(n)
		counts.publish(shared)
	}
}

// replyAll sends a batch's datagrams to their callers, in runs that leave by the same port.
func (p *Path) replyAll(batch *mmsg.Batch, n int, counts *counts) {
	var door *mmsg.Conn
	var port uint16
	pending := 0
	for i := range n {
		m := &batch.Messages[i]
		service := p.unwrap(m)
		if service == nil {
			m.Drop()
			continue
		}
		if pending > 0 && service.Address.Port() != port {
			counts.refused += p.sendRun(door, batch, i)
		}
		if service.Address.Port() != port || door == nil {
			port = service.Address.Port()
			door = p.doorConn(port)
		}
		pending++
	}
	if pending > 0 {
		counts.refused += p.sendRun(door, batch, n)
	}
}

// sendRun writes the messages before n that are not sent yet.
func (p *Path) sendRun(door *mmsg.Conn, batch *mmsg.Batch, n int) int64 {
	if door == nil {
		for i := range n {
			batch.Messages[i].Drop()
		}
		return 0
	}
	refused, _ := door.Write(batch, n)
	return int64(refused)
}

// unwrap takes the envelope off an agent's datagram and returns its service, or nil when it must be dropped.
// An empty datagram only shows that the agent lives; it leaves an empty message.
func (p *Path) unwrap(m *mmsg.Message) *Service {
	ring := p.opts.Keys.Load()
	if ring == nil {
		p.opts.Counters.Add("reply_no_keys", 1)
		return nil
	}
	header, err := wrap.Open(ring, m.Buf[m.Start:m.End])
	if err != nil || header.Kind != wrap.Reply {
		p.opts.Counters.Add("reply_rejected", 1)
		return nil
	}
	service := p.opts.Table.ByNumber(header.Service)
	if service == nil {
		p.opts.Counters.Add("reply_no_service", 1)
		return nil
	}
	service.answered(m.Peer)
	m.Start += wrap.Size
	m.Peer = header.Caller
	m.Local = netip.Addr{}
	if p.opts.Bind.IsUnspecified() {
		m.Local = service.Address.Addr()
	}
	return service
}

// answered notes that an agent of the service sent something.
func (s *Service) answered(agent netip.AddrPort) {
	for i := range s.members {
		if s.members[i].Agent == agent {
			s.evidence[i].answered()
			return
		}
	}
}
