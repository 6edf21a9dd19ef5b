// Package wrap implements the authenticated envelope of datagrams between entries and agents.
//
// An envelope is a header in front of the datagram: a process that reads a datagram behind HeaderSize bytes of headroom can
// add it without copying. The MAC in the header covers the header and the datagram.
package wrap

import (
	"encoding/binary"
	"net/netip"

	"github.com/minio/highwayhash"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

const (
	// HeaderSize is the size of the header in bytes.
	HeaderSize = macOffset + macSize

	envelopeVersion      = 0xB1
	kindOffset           = 1
	keyNumberOffset      = 2
	serviceOffset        = 4
	contractSerialOffset = 8
	callerOffset         = 16
	entryOffset          = 34
	macOffset            = 52
	macSize              = 8
)

// Kind is the purpose of an envelope.
type Kind uint8

// The kinds of envelope.
const (
	// Forward carries a caller's datagram from an entry to an agent.
	Forward Kind = 1
	// Redirect carries a caller's datagram from the agent that received it to the one that accepts the flow.
	Redirect Kind = 2
	// Reply carries an agent's datagram to an entry, which forwards it to the caller.
	Reply Kind = 3
)

// Errors that Open returns.
var (
	ErrTruncated  = errors.New("wrap: datagram is shorter than the header of an envelope")
	ErrVersion    = errors.New("wrap: unknown envelope version")
	ErrUnknownKey = errors.New("wrap: key number is not in the ring")
	ErrMAC        = errors.New("wrap: envelope is not authentic")
)

// Header is the content of an envelope's header.
type Header struct {
	Kind Kind
	// Service is the number of the service with which the caller communicates.
	Service uint32
	// ContractSerial is the serial of the newest version of the service's contract that the sender has.
	ContractSerial uint64
	Caller         netip.AddrPort
	// Entry is the entry's address to which agents send replies.
	Entry netip.AddrPort
}

// Seal writes the header for the datagram in buf[HeaderSize:] to the start of buf.
func Seal(ring *fleet.Keyring, h Header, buf []byte) {
	buf[0] = envelopeVersion
	buf[kindOffset] = byte(h.Kind)
	buf[keyNumberOffset] = ring.Current()
	buf[keyNumberOffset+1] = 0
	binary.BigEndian.PutUint32(buf[serviceOffset:], h.Service)
	binary.BigEndian.PutUint64(buf[contractSerialOffset:], h.ContractSerial)
	putAddrPort(buf[callerOffset:], h.Caller)
	putAddrPort(buf[entryOffset:], h.Entry)
	mac := computeMAC(ring.EnvelopeKey(ring.Current()), buf)
	binary.BigEndian.PutUint64(buf[macOffset:], mac)
}

// Open verifies the envelope in buf and returns its header; the datagram is in buf[HeaderSize:]. It clears the MAC in buf.
// It returns one of the package's errors if the envelope is malformed or not authentic.
func Open(ring *fleet.Keyring, buf []byte) (Header, error) {
	if len(buf) < HeaderSize {
		return Header{}, ErrTruncated
	}
	if buf[0] != envelopeVersion {
		return Header{}, ErrVersion
	}
	key := ring.EnvelopeKey(buf[keyNumberOffset])
	if key == nil {
		return Header{}, ErrUnknownKey
	}
	mac := binary.BigEndian.Uint64(buf[macOffset:])
	if computeMAC(key, buf) != mac {
		return Header{}, ErrMAC
	}
	return Header{
		Kind:           Kind(buf[kindOffset]),
		Service:        binary.BigEndian.Uint32(buf[serviceOffset:]),
		ContractSerial: binary.BigEndian.Uint64(buf[contractSerialOffset:]),
		Caller:         readAddrPort(buf[callerOffset:]),
		Entry:          readAddrPort(buf[entryOffset:]),
	}, nil
}

// computeMAC clears the MAC field of buf and returns the MAC over all of buf.
func computeMAC(key, buf []byte) uint64 {
	binary.BigEndian.PutUint64(buf[macOffset:], 0)
	return highwayhash.Sum64(buf, key)
}

// putAddrPort writes an address as 16 bytes, with IPv4 mapped to IPv6, and the port as 2 bytes.
func putAddrPort(b []byte, address netip.AddrPort) {
	ip := address.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], address.Port())
}

func readAddrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}
