package deliv

import (
	"bytes"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/pace"
)

const (
	// slotHeadroom is the number of requests sent to the server beyond its slots, so that a free slot doesn't wait for
	// the agent.
	slotHeadroom = 1
	// longWaitThreshold is the queueing time above which a request is logged, about the lowest latency objective of a
	// route.
	longWaitThreshold = 100 * time.Millisecond
	// stuckTimeout is how long a request may occupy a slot without a response. It is well above the longest service time.
	stuckTimeout = 1500 * time.Millisecond
)

// flowPhase is the state of a flow's connection to the backend server.
type flowPhase uint8

const (
	// phaseOpening: the SYN was sent to the server, and the handshake isn't complete.
	phaseOpening flowPhase = iota
	// phaseProbing: the agent doesn't know whether the server holds the flow and has sent it a packet to find out.
	phaseProbing
	// phaseUnconfirmed: there is a sign that the server holds the flow, such as an entry of a saved list, but it has sent no packet that shows
	// it since. Addresses and ports may be those of a later flow, at this or another server. The server decides on each packet.
	phaseUnconfirmed
	// phaseOpen: the server holds the flow.
	phaseOpen
	// phaseClosed: the flow has ended. Late packets still go to the server, which responds to them.
	phaseClosed
)

// String returns the phase's name in logs.
func (p flowPhase) String() string {
	switch p {
	case phaseOpening:
		return "opening"
	case phaseProbing:
		return "probing"
	case phaseUnconfirmed:
		return "unconfirmed"
	case phaseOpen:
		return "open"
	default:
		return "closed"
	}
}

// flowState is the agent's record of a flow.
type flowState struct {
	phase flowPhase
	// serverRestarts is the server's restart count when the flow was opened.
	serverRestarts int
	// entry is the entry that forwarded the newest packet.
	entry   netip.AddrPort
	service uint64
	// fallback is the agent that the SYN may be passed on to; hops is how often it was passed on before.
	fallback netip.AddrPort
	hops     uint8
	// claimPending means that the entry must be sent a claim once the server responds: it expects the flow at another
	// agent, or is probing for it.
	claimPending bool
	// probed is set once an entry has probed for the flow here. The first request then doesn't wait for a free slot.
	probed bool
	// bareInRow counts the client's packets without data while the server hasn't decided whether it holds the flow.
	bareInRow int
	// firstSeen is when the agent first saw the flow; saved means that the last saved list contains it.
	firstSeen time.Time
	saved     bool
	// serverNextSeq is the sequence number after the server's last byte, which the client will acknowledge. While the flow is
	// opening, it is that of the server's SYN+ACK, once synAckSeen is set.
	serverNextSeq uint32
	synAckSeen    bool
	// synSeq is the sequence number of the flow's SYN, once synSeen is set.
	synSeq  uint32
	synSeen bool
	// chosen means that the client has acknowledged the server's SYN+ACK, so that the server holds the flow once the packet arrives.
	chosen bool
	// wasOpen means that the server may have held the flow before it was closed. resetByServer means that the server closed it by an RST, and
	// that no packet of another flow with the key has come since.
	wasOpen, resetByServer bool
	// numbers tell the packets of the flow from those of others with the same key: of the client's SYN, and of the server's packets once it
	// holds the flow. On an undecided flow they are those of a SYN that the server was sent since.
	numbers flow.Numbers
	// clientNextSeq is the sequence number after the client's last byte.
	clientNextSeq  uint32
	clientDataSeen bool
	// requestPending means that a request arrived at requestedAt and no response has begun. Either requestQueued is set
	// and the packets are in buffered, or the request went to the server.
	requestPending, requestQueued bool
	requestedAt                   time.Time
	buffered                      [][]byte
	// responseSeen means that the flow has carried a response, so that its next request isn't its first. It is also set for
	// a flow that the agent hasn't seen from its start.
	responseSeen         bool
	clientFin, serverFin bool
	// counted means that openFlows includes the flow.
	counted bool
}

// setPhase changes a flow's phase and updates the number of open flows.
func (a *Agent) setPhase(f *flowState, phase flowPhase) {
	if phase == phaseClosed {
		f.wasOpen = f.wasOpen || f.phase == phaseOpen || f.phase == phaseOpening && f.chosen
	}
	f.phase = phase
	switch {
	case phase == phaseOpen:
		a.countOpenFlow(f)
	case phase == phaseClosed && f.counted:
		f.counted = false
		a.openFlows--
	}
}

// countOpenFlow adds a flow to the server's load. A flow counts as soon as the server accepts its SYN: otherwise flows that
// are opened at the same time and used later would all be placed on the same server.
func (a *Agent) countOpenFlow(f *flowState) {
	if !f.counted {
		f.counted = true
		a.openFlows++
	}
}

// closeFlow cancels a pending request of a flow and marks the flow as closed. It stays in the table.
func (a *Agent) closeFlow(key flow.Key, f *flowState) {
	if f.requestPending {
		f.requestPending, f.requestQueued, f.buffered = false, false, nil
		a.queue.Remove(key)
		a.serviceTimer.Cancel(key)
		a.dispatch(time.Now())
	}
	a.setPhase(f, phaseClosed)
}

// removeFlow closes a flow and deletes it from the table.
func (a *Agent) removeFlow(key flow.Key) {
	if f := a.flows.Peek(key); f != nil {
		a.closeFlow(key, f)
		a.flows.Delete(key)
	}
}

// handleClientData processes a client's packet. New bytes start a request if the flow has none pending. It reports
// whether the packet may go to the server now; otherwise it was buffered until its request is dispatched.
func (a *Agent) handleClientData(key flow.Key, f *flowState, h flow.Header, packet []byte, now time.Time) bool {
	if h.Fin {
		f.clientFin = true
	}
	if h.Rst {
		a.handleClientReset(key, f)
		return true
	}
	if h.Len == 0 && !(h.Fin && f.requestQueued) {
		return true
	}
	if f.requestQueued {
		f.buffer(packet)
		return false
	}
	end := h.Seq + uint32(h.Len)
	if f.clientDataSeen && int32(end-f.clientNextSeq) <= 0 {
		return true
	}
	f.clientDataSeen, f.clientNextSeq = true, end
	if f.requestPending {
		return true
	}
	if f.probed && f.awaitsServer() {
		f.requestPending, f.requestedAt = true, now
		a.startRequest(key, f, now)
		return true
	}
	f.requestPending, f.requestQueued, f.requestedAt = true, true, now
	a.server.RecordRequest(f.responseSeen, now)
	a.queue.Add(a.newRequest(key, now))
	f.buffer(packet)
	a.dispatch(now)
	return false
}

// handleClientReset closes a flow that its client has reset. On one that the server hasn't confirmed the RST may be a late one of an earlier
// flow with the same key.
func (a *Agent) handleClientReset(key flow.Key, f *flowState) {
	if !f.isUndecided() {
		a.closeFlow(key, f)
	}
}

// startRequest marks a request as sent to the server without waiting for a free slot.
func (a *Agent) startRequest(key flow.Key, f *flowState, now time.Time) {
	a.queue.Remove(key)
	a.queue.Start(key, now)
	a.serviceTimer.Send(key, a.server.Slots(), now)
	f.requestQueued = false
}

// isHeldElsewhere reports whether the server certainly doesn't hold the flow of a client's packet h, whose state is f or nil. A
// server that the client didn't choose would return the packet itself, but a request might wait for a slot first.
func (a *Agent) isHeldElsewhere(key flow.Key, f *flowState, kind encap.Kind, h flow.Header, now time.Time) bool {
	if f == nil {
		return !a.serverMayHold(key, now) && (kind != encap.Probe || !a.serverMayBeProbed(key, now))
	}
	return f.handshakeWith(h) == choseAnother || h.Len == 0 && f.isUnanswered()
}

// sendProbe sends the queued packets of a flow to the server at once: the entry waits for the server's decision, and only
// one of the probed servers holds the flow. It claims the flow if the probing packet h shows that this server does.
func (a *Agent) sendProbe(key flow.Key, f *flowState, h flow.Header, now time.Time) {
	if f.handshakeWith(h) == choseServer || f.phase == phaseOpen && f.numbers.Match(h) == flow.Same {
		a.sendClaim(key, f, h, now)
	}
	f.probed = true
	if !f.awaitsServer() {
		return
	}
	f.claimPending = true
	if !f.requestQueued {
		return
	}
	a.startRequest(key, f, now)
	for _, packet := range f.buffered {
		a.sendToServer(packet)
	}
	f.buffered = nil
}

// defaultObjective and defaultTimeout apply to flows without a known route.
const (
	defaultObjective = 200 * time.Millisecond
	defaultTimeout   = 3 * time.Second
)

// newRequest returns a queue entry with the priority, objective and deadline of the flow's route.
func (a *Agent) newRequest(key flow.Key, now time.Time) pace.Request[flow.Key] {
	r := pace.Request[flow.Key]{ID: key, Objective: now.Add(defaultObjective), Deadline: now.Add(defaultTimeout)}
	if rt := a.opts.Cluster.Table().Lookup(key.Service()); rt != nil {
		r.Priority, r.Objective, r.Deadline = rt.Priority, now.Add(rt.Objective), now.Add(rt.Timeout)
	}
	return r
}

// maxBufferedPackets bounds the packets buffered for a queued request. A client has at most 16 packets in flight.
const maxBufferedPackets = 18

// buffer stores a packet until the flow's request is dispatched. Duplicates are dropped.
func (f *flowState) buffer(packet []byte) {
	for _, k := range f.buffered {
		if bytes.Equal(k, packet) {
			return
		}
	}
	if len(f.buffered) < maxBufferedPackets {
		f.buffered = append(f.buffered, bytes.Clone(packet))
	}
}

// dispatch sends queued requests to the server while it has free slots.
func (a *Agent) dispatch(now time.Time) {
	for {
		key, ok := a.queue.Next(now, a.server.Slots()+slotHeadroom, a.server.ExpectedServiceTime(now))
		if !ok {
			return
		}
		f := a.flows.Peek(key)
		if f == nil {
			a.queue.Remove(key)
			continue
		}
		waited := now.Sub(f.requestedAt)
		a.waitTimes.RecordDuration(waited)
		if waited > longWaitThreshold {
			a.opts.FlowLog.Info("request waited", zap.Stringer("flow", key), zap.Duration("waited", waited),
				zap.Int("still_waiting", a.queue.Waiting()), zap.Int("running", a.queue.Running()), zap.Int("slots", a.server.Slots()),
				zap.Duration("service", a.server.MeanServiceTime()))
		}
		a.serviceTimer.Send(key, a.server.Slots(), now)
		f.requestQueued = false
		for _, packet := range f.buffered {
			a.sendToServer(packet)
		}
		f.buffered = nil
	}
}

// handleServerData processes a packet of the server. The first bytes after a request are the start of the response and
// free the request's slot.
func (a *Agent) handleServerData(key flow.Key, f *flowState, h flow.Header, now time.Time) {
	f.recordNumbers(h)
	if h.Fin {
		f.serverFin = true
	}
	if h.Len > 0 && f.requestPending && !f.requestQueued {
		f.requestPending, f.responseSeen = false, true
		a.queue.Remove(key)
		if serviceTime, ok := a.serviceTimer.Complete(key, now); ok {
			a.server.RecordServiceTime(serviceTime)
		}
		a.dispatch(now)
	}
	f.resetByServer = f.resetByServer || h.Rst
	if h.Rst || (f.clientFin && f.serverFin) {
		a.closeFlow(key, f)
	}
}

// expireRequests removes queued requests past their deadline and running ones without a response within stuckTimeout.
func (a *Agent) expireRequests(now time.Time) {
	expired, stuck := a.queue.Expire(now, stuckTimeout)
	for _, key := range append(expired, stuck...) {
		a.serviceTimer.Cancel(key)
		if f := a.flows.Peek(key); f != nil {
			f.requestPending, f.requestQueued, f.buffered = false, false, nil
		}
	}
	if len(expired) > 0 || len(stuck) > 0 {
		a.counters.Add("requests_given_up", int64(len(expired)))
		a.counters.Add("requests_stuck", int64(len(stuck)))
		a.opts.FlowLog.Warn("requests without an answer", zap.Int("waited", len(expired)), zap.Int("ran", len(stuck)),
			zap.Int("waiting", a.queue.Waiting()), zap.Duration("service", a.server.MeanServiceTime()))
		a.dispatch(now)
	}
}

// tableComplete reports whether the table holds all flows of the server.
func (a *Agent) tableComplete(now time.Time) bool { return !now.Before(a.tableCompleteAt) }

// deniesWithCertainty reports whether the start or end of the server shows that it doesn't hold the flows that the agent denies since they
// aren't in the table. That none can have been idle for so long shows less: the client's packets may not have come here.
func (a *Agent) deniesWithCertainty(now time.Time) bool {
	return a.server.HasEnded() || a.tableComplete(now) && a.completeByStart
}

// serverMayHold reports whether the server may hold a flow that isn't in the table.
func (a *Agent) serverMayHold(key flow.Key, now time.Time) bool {
	return (!a.tableComplete(now) || a.asked.Peek(key) != nil) && a.denied.Peek(key) == nil && !a.server.HasEnded()
}

// serverMayBeProbed reports whether an entry may probe the server for a flow that isn't in the table: its search may have begun before the
// table was complete.
func (a *Agent) serverMayBeProbed(key flow.Key, now time.Time) bool {
	wasIncomplete := a.tableCompleteAt.After(a.startedAt) && !a.completeByStart
	return wasIncomplete && now.Sub(a.tableCompleteAt) < searchMargin && a.denied.Peek(key) == nil && !a.server.HasEnded()
}

// sendClaim notifies the flow's entry that this agent holds the flow. by is the packet that shows it, for the log.
func (a *Agent) sendClaim(key flow.Key, f *flowState, by flow.Header, now time.Time) {
	f.claimPending = false
	if !f.entry.IsValid() {
		return
	}
	if logEntry := a.opts.FlowLog.Check(zap.InfoLevel, "flow claimed"); logEntry != nil {
		logEntry.Write(append(a.flowFields(key, f, now), zap.Bool("by_client", by.KeyFromClient() == key), zap.Bool("syn", by.Syn),
			zap.Bool("fin", by.Fin), zap.Int("len", by.Len))...)
	}
	a.sendKey(encap.Header{Kind: encap.Claim, Service: f.service}, key, f.entry)
}

// keepFlowsSince assigns the flows that were first seen after start to the latest start of the server: it accepts flows before
// its first heartbeat, while the agent takes it for the earlier start. A server that stood still has begun before start, by the number of
// its heartbeats, but not before earliest: it decides on the flows that were first seen between the two.
func (a *Agent) keepFlowsSince(start, earliest time.Time) {
	a.flows.Each(func(_ flow.Key, f *flowState) {
		if !f.firstSeen.After(start) && !f.firstSeen.After(earliest) {
			return
		}
		f.serverRestarts = a.server.Restarts()
		if f.phase == phaseOpen && !f.firstSeen.After(start) {
			f.unconfirm()
		}
	})
}

// resetFlows resets the open flows that the server lost by a restart or shutdown. Idle flows are reset too: a later request on
// one would be lost, and would fail if it must not be repeated. Opening and unconfirmed flows are removed only: they may be open at another
// server, which took a copy of the SYN, or to which the client has opened a later flow. So are those that have been idle for so long that they
// may be discarded.
func (a *Agent) resetFlows(lost func(*flowState) bool, reason string) {
	var keys, unheld []flow.Key
	idleSince := time.Now().Add(-a.idleTimeout)
	a.flows.Each(func(k flow.Key, f *flowState) {
		switch {
		case !lost(f):
		case f.phase == phaseOpen && a.flows.UsedSince(k, idleSince):
			keys = append(keys, k)
		case f.phase == phaseOpen || f.phase == phaseOpening || f.phase == phaseUnconfirmed:
			unheld = append(unheld, k)
		}
	})
	for _, k := range unheld {
		a.removeFlow(k)
		a.denied.Put(k, struct{}{}, time.Now())
	}
	for _, k := range keys {
		f := a.flows.Peek(k)
		a.opts.FlowLog.Warn("flow is lost", append(a.flowFields(k, f, time.Now()), zap.String("reason", reason), zap.Bool("reset", true))...)
		a.resetFlow(k, f.serverNextSeq)
	}
	if len(keys) > 0 {
		a.opts.Log.Info("flows of the server are lost", zap.Int("flows", len(keys)), zap.String("reason", reason))
	}
}

// resetFlow removes a lost flow and resets its client. ackNumber is close to the last acknowledgement of the client.
func (a *Agent) resetFlow(key flow.Key, ackNumber uint32) {
	a.removeFlow(key)
	a.denied.Put(key, struct{}{}, time.Now())
	a.counters.Add("flow_ended", 1)
	a.sendReset(flow.Header{Src: key.Client(), Dst: key.Service(), Ack: true, AckNumber: ackNumber})
}
