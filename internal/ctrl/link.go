package ctrl

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Handler handles the messages of one kind; from is the source address of the datagram.
type Handler func(from netip.AddrPort, body []byte)

// TypedHandler returns a Handler that decodes the body and calls f. It drops messages that can't be decoded.
func TypedHandler[T any](f func(from netip.AddrPort, msg T)) Handler {
	return func(from netip.AddrPort, body []byte) {
		msg, err := Decode[T](body)
		if err != nil {
			return
		}
		f(from, msg)
	}
}

// Link sends and receives the control datagrams of a process. Send and Broadcast are safe for concurrent use.
type Link struct {
	codec    *Codec
	conn     *net.UDPConn
	addr     netip.AddrPort
	handlers map[Kind]Handler
	counters *expvar.Map
}

// maxBindAttempts limits how often Listen tries to find a port that is free for both TCP and UDP.
const maxBindAttempts = 16

// Listen binds a control address for TLS connections and datagrams and counts their traffic in counters.
// With port 0 it chooses a port that is free for both, which Link.Addr returns.
func Listen(ctx context.Context, addr netip.AddrPort, tlsConfig *tls.Config, codec *Codec, counters *expvar.Map) (net.Listener, *Link, error) {
	var err error
	for range maxBindAttempts {
		var ln net.Listener
		var link *Link
		ln, link, err = listenAttempt(ctx, addr, tlsConfig, codec, counters)
		if err == nil {
			return ln, link, nil
		}
		if addr.Port() != 0 {
			break
		}
	}
	return nil, nil, err
}

// listenAttempt binds addr for TCP, and the same port for UDP.
func listenAttempt(ctx context.Context, addr netip.AddrPort, tlsConfig *tls.Config, codec *Codec, counters *expvar.Map) (net.Listener, *Link, error) {
	var listenConfig net.ListenConfig
	ln, err := listenConfig.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "ctrl: listen on TCP address %s", addr)
	}
	boundAddr := ln.Addr().(*net.TCPAddr).AddrPort()
	boundAddr = netip.AddrPortFrom(boundAddr.Addr().Unmap(), boundAddr.Port())
	packetConn, err := listenConfig.ListenPacket(ctx, "udp", boundAddr.String())
	if err != nil {
		_ = ln.Close()
		return nil, nil, errors.Wrapf(err, "ctrl: listen on UDP address %s", boundAddr)
	}
	link := &Link{codec: codec, conn: packetConn.(*net.UDPConn), addr: boundAddr, handlers: make(map[Kind]Handler), counters: counters}
	return tls.NewListener(countedListener{Listener: ln, counters: counters}, tlsConfig), link, nil
}

// Addr returns the bound control address.
func (l *Link) Addr() netip.AddrPort { return l.addr }

// SetHandler sets the handler for a kind of message. It must be called before Serve.
func (l *Link) SetHandler(kind Kind, h Handler) { l.handlers[kind] = h }

// Close closes the socket, which makes Serve return.
func (l *Link) Close() error { return l.conn.Close() }

// Serve receives datagrams until the link is closed. It calls the handlers sequentially in its own goroutine.
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

// dispatch authenticates a datagram and calls the handler for its kind.
func (l *Link) dispatch(from netip.AddrPort, datagram []byte) {
	kind, body, err := l.codec.Verify(datagram)
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

// Send sends msg to the control address of a process. It counts errors, so that callers can ignore them:
// datagrams may be lost anyway.
func Send[T any](l *Link, to netip.AddrPort, kind Kind, msg T) error {
	datagram, err := Encode(l.codec, kind, msg)
	if err != nil {
		l.counters.Add("encode_failed", 1)
		return err
	}
	if _, err := l.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		l.counters.Add("send_failed", 1)
		return errors.Wrapf(err, "ctrl: send to %s", to)
	}
	l.counters.Add("messages_out", 1)
	l.counters.Add("bytes_out", int64(len(datagram)))
	return nil
}
