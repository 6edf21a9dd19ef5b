// Package connid encodes where a flow lives into QUIC connection IDs.
//
// A connection ID is one key number followed by one AES block that holds the service, the agent's
// IPv4 address and port, the agent's incarnation and a counter. Any entry that holds the key can
// route a flow by its connection ID, without a table.
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
	ErrLength     = errors.New("connid: connection ID has another length")
	ErrUnknownKey = errors.New("connid: key number is not in the ring")
)

// Home is where a flow lives.
type Home struct {
	Service uint32
	Agent   netip.AddrPort
	// Incarnation is the agent's incarnation, cut to 24 bits by Cut.
	Incarnation uint32
}

// Cut returns the part of an agent's incarnation that a connection ID holds.
func Cut(incarnation uint64) uint32 { return uint32(incarnation) & incarnationMask }

// Encode returns the connection ID of a flow at home under the ring's current key.
// It returns an error when the agent's address is not IPv4 or the service number is too large.
func Encode(ring *fleet.Keyring, home Home, counter uint32) (quic.ConnectionID, error) {
	if !home.Agent.Addr().Is4() {
		return quic.ConnectionID{}, errors.Errorf("connid: agent address %s is not IPv4", home.Agent)
	}
	if home.Service > MaxService {
		return quic.ConnectionID{}, errors.Errorf("connid: service number %d is above %d", home.Service, MaxService)
	}
	var b [Len]byte
	b[0] = ring.Current()
	block := b[1:]
	putUint24(block[0:], home.Service)
	ip := home.Agent.Addr().As4()
	copy(block[3:], ip[:])
	binary.BigEndian.PutUint16(block[7:], home.Agent.Port())
	putUint24(block[9:], home.Incarnation)
	binary.BigEndian.PutUint32(block[12:], counter)
	ring.ConnIDCipher(ring.Current()).Encrypt(block, block)
	return quic.ConnectionIDFromBytes(b[:]), nil
}

// Decoder decodes connection IDs without allocating. It is not safe for concurrent use.
type Decoder struct{ block [aes.BlockSize]byte }

// Decode returns the home in id. It can't tell a made-up ID from a real one: the caller must
// compare the service with the one that the packet came in for.
// It returns ErrLength or ErrUnknownKey when id can't be one of ours.
func (d *Decoder) Decode(ring *fleet.Keyring, id []byte) (Home, error) {
	if len(id) != Len {
		return Home{}, ErrLength
	}
	cipher := ring.ConnIDCipher(id[0])
	if cipher == nil {
		return Home{}, ErrUnknownKey
	}
	block := d.block[:]
	cipher.Decrypt(block, id[1:])
	agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte(block[3:7])), binary.BigEndian.Uint16(block[7:]))
	return Home{Service: uint24(block[0:]), Agent: agent, Incarnation: uint24(block[9:])}, nil
}

// Generator makes the connection IDs of one agent's flows. It is safe for concurrent use.
type Generator struct {
	ring    *fleet.AtomicKeyring
	home    func() Home
	counter atomic.Uint32
}

// NewGenerator returns a generator for flows at home under the ring that keys holds.
func NewGenerator(keys *fleet.AtomicKeyring, home func() Home) *Generator {
	return &Generator{ring: keys, home: home}
}

// GenerateConnectionID returns a connection ID that this generator has not returned before.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	ring := g.ring.Load()
	if ring == nil {
		return quic.ConnectionID{}, errors.New("connid: no packet keys yet")
	}
	return Encode(ring, g.home(), g.counter.Add(1))
}

// ConnectionIDLen returns Len.
func (*Generator) ConnectionIDLen() int { return Len }

func putUint24(b []byte, v uint32) {
	b[0], b[1], b[2] = byte(v>>16), byte(v>>8), byte(v)
}

func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}
