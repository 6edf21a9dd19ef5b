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
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		a.counters.Add("send_failed", 1)
	}
}

// handleDatagram processes a datagram from another process, which follows encap.HeaderSize free bytes in b.
func (a *Agent) handleDatagram(from netip.AddrPort, b []byte) {
	b = b[encap.HeaderSize:]
	head, body, err := encap.Parse(b)
	if err != nil {
		a.counters.Add("hop_damaged", 1)
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch head.Kind {
	case encap.Query:
		a.handleAsk(from, body, now)
		return
	case encap.ListFlows:
		a.sendFlowList(from, body, now)
		return
	}
	h, ok := a.opts.Format.Parse(body)
	if !ok {
		a.counters.Add("hop_damaged", 1)
		return
	}
	switch head.Kind {
	case encap.Open:
		a.handleOpen(head, h, b, now)
	case encap.Forward, encap.Probe:
		a.handleCarry(from, head, h, b, now)
	default:
		a.counters.Add("hop_unexpected", 1)
	}
}

// handleAsk replies to a query whether the server holds a flow.
func (a *Agent) handleAsk(from netip.AddrPort, body []byte, now time.Time) {
	key, ok := encap.ParseKey(body)
	if !ok {
		a.counters.Add("hop_damaged", 1)
		return
	}
	head := encap.Header{Kind: encap.QueryReply, Verdict: a.verdict(key, now)}
	var buf [encap.HeaderSize + flow.KeySize]byte
	a.send(a.opts.EncapConn, head.AppendWithKey(buf[:0], key), from)
}

// verdict returns whether the server holds a flow, as far as the agent knows.
func (a *Agent) verdict(key flow.Key, now time.Time) seek.Verdict {
	f := a.flows.Peek(key)
	switch {
	case f == nil && a.serverMayHold(key, now):
		return seek.Perhaps
	case f == nil || f.serverRestarts != a.server.Restarts() && f.phase != phaseProbing || a.server.IsDead(now):
		return seek.Denied
	case f.phase == phaseOpening:
		return seek.Opening
	case f.phase == phaseProbing:
		return seek.Perhaps
	}
	return seek.Held
}

// handleOpen sends the opening packet of a flow to the server, forwards it to another agent or refuses the flow.
func (a *Agent) handleOpen(head encap.Header, h flow.Header, b []byte, now time.Time) {
	key := h.KeyFromClient()
	if f := a.flows.Get(key, now); f != nil && f.serverRestarts == a.server.Restarts() {
		a.sendToServer(b[encap.HeaderSize:]) // A retransmission of the opening packet.
		return
	}
	if reason := a.refusalFor(head, h, now); reason != server.ReasonNone {
		a.forwardOrRefuse(key, head, h, b, string(reason))
		return
	}
	a.removeFlow(key)
	a.flows.Put(key, flowState{
		phase: phaseOpening, serverRestarts: a.server.Restarts(), entry: head.Entry, service: head.Service,
		secondChoice: head.Fallback, hops: head.Hops, claimPending: head.Hops > 0, firstSeen: now,
	}, now)
	a.server.RecordOpen(now)
	a.counters.Add("opened", 1)
	a.sendToServer(b[encap.HeaderSize:])
}

// refusalFor returns why a new flow must not reach the server, or ReasonNone. If the agent's configuration is newer than
// the entry's, the route must still lead to the service.
func (a *Agent) refusalFor(head encap.Header, h flow.Header, now time.Time) server.Reason {
	if route.ServiceID(a.serviceName()) != head.Service {
		return server.ReasonOtherService
	}
	if t := a.opts.Cluster.Table(); t != nil && t.Version > head.Version {
		if rt := t.Lookup(h.Dst); rt == nil || !rt.HasTarget(head.Service) {
			return server.ReasonOtherService
		}
	}
	return a.server.RefusalReason(now)
}

// forwardOrRefuse forwards a flow that no server has accepted to the second choice, or refuses it with a reset if there is
// none or the flow was forwarded maxHops times.
func (a *Agent) forwardOrRefuse(key flow.Key, head encap.Header, h flow.Header, b []byte, reason string) {
	forward := head.Hops < maxHops && head.Fallback.IsValid() && head.Fallback != a.opts.Self
	a.opts.FlowLog.Info("new flow not taken", zap.Stringer("flow", key), zap.String("reason", reason),
		zap.Bool("passed_on", forward), zap.Stringer("second", head.Fallback), zap.Uint64("version", head.Version))
	if !forward {
		a.counters.Add("open_refused", 1)
		a.sendReset(h)
		return
	}
	a.counters.Add("open_passed_on", 1)
	to := head.Fallback
	head.Hops++
	head.Fallback = netip.AddrPort{}
	head.Encode(b)
	a.send(a.opts.EncapConn, b, to)
}

// handleCarry processes a packet of an existing flow. A flow that isn't in the table but may be held by the server is
// probed: the server returns packets of flows that it doesn't hold.
func (a *Agent) handleCarry(from netip.AddrPort, head encap.Header, h flow.Header, b []byte, now time.Time) {
	key := h.KeyFromClient()
	f := a.flows.Get(key, now)
	switch {
	case f != nil && f.phase != phaseProbing && (f.serverRestarts != a.server.Restarts() || a.server.IsDead(now)):
		a.resetLostFlow(key, h, "backend server has ended")
		return
	case f == nil && !a.serverMayHold(key, now):
		a.returnToEntry(b, head, from)
		return
	case f == nil:
		f = a.flows.Put(key, flowState{
			phase: phaseProbing, serverRestarts: a.server.Restarts(), service: head.Service, answered: true, firstSeen: now,
			claimPending: head.Kind == encap.Probe,
		}, now)
		a.counters.Add("tried", 1)
	}
	f.entry = from
	if a.handleClientData(key, f, h, b[encap.HeaderSize:], now) {
		a.sendToServer(b[encap.HeaderSize:])
	}
}

// resetLostFlow resets a flow that the server has lost, so that the client can reconnect at once.
func (a *Agent) resetLostFlow(key flow.Key, h flow.Header, reason string) {
	a.opts.FlowLog.Warn("flow is lost", zap.Stringer("flow", key), zap.String("reason", reason))
	a.counters.Add("flow_lost", 1)
	a.removeFlow(key)
	a.denied.Put(key, struct{}{}, time.Now())
	if !h.Rst {
		a.sendReset(h)
	}
}

// returnToEntry returns a packet to the entry, which then searches for the flow's agent. The packet follows encap.HeaderSize free
// bytes in b.
func (a *Agent) returnToEntry(b []byte, head encap.Header, to netip.AddrPort) {
	a.counters.Add("returned", 1)
	returnHead := encap.Header{Kind: encap.Return, Service: head.Service}
	returnHead.Encode(b)
	a.send(a.opts.EncapConn, b, to)
}

// sendToServer sends a client's packet to the backend server.
func (a *Agent) sendToServer(packet []byte) {
	a.counters.Add("delivered", 1)
	a.send(a.opts.Outbound, packet, a.opts.Server)
}

// sendReset sends the client of packet h a reset for its flow.
func (a *Agent) sendReset(h flow.Header) {
	var buf [64]byte
	a.sendToClient(a.opts.Format.Reset(buf[:0], h), h.Src.Addr())
}

// sendToClient sends a packet to a client's address.
func (a *Agent) sendToClient(b []byte, client netip.Addr) {
	a.send(a.opts.Clients, b, netip.AddrPortFrom(client, a.clientPort))
}

// handleServerPacket processes a packet that the backend server sent or returned, which follows encap.HeaderSize free bytes in b.
func (a *Agent) handleServerPacket(from netip.AddrPort, b []byte) {
	if from.Addr() != a.opts.Server.Addr() && !from.Addr().IsLoopback() {
		a.counters.Add("server_foreign", 1)
		return
	}
	h, ok := a.opts.Format.Parse(b[encap.HeaderSize:])
	if !ok {
		a.counters.Add("server_damaged", 1)
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.RecordPacket(now)
	if h.Bounced {
		a.opts.Format.Restore(b[encap.HeaderSize:])
		a.handleBounced(h, b, now)
		return
	}
	a.trackServerPacket(h, now)
	a.sendToClient(b[encap.HeaderSize:], h.Dst.Addr())
}

// trackServerPacket updates the flow of a packet that the server sent. Flows that aren't in the table are added.
func (a *Agent) trackServerPacket(h flow.Header, now time.Time) {
	key := h.KeyFromServer()
	f := a.flows.Get(key, now)
	if f == nil {
		if h.Rst || h.Syn {
			return
		}
		f = a.flows.Put(key, flowState{
			phase: phaseOpening, serverRestarts: a.server.Restarts(), firstSeen: now, answered: true,
		}, now)
	}
	if h.Syn && f.phase == phaseOpening {
		a.countOpenFlow(f)
	}
	if !h.Syn && (f.phase == phaseOpening || f.phase == phaseProbing) {
		f.serverRestarts = a.server.Restarts()
		a.setPhase(f, phaseOpen)
	}
	if f.claimPending && !h.Rst {
		a.sendClaim(key, f)
	}
	a.handleServerData(key, f, h, now)
}

// handleBounced processes a client's packet that the server returned because it can't accept the new flow or doesn't hold
// the flow.
func (a *Agent) handleBounced(h flow.Header, b []byte, now time.Time) {
	key := h.KeyFromClient()
	f := a.flows.Get(key, now)
	if f == nil {
		a.counters.Add("bounced_unknown", 1)
		return
	}
	prev := *f
	a.removeFlow(key)
	if h.Opens() {
		a.forwardOrRefuse(key, encap.Header{
			Kind: encap.Open, Hops: prev.hops, Service: prev.service, Fallback: prev.secondChoice, Entry: prev.entry,
		}, h, b, "server_full")
		return
	}
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
