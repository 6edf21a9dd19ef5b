package deliv

import (
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// send writes a datagram and counts failures.
func (a *Agent) send(conn *net.UDPConn, b []byte, to netip.AddrPort) {
	if conn == a.opts.EncapConn {
		a.meter.RecordSent(b)
	}
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		a.counters.Add("send_failed", 1)
	}
}

// handleDatagram processes a datagram from an entry or another agent, which starts at b[encap.HeaderSize:].
func (a *Agent) handleDatagram(from netip.AddrPort, b []byte) {
	b = b[encap.HeaderSize:]
	a.meter.RecordReceived(b)
	header, body, err := encap.Parse(b)
	if err != nil {
		a.counters.Add("hop_damaged", 1)
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compensatePause(now)
	switch header.Kind {
	case encap.Query:
		a.handleQuery(from, header.Version, body, now)
		return
	case encap.ListFlows:
		a.sendFlowList(from, body, now)
		return
	}
	h, ok := a.opts.Codec.Parse(body)
	if !ok {
		a.counters.Add("hop_damaged", 1)
		return
	}
	switch header.Kind {
	case encap.Open:
		a.handleOpen(header, h, b, now)
	case encap.Forward, encap.Probe:
		a.handleFlowPacket(from, header, h, b, now)
	default:
		a.counters.Add("hop_unexpected", 1)
	}
}

// handleQuery replies to a query of a search whether the server holds a flow.
func (a *Agent) handleQuery(from netip.AddrPort, searchID uint64, body []byte, now time.Time) {
	key, ok := encap.ParseKey(body)
	if !ok {
		a.counters.Add("hop_damaged", 1)
		return
	}
	header := encap.Header{Kind: encap.QueryReply, Version: searchID, Verdict: a.verdict(key, now)}
	f := a.flows.Peek(key)
	if header.Verdict == seek.Denied && f == nil && a.deniesWithCertainty(now) {
		header.Hops = encap.Certain
	}
	if header.Verdict == seek.Perhaps && f == nil {
		a.asked.Put(key, struct{}{}, now)
	}
	if header.Verdict == seek.Denied && f != nil {
		a.opts.FlowLog.Info("flow in the table denied", append(a.flowFields(key, f, now), zap.Stringer("entry", from))...)
	}
	a.sendKey(header, key, from)
}

// sendKey sends an entry a datagram about a flow that consists of the header and the key.
func (a *Agent) sendKey(header encap.Header, key flow.Key, to netip.AddrPort) {
	var buf [encap.HeaderSize + flow.KeySize]byte
	a.send(a.opts.EncapConn, header.AppendWithKey(buf[:0], key), to)
}

// verdict returns whether the server holds a flow, as far as the agent has observed it.
func (a *Agent) verdict(key flow.Key, now time.Time) seek.Verdict {
	f := a.flows.Peek(key)
	switch {
	case f != nil:
		return a.flowVerdict(key, f, now)
	case a.serverMayHold(key, now):
		return seek.Perhaps
	}
	return seek.Denied
}

// flowVerdict returns whether the server holds a flow that is in the table.
func (a *Agent) flowVerdict(key flow.Key, f *flowState, now time.Time) seek.Verdict {
	switch {
	case a.server.HasEnded():
		return seek.Denied
	case f.phase == phaseProbing:
		return seek.Perhaps
	case f.serverRestarts != a.server.Restarts():
		return seek.Denied
	case f.isUnanswered():
		return seek.Perhaps
	case f.phase == phaseOpening || f.phase == phaseUnconfirmed:
		return seek.Opening // The server may well hold the flow: entries probe it first.
	case f.phase == phaseClosed && !(f.wasOpen && a.flows.UsedSince(key, now.Add(-closedFlowTTL))):
		return seek.Denied
	}
	return seek.Held
}

// sameKeyVerdict returns whether the server holds the flow f, which has the key of a packet of another flow. f may be nil. Nothing is reset while
// it holds one, or hasn't decided on one that is unconfirmed.
func (a *Agent) sameKeyVerdict(key flow.Key, f *flowState, now time.Time) seek.Verdict {
	if f == nil {
		return 0
	}
	verdict := a.flowVerdict(key, f, now)
	if verdict == seek.Opening && f.chosen || verdict != seek.Denied && f.isUndecided() {
		return seek.Held
	}
	return verdict
}

// handleOpen sends the SYN of a flow to the server, passes it on to another agent or refuses the flow.
func (a *Agent) handleOpen(header encap.Header, h flow.Header, b []byte, now time.Time) {
	key := h.KeyFromClient()
	reason := a.refusalFor(header, h, now)
	if f := a.flows.Peek(key); f != nil && f.serverRestarts == a.server.Restarts() && f.isRepeatedBy(h, reason) {
		a.flows.Get(key, now)
		f.recordSyn(header, h, now)
		a.denied.Delete(key)
		a.sendToServer(b[encap.HeaderSize:]) // A retransmission of the SYN.
		return
	}
	if a.stopping {
		a.passOnOrDrop(header, b)
		return
	}
	if reason != server.ReasonNone {
		a.passOnOrRefuse(key, header, b, string(reason))
		return
	}
	phase := phaseOpening
	if f := a.flows.Peek(key); f != nil && (f.phase == phaseOpen || f.isUndecided()) {
		a.opts.FlowLog.Info("new flow with the key of one that may be open", a.flowFields(key, f, now)...)
		phase = phaseUnconfirmed // The SYN may be a late one of an earlier flow, and the server ignore it.
	}
	a.removeFlow(key)
	f := a.flows.Put(key, flowState{
		phase: phase, serverRestarts: a.server.Restarts(), entry: header.Entry, service: header.Service,
		fallback: header.Fallback, hops: header.Hops, claimPending: header.Hops > 0 || phase == phaseUnconfirmed, firstSeen: now,
		synSeq: h.Seq, synSeen: true,
	}, now)
	f.numbers.RecordClient(h.Seq + 1)
	a.denied.Delete(key) // It was of an earlier flow.
	a.server.RecordOpen(now)
	a.counters.Add("opened", 1)
	a.sendToServer(b[encap.HeaderSize:])
}

// refusalFor returns why a new flow must not reach the server, or ReasonNone. If the agent's configuration is newer than
// the entry's, the route must still lead to the service.
func (a *Agent) refusalFor(header encap.Header, h flow.Header, now time.Time) server.Reason {
	if route.ServiceID(a.serviceName()) != header.Service {
		return server.ReasonOtherService
	}
	if t := a.opts.Cluster.Table(); t != nil && t.Version > header.Version {
		if rt := t.Lookup(h.Dst); rt == nil || !rt.HasTarget(header.Service) {
			return server.ReasonOtherService
		}
	}
	return a.server.RefusalReason(now)
}

// passOnOrRefuse passes the SYN of a flow that this server hasn't accepted on to the fallback agent. If there is none or the SYN
// was passed on maxHops times, it returns the SYN to the entry, which chooses another agent. Without an entry, as that of a flow from a
// saved list, it drops the SYN: a reset could reach a client whose flow another server has accepted.
func (a *Agent) passOnOrRefuse(key flow.Key, header encap.Header, b []byte, reason string) {
	passOn := a.mayPassOn(header)
	a.opts.FlowLog.Info("new flow not taken", zap.Stringer("flow", key), zap.String("reason", reason),
		zap.Bool("passed_on", passOn), zap.Bool("dropped", !passOn && !header.Entry.IsValid()),
		zap.Stringer("second", header.Fallback), zap.Uint64("version", header.Version))
	switch {
	case passOn:
		a.passOn(header, b)
	case header.Entry.IsValid():
		a.returnToEntry(b, header, header.Entry)
	default:
		a.counters.Add("open_dropped", 1)
	}
}

// passOnOrDrop passes the SYN of a flow on to the fallback agent, or drops it: the client sends further copies, and a reset
// could reach a client whose flow another server has accepted.
func (a *Agent) passOnOrDrop(header encap.Header, b []byte) {
	if !a.mayPassOn(header) {
		a.counters.Add("open_dropped", 1)
		return
	}
	a.passOn(header, b)
}

func (a *Agent) mayPassOn(header encap.Header) bool {
	return header.Hops < maxHops && header.Fallback.IsValid() && header.Fallback != a.opts.Self
}

// passOn passes the SYN of a flow on to the fallback agent.
func (a *Agent) passOn(header encap.Header, b []byte) {
	a.counters.Add("open_passed_on", 1)
	to := header.Fallback
	header.Hops++
	header.Fallback = netip.AddrPort{}
	header.Encode(b)
	a.send(a.opts.EncapConn, b, to)
}

// handleFlowPacket processes a packet of an existing flow. A flow that isn't in the table but may be held by the server is
// probed: the server bounces packets of flows that it doesn't hold.
func (a *Agent) handleFlowPacket(from netip.AddrPort, header encap.Header, h flow.Header, b []byte, now time.Time) {
	key := h.KeyFromClient()
	if f := a.flows.Peek(key); f != nil && f.isOtherFlow(h) {
		f.resetByServer = false
		a.logOtherFlow(key, f, h, now)
		header.Verdict = a.sameKeyVerdict(key, f, now)
		a.returnToEntry(b, header, from)
		return
	}
	f := a.flows.Get(key, now)
	switch {
	case f != nil && f.phase != phaseProbing && (f.serverRestarts != a.server.Restarts() || a.server.HasEnded()):
		if f.phase != phaseOpen {
			a.returnToEntry(b, header, from) // The flow may be open at another server, which took a copy of the SYN.
			return
		}
		a.resetLostFlow(key, h, "backend server has ended")
		return
	case a.isHeldElsewhere(key, f, header.Kind, h, now):
		header.Verdict = a.sameKeyVerdict(key, f, now)
		a.returnToEntry(b, header, from)
		return
	case f == nil:
		f = a.flows.Put(key, flowState{
			phase: phaseProbing, serverRestarts: a.server.Restarts(), service: header.Service, responseSeen: true, firstSeen: now,
			claimPending: header.Kind == encap.Probe,
		}, now)
		a.counters.Add("tried", 1)
	}
	f.entry = from
	f.recordChoice(h)
	f.recordBare(h)
	if header.Kind == encap.Probe {
		a.sendProbe(key, f, h, now)
	}
	if a.handleClientData(key, f, h, b[encap.HeaderSize:], now) {
		a.sendToServer(b[encap.HeaderSize:])
	}
}

// logOtherFlow logs that a client's packet h isn't of the flow f that has its key.
func (a *Agent) logOtherFlow(key flow.Key, f *flowState, h flow.Header, now time.Time) {
	if logEntry := a.opts.FlowLog.Check(zap.InfoLevel, "packet of another flow with the same key"); logEntry != nil {
		logEntry.Write(append(a.flowFields(key, f, now), zap.Uint32("ack", h.AckNumber), zap.Uint32("server_next", f.serverNextSeq))...)
	}
}

// flowFields returns the log fields that describe the state of a flow and of its server.
func (a *Agent) flowFields(key flow.Key, f *flowState, now time.Time) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("flow", key), zap.Stringer("phase", f.phase), zap.Duration("age", now.Sub(f.firstSeen)), zap.Bool("syn_ack", f.synAckSeen),
		zap.Stringer("by", f.entry), zap.Int("restarts", a.server.Restarts()-f.serverRestarts),
		zap.Bool("table_complete", a.tableComplete(now)),
	}
	heartbeat, packet := a.server.Silence(now)
	return append(fields, zap.Duration("server_heartbeat", heartbeat), zap.Duration("server_packet", packet))
}

// resetLostFlow resets a flow that the server has lost, so that the client can reconnect at once.
func (a *Agent) resetLostFlow(key flow.Key, h flow.Header, reason string) {
	fields := []zap.Field{zap.Stringer("flow", key)}
	if f := a.flows.Peek(key); f != nil {
		fields = a.flowFields(key, f, time.Now())
	}
	a.opts.FlowLog.Warn("flow is lost", append(fields, zap.String("reason", reason), zap.Bool("reset", !h.Rst))...)
	a.counters.Add("flow_lost", 1)
	a.removeFlow(key)
	a.denied.Put(key, struct{}{}, time.Now())
	if !h.Rst {
		a.sendReset(h)
	}
}

// returnToEntry returns a packet to the entry, which then searches for the flow's agent. The header has the verdict on another flow with the
// packet's key, if there is one. The packet starts at b[encap.HeaderSize:].
func (a *Agent) returnToEntry(b []byte, header encap.Header, to netip.AddrPort) {
	a.counters.Add("returned", 1)
	returnHeader := encap.Header{Kind: encap.Return, Service: header.Service, Verdict: header.Verdict}
	returnHeader.Encode(b)
	a.send(a.opts.EncapConn, b, to)
}

// sendToServer sends a client's packet to the backend server.
func (a *Agent) sendToServer(packet []byte) {
	a.counters.Add("delivered", 1)
	a.send(a.opts.ServerConn, packet, a.opts.Server)
}

// sendReset sends the client of packet h a reset for its flow.
func (a *Agent) sendReset(h flow.Header) {
	var buf [64]byte
	a.sendToClient(a.opts.Codec.Reset(buf[:0], h), h.Src.Addr())
}

// sendToClient sends a packet to a client's address.
func (a *Agent) sendToClient(b []byte, client netip.Addr) {
	a.send(a.opts.ClientConn, b, netip.AddrPortFrom(client, a.clientPort))
}
