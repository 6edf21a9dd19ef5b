package memb

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// maintainRegistration keeps the process registered in the directory, and reads the directory for other processes. If the store has
// lost the record, it registers again at once.
func (n *Node) maintainRegistration(ctx context.Context) error {
	r := registration{node: n}
	n.sendHello()
	r.maintain(ctx)
	err := timer.Every(ctx, directoryCheckInterval, func() { r.maintain(ctx) })
	if n.opts.Load == nil || n.isGone() {
		n.deregister(ctx)
	}
	return err
}

// registration is the state of a process's registration in the directory.
type registration struct {
	node                *Node
	registered, failing bool
	// lastAttempt is when the directory was last called, lastRenewal when the lease was last renewed, and lastRead when the directory
	// was last read.
	lastAttempt, lastRenewal, lastRead time.Time
}

// maintain renews the lease, or registers the process and reads the directory, if that is due.
func (r *registration) maintain(ctx context.Context) {
	n, now := r.node, time.Now()
	r.registered = r.registered && n.opts.Directory.Current()
	readDue := !r.registered || r.failing || now.Sub(r.lastRead) >= directoryReadInterval || n.rereadDue(now)
	renewalDue := now.Sub(r.lastRenewal) >= n.opts.Directory.KeepAliveInterval()
	if (!readDue && !renewalDue) || (r.failing && now.Sub(r.lastAttempt) < directoryRetryInterval) {
		return
	}
	r.lastAttempt = now
	if !readDue && n.opts.Directory.KeepAlive(ctx) == nil {
		r.lastRenewal = now
		return
	}
	err := n.syncDirectory(ctx, r.registered)
	if r.failing = err != nil; r.failing {
		n.opts.Log.Debug("directory sync failed", zap.Error(err))
		r.registered = n.opts.Directory.Current() // What was written needn't be written again with each retry.
		return
	}
	r.registered, r.lastRenewal, r.lastRead = true, now, now
}

// isGone reports whether this process has announced that it is gone.
func (n *Node) isGone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.State == view.Gone
}

// deregister removes the record of an entry, or of an agent that is gone, from the directory. Another agent stays registered
// until its lease expires: the lease also holds the list of its backend server's flows, which the next process at its address
// reads.
func (n *Node) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := n.opts.Directory.Deregister(ctx); err != nil {
		n.opts.Log.Debug("directory record not removed", zap.Error(err))
	}
}

const (
	directoryCheckInterval = 100 * time.Millisecond
	// directoryReadInterval is how often a process reads the whole directory and checks that it is still listed there.
	directoryReadInterval  = 15 * time.Second
	directoryRetryInterval = 700 * time.Millisecond
	deregisterTimeout      = 300 * time.Millisecond
)

// syncDirectory renews the process's lease, merges the records in the directory and registers the process if it isn't listed.
func (n *Node) syncDirectory(ctx context.Context, registered bool) error {
	n.mu.Lock()
	self, settled := n.self, n.isSettled(time.Now())
	n.mu.Unlock()
	if registered {
		if err := n.opts.Directory.KeepAlive(ctx); err != nil {
			registered = false
		}
	}
	if !registered {
		if err := n.register(ctx, self, "start or lost lease"); err != nil {
			return err
		}
	}
	stale := registered && settled && !n.rereadDue(time.Now())
	listings, err := n.opts.Directory.List(ctx, stale)
	if err != nil {
		n.mergeRecords(confirmedRecords(listings))
		return err
	}
	records := n.evaluateListings(listings, stale, time.Now())
	n.mergeRecords(records)
	n.recordDirectoryRead(records, time.Now())
	for _, r := range records {
		if r.Packets == self.Packets && r.Incarnation == self.Incarnation {
			return nil
		}
	}
	return n.register(ctx, self, "not listed")
}

// register writes the record of this process to the directory; why is for the log.
func (n *Node) register(ctx context.Context, self view.Record, why string) error {
	if err := n.opts.Directory.Register(ctx, self); err != nil {
		return err
	}
	n.opts.Log.Info("registered in the directory", zap.String("why", why), zap.Uint64("incarnation", self.Incarnation))
	return nil
}

// relistTime is how long after the store has lost changes the processes that are running have written their records again.
const relistTime = 3 * time.Second

// evaluateListings returns the records in the directory that are of processes to expect. Unconfirmed ones are, until relistTime after
// this process first saw the store's era: the directory is then read again, and what is still unconfirmed, and not heard of, is taken
// to have ended. A stale read, which may show the directory as it was seconds ago, counts for that only after directoryReadInterval.
func (n *Node) evaluateListings(listings []view.Listing, stale bool, now time.Time) []view.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	if era := n.opts.Directory.Era(); n.eraSeen.IsZero() || era != n.directoryEra {
		n.directoryEra, n.eraSeen = era, now
	}
	n.rereadAt = time.Time{}
	relisted := now.Sub(n.eraSeen) >= relistTime && (!stale || now.Sub(n.eraSeen) >= directoryReadInterval)
	var records []view.Record
	for _, l := range listings {
		p := n.peers[l.Packets]
		switch {
		case l.Unconfirmed && relisted && (p == nil || !p.contacted):
			n.dropUnconfirmed(l.Record, p, now)
			continue
		case l.Unconfirmed && !relisted:
			n.rereadAt = n.eraSeen.Add(relistTime)
		}
		records = append(records, l.Record)
	}
	return records
}

// confirmedRecords returns the records of listings that are confirmed.
func confirmedRecords(listings []view.Listing) []view.Record {
	var records []view.Record
	for _, l := range listings {
		if !l.Unconfirmed {
			records = append(records, l.Record)
		}
	}
	return records
}

// dropUnconfirmed forgets a process that is known only by an unconfirmed record, unless other entries hear it. The caller holds the
// lock.
func (n *Node) dropUnconfirmed(r view.Record, p *peer, now time.Time) {
	if p == nil || now.Sub(n.suspicions.ContradictedAt(r.Packets)) <= lostTimeout {
		return
	}
	n.opts.Log.Info("process is listed only by a record of before the store's loss", zap.Stringer("peer", r.Packets),
		zap.Stringer("peer_role", r.Role), zap.Uint64("incarnation", r.Incarnation))
	n.forgetPeer(r.Packets, now)
}

// rereadDue reports whether the directory must be read again since it had unconfirmed records, or processes may have been missing.
func (n *Node) rereadDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.rereadAt.IsZero() && now.After(n.rereadAt) || n.settleReadDue(now)
}

// recordDirectoryRead records which processes the directory listed at now, and tells those that are heard and aren't among them.
func (n *Node) recordDirectoryRead(records []view.Record, now time.Time) {
	n.mu.Lock()
	n.directoryRead = now
	for _, r := range records {
		if p := n.peers[r.Packets]; p != nil {
			p.listedAt = now
		}
	}
	var unlisted []netip.AddrPort
	for a, p := range n.peers {
		if r, ok := n.view.Get(a); ok && n.isUnlisted(r, p) {
			unlisted = append(unlisted, r.Control)
		}
	}
	n.mu.Unlock()
	n.sendUnlisted(unlisted)
}

// listingTime is how long after its start a process is listed, also in stale reads. A process that is told that it isn't reads the directory
// at most that often.
const listingTime = 5 * time.Second

// isUnlisted reports whether a process that is heard should have been in the directory when it was last read, and wasn't. The caller holds
// the lock.
func (n *Node) isUnlisted(r view.Record, p *peer) bool {
	return !n.directoryRead.IsZero() && p.contacted && !p.silent && r.State == view.Up && p.listedAt.Before(n.directoryRead) &&
		!p.startedAt.IsZero() && n.directoryRead.Sub(p.startedAt) > listingTime
}

// updatePeer updates a peer with the content of a heartbeat. It returns the control address of the sender if that is to be told that the
// directory doesn't list it: once when its uptime becomes known. The caller holds the lock.
func (n *Node) updatePeer(p *peer, state *ctrl.State, now time.Time) (unlisted []netip.AddrPort) {
	first := p.startedAt.IsZero()
	p.update(state, now, n.opts.Log)
	if r, ok := n.view.Get(state.Record.Packets); ok && first && n.isUnlisted(r, p) {
		return []netip.AddrPort{state.Record.Control}
	}
	return nil
}

// sendUnlisted tells processes that the directory doesn't list them.
func (n *Node) sendUnlisted(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	if err := ctrl.Broadcast(n.opts.Link, to, ctrl.KindPeerRecords, ctrl.PeerRecords{Unlisted: true}); err != nil {
		n.opts.Log.Debug("processes that aren't listed not told", zap.Error(err))
	}
}

// checkListing makes this process read the directory, as another one didn't find it there. The caller holds the lock.
func (n *Node) checkListing(now time.Time) {
	if now.Sub(n.directoryRead) > listingTime && n.rereadAt.IsZero() {
		n.rereadAt = now
	}
}
