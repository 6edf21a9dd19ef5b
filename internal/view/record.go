// Package view holds what a process knows of the deployment's processes.
//
// Records merge by a total order on their versions, so that merging is idempotent, commutative and
// never goes back. The package has no locks, sockets or clocks: times come in as arguments.
package view

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role tells what a process does.
type Role uint8

// The roles of processes.
const (
	Entry Role = 1
	Agent Role = 2
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Entry:
		return "entry"
	case Agent:
		return "agent"
	default:
		return "unknown"
	}
}

// State is a process's state. At the same version a later state wins.
type State uint8

// The states of a process, in the order in which they win.
const (
	// Up takes new flows.
	Up State = 1
	// Lost was not heard of for a while, says one of its peers; it may be alive. It gets no new flows.
	Lost State = 2
	// Draining takes no new flows; those it holds go on.
	Draining State = 3
	// Gone has ended for good; its address may belong to another process some day.
	Gone State = 4
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Lost:
		return "lost"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Record is what is known of one process.
type Record struct {
	// Packets is the UDP address for envelopes; it identifies the record.
	Packets netip.AddrPort `cbor:"1,keyasint"`
	// Control is the TCP and UDP address for messages between processes.
	Control netip.AddrPort `cbor:"2,keyasint"`
	Role    Role           `cbor:"3,keyasint"`
	// Service is the number of the agent's service; 0 for an entry.
	Service uint32 `cbor:"4,keyasint,omitempty"`
	// Domain is the failure domain.
	Domain string `cbor:"5,keyasint,omitempty"`
	// Weight is the capacity in proportion to the service's other agents.
	Weight uint16 `cbor:"6,keyasint,omitempty"`
	// Incarnation grows each time a process starts at the address.
	Incarnation uint64 `cbor:"7,keyasint"`
	// Epoch is raised only by the process itself, to contradict what others say of it or to change its record.
	Epoch uint32 `cbor:"8,keyasint"`
	State State  `cbor:"9,keyasint"`
	// Since is when a process was found lost or ended; it only decides when the record is forgotten.
	Since time.Time `cbor:"10,keyasint,omitempty"`
}

// incarnationBits is the number of random bits in an incarnation.
const incarnationBits = 16

// NewIncarnation returns the incarnation of a process that starts at now. It grows with the time, and its
// random part keeps two processes at one address apart whatever their clocks say.
func NewIncarnation(now time.Time, random uint16) uint64 {
	return uint64(now.UnixMilli())<<incarnationBits | uint64(random)
}

// Supersedes reports whether r wins against other, a record of the same address.
func (r *Record) Supersedes(other *Record) bool {
	order := cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Epoch, other.Epoch),
		cmp.Compare(r.State, other.State),
	)
	return order > 0
}

// hash returns a hash of the record's identity and version.
func (r *Record) hash() uint64 {
	var b [36]byte
	ip := r.Packets.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], r.Packets.Port())
	binary.BigEndian.PutUint64(b[18:], r.Incarnation)
	binary.BigEndian.PutUint32(b[26:], r.Epoch)
	b[30] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// bucket returns the digest bucket of an address.
func bucket(a netip.AddrPort) int {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return int(xxhash.Sum64(b[:]) % digestBuckets)
}
