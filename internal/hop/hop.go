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

// HeaderSize is the size of the head, in bytes.
const HeaderSize = 32

// MaxPacketSize is the largest packet, in bytes, that is carried: a head of 36 and 1,200 of payload, with room.
const MaxPacketSize = 1400

const formatVersion = 1

// Kind tells what the receiver shall do with the packet.
type Kind uint8

// The kinds of datagram.
const (
	// Open delivers the first packet of a flow, or passes it on.
	Open Kind = iota + 1
	// Forward delivers a packet of a flow that the receiver is believed to hold.
	Forward
	// Probe delivers a packet of a flow that the receiver's backend server may hold.
	Probe
	// Return gives a packet back to the entry: the receiver doesn't hold its flow.
	Return
	// Query asks an agent whether it holds a flow, which is named by its key in place of a packet.
	Query
	// QueryReply answers an Ask by a verdict.
	QueryReply
	// Claim tells an entry that the sender holds a flow.
	Claim
	// ListFlows asks an agent for the keys of all flows that its server holds.
	ListFlows
	// ListReply answers a List by a Part and keys in place of a packet; an answer may have several parts.
	ListReply
)

// Exhaustive is a flag of a Listed, in the place of Hops: the server holds no flows but those listed.
const Exhaustive = 1

// MaxKeysPerReply is how many keys fit into a Listed.
const MaxKeysPerReply = 98

// partSize is the size of an encoded Part, in bytes.
const partSize = 12

// ListPart names a datagram of a List or a Listed: the question, which the answer repeats, and which of how many parts of
// the answer it is.
type ListPart struct {
	RequestID    uint64
	Index, Total uint16
}

// Append appends the encoded part: question (8), index (2) and total (2), big-endian.
func (p ListPart) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, p.RequestID)
	b = binary.BigEndian.AppendUint16(b, p.Index)
	return binary.BigEndian.AppendUint16(b, p.Total)
}

// ParseListPart reads the part at the beginning of the body of a List or Listed, and returns the keys behind it.
func ParseListPart(body []byte) (p ListPart, keys []flow.Key, err error) {
	if len(body) < partSize {
		return ListPart{}, nil, ErrTruncated
	}
	p = ListPart{
		RequestID: binary.BigEndian.Uint64(body), Index: binary.BigEndian.Uint16(body[8:]), Total: binary.BigEndian.Uint16(body[10:]),
	}
	return p, ParseKeys(body[partSize:]), nil
}

// Header precedes a packet between processes.
type Header struct {
	Kind Kind
	// Hops counts how often an opening packet was passed on.
	Hops uint8
	// Version is the version of the sender's configuration.
	Version uint64
	// Service is the number of the service that the flow belongs to.
	Service uint64
	// Verdict is the answer to an Ask.
	Verdict seek.Verdict
	// Fallback is the agent that an opening packet is passed on to; it is not valid when there is none.
	Fallback netip.AddrPort
	// Entry is the entry that an opening packet came through.
	Entry netip.AddrPort
}

// Errors that Parse returns.
var (
	ErrTruncated = errors.New("hop: datagram is too short")
	ErrVersion   = errors.New("hop: unknown format version")
	ErrKind      = errors.New("hop: unknown kind")
)

// Encode writes the head into the first Size bytes of b.
func (h *Header) Encode(b []byte) {
	b[0], b[1], b[2], b[3] = formatVersion, byte(h.Kind), h.Hops, byte(h.Verdict)
	binary.BigEndian.PutUint64(b[4:], h.Version)
	binary.BigEndian.PutUint64(b[12:], h.Service)
	putAddress(b[20:26], h.Fallback)
	putAddress(b[26:HeaderSize], h.Entry)
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
func Parse(b []byte) (Header, []byte, error) {
	if len(b) < HeaderSize {
		return Header{}, nil, ErrTruncated
	}
	if b[0] != formatVersion {
		return Header{}, nil, ErrVersion
	}
	h := Header{
		Kind:    Kind(b[1]),
		Hops:    b[2],
		Version: binary.BigEndian.Uint64(b[4:]),
		Service: binary.BigEndian.Uint64(b[12:]),
	}
	if h.Kind < Open || h.Kind > ListReply {
		return Header{}, nil, ErrKind
	}
	h.Verdict = seek.Verdict(b[3])
	h.Fallback = address(b[20:26])
	h.Entry = address(b[26:HeaderSize])
	return h, b[HeaderSize:], nil
}

// AppendWithKey appends a datagram that holds a flow's key in place of a packet.
func (h *Header) AppendWithKey(b []byte, k flow.Key) []byte {
	start := len(b)
	b = append(b, make([]byte, HeaderSize)...)
	h.Encode(b[start:])
	return k.Append(b)
}

// ParseKey reads the flow's key of an Ask, Answer or Claim.
func ParseKey(body []byte) (k flow.Key, ok bool) {
	if len(body) != flow.KeySize {
		return flow.Key{}, false
	}
	return flow.DecodeKey([flow.KeySize]byte(body)), true
}

// ParseKeys reads keys that stand one behind the other.
func ParseKeys(body []byte) []flow.Key {
	out := make([]flow.Key, 0, len(body)/flow.KeySize)
	for len(body) >= flow.KeySize {
		out = append(out, flow.DecodeKey([flow.KeySize]byte(body[:flow.KeySize])))
		body = body[flow.KeySize:]
	}
	return out
}
