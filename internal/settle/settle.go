// Package settle decides when a process that has started may take the agents that it knows for all agents of the deployment.
//
// That an agent is missing from the directory doesn't show that there is none: the store may have taken away its key, and those of the
// processes that know it. So a process waits for evidence: the list of a process that is settled itself, a start of the whole deployment,
// or a read of the directory at a time by which every running process has noticed that its key is missing.
//
// The package does no I/O and reads no clock.
package settle

import (
	"net/netip"
	"time"
)

const (
	// DiscoveryTime is how long after its start a process has received heartbeats from all processes that know it or are listed in the
	// directory: five heartbeat intervals of agents.
	DiscoveryTime = time.Second
	// GossipTime applies in place of a read of the directory after a start of the whole deployment: a few gossip exchanges spread the
	// records of all processes.
	GossipTime = 6 * time.Second
	// StartSpread is how far apart the starts of two processes may be that started together.
	StartSpread = 4 * time.Second
	// ReplacementTime is how long after its start a process has received a heartbeat with the record from all processes that knew the one
	// before it at its address, also if one was lost.
	ReplacementTime = 2 * DiscoveryTime
	// RelistTime is how long after its start a process can rely on a read of the directory alone. It is longer than the interval at which
	// processes check that they are listed, by the delay of stale reads and some failed calls.
	RelistTime = 20 * time.Second
)

// Evidence is what a process knows of the completeness of what it knows.
type Evidence struct {
	// Uptime is the time since the process's start.
	Uptime time.Duration
	// Read is set once the directory was read, ReadAt is the uptime at the last time.
	Read   bool
	ReadAt time.Duration
	// ListReceived is set once a process that is settled has sent its whole list.
	ListReceived bool
	// HeardAgent is set if an agent was heard, the others if an agent or an entry was heard that has run for longer by more than StartSpread,
	// or whose uptime isn't known.
	HeardAgent, HeardOlderAgent, HeardOlderEntry bool
	// Replaces is set if an agent has told that another process had run at this one's address for RelistTime. All agents knew that one.
	Replaces bool
}

// Reason is why a process is settled.
type Reason string

// The reasons.
const (
	// Unsettled means that it isn't.
	Unsettled Reason = ""
	// Told means that a settled process has sent its list.
	Told Reason = "list of another process"
	// StartedTogether means that all processes that are heard have just started.
	StartedTogether Reason = "start of all processes"
	// Replacement means that no entry that was up before is heard, and that agents still send heartbeats to the process's address.
	Replacement Reason = "heartbeats for an earlier process"
	// Relisted means that every running process must be listed by now.
	Relisted Reason = "directory"
)

// Decide returns why a process with some evidence is settled, or Unsettled.
func Decide(e Evidence) Reason {
	switch {
	case e.Uptime < DiscoveryTime:
		return Unsettled
	case e.ListReceived:
		return Told
	case e.Read && e.ReadAt >= RelistTime:
		return Relisted
	case e.HeardAgent && !e.HeardOlderEntry:
		return decideAmongNew(e)
	}
	return Unsettled
}

// decideAmongNew decides for a process that hears no entry that was up before it.
func decideAmongNew(e Evidence) Reason {
	switch {
	case !e.HeardOlderAgent && (e.Read || e.Uptime >= GossipTime):
		return StartedTogether
	case e.Replaces && e.Read && e.Uptime >= ReplacementTime:
		return Replacement
	}
	return Unsettled
}

// MaxParts is the largest number of parts of a list.
const MaxParts = 64

// Part identifies one part of a list: its index, the number of parts, and the list's number among those of its sender.
type Part struct {
	List         uint32
	Index, Count uint8
}

// parts is the set of received parts of a list, by their indexes.
type parts struct {
	list     uint32
	received uint64
}

// Lists collects the parts of lists. It keeps one list of each sender, and is not safe for concurrent use.
type Lists struct{ bySender map[netip.AddrPort]parts }

// Record records the receipt of a part, and reports whether all parts of its list have been received.
func (l *Lists) Record(from netip.AddrPort, p Part) bool {
	if p.Count == 0 || p.Count > MaxParts || p.Index >= p.Count {
		return false
	}
	if l.bySender == nil {
		l.bySender = make(map[netip.AddrPort]parts)
	}
	got := l.bySender[from]
	if got.list != p.List {
		got = parts{list: p.List}
	}
	got.received |= 1 << p.Index
	l.bySender[from] = got
	all := ^uint64(0) >> (MaxParts - p.Count)
	return got.received&all == all
}
