package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/view"
)

func TestPassedFlowIsNotPassedAgain(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	other := netip.MustParseAddrPort("127.0.0.1:9")
	id := []byte("12345678")
	a.handshakeChoices.put(choiceKey(id), other, time.Now()) // This agent has chosen the other one, which has chosen this one.
	got, ok := a.routeNewFlow(id, true)
	is.True(ok)
	is.Equal(got, a.conn.Addr())
	got, ok = a.routeNewFlow(id, false) // Later datagrams of the handshake stay with the same agent.
	is.True(ok)
	is.Equal(got, a.conn.Addr())
}

func TestChoiceOfDrainingAgentIsReplaced(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	other := view.Record{Packets: netip.MustParseAddrPort("127.0.0.1:9"), Role: view.Agent, Weight: 1, State: view.Up}
	id := []byte("12345678")
	setPeerState := func(state view.State) {
		updated := *a.service.get()
		other.State = state
		updated.agents = []view.Record{other}
		a.service.current.Store(&updated)
	}
	a.handshakeChoices.put(choiceKey(id), other.Packets, time.Now())
	setPeerState(view.Up)
	got, ok := a.routeNewFlow(id, false)
	is.True(ok)
	is.Equal(got, other.Packets)
	setPeerState(view.Draining) // A draining agent would drop the datagrams.
	got, ok = a.routeNewFlow(id, false)
	is.True(ok)
	is.Equal(got, a.conn.Addr())
}

func TestReplyEntryForSilentCaller(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	entry := func(port uint16, state view.State) view.Record {
		return view.Record{Packets: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Role: view.Entry, Incarnation: 1, State: state}
	}
	updated := *a.service.get()
	updated.entries = []view.Record{entry(1, view.Up), entry(2, view.Up), entry(3, view.Lost)}
	a.service.current.Store(&updated)
	last := updated.entries[0].Packets
	is.Equal(a.replyEntry(last, 0, 1), last)
	is.Equal(a.replyEntry(last, time.Second, 2), last) // Too few datagrams were sent to expect one from the caller.
	used := map[netip.AddrPort]bool{}
	for sent := range 10 {
		used[a.replyEntry(last, time.Second, maxUnansweredDatagrams+1+sent)] = true
	}
	is.Equal(len(used), 2)                                                                // The forwarding entries are used in turn.
	is.True(a.replyEntry(updated.entries[2].Packets, 0, 1) != updated.entries[2].Packets) // A lost entry isn't used.
	unknown := netip.MustParseAddrPort("10.9.9.9:1")
	is.Equal(a.replyEntry(unknown, 0, 1), unknown) // An entry that is only unknown is used.
}
