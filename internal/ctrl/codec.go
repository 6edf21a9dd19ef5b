// Package ctrl carries the control messages between the system's processes.
//
// Small messages travel as authenticated UDP datagrams, bulk transfers as net/rpc calls over mutual
// TLS. Both use the process's control address.
package ctrl

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/minio/highwayhash"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	codecVersion = 1
	kindOffset   = 1
	macOffset    = 2
	bodyOffset   = 10
	// MaxDatagram is the largest control datagram in bytes.
	MaxDatagram = 1400
)

// Kind tells which message a datagram holds.
type Kind uint8

// The kinds of datagram.
const (
	KindHeartbeat Kind = iota + 1
	KindAck
	KindSync
	KindRumor
	KindLoad
)

// Heartbeat is an agent's heartbeat to an entry.
type Heartbeat struct {
	Record view.Record `cbor:"1,keyasint"`
	// Service is the name of the agent's service.
	Service string `cbor:"2,keyasint"`
	// ContractSerial is the serial of the contract in force at the agent.
	ContractSerial uint64 `cbor:"3,keyasint"`
}

// Ack answers a Beat. What differs from what the agent holds, it fetches by a call.
type Ack struct {
	// Record is what the entry knows of the agent.
	Record view.Record `cbor:"1,keyasint"`
	// ContractSerial is the serial of the service's contract.
	ContractSerial uint64 `cbor:"2,keyasint"`
	// KeySerial is the position of the last change of packet keys.
	KeySerial uint64 `cbor:"3,keyasint"`
	// MembersHash is a hash of the service's members.
	MembersHash uint64 `cbor:"4,keyasint"`
	// Entry is the answering entry's own record.
	Entry view.Record `cbor:"5,keyasint"`
}

// Sync tells another entry how far the sender is; it also is the heartbeat between entries.
type Sync struct {
	Record          view.Record `cbor:"1,keyasint"`
	JournalPosition uint64      `cbor:"2,keyasint"`
	ViewHash        uint64      `cbor:"3,keyasint"`
	// Settled says that the sender's records have not changed for a while.
	Settled bool `cbor:"6,keyasint,omitempty"`
	// IsReply says that the message answers another Sync, and wants none.
	IsReply bool `cbor:"4,keyasint,omitempty"`
	// Peer is what the sender knows of the receiver.
	Peer view.Record `cbor:"5,keyasint"`
}

// Rumor passes news on to other entries.
type Rumor struct {
	Records []view.Record `cbor:"1,keyasint,omitempty"`
	// JournalPosition is the sender's position in the journal.
	JournalPosition uint64 `cbor:"2,keyasint,omitempty"`
	// JournalEntry is the journal's newest entry, where it fits into the datagram.
	JournalEntry *journ.Entry `cbor:"3,keyasint,omitempty"`
}

// Load is what an agent tells the other agents of its service about itself.
type Load struct {
	// Agent is the sender's control address, which identifies it, with its incarnation.
	Record view.Record `cbor:"1,keyasint"`
	// UtilizationPermille is the recent share of busy slots, in thousandths.
	UtilizationPermille uint16 `cbor:"2,keyasint"`
	FreeSlots           int    `cbor:"3,keyasint"`
	QueuedRequests      int    `cbor:"4,keyasint"`
	Flows               int    `cbor:"5,keyasint"`
	// Failing says that most of the backend server's recent answers were errors.
	Failing bool `cbor:"6,keyasint,omitempty"`
}

// Errors that the codec returns.
var (
	ErrTruncated = errors.New("ctrl: datagram is too short")
	ErrVersion   = errors.New("ctrl: unknown version")
	ErrMAC       = errors.New("ctrl: datagram is not authentic")
	ErrTooLarge  = errors.New("ctrl: message doesn't fit into a datagram")
)

// Codec encodes and decodes control datagrams of one deployment.
type Codec struct{ key [fleet.KeySize]byte }

// NewCodec returns the codec for a deployment.
func NewCodec(secret fleet.Secret) *Codec { return &Codec{key: secret.Derive("control datagram")} }

// Encode returns msg as a datagram. It returns ErrTooLarge when msg doesn't fit.
func Encode[T any](c *Codec, kind Kind, msg T) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, errors.Wrap(err, "ctrl: encode message")
	}
	if bodyOffset+len(body) > MaxDatagram {
		return nil, ErrTooLarge
	}
	out := make([]byte, bodyOffset+len(body))
	out[0] = codecVersion
	out[kindOffset] = byte(kind)
	copy(out[bodyOffset:], body)
	binary.BigEndian.PutUint64(out[macOffset:], highwayhash.Sum64(out, c.key[:]))
	return out, nil
}

// Verify checks that a datagram is authentic and returns its kind and body. It clears the MAC in b.
func (c *Codec) Verify(b []byte) (Kind, []byte, error) {
	if len(b) < bodyOffset {
		return 0, nil, ErrTruncated
	}
	if b[0] != codecVersion {
		return 0, nil, ErrVersion
	}
	mac := binary.BigEndian.Uint64(b[macOffset:])
	clear(b[macOffset:bodyOffset])
	if highwayhash.Sum64(b, c.key[:]) != mac {
		return 0, nil, ErrMAC
	}
	return Kind(b[kindOffset]), b[bodyOffset:], nil
}

// Decode reads the body of a datagram.
func Decode[T any](body []byte) (msg T, err error) {
	err = cbor.Unmarshal(body, &msg)
	return msg, errors.Wrap(err, "ctrl: decode message")
}
