package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotrun/bergamotrun/internal/place"
	"github.com/bergamotrun/bergamotrun/internal/steer"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/internal/wrap"
)

const (
	// envelopeOverhead is the number of bytes that an envelope and its IPv4 and UDP headers add to a datagram.
	envelopeOverhead = wrap.HeaderSize + 28
	// choiceTTL is how long the agent chosen for a handshake is kept for the handshake's later datagrams.
	choiceTTL = 10 * time.Second
	// maxChoices bounds the number of handshakes in a choiceTable.
	maxChoices = 8192
	// A reply leaves through the entry of the caller's last datagram until the caller has been silent for maxPathSilence and
	// more than maxUnansweredDatagrams were sent to it.
	maxPathSilence         = 300 * time.Millisecond
	maxUnansweredDatagrams = 4
)

// handshakeChoice is the agent chosen for a handshake.
type handshakeChoice struct {
	agent   netip.AddrPort
	expires time.Time
}

// choiceTable holds the agents chosen for handshakes. It is safe for concurrent use.
type choiceTable struct {
	mu      sync.Mutex
	choices map[uint64]handshakeChoice
}

func (t *choiceTable) get(key uint64, now time.Time) (netip.AddrPort, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.choices[key]
	return c.agent, ok && now.Before(c.expires)
}

func (t *choiceTable) put(key uint64, agent netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.choices == nil || len(t.choices) >= maxChoices {
		t.evict(now)
	}
	t.choices[key] = handshakeChoice{agent: agent, expires: now.Add(choiceTTL)}
}

// evict removes the expired choices, or all if the table is still full then.
func (t *choiceTable) evict(now time.Time) {
	for key, c := range t.choices {
		if now.After(c.expires) {
			delete(t.choices, key)
		}
	}
	if t.choices == nil || len(t.choices) >= maxChoices {
		t.choices = make(map[uint64]handshakeChoice)
	}
}

// choiceKey returns the key of a handshake in a choiceTable.
func choiceKey(connectionID []byte) uint64 { return xxhash.Sum64(connectionID) }

// routeNewFlow returns the agent that accepts the flow opened with connectionID. All datagrams of a handshake go to the
// agent chosen for the first one, as long as the choice holds. A flow is passed on at most once. The result is false if
// this agent would have to accept the flow, but is stopping or its contract is retired.
func (a *Agent) routeNewFlow(connectionID []byte, passed bool) (netip.AddrPort, bool) {
	self := a.ownRecord()
	now := time.Now()
	key := choiceKey(connectionID)
	if chosen, ok := a.handshakeChoices.get(key, now); ok && a.choiceHolds(chosen, self.Packets, passed) {
		return chosen, true
	}
	chosen := self.Packets
	if !passed {
		chosen = a.chooseAgent(connectionID, self, now)
	}
	retired := a.service.get().record.Retired
	if chosen == self.Packets && (retired || a.stopping.Load()) {
		return netip.AddrPort{}, false
	}
	a.handshakeChoices.put(key, chosen, now)
	if chosen == self.Packets {
		a.handshakes.Add(1)
	}
	return chosen, true
}

// choiceHolds reports whether an earlier choice is still valid. Another agent isn't if the flow was passed on already, or if
// the agent no longer accepts flows.
func (a *Agent) choiceHolds(chosen, self netip.AddrPort, passed bool) bool {
	if chosen == self {
		return true
	}
	if passed {
		return false
	}
	for _, r := range a.service.get().agents {
		if r.Packets == chosen {
			return r.State == view.Up
		}
	}
	return false
}

// chooseAgent chooses between this agent and the best of its peers for a new flow.
func (a *Agent) chooseAgent(connectionID []byte, self view.Record, now time.Time) netip.AddrPort {
	peer, ok := a.bestPeer(connectionID, self)
	if !ok {
		return self.Packets
	}
	report, reportAge := a.peers.lastReport(peer.Control, now)
	state := a.service.get()
	limit := state.record.Contract.Connections
	own := steer.Agent{
		Flows:    a.flowsAndHandshakes(),
		Limit:    limit,
		Draining: a.draining.Load(),
		Failing:  a.scheduler.load().Failing,
	}
	other := steer.Agent{Flows: report.flows + report.passedFlows, Limit: limit, Draining: report.Draining, Failing: report.Failing}
	if a.opts.Policy.PassFlow(own, other, reportAge) {
		a.peers.recordPassedFlow(peer.Control)
		return peer.Packets
	}
	return self.Packets
}

// bestPeer returns the peer that place.Choose ranks first for a flow.
func (a *Agent) bestPeer(connectionID []byte, self view.Record) (view.Record, bool) {
	var candidates []place.Candidate
	var records []view.Record
	for _, r := range a.service.get().agents {
		if r.State == view.Up && r.Packets != self.Packets {
			candidates = append(candidates, place.Candidate{Agent: r.Packets, Domain: r.Domain, Weight: r.Weight})
			records = append(records, r)
		}
	}
	choice := place.Choose(connectionID, candidates)
	if choice.First < 0 {
		return view.Record{}, false
	}
	return records[choice.First], true
}

// replyEntry returns the entry through which to send to a caller: the one through which its last datagram came, or the
// forwarding entries in turn if the caller has been silent since, as that entry may have failed.
func (a *Agent) replyEntry(last netip.AddrPort, sinceReceived time.Duration, sent int) netip.AddrPort {
	entries := a.service.get().entries
	forwarding := 0
	lastForwards := true
	for i := range entries {
		forwards := entries[i].State == view.Up || entries[i].State == view.Draining
		if forwards {
			forwarding++
		}
		if entries[i].Packets == last && !forwards {
			lastForwards = false
		}
	}
	lastTrusted := sinceReceived < maxPathSilence || sent <= maxUnansweredDatagrams
	if (last.IsValid() && lastForwards && lastTrusted) || forwarding == 0 {
		return last
	}
	return nthForwardingEntry(entries, sent%forwarding)
}

// nthForwardingEntry returns the address of the n-th entry that forwards datagrams, counted from 0.
func nthForwardingEntry(entries []view.Record, n int) netip.AddrPort {
	for i := range entries {
		if entries[i].State != view.Up && entries[i].State != view.Draining {
			continue
		}
		if n == 0 {
			return entries[i].Packets
		}
		n--
	}
	return netip.AddrPort{}
}
