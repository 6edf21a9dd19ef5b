package ctrl

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// The kinds of datagram between processes that carry opaque flows.
const (
	KindState Kind = iota + 16
	KindPeerRecords
	KindCompactState
)

// State is the heartbeat of a process that carries opaque flows.
type State struct {
	Record view.Record `cbor:"1,keyasint"`
	// Server is the load of an agent's backend server; nil from an entry.
	Server *ServerLoad `cbor:"2,keyasint,omitempty"`
	// ConfigVersion is the version of the sender's configuration; 0 when it has none.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ConfigAge is how long ago somebody read that version from the store as the newest.
	ConfigAge time.Duration `cbor:"4,keyasint,omitempty"`
	// RequestPeers asks the receiver for the processes that it knows.
	RequestPeers bool `cbor:"5,keyasint,omitempty"`
}

// CompactState is a heartbeat to a process that knows the sender's record: a third to a half of a State's size.
type CompactState struct {
	// Packets and Incarnation name the sender's record.
	Packets     netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Server, Version and Age are as in a State; a pulse without them only says that the sender lives.
	Server        *ServerLoad   `cbor:"3,keyasint,omitempty"`
	ConfigVersion uint64        `cbor:"4,keyasint,omitempty"`
	ConfigAge     time.Duration `cbor:"5,keyasint,omitempty"`
}

// ServerLoad is the load of a backend server, as its agent sees it.
type ServerLoad struct {
	// Ready says that the server takes new flows.
	Ready           bool `cbor:"1,keyasint,omitempty"`
	PendingRequests int  `cbor:"2,keyasint,omitempty"`
	Flows           int  `cbor:"3,keyasint,omitempty"`
	Slots           int  `cbor:"4,keyasint,omitempty"`
	// MeanServiceTime is the mean service time.
	MeanServiceTime time.Duration `cbor:"5,keyasint,omitempty"`
	// FirstPerKilosecond and Repeated are requests a thousand seconds: those that opened a flow, and the others.
	FirstPerKilosecond    int  `cbor:"6,keyasint,omitempty"`
	RepeatedPerKilosecond int  `cbor:"7,keyasint,omitempty"`
	Cold                  bool `cbor:"8,keyasint,omitempty"`
	// MinHealthCheckTime is the shortest time of a health check.
	MinHealthCheckTime time.Duration `cbor:"9,keyasint,omitempty"`
}

// PeerRecords tells another process of processes.
type PeerRecords struct {
	Records []view.Record `cbor:"1,keyasint"`
}

// MaxPeerRecords is how many records fit into one Roll.
const MaxPeerRecords = 12

// TableArgs asks a process for its configuration.
type TableArgs struct{}

// TableReply holds a configuration.
type TableReply struct{ Table route.Table }

// Broadcast sends msg to many processes, encoded once. It returns the first error; the others are counted.
func Broadcast[T any](l *Link, to []netip.AddrPort, kind Kind, msg T) error {
	b, err := Encode(l.codec, kind, msg)
	if err != nil {
		l.counters.Add("encode_failed", 1)
		return err
	}
	var first error
	for _, addr := range to {
		if _, err := l.conn.WriteToUDPAddrPort(b, addr); err != nil {
			l.counters.Add("send_failed", 1)
			if first == nil {
				first = errors.Wrapf(err, "ctrl: send to %s", addr)
			}
			continue
		}
		l.counters.Add("messages_out", 1)
		l.counters.Add("bytes_out", int64(len(b)))
	}
	return first
}
