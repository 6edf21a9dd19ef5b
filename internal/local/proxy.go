package local

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link is what a proxy does to the bytes of its connections.
type Link struct {
	// Delay holds each piece up.
	Delay time.Duration
	// DropUp and DropDown stop the bytes of a direction, without closing anything.
	DropUp, DropDown bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy is a TCP proxy on loopback that can harm the connections through it. It is safe for concurrent use.
type Proxy struct {
	ln     net.Listener
	target netip.AddrPort

	mu    sync.Mutex
	state Link
	conns map[net.Conn]struct{}
}

func newProxy(listen, target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// SetLink says what happens to the bytes from now on.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = l
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Closing then resets.
		}
		_ = c.Close()
	}
}

func (p *Proxy) get() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
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
		if p.get().Refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	up, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(up, c, func(l Link) bool { return l.DropUp }) })
	wg.Go(func() { p.copy(c, up, func(l Link) bool { return l.DropDown }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes bytes on until either end closes; muted bytes are swallowed.
func (p *Proxy) copy(to, from net.Conn, muted func(Link) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l := p.get()
		time.Sleep(l.Delay)
		if n > 0 && !muted(l) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
