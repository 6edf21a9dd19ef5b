package ctrl

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Handler handles one kind of message; from is the sender's control address.
type Handler func(from netip.AddrPort, body []byte)

// TypedHandler returns a Handler that decodes a message before it calls f.
func TypedHandler[T any](f func(from netip.AddrPort, msg T)) Handler {
	return func(from netip.AddrPort, body []byte) {
		msg, err := Decode[T](body)
		if err != nil {
			return
		}
		f(from, msg)
	}
}

// Link sends and receives a process's control datagrams. Send is safe for concurrent use.
type Link struct {
	codec    *Codec
	conn     *net.UDPConn
	addr     netip.AddrPort
	handlers map[Kind]Handler
	counters *expvar.Map
}

// bindTries is how often Listen looks for a port that is free for TCP and UDP when it may choose one.
const bindTries = 16

// Listen binds a control address for TLS connections and for datagrams, which are counted in counters.
// With port 0 it chooses one that is free for both; the Link then tells it.
func Listen(ctx context.Context, addr netip.AddrPort, conf *tls.Config, codec *Codec, counters *expvar.Map) (net.Listener, *Link, error) {
	var err error
	for range bindTries {
		var ln net.Listener
		var link *Link
		ln, link, err = listenOnce(ctx, addr, conf, codec, counters)
		if err == nil {
			return ln, link, nil
		}
		if addr.Port() != 0 {
			break
		}
	}
	return nil, nil, err
}

func listenOnce(ctx context.Context, addr netip.AddrPort, conf *tls.Config, codec *Codec, counters *expvar.Map) (net.Listener, *Link, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "ctrl: listen on %s", addr)
	}
	bound := ln.Addr().(*net.TCPAddr).AddrPort()
	bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	pc, err := lc.ListenPacket(ctx, "udp", bound.String())
	if err != nil {
		_ = ln.Close()
		return nil, nil, errors.Wrapf(err, "ctrl: listen on %s", bound)
	}
	link := &Link{codec: codec, conn: pc.(*net.UDPConn), addr: bound, handlers: make(map[Kind]Handler), counters: counters}
	return tls.NewListener(countedListener{Listener: ln, counters: counters}, conf), link, nil
}

// Addr returns the control address that is bound.
func (l *Link) Addr() netip.AddrPort { return l.addr }

// SetHandler sets the handler for a kind of message. It must not be called after Serve.
func (l *Link) SetHandler(kind Kind, h Handler) { l.handlers[kind] = h }

// Close closes the link; Serve then returns.
func (l *Link) Close() error { return l.conn.Close() }

// Serve receives datagrams until the link is closed. Handlers run on its goroutine, one at a time.
func (l *Link) Serve() error {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.counters.Add("read_failed", 1)
			continue
		}
		l.counters.Add("bytes_in", int64(n))
		l.dispatch(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

func (l *Link) dispatch(from netip.AddrPort, b []byte) {
	kind, body, err := l.codec.Verify(b)
	if err != nil {
		l.counters.Add("rejected", 1)
		return
	}
	h := l.handlers[kind]
	if h == nil {
		l.counters.Add("unhandled", 1)
		return
	}
	l.counters.Add("messages_in", 1)
	h(from, body)
}

// Send sends msg to a process. A datagram may be lost, so that an error needs no more than counting.
func Send[T any](l *Link, to netip.AddrPort, kind Kind, msg T) error {
	b, err := Encode(l.codec, kind, msg)
	if err != nil {
		l.counters.Add("encode_failed", 1)
		return err
	}
	if _, err := l.conn.WriteToUDPAddrPort(b, to); err != nil {
		l.counters.Add("send_failed", 1)
		return errors.Wrapf(err, "ctrl: send to %s", to)
	}
	l.counters.Add("messages_out", 1)
	l.counters.Add("bytes_out", int64(len(b)))
	return nil
}
