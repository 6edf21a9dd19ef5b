package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// link is what a proxy does to the bytes of its connections.
type link struct {
	// delay holds each piece up.
	delay time.Duration
	// mute stops the bytes of one direction or both, without closing anything.
	muteUp, muteDown bool
	// refuse closes new connections at once.
	refuse bool
}

// proxy is a TCP proxy on loopback that harms the connections through it.
type proxy struct {
	ln     net.Listener
	target netip.AddrPort

	mu    sync.Mutex
	state link
	conns map[net.Conn]struct{}
}

func newProxy(listen, target netip.AddrPort) (*proxy, error) {
	ln, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) set(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = l
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Closing then resets.
		}
		_ = c.Close()
	}
}

func (p *proxy) get() link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if p.get().refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	up, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(up, c, func(l link) bool { return l.muteUp }) })
	wg.Go(func() { p.copy(c, up, func(l link) bool { return l.muteDown }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes bytes on until either end closes; muted bytes are swallowed.
func (p *proxy) copy(to, from net.Conn, muted func(link) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l := p.get()
		time.Sleep(l.delay)
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
