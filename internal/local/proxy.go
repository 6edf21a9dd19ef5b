package local

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// Link holds the faults that a proxy injects into its connections.
type Link struct {
	// Delay is how long each piece of data that was read is held before it is forwarded.
	Delay time.Duration
	// DropUp discards the bytes sent to the target, DropDown those sent by it. Connections stay open.
	DropUp, DropDown bool
	// Refuse closes new connections immediately.
	Refuse bool
}

// Proxy is a TCP proxy on loopback that injects faults into its connections. It is safe for concurrent use.
type Proxy struct {
	ln     net.Listener
	target netip.AddrPort

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]struct{}
}

func newProxy(listen, target netip.AddrPort) (*Proxy, error) {
	ln, err := fakes.Listen(func() (net.Listener, error) { return net.Listen("tcp4", listen.String()) })
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// SetLink sets the faults of open and new connections.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

// Faulty reports whether a fault is injected at present.
func (p *Proxy) Faulty() bool { return p.currentLink() != Link{} }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close send a reset.
		}
		_ = c.Close()
	}
}

func (p *Proxy) currentLink() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *Proxy) close() {
	_ = p.ln.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if p.currentLink().Refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	upstream, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(upstream, c, func(l Link) bool { return l.DropUp }) })
	wg.Go(func() { p.copy(c, upstream, func(l Link) bool { return l.DropDown }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy copies bytes from src to dst until either is closed. It discards them while dropped returns true.
func (p *Proxy) copy(dst, src net.Conn, dropped func(Link) bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		l := p.currentLink()
		time.Sleep(l.Delay)
		if n > 0 && !dropped(l) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
