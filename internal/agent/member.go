package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/admit"
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	beatInterval = time.Second
	// joinPause is the first pause between two tries to join; it doubles up to joinPauseLimit.
	joinPause      = 200 * time.Millisecond
	joinPauseLimit = 10 * time.Second
	// refreshPause is the shortest time between two fetches of the service's state.
	refreshPause = 100 * time.Millisecond
	// joinEntries is how many entries a starting agent asks, so that a stale one doesn't decide alone.
	joinEntries = 3
	// goneBeats is how often an ending agent says so; a datagram may be lost.
	goneBeats = 3
)

// join learns the service's state from entries and fixes the agent's own record.
func (a *Agent) join(ctx context.Context) error {
	for pause := joinPause; ; pause = min(2*pause, joinPauseLimit) {
		err := a.joinOnce(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		a.log.Warn("can't join yet; trying again", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause/2 + time.Duration(rand.Int64N(int64(pause)))):
		}
	}
}

func (a *Agent) joinOnce(ctx context.Context) error {
	answered := a.refreshBy(ctx, a.contacts(), joinEntries)
	if answered == 0 {
		answered = a.refreshBy(ctx, a.directory(ctx), joinEntries)
	}
	k := a.know.get()
	switch {
	case answered == 0:
		return errors.New("no entry answered")
	case k.record.Number == 0:
		return errors.Errorf("service %q has no contract yet", a.opts.Service)
	case a.keys.Load() == nil:
		return errors.New("there is no packet key yet")
	}
	a.setSelf(k)
	return nil
}

// refreshBy fetches the service's state from up to n of the entries, and returns how many answered.
func (a *Agent) refreshBy(ctx context.Context, entries []netip.AddrPort, n int) (answered int) {
	for _, addr := range entries {
		if a.refresh(ctx, addr) == nil {
			answered++
		}
		if answered == n {
			break
		}
	}
	return answered
}

// contacts returns the control addresses of the entries known, and of those in the settings.
func (a *Agent) contacts() []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range a.know.get().entries {
		out = append(out, r.Control)
	}
	return dedupe(append(out, a.opts.Seeds...))
}

// directory returns the entries that the store tells.
func (a *Agent) directory(ctx context.Context) []netip.AddrPort {
	found, err := a.opts.Directory.Entries(ctx)
	if err != nil {
		a.log.Warn("the store didn't tell entries", zap.Error(err))
	}
	return found
}

func dedupe(list []netip.AddrPort) []netip.AddrPort {
	seen := make(map[netip.AddrPort]bool, len(list))
	var out []netip.AddrPort
	for _, addr := range list {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// setSelf fixes the agent's record. Its incarnation is above that of any process known at its address.
func (a *Agent) setSelf(k *knowledge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self = view.Record{
		Packets:     a.conn.Addr(),
		Control:     a.link.Addr(),
		Role:        view.Agent,
		Service:     k.record.Number,
		Domain:      a.opts.Domain,
		Weight:      a.opts.Weight,
		Incarnation: view.NewIncarnation(time.Now(), uint16(rand.Uint32())),
		State:       view.Up,
	}
	for i := range k.members {
		m := &k.members[i]
		if m.Packets == a.self.Packets && m.Incarnation >= a.self.Incarnation {
			a.self.Incarnation = m.Incarnation + 1
		}
	}
}

// refresh fetches the service's state from the entry at addr and puts it in force.
func (a *Agent) refresh(ctx context.Context, addr netip.AddrPort) error {
	var reply ctrl.ServiceReply
	if err := a.client.Call(ctx, addr, "Entry.Service", ctrl.ServiceArgs{Service: a.opts.Service}, &reply); err != nil {
		return err
	}
	before, after := a.know.update(&reply)
	if reply.KeySerial > before.keySerial {
		ring, err := reply.Keys.Open(a.opts.Secret)
		if err != nil {
			return err
		}
		a.keys.Store(ring)
		a.log.Info("packet keys in force", zap.Uint64("serial", reply.KeySerial))
	}
	if after.record.Serial != before.record.Serial {
		a.putInForce(after)
	}
	a.peers.setMembers(after.members, a.link.Addr())
	return nil
}

// putInForce applies the limits of a contract.
func (a *Agent) putInForce(k *knowledge) {
	c := &k.record.Contract
	a.work.setLimits(admit.Limits{Slots: c.Slots, Queue: c.Queue})
	a.log.Info("contract in force", zap.String("service", c.Name), zap.Uint64("serial", k.record.Serial),
		zap.Bool("retired", k.record.Retired))
	if k.record.Retired {
		a.setDraining(true, "the contract is retired")
	}
}

// runRefreshes fetches the service's state from entries that showed to know more, until ctx ends.
func (a *Agent) runRefreshes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-a.refreshes:
			if err := a.refresh(ctx, addr); err != nil && ctx.Err() == nil {
				a.log.Warn("an entry didn't tell the service's state", zap.Stringer("entry", addr), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(refreshPause):
		}
	}
}

// runBeats sends heartbeats until ctx ends.
func (a *Agent) runBeats(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	quiet := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.ready:
		}
		a.beat()
		if a.heardSince(quiet) {
			quiet = time.Now()
		} else if time.Since(quiet) > 2*beatInterval {
			a.findEntries(ctx)
			quiet = time.Now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// beat sends a heartbeat to each home entry.
func (a *Agent) beat() {
	self := a.record()
	k := a.know.get()
	beat := ctrl.Heartbeat{Record: self, Service: a.opts.Service, ContractSerial: k.record.Serial}
	for _, home := range k.homes(self.Control) {
		_ = ctrl.Send(a.link, home, ctrl.KindHeartbeat, beat)
	}
}

func (a *Agent) heardSince(t time.Time) bool {
	return a.peers.lastAck().After(t)
}

// findEntries looks for entries when those known don't answer.
func (a *Agent) findEntries(ctx context.Context) {
	a.log.Warn("no entry answers the heartbeats; looking for others")
	if a.refreshBy(ctx, a.contacts(), 1) == 0 {
		a.refreshBy(ctx, a.directory(ctx), 1)
	}
}

// onAck compares what an entry knows with what this agent holds.
func (a *Agent) onAck(from netip.AddrPort, ack ctrl.Ack) {
	a.peers.acked(time.Now())
	a.contradict(ack.Record)
	k := a.know.get()
	if ack.ContractSerial > k.record.Serial || ack.KeySerial > k.keySerial || ack.MembersHash != k.hash || !k.hasEntry(ack.Entry) {
		select {
		case a.refreshes <- from:
		default:
		}
	}
}

func (k *knowledge) hasEntry(rec view.Record) bool {
	for i := range k.entries {
		if k.entries[i].Packets == rec.Packets {
			return !rec.Supersedes(&k.entries[i])
		}
	}
	return false
}

// contradict raises the agent's version when others say something newer of it that isn't true.
func (a *Agent) contradict(rec view.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if rec.Incarnation != a.self.Incarnation || rec.State == a.self.State || !rec.Supersedes(&a.self) {
		return
	}
	a.self.Epoch = rec.Epoch + 1
	a.log.Info("others took this agent for lost; it contradicts", zap.Stringer("said", rec.State))
}

// setDraining starts or ends draining and tells the entries and peers at once.
func (a *Agent) setDraining(draining bool, cause string) {
	if a.draining.Swap(draining) == draining {
		return
	}
	a.log.Info("draining changed", zap.Bool("draining", draining), zap.String("cause", cause))
	a.mu.Lock()
	a.self.Epoch++
	a.self.State = view.Up
	if draining {
		a.self.State = view.Draining
	}
	a.mu.Unlock()
	a.beat()
	a.tellLoad()
}

// drain lets the requests in progress end, and closes the flows.
func (a *Agent) drain(ctx context.Context) {
	a.leaving.Store(true)
	a.setDraining(true, "this process was asked to stop")
	select {
	case <-ctx.Done():
	case <-time.After(a.opts.Notice):
	}
	limit := a.know.get().record.Contract.Drain.Std()
	a.log.Info("closing flows as their requests end", zap.Int64("flows", a.flows.Load()), zap.Duration("limit", limit))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := a.http3.Shutdown(ctx); err != nil {
		a.log.Warn("the drain time is over; requests in progress are cut", zap.Error(err), zap.Int64("flows", a.flows.Load()))
	}
	a.work.awaitIdle(ctx)
	a.sayGone()
	a.log.Info("agent has drained")
}

func (a *Agent) sayGone() {
	a.mu.Lock()
	a.self.Epoch++
	a.self.State = view.Gone
	a.self.Since = time.Now()
	a.mu.Unlock()
	for range goneBeats {
		a.beat()
	}
}
