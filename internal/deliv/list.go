package deliv

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/timer"
)

const (
	// saveCheckInterval is how often the agent checks whether the list of flows must be saved.
	saveCheckInterval = 500 * time.Millisecond
	// minSaveInterval is the minimum time between two saves, which bounds the load of all agents on the store.
	minSaveInterval = 6 * time.Second
	// minSaveAge is the minimum age of a saved flow. Most flows with a single request have ended by then.
	minSaveAge = time.Second
	// minChangedFraction is the minimum number of flows that are missing in the last saved list or have ended since, as a fraction of the
	// flows, for the next save.
	minChangedFraction = 0.1
	// maxListAge is the age of the saved list from which on any such flow is enough.
	maxListAge = 30 * time.Second
	// saveTimeout bounds the final save at shutdown.
	saveTimeout = 300 * time.Millisecond
	// closedFlowTTL is how long after its last packet a closed flow counts as held. Either end retransmits what is missing at least
	// every 1.6 s.
	closedFlowTTL = 2 * time.Second
	// maxHandshakeTime is how long a client waits for the response to its first SYN.
	maxHandshakeTime = 1400 * time.Millisecond
	// loadRetryInterval is the pause between attempts to load the list.
	loadRetryInterval = 200 * time.Millisecond
	// maxListResetDelay is how long after the agent's start the flows of an earlier start of the server are reset by the saved list. Clients that wait
	// for a response learn nothing otherwise. Later, a key of the list may be that of a flow that is open at another server.
	maxListResetDelay = 3 * time.Second
	// loadTimeout bounds the attempts to load and restore the list. Clients have given up their flows by then.
	loadTimeout = 10 * time.Second
)

// FlowListStore stores the list of the server's flows across restarts of the agent.
type FlowListStore interface {
	Save(ctx context.Context, list []byte) error
	// Load returns the list that was saved last; ok is false if there is none.
	Load(ctx context.Context) (list []byte, ok bool, err error)
}

// savedFlowList is the list of a server's flows in the store.
type savedFlowList struct {
	// ServerID and ServerStartedAt identify the start of the server that holds the flows.
	ServerID string `cbor:"1,keyasint"`
	// ServerStartedAt is in Unix nanoseconds, since the CBOR encoding of times keeps only seconds.
	ServerStartedAt int64 `cbor:"2,keyasint"`
	// Keys has the encoded keys of the flows, NextSeqs their serverNextSeq in the same order.
	Keys     []byte   `cbor:"3,keyasint"`
	NextSeqs []uint32 `cbor:"4,keyasint"`
	// OpeningKeys has the encoded keys of the flows that the server has accepted, or may still accept, and that may be open at
	// it. Only the final list has them.
	OpeningKeys []byte `cbor:"5,keyasint,omitempty"`
}

// sendFlowList sends an entry the keys of all flows that the server holds or may hold, by verdict, in as many datagrams as
// needed.
func (a *Agent) sendFlowList(to netip.AddrPort, body []byte, now time.Time) {
	part, _, err := encap.ParseListPart(body)
	if err != nil {
		a.counters.Add("hop_damaged", 1)
		return
	}
	header := encap.Header{Kind: encap.ListReply, Service: route.ServiceID(a.serviceName())}
	if a.tableComplete(now) {
		header.Hops = encap.Exhaustive
		if a.deniesWithCertainty(now) {
			header.Hops |= encap.Certain
		}
	}
	if t := a.opts.Cluster.Table(); t != nil {
		header.Version = t.Version
	}
	groups := a.flowKeys(now)
	a.listReplies++
	a.counters.Add("listed", 1)
	if logEntry := a.opts.FlowLog.Check(zap.InfoLevel, "flow list sent"); logEntry != nil {
		fields := []zap.Field{zap.Stringer("entry", to), zap.Uint64("request", part.RequestID)}
		for _, g := range groups {
			fields = append(fields, zap.Int(g.verdict.String(), len(g.keys)))
		}
		logEntry.Write(append(fields, zap.Bool("exhaustive", header.Hops&encap.Exhaustive != 0), zap.Uint64("version", header.Version))...)
	}
	for _, g := range groups {
		part.Total += g.parts()
	}
	for _, g := range groups {
		header.Verdict = g.verdict
		for range g.parts() {
			g.keys = a.sendKeys(header, part, a.listReplies, g.keys, to)
			part.Index++
		}
	}
}

// keyGroup holds the keys of flows with the same verdict.
type keyGroup struct {
	verdict seek.Verdict
	keys    []flow.Key
}

// parts returns the number of datagrams that the group takes. Held flows take at least one, so that no list is empty.
func (g *keyGroup) parts() uint16 {
	n := (len(g.keys) + encap.MaxKeysPerReply - 1) / encap.MaxKeysPerReply
	if g.verdict == seek.Held {
		n = max(1, n)
	}
	return uint16(n)
}

// flowKeys returns the keys of the flows that the server may hold, in the order in which they are listed.
func (a *Agent) flowKeys(now time.Time) []keyGroup {
	var held, opening, perhaps []flow.Key
	a.flows.Each(func(k flow.Key, f *flowState) {
		switch a.flowVerdict(k, f, now) {
		case seek.Held:
			held = append(held, k)
		case seek.Opening:
			opening = append(opening, k)
		case seek.Perhaps:
			perhaps = append(perhaps, k)
		}
	})
	if a.tableComplete(now) { // Only complete lists deny what they lack.
		a.asked.Each(func(k flow.Key, _ *struct{}) {
			if a.flows.Peek(k) == nil && a.serverMayHold(k, now) {
				perhaps = append(perhaps, k)
			}
		})
	}
	return []keyGroup{{seek.Perhaps, perhaps}, {seek.Opening, opening}, {seek.Held, held}}
}

// sendKeys sends as many keys as fit into one datagram and returns the rest.
func (a *Agent) sendKeys(header encap.Header, part encap.ListPart, reply encap.ReplyID, keys []flow.Key, to netip.AddrPort) []flow.Key {
	n := min(len(keys), encap.MaxKeysPerReply)
	b := make([]byte, encap.HeaderSize, encap.HeaderSize+encap.MaxPacketSize)
	header.Encode(b)
	b = part.Append(b)
	for _, k := range keys[:n] {
		b = k.Append(b)
	}
	a.send(a.opts.EncapConn, reply.Append(b), to)
	return keys[n:]
}

// serviceName returns the service in the server's last heartbeat, or the one in the settings before the first heartbeat.
func (a *Agent) serviceName() string {
	if last, known := a.server.LastHeartbeat(); known {
		return last.Service
	}
	return a.opts.Service
}

// maintainFlowList restores the saved list of flows at the start, and then saves the list whenever it has changed enough.
func (a *Agent) maintainFlowList(ctx context.Context) error {
	a.loadFlowList(ctx)
	var savedAt time.Time
	err := timer.Every(ctx, saveCheckInterval, func() {
		if time.Since(savedAt) < minSaveInterval {
			return
		}
		if list, save := a.encodeFlowList(false); save {
			savedAt = time.Now()
			if err := a.storeFlowList(ctx, list); err != nil {
				a.opts.Log.Debug("can't save the list of flows", zap.Error(err))
			}
		}
	})
	return err
}

// SaveFlowList saves the list of flows at shutdown, for the next process at this address. From then on the agent lets no new
// flows through to the server, since the list would lack them.
func (a *Agent) SaveFlowList() {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	started := time.Now()
	list, save := a.encodeFlowList(true)
	var err error
	if save {
		err = a.storeFlowList(ctx, list)
	}
	a.opts.Log.Info("final flow list", zap.Bool("saved", save && err == nil), zap.Int("bytes", len(list)), zap.Duration("took", time.Since(started)), zap.Error(err))
}

// storeFlowList writes a list to the store. After a failure all flows count as unsaved again, and the store may have a longer list.
func (a *Agent) storeFlowList(ctx context.Context, list []byte) error {
	if err := a.opts.FlowListStore.Save(ctx, list); err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.flows.Each(func(_ flow.Key, f *flowState) { f.saved = false })
		a.savedFlows = maxFlows
		return err
	}
	return nil
}

// encodeFlowList returns the encoded list of flows and whether it must be saved: a periodic one if it differs enough from the last one or that is old,
// the final one always, since the store may have lost the last one. The final list includes flows younger than minSaveAge.
func (a *Agent) encodeFlowList(final bool) ([]byte, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = a.stopping || final
	hb, known := a.server.LastHeartbeat()
	if !known || !a.mayReplaceList || a.server.Ambiguous() {
		return nil, false // The list would name the wrong start of the server.
	}
	s := savedFlowList{ServerID: hb.ID, ServerStartedAt: hb.StartedAt.UnixNano()}
	listed, unsaved := a.collectFlows(&s, final, now)
	changed := unsaved + max(0, a.savedFlows-(len(listed)-unsaved))
	few := float64(changed) < minChangedFraction*float64(len(listed)) && now.Sub(a.listSavedAt) < maxListAge
	if !final && (changed == 0 || few) {
		return nil, false
	}
	a.savedFlows, a.listSavedAt = len(listed), now
	for _, f := range listed {
		f.saved = true
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		a.opts.Log.Error("can't encode the list of flows", zap.Error(err))
		return nil, false
	}
	return b, true
}

// collectFlows adds the flows to a list. It returns the open ones, and the number of flows that aren't in the last list.
func (a *Agent) collectFlows(s *savedFlowList, final bool, now time.Time) (listed []*flowState, unsaved int) {
	a.flows.Each(func(k flow.Key, f *flowState) {
		switch {
		case f.serverRestarts != a.server.Restarts() || (!final && now.Sub(f.firstSeen) < minSaveAge):
		case f.phase == phaseOpen || f.phase == phaseUnconfirmed:
			s.Keys = k.Append(s.Keys)
			s.NextSeqs = append(s.NextSeqs, f.serverNextSeq)
			listed = append(listed, f)
			if !f.saved {
				unsaved++
			}
		case f.phase == phaseOpening && final && (f.counted || now.Sub(f.firstSeen) < maxHandshakeTime):
			s.OpeningKeys = k.Append(s.OpeningKeys)
			unsaved++
		}
	})
	return listed, unsaved
}

// loadFlowList loads the list that the previous process at this address saved, and restores it. Unless ctx ends before, the
// agent's own lists may replace it from then on.
func (a *Agent) loadFlowList(ctx context.Context) {
	if a.opts.FirstStart {
		return
	}
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.mayReplaceList = ctx.Err() == nil
	}()
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < loadTimeout {
		list, ok, err := a.opts.FlowListStore.Load(ctx)
		if err == nil {
			if ok {
				a.restoreFlowList(ctx, list)
			}
			return
		}
		a.opts.Log.Debug("can't load the list of flows", zap.Error(err))
		sleep(ctx, loadRetryInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// parseFlowList decodes a saved list. The error names the invalid field.
func parseFlowList(list []byte) (savedFlowList, error) {
	var s savedFlowList
	if err := cbor.Unmarshal(list, &s); err != nil {
		return savedFlowList{}, errors.Wrap(err, "decode CBOR")
	}
	switch {
	case len(s.Keys)%flow.KeySize != 0 || len(s.Keys)/flow.KeySize != len(s.NextSeqs):
		return savedFlowList{}, errors.Errorf("%d bytes of keys for %d sequence numbers", len(s.Keys), len(s.NextSeqs))
	case len(s.OpeningKeys)%flow.KeySize != 0:
		return savedFlowList{}, errors.Errorf("%d bytes of keys of opening flows", len(s.OpeningKeys))
	case len(s.Keys)+len(s.OpeningKeys) > maxFlows*flow.KeySize:
		return savedFlowList{}, errors.Errorf("more than %d flows", maxFlows)
	}
	return s, nil
}

// restoreFlowList restores a saved list as soon as a heartbeat of the server has come.
func (a *Agent) restoreFlowList(ctx context.Context, list []byte) {
	s, err := parseFlowList(list)
	if err != nil {
		a.opts.Log.Warn("saved list of flows is not usable", zap.Error(err))
		return
	}
	for ctx.Err() == nil && time.Since(a.startedAt) < loadTimeout {
		if a.tryRestore(s) {
			return
		}
		sleep(ctx, loadRetryInterval/4)
	}
}

// tryRestore restores the flows of a list, unless another start of the server than the list's is certainly running. Clients of the flows are
// then told once they send a packet: the list may name flows that have ended, and their keys be those of flows at other servers. tryRestore
// returns false as long as neither is known.
func (a *Agent) tryRestore(s savedFlowList) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	hb, known := a.server.LastHeartbeat()
	if !known {
		return false
	}
	keys := encap.ParseKeys(s.Keys)
	sameStart := hb.ID == s.ServerID && hb.StartedAt.UnixNano() == s.ServerStartedAt
	isLater := a.server.Confirmed() && hb.StartedAt.UnixNano() > s.ServerStartedAt
	if !sameStart && !isLater && !a.server.Settled() {
		return false // The heartbeat may be a delayed one, and the list of the running server.
	}
	a.savedFlows = len(keys)
	if !sameStart {
		reset := now.Sub(a.startedAt) <= maxListResetDelay
		a.opts.Log.Info("saved list is of an earlier start of the server", zap.Int("flows", len(keys)), zap.String("id", hb.ID),
			zap.String("saved", s.ServerID), zap.Bool("reset", reset))
		if reset {
			a.resetListed(keys, s.NextSeqs)
		}
		return true
	}
	a.restoreFlows(keys, s.NextSeqs, route.ServiceID(hb.Service), now)
	opening := encap.ParseKeys(s.OpeningKeys)
	a.restoreOpeningFlows(opening, route.ServiceID(hb.Service), now)
	a.opts.Log.Info("flows restored", zap.Int("flows", len(keys)), zap.Int("opening", len(opening)), zap.String("id", hb.ID))
	return true
}

// resetListed resets flows of a saved list that the server has lost by a restart, unless packets of flows with their keys have come since. It
// denies none: the server may hold later ones.
func (a *Agent) resetListed(keys []flow.Key, nextSeqs []uint32) {
	for i, k := range keys {
		if a.flows.Peek(k) == nil {
			a.opts.FlowLog.Warn("flow is lost", zap.Stringer("flow", k), zap.String("reason", "saved list is of an earlier start of the server"),
				zap.Bool("reset", true))
			a.counters.Add("flow_ended", 1)
			a.sendReset(flow.Header{Src: k.Client(), Dst: k.Service(), Ack: true, AckNumber: nextSeqs[i]})
		}
	}
}

// restoreFlows adds flows of a saved list to the table, unless packets of them have shown more since. A list proves nothing: its flows may have
// ended, and their keys be those of later ones.
func (a *Agent) restoreFlows(keys []flow.Key, nextSeqs []uint32, service uint64, now time.Time) {
	for i, k := range keys {
		f := a.flows.Peek(k)
		if a.denied.Peek(k) != nil || f != nil && f.phase != phaseProbing {
			continue
		}
		if f == nil {
			f = a.flows.Put(k, flowState{serverRestarts: a.server.Restarts(), firstSeen: now, responseSeen: true}, now)
		}
		f.phase, f.service, f.serverNextSeq, f.saved, f.claimPending = phaseUnconfirmed, service, nextSeqs[i], true, true
		f.bareInRow = 0
		a.countOpenFlow(f)
	}
}

// restoreOpeningFlows adds flows of a saved list to the table as opening ones, unless packets of them have been seen since.
func (a *Agent) restoreOpeningFlows(keys []flow.Key, service uint64, now time.Time) {
	for _, k := range keys {
		if a.flows.Peek(k) == nil && a.denied.Peek(k) == nil {
			f := a.flows.Put(k, flowState{phase: phaseOpening, serverRestarts: a.server.Restarts(), service: service, firstSeen: now}, now)
			a.countOpenFlow(f)
		}
	}
}
