// Package encap encodes the datagrams between entries and agents, which encapsulate the packets of opaque flows.
//
// The header has 32 bytes, big-endian: format version (1), kind (1), hops (1), verdict (1), configuration version (8),
// service ID (8), IPv4 address (4) and port (2) of the fallback agent, IPv4 address (4) and port (2) of the entry.
// The packet follows unchanged.
package encap

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// HeaderSize is the size of the header, in bytes.
const HeaderSize = 32

// MaxPacketSize is the maximum size of an encapsulated packet, in bytes. The platform's packets have a 36-byte header and
// up to 1,200 bytes of payload; the rest is margin.
const MaxPacketSize = 1400

const formatVersion = 1

// Kind determines what the receiver does with a datagram.
type Kind uint8

// The kinds of datagrams. Their numbers are part of the format.
const (
	// Open carries the SYN of a flow, which the receiver delivers or passes on to the fallback agent.
	Open Kind = iota + 1
	// Forward carries a packet of a flow that the receiver holds according to the sender.
	Forward
	// Probe carries a packet of a flow that the receiver's backend server may hold.
	Probe
	// Return sends a packet back to the entry, since the agent doesn't hold its flow.
	Return
	// Query asks an agent whether it holds a flow. A key replaces the packet.
	Query
	// QueryReply replies to a Query with a verdict and the key.
	QueryReply
	// Claim informs an entry that the sender holds the flow of a key.
	Claim
	// ListFlows requests the keys of all flows that the agent's backend server holds. A ListPart replaces the packet.
	ListFlows
	// ListReply replies to a ListFlows. A ListPart, keys and the reply's ID replace the packet; a reply may have several parts.
	ListReply
)

// Flags in the Hops field of a ListReply; a QueryReply may have Certain.
const (
	// Exhaustive means that the backend server holds no flows other than those listed.
	Exhaustive = 1 << iota
	// Certain means that the agent denies flows by what it has seen of its server, as its start or end, and not only since its own start is longer
	// ago than flows may be idle.
	Certain
)

// MaxKeysPerReply is the maximum number of keys in a ListReply, which then has 1,228 bytes.
const MaxKeysPerReply = 98

const (
	// listPartSize is the size of an encoded ListPart, in bytes.
	listPartSize = 12
	// replyIDSize is the size of an encoded ReplyID, in bytes. It is less than flow.KeySize, so that ParseKeys ignores it.
	replyIDSize = 8
)

// ListPart identifies a ListFlows or ListReply datagram: the ID of the request, which the reply repeats, and for a reply
// the index of the part and the total number of parts.
type ListPart struct {
	RequestID    uint64
	Index, Total uint16
}

// ReplyID distinguishes the replies to one ListFlows datagram that arrived twice. It follows the keys of each part. Agents of
// earlier releases send none, which reads as 0.
type ReplyID uint64

// Append appends the encoded ID, big-endian.
func (id ReplyID) Append(b []byte) []byte { return binary.BigEndian.AppendUint64(b, uint64(id)) }

// ParseReplyID returns the ID at the end of a ListReply's body, or 0 if there is none.
func ParseReplyID(body []byte) ReplyID {
	if len(body) < listPartSize+replyIDSize || (len(body)-listPartSize)%flow.KeySize != replyIDSize {
		return 0
	}
	return ReplyID(binary.BigEndian.Uint64(body[len(body)-replyIDSize:]))
}

// Append appends the encoded part: request ID (8), index (2) and total (2), big-endian.
func (p ListPart) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, p.RequestID)
	b = binary.BigEndian.AppendUint16(b, p.Index)
	return binary.BigEndian.AppendUint16(b, p.Total)
}

// ParseListPart decodes the body of a ListFlows or ListReply: the part and the keys that follow it.
func ParseListPart(body []byte) (p ListPart, keys []flow.Key, err error) {
	if len(body) < listPartSize {
		return ListPart{}, nil, ErrTruncated
	}
	p = ListPart{
		RequestID: binary.BigEndian.Uint64(body), Index: binary.BigEndian.Uint16(body[8:]), Total: binary.BigEndian.Uint16(body[10:]),
	}
	return p, ParseKeys(body[listPartSize:]), nil
}

// Header precedes the packet, key or list in each datagram.
type Header struct {
	Kind Kind
	// Hops counts how often a SYN was passed on to another agent. In a ListReply or QueryReply it holds flags, see Exhaustive.
	Hops uint8
	// Version is the sender's configuration version. In a Query it is the ID of the search, which the QueryReply repeats; replies of agents of
	// earlier releases have 0.
	Version uint64
	// Service is the ID of the flow's service, see route.ServiceID.
	Service uint64
	// Verdict is the verdict of a QueryReply, or of all flows in a ListReply. In a Return it is that on a flow with the key of the
	// packet, which is of another flow.
	Verdict seek.Verdict
	// Fallback is the agent that a SYN may be passed on to. The zero AddrPort means none.
	Fallback netip.AddrPort
	// Entry is the address of the entry that the packet came through.
	Entry netip.AddrPort
}

// Errors returned by Parse. ParseListPart also returns ErrTruncated.
var (
	ErrTruncated = errors.New("encap: datagram is too short")
	ErrVersion   = errors.New("encap: unknown format version")
	ErrKind      = errors.New("encap: unknown kind")
)

// Encode writes the header into the first HeaderSize bytes of b.
func (h *Header) Encode(b []byte) {
	b[0], b[1], b[2], b[3] = formatVersion, byte(h.Kind), h.Hops, byte(h.Verdict)
	binary.BigEndian.PutUint64(b[4:], h.Version)
	binary.BigEndian.PutUint64(b[12:], h.Service)
	putAddress(b[20:26], h.Fallback)
	putAddress(b[26:HeaderSize], h.Entry)
}

// putAddress writes an IPv4 address and port into 6 bytes. An invalid AddrPort is written as zeros.
func putAddress(b []byte, addr netip.AddrPort) {
	clear(b)
	if addr.IsValid() {
		ip := addr.Addr().As4()
		copy(b, ip[:])
		binary.BigEndian.PutUint16(b[4:], addr.Port())
	}
}

// parseAddress reads an IPv4 address and port from 6 bytes. Port 0 gives the zero AddrPort.
func parseAddress(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), port)
}

// Parse decodes the header of a datagram and returns the rest of it, which shares b's memory.
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
	h.Fallback = parseAddress(b[20:26])
	h.Entry = parseAddress(b[26:HeaderSize])
	return h, b[HeaderSize:], nil
}

// AppendWithKey appends a Query, QueryReply or Claim to b: the header and the key of a flow.
func (h *Header) AppendWithKey(b []byte, k flow.Key) []byte {
	start := len(b)
	b = append(b, make([]byte, HeaderSize)...)
	h.Encode(b[start:])
	return k.Append(b)
}

// ParseKey decodes the body of a Query, QueryReply or Claim.
func ParseKey(body []byte) (k flow.Key, ok bool) {
	if len(body) != flow.KeySize {
		return flow.Key{}, false
	}
	return flow.DecodeKey([flow.KeySize]byte(body)), true
}

// ParseKeys decodes consecutive keys. It ignores an incomplete key at the end.
func ParseKeys(body []byte) []flow.Key {
	keys := make([]flow.Key, 0, len(body)/flow.KeySize)
	for len(body) >= flow.KeySize {
		keys = append(keys, flow.DecodeKey([flow.KeySize]byte(body[:flow.KeySize])))
		body = body[flow.KeySize:]
	}
	return keys
}
