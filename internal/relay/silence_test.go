package relay

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/memb"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// fixedTable is a memb.Source whose configuration doesn't change.
type fixedTable struct{ table *route.Table }

func (s fixedTable) Read(context.Context) (*route.Table, error) { return s.table, nil }
func (fixedTable) Watch(ctx context.Context) (*route.Table, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// fixedDirectory is a memb.Directory that lists the same processes at all times.
type fixedDirectory struct{ records []view.Record }

func (*fixedDirectory) Register(context.Context, view.Record) error { return nil }
func (*fixedDirectory) KeepAlive(context.Context) error             { return nil }
func (*fixedDirectory) KeepAliveInterval() time.Duration            { return time.Minute }
func (*fixedDirectory) Current() bool                               { return true }
func (*fixedDirectory) Era() uint64                                 { return 0 }
func (*fixedDirectory) Deregister(context.Context) error            { return nil }

func (d *fixedDirectory) List(context.Context, bool) ([]view.Listing, error) {
	var listings []view.Listing
	for _, r := range d.records {
		listings = append(listings, view.Listing{Record: r})
	}
	return listings, nil
}

// deployment runs the membership of entries and of two agents whose heartbeats the test controls.
type deployment struct {
	*is.I
	entries   []*memb.Node
	agents    []view.Record
	agentLink *ctrl.Link
	directory fixedDirectory
	instances instances
}

// instances is the memb.Connector of a deployment, none of whose instances answers unless live is set.
type instances struct{ live atomic.Bool }

// Connect implements memb.Connector.
func (c *instances) Connect(ctx context.Context, addr netip.AddrPort) (bool, error) {
	if !c.live.Load() {
		return false, nil
	}
	return memb.TCPConnector{}.Connect(ctx, addr)
}

func newDeployment(t *testing.T, tr *testRelay, entries int) *deployment {
	t.Helper()
	d := &deployment{I: is.New(t)}
	secret, err := fleet.SecretFromText("a secret for tests only")
	d.NoErr(err)
	conf, err := secret.TLSConfig()
	d.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, entries)
	var options []memb.Options
	listen := func() (net.Listener, *ctrl.Link) {
		ln, link, err := ctrl.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"), conf, ctrl.NewCodec(secret), new(expvar.Map))
		d.NoErr(err)
		return ln, link
	}
	agentListener, agentLink := listen()
	d.agentLink = agentLink
	for i, conn := range []*net.UDPConn{tr.agentA, tr.agentB} {
		d.agents = append(d.agents, view.Record{
			Packets: ptest.Addr(conn), Control: agentLink.Addr(), Role: view.Agent, Domain: "a", Incarnation: uint64(i + 1), State: view.Up,
			Service: memb.ServiceNumber(route.ServiceID("desk")),
		})
	}
	for i := range entries {
		ln, link := listen()
		self := view.Record{Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 1), Control: link.Addr(),
			Role: view.Entry, Domain: "a", Incarnation: 1, State: view.Up}
		d.directory.records = append(d.directory.records, self)
		options = append(options, d.options(self, ln, link, conf, tr.cluster.table))
	}
	d.directory.records = append(d.directory.records, d.agents...)
	for _, o := range options {
		n := memb.New(o)
		d.entries = append(d.entries, n)
		go func() { done <- n.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range d.entries {
			d.NoErr(<-done)
		}
		_ = agentListener.Close()
		_ = agentLink.Close()
	})
	return d
}

func (d *deployment) options(self view.Record, ln net.Listener, link *ctrl.Link, conf *tls.Config, table *route.Table) memb.Options {
	return memb.Options{
		Self: self, Link: link, Listener: ln, Client: ctrl.NewClient(conf, new(expvar.Map)), Source: fixedTable{table},
		Directory: &d.directory, Connector: &d.instances, Suspended: func() time.Duration { return 0 }, MaxConfigAge: 3 * time.Second, Log: zap.NewNop(), Vars: new(expvar.Map),
	}
}

// run sends heartbeats of the first agent to the given entries, and of the second one to all, for a time.
func (d *deployment) run(duration time.Duration, firstAgentTo []netip.AddrPort) {
	d.Helper()
	var all []netip.AddrPort
	for _, r := range d.directory.records[:len(d.entries)] {
		all = append(all, r.Control)
	}
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for i, to := range [][]netip.AddrPort{firstAgentTo, all} {
			state := ctrl.State{Record: d.agents[i], Server: &ctrl.ServerLoad{Ready: true, Slots: 4}, Uptime: time.Second}
			d.NoErr(ctrl.Broadcast(d.agentLink, to, ctrl.KindState, state))
		}
	}
}

// Guards against a reset of a flow whose agent is silent at this entry alone.
func TestFlowOfAgentSilentAtOneEntryIsNotReset(t *testing.T) {
	tr := newTestRelay(t)
	d := newDeployment(t, tr, 4)
	tr.relay.opts.Cluster = d.entries[0]
	d.run(time.Second, []netip.AddrPort{
		d.directory.records[0].Control, d.directory.records[1].Control, d.directory.records[2].Control, d.directory.records[3].Control,
	})
	d.run(2*time.Second, []netip.AddrPort{d.directory.records[1].Control, d.directory.records[2].Control, d.directory.records[3].Control})
	tr.True(d.entries[0].AllAgentsKnown())
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held, Version: 5})
	tr.True(!tr.receivesReset())
}

// Guards against flows of a failed agent that are never reset.
func TestFlowOfFailedAgentIsReset(t *testing.T) {
	tr := newTestRelay(t)
	d := newDeployment(t, tr, 4)
	tr.relay.opts.Cluster = d.entries[0]
	d.run(time.Second, []netip.AddrPort{
		d.directory.records[0].Control, d.directory.records[1].Control, d.directory.records[2].Control, d.directory.records[3].Control,
	})
	d.run(2500*time.Millisecond, nil)
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held, Version: 5})
	tr.True(tr.receivesReset())
}
