package deliv

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
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
	// clientEnd is the sequence number after the client's last byte.
	clientEnd uint32
	seen      bool
	// busy says that a request was delivered at began, as one of among, and that no answer has begun.
	busy                 bool
	began                time.Time
	among                int
	answered             bool
	clientFin, serverFin bool
}

// setPhase changes a flow's phase, and keeps the count of open flows.
func (a *Agent) setPhase(f *held, p phase) {
	if f.phase == open {
		a.open--
	}
	f.phase = p
	if p == open {
		a.open++
	}
}

// release takes a flow that is forgotten out of the counts.
func (a *Agent) release(f *held) {
	if f.busy {
		f.busy = false
		a.server.Drop()
	}
	a.setPhase(f, closed)
}

func (a *Agent) forget(key flow.Key) {
	if f := a.flows.Peek(key); f != nil {
		a.release(f)
		a.flows.Delete(key)
	}
}

// clientData notes a client's packet that was delivered: new bytes after an answer, or the first ones, begin a request.
func (a *Agent) clientData(f *held, h flow.Head, now time.Time) {
	if h.Fin {
		f.clientFin = true
	}
	if h.Len == 0 {
		return
	}
	end := h.Seq + uint32(h.Len)
	fresh := !f.seen || int32(end-f.clientEnd) > 0
	if !fresh {
		return
	}
	f.seen, f.clientEnd = true, end
	if f.busy {
		return
	}
	f.busy, f.began = true, now
	f.among = a.server.Begin(f.answered, now)
}

// serverData notes a packet of the server: its first bytes after a request begin the answer.
func (a *Agent) serverData(f *held, h flow.Head, now time.Time) {
	if h.Fin {
		f.serverFin = true
	}
	if h.Len > 0 && f.busy {
		f.busy, f.answered = false, true
		a.server.End(now.Sub(f.began), f.among)
	}
	if h.Rst || (f.clientFin && f.serverFin) {
		a.release(f)
	}
}

// whole reports whether the table holds all flows of the server.
func (a *Agent) isWhole(now time.Time) bool { return !now.Before(a.whole) }

// mayHold reports whether the server may hold a flow that the table lacks.
func (a *Agent) mayHold(key flow.Key, now time.Time) bool {
	return !a.isWhole(now) && a.denied.Peek(key) == nil && !a.server.Dead(now)
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
