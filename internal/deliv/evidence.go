package deliv

import (
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// maxUnackedBytes is the most that a server sends ahead of the client's acknowledgements: 16 packets of 1,200 bytes.
const maxUnackedBytes = 16 * 1200

// handshake is what a client's packet shows of a flow whose handshake isn't complete at the server.
type handshake uint8

const (
	// undecided: the packet or the agent's knowledge doesn't show which server the client has chosen.
	undecided handshake = iota
	// choseServer: the packet acknowledges the sequence number of this server's SYN+ACK.
	choseServer
	// choseAnother: the packet acknowledges another one.
	choseAnother
)

// handshakeWith determines by the acknowledgement of a client's packet whether the client has chosen this agent's server, one
// of those that responded to a copy of its SYN.
func (f *flowState) handshakeWith(h flow.Header) handshake {
	switch {
	case f.phase != phaseOpening || !f.synAckSeen || !h.Ack:
		return undecided
	case h.AckNumber-f.serverNextSeq <= maxUnackedBytes:
		return choseServer
	default:
		return choseAnother
	}
}

// recordChoice records whether a client's packet shows that the client has chosen this agent's server.
func (f *flowState) recordChoice(h flow.Header) {
	f.chosen = f.chosen || f.handshakeWith(h) == choseServer
}

// isRepeatedBy reports whether a SYN h is a copy of the flow's SYN, so that the flow isn't a new one. If the agent hasn't seen the SYN of a
// flow that isn't opening, or the flow is undecided, it may be either, and must not reach a server that may get no new flows for the given reason.
func (f *flowState) isRepeatedBy(h flow.Header, reason server.Reason) bool {
	switch {
	case f.phase == phaseClosed:
		return false
	case f.synSeen && f.isUndecided():
		return f.synSeq == h.Seq && reason == server.ReasonNone
	case f.synSeen:
		return f.synSeq == h.Seq
	}
	return f.phase == phaseOpening || reason == server.ReasonNone
}

// isOtherFlow reports whether a client's packet h belongs to another flow with the same key: it is another SYN than this flow's, or its
// numbers are others. Until the handshake is complete, handshakeWith decides on acknowledgements. A flow that has ended gets only packets that
// are certainly its own.
func (f *flowState) isOtherFlow(h flow.Header) bool {
	if h.Opens() {
		return f.synSeen && f.synSeq != h.Seq
	}
	match := f.numbers.Match(h)
	return !f.isUndecided() && (match == flow.Other || match == flow.Unknown && f.phase == phaseClosed)
}

// recordSyn records a SYN h that the server is sent on a flow in the table. If the agent hasn't seen the flow's SYN, this may be a copy of it, or
// that of a later flow: the server decides.
func (f *flowState) recordSyn(header encap.Header, h flow.Header, now time.Time) {
	if !f.entry.IsValid() || f.isUndecided() {
		f.entry, f.fallback, f.hops = header.Entry, header.Fallback, header.Hops
	}
	if f.synSeen {
		return
	}
	f.synSeq, f.synSeen, f.synAckSeen = h.Seq, true, false
	if f.phase == phaseOpen && f.numbers.Match(flow.Header{Seq: h.Seq}) != flow.Same {
		f.unconfirm()
	}
	if f.phase != phaseOpen {
		f.numbers.RecordClient(h.Seq + 1)
		f.firstSeen = now
	}
}

// isBounceOfOther reports whether a packet h that the server returned belongs to another flow with the same key. On an undecided flow it is
// compared with the SYN that the server was sent since.
func (f *flowState) isBounceOfOther(h flow.Header) bool {
	if h.Opens() {
		return f.isOtherFlow(h)
	}
	return f.numbers.Match(h) == flow.Other
}

// isReplyToEarlierFlow reports whether a packet of the server is a reply to a packet that it received before the SYN of an opening flow.
func (f *flowState) isReplyToEarlierFlow(h flow.Header) bool {
	return f.phase == phaseOpening && !f.synAckSeen && !h.Syn && f.numbers.MatchServer(h) == flow.Other
}

// recordNumbers records the numbers of both ends that a packet of the server has.
func (f *flowState) recordNumbers(h flow.Header) {
	switch {
	case h.Syn && f.phase == phaseOpening:
		f.serverNextSeq = h.Seq
		return
	case h.Syn || h.Rst || f.phase != phaseOpen: // Replies on a flow that has ended may have the numbers of another flow.
		return
	case f.numbers.MatchServer(h) == flow.Other:
		if h.Len == 0 {
			return // It may be a reply to a late packet of an earlier flow.
		}
		f.numbers = flow.Numbers{}
	}
	f.numbers.RecordServer(h.Seq + uint32(h.Len))
	if h.Ack {
		f.numbers.RecordClient(h.AckNumber)
	}
	f.serverNextSeq, _ = f.numbers.Server()
}

// unconfirm lets the server decide on the flow's packets again, since it may hold another flow with the key.
func (f *flowState) unconfirm() {
	f.phase, f.numbers, f.claimPending, f.bareInRow = phaseUnconfirmed, flow.Numbers{}, true, 0
	if f.synSeen {
		f.numbers.RecordClient(f.synSeq + 1)
	}
}

// awaitsServer reports whether only the server can tell whether it holds the flow: the agent hasn't seen the flow's handshake.
func (f *flowState) awaitsServer() bool {
	return f.isUndecided() || f.phase == phaseOpening && !f.synAckSeen
}

// awaitsSynAck reports whether the server may still reply to a SYN that it was sent.
func (f *flowState) awaitsSynAck(now time.Time) bool {
	return f.synSeen && !f.synAckSeen && now.Sub(f.firstSeen) < maxHandshakeTime
}

// isUndecided reports whether nothing that the agent has seen since its start shows whether the server holds the flow. No data is then kept
// from the server, and no client reset.
func (f *flowState) isUndecided() bool { return f.phase == phaseProbing || f.phase == phaseUnconfirmed }

// maxBareInRow is how many packets without data a server is sent on a flow that it hasn't decided on. It acknowledges every second packet of
// a flow that it holds; on one that has ended it answers none, or acknowledges the FIN.
const maxBareInRow = 2

// isUnanswered reports whether the server hasn't shown that it holds a flow though it should have. Only data, which each server answers or
// returns, can still decide.
func (f *flowState) isUnanswered() bool {
	return f != nil && f.isUndecided() && f.bareInRow >= maxBareInRow
}

// recordBare counts a client's packet h that can't make the server decide.
func (f *flowState) recordBare(h flow.Header) {
	if h.Len == 0 && f.isUndecided() {
		f.bareInRow++
	}
}

// isHeld reports whether the server holds the flow or held it until its end, by what the agent has seen since its start.
func (f *flowState) isHeld() bool {
	switch {
	case f == nil:
		return false
	case f.phase == phaseClosed:
		return f.wasOpen
	}
	return f.phase == phaseOpen || f.phase == phaseOpening && f.chosen
}

// mayBeReset reports whether an RST of the server is one on this flow, and news for its client. An ended flow's server also answers late
// packets with an RST, when the client may have used the port again: only one that the server has reset is reset again.
func (f *flowState) mayBeReset() bool {
	return f.isHeld() && (f.phase != phaseClosed || f.resetByServer)
}

// mayHaveEnded reports whether a packet of the server may be the reply to a FIN on a flow that has ended, so that it doesn't show that the
// server holds the flow. If the agent has seen no packet of the client, the reply may be to one that an earlier process sent on.
func (f *flowState) mayHaveEnded(h flow.Header) bool {
	if h.Syn || h.Fin || h.Len > 0 || !f.awaitsServer() {
		return false
	}
	return f.clientFin || !f.entry.IsValid()
}

// isConfirmedBy reports whether a packet of the server shows an entry that this is the flow's server. While entries probe or search, a
// SYN+ACK doesn't: servers that the client didn't choose send it, too.
func (f *flowState) isConfirmedBy(h flow.Header) bool {
	return !h.Rst && !(h.Syn && (f.probed || f.isUndecided()))
}
