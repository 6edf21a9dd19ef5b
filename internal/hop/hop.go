// Package hop is the format of datagrams that carry packets of opaque flows between processes.
//
// The head is 32 bytes, big-endian: format version (1), kind (1), hops (1), verdict (1), configuration
// version (8), service number (8), second choice's IPv4 address (4) and port (2), entry's IPv4 address (4) and
// port (2).
// The packet follows unchanged.
package hop

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Size is the size of the head, in bytes.
const Size = 32

// MaxPacket is the largest packet, in bytes, that is carried: a head of 36 and 1,200 of payload, with room.
const MaxPacket = 1400

const formatVersion = 1

// Kind tells what the receiver shall do with the packet.
type Kind uint8

// The kinds of datagram.
const (
	// Open delivers the first packet of a flow, or passes it on.
	Open Kind = iota + 1
	// Carry delivers a packet of a flow that the receiver is believed to hold.
	Carry
	// Probe delivers a packet of a flow that the receiver's backend server may hold.
	Probe
	// Return gives a packet back to the entry: the receiver doesn't hold its flow.
	Return
	// Ask asks an agent whether it holds a flow, which is named by its key in place of a packet.
	Ask
	// Answer answers an Ask by a verdict.
	Answer
	// Claim tells an entry that the sender holds a flow.
	Claim
	// List asks an agent for the keys of all flows that its server holds.
	List
	// Listed answers a List by a Part and keys in place of a packet; an answer may have several parts.
	Listed
)

// Whole is a flag of a Listed, in the place of Hops: the server holds no flows but those listed.
const Whole = 1

// ListMost is how many keys fit into a Listed.
const ListMost = 98

// partSize is the size of an encoded Part, in bytes.
const partSize = 12

// Part names a datagram of a List or a Listed: the question, which the answer repeats, and which of how many parts of
// the answer it is.
type Part struct {
	Question     uint64
	Index, Total uint16
}

// Append appends the encoded part: question (8), index (2) and total (2), big-endian.
func (p Part) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, p.Question)
	b = binary.BigEndian.AppendUint16(b, p.Index)
	return binary.BigEndian.AppendUint16(b, p.Total)
}

// ParsePart reads the part at the beginning of the body of a List or Listed, and returns the keys behind it.
func ParsePart(body []byte) (p Part, keys []flow.Key, err error) {
	if len(body) < partSize {
		return Part{}, nil, ErrTruncated
	}
	p = Part{
		Question: binary.BigEndian.Uint64(body), Index: binary.BigEndian.Uint16(body[8:]), Total: binary.BigEndian.Uint16(body[10:]),
	}
	return p, Keys(body[partSize:]), nil
}

// Head precedes a packet between processes.
type Head struct {
	Kind Kind
	// Hops counts how often an opening packet was passed on.
	Hops uint8
	// Version is the version of the sender's configuration.
	Version uint64
	// Service is the number of the service that the flow belongs to.
	Service uint64
	// Verdict is the answer to an Ask.
	Verdict seek.Verdict
	// Second is the agent that an opening packet is passed on to; it is not valid when there is none.
	Second netip.AddrPort
	// Entry is the entry that an opening packet came through.
	Entry netip.AddrPort
}

// Errors that Parse returns.
var (
	ErrTruncated = errors.New("hop: datagram is too short")
	ErrVersion   = errors.New("hop: unknown format version")
	ErrKind      = errors.New("hop: unknown kind")
)

// Put writes the head into the first Size bytes of b.
func (h *Head) Put(b []byte) {
	b[0], b[1], b[2], b[3] = formatVersion, byte(h.Kind), h.Hops, byte(h.Verdict)
	binary.BigEndian.PutUint64(b[4:], h.Version)
	binary.BigEndian.PutUint64(b[12:], h.Service)
	putAddress(b[20:26], h.Second)
	putAddress(b[26:Size], h.Entry)
}

// putAddress writes an IPv4 address and port into 6 bytes; zeros when it is not valid.
func putAddress(b []byte, a netip.AddrPort) {
	clear(b)
	if a.IsValid() {
		ip := a.Addr().As4()
		copy(b, ip[:])
		binary.BigEndian.PutUint16(b[4:], a.Port())
	}
}

func address(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), port)
}

// Parse reads the head of a datagram and returns the packet behind it, which shares b's memory.
func Parse(b []byte) (Head, []byte, error) {
	if len(b) < Size {
		return Head{}, nil, ErrTruncated
	}
	if b[0] != formatVersion {
		return Head{}, nil, ErrVersion
	}
	h := Head{
		Kind:    Kind(b[1]),
		Hops:    b[2],
		Version: binary.BigEndian.Uint64(b[4:]),
		Service: binary.BigEndian.Uint64(b[12:]),
	}
	if h.Kind < Open || h.Kind > Listed {
		return Head{}, nil, ErrKind
	}
	h.Verdict = seek.Verdict(b[3])
	h.Second = address(b[20:26])
	h.Entry = address(b[26:Size])
	return h, b[Size:], nil
}

// PutKey appends a datagram that holds a flow's key in place of a packet.
func (h *Head) PutKey(b []byte, k flow.Key) []byte {
	start := len(b)
	b = append(b, make([]byte, Size)...)
	h.Put(b[start:])
	return k.Append(b)
}

// Key reads the flow's key of an Ask, Answer or Claim.
func Key(body []byte) (k flow.Key, ok bool) {
	if len(body) != flow.KeySize {
		return flow.Key{}, false
	}
	return flow.KeyFrom([flow.KeySize]byte(body)), true
}

// Keys reads keys that stand one behind the other.
func Keys(body []byte) []flow.Key {
	out := make([]flow.Key, 0, len(body)/flow.KeySize)
	for len(body) >= flow.KeySize {
		out = append(out, flow.KeyFrom([flow.KeySize]byte(body[:flow.KeySize])))
		body = body[flow.KeySize:]
	}
	return out
}
