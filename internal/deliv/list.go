package deliv

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/hop"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	// saveTick is how often the agent looks whether the list of flows is worth saving.
	saveTick = 500 * time.Millisecond
	// saveEvery is the shortest time between two saves: a call to the store for each agent.
	saveEvery = 6 * time.Second
	// saveAge is the age from which a flow is saved: most that carry one request are over by then.
	saveAge = time.Second
	// savePart is the part of the flows that must be new since the last save for another one.
	savePart = 0.1
	// saveTimeout bounds a save at the end of the process.
	saveTimeout = 300 * time.Millisecond
	// loadEvery is the pause between tries to read the list after a start.
	loadEvery = 200 * time.Millisecond
	// loadFor is after how long without the store the list is given up: clients have given up their flows too.
	loadFor = 10 * time.Second
)

// FlowListStore keeps the list of the server's flows while the agent is away.
type FlowListStore interface {
	Save(ctx context.Context, list []byte) error
	// Load returns the list that was saved last; ok is false when there is none.
	Load(ctx context.Context) (list []byte, ok bool, err error)
}

// saved is the list of a server's flows as it is kept.
type saved struct {
	// ID and Born name the start of the server that the flows belong to.
	ID string `cbor:"1,keyasint"`
	// Born is in Unix nanoseconds: the encoding of times keeps only seconds.
	Born int64 `cbor:"2,keyasint"`
	// Keys are the flows' keys, and Ends what their clients acknowledge next, in the same order.
	Keys []byte   `cbor:"3,keyasint"`
	Ends []uint32 `cbor:"4,keyasint"`
}

// list tells an entry all flows that the server holds, and those that it was offered.
func (a *Agent) list(to netip.AddrPort, body []byte, now time.Time) {
	part, _, err := hop.ParsePart(body)
	if err != nil {
		a.counts.Add("hop_damaged", 1)
		return
	}
	var opened, offered []flow.Key
	if !a.server.IsDead(now) {
		opened, offered = a.keys()
	}
	head := hop.Head{Kind: hop.Listed, Service: route.Number(a.service())}
	if a.isWhole(now) {
		head.Hops = hop.Whole
	}
	if t := a.opts.Cluster.Table(); t != nil {
		head.Version = t.Version
	}
	a.counts.Add("listed", 1)
	parts := max(1, (len(opened)+hop.ListMost-1)/hop.ListMost)
	part.Total = uint16(parts + (len(offered)+hop.ListMost-1)/hop.ListMost)
	head.Verdict = seek.Opening
	for ; len(offered) > 0; part.Index++ {
		offered = a.listSome(head, part, offered, to)
	}
	head.Verdict = seek.Held
	for range parts {
		opened = a.listSome(head, part, opened, to)
		part.Index++
	}
}

// keys returns the flows that the server holds, and those that it was offered.
func (a *Agent) keys() (opened, offered []flow.Key) {
	a.flows.Each(func(k flow.Key, f *held) {
		switch {
		case f.start != a.server.Restarts():
		case f.phase == open:
			opened = append(opened, k)
		case f.phase == opening:
			offered = append(offered, k)
		}
	})
	return opened, offered
}

// listSome sends as many keys as fit into a datagram, and returns the rest.
func (a *Agent) listSome(head hop.Head, part hop.Part, keys []flow.Key, to netip.AddrPort) []flow.Key {
	n := min(len(keys), hop.ListMost)
	b := make([]byte, hop.Size, hop.Size+hop.MaxPacket)
	head.Put(b)
	b = part.Append(b)
	for _, k := range keys[:n] {
		b = k.Append(b)
	}
	a.write(a.opts.Hops, b, to)
	return keys[n:]
}

// service returns the name of the service that the server announced, or that of the settings.
func (a *Agent) service() string {
	if last, known := a.server.LastAnnouncement(); known {
		return last.Service
	}
	return a.opts.Service
}

// keepList saves the list of flows when it has changed much, and at the end; it loads the last one at the start.
func (a *Agent) keepList(ctx context.Context) error {
	a.loadList(ctx)
	var at time.Time
	err := timer.Every(ctx, saveTick, func() {
		if time.Since(at) < saveEvery {
			return
		}
		if list, worth := a.listToSave(false); worth {
			at = time.Now()
			a.saveList(ctx, list)
		}
	})
	return err
}

// SaveFlowList saves the list of flows, for the process that comes after this one.
func (a *Agent) SaveFlowList() {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	if list, worth := a.listToSave(true); worth {
		a.saveList(ctx, list)
	}
}

func (a *Agent) saveList(ctx context.Context, list []byte) {
	if err := a.opts.FlowListStore.Save(ctx, list); err != nil {
		a.opts.Log.Debug("list of flows not saved", zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		a.flows.Each(func(_ flow.Key, f *held) { f.saved = false })
	}
}

// listToSave returns the list of flows, and whether it differs enough from the last one to be saved.
func (a *Agent) listToSave(last bool) ([]byte, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	an, known := a.server.LastAnnouncement()
	if !known {
		return nil, false
	}
	s := saved{ID: an.ID, Born: an.StartedAt.UnixNano()}
	fresh := 0
	a.flows.Each(func(k flow.Key, f *held) {
		if f.phase != open || f.start != a.server.Restarts() || (!last && now.Sub(f.opened) < saveAge) {
			return
		}
		s.Keys = k.Append(s.Keys)
		s.Ends = append(s.Ends, f.serverEnd)
		if !f.saved {
			fresh++
		}
	})
	n := len(s.Keys) / flow.KeySize
	if fresh == 0 || (!last && float64(fresh) < savePart*float64(n)) {
		return nil, false
	}
	a.flows.Each(func(_ flow.Key, f *held) { f.saved = true })
	b, err := cbor.Marshal(s)
	if err != nil {
		a.opts.Log.Error("list of flows can't be encoded", zap.Error(err))
		return nil, false
	}
	return b, true
}

// loadList restores the flows that a former process at this place saw, once the server has shown that it is the same.
func (a *Agent) loadList(ctx context.Context) {
	if a.opts.FirstStart {
		return
	}
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < loadFor {
		list, ok, err := a.opts.FlowListStore.Load(ctx)
		if err == nil {
			if ok {
				a.restore(ctx, list)
			}
			return
		}
		a.opts.Log.Debug("list of flows not loaded", zap.Error(err))
		wait(ctx, loadEvery)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// restore takes a saved list over as soon as the server has announced itself.
func (a *Agent) restore(ctx context.Context, list []byte) {
	var s saved
	if err := cbor.Unmarshal(list, &s); err != nil {
		a.opts.Log.Warn("saved list of flows can't be read", zap.Error(errors.Wrap(err, "decode list")))
		return
	}
	for ctx.Err() == nil && time.Since(a.started) < loadFor {
		if a.restoreFor(s) {
			return
		}
		wait(ctx, loadEvery/4)
	}
}

// restoreFor restores flows when the server is known, and reports whether it was.
func (a *Agent) restoreFor(s saved) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	an, known := a.server.LastAnnouncement()
	if !known {
		return false
	}
	keys := hop.Keys(s.Keys)
	if len(keys) != len(s.Ends) {
		a.opts.Log.Warn("saved list of flows is damaged", zap.Int("keys", len(keys)), zap.Int("ends", len(s.Ends)))
		return true
	}
	if an.ID != s.ID || an.StartedAt.UnixNano() != s.Born {
		a.opts.Log.Info("flows of an earlier start of the server are lost", zap.Int("flows", len(keys)), zap.String("id", an.ID),
			zap.String("saved", s.ID))
		for i, k := range keys {
			if a.flows.Peek(k) == nil {
				a.endFlow(k, s.Ends[i])
			}
		}
		return true
	}
	for i, k := range keys {
		if f := a.flows.Peek(k); f == nil || f.phase == tried {
			if f != nil {
				a.forget(k)
			}
			f = a.flows.Put(k, held{
				start: a.server.Restarts(), service: route.Number(an.Service), opened: now, answered: true, saved: true, serverEnd: s.Ends[i],
			}, now)
			a.setPhase(f, open)
		}
	}
	a.opts.Log.Info("flows restored", zap.Int("flows", len(keys)), zap.String("id", an.ID))
	return true
}
