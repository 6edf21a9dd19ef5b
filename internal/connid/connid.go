// Package connid encodes the service and the agent of a flow in QUIC connection IDs.
//
// A connection ID consists of the number of a packet key and one AES block, encrypted with that key. The block holds the
// service number, the agent's IPv4 address and port, the agent's incarnation and a counter. Any entry that has the key can
// route a flow by its connection ID alone, without a table of flows.
package connid

import (
	"crypto/aes"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

const (
	// Len is the length of a connection ID in bytes.
	Len = 1 + aes.BlockSize
	// MaxService is the largest service number that a connection ID can hold.
	MaxService = 1<<24 - 1
	// incarnationMask selects the part of an incarnation that a connection ID holds.
	incarnationMask = 1<<24 - 1
)

// Errors that Decode returns.
var (
	ErrConnIDLength = errors.New("connid: connection ID is not 17 bytes long")
	ErrUnknownKey   = errors.New("connid: key number is not in the keyring")
)

// Location identifies the service and the agent of a flow.
type Location struct {
	Service uint32
	Agent   netip.AddrPort
	// Incarnation is the agent's incarnation as returned by TruncateIncarnation.
	Incarnation uint32
}

// TruncateIncarnation returns the low 24 bits of an agent's incarnation, which is the part that a connection ID holds.
func TruncateIncarnation(incarnation uint64) uint32 { return uint32(incarnation) & incarnationMask }

// Encode returns a connection ID for a flow at location, encrypted with the keyring's current key. Connection IDs of one
// location differ by the counter. It returns an error if the agent's address isn't IPv4 or the service number is too large.
func Encode(keyring *fleet.Keyring, location Location, counter uint32) (quic.ConnectionID, error) {
	if !location.Agent.Addr().Is4() {
		return quic.ConnectionID{}, errors.Errorf("connid: agent address %s is not IPv4", location.Agent)
	}
	if location.Service > MaxService {
		return quic.ConnectionID{}, errors.Errorf("connid: service number %d is above %d", location.Service, MaxService)
	}
	var id [Len]byte
	id[0] = keyring.Current()
	block := id[1:]
	putUint24(block[0:], location.Service)
	ip := location.Agent.Addr().As4()
	copy(block[3:], ip[:])
	binary.BigEndian.PutUint16(block[7:], location.Agent.Port())
	putUint24(block[9:], location.Incarnation)
	binary.BigEndian.PutUint32(block[12:], counter)
	keyring.ConnIDCipher(keyring.Current()).Encrypt(block, block)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// Decoder decodes connection IDs without allocating. It isn't safe for concurrent use.
type Decoder struct{ block [aes.BlockSize]byte }

// Decode returns the location in id. Connection IDs aren't authenticated, so a forged one decodes to an arbitrary location:
// the caller must check that its service is the one to which the packet was sent. Decode returns ErrConnIDLength or
// ErrUnknownKey if id can't have been generated with a key of the keyring.
func (d *Decoder) Decode(keyring *fleet.Keyring, id []byte) (Location, error) {
	if len(id) != Len {
		return Location{}, ErrConnIDLength
	}
	cipher := keyring.ConnIDCipher(id[0])
	if cipher == nil {
		return Location{}, ErrUnknownKey
	}
	block := d.block[:]
	cipher.Decrypt(block, id[1:])
	agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte(block[3:7])), binary.BigEndian.Uint16(block[7:]))
	return Location{Service: uint24(block[0:]), Agent: agent, Incarnation: uint24(block[9:])}, nil
}

// Generator generates the connection IDs of one agent's flows. It is safe for concurrent use.
type Generator struct {
	keys     *fleet.AtomicKeyring
	location func() Location
	counter  atomic.Uint32
}

// NewGenerator returns a generator for flows at the location that the function returns. It uses the current keyring.
func NewGenerator(keys *fleet.AtomicKeyring, location func() Location) *Generator {
	return &Generator{keys: keys, location: location}
}

// GenerateConnectionID returns a connection ID that this generator hasn't returned before. It returns an error while there
// are no packet keys.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	keyring := g.keys.Load()
	if keyring == nil {
		return quic.ConnectionID{}, errors.New("connid: no packet keys yet")
	}
	return Encode(keyring, g.location(), g.counter.Add(1))
}

// ConnectionIDLen returns the length of the generated connection IDs in bytes.
func (*Generator) ConnectionIDLen() int { return Len }

// putUint24 writes the low 24 bits of value to b in big-endian order.
func putUint24(b []byte, value uint32) {
	b[0], b[1], b[2] = byte(value>>16), byte(value>>8), byte(value)
}

// uint24 reads a 24-bit big-endian integer.
func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}
