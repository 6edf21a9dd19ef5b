// Package wrap is the authenticated envelope in which datagrams travel between entries and agents.
//
// The envelope stands in front of the datagram, so that a reader that left Size bytes free in its
// buffer can add it without a copy. Its MAC covers the envelope and the datagram.
package wrap

import (
	"encoding/binary"
	"net/netip"

	"github.com/minio/highwayhash"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

const (
	// Size is the size of an envelope in bytes.
	Size = macOffset + macSize

	version       = 0xB1
	kindOffset    = 1
	keyOffset     = 2
	serviceOffset = 4
	serialOffset  = 8
	callerOffset  = 16
	entryOffset   = 34
	macOffset     = 52
	macSize       = 8
)

// Kind tells what an envelope is for.
type Kind uint8

// The kinds of envelope.
const (
	// Forward carries a caller's datagram from an entry to an agent.
	Forward Kind = 1
	// Pass carries a caller's datagram from the agent that got it to the one that takes the flow.
	Pass Kind = 2
	// Reply carries an agent's datagram through an entry to the caller.
	Reply Kind = 3
)

// Errors that Open returns.
var (
	ErrTruncated  = errors.New("wrap: datagram is shorter than an envelope")
	ErrVersion    = errors.New("wrap: unknown envelope version")
	ErrUnknownKey = errors.New("wrap: key number is not in the ring")
	ErrMAC        = errors.New("wrap: envelope is not authentic")
)

// Header is the content of an envelope.
type Header struct {
	Kind Kind
	// Service is the number of the service whose address the caller uses.
	Service uint32
	// Serial is the serial of the service's contract that the sender knows.
	Serial uint64
	Caller netip.AddrPort
	// Entry is the address at the entry that replies go to.
	Entry netip.AddrPort
}

// Seal writes the envelope for the datagram that stands at buf[Size:] to the start of buf.
func Seal(ring *fleet.Keyring, h Header, buf []byte) {
	buf[0] = version
	buf[kindOffset] = byte(h.Kind)
	buf[keyOffset] = ring.Current()
	buf[keyOffset+1] = 0
	binary.BigEndian.PutUint32(buf[serviceOffset:], h.Service)
	binary.BigEndian.PutUint64(buf[serialOffset:], h.Serial)
	putAddrPort(buf[callerOffset:], h.Caller)
	putAddrPort(buf[entryOffset:], h.Entry)
	mac := sum(ring.EnvelopeKey(ring.Current()), buf)
	binary.BigEndian.PutUint64(buf[macOffset:], mac)
}

// Open checks the envelope at the start of buf and returns it; the datagram stands at buf[Size:].
// It clears the MAC in buf. It returns one of the package's errors for what is not authentic.
func Open(ring *fleet.Keyring, buf []byte) (Header, error) {
	if len(buf) < Size {
		return Header{}, ErrTruncated
	}
	if buf[0] != version {
		return Header{}, ErrVersion
	}
	key := ring.EnvelopeKey(buf[keyOffset])
	if key == nil {
		return Header{}, ErrUnknownKey
	}
	mac := binary.BigEndian.Uint64(buf[macOffset:])
	if sum(key, buf) != mac {
		return Header{}, ErrMAC
	}
	return Header{
		Kind:    Kind(buf[kindOffset]),
		Service: binary.BigEndian.Uint32(buf[serviceOffset:]),
		Serial:  binary.BigEndian.Uint64(buf[serialOffset:]),
		Caller:  addrPort(buf[callerOffset:]),
		Entry:   addrPort(buf[entryOffset:]),
	}, nil
}

// sum returns the MAC over buf with its MAC field cleared.
func sum(key, buf []byte) uint64 {
	binary.BigEndian.PutUint64(buf[macOffset:], 0)
	return highwayhash.Sum64(buf, key)
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}
