package flow

// maxDistance is how far, in bytes, a packet's sequence numbers may be from the newest ones of its flow. An end has at most 16 packets of
// 1,200 bytes in flight; the rest allows for late packets.
const maxDistance = 76_800

// Match says whether a client's packet belongs to a flow.
type Match uint8

const (
	// Unknown means that no number of the flow is known which the packet could be compared with.
	Unknown Match = iota
	// Same means that the packet has numbers of the flow.
	Same
	// Other means that the packet is of another flow with the same key, or very late.
	Other
)

// Numbers holds the newest sequence numbers of a flow's two ends, as far as they are known. They tell flows with the same key apart: both
// ends begin each flow with random numbers. The zero value knows none.
type Numbers struct {
	client, server           uint32
	clientKnown, serverKnown bool
}

// RecordClient records the number after the client's newest byte. Earlier numbers, of late packets, are ignored.
func (n *Numbers) RecordClient(next uint32) {
	n.client, n.clientKnown = newest(n.client, next, n.clientKnown), true
}

// RecordServer records the number after the backend server's newest byte, or the client's acknowledgement of it. Earlier numbers are ignored.
func (n *Numbers) RecordServer(next uint32) {
	n.server, n.serverKnown = newest(n.server, next, n.serverKnown), true
}

// newest returns the later one of two numbers, or the second if the first isn't known.
func newest(known, number uint32, isKnown bool) uint32 {
	if isKnown && int32(number-known) <= 0 {
		return known
	}
	return number
}

// Server returns the number after the backend server's newest byte; ok is false if it isn't known.
func (n *Numbers) Server() (next uint32, ok bool) { return n.server, n.serverKnown }

// Match compares a client's packet that isn't a SYN with the flow's numbers. The packet must be near both those that are known.
func (n *Numbers) Match(h Header) Match {
	match := Unknown
	if n.clientKnown {
		match = compare(h.Seq, n.client)
	}
	if match != Other && n.serverKnown && h.Ack {
		match = compare(h.AckNumber, n.server)
	}
	return match
}

// MatchServer compares a packet of the backend server in the same way.
func (n *Numbers) MatchServer(h Header) Match {
	match := Unknown
	if n.serverKnown {
		match = compare(h.Seq, n.server)
	}
	if match != Other && n.clientKnown && h.Ack {
		match = compare(h.AckNumber, n.client)
	}
	return match
}

// compare returns Same if two numbers are near each other, Other if not.
func compare(a, b uint32) Match {
	if a-b+maxDistance > 2*maxDistance {
		return Other
	}
	return Same
}
