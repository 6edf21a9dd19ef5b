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
	heartbeatInterval = time.Second
	// minJoinDelay is the mean delay between the first two attempts to join. It doubles up to maxJoinDelay.
	minJoinDelay = 200 * time.Millisecond
	maxJoinDelay = 10 * time.Second
	// minRefreshInterval is the least time between two fetches of the service state.
	minRefreshInterval = 100 * time.Millisecond
	// maxJoinEntries is the number of entries from which a starting agent fetches the service state, so that it doesn't
	// depend on a single stale one.
	maxJoinEntries = 3
	// goneHeartbeats is the number of heartbeats with which a stopping agent announces its end, as datagrams may be lost.
	goneHeartbeats = 3
	// goneNotice is how long a stopping agent rejects requests of peers after it has announced its end. Peers learn of the end
	// when their next heartbeat is acknowledged.
	goneNotice = 2 * heartbeatInterval
	// shutdownTimeout limits the wait for the last rejections to be sent.
	shutdownTimeout = time.Second
)

// join fetches the service state from entries and creates the agent's own record. It retries until it succeeds or ctx is
// done.
func (a *Agent) join(ctx context.Context) error {
	for delay := minJoinDelay; ; delay = min(2*delay, maxJoinDelay) {
		err := a.tryJoin(ctx)
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
		case <-time.After(delay/2 + time.Duration(rand.Int64N(int64(delay)))):
		}
	}
}

func (a *Agent) tryJoin(ctx context.Context) error {
	responded := a.refreshFrom(ctx, a.knownEntries(), maxJoinEntries)
	if responded == 0 {
		responded = a.refreshFrom(ctx, a.directoryEntries(ctx), maxJoinEntries)
	}
	state := a.service.get()
	switch {
	case responded == 0:
		return errors.New("no entry responded")
	case state.record.Number == 0:
		return errors.Errorf("service %q has no contract yet", a.opts.Service)
	case a.keys.Load() == nil:
		return errors.New("the deployment has no packet key yet")
	}
	a.initOwnRecord(state)
	return nil
}

// refreshFrom fetches the service state from entries until n have responded, and returns how many did.
func (a *Agent) refreshFrom(ctx context.Context, entries []netip.AddrPort, n int) (responded int) {
	for _, addr := range entries {
		if a.refresh(ctx, addr) == nil {
			responded++
		}
		if responded == n {
			break
		}
	}
	return responded
}

// knownEntries returns the control addresses of the known entries and of those in the settings.
func (a *Agent) knownEntries() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, r := range a.service.get().entries {
		addrs = append(addrs, r.Control)
	}
	return deduplicate(append(addrs, a.opts.Seeds...))
}

// directoryEntries returns the control addresses that could be read from the directory.
func (a *Agent) directoryEntries(ctx context.Context) []netip.AddrPort {
	entries, err := a.opts.Directory.Entries(ctx)
	if err != nil {
		a.log.Warn("can't read the registered entries from the store", zap.Error(err))
	}
	return entries
}

func deduplicate(list []netip.AddrPort) []netip.AddrPort {
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

// initOwnRecord creates the agent's record, with an incarnation above that of any process known at its address.
func (a *Agent) initOwnRecord(state *serviceState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self = view.Record{
		Packets:     a.conn.Addr(),
		Control:     a.controlLink.Addr(),
		Role:        view.Agent,
		Service:     state.record.Number,
		Domain:      a.opts.Domain,
		Weight:      a.opts.Weight,
		Incarnation: view.NewIncarnation(time.Now(), uint16(rand.Uint32())),
		State:       view.Up,
	}
	for i := range state.agents {
		agent := &state.agents[i]
		if agent.Packets == a.self.Packets && agent.Incarnation >= a.self.Incarnation {
			a.self.Incarnation = agent.Incarnation + 1
		}
	}
}

// refresh fetches the service state from the entry at addr and applies it.
func (a *Agent) refresh(ctx context.Context, addr netip.AddrPort) error {
	var reply ctrl.ServiceReply
	if err := a.controlClient.Call(ctx, addr, "Entry.Service", ctrl.ServiceArgs{Service: a.opts.Service}, &reply); err != nil {
		return err
	}
	return a.applyReply(&reply)
}

// applyReply puts the service state of an entry's reply in force. Replies of several entries may arrive at the same time.
func (a *Agent) applyReply(reply *ctrl.ServiceReply) error {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	var keysErr error
	if reply.KeySerial > a.service.get().keySerial {
		if keysErr = a.applyKeys(reply); keysErr != nil {
			reply.KeySerial = 0 // The keys in force stay, and the next acknowledgement requests these again.
		}
	}
	before, after := a.service.update(reply)
	if after.record.Serial != before.record.Serial {
		a.applyContract(after)
	}
	a.peers.setAgents(after.agents, a.controlLink.Addr())
	return keysErr
}

// applyKeys puts the packet keys of an entry's reply in force.
func (a *Agent) applyKeys(reply *ctrl.ServiceReply) error {
	keyring, err := reply.Keys.Open(a.opts.Secret)
	if err != nil {
		return err
	}
	a.keys.Store(keyring)
	a.log.Info("packet keys in force", zap.Uint64("serial", reply.KeySerial))
	return nil
}

// applyContract applies the limits of a contract, and starts draining if the contract is retired.
func (a *Agent) applyContract(state *serviceState) {
	c := &state.record.Contract
	a.scheduler.setLimits(admit.Limits{Slots: c.Slots, Queue: c.Queue})
	a.log.Info("contract in force", zap.String("service", c.Name), zap.Uint64("serial", state.record.Serial),
		zap.Bool("retired", state.record.Retired))
	if state.record.Retired {
		a.setDraining(true, "the contract is retired")
	}
}

// runRefreshes fetches the service state, until ctx is done, from entries whose acknowledgements have shown that their
// state is newer or differs; onAck adds them to refreshRequests.
func (a *Agent) runRefreshes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-a.refreshRequests:
			if err := a.refresh(ctx, addr); err != nil && ctx.Err() == nil {
				a.log.Warn("can't fetch the service state from an entry", zap.Stringer("entry", addr), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minRefreshInterval):
		}
	}
}

// runHeartbeats sends heartbeats until ctx is done, and looks for other entries if none acknowledges them.
func (a *Agent) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	waitingSince := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.ready:
		}
		a.sendHeartbeats()
		if a.ackedSince(waitingSince) {
			waitingSince = time.Now()
		} else if time.Since(waitingSince) > 2*heartbeatInterval {
			a.findEntries(ctx)
			waitingSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendHeartbeats sends a heartbeat to each entry chosen by heartbeatEntries.
func (a *Agent) sendHeartbeats() {
	self := a.ownRecord()
	state := a.service.get()
	heartbeat := ctrl.Heartbeat{Record: self, Service: a.opts.Service, ContractSerial: state.record.Serial}
	for _, entry := range state.heartbeatEntries(self.Control) {
		_ = ctrl.Send(a.controlLink, entry, ctrl.KindHeartbeat, heartbeat)
	}
}

func (a *Agent) ackedSince(t time.Time) bool {
	return a.peers.lastAck().After(t)
}

// findEntries looks for entries when none acknowledges the heartbeats: among the known ones, then in the store.
func (a *Agent) findEntries(ctx context.Context) {
	a.log.Warn("no entry answers the heartbeats; looking for others")
	if a.refreshFrom(ctx, a.knownEntries(), 1) == 0 {
		a.refreshFrom(ctx, a.directoryEntries(ctx), 1)
	}
}

// onAck handles the acknowledgement of a heartbeat. It requests a refresh if the entry has a newer contract, newer packet
// keys, other agents of the service or a newer record of itself.
func (a *Agent) onAck(from netip.AddrPort, ack ctrl.Ack) {
	a.peers.recordAck(time.Now())
	a.refute(ack.Record)
	state := a.service.get()
	if ack.ContractSerial > state.record.Serial || ack.KeySerial > state.keySerial || ack.AgentsHash != state.agentsHash || !state.hasEntry(ack.Entry) {
		select {
		case a.refreshRequests <- from:
		default:
		}
	}
}

// hasEntry reports whether the state holds an entry's record, or a newer one of that entry.
func (s *serviceState) hasEntry(record view.Record) bool {
	for i := range s.entries {
		if s.entries[i].Packets == record.Packets {
			return !record.Supersedes(&s.entries[i])
		}
	}
	return false
}

// refute raises the epoch of the agent's own record if other processes hold a newer record with another state, so that the
// agent's record supersedes it.
func (a *Agent) refute(record view.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if record.Incarnation != a.self.Incarnation || record.State == a.self.State || !record.Supersedes(&a.self) {
		return
	}
	a.self.Epoch = record.Epoch + 1
	a.log.Info("others took this agent for lost; it contradicts", zap.Stringer("said", record.State))
}

// setDraining starts or ends draining and notifies the entries and peers at once.
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
	a.sendHeartbeats()
	a.reportLoad()
}

// drain waits for the requests of callers and peers in progress to end, for at most the contract's drain time, and closes the
// flows and the connections of peers.
func (a *Agent) drain(abortCtx context.Context) {
	a.stopping.Store(true)
	a.setDraining(true, "this process was asked to stop")
	select {
	case <-abortCtx.Done():
	case <-time.After(a.opts.DrainDelay):
	}
	limit := a.service.get().record.Contract.Drain.Std()
	a.log.Info("closing flows when their requests have ended", zap.Int64("flows", a.openFlows.Load()), zap.Duration("limit", limit))
	ctx, cancel := context.WithTimeout(abortCtx, limit)
	defer cancel()
	if err := a.http3.Shutdown(ctx); err != nil {
		a.log.Warn("the drain time is over; requests in progress are cut", zap.Error(err), zap.Int64("flows", a.openFlows.Load()))
	}
	if err := a.requests.closeWhenIdle(ctx); err != nil {
		a.log.Warn("the drain time is over; requests of peers in progress are cut", zap.Error(err))
	}
	a.scheduler.awaitIdle(ctx)
	a.announceGone()
	a.closeToPeers(abortCtx)
	a.log.Info("agent has drained")
}

// closeToPeers ends the server for requests of peers. Until then it rejects their requests, so that they know that those
// haven't run: a request on a connection that is closed meanwhile counts as one that may have run.
func (a *Agent) closeToPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(goneNotice):
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := a.http1.Shutdown(ctx); err != nil {
		a.log.Warn("connections of peers are cut", zap.Error(err))
	}
}

// announceGone notifies the entries that the agent has ended.
func (a *Agent) announceGone() {
	a.mu.Lock()
	a.self.Epoch++
	a.self.State = view.Gone
	a.self.Since = time.Now()
	a.mu.Unlock()
	for range goneHeartbeats {
		a.sendHeartbeats()
	}
}
