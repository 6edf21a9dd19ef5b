package deliv

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// handleServerPacket processes a packet that the backend server sent or bounced, which starts at b[encap.HeaderSize:].
func (a *Agent) handleServerPacket(from netip.AddrPort, b []byte) {
	if from.Addr() != a.opts.Server.Addr() && !from.Addr().IsLoopback() {
		a.counters.Add("server_foreign", 1)
		return
	}
	h, ok := a.opts.Codec.Parse(b[encap.HeaderSize:])
	if !ok {
		a.counters.Add("server_damaged", 1)
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compensatePause(now)
	a.server.RecordPacket(now)
	if h.Bounced {
		a.opts.Codec.Restore(b[encap.HeaderSize:])
		a.handleBounced(h, b, now)
		return
	}
	key := h.KeyFromServer()
	f := a.flows.Get(key, now)
	if h.Rst && !f.mayBeReset() {
		a.handleUnheldReset(key, f, now)
		return
	}
	if h.Rst {
		a.opts.FlowLog.Info("reset by the backend server", a.flowFields(key, f, now)...)
	}
	a.trackServerPacket(key, f, h, now)
	a.sendToClient(b[encap.HeaderSize:], h.Dst.Addr())
}

// handleUnheldReset processes an RST of the server on a flow, whose state is f or nil, that it isn't known to hold. A server at which
// another flow with the key has ended answers data in this way. The RST isn't sent to the client, whose flow may be open at another server.
// One that comes before the reply to a SYN isn't of the new flow, unless the SYN was a late one that gets no reply, and one on a flow that has
// ended shows nothing new.
func (a *Agent) handleUnheldReset(key flow.Key, f *flowState, now time.Time) {
	a.counters.Add("unheld_reset", 1)
	fields := []zap.Field{zap.Stringer("flow", key)}
	if f != nil {
		fields = a.flowFields(key, f, now)
	}
	a.opts.FlowLog.Info("reset by a server that isn't known to hold the flow", fields...)
	if f != nil && (f.phase == phaseClosed || f.awaitsSynAck(now)) {
		return
	}
	a.denied.Put(key, struct{}{}, now)
	if f == nil {
		return
	}
	entry := f.entry
	a.removeFlow(key)
	if entry.IsValid() {
		a.sendKey(encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key, entry)
	}
}

// trackServerPacket updates the flow of a packet that the server sent, whose state is f or nil. Flows that aren't in the table are added.
func (a *Agent) trackServerPacket(key flow.Key, f *flowState, h flow.Header, now time.Time) {
	if f == nil {
		if h.Syn {
			return
		}
		a.denied.Delete(key) // It was of an earlier flow.
		f = a.flows.Put(key, flowState{
			phase: phaseProbing, serverRestarts: a.server.Restarts(), firstSeen: now, responseSeen: true,
		}, now)
	}
	if f.mayHaveEnded(h) || f.isReplyToEarlierFlow(h) {
		return
	}
	confirms := f.isConfirmedBy(h)
	switch {
	case h.Syn:
		a.handleSynAck(f, h)
	case f.isUndecided():
		f.numbers = flow.Numbers{}
		fallthrough
	case f.phase == phaseOpening:
		f.serverRestarts = a.server.Restarts()
		a.setPhase(f, phaseOpen)
	}
	if f.claimPending && confirms {
		a.sendClaim(key, f, h, now)
	}
	a.handleServerData(key, f, h, now)
}

// handleSynAck processes the server's reply h to a SYN. On an open flow it shows that the server may hold another one with the key.
func (a *Agent) handleSynAck(f *flowState, h flow.Header) {
	switch {
	case f.phase == phaseOpening:
		f.synAckSeen = true
		a.server.RecordOpenAccepted()
		a.countOpenFlow(f)
	case f.phase == phaseOpen && f.numbers.MatchServer(h) == flow.Other:
		f.unconfirm()
		f.synAckSeen = true
	case f.isUndecided():
		f.synAckSeen = true
		a.server.RecordOpenAccepted()
		a.countOpenFlow(f)
	}
}

// handleBounced processes a client's packet that the server bounced because it can't accept the new flow or doesn't hold the
// flow.
func (a *Agent) handleBounced(h flow.Header, b []byte, now time.Time) {
	key := h.KeyFromClient()
	f := a.flows.Peek(key)
	if f == nil {
		a.counters.Add("bounced_unknown", 1)
		return
	}
	if f.isBounceOfOther(h) {
		a.logOtherFlow(key, f, h, now)
		if f.entry.IsValid() {
			a.returnToEntry(b, encap.Header{Service: f.service, Verdict: a.sameKeyVerdict(key, f, now)}, f.entry)
		}
		return
	}
	prev := *f
	if logEntry := a.opts.FlowLog.Check(zap.InfoLevel, "packet bounced by the backend server"); logEntry != nil {
		logEntry.Write(append(a.flowFields(key, f, now), zap.Bool("opens", h.Opens()), zap.Int("len", h.Len), zap.Bool("fin", h.Fin))...)
	}
	if h.Opens() {
		a.handleBouncedOpen(key, f, b, now)
		return
	}
	a.removeFlow(key)
	a.denied.Put(key, struct{}{}, now)
	if prev.phase == phaseClosed {
		return // Both ends have closed the flow; a late packet needs no reply.
	}
	if prev.phase == phaseOpen {
		a.resetLostFlow(key, h, "backend server doesn't hold it any more")
		return
	}
	a.counters.Add("bounced", 1)
	if prev.entry.IsValid() {
		a.returnToEntry(b, encap.Header{Service: prev.service}, prev.entry)
	}
}

// handleBouncedOpen processes a SYN that the server bounced because it can't accept the new flow f. A server that can't accept flows also
// bounces late copies of the SYN of a flow that it holds.
func (a *Agent) handleBouncedOpen(key flow.Key, f *flowState, b []byte, now time.Time) {
	a.server.RecordOpenRefused(now)
	a.updateReadiness(now)
	if f.phase == phaseOpen || f.isHeld() || f.isUndecided() && !f.synSeen {
		return
	}
	header := encap.Header{Kind: encap.Open, Hops: f.hops, Service: f.service, Fallback: f.fallback, Entry: f.entry}
	if f.isUndecided() {
		f.synSeen, f.numbers = false, flow.Numbers{} // The server may hold another flow with the key.
	} else {
		a.removeFlow(key)
	}
	a.passOnOrRefuse(key, header, b, string(server.ReasonOpensRefused))
}
