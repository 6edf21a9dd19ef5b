// Package view holds the membership list of the deployment: the records of its processes as one of them has received them.
//
// Records are merged by a total order on their versions, so that merging is idempotent, commutative and never replaces a
// record by an older one. The package has no locks, sockets or clocks: times are passed as arguments.
package view

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Role is the function of a process.
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

// State is a process's state. Between records of the same incarnation and epoch the higher state wins.
type State uint8

// The states of a process, from lowest to highest precedence.
const (
	// Up means that the process accepts new flows.
	Up State = 1
	// Lost means that a peer got no heartbeat for a while. The process may be alive, but gets no new flows.
	Lost State = 2
	// Draining means that the process accepts no new flows and keeps those that it holds.
	Draining State = 3
	// Gone means that the process has ended. Another process may use its address later.
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

// Record describes one process.
type Record struct {
	// Packets is the UDP address for encapsulated packets; it identifies the record.
	Packets netip.AddrPort `cbor:"1,keyasint"`
	// Control is the TCP and UDP address for messages between processes.
	Control netip.AddrPort `cbor:"2,keyasint"`
	Role    Role           `cbor:"3,keyasint"`
	// Service is the number of the agent's service, or 0 for an entry.
	Service uint32 `cbor:"4,keyasint,omitempty"`
	// Domain is the failure domain.
	Domain string `cbor:"5,keyasint,omitempty"`
	// Weight is the capacity relative to the other agents of the service.
	Weight uint16 `cbor:"6,keyasint,omitempty"`
	// Incarnation is higher for each process that starts at the address.
	Incarnation uint64 `cbor:"7,keyasint"`
	// Epoch is raised only by the process itself, to refute a record that others spread of it or to change its own.
	Epoch uint32 `cbor:"8,keyasint"`
	State State  `cbor:"9,keyasint"`
	// Since is when the process was found lost or ended. It only determines when the record expires.
	Since time.Time `cbor:"10,keyasint,omitempty"`
}

// The highest version numbers of a record that is taken for valid. Processes refute records by higher ones, which must not overflow.
const (
	maxIncarnation = 1 << 62
	maxEpoch       = 1 << 31
)

// Validate returns an error that names the first field whose value no process of the deployment writes. It is for records from sources
// that others can write to.
func (r *Record) Validate() error {
	switch {
	case !isIPv4Endpoint(r.Packets):
		return errors.Errorf("record: packets %s is not an IPv4 address and port", r.Packets)
	case !isIPv4Endpoint(r.Control):
		return errors.Errorf("record: control %s is not an IPv4 address and port", r.Control)
	case r.Role != Entry && r.Role != Agent:
		return errors.Errorf("record: role %d is unknown", r.Role)
	case r.State < Up || r.State > Gone:
		return errors.Errorf("record: state %d is unknown", r.State)
	case r.Incarnation > maxIncarnation:
		return errors.Errorf("record: incarnation %d is out of range", r.Incarnation)
	case r.Epoch > maxEpoch:
		return errors.Errorf("record: epoch %d is out of range", r.Epoch)
	}
	return nil
}

func isIPv4Endpoint(addr netip.AddrPort) bool { return addr.Addr().Is4() && addr.Port() != 0 }

// Listing is a record in a directory of processes.
type Listing struct {
	Record
	// Unconfirmed is set if the directory has lost its latest changes since the record was written. The process may have ended, or
	// been replaced by another one, before that; one that is running writes its record again.
	Unconfirmed bool
}

// incarnationBits is the number of random bits in an incarnation.
const incarnationBits = 16

// NewIncarnation returns the incarnation of a process that starts at now. It grows with time; the random bits distinguish two
// processes at one address that started at the same time by their clocks, for example after a clock was set back.
func NewIncarnation(now time.Time, random uint16) uint64 {
	return uint64(now.UnixMilli())<<incarnationBits | uint64(random)
}

// Supersedes reports whether r is newer than other, a record of the same address.
func (r *Record) Supersedes(other *Record) bool {
	order := cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Epoch, other.Epoch),
		cmp.Compare(r.State, other.State),
	)
	return order > 0
}

// hash returns a hash of the record's address and version: incarnation, epoch and state.
func (r *Record) hash() uint64 {
	var buf [36]byte
	ip := r.Packets.Addr().As16()
	copy(buf[:], ip[:])
	binary.BigEndian.PutUint16(buf[16:], r.Packets.Port())
	binary.BigEndian.PutUint64(buf[18:], r.Incarnation)
	binary.BigEndian.PutUint32(buf[26:], r.Epoch)
	buf[30] = byte(r.State)
	return xxhash.Sum64(buf[:])
}

// digestBucket returns the index of the digest bucket that contains an address.
func digestBucket(addr netip.AddrPort) int {
	var buf [18]byte
	ip := addr.Addr().As16()
	copy(buf[:], ip[:])
	binary.BigEndian.PutUint16(buf[16:], addr.Port())
	return int(xxhash.Sum64(buf[:]) % digestBuckets)
}
