package deliv

import (
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

func (a *Agent) write(conn *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		a.counts.Add("send_failed", 1)
	}
}

// fromHop handles a datagram of another process; it stands in b behind hop.Size unused bytes.
func (a *Agent) fromHop(from netip.AddrPort, b []byte) {
	b = b[hop.Size:]
	head, body, err := hop.Parse(b)
	if err != nil {
		a.counts.Add("hop_damaged", 1)
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch head.Kind {
	case hop.Ask:
		a.asked(from, body, now)
		return
	case hop.List:
		a.list(from, body, now)
		return
	}
	h, ok := a.opts.Format.Parse(body)
	if !ok {
		a.counts.Add("hop_damaged", 1)
		return
	}
	switch head.Kind {
	case hop.Open:
		a.offered(head, h, b, now)
	case hop.Carry, hop.Probe:
		a.carried(from, head, h, b, now)
	default:
		a.counts.Add("hop_unexpected", 1)
	}
}

// asked answers whether the server holds a flow.
func (a *Agent) asked(from netip.AddrPort, body []byte, now time.Time) {
	key, ok := hop.Key(body)
	if !ok {
		a.counts.Add("hop_damaged", 1)
		return
	}
	head := hop.Head{Kind: hop.Answer, Verdict: a.verdict(key, now)}
	var room [hop.Size + flow.KeySize]byte
	a.write(a.opts.Hops, head.PutKey(room[:0], key), from)
}

func (a *Agent) verdict(key flow.Key, now time.Time) seek.Verdict {
	f := a.flows.Peek(key)
	switch {
	case f == nil && a.mayHold(key, now):
		return seek.Perhaps
	case f == nil || f.start != a.server.Restarts() && f.phase != tried || a.server.IsDead(now):
		return seek.Denied
	case f.phase == opening:
		return seek.Opening
	case f.phase == tried:
		return seek.Perhaps
	}
	return seek.Held
}

// offered takes a new flow, passes it on, or refuses it.
func (a *Agent) offered(head hop.Head, h flow.Head, b []byte, now time.Time) {
	key := h.FromClient()
	if f := a.flows.Get(key, now); f != nil && f.start == a.server.Restarts() {
		a.deliver(b[hop.Size:]) // A copy of an opening packet.
		return
	}
	if reason := a.refusal(head, h, now); reason != server.ReasonNone {
		a.passOn(key, head, h, b, string(reason))
		return
	}
	a.forget(key)
	a.flows.Put(key, held{
		phase: opening, start: a.server.Restarts(), entry: head.Entry, service: head.Service, second: head.Second,
		hops: head.Hops, claim: head.Hops > 0, opened: now,
	}, now)
	a.server.RecordOpen(now)
	a.counts.Add("opened", 1)
	a.deliver(b[hop.Size:])
}

// refusal returns why a new flow must not reach the server.
func (a *Agent) refusal(head hop.Head, h flow.Head, now time.Time) server.Reason {
	if route.Number(a.service()) != head.Service {
		return server.ReasonOtherService
	}
	if t := a.opts.Cluster.Table(); t != nil && t.Version > head.Version {
		if rt := t.Lookup(h.Dst); rt == nil || !rt.Serves(head.Service) {
			return server.ReasonOtherService
		}
	}
	return a.server.RefusalReason(now)
}

// passOn gives a new flow to the second choice, or refuses it: it has reached no server.
func (a *Agent) passOn(key flow.Key, head hop.Head, h flow.Head, b []byte, reason string) {
	onward := head.Hops < maxHops && head.Second.IsValid() && head.Second != a.opts.Self
	a.opts.FlowLog.Info("new flow not taken", zap.Stringer("flow", key), zap.String("reason", reason),
		zap.Bool("passed_on", onward), zap.Stringer("second", head.Second), zap.Uint64("version", head.Version))
	if !onward {
		a.counts.Add("open_refused", 1)
		a.reset(h)
		return
	}
	a.counts.Add("open_passed_on", 1)
	to := head.Second
	head.Hops++
	head.Second = netip.AddrPort{}
	head.Put(b)
	a.write(a.opts.Hops, b, to)
}

// carried delivers a packet of a flow that the server holds or may hold.
func (a *Agent) carried(from netip.AddrPort, head hop.Head, h flow.Head, b []byte, now time.Time) {
	key := h.FromClient()
	f := a.flows.Get(key, now)
	switch {
	case f != nil && f.phase != tried && (f.start != a.server.Restarts() || a.server.IsDead(now)):
		a.lost(key, h, "backend server has ended")
		return
	case f == nil && !a.mayHold(key, now):
		a.giveBack(b, head, from)
		return
	case f == nil:
		f = a.flows.Put(key, held{phase: tried, start: a.server.Restarts(), service: head.Service, answered: true, opened: now, claim: head.Kind == hop.Probe}, now)
		a.counts.Add("tried", 1)
	}
	f.entry = from
	if a.clientData(key, f, h, b[hop.Size:], now) {
		a.deliver(b[hop.Size:])
	}
}

// lost ends a flow whose server has ended, so that its client can come back at once.
func (a *Agent) lost(key flow.Key, h flow.Head, why string) {
	a.opts.FlowLog.Warn("flow is lost", zap.Stringer("flow", key), zap.String("reason", why))
	a.counts.Add("flow_lost", 1)
	a.forget(key)
	a.denied.Put(key, struct{}{}, time.Now())
	if !h.Rst {
		a.reset(h)
	}
}

// giveBack returns a packet to the entry, which looks for the flow elsewhere. Room for the head is in front of it.
func (a *Agent) giveBack(b []byte, head hop.Head, to netip.AddrPort) {
	a.counts.Add("returned", 1)
	back := hop.Head{Kind: hop.Return, Service: head.Service}
	back.Put(b)
	a.write(a.opts.Hops, b, to)
}

func (a *Agent) deliver(packet []byte) {
	a.counts.Add("delivered", 1)
	a.write(a.opts.Outbound, packet, a.opts.Server)
}

// reset ends a client's flow.
func (a *Agent) reset(h flow.Head) {
	var room [64]byte
	a.toClient(a.opts.Format.Reset(room[:0], h), h.Src.Addr())
}

func (a *Agent) toClient(b []byte, client netip.Addr) {
	a.write(a.opts.Clients, b, netip.AddrPortFrom(client, a.clientPort))
}

// fromServer handles a packet that the backend server sent or gave back; it stands in b behind room for a hop head.
func (a *Agent) fromServer(from netip.AddrPort, b []byte) {
	if from.Addr() != a.opts.Server.Addr() && !from.Addr().IsLoopback() {
		a.counts.Add("server_foreign", 1)
		return
	}
	h, ok := a.opts.Format.Parse(b[hop.Size:])
	if !ok {
		a.counts.Add("server_damaged", 1)
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.RecordPacket(now)
	if h.Bounced {
		a.opts.Format.Restore(b[hop.Size:])
		a.bounced(h, b, now)
		return
	}
	a.answered(h, now)
	a.toClient(b[hop.Size:], h.Dst.Addr())
}

// answered notes a packet that the server wrote.
func (a *Agent) answered(h flow.Head, now time.Time) {
	key := h.FromServer()
	f := a.flows.Get(key, now)
	if f == nil {
		if h.Rst || h.Syn {
			return
		}
		f = a.flows.Put(key, held{phase: opening, start: a.server.Restarts(), opened: now, answered: true}, now)
	}
	if h.Syn && f.phase == opening {
		a.tally(f)
	}
	if !h.Syn && (f.phase == opening || f.phase == tried) {
		f.start = a.server.Restarts()
		a.setPhase(f, open)
	}
	if f.claim && !h.Rst {
		a.claimFlow(key, f)
	}
	a.serverData(key, f, h, now)
}

// bounced handles a packet that the server gave back: it can't take the new flow, or doesn't hold this one.
func (a *Agent) bounced(h flow.Head, b []byte, now time.Time) {
	key := h.FromClient()
	f := a.flows.Get(key, now)
	if f == nil {
		a.counts.Add("bounced_unknown", 1)
		return
	}
	was := *f
	a.forget(key)
	if h.Opens() {
		a.passOn(key, hop.Head{
			Kind: hop.Open, Hops: was.hops, Service: was.service, Second: was.second, Entry: was.entry,
		}, h, b, "server_full")
		return
	}
	a.denied.Put(key, struct{}{}, now)
	if was.phase == closed {
		return // Both ends have finished; a late packet needs no answer.
	}
	if was.phase == open {
		a.lost(key, h, "backend server doesn't hold it any more")
		return
	}
	a.counts.Add("bounced", 1)
	if was.entry.IsValid() {
		a.giveBack(b, hop.Head{Service: was.service}, was.entry)
	}
}
