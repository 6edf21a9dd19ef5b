// Package flow identifies opaque flows, whose packets are forwarded without terminating them, and provides flow tables.
//
// A flow is identified by the addresses and ports of its two ends. The package does no I/O and reads no clock: the current
// time is passed in.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow. It is comparable and small, for use in large tables.
type Key struct {
	client, service [4]byte
	clientPort      uint16
	servicePort     uint16
}

// NewKey returns the key of the flow between a client and a service address, both IPv4.
func NewKey(client, service netip.AddrPort) Key {
	return Key{
		client: client.Addr().As4(), clientPort: client.Port(),
		service: service.Addr().As4(), servicePort: service.Port(),
	}
}

// Client returns the address and port of the client.
func (k Key) Client() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.client), k.clientPort)
}

// Service returns the address and port of the service.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.service), k.servicePort)
}

// String formats the key for logs, as client>service.
func (k Key) String() string { return k.Client().String() + ">" + k.Service().String() }

// KeySize is the size of an encoded key, in bytes.
const KeySize = 12

// Append appends the encoded key: client address and port, service address and port, big-endian.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.client[:]...)
	b = binary.BigEndian.AppendUint16(b, k.clientPort)
	b = append(b, k.service[:]...)
	return binary.BigEndian.AppendUint16(b, k.servicePort)
}

// Bytes returns the encoded key.
func (k Key) Bytes() [KeySize]byte { return [KeySize]byte(k.Append(make([]byte, 0, KeySize))) }

// DecodeKey decodes a key that Append encoded.
func DecodeKey(b [KeySize]byte) Key {
	return Key{
		client: [4]byte(b[0:4]), clientPort: binary.BigEndian.Uint16(b[4:]),
		service: [4]byte(b[6:10]), servicePort: binary.BigEndian.Uint16(b[10:]),
	}
}

// Hash returns a hash of the key. All processes compute the same value.
func (k Key) Hash() uint64 {
	b := k.Bytes()
	return xxhash.Sum64(b[:])
}

// Header holds the fields of an opaque packet that entries and agents need.
type Header struct {
	Src, Dst netip.AddrPort
	// Syn opens a flow, Fin closes one direction, Rst ends the flow.
	Syn, Ack, Fin, Rst bool
	// Bounced marks a client's packet that the backend server sent back because it doesn't hold the flow or can't accept it.
	Bounced bool
	Seq     uint32
	// AckNumber acknowledges bytes of the peer. In a Syn without Ack it is the number of earlier transmissions.
	AckNumber uint32
	// Len is the payload size in bytes.
	Len int
}

// Opens reports whether the packet requests a new flow: a SYN without ACK.
func (h *Header) Opens() bool { return h.Syn && !h.Ack }

// KeyFromClient returns the flow key of a packet sent by the client.
func (h *Header) KeyFromClient() Key { return NewKey(h.Src, h.Dst) }

// KeyFromServer returns the flow key of a packet sent by the backend server.
func (h *Header) KeyFromServer() Key { return NewKey(h.Dst, h.Src) }
