// Package flow names flows that are carried as opaque packets, and keeps tables of them.
//
// An opaque flow is named by its four addresses and ports; its payload belongs to the two ends. The
// package is pure: times come in as arguments.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key names a flow. It is comparable, and compact enough for large tables.
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

// Client returns the client's end.
func (k Key) Client() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.client), k.clientPort)
}

// Service returns the service's end.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.service), k.servicePort)
}

// String returns the two ends, as logs show them.
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

// Hash returns a hash of the key that is the same in all processes.
func (k Key) Hash() uint64 {
	b := k.Bytes()
	return xxhash.Sum64(b[:])
}

// Header is what a packet of an opaque flow tells to those who carry it.
type Header struct {
	Src, Dst netip.AddrPort
	// Syn opens a flow; Fin ends one direction, Rst the flow.
	Syn, Ack, Fin, Rst bool
	// Bounced marks a packet that the backend server gave back because it doesn't hold the flow or can't accept it.
	Bounced bool
	Seq     uint32
	// AckNumber acknowledges the peer's bytes; on a Syn without Ack it counts the client's earlier copies.
	AckNumber uint32
	// Len is the number of payload bytes.
	Len int
}

// Opens reports whether the packet asks for a new flow.
func (h *Header) Opens() bool { return h.Syn && !h.Ack }

// KeyFromClient returns the key of the flow of a packet that a client wrote.
func (h *Header) KeyFromClient() Key { return NewKey(h.Src, h.Dst) }

// KeyFromServer returns the key of the flow of a packet that a backend server wrote.
func (h *Header) KeyFromServer() Key { return NewKey(h.Dst, h.Src) }
