package encap

import (
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/bergamotrun/bergamotrun/internal/flow"
)

// wireOverhead is the size of the IPv4 and UDP headers of a datagram, in bytes.
const wireOverhead = 28

// QuerySize is the size of a Query or QueryReply with the IP and UDP headers, in bytes.
const QuerySize = HeaderSize + flow.KeySize + wireOverhead

// WireSize returns the size of a datagram with the IP and UDP headers, in bytes.
func WireSize(datagram []byte) int { return len(datagram) + wireOverhead }

// kindNames holds the names of kinds in metrics and logs, indexed by Kind.
var kindNames = [...]string{"unknown", "open", "forward", "probe", "return", "query", "query_reply", "claim", "list", "list_reply"}

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[0]
}

// Meter counts the bytes of the datagrams that a process exchanges, by kind and including the IP and UDP headers. It is safe for
// concurrent use.
type Meter struct {
	sent, received [len(kindNames)]atomic.Int64
}

// NewMeter returns a Meter and publishes its counters in vars.
func NewMeter(vars *expvar.Map) *Meter {
	m := new(Meter)
	for _, direction := range []struct {
		name     string
		counters *[len(kindNames)]atomic.Int64
	}{{"sent_bytes", &m.sent}, {"received_bytes", &m.received}} {
		byKind := new(expvar.Map)
		for k := range direction.counters {
			byKind.Set(kindNames[k], expvar.Func(func() any { return direction.counters[k].Load() }))
		}
		vars.Set(direction.name, byKind)
	}
	return m
}

// RecordSent records a datagram that was sent, by its header and the size of all of it.
func (m *Meter) RecordSent(datagram []byte) {
	m.sent[kindOf(datagram)].Add(int64(WireSize(datagram)))
}

// RecordReceived records a datagram that was received.
func (m *Meter) RecordReceived(datagram []byte) {
	m.received[kindOf(datagram)].Add(int64(WireSize(datagram)))
}

// kindOf returns the kind in the header of a datagram, or 0 if it is not valid.
func kindOf(datagram []byte) Kind {
	if len(datagram) < HeaderSize || int(datagram[1]) >= len(kindNames) {
		return 0
	}
	return Kind(datagram[1])
}

// Trace formats the bytes sent and received since the previous totals, as "kind=sent/received" for each kind with any, and updates
// the totals.
func (m *Meter) Trace(previous *Totals) string {
	var b strings.Builder
	for k, name := range kindNames {
		sent, received := m.sent[k].Load(), m.received[k].Load()
		newSent, newReceived := sent-previous.sent[k], received-previous.received[k]
		previous.sent[k], previous.received[k] = sent, received
		if newSent == 0 && newReceived == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d/%d", name, newSent, newReceived)
	}
	return b.String()
}

// Totals are the counts of a Meter at an earlier time.
type Totals struct {
	sent, received [len(kindNames)]int64
}
