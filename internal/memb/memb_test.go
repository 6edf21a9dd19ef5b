package memb

import (
	"context"
	"expvar"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const bound = 3 * time.Second

// directory is a directory in memory.
type directory struct {
	records []view.Record
	puts    int
	leaves  int
}

func (d *directory) Put(_ context.Context, r view.Record) error {
	d.puts++
	d.records = append(d.records, r)
	return nil
}
func (*directory) Keep(context.Context) error                          { return nil }
func (*directory) Interval() time.Duration                             { return time.Minute }
func (d *directory) List(context.Context, bool) ([]view.Record, error) { return d.records, nil }
func (d *directory) Leave(context.Context) error {
	d.leaves++
	return nil
}

var (
	self  = netip.MustParseAddrPort("127.0.0.1:1")
	other = netip.MustParseAddrPort("127.0.0.2:1")
)

func newNode(t *testing.T, d *directory) *Node {
	t.Helper()
	is := is.New(t)
	secret, err := fleet.SecretFromText("a secret for tests only")
	is.NoErr(err)
	conf, err := secret.TLS()
	is.NoErr(err)
	vars := new(expvar.Map)
	ln, link, err := ctrl.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"), conf, ctrl.NewCodec(secret), vars)
	is.NoErr(err)
	t.Cleanup(func() {
		_ = link.Close()
		_ = ln.Close()
	})
	return New(Options{
		Self: view.Record{Packets: self, Control: link.Addr(), Role: view.Entry, Domain: "a", Incarnation: 5, State: view.Up},
		Link: link, Listener: ln, Client: ctrl.NewClient(conf, new(expvar.Map)), Directory: d, Bound: bound, Log: zap.NewNop(), Vars: vars,
	})
}

func agent(service string) view.Record {
	return view.Record{
		Packets: other, Control: other, Role: view.Agent, Domain: "a", Incarnation: 1, State: view.Up, Service: Short(route.Number(service)),
	}
}

// An entry that has just started knows some agents only, so that what these deny may be held by others.
func TestProcessIsNotSureRightAfterItsStart(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.onState(other, ctrl.State{Record: agent("desk"), Server: &ctrl.ServerLoad{Ready: true}})
	is.True(n.Serves())
	is.True(!n.Sure())
	n.started = time.Now().Add(-2 * settleTime)
	is.True(!n.Sure()) // The directory has not been read.
	is.NoErr(n.listOnce(context.Background(), false))
	is.True(n.Sure())
	n.started = time.Now()
	is.True(!n.Sure())
	n.listed, n.started = time.Time{}, time.Now().Add(-2*settleAlone)
	is.True(n.Sure()) // Others have told of all by now.
}

func TestEntryThatHearsFewIsNotSure(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.started, n.listed = time.Now().Add(-time.Minute), time.Now()
	n.onState(other, ctrl.State{Record: agent("desk")})
	is.True(n.Sure())
	n.peers[other].heard = time.Now().Add(-2 * silentAfter)
	n.noteSilence(time.Now())
	is.True(!n.Sure())
	is.True(n.Dead(other))
}

// An agent that announced its stop is expected back, and its flows are not lost meanwhile.
func TestPlannedStopIsNoDeath(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	r := agent("desk")
	n.onState(other, ctrl.State{Record: r})
	r.State, r.Epoch = view.Draining, 1
	n.onState(other, ctrl.State{Record: r})
	n.peers[other].heard = time.Now().Add(-2 * silentAfter)
	n.noteSilence(time.Now())
	is.True(!n.Dead(other))
	is.Equal(len(n.Holders([]uint64{route.Number("desk")})), 1)
	n.peers[other].away = time.Now().Add(-2 * plannedLapse)
	is.True(n.Dead(other))
}

// A key that was taken from the directory is written again.
func TestMissingEntryIsListedAgain(t *testing.T) {
	is := is.New(t)
	d := new(directory)
	n := newNode(t, d)
	is.NoErr(n.listOnce(context.Background(), false))
	is.Equal(d.puts, 1)
	is.NoErr(n.listOnce(context.Background(), true))
	is.Equal(d.puts, 1)
	d.records = nil
	is.NoErr(n.listOnce(context.Background(), true))
	is.Equal(d.puts, 2)
}

// A configuration never goes back within a process's life.
func TestConfigurationDoesNotRegress(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.adopt(route.New(7, nil, 0), time.Now(), "test")
	n.adopt(route.New(6, nil, 0), time.Now(), "test")
	is.Equal(n.Version(), uint64(7))
}

// A process whose clock was stepped back starts with a lower incarnation than the one before it, and raises it.
func TestProcessRaisesItsIncarnation(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.onRoll(other, ctrl.PeerRecords{Records: []view.Record{{Packets: self, Control: self, Role: view.Entry, Incarnation: 9, State: view.Gone}}})
	is.True(n.self.Incarnation > 9)
	is.Equal(n.self.State, view.Up)
}

// A pause of this process is no silence of the others.
func TestPauseIsNoSilence(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.onState(other, ctrl.State{Record: agent("desk")})
	n.peers[other].heard = time.Now().Add(-3 * time.Second)
	n.ticked = time.Now().Add(-3 * time.Second)
	n.onTick()
	is.True(!n.peers[other].silent)
}

func TestMembersAreReadyWhileHeard(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.learn([]view.Record{agent("desk")})
	m := n.Members(route.Number("desk"))
	is.Equal(len(m), 1)
	is.True(!m[0].Ready) // Listed, and not heard.
	n.onState(other, ctrl.State{Record: agent("desk"), Server: &ctrl.ServerLoad{Ready: true, PendingRequests: 3}})
	n.Sent(other)
	m = n.Members(route.Number("desk"))
	is.True(m[0].Ready && m[0].Near)
	is.Equal(m[0].Load.Pending, 3)
	is.Equal(m[0].Sent, 1)
	entry := view.Record{Packets: netip.MustParseAddrPort("10.0.0.8:1"), Control: other, Role: view.Entry, Domain: "a", Incarnation: 1, State: view.Up}
	n.onState(entry.Control, ctrl.State{Record: entry})
	n.onTick()
	is.Equal(n.Members(route.Number("desk"))[0].Sent, 2) // The other entry of the failure domain has chosen alike.
}

// An agent's lease also holds the list of its server's flows, which the process after it needs: a planned stop must not
// end it.
func TestAgentKeepsItsLeaseAtAPlannedStop(t *testing.T) {
	is := is.New(t)
	d := new(directory)
	n := newNode(t, d)
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{} }
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(n.keepListed(ctx))
	is.Equal(d.leaves, 0)
}

// Most heartbeats are pulses, which hold no record; those that only show life leave the load and its age as they are, and
// say nothing of how new the configuration is.
func TestPulses(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	pulse := ctrl.CompactState{Packets: other, Incarnation: 1, Server: &ctrl.ServerLoad{Ready: true, PendingRequests: 3}, ConfigVersion: 7}
	n.onPulse(other, pulse)
	is.Equal(len(n.peers), 0) // Of an unknown record.
	n.onState(other, ctrl.State{Record: agent("desk"), Server: &ctrl.ServerLoad{Ready: true}, ConfigVersion: 7})
	n.onPulse(other, pulse)
	p := n.peers[other]
	is.Equal(p.load.PendingRequests, 3)
	n.adopt(route.New(7, nil, time.Second), time.Now().Add(-time.Second), "test")
	told, age := p.loaded, n.Age()
	p.heard = p.heard.Add(-time.Second)
	n.onPulse(other, ctrl.CompactState{Packets: other, Incarnation: 1})
	is.True(time.Since(p.heard) < time.Second)
	is.Equal(p.loaded, told)
	is.Equal(p.version, uint64(7))
	is.True(n.Age() >= age)
	heard := p.heard
	n.onPulse(other, ctrl.CompactState{Packets: other, Incarnation: 2})
	is.Equal(p.heard, heard) // Of a later process, whose record is not known yet.
}

// Processes that were just met get whole records, later ones mostly pulses; an agent tells its load to other failure domains
// half as often. Bytes between domains are dear.
func TestRoundsOfHeartbeats(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	n.opts.Load = func() ctrl.ServerLoad { return ctrl.ServerLoad{Ready: true} }
	near, far := view.Record{Packets: other, Control: other, Role: view.Entry, Domain: "a", Incarnation: 1, State: view.Up}, view.Record{}
	far = near
	far.Packets, far.Control, far.Domain = netip.MustParseAddrPort("10.0.0.9:1"), netip.MustParseAddrPort("10.0.0.9:2"), "b"
	n.onState(near.Control, ctrl.State{Record: near})
	n.onState(far.Control, ctrl.State{Record: far})
	full, pulse, alive := 0, 0, 0
	const rounds = 23
	for range rounds {
		r := n.round(time.Now(), false)
		full, pulse, alive = full+len(r.full), pulse+len(r.pulse), alive+len(r.alive)
		is.Equal(len(r.full)+len(r.pulse)+len(r.alive), 2)
	}
	is.Equal(full, 2*(fullBeats+(rounds-fullBeats)/fullEvery))
	is.Equal(alive, 8) // Of the 16 later ones to the other domain.
	n.Stop(view.Draining)
	is.Equal(n.told.State, view.Draining)
	r := n.round(time.Now(), true)
	is.Equal(len(r.full)+len(r.pulse)+len(r.alive), 1) // Only the near one.
}

// counted returns a counter of a node's messages.
func counted(n *Node, name string) int64 {
	if v, ok := n.opts.Vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// A process that greets again and again, as it does while it is young, is answered once a second, and an agent is told of
// entries only: many that start at once would otherwise choke the few that all of them greet.
func TestGreetingsAreAnsweredSparingly(t *testing.T) {
	is := is.New(t)
	n := newNode(t, new(directory))
	for i := range 200 {
		r := agent("desk")
		r.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 1)
		n.onState(r.Packets, ctrl.State{Record: r})
	}
	sent := func() int64 { return counted(n, "messages_out") }
	asker := agent("desk")
	before := sent()
	n.onState(asker.Control, ctrl.State{Record: asker, RequestPeers: true})
	is.Equal(sent()-before, int64(1)) // The node is the only entry.
	n.onState(asker.Control, ctrl.State{Record: asker, RequestPeers: true})
	is.Equal(sent()-before, int64(1))
	young := asker
	young.Packets, young.Role = netip.MustParseAddrPort("10.8.0.1:1"), view.Entry
	n.onState(asker.Control, ctrl.State{Record: young, RequestPeers: true})
	is.Equal(sent()-before, int64(1+answerMost/ctrl.MaxPeerRecords))
}
