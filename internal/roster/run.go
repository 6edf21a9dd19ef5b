package roster

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// minPollInterval is the minimum mean interval between two polls of the store by one entry.
	minPollInterval = time.Second
	// pollIntervalPerEntry limits all entries together to about 1000 polls of the store per second.
	pollIntervalPerEntry = time.Millisecond
	joinRetryInterval    = 200 * time.Millisecond
)

// Join fetches the records and the journal from another entry, and catches up with the journal in the store.
// It retries until one of them succeeds, and returns an error only when ctx is done.
func (r *Roster) Join(ctx context.Context) error {
	for {
		err := r.joinOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		r.log.Warn("joining failed: no response from another entry or the store; retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinRetryInterval):
		}
	}
}

// joinOnce tries the seeds, then the directory, and in any case catches up with the journal in the store.
func (r *Roster) joinOnce(ctx context.Context) error {
	joined := r.joinThrough(ctx, r.opts.Seeds) || r.joinThrough(ctx, r.directoryEntries(ctx))
	err := r.opts.Journal.CatchUp(ctx)
	if joined {
		return nil
	}
	return err
}

// joinThrough reconciles with the first of the entries that responds, and reports whether one did.
func (r *Roster) joinThrough(ctx context.Context, entries []netip.AddrPort) bool {
	for _, addr := range entries {
		if addr != r.opts.Self.Control && r.reconcile(ctx, addr) == nil {
			return true
		}
	}
	return false
}

// directoryEntries returns the control addresses that could be read from the directory.
func (r *Roster) directoryEntries(ctx context.Context) []netip.AddrPort {
	entries, err := r.opts.Directory.Entries(ctx)
	if err != nil {
		r.log.Warn("can't read the registered entries from the store", zap.Error(err))
	}
	return entries
}

// RunSync sends a Sync to a random entry every second until ctx is done.
func (r *Roster) RunSync(ctx context.Context) error {
	return timer.Every(ctx, syncInterval, func() {
		for _, peer := range r.randomPeers(1) {
			r.sendProbe(peer)
		}
	})
}

// sendProbe sends a Sync to peer and starts to wait for the reply.
func (r *Roster) sendProbe(peer view.Record) {
	r.mu.Lock()
	if r.probes[peer.Packets] == nil {
		r.probes[peer.Packets] = &probe{sentAt: r.opts.Now()}
	}
	r.mu.Unlock()
	_ = ctrl.Send(r.opts.Link, peer.Control, ctrl.KindSync, r.newSync(peer, false))
}

// randomPeers returns up to limit random other entries that aren't lost, or the seeds if no other entry is
// known. It tries three draws per peer, so that it may return fewer than there are.
func (r *Roster) randomPeers(limit int) []view.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	entryCount := r.view.EntryCount()
	var peers []view.Record
	for range 3 * limit {
		if len(peers) == limit || entryCount == 0 {
			break
		}
		rec := r.view.EntryAt(r.rand.IntN(entryCount))
		if rec.Packets != r.self.Packets && rec.State != view.Lost && !containsProcess(peers, rec) {
			peers = append(peers, rec)
		}
	}
	if len(peers) == 0 && entryCount <= 1 {
		for _, addr := range r.opts.Seeds {
			if addr != r.self.Control {
				peers = append(peers, view.Record{Control: addr})
			}
		}
	}
	return peers
}

// containsProcess reports whether records contains one with the packet address of rec.
func containsProcess(records []view.Record, rec view.Record) bool {
	for i := range records {
		if records[i].Packets == rec.Packets {
			return true
		}
	}
	return false
}

// RunGossip sends rumors with changed records and new journal entries until ctx is done.
func (r *Roster) RunGossip(ctx context.Context) error {
	ticker := time.NewTicker(rumorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.journalAdvanced:
			r.gossipJournal()
		case <-ticker.C:
			r.gossipRecords()
		}
	}
}

// gossipJournal sends the newest journal entry to random entries, or only its position
// if the entry isn't available or doesn't fit into a datagram.
func (r *Roster) gossipJournal() {
	msg := ctrl.Rumor{JournalPosition: r.opts.Journal.Position()}
	if newest, ok := r.opts.Journal.EntriesSince(msg.JournalPosition - 1); ok && len(newest) == 1 {
		msg.JournalEntry = &newest[0]
	}
	for _, peer := range r.randomPeers(rumorFanout) {
		err := ctrl.Send(r.opts.Link, peer.Control, ctrl.KindRumor, msg)
		if errors.Is(err, ctrl.ErrTooLarge) {
			msg.JournalEntry = nil
			_ = ctrl.Send(r.opts.Link, peer.Control, ctrl.KindRumor, msg)
		}
	}
}

// gossipRecords sends the queued records to random entries.
func (r *Roster) gossipRecords() {
	r.mu.Lock()
	unsent := r.unsentRecords
	r.unsentRecords = nil
	r.mu.Unlock()
	for len(unsent) > 0 {
		n := min(len(unsent), maxRumorRecords)
		msg := ctrl.Rumor{Records: unsent[:n]}
		unsent = unsent[n:]
		for _, peer := range r.randomPeers(rumorFanout) {
			_ = ctrl.Send(r.opts.Link, peer.Control, ctrl.KindRumor, msg)
		}
	}
}

// RunFetches serves the queued fetch requests until ctx is done.
func (r *Roster) RunFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-r.fetchRequests:
			if err := r.fetch(ctx, request); err != nil {
				r.opts.Counters.Add("fetch_failed", 1)
			}
		}
	}
}

// fetch serves one request. A reconciliation includes the journal.
func (r *Roster) fetch(ctx context.Context, request fetchRequest) error {
	if request.includeRecords {
		return r.reconcile(ctx, request.from)
	}
	return r.fetchJournal(ctx, request.from)
}

// reconcile fetches the journal and the differing records from the entry at addr, and offers it this entry's differing
// records.
func (r *Roster) reconcile(ctx context.Context, addr netip.AddrPort) error {
	if err := r.fetchJournal(ctx, addr); err != nil {
		return err
	}
	r.mu.Lock()
	digest := r.view.Digest()
	r.lastReconcile = r.opts.Now()
	r.mu.Unlock()
	r.opts.Counters.Add("compared", 1)
	var reply ctrl.ExchangeReply
	if err := r.opts.Client.Call(ctx, addr, "Entry.Exchange", ctrl.ExchangeArgs{Digest: digest}, &reply); err != nil {
		return err
	}
	r.merge(reply.Records...)
	r.mu.Lock()
	differing := r.view.Differing(reply.Digest)
	r.mu.Unlock()
	for len(differing) > 0 {
		n := min(len(differing), maxOfferRecords)
		var offered ctrl.OfferReply
		if err := r.opts.Client.Call(ctx, addr, "Entry.Offer", ctrl.OfferArgs{Records: differing[:n]}, &offered); err != nil {
			return err
		}
		differing = differing[n:]
	}
	return nil
}

// fetchJournal fetches the journal entries that this entry lacks, or a snapshot, from the entry at addr.
func (r *Roster) fetchJournal(ctx context.Context, addr netip.AddrPort) error {
	var reply ctrl.JournalReply
	args := ctrl.JournalArgs{Since: r.opts.Journal.Position()}
	if err := r.opts.Client.Call(ctx, addr, "Entry.Journal", args, &reply); err != nil {
		return err
	}
	if reply.Snapshot != nil {
		r.opts.Journal.Load(*reply.Snapshot)
	}
	return r.opts.Journal.Apply(reply.Entries...)
}

// RunStorePolling reads new journal entries from the store until ctx is done.
func (r *Roster) RunStorePolling(ctx context.Context) error {
	failing := false
	for {
		err := r.opts.Journal.CatchUp(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if failing != (err != nil) {
			failing = err != nil
			r.logStoreAvailability(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(r.pollInterval()):
		}
	}
}

// logStoreAvailability logs that the store became unavailable with err, or available again if err is nil.
func (r *Roster) logStoreAvailability(err error) {
	if err != nil {
		r.log.Warn("the store doesn't answer; going on with what is known", zap.Error(err))
		return
	}
	r.log.Info("store available again")
}

// pollInterval returns a random interval between 0.5 and 1.5 times the mean.
func (r *Roster) pollInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	meanInterval := max(minPollInterval, time.Duration(r.view.EntryCount())*pollIntervalPerEntry)
	return meanInterval/2 + time.Duration(r.rand.Int64N(int64(meanInterval)))
}

// RunFailureDetector marks unresponsive agents and entries as lost until ctx is done.
func (r *Roster) RunFailureDetector(ctx context.Context) error {
	return timer.Every(ctx, detectionInterval, func() {
		r.merge(r.detectLost()...)
	})
}

// detectLost removes expired records from the view and returns records in state Lost for the processes that
// have timed out.
func (r *Roster) detectLost() []view.Record {
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.Expire(now)
	paused := !r.lastDetection.IsZero() && now.Sub(r.lastDetection) > pauseThreshold
	r.lastDetection = now
	if paused {
		r.resetDetector(now)
		return nil
	}
	return append(r.lostAgents(now), r.lostEntries(now)...)
}

// resetDetector restarts all timeouts. After a pause of this process, missing messages don't show that
// other processes failed. The caller holds r.mu.
func (r *Roster) resetDetector(now time.Time) {
	r.log.Warn("this process was paused; the failure detector starts anew")
	for addr, heartbeat := range r.lastHeartbeats {
		heartbeat.receivedAt = now
		r.lastHeartbeats[addr] = heartbeat
	}
	clear(r.probes)
}

// lostAgents returns lost records for the agents whose heartbeats have timed out. The caller holds r.mu.
func (r *Roster) lostAgents(now time.Time) []view.Record {
	var lost []view.Record
	for addr, heartbeat := range r.lastHeartbeats {
		if now.Sub(heartbeat.receivedAt) < lostTimeout {
			continue
		}
		delete(r.lastHeartbeats, addr)
		lost = r.appendLost(lost, addr, now)
	}
	return lost
}

// lostEntries returns lost records for the entries that didn't reply to maxUnansweredProbes probes, and probes the other
// overdue ones again. The caller holds r.mu.
func (r *Roster) lostEntries(now time.Time) []view.Record {
	var lost []view.Record
	for addr, p := range r.probes {
		if now.Sub(p.sentAt) < syncInterval {
			continue
		}
		p.unanswered++
		p.sentAt = now
		rec, ok := r.view.Get(addr)
		if p.unanswered >= maxUnansweredProbes || !ok {
			delete(r.probes, addr)
			lost = r.appendLost(lost, addr, now)
			continue
		}
		go func() {
			_ = ctrl.Send(r.opts.Link, rec.Control, ctrl.KindSync, r.newSync(rec, false))
		}()
	}
	return lost
}

// appendLost appends the record of the process at addr in state Lost, unless it is lost or gone already.
// The caller holds r.mu.
func (r *Roster) appendLost(lost []view.Record, addr netip.AddrPort, now time.Time) []view.Record {
	rec, ok := r.view.Get(addr)
	if !ok || rec.State == view.Lost || rec.State == view.Gone {
		return lost
	}
	r.log.Warn("a process is silent; taking it for lost", zap.Stringer("process", addr), zap.Uint32("service", rec.Service))
	rec.State = view.Lost
	rec.Since = now
	return append(lost, rec)
}
