package deliv

import (
	"bytes"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/pace"
)

const (
	// spareRequests is how many requests more than its slots a server gets, so that it never waits for the agent.
	spareRequests = 1
	// longWait is from when a wait is logged: about the latency objectives of the shortest routes.
	longWait = 100 * time.Millisecond
	// stuckAfter is how long a request may keep a slot without an answer: long against the longest work.
	stuckAfter = 1500 * time.Millisecond
)

// phase is how far a flow has come at the backend server.
type phase uint8

const (
	// opening was offered to the server.
	opening phase = iota
	// tried may be held by the server; one of its packets was delivered to see.
	tried
	// open is held by the server.
	open
	// closed has ended; late packets are still delivered, for the server to answer.
	closed
)

// held is what the agent knows of a flow.
type held struct {
	phase phase
	// start is the start of the server at which the flow was opened.
	start int
	// entry is the entry that the newest packet came through.
	entry   netip.AddrPort
	service uint64
	// second is the agent that an opening packet may be passed on to, after hops.
	second netip.AddrPort
	hops   uint8
	// claim says that the entry doesn't expect the flow here.
	claim bool
	// opened is when the agent first saw the flow; saved says that the last saved list has it.
	opened time.Time
	saved  bool
	// serverEnd is the sequence number after the server's last byte, which the client acknowledges next.
	serverEnd uint32
	// clientEnd is the sequence number after the client's last byte.
	clientEnd uint32
	seen      bool
	// busy says that a request came at began and that no answer has begun. It waits with its packets kept, or was
	// delivered at sent as one of among.
	busy, waits          bool
	began, sent          time.Time
	among                int
	kept                 [][]byte
	answered             bool
	clientFin, serverFin bool
	// counted says that the count of flows has it.
	counted bool
}

// setPhase changes a flow's phase, and counts flows that become open or closed.
func (a *Agent) setPhase(f *held, p phase) {
	f.phase = p
	switch {
	case p == open:
		a.tally(f)
	case p == closed && f.counted:
		f.counted = false
		a.open--
	}
}

// tally counts a flow as a part of the server's load: from the server's answer to its opening on, since clients that
// open many flows before they use them would all be sent to the same server otherwise.
func (a *Agent) tally(f *held) {
	if !f.counted {
		f.counted = true
		a.open++
	}
}

// release takes a flow that is over out of the counts.
func (a *Agent) release(key flow.Key, f *held) {
	if f.busy {
		f.busy, f.waits, f.kept = false, false, nil
		a.queue.Remove(key)
		a.dispatch(time.Now())
	}
	a.setPhase(f, closed)
}

func (a *Agent) forget(key flow.Key) {
	if f := a.flows.Peek(key); f != nil {
		a.release(key, f)
		a.flows.Delete(key)
	}
}

// clientData notes a client's packet: new bytes after an answer, or the first ones, begin a request. It reports
// whether the packet may go to the server now; else it is kept until its request's turn.
func (a *Agent) clientData(key flow.Key, f *held, h flow.Head, packet []byte, now time.Time) bool {
	if h.Fin {
		f.clientFin = true
	}
	if h.Rst {
		a.release(key, f)
		return true
	}
	if h.Len == 0 && !(h.Fin && f.waits) {
		return true
	}
	if f.waits {
		f.keep(packet)
		return false
	}
	end := h.Seq + uint32(h.Len)
	if f.seen && int32(end-f.clientEnd) <= 0 {
		return true
	}
	f.seen, f.clientEnd = true, end
	if f.busy {
		return true
	}
	f.busy, f.waits, f.began = true, true, now
	a.server.RecordRequest(f.answered, now)
	a.queue.Add(a.request(key, now))
	f.keep(packet)
	a.dispatch(now)
	return false
}

// defaultObjective and defaultTimeout stand for those of a route that isn't known.
const (
	defaultObjective = 200 * time.Millisecond
	defaultTimeout   = 3 * time.Second
)

// request returns what the order of requests rests on.
func (a *Agent) request(key flow.Key, now time.Time) pace.Request[flow.Key] {
	r := pace.Request[flow.Key]{ID: key, Objective: now.Add(defaultObjective), Deadline: now.Add(defaultTimeout)}
	if rt := a.opts.Cluster.Table().Lookup(key.Service()); rt != nil {
		r.Priority, r.Objective, r.Deadline = rt.Priority, now.Add(rt.Objective), now.Add(rt.Timeout)
	}
	return r
}

// maxKept bounds the packets that are kept for a waiting request: a client has at most 16 on their way.
const maxKept = 18

// keep stores a packet until the flow's request gets its turn. Copies of what is stored are dropped.
func (f *held) keep(packet []byte) {
	for _, k := range f.kept {
		if bytes.Equal(k, packet) {
			return
		}
	}
	if len(f.kept) < maxKept {
		f.kept = append(f.kept, bytes.Clone(packet))
	}
}

// dispatch gives waiting requests to the server as long as it has room.
func (a *Agent) dispatch(now time.Time) {
	for {
		key, ok := a.queue.Next(now, a.server.Slots()+spareRequests, a.server.ExpectedServiceTime(now))
		if !ok {
			return
		}
		f := a.flows.Peek(key)
		if f == nil {
			a.queue.Remove(key)
			continue
		}
		waited := now.Sub(f.began)
		a.waits.RecordDuration(waited)
		if waited > longWait {
			a.opts.FlowLog.Info("request waited", zap.Stringer("flow", key), zap.Duration("waited", waited),
				zap.Int("still_waiting", a.queue.Waiting()), zap.Int("running", a.queue.Running()), zap.Int("slots", a.server.Slots()),
				zap.Duration("service", a.server.MeanServiceTime()))
		}
		f.waits, f.sent, f.among = false, now, a.queue.Running()
		for _, packet := range f.kept {
			a.deliver(packet)
		}
		f.kept = nil
	}
}

// serverData notes a packet of the server: its first bytes after a request begin the answer.
func (a *Agent) serverData(key flow.Key, f *held, h flow.Head, now time.Time) {
	f.serverEnd = h.Seq + uint32(h.Len)
	if h.Fin {
		f.serverFin = true
	}
	if h.Len > 0 && f.busy && !f.waits {
		f.busy, f.answered = false, true
		a.queue.Remove(key)
		a.server.RecordResponse(now.Sub(f.sent), f.among)
		a.dispatch(now)
	}
	if h.Rst || (f.clientFin && f.serverFin) {
		a.release(key, f)
	}
}

// expire takes requests out whose callers have given up, or which the server does not answer.
func (a *Agent) expire(now time.Time) {
	waited, ran := a.queue.Expire(now, stuckAfter)
	for _, key := range append(waited, ran...) {
		if f := a.flows.Peek(key); f != nil {
			f.busy, f.waits, f.kept = false, false, nil
		}
	}
	if len(waited) > 0 || len(ran) > 0 {
		a.counts.Add("requests_given_up", int64(len(waited)))
		a.counts.Add("requests_stuck", int64(len(ran)))
		a.opts.FlowLog.Warn("requests without an answer", zap.Int("waited", len(waited)), zap.Int("ran", len(ran)),
			zap.Int("waiting", a.queue.Waiting()), zap.Duration("service", a.server.MeanServiceTime()))
		a.dispatch(now)
	}
}

// whole reports whether the table holds all flows of the server.
func (a *Agent) isWhole(now time.Time) bool { return !now.Before(a.whole) }

// mayHold reports whether the server may hold a flow that the table lacks.
func (a *Agent) mayHold(key flow.Key, now time.Time) bool {
	return !a.isWhole(now) && a.denied.Peek(key) == nil && !a.server.IsDead(now)
}

// claimFlow tells an entry that the flow is here.
func (a *Agent) claimFlow(key flow.Key, f *held) {
	f.claim = false
	if !f.entry.IsValid() {
		return
	}
	head := hop.Head{Kind: hop.Claim, Service: f.service}
	var room [hop.Size + flow.KeySize]byte
	a.write(a.opts.Hops, head.PutKey(room[:0], key), f.entry)
}

// endFlows tells the clients of flows that the server has lost by starting again or leaving, also of those that are idle:
// a request on such a flow would be lost, and one that must not be repeated would fail.
func (a *Agent) endFlows(lost func(*held) bool, why string) {
	var keys []flow.Key
	a.flows.Each(func(k flow.Key, f *held) {
		if (f.phase == open || f.phase == opening) && lost(f) {
			keys = append(keys, k)
		}
	})
	for _, k := range keys {
		a.endFlow(k, a.flows.Peek(k).serverEnd)
	}
	if len(keys) > 0 {
		a.opts.Log.Info("flows of the server are lost", zap.Int("flows", len(keys)), zap.String("reason", why))
	}
}

// endFlow tells a client that its flow is lost; acknowledged is near the number that the client acknowledged last.
func (a *Agent) endFlow(key flow.Key, acknowledged uint32) {
	a.forget(key)
	a.denied.Put(key, struct{}{}, time.Now())
	a.counts.Add("flow_ended", 1)
	a.reset(flow.Head{Src: key.Client(), Dst: key.Service(), Ack: true, AckNumber: acknowledged})
}
