//go:build linux

// Package mmsg reads and writes UDP datagrams in batches (recvmmsg and sendmmsg) without allocating.
package mmsg

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// MaxDatagramSize is the largest datagram, in bytes, that a batch holds besides its headroom.
	MaxDatagramSize = 2048

	controlSize = 64
	socketBytes = 4 << 20
)

// Message is one datagram of a batch.
type Message struct {
	// Buf is the message's whole buffer; the datagram is Buf[Start:End].
	Buf        []byte
	Start, End int
	// Peer is the sender of a datagram that was read, the receiver of one to be written.
	Peer netip.AddrPort
	// Local is the address that the datagram came to or leaves from; the zero value leaves it to the system.
	Local netip.Addr
}

// Drop marks the message as empty, so that Write passes over it.
func (m *Message) Drop() { m.End = m.Start }

// Empty reports whether Write passes over the message.
func (m *Message) Empty() bool { return m.End <= m.Start }

// header is struct mmsghdr of Linux.
type header struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// slot is the system's view of one message.
type slot struct {
	name    unix.RawSockaddrInet6
	iov     unix.Iovec
	control [controlSize]byte
}

// Batch is a set of messages with the memory that the system calls need.
// It belongs to one goroutine.
type Batch struct {
	Messages []Message

	headroom int
	headers  []header
	slots    []slot

	// The fields below carry arguments and results of calls, so that their closures don't allocate.
	first, count int
	done         int
	errno        syscall.Errno
	readCall     func(fd uintptr) bool
	writeCall    func(fd uintptr) bool
}

// NewBatch returns a batch of size messages that are read behind headroom free bytes.
func NewBatch(size, headroom int) *Batch {
	b := &Batch{
		Messages: make([]Message, size),
		headroom: headroom,
		headers:  make([]header, size),
		slots:    make([]slot, size),
	}
	for i := range b.Messages {
		b.Messages[i].Buf = make([]byte, headroom+MaxDatagramSize)
	}
	b.readCall = b.recvmmsg
	b.writeCall = b.sendmmsg
	return b
}

// Conn is a UDP socket. Its batch calls are safe for concurrent use with distinct batches.
type Conn struct {
	udp  *net.UDPConn
	raw  syscall.RawConn
	addr netip.AddrPort
	v6   bool
}

// Options are the options of a socket.
type Options struct {
	// ReusePort lets several sockets bind the address (SO_REUSEPORT); the system spreads flows over them.
	ReusePort bool
	// PacketInfo makes reads tell the address that a datagram came to (IP_PKTINFO, IPv4 only).
	PacketInfo bool
}

// Listen binds a UDP socket to addr.
func Listen(ctx context.Context, addr netip.AddrPort, opts Options) (*Conn, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		if err := raw.Control(func(fd uintptr) { setErr = setOptions(int(fd), opts) }); err != nil {
			return err
		}
		return setErr
	}}
	pc, err := lc.ListenPacket(ctx, network(addr.Addr()), addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "mmsg: listen on %s", addr)
	}
	udp := pc.(*net.UDPConn)
	raw, err := udp.SyscallConn()
	if err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "mmsg: get raw socket")
	}
	bound := udp.LocalAddr().(*net.UDPAddr).AddrPort()
	bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	return &Conn{udp: udp, raw: raw, addr: bound, v6: !addr.Addr().Is4()}, nil
}

func network(ip netip.Addr) string {
	if ip.Is4() {
		return "udp4"
	}
	return "udp6"
}

func setOptions(fd int, opts Options) error {
	if opts.ReusePort {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			return errors.Wrap(err, "mmsg: set SO_REUSEPORT")
		}
	}
	if opts.PacketInfo {
		if err := unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1); err != nil {
			return errors.Wrap(err, "mmsg: set IP_PKTINFO")
		}
	}
	// The system caps the sizes at its own maximum; a smaller buffer is not an error.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBytes)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBytes)
	return nil
}

// Addr returns the address that the socket is bound to.
func (c *Conn) Addr() netip.AddrPort { return c.addr }

// SetReadDeadline bounds the time that a read waits; the zero time means no bound.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// Close closes the socket; calls that wait on it return net.ErrClosed.
func (c *Conn) Close() error { return c.udp.Close() }

// Read waits for at least one datagram and reads as many as are there into b.Messages.
// It returns their number.
func (c *Conn) Read(b *Batch) (int, error) {
	for i := range b.headers {
		b.prepareRead(i)
	}
	b.count = len(b.headers)
	if err := c.raw.Read(b.readCall); err != nil {
		return 0, err
	}
	if b.errno != 0 {
		return 0, errors.Wrap(b.errno, "mmsg: recvmmsg")
	}
	for i := range b.done {
		b.finishRead(i)
	}
	return b.done, nil
}

// Write writes the messages of b.Messages[:n] that are not empty, and empties them.
// It returns the number of datagrams that the system refused, which are lost.
func (c *Conn) Write(b *Batch, n int) (refused int, err error) {
	b.first, b.count = 0, 0
	for i := range b.Messages[:n] {
		m := &b.Messages[i]
		if m.Empty() {
			continue
		}
		b.prepareWrite(b.count, m, c.v6)
		b.count++
		m.Drop()
	}
	for b.first < b.count {
		if err := c.raw.Write(b.writeCall); err != nil {
			return refused, err
		}
		if b.errno != 0 {
			b.done = 1 // The system reports an error for the first datagram only; pass over it.
			refused++
		}
		b.first += b.done
	}
	return refused, nil
}

// WriteTo writes one datagram to peer.
func (c *Conn) WriteTo(datagram []byte, peer netip.AddrPort) error {
	_, err := c.udp.WriteToUDPAddrPort(datagram, peer)
	return err
}

func (b *Batch) recvmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&b.headers[0])),
		uintptr(b.count), unix.MSG_DONTWAIT, 0, 0)
	return b.result(n, errno)
}

func (b *Batch) sendmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&b.headers[b.first])),
		uintptr(b.count-b.first), unix.MSG_DONTWAIT, 0, 0)
	return b.result(n, errno)
}

// result stores the outcome of a call and reports whether it need not wait for the socket.
func (b *Batch) result(n uintptr, errno syscall.Errno) bool {
	if errno == unix.EAGAIN || errno == unix.EINTR {
		return false
	}
	b.errno = errno
	b.done = 0
	if errno == 0 {
		b.done = int(n)
	}
	return true
}

func (b *Batch) prepareRead(i int) {
	s, m := &b.slots[i], &b.Messages[i]
	s.iov.Base = &m.Buf[b.headroom]
	s.iov.SetLen(len(m.Buf) - b.headroom)
	h := &b.headers[i].hdr
	h.Name = (*byte)(unsafe.Pointer(&s.name))
	h.Namelen = unix.SizeofSockaddrInet6
	h.Iov = &s.iov
	h.SetIovlen(1)
	h.Control = &s.control[0]
	h.SetControllen(controlSize)
}

func (b *Batch) finishRead(i int) {
	m := &b.Messages[i]
	m.Start = b.headroom
	m.End = b.headroom + int(b.headers[i].len)
	m.Peer = decodeName(&b.slots[i].name)
	m.Local = localAddr(b.slots[i].control[:b.headers[i].hdr.Controllen])
}

func (b *Batch) prepareWrite(i int, m *Message, v6 bool) {
	s := &b.slots[i]
	s.iov.Base = &m.Buf[m.Start]
	s.iov.SetLen(m.End - m.Start)
	h := &b.headers[i].hdr
	h.Name = (*byte)(unsafe.Pointer(&s.name))
	h.Namelen = encodeName(&s.name, m.Peer, v6)
	h.Iov = &s.iov
	h.SetIovlen(1)
	h.Control = nil
	h.SetControllen(0)
	if m.Local.Is4() && !v6 {
		h.Control = &s.control[0]
		h.SetControllen(putLocalAddr(s.control[:], m.Local))
	}
}

func decodeName(name *unix.RawSockaddrInet6) netip.AddrPort {
	if name.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), networkOrder(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), networkOrder(name.Port))
}

func encodeName(name *unix.RawSockaddrInet6, peer netip.AddrPort, v6 bool) uint32 {
	if !v6 {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		v4.Family = unix.AF_INET
		v4.Port = networkOrder(peer.Port())
		if peer.Addr().Is4() {
			v4.Addr = peer.Addr().As4()
		}
		return unix.SizeofSockaddrInet4
	}
	name.Family = unix.AF_INET6
	name.Port = networkOrder(peer.Port())
	name.Addr = peer.Addr().As16()
	return unix.SizeofSockaddrInet6
}

// networkOrder converts a port between the host's byte order, which is little-endian, and the network's.
func networkOrder(port uint16) uint16 { return port<<8 | port>>8 }

// localAddr returns the address in an IP_PKTINFO control message, or the zero address.
func localAddr(control []byte) netip.Addr {
	if len(control) < unix.SizeofCmsghdr+unix.SizeofInet4Pktinfo {
		return netip.Addr{}
	}
	h := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	if h.Level != unix.IPPROTO_IP || h.Type != unix.IP_PKTINFO {
		return netip.Addr{}
	}
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&control[unix.SizeofCmsghdr]))
	return netip.AddrFrom4(info.Addr)
}

// putLocalAddr writes an IP_PKTINFO control message and returns its length.
func putLocalAddr(control []byte, local netip.Addr) int {
	h := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	h.Level = unix.IPPROTO_IP
	h.Type = unix.IP_PKTINFO
	h.SetLen(unix.CmsgLen(unix.SizeofInet4Pktinfo))
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&control[unix.SizeofCmsghdr]))
	*info = unix.Inet4Pktinfo{Spec_dst: local.As4()}
	return unix.CmsgSpace(unix.SizeofInet4Pktinfo)
}
