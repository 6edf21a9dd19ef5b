//go:build linux

// Package mmsg reads and writes UDP datagrams in batches, with the system calls recvmmsg and sendmmsg, without allocating.
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
	// MaxDatagramSize is the size, in bytes, of the largest datagram that a message's buffer holds besides its headroom. Longer
	// ones are truncated when they are read.
	MaxDatagramSize = 2048

	// controlBufferSize is the size, in bytes, of the buffer for a message's control data (IP_PKTINFO).
	controlBufferSize = 64
	// socketBufferSize is the size, in bytes, requested for the send and receive buffers of a socket.
	socketBufferSize = 4 << 20
)

// Message is one datagram of a batch.
type Message struct {
	// Buf is the message's buffer, including headroom; the datagram is Buf[Start:End].
	Buf        []byte
	Start, End int
	// Peer is the sender of a datagram that was read, or the receiver of one to be written.
	Peer netip.AddrPort
	// Local is the address to which the datagram was sent if Options.PacketInfo is set, or the source address of a datagram to
	// be written. If it is zero, the system chooses the source address.
	Local netip.Addr
}

// Drop marks the message as empty, so that Write skips it.
func (m *Message) Drop() { m.End = m.Start }

// Empty reports whether the message is empty, so that Write skips it.
func (m *Message) Empty() bool { return m.End <= m.Start }

// messageHeader has the layout of struct mmsghdr on 64-bit Linux.
type messageHeader struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// messageBuffers holds the memory of one message to which its header points.
type messageBuffers struct {
	address unix.RawSockaddrInet6
	iov     unix.Iovec
	control [controlBufferSize]byte
}

// Batch is a set of messages with the memory needed by the system calls. It isn't safe for concurrent use.
type Batch struct {
	Messages []Message

	headroom int
	headers  []messageHeader
	buffers  []messageBuffers

	// The fields below hold arguments and results of the system calls. recvFunc and sendFunc are stored because creating a
	// closure or method value for each call would allocate.
	firstUnsent, count int
	processed          int
	errno              syscall.Errno
	recvFunc           func(fd uintptr) bool
	sendFunc           func(fd uintptr) bool
}

// NewBatch returns a batch of size messages. Read stores datagrams behind headroom free bytes, in which a header can be
// added.
func NewBatch(size, headroom int) *Batch {
	b := &Batch{
		Messages: make([]Message, size),
		headroom: headroom,
		headers:  make([]messageHeader, size),
		buffers:  make([]messageBuffers, size),
	}
	for i := range b.Messages {
		b.Messages[i].Buf = make([]byte, headroom+MaxDatagramSize)
	}
	b.recvFunc = b.recvmmsg
	b.sendFunc = b.sendmmsg
	return b
}

// Conn is a UDP socket. It is safe for concurrent use if each goroutine uses its own batch.
type Conn struct {
	udp  *net.UDPConn
	raw  syscall.RawConn
	addr netip.AddrPort
	ipv6 bool
}

// Options are the options of a socket.
type Options struct {
	// ReusePort allows several sockets to bind the same address (SO_REUSEPORT). The system distributes datagrams among them
	// by source and destination.
	ReusePort bool
	// PacketInfo makes Read set Message.Local (IP_PKTINFO, IPv4 only).
	PacketInfo bool
}

// Listen binds a UDP socket to addr.
func Listen(ctx context.Context, addr netip.AddrPort, opts Options) (*Conn, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		if err := raw.Control(func(fd uintptr) { optErr = setOptions(int(fd), opts) }); err != nil {
			return err
		}
		return optErr
	}}
	packetConn, err := lc.ListenPacket(ctx, network(addr.Addr()), addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "mmsg: listen on %s", addr)
	}
	udp := packetConn.(*net.UDPConn)
	raw, err := udp.SyscallConn()
	if err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "mmsg: get raw socket")
	}
	bound := udp.LocalAddr().(*net.UDPAddr).AddrPort()
	bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	return &Conn{udp: udp, raw: raw, addr: bound, ipv6: !addr.Addr().Is4()}, nil
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
	// Errors are ignored because the system limits the sizes to its own maximum, and a smaller buffer isn't an error.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferSize)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferSize)
	return nil
}

// Addr returns the address that the socket is bound to.
func (c *Conn) Addr() netip.AddrPort { return c.addr }

// SetReadDeadline sets the time at which reads fail with a timeout; the zero time means never.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// Close closes the socket. Blocked reads and writes return net.ErrClosed.
func (c *Conn) Close() error { return c.udp.Close() }

// Read waits for at least one datagram and reads those that are available into b.Messages. It returns their number.
func (c *Conn) Read(b *Batch) (int, error) {
	for i := range b.headers {
		b.prepareRead(i)
	}
	b.count = len(b.headers)
	if err := c.raw.Read(b.recvFunc); err != nil {
		return 0, err
	}
	if b.errno != 0 {
		return 0, errors.Wrap(b.errno, "mmsg: recvmmsg")
	}
	for i := range b.processed {
		b.finishRead(i)
	}
	return b.processed, nil
}

// Write writes the messages of b.Messages[:n] that aren't empty and marks them as empty. It returns the number of datagrams
// that the system refused to send; they are lost.
func (c *Conn) Write(b *Batch, n int) (refused int, err error) {
	b.firstUnsent, b.count = 0, 0
	for i := range b.Messages[:n] {
		m := &b.Messages[i]
		if m.Empty() {
			continue
		}
		b.prepareWrite(b.count, m, c.ipv6)
		b.count++
		m.Drop()
	}
	for b.firstUnsent < b.count {
		if err := c.raw.Write(b.sendFunc); err != nil {
			return refused, err
		}
		if b.errno != 0 {
			b.processed = 1 // sendmmsg reports an error only for the first datagram; skip it and continue.
			refused++
		}
		b.firstUnsent += b.processed
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
	return b.storeResult(n, errno)
}

func (b *Batch) sendmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&b.headers[b.firstUnsent])),
		uintptr(b.count-b.firstUnsent), unix.MSG_DONTWAIT, 0, 0)
	return b.storeResult(n, errno)
}

// storeResult stores the result of a system call. It returns false if the call must be repeated when the socket is ready.
func (b *Batch) storeResult(n uintptr, errno syscall.Errno) bool {
	if errno == unix.EAGAIN || errno == unix.EINTR {
		return false
	}
	b.errno = errno
	b.processed = 0
	if errno == 0 {
		b.processed = int(n)
	}
	return true
}

// prepareRead points the header of message i to its buffers.
func (b *Batch) prepareRead(i int) {
	buf, m := &b.buffers[i], &b.Messages[i]
	buf.iov.Base = &m.Buf[b.headroom]
	buf.iov.SetLen(len(m.Buf) - b.headroom)
	header := &b.headers[i].hdr
	header.Name = (*byte)(unsafe.Pointer(&buf.address))
	header.Namelen = unix.SizeofSockaddrInet6
	header.Iov = &buf.iov
	header.SetIovlen(1)
	header.Control = &buf.control[0]
	header.SetControllen(controlBufferSize)
}

// finishRead sets message i from its header and buffers.
func (b *Batch) finishRead(i int) {
	m := &b.Messages[i]
	m.Start = b.headroom
	m.End = b.headroom + int(b.headers[i].len)
	m.Peer = readSockaddr(&b.buffers[i].address)
	m.Local = readLocalAddr(b.buffers[i].control[:b.headers[i].hdr.Controllen])
}

// prepareWrite points header i to the datagram and the addresses of m.
func (b *Batch) prepareWrite(i int, m *Message, ipv6 bool) {
	buf := &b.buffers[i]
	buf.iov.Base = &m.Buf[m.Start]
	buf.iov.SetLen(m.End - m.Start)
	header := &b.headers[i].hdr
	header.Name = (*byte)(unsafe.Pointer(&buf.address))
	header.Namelen = writeSockaddr(&buf.address, m.Peer, ipv6)
	header.Iov = &buf.iov
	header.SetIovlen(1)
	header.Control = nil
	header.SetControllen(0)
	if m.Local.Is4() && !ipv6 {
		header.Control = &buf.control[0]
		header.SetControllen(writeLocalAddr(buf.control[:], m.Local))
	}
}

func readSockaddr(sockaddr *unix.RawSockaddrInet6) netip.AddrPort {
	if sockaddr.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sockaddr))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), swapBytes(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr).Unmap(), swapBytes(sockaddr.Port))
}

// writeSockaddr writes the address of peer for a socket of the given family and returns its length.
func writeSockaddr(sockaddr *unix.RawSockaddrInet6, peer netip.AddrPort, ipv6 bool) uint32 {
	if !ipv6 {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sockaddr))
		v4.Family = unix.AF_INET
		v4.Port = swapBytes(peer.Port())
		if peer.Addr().Is4() {
			v4.Addr = peer.Addr().As4()
		}
		return unix.SizeofSockaddrInet4
	}
	sockaddr.Family = unix.AF_INET6
	sockaddr.Port = swapBytes(peer.Port())
	sockaddr.Addr = peer.Addr().As16()
	return unix.SizeofSockaddrInet6
}

// swapBytes converts a port between network byte order and host byte order, which is assumed to be little-endian.
func swapBytes(port uint16) uint16 { return port<<8 | port>>8 }

// readLocalAddr returns the address in an IP_PKTINFO control message, or the zero address.
func readLocalAddr(control []byte) netip.Addr {
	if len(control) < unix.SizeofCmsghdr+unix.SizeofInet4Pktinfo {
		return netip.Addr{}
	}
	header := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	if header.Level != unix.IPPROTO_IP || header.Type != unix.IP_PKTINFO {
		return netip.Addr{}
	}
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&control[unix.SizeofCmsghdr]))
	return netip.AddrFrom4(info.Addr)
}

// writeLocalAddr writes an IP_PKTINFO control message and returns its length.
func writeLocalAddr(control []byte, local netip.Addr) int {
	header := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	header.Level = unix.IPPROTO_IP
	header.Type = unix.IP_PKTINFO
	header.SetLen(unix.CmsgLen(unix.SizeofInet4Pktinfo))
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&control[unix.SizeofCmsghdr]))
	*info = unix.Inet4Pktinfo{Spec_dst: local.As4()}
	return unix.CmsgSpace(unix.SizeofInet4Pktinfo)
}
