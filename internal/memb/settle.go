package memb

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/settle"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// askInterval is the time between two rounds of hellos to known processes.
	askInterval = time.Second
	// maxAskedPeers is how many entries, and how many agents, get a hello in one round.
	maxAskedPeers = 2
)

// AllAgentsKnown reports whether this process knows all agents and receives heartbeats from most processes, so that a flow
// that no known agent holds is held by none.
func (n *Node) AllAgentsKnown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knowsAllAgents(time.Now())
}

// knowsAllAgents is AllAgentsKnown for callers that hold the lock.
func (n *Node) knowsAllAgents(now time.Time) bool { return n.isSettled(now) && n.hearsMost() }

// isSettled reports whether this process has had evidence that it knows all agents. Agents, which search for no flows, need none. The
// caller holds the lock.
func (n *Node) isSettled(now time.Time) bool {
	if n.settled || n.opts.Load != nil {
		return true
	}
	reason := settle.Decide(n.evidence(now))
	if reason == settle.Unsettled {
		return false
	}
	n.settled = true
	n.opts.Log.Info("all agents are known", zap.String("by", string(reason)), zap.Duration("uptime", now.Sub(n.startedAt)), zap.Int("processes", len(n.peers)))
	return true
}

// evidence returns what shows whether this process knows all agents. The caller holds the lock.
func (n *Node) evidence(now time.Time) settle.Evidence {
	e := settle.Evidence{
		Uptime: now.Sub(n.startedAt), Read: !n.directoryRead.IsZero(), ReadAt: n.directoryRead.Sub(n.startedAt), ListReceived: n.listReceived,
	}
	for a, p := range n.peers {
		r, ok := n.view.Get(a)
		if !ok || !p.contacted || r.State == view.Gone {
			continue
		}
		e.HeardAgent = e.HeardAgent || r.Role == view.Agent && !p.silent
		e.HeardOlder = e.HeardOlder || n.isOlder(p)
	}
	return e
}

// isOlder reports whether another process has started before this one, and not together with it, as far as is known. The caller holds the
// lock.
func (n *Node) isOlder(p *peer) bool {
	return p.startedAt.IsZero() || n.startedAt.Sub(p.startedAt) > settle.StartSpread
}

// settleReadDue reports whether the directory must be read by which this process is settled if nothing else has shown that. The caller
// holds the lock.
func (n *Node) settleReadDue(now time.Time) bool {
	due := n.startedAt.Add(settle.RelistTime)
	return now.After(due) && n.directoryRead.Before(due) && !n.isSettled(now)
}

// askPeers sends a hello to some known processes, which reply with those that they know, if that is due: after the start, and at an entry
// until it is settled. The directory may lack processes, and those that it lists know others.
func (n *Node) askPeers(now time.Time) {
	n.mu.Lock()
	starting := now.Sub(n.startedAt) <= startupPeriod
	if now.Sub(n.peersAsked) < askInterval || n.isSettled(now) && (n.opts.Load == nil || !starting) {
		n.mu.Unlock()
		return
	}
	n.peersAsked = now
	state, to := n.state(), n.peersToAsk()
	n.mu.Unlock()
	state.RequestPeers = true
	n.sendState(state, to)
}

// peersToAsk returns the control addresses of random processes that are heard, entries that are older than this process before others. The
// caller holds the lock.
func (n *Node) peersToAsk() []netip.AddrPort {
	var older, entries, agents []netip.AddrPort
	for a, p := range n.peers { // The order of map iteration is random.
		r, ok := n.view.Get(a)
		switch {
		case !ok || !p.contacted || p.silent || r.State == view.Gone:
		case r.Role == view.Agent:
			agents = append(agents, r.Control)
		case n.isOlder(p):
			older = append(older, r.Control)
		default:
			entries = append(entries, r.Control)
		}
	}
	entries = append(older, entries...)
	return append(entries[:min(len(entries), maxAskedPeers)], agents[:min(len(agents), maxAskedPeers)]...)
}

// recordListPart records the receipt of a part of the list of a settled process, whose records have been merged.
func (n *Node) recordListPart(from netip.AddrPort, part settle.Part) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lists.Record(from, part) {
		n.listReceived = true
	}
}

const (
	// helloReplyInterval is the shortest time between two replies to a process's hello, which processes repeat after their
	// start since datagrams can be lost.
	helloReplyInterval = time.Second
	// maxHelloRecords is the largest number of records in a reply that isn't a whole list: ten datagrams, so that a process to which many
	// send a hello at once isn't overloaded. Gossip and the directory provide the rest.
	maxHelloRecords = 10 * ctrl.MaxPeerRecords
	// maxListRecords is the largest number of records in a whole list.
	maxListRecords = 40 * ctrl.MaxPeerRecords
)

// replyToHello sends a process the records of processes that may run, or only those of entries if the requester is an agent. If this
// process knows all agents, an entry gets the whole list.
func (n *Node) replyToHello(to netip.AddrPort, requester view.Record) {
	now := time.Now()
	n.mu.Lock()
	if p := n.peers[requester.Packets]; p != nil {
		if now.Sub(p.lastHelloReply) < helloReplyInterval {
			n.mu.Unlock()
			return
		}
		p.lastHelloReply = now
	}
	records := n.runningProcesses(requester.Role)
	whole := n.opts.Load == nil && requester.Role == view.Entry && len(records) <= maxListRecords && n.knowsAllAgents(now)
	if whole {
		n.listsSent++
	}
	list := n.listsSent
	n.mu.Unlock()
	if !whole {
		n.sendRecordsInParts(to, records[:min(len(records), maxHelloRecords)], nil)
		return
	}
	n.sendRecordsInParts(to, records, &list)
}

// runningProcesses returns the records of this process and of the others that may run, or only of the entries among them for an agent. The
// caller holds the lock.
func (n *Node) runningProcesses(requester view.Role) []view.Record {
	records := []view.Record{n.self}
	for a, p := range n.peers { // The order of map iteration is random.
		if r, ok := n.view.Get(a); ok && p.mayRun(r) && (requester == view.Entry || r.Role == view.Entry) {
			records = append(records, r)
		}
	}
	return records
}

// sendRecordsInParts sends records to a process in as many datagrams as they take. list is the number of the list if they are a whole one.
func (n *Node) sendRecordsInParts(to netip.AddrPort, records []view.Record, list *uint32) {
	count := uint8((len(records) + ctrl.MaxPeerRecords - 1) / ctrl.MaxPeerRecords)
	for i := uint8(0); len(records) > 0; i++ {
		size := min(len(records), ctrl.MaxPeerRecords)
		msg := ctrl.PeerRecords{Records: records[:size]}
		if list != nil {
			msg.List, msg.Index, msg.Count = *list, i, count
		}
		n.sendPeerRecords(to, msg)
		records = records[size:]
	}
}
