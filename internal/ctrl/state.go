package ctrl

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/alive"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// Kinds of datagrams between processes that carry opaque flows. The numbers are part of the wire format.
const (
	KindState Kind = iota + 16
	KindPeerRecords
	KindCompactState
	KindSilenceQuery
	KindSilenceReply
)

// State is the full heartbeat of a process that carries opaque flows.
type State struct {
	Record view.Record `cbor:"1,keyasint"`
	// Server is the load of the sending agent's backend server; entries leave it nil.
	Server *ServerLoad `cbor:"2,keyasint,omitempty"`
	// ConfigVersion is the version of the sender's configuration, or 0 if it has none.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ConfigAge is the time since any process last read ConfigVersion from the store as the newest version.
	ConfigAge time.Duration `cbor:"4,keyasint,omitempty"`
	// RequestPeers requests the records of other processes from the receiver. A State with it is called a hello.
	RequestPeers bool `cbor:"5,keyasint,omitempty"`
	// StoreEra is the store's era as far as the sender knows, or 0. It rises when the store has lost its latest changes.
	StoreEra uint64 `cbor:"6,keyasint,omitempty"`
	// Uptime is the time since the sender's start; 0 if the sender doesn't tell.
	Uptime time.Duration `cbor:"7,keyasint,omitempty"`
}

// CompactState is a heartbeat to a process that already has the sender's record. For the record of
// BenchmarkSlopePulse it takes 29 bytes, or 71 with the server's load, the configuration version and the era, and a State 117.
type CompactState struct {
	// Packets and Incarnation identify the sender's record.
	Packets     netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Server, ConfigVersion, ConfigAge and StoreEra are as in State. Without them the message only shows that the sender is alive.
	Server        *ServerLoad   `cbor:"3,keyasint,omitempty"`
	ConfigVersion uint64        `cbor:"4,keyasint,omitempty"`
	ConfigAge     time.Duration `cbor:"5,keyasint,omitempty"`
	StoreEra      uint64        `cbor:"6,keyasint,omitempty"`
}

// ServerLoad is the load of a backend server as measured by its agent.
type ServerLoad struct {
	// Ready is set when the server accepts new flows.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// PendingRequests counts the requests that wait or run.
	PendingRequests int           `cbor:"2,keyasint,omitempty"`
	Flows           int           `cbor:"3,keyasint,omitempty"`
	Slots           int           `cbor:"4,keyasint,omitempty"`
	MeanServiceTime time.Duration `cbor:"5,keyasint,omitempty"`
	// FirstPerKilosecond is the rate of requests that are the first of their flow, FollowUpPerKilosecond that of the others.
	FirstPerKilosecond    int `cbor:"6,keyasint,omitempty"`
	FollowUpPerKilosecond int `cbor:"7,keyasint,omitempty"`
	// Cold is set while the server is still slow after its start.
	Cold bool `cbor:"8,keyasint,omitempty"`
	// MinHealthCheckTime is the duration of the fastest health check since the server's start, or 0 if there was none.
	MinHealthCheckTime time.Duration `cbor:"9,keyasint,omitempty"`
}

// PeerRecords carries records of other processes.
type PeerRecords struct {
	Records []view.Record `cbor:"1,keyasint"`
	// List, Index and Count are set if the message is a part of the sender's whole list of processes, and the sender knows all agents: the
	// list's number, the part's index and the number of parts.
	List  uint32 `cbor:"2,keyasint,omitempty"`
	Index uint8  `cbor:"3,keyasint,omitempty"`
	Count uint8  `cbor:"4,keyasint,omitempty"`
	// Replaces is set in a reply to a hello if the sender knew another process at the receiver's address that had run for long.
	Replaces bool `cbor:"5,keyasint,omitempty"`
	// Unlisted is set if the sender has read the directory and didn't find the receiver.
	Unlisted bool `cbor:"6,keyasint,omitempty"`
}

// MaxPeerRecords is the number of records that fit into one PeerRecords datagram.
const MaxPeerRecords = 12

// SilenceQuery asks an entry for its opinions of agents from which the sender receives no heartbeats. Processes of releases
// without it ignore the message.
type SilenceQuery struct {
	// Round is repeated in the reply.
	Round uint64 `cbor:"1,keyasint"`
	// Suspects has the packet addresses of at most MaxSuspects agents.
	Suspects []netip.AddrPort `cbor:"2,keyasint"`
}

// SilenceReply is the reply to a SilenceQuery.
type SilenceReply struct {
	Round uint64 `cbor:"1,keyasint"`
	// Packets is the packet address of the sender.
	Packets netip.AddrPort `cbor:"2,keyasint"`
	// Suspects and Opinions are parallel.
	Suspects []netip.AddrPort `cbor:"3,keyasint"`
	Opinions []alive.Opinion  `cbor:"4,keyasint"`
}

// MaxSuspects is the number of suspects that fit into one SilenceQuery or SilenceReply datagram.
const MaxSuspects = 64

// TableArgs are the arguments of Node.Table, which returns the configuration of a process.
type TableArgs struct{}

// TableReply contains the configuration.
type TableReply struct{ Table route.Table }

// Broadcast encodes msg once and sends it to all addresses. It counts all errors and returns the first.
func Broadcast[T any](l *Link, to []netip.AddrPort, kind Kind, msg T) error {
	datagram, err := Encode(l.codec, kind, msg)
	if err != nil {
		l.counters.Add("encode_failed", 1)
		return err
	}
	var firstErr error
	for _, addr := range to {
		if _, err := l.conn.WriteToUDPAddrPort(datagram, addr); err != nil {
			l.counters.Add("send_failed", 1)
			if firstErr == nil {
				firstErr = errors.Wrapf(err, "ctrl: send to %s", addr)
			}
			continue
		}
		l.counters.Add("messages_out", 1)
		l.counters.Add("bytes_out", int64(len(datagram)))
	}
	return firstErr
}
