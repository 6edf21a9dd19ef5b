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
	// envelopeOverhead is what an envelope and its IP and UDP headers add to a datagram, in bytes.
	envelopeOverhead = wrap.HeaderSize + 28
	// choiceLife is how long the agent chosen for a handshake is remembered for its later datagrams.
	choiceLife = 10 * time.Second
	// maxChoices bounds the handshakes remembered.
	maxChoices = 8192
	// trustSilence and trustSent tell how long and for how many datagrams the entry by which a caller was last heard is used.
	trustSilence = 300 * time.Millisecond
	trustSent    = 4
)

// choice is the agent chosen for a handshake.
type choice struct {
	agent netip.AddrPort
	until time.Time
}

// choiceTable remembers the agents chosen for handshakes. It is safe for concurrent use.
type choiceTable struct {
	mu      sync.Mutex
	choices map[uint64]choice
}

func (t *choiceTable) get(key uint64, now time.Time) (netip.AddrPort, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.choices[key]
	return c.agent, ok && now.Before(c.until)
}

func (t *choiceTable) put(key uint64, agent netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.choices == nil || len(t.choices) >= maxChoices {
		t.forget(now)
	}
	t.choices[key] = choice{agent: agent, until: now.Add(choiceLife)}
}

// forget drops the choices that are over, or all where that doesn't make room.
func (t *choiceTable) forget(now time.Time) {
	for key, c := range t.choices {
		if now.After(c.until) {
			delete(t.choices, key)
		}
	}
	if t.choices == nil || len(t.choices) >= maxChoices {
		t.choices = make(map[uint64]choice)
	}
}

// hashID returns the key under which a handshake is remembered.
func hashID(id []byte) uint64 { return xxhash.Sum64(id) }

// routeNew returns the agent that takes the flow opened with connection ID id. A flow is passed on once at the most.
func (a *Agent) routeNew(id []byte, passed bool) (netip.AddrPort, bool) {
	self := a.record()
	now := time.Now()
	key := hashID(id)
	if chosen, ok := a.choices.get(key, now); ok && a.stands(chosen, self.Packets, passed) {
		return chosen, true
	}
	chosen := self.Packets
	if !passed {
		chosen = a.chooseAgent(id, self, now)
	}
	retired := a.know.get().record.Retired
	if chosen == self.Packets && (retired || a.leaving.Load()) {
		return netip.AddrPort{}, false
	}
	a.choices.put(key, chosen, now)
	if chosen == self.Packets {
		a.opening.Add(1)
	}
	return chosen, true
}

// stands reports whether a choice made before still holds: a flow is passed on once at the most, and not
// to an agent that takes none any more.
func (a *Agent) stands(chosen, self netip.AddrPort, passed bool) bool {
	if chosen == self {
		return true
	}
	if passed {
		return false
	}
	for _, r := range a.know.get().members {
		if r.Packets == chosen {
			return r.State == view.Up
		}
	}
	return false
}

// chooseAgent decides between this agent and the best of its peers for the flow.
func (a *Agent) chooseAgent(id []byte, self view.Record, now time.Time) netip.AddrPort {
	peer, ok := a.bestPeer(id, self)
	if !ok {
		return self.Packets
	}
	load, age := a.peers.flowLoad(peer.Control, now)
	k := a.know.get()
	limit := k.record.Contract.Connections
	own := steer.Agent{
		Flows:    a.flowCount(),
		Limit:    limit,
		Draining: a.draining.Load(),
		Failing:  a.work.load().Failing,
	}
	other := steer.Agent{Flows: load.flows + load.passed, Limit: limit, Draining: load.Draining, Failing: load.Failing}
	if a.opts.Policy.Pass(own, other, age) {
		a.peers.passedFlow(peer.Control)
		return peer.Packets
	}
	return self.Packets
}

// bestPeer returns the peer with the highest score for the flow.
func (a *Agent) bestPeer(id []byte, self view.Record) (view.Record, bool) {
	var members []place.Candidate
	var records []view.Record
	for _, r := range a.know.get().members {
		if r.State == view.Up && r.Packets != self.Packets {
			members = append(members, place.Candidate{Agent: r.Packets, Domain: r.Domain, Weight: r.Weight})
			records = append(records, r)
		}
	}
	c := place.Choose(id, members)
	if c.First < 0 {
		return view.Record{}, false
	}
	return records[c.First], true
}

// entryFor returns the entry through which to send to a caller: the one by which it was last heard, or
// one after the other where the caller has gone silent since, which may be that entry's fault.
func (a *Agent) entryFor(last netip.AddrPort, silent time.Duration, sent int) netip.AddrPort {
	entries := a.know.get().entries
	usable := 0
	lastUsable := true
	for i := range entries {
		up := entries[i].State == view.Up || entries[i].State == view.Draining
		if up {
			usable++
		}
		if entries[i].Packets == last && !up {
			lastUsable = false
		}
	}
	trusted := silent < trustSilence || sent <= trustSent
	if (last.IsValid() && lastUsable && trusted) || usable == 0 {
		return last
	}
	return nthUsable(entries, sent%usable)
}

// nthUsable returns the address of the n-th entry that forwards.
func nthUsable(entries []view.Record, n int) netip.AddrPort {
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
