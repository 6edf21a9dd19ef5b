// Package ctrl implements the control protocol between the processes of a deployment.
//
// Small messages are authenticated UDP datagrams; bulk transfers are net/rpc calls over mutual TLS.
// Both use the process's control address.
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
	// MaxDatagram is the maximum size of a control datagram in bytes.
	MaxDatagram = 1400
)

// Kind identifies the type of the message in a datagram.
type Kind uint8

// Kinds of datagrams between entries and agents. The numbers are part of the wire format.
const (
	KindHeartbeat Kind = iota + 1
	KindAck
	KindSync
	KindRumor
	KindLoad
)

// Heartbeat is sent periodically by an agent to its entries.
type Heartbeat struct {
	Record view.Record `cbor:"1,keyasint"`
	// Service is the name of the agent's service.
	Service string `cbor:"2,keyasint"`
	// ContractSerial is the serial of the contract in force at the agent.
	ContractSerial uint64 `cbor:"3,keyasint"`
}

// Ack is an entry's reply to a Heartbeat, and is also sent when something changes for the agent. An agent
// whose state differs from the Ack fetches the current state with a call.
type Ack struct {
	// Record is the agent's record as the entry holds it.
	Record view.Record `cbor:"1,keyasint"`
	// ContractSerial is the serial of the service's contract at the entry.
	ContractSerial uint64 `cbor:"2,keyasint"`
	// KeySerial is the journal position of the last change of the packet keys.
	KeySerial uint64 `cbor:"3,keyasint"`
	// MembersHash is the hash of the records of the service's agents, as in ServiceReply.Hash.
	MembersHash uint64 `cbor:"4,keyasint"`
	// Entry is the record of the sending entry.
	Entry view.Record `cbor:"5,keyasint"`
}

// Sync carries a summary of the sender's state to another entry. It is also the heartbeat between entries.
type Sync struct {
	Record          view.Record `cbor:"1,keyasint"`
	JournalPosition uint64      `cbor:"2,keyasint"`
	ViewHash        uint64      `cbor:"3,keyasint"`
	// Settled is set when the sender's records have not changed for some seconds.
	Settled bool `cbor:"6,keyasint,omitempty"`
	// IsReply marks the reply to a Sync, which gets no reply itself.
	IsReply bool `cbor:"4,keyasint,omitempty"`
	// Peer is the receiver's record as the sender holds it.
	Peer view.Record `cbor:"5,keyasint"`
}

// Rumor propagates changed records and new journal entries to other entries.
type Rumor struct {
	Records []view.Record `cbor:"1,keyasint,omitempty"`
	// JournalPosition is the sender's position in the journal.
	JournalPosition uint64 `cbor:"2,keyasint,omitempty"`
	// JournalEntry is the newest journal entry, if it fits into the datagram.
	JournalEntry *journ.Entry `cbor:"3,keyasint,omitempty"`
}

// Load reports an agent's load to the other agents of its service.
type Load struct {
	// Record is the sender's record; receivers identify the sender by its control address and incarnation.
	Record view.Record `cbor:"1,keyasint"`
	// UtilizationPermille is the recent share of busy slots.
	UtilizationPermille uint16 `cbor:"2,keyasint"`
	FreeSlots           int    `cbor:"3,keyasint"`
	QueuedRequests      int    `cbor:"4,keyasint"`
	Flows               int    `cbor:"5,keyasint"`
	// Failing is set when at least half of the backend server's recent responses were errors.
	Failing bool `cbor:"6,keyasint,omitempty"`
}

// Errors returned by Encode and Codec.Verify.
var (
	ErrTruncated = errors.New("ctrl: datagram is shorter than its header")
	ErrVersion   = errors.New("ctrl: unsupported datagram version")
	ErrMAC       = errors.New("ctrl: datagram authentication failed")
	ErrTooLarge  = errors.New("ctrl: message exceeds the maximum datagram size")
)

// Codec authenticates the control datagrams of one deployment.
type Codec struct{ key [fleet.KeySize]byte }

// NewCodec returns a Codec with the key derived from the deployment's secret.
func NewCodec(secret fleet.Secret) *Codec { return &Codec{key: secret.Derive("control datagram")} }

// Encode returns an authenticated datagram that contains msg, or ErrTooLarge if it would exceed MaxDatagram.
func Encode[T any](c *Codec, kind Kind, msg T) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, errors.Wrapf(err, "ctrl: encode message of kind %d", kind)
	}
	if bodyOffset+len(body) > MaxDatagram {
		return nil, ErrTooLarge
	}
	datagram := make([]byte, bodyOffset+len(body))
	datagram[0] = codecVersion
	datagram[kindOffset] = byte(kind)
	copy(datagram[bodyOffset:], body)
	binary.BigEndian.PutUint64(datagram[macOffset:], highwayhash.Sum64(datagram, c.key[:]))
	return datagram, nil
}

// Verify authenticates a datagram and returns its kind and body. It overwrites the MAC in datagram with zeros.
func (c *Codec) Verify(datagram []byte) (Kind, []byte, error) {
	if len(datagram) < bodyOffset {
		return 0, nil, ErrTruncated
	}
	if datagram[0] != codecVersion {
		return 0, nil, ErrVersion
	}
	mac := binary.BigEndian.Uint64(datagram[macOffset:])
	clear(datagram[macOffset:bodyOffset])
	if highwayhash.Sum64(datagram, c.key[:]) != mac {
		return 0, nil, ErrMAC
	}
	return Kind(datagram[kindOffset]), datagram[bodyOffset:], nil
}

// Decode decodes the body of a datagram.
func Decode[T any](body []byte) (msg T, err error) {
	err = cbor.Unmarshal(body, &msg)
	return msg, errors.Wrap(err, "ctrl: decode message body")
}
