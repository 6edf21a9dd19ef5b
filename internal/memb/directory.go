package memb

import (
	"context"
	"time"

	"go.uber.org/zap"

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

// recordDirectoryRead records which processes the directory listed at now.
func (n *Node) recordDirectoryRead(records []view.Record, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directoryRead = now
	for _, r := range records {
		if p := n.peers[r.Packets]; p != nil {
			p.listedAt = now
		}
	}
}
