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
	// pollFloor is the shortest time between two polls of the store by one entry.
	pollFloor = time.Second
	// pollPerEntry makes all entries together poll the store about a thousand times a second at the most.
	pollPerEntry = time.Millisecond
	joinPause    = 200 * time.Millisecond
)

// Join learns the deployment's state from another entry, or the journal from the store, and returns
// when it has one of them. It returns an error only when ctx ends.
func (r *Roster) Join(ctx context.Context) error {
	for {
		err := r.joinOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		r.log.Warn("neither an entry nor the store answered; trying again", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinPause):
		}
	}
}

func (r *Roster) joinOnce(ctx context.Context) error {
	joined := r.joinBy(ctx, r.opts.Seeds) || r.joinBy(ctx, r.directory(ctx))
	err := r.opts.Journal.CatchUp(ctx)
	if joined {
		return nil
	}
	return err
}

// joinBy takes over what one of the entries knows, and reports whether one answered.
func (r *Roster) joinBy(ctx context.Context, entries []netip.AddrPort) bool {
	for _, addr := range entries {
		if addr != r.opts.Self.Control && r.compare(ctx, addr) == nil {
			return true
		}
	}
	return false
}

// directory returns the entries that the store tells.
func (r *Roster) directory(ctx context.Context) []netip.AddrPort {
	found, err := r.opts.Directory.Entries(ctx)
	if err != nil {
		r.log.Warn("the store didn't tell other entries", zap.Error(err))
	}
	return found
}

// RunSync compares this entry with a random one every second, until ctx ends.
func (r *Roster) RunSync(ctx context.Context) error {
	return timer.Every(ctx, syncInterval, func() {
		for _, peer := range r.pick(1) {
			r.probe(peer)
		}
	})
}

// probe sends a sync that must be answered.
func (r *Roster) probe(peer view.Record) {
	r.mu.Lock()
	if r.probes[peer.Packets] == nil {
		r.probes[peer.Packets] = &probe{sent: r.opts.Now()}
	}
	r.mu.Unlock()
	_ = ctrl.Send(r.opts.Link, peer.Control, ctrl.KindSync, r.syncFor(peer, false))
}

// pick returns up to n random other entries, or the seeds when no other entry is known.
func (r *Roster) pick(n int) []view.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.view.EntryCount()
	var out []view.Record
	for range 3 * n {
		if len(out) == n || count == 0 {
			break
		}
		rec := r.view.EntryAt(r.rand.IntN(count))
		if rec.Packets != r.self.Packets && rec.State != view.Lost && !contains(out, rec) {
			out = append(out, rec)
		}
	}
	if len(out) == 0 && count <= 1 {
		for _, addr := range r.opts.Seeds {
			if addr != r.self.Control {
				out = append(out, view.Record{Control: addr})
			}
		}
	}
	return out
}

func contains(list []view.Record, rec view.Record) bool {
	for i := range list {
		if list[i].Packets == rec.Packets {
			return true
		}
	}
	return false
}

// RunRumors passes news on until ctx ends.
func (r *Roster) RunRumors(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			r.tellJournal()
		case <-ticker.C:
			r.flush()
		}
	}
}

// tellJournal sends the newest entry of the journal to a few entries.
func (r *Roster) tellJournal() {
	msg := ctrl.Rumor{Position: r.opts.Journal.Position()}
	if tail, ok := r.opts.Journal.EntriesSince(msg.Position - 1); ok && len(tail) == 1 {
		msg.Entry = &tail[0]
	}
	for _, peer := range r.pick(rumorFanout) {
		err := ctrl.Send(r.opts.Link, peer.Control, ctrl.KindRumor, msg)
		if errors.Is(err, ctrl.ErrTooLarge) {
			msg.Entry = nil
			_ = ctrl.Send(r.opts.Link, peer.Control, ctrl.KindRumor, msg)
		}
	}
}

// flush sends the records that were news to a few entries.
func (r *Roster) flush() {
	r.mu.Lock()
	hot := r.hot
	r.hot = nil
	r.mu.Unlock()
	for len(hot) > 0 {
		n := min(len(hot), recordsPerRumor)
		msg := ctrl.Rumor{Records: hot[:n]}
		hot = hot[n:]
		for _, peer := range r.pick(rumorFanout) {
			_ = ctrl.Send(r.opts.Link, peer.Control, ctrl.KindRumor, msg)
		}
	}
}

// RunPulls fetches from other entries what they showed to know more, until ctx ends.
func (r *Roster) RunPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-r.pulls:
			if err := r.fetch(ctx, p); err != nil {
				r.opts.Counters.Add("fetch_failed", 1)
			}
		}
	}
}

func (r *Roster) fetch(ctx context.Context, p pull) error {
	if p.records {
		return r.compare(ctx, p.from)
	}
	return r.fetchJournal(ctx, p.from)
}

// compare takes over what the entry at addr knows more, and gives it what it lacks.
func (r *Roster) compare(ctx context.Context, addr netip.AddrPort) error {
	if err := r.fetchJournal(ctx, addr); err != nil {
		return err
	}
	r.mu.Lock()
	digest := r.view.Digest()
	r.compared = r.opts.Now()
	r.mu.Unlock()
	r.opts.Counters.Add("compared", 1)
	var reply ctrl.ExchangeReply
	if err := r.opts.Client.Call(ctx, addr, "Entry.Exchange", ctrl.ExchangeArgs{Digest: digest}, &reply); err != nil {
		return err
	}
	r.merge(reply.Records...)
	r.mu.Lock()
	mine := r.view.Differing(reply.Digest)
	r.mu.Unlock()
	for len(mine) > 0 {
		n := min(len(mine), offerSize)
		var ok ctrl.OfferReply
		if err := r.opts.Client.Call(ctx, addr, "Entry.Offer", ctrl.OfferArgs{Records: mine[:n]}, &ok); err != nil {
			return err
		}
		mine = mine[n:]
	}
	return nil
}

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

// RunPolls reads new entries of the journal from the store, until ctx ends.
func (r *Roster) RunPolls(ctx context.Context) error {
	failing := false
	for {
		err := r.opts.Journal.CatchUp(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if failing != (err != nil) {
			failing = err != nil
			r.logStore(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(r.pollInterval()):
		}
	}
}

func (r *Roster) logStore(err error) {
	if err != nil {
		r.log.Warn("the store doesn't answer; going on with what is known", zap.Error(err))
		return
	}
	r.log.Info("the store answers again")
}

func (r *Roster) pollInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := max(pollFloor, time.Duration(r.view.EntryCount())*pollPerEntry)
	return mean/2 + time.Duration(r.rand.Int64N(int64(mean)))
}

// RunDetector finds silent agents and entries, until ctx ends.
func (r *Roster) RunDetector(ctx context.Context) error {
	return timer.Every(ctx, detectInterval, func() {
		r.merge(r.detect()...)
	})
}

// detect returns lost records for the processes that have been silent for too long.
func (r *Roster) detect() []view.Record {
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.Expire(now)
	paused := !r.checked.IsZero() && now.Sub(r.checked) > pauseLimit
	r.checked = now
	if paused {
		r.forgiveAll(now)
		return nil
	}
	return append(r.silentAgents(now), r.silentEntries(now)...)
}

// forgiveAll starts all waits anew: after a pause of this process it is its own ears that were shut.
func (r *Roster) forgiveAll(now time.Time) {
	r.log.Warn("this process was paused; the failure detector starts anew")
	for addr, h := range r.heard {
		h.at = now
		r.heard[addr] = h
	}
	clear(r.probes)
}

func (r *Roster) silentAgents(now time.Time) []view.Record {
	var lost []view.Record
	for addr, h := range r.heard {
		if now.Sub(h.at) < lostAfter {
			continue
		}
		delete(r.heard, addr)
		lost = r.appendLost(lost, addr, now)
	}
	return lost
}

func (r *Roster) silentEntries(now time.Time) []view.Record {
	var lost []view.Record
	for addr, p := range r.probes {
		if now.Sub(p.sent) < syncInterval {
			continue
		}
		p.missed++
		p.sent = now
		rec, ok := r.view.Get(addr)
		if p.missed >= probeFailures || !ok {
			delete(r.probes, addr)
			lost = r.appendLost(lost, addr, now)
			continue
		}
		go func() {
			_ = ctrl.Send(r.opts.Link, rec.Control, ctrl.KindSync, r.syncFor(rec, false))
		}()
	}
	return lost
}

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
