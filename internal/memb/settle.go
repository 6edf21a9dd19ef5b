package memb

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/settle"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// askInterval is the time between two rounds of hellos to known processes.
	askInterval = time.Second
	// longPause is how long a process may stand still and still know all agents: those that start meanwhile find it in the directory, and
	// their heartbeats show them.
	longPause = 5 * time.Second
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
	since := latest(n.startedAt, n.settlingSince)
	e := settle.Evidence{
		Uptime: now.Sub(since), Read: !n.directoryRead.Before(since), ReadAt: n.directoryRead.Sub(since), ListReceived: n.listReceived, Replaces: n.replaces,
	}
	for a, p := range n.peers {
		r, ok := n.view.Get(a)
		if !ok || !p.contacted || r.State == view.Gone {
			continue
		}
		e.HeardAgent = e.HeardAgent || r.Role == view.Agent && !p.silent
		e.HeardOlderAgent = e.HeardOlderAgent || r.Role == view.Agent && n.isOlder(p)
		e.HeardOlderEntry = e.HeardOlderEntry || r.Role == view.Entry && n.isOlder(p)
	}
	return e
}

// isOlder reports whether another process has started before this one, and not together with it, as far as is known. The caller holds the
// lock.
func (n *Node) isOlder(p *peer) bool {
	return p.startedAt.IsZero() || latest(n.startedAt, n.settlingSince).Sub(p.startedAt) > settle.StartSpread
}

// unsettleAfter makes this process look for evidence again if it stood still for too long until now. The caller holds the lock.
func (n *Node) unsettleAfter(pause time.Duration, now time.Time) {
	if pause < longPause || n.opts.Load != nil {
		return
	}
	n.settled, n.listReceived, n.replaces, n.lists = false, false, false, settle.Lists{}
	n.settlingSince, n.rereadAt = now, now
}

// settleReadDue reports whether the directory must be read by which this process is settled if nothing else has shown that. The caller
// holds the lock.
func (n *Node) settleReadDue(now time.Time) bool {
	due := latest(n.startedAt, n.settlingSince).Add(settle.RelistTime)
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

// recordReply records what another process has told besides its records, which have been merged.
func (n *Node) recordReply(from netip.AddrPort, reply *ctrl.PeerRecords) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Unlisted {
		n.checkListing(time.Now())
	}
	n.replaces = n.replaces || reply.Replaces && n.settlingSince.IsZero()
	if n.lists.Record(from, settle.Part{List: reply.List, Index: reply.Index, Count: reply.Count}) {
		n.listReceived = true
	}
}

// recordUptime records how long the process says that it has been running, at now. A lower time than before shows that it is another process.
func (p *peer) recordUptime(uptime time.Duration, now time.Time) {
	if uptime == 0 {
		return
	}
	p.replaces = p.replaces || uptime < p.uptime && p.uptime >= settle.RelistTime
	p.uptime, p.startedAt = uptime, now.Add(-uptime)
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
	replaces := false
	n.mu.Lock()
	if p := n.peers[requester.Packets]; p != nil {
		if now.Sub(p.lastHelloReply) < helloReplyInterval {
			n.mu.Unlock()
			return
		}
		p.lastHelloReply, replaces = now, p.replaces
	}
	records := n.runningProcesses(requester.Role)
	whole := n.opts.Load == nil && requester.Role == view.Entry && len(records) <= maxListRecords && n.knowsAllAgents(now)
	reply := ctrl.PeerRecords{Replaces: replaces}
	if whole {
		n.listsSent++
		reply.List, reply.Count = n.listsSent, uint8((len(records)+ctrl.MaxPeerRecords-1)/ctrl.MaxPeerRecords)
	} else {
		records = records[:min(len(records), maxHelloRecords)]
	}
	n.mu.Unlock()
	for part := range slices.Chunk(records, ctrl.MaxPeerRecords) {
		reply.Records = part
		n.sendPeerRecords(to, reply)
		reply.Index++
	}
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
