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
	a.choices.put(hashID(id), other, time.Now()) // It has chosen the other agent, which has chosen this one.
	got, ok := a.routeNew(id, true)
	is.True(ok)
	is.Equal(got, a.conn.Addr())
	got, ok = a.routeNew(id, false) // The handshake's later datagrams come to the same agent.
	is.True(ok)
	is.Equal(got, a.conn.Addr())
}

func TestChoiceOfAnEndedAgentIsMadeAnew(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	other := view.Record{Packets: netip.MustParseAddrPort("127.0.0.1:9"), Role: view.Agent, Weight: 1, State: view.Up}
	id := []byte("12345678")
	know := func(state view.State) {
		k := *a.know.get()
		other.State = state
		k.members = []view.Record{other}
		a.know.now.Store(&k)
	}
	a.choices.put(hashID(id), other.Packets, time.Now())
	know(view.Up)
	got, ok := a.routeNew(id, false)
	is.True(ok)
	is.Equal(got, other.Packets)
	know(view.Draining) // Its datagrams would be swallowed there.
	got, ok = a.routeNew(id, false)
	is.True(ok)
	is.Equal(got, a.conn.Addr())
}

func TestEntryForSilentCaller(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	entry := func(port uint16, state view.State) view.Record {
		return view.Record{Packets: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Role: view.Entry, Incarnation: 1, State: state}
	}
	k := *a.know.get()
	k.entries = []view.Record{entry(1, view.Up), entry(2, view.Up), entry(3, view.Lost)}
	a.know.now.Store(&k)
	last := k.entries[0].Packets
	is.Equal(a.entryFor(last, 0, 1), last)
	is.Equal(a.entryFor(last, time.Second, 2), last) // Silence alone says nothing: little was sent.
	used := map[netip.AddrPort]bool{}
	for sent := range 10 {
		used[a.entryFor(last, time.Second, trustSent+1+sent)] = true
	}
	is.Equal(len(used), 2)                                                  // It tries the living ones in turn.
	is.True(a.entryFor(k.entries[2].Packets, 0, 1) != k.entries[2].Packets) // A lost entry isn't used.
	unknown := netip.MustParseAddrPort("10.9.9.9:1")
	is.Equal(a.entryFor(unknown, 0, 1), unknown) // One that is merely unknown is.
}
