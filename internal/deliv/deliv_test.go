package deliv

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// stubCodec is a Codec in which the first byte of a packet selects its header.
type stubCodec struct{ headers map[byte]flow.Header }

func (c *stubCodec) Parse(b []byte) (flow.Header, bool) {
	h, ok := c.headers[b[0]]
	return h, ok
}
func (c *stubCodec) Reset(b []byte, h flow.Header) []byte { return append(b, 'R', byte(h.AckNumber)) }
func (c *stubCodec) Restore([]byte)                       {}

// stubCluster provides a fixed configuration.
type stubCluster struct{ table *route.Table }

func (c *stubCluster) Table() *route.Table { return c.table }
func (*stubCluster) TriggerHeartbeat()     {}
func (*stubCluster) NotifyDomain()         {}

// memoryStore holds the saved list of flows in memory. beforeSave, if set, runs while a list is being saved.
type memoryStore struct {
	list       []byte
	beforeSave func()
}

func (s *memoryStore) Save(_ context.Context, list []byte) error {
	if s.beforeSave != nil {
		s.beforeSave()
	}
	s.list = list
	return nil
}
func (s *memoryStore) Load(context.Context) ([]byte, bool, error) { return s.list, s.list != nil, nil }

var (
	client    = netip.MustParseAddrPort("127.0.0.9:4000")
	service   = netip.MustParseAddrPort("198.18.0.1:443")
	startedAt = time.Unix(1_700_000_000, 123_000_000)
)

// testEnv is an agent whose peers are sockets of the test.
type testEnv struct {
	*is.I
	agent   *Agent
	codec   *stubCodec
	cluster *stubCluster
	store   *memoryStore
	// server, entry, fallback and client receive what the agent sends. fallback stands for the fallback agent of new flows.
	server, entry, fallback, client *net.UDPConn
	// running accepts connections at the server's address, as long as the server hasn't ended.
	running net.Listener
}

func newTestEnv(t *testing.T, firstStart bool) *testEnv {
	env := &testEnv{I: is.New(t), codec: &stubCodec{headers: make(map[byte]flow.Header)}, store: new(memoryStore)}
	env.cluster = &stubCluster{table: route.NewTable(5, []route.Route{{
		Name: "r", Address: service, Targets: []route.Target{{Service: "desk", Weight: 1}},
		Objective: time.Second, Timeout: 3 * time.Second,
	}}, 10*time.Second)}
	env.listenAsServer(t)
	env.entry, env.fallback = ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	encapConn, clientConn := ptest.Listen(t, "127.0.0.1:0"), ptest.Listen(t, "127.0.0.1:0")
	env.client = ptest.Listen(t, netip.AddrPortFrom(client.Addr(), ptest.Addr(clientConn).Port()).String())
	env.agent = New(Options{
		EncapConn: encapConn, ServerConn: ptest.Listen(t, "127.0.0.1:0"), ClientConn: clientConn, Server: ptest.Addr(env.server), Service: "desk",
		HeartbeatInterval: time.Second, FirstStart: firstStart, Self: ptest.Addr(encapConn), Codec: env.codec,
		Cluster: env.cluster, FlowListStore: env.store, Log: zap.NewNop(), FlowLog: zap.NewNop(), Vars: new(expvar.Map),
	})
	return env
}

// listenAsServer opens the server's sockets, which have the same port number.
func (env *testEnv) listenAsServer(t *testing.T) {
	const attempts = 20
	for range attempts {
		env.server = ptest.Listen(t, "127.0.0.1:0")
		running, err := net.Listen("tcp4", ptest.Addr(env.server).String())
		if err == nil {
			env.running = running
			t.Cleanup(func() { _ = running.Close() })
			return
		}
		t.Logf("another process has the TCP port: %v", err)
	}
	t.Fatal("no port is free for both UDP and TCP")
}

// receiveHeartbeat passes a heartbeat of the server to the agent, modified by change unless it is nil.
func (env *testEnv) receiveHeartbeat(change func(*server.Heartbeat)) {
	env.Helper()
	hb := server.Heartbeat{
		ID: "i-1", Service: "desk", Address: ptest.Addr(env.server), Slots: 1, Sequence: 7, StartedAt: startedAt,
	}
	if change != nil {
		change(&hb)
	}
	_, err := env.agent.HandleHeartbeat(hb)
	env.NoErr(err)
}

// receiveRestart passes the heartbeats of a restarted server to the agent, modified by change, until its start is settled. The server has
// sent as many heartbeats as it can at most have sent in the time since the restart.
func (env *testEnv) receiveRestart(change func(*server.Heartbeat)) {
	env.Helper()
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Sequence = 1; change(hb) })
	env.settle(func(hb *server.Heartbeat) { hb.Sequence = 2; change(hb) })
}

// settle passes a further heartbeat to the agent after a time in which no other start of the server sent one.
func (env *testEnv) settle(change func(*server.Heartbeat)) {
	env.Helper()
	env.agent.server.CompensatePause(-10 * time.Second)
	env.receiveHeartbeat(change)
	env.True(env.agent.server.Settled())
}

// ageFlows makes the flows in the agent's table older.
func (env *testEnv) ageFlows(by time.Duration) {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	env.agent.flows.Each(func(_ flow.Key, f *flowState) { f.firstSeen = f.firstSeen.Add(-by) })
}

// receiveDatagram passes a datagram of the entry to the agent. id identifies the packet, which has header h.
func (env *testEnv) receiveDatagram(header encap.Header, id byte, h flow.Header) {
	h.Src, h.Dst = client, service
	env.codec.headers[id] = h
	header.Entry, header.Fallback = ptest.Addr(env.entry), ptest.Addr(env.fallback)
	if header.Service == 0 {
		header.Service = route.ServiceID("desk")
	}
	b := make([]byte, 2*encap.HeaderSize+1, 2*encap.HeaderSize+encap.MaxPacketSize)
	header.Encode(b[encap.HeaderSize:])
	b[2*encap.HeaderSize] = id
	env.agent.handleDatagram(ptest.Addr(env.entry), b)
}

// receiveFromServer passes a packet of the server to the agent. id identifies the packet, which has header h.
func (env *testEnv) receiveFromServer(id byte, h flow.Header) {
	if h.Bounced {
		h.Src, h.Dst = client, service
	} else {
		h.Src, h.Dst = service, client
	}
	env.codec.headers[id] = h
	b := make([]byte, encap.HeaderSize+1, encap.HeaderSize+encap.MaxPacketSize)
	b[encap.HeaderSize] = id
	env.agent.handleServerPacket(ptest.Addr(env.server), b)
}

// read returns the next datagram on a socket, or nil after 60 ms without one.
func (env *testEnv) read(c *net.UDPConn) []byte {
	env.Helper()
	env.NoErr(c.SetReadDeadline(time.Now().Add(60 * time.Millisecond)))
	buf := make([]byte, 2048)
	n, _, err := c.ReadFromUDPAddrPort(buf)
	if err != nil {
		return nil
	}
	return buf[:n]
}

// readKind returns the kind of the next datagram on a socket, or 0 if there is none.
func (env *testEnv) readKind(c *net.UDPConn) encap.Kind {
	env.Helper()
	b := env.read(c)
	if b == nil {
		return 0
	}
	header, _, err := encap.Parse(b)
	env.NoErr(err)
	return header.Kind
}

var (
	syn     = flow.Header{Syn: true}
	ack     = flow.Header{Ack: true}
	request = flow.Header{Ack: true, Seq: 10, Len: 100}
)

func TestNewFlowsArePassedOnBeforeFirstHeartbeat(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.readKind(env.fallback), encap.Open) // Passed on.
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
}

// An entry may have an outdated state of a draining server. The agent must not let its new flows through to the server.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveHeartbeat(func(a *server.Heartbeat) { a.Draining, a.Sequence = true, 8 })
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.fallback), encap.Open)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5, Hops: 1}, 1, syn)
	env.Equal(env.readKind(env.entry), encap.Return) // Passed on before: the entry chooses another agent.
	env.Equal(env.read(env.client), nil)
}

// A crashed server returns each SYN at once and has no requests in progress, so it would attract all new flows until its
// heartbeats are missed.
func TestServerThatRefusesSynGetsNoNewFlow(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(1, flow.Header{Syn: true, Bounced: true})
	env.Equal(env.readKind(env.fallback), encap.Open)
	env.True(!env.agent.Load().Ready)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 2, syn)
	env.Equal(env.read(env.server), nil)
	env.Equal(env.readKind(env.fallback), encap.Open)
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.ID, hb.StartedAt = "i-2", startedAt.Add(time.Minute) })
	env.True(env.agent.Load().Ready) // It has started again.
}

func TestFlowOfAnotherServiceIsNotDelivered(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5, Service: route.ServiceID("intake")}, 1, syn)
	env.Equal(env.read(env.server), nil)
}

// An entry with an old configuration may still open flows on a removed route. The agent must refuse them.
func TestFlowOfRemovedRouteIsNotDelivered(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.cluster.table = route.NewTable(6, nil, time.Second)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), nil)
}

func TestFlowReturnedByFullServerIsPassedOn(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(1, flow.Header{Syn: true, Bounced: true})
	env.Equal(env.readKind(env.fallback), encap.Open)
}

// An agent that accepts a flow that was passed on must send the entry a claim, so that the entry finds the flow.
func TestPassedOnFlowIsClaimed(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5, Hops: 1}, 1, syn)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.Equal(env.read(env.client), []byte{2})
	env.Equal(env.readKind(env.entry), encap.Claim)
}

// openFlow opens a flow up to the client's acknowledgement in the handshake.
func (env *testEnv) openFlow() {
	env.Helper()
	env.receiveDatagram(encap.Header{Kind: encap.Open, Version: 5}, 1, syn)
	env.Equal(env.read(env.server), []byte{1})
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.Equal(env.read(env.client), []byte{2})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 3, ack)
	env.Equal(env.read(env.server), []byte{3})
}

func (env *testEnv) verdict() seek.Verdict {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	return env.agent.verdict(flow.NewKey(client, service), time.Now())
}

func TestVerdicts(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.Equal(env.verdict(), seek.Denied) // First start of the deployment: the server holds no flows.
	env.openFlow()
	env.Equal(env.verdict(), seek.Opening)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, request)
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.verdict(), seek.Held)
	env.ageFlows(time.Minute)
	env.receiveRestart(func(a *server.Heartbeat) { a.ID, a.StartedAt = "i-2", startedAt.Add(time.Minute) })
	env.Equal(env.verdict(), seek.Denied) // The server has restarted.
}

// After a restart the agent's flow table is incomplete. The agent must send a packet to the server to find out whether the
// server holds the flow, and remember that the server bounced it.
func TestRestartedAgentProbesServerForUnknownFlow(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.Equal(env.verdict(), seek.Perhaps)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 4, ack)
	env.Equal(env.read(env.server), []byte{4})
	env.receiveFromServer(4, flow.Header{Ack: true, Bounced: true})
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.verdict(), seek.Denied)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, ack)
	env.Equal(env.read(env.server), nil) // The server isn't probed twice.
	env.Equal(env.readKind(env.entry), encap.Return)
}

// fillSlots starts one request more than the server has slots.
func (env *testEnv) fillSlots() {
	env.agent.mu.Lock()
	defer env.agent.mu.Unlock()
	for port := range uint16(2) {
		k := flow.NewKey(netip.AddrPortFrom(client.Addr(), 5000+port), service)
		env.agent.queue.Add(env.agent.newRequest(k, time.Now()))
		_, ok := env.agent.queue.Next(time.Now(), 2, time.Millisecond)
		env.True(ok)
	}
}

// Guards against packets of an open flow that reach only other servers for seconds: a probe that waits for a free slot leaves
// the entry without a decision, and delays the packet at the server that holds the flow.
func TestProbeIsNotQueued(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.fillSlots()
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	env.Equal(env.agent.gauges(), gauges{running: 3}) // It takes a slot, since the server may hold the flow.
	env.receiveFromServer(1, flow.Header{Bounced: true, Len: request.Len, Ack: true})
	env.Equal(env.readKind(env.entry), encap.Return)
	env.Equal(env.agent.gauges(), gauges{running: 2})
	env.Equal(env.verdict(), seek.Denied)
}

// Guards against the same where one entry takes this server for the holder, so that its packet is queued, and another entry
// probes for the flow.
func TestProbeSendsQueuedPackets(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.fillSlots()
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 1, request)
	env.Equal(env.agent.gauges(), gauges{waiting: 1, running: 2})
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, request)
	env.Equal(env.read(env.server), []byte{1})
	env.Equal(env.agent.gauges(), gauges{running: 3})
}

func TestProbedFlowIsClaimedAfterTheFirstReply(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 4, ack)
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.readKind(env.entry), encap.Claim)
	env.Equal(env.verdict(), seek.Held)
}

// A server that bounces a packet of an open flow has crashed and lost the flow. The client must be reset at once.
func TestFlowOfACrashedServerIsReset(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.receiveFromServer(6, flow.Header{Ack: true, AckNumber: 77, Bounced: true})
	env.Equal(env.read(env.client), []byte{'R', 77})
}

// Requests beyond the server's slots must be queued at the agent with all of their packets.
func TestRequestsWaitForASlot(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	for i := range 1 + slotHeadroom {
		env.agent.queue.Add(env.agent.newRequest(flow.NewKey(netip.AddrPortFrom(client.Addr(), uint16(5000+i)), service), time.Now()))
		_, ok := env.agent.queue.Next(time.Now(), 1+slotHeadroom, time.Millisecond)
		env.True(ok)
	}
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, request)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 4, request) // A retransmission.
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, flow.Header{Ack: true, Seq: 110, Len: 20})
	env.Equal(env.read(env.server), nil)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack) // Acknowledgements aren't queued.
	env.Equal(env.read(env.server), []byte{6})
	env.agent.mu.Lock()
	env.agent.queue.Remove(flow.NewKey(netip.AddrPortFrom(client.Addr(), 5000), service))
	env.agent.dispatch(time.Now())
	env.agent.mu.Unlock()
	env.Equal(env.read(env.server), []byte{4})
	env.Equal(env.read(env.server), []byte{5})
	env.Equal(env.read(env.server), nil)
}

// Entries treat flows missing from a list as denied and reset them. The list must therefore include flows whose handshake
// isn't complete, separate from the open ones.
func TestListIncludesOpeningFlows(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.agent.mu.Lock()
	env.agent.sendFlowList(ptest.Addr(env.entry), encap.ListPart{RequestID: 9}.Append(nil), time.Now())
	env.agent.mu.Unlock()
	header, body, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Verdict, seek.Opening)
	part, keys, err := encap.ParseListPart(body)
	env.NoErr(err)
	env.Equal(part, encap.ListPart{RequestID: 9, Index: 0, Total: 2})
	env.Equal(keys, []flow.Key{flow.NewKey(client, service)})
	header, body, err = encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Verdict, seek.Held)
	env.Equal(header.Hops, uint8(encap.Exhaustive))
	part, keys, err = encap.ParseListPart(body)
	env.NoErr(err)
	env.Equal(part, encap.ListPart{RequestID: 9, Index: 1, Total: 2})
	env.Equal(len(keys), 0)
}

// Guards against the reset of an open flow: a server doesn't respond to a bare acknowledgement, so a probed flow may stay
// undecided until after the flow table counts as complete. A list without it would deny it.
func TestListIncludesProbedFlows(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1, ack)
	env.Equal(env.read(env.server), []byte{1})
	env.agent.mu.Lock()
	env.agent.tableCompleteAt = time.Now()
	env.agent.sendFlowList(ptest.Addr(env.entry), encap.ListPart{RequestID: 9}.Append(nil), time.Now())
	env.agent.mu.Unlock()
	env.Equal(env.verdict(), seek.Perhaps)
	header, body, err := encap.Parse(env.read(env.entry))
	env.NoErr(err)
	env.Equal(header.Hops, uint8(encap.Exhaustive))
	env.Equal(header.Verdict, seek.Perhaps)
	part, keys, err := encap.ParseListPart(body)
	env.NoErr(err)
	env.Equal(part, encap.ListPart{RequestID: 9, Index: 0, Total: 2})
	env.Equal(keys, []flow.Key{flow.NewKey(client, service)})
}

// Guards against flows that a restarted agent doesn't know although its predecessor stopped as planned: a periodic list omits
// young flows, which must not keep the final list from being saved.
func TestFinalListIncludesFlowsOmittedFromPeriodicList(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	other := flow.NewKey(netip.AddrPortFrom(client.Addr(), 4001), service)
	env.agent.mu.Lock()
	env.agent.setPhase(env.agent.flows.Put(other, flowState{firstSeen: time.Now().Add(-2 * minSaveAge)}, time.Now()), phaseOpen)
	env.agent.mu.Unlock()
	_, changed := env.agent.encodeFlowList(false)
	env.True(changed) // The older flow.
	env.agent.SaveFlowList()
	var saved savedFlowList
	env.NoErr(cbor.Unmarshal(env.store.list, &saved))
	env.Equal(len(encap.ParseKeys(saved.Keys)), 2)
}

// A restarted agent must recognize the list that its predecessor saved. The server's start time has a fraction of a second,
// which must survive the encoding; otherwise the list looks like one of another start.
func TestRestartedAgentLoadsSavedFlowList(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.agent.SaveFlowList()
	env.True(env.store.list != nil)

	successor := newTestEnv(t, false)
	successor.store.list = env.store.list
	successor.receiveHeartbeat(func(a *server.Heartbeat) { a.Sequence = 30 })
	successor.agent.loadFlowList(context.Background())
	successor.Equal(successor.verdict(), seek.Opening) // The flow may have ended since.
	successor.receiveFromServer(6, flow.Header{Ack: true, Seq: 50, Len: 50})
	successor.Equal(successor.verdict(), seek.Held)

	restarted := newTestEnv(t, false)
	restarted.store.list = env.store.list
	later := func(a *server.Heartbeat) { a.StartedAt = startedAt.Add(time.Second) }
	restarted.agent.incompleteSince = restarted.agent.incompleteSince.Add(-time.Minute)
	restarted.receiveRestart(later)
	restarted.agent.loadFlowList(context.Background())
	restarted.Equal(restarted.verdict(), seek.Perhaps)                 // The server may hold a later flow with the key.
	restarted.Equal(restarted.read(restarted.client), []byte{'R', 50}) // The flow was lost with that start.
}

// A restart of the server must reset the clients of all its flows as soon as it is certain, also of idle ones.
func TestServerRestartResetsClients(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Seq: 7, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.ageFlows(time.Minute)
	restart := func(a *server.Heartbeat) { a.ID, a.Sequence, a.StartedAt = "i-2", 1, startedAt.Add(time.Minute) }
	env.receiveHeartbeat(restart)
	env.Equal(env.read(env.client), nil) // It may be a delayed heartbeat.
	env.settle(func(a *server.Heartbeat) { restart(a); a.Sequence = 2 })
	env.Equal(env.read(env.client), []byte{'R', 57})
}

// A server that has sent its shutdown notice answers the requests that it runs before it ends. Guards against the reset of its flows
// meanwhile, and against clients that aren't told once it has ended.
func TestServerWithdrawalResetsClientsOnceItHasEnded(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Seq: 7, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.agent.HandleShutdown("i-0", time.Now())
	env.True(env.agent.checkExit(context.Background())) // Another server than this one.
	env.Equal(env.read(env.client), nil)

	env.agent.HandleShutdown("i-1", time.Now())
	env.True(!env.agent.checkExit(context.Background()))
	env.Equal(env.read(env.client), nil)
	env.Equal(env.verdict(), seek.Held)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.read(env.server), []byte{6})
	env.receiveFromServer(7, flow.Header{Ack: true, Seq: 57, Len: 50})
	env.Equal(env.read(env.client), []byte{7})

	env.NoErr(env.running.Close())
	env.True(env.agent.checkExit(context.Background()))
	env.Equal(env.read(env.client), []byte{'R', 107})
	env.Equal(env.verdict(), seek.Denied)
}

// The end of a server is noticed without a packet or heartbeat.
func TestEndOfServerIsNoticed(t *testing.T) {
	env := newTestEnv(t, true)
	env.NoErr(env.running.Close())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = env.agent.watchExits(ctx) }() // Ends with ctx.
	env.receiveHeartbeat(nil)
	env.openFlow()
	env.receiveFromServer(5, flow.Header{Ack: true, Seq: 7, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.agent.HandleShutdown("i-1", time.Now())
	for range 20 {
		if b := env.read(env.client); b != nil {
			env.Equal(b, []byte{'R', 57})
			return
		}
	}
	env.Fail() // No reset.
}

// A server that leaves and whose process hangs counts as ended once it is silent for as long as one that has failed.
func TestHungServerThatLeavesHasEnded(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.agent.HandleShutdown("i-1", time.Now())
	env.True(!env.agent.checkExit(context.Background()))
	env.agent.server.CompensatePause(-10 * time.Second)
	env.True(env.agent.checkExit(context.Background()))
}

// Guards against an agent that leaves the directory, and with it the list of its server's flows, while its server lives.
func TestServerHasLeftOnlyAfterItsShutdownNotice(t *testing.T) {
	env := newTestEnv(t, true)
	env.True(!env.agent.ServerLeft())
	env.receiveHeartbeat(func(hb *server.Heartbeat) { hb.Draining = true })
	env.agent.HandleShutdown("i-0", time.Now())
	env.True(!env.agent.ServerLeft())
	env.agent.HandleShutdown("i-1", time.Now())
	env.True(env.agent.ServerLeft())
	env.receiveHeartbeat(func(hb *server.Heartbeat) {
		hb.ID, hb.Sequence, hb.StartedAt = "i-2", 1, time.Now()
	})
	env.True(!env.agent.ServerLeft())
}

// After a restart, the agent may add flows from the server's packets to its table before the first heartbeat arrives. That
// heartbeat must not count as a restart of the server, which would reset these flows.
func TestFirstHeartbeatKeepsLearnedFlows(t *testing.T) {
	env := newTestEnv(t, false)
	env.receiveFromServer(5, flow.Header{Ack: true, Len: 50})
	env.Equal(env.read(env.client), []byte{5})
	env.receiveHeartbeat(nil)
	env.Equal(env.verdict(), seek.Held)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 6, ack)
	env.Equal(env.read(env.server), []byte{6})
	env.Equal(env.read(env.client), nil) // No reset.
}

// Accepted flows must count as load before they carry data. Otherwise 40 clients that open flows at the same time would all
// be placed on the same server.
func TestAcceptedFlowsCountAsLoad(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open}, 1, syn)
	env.Equal(env.agent.Load().Flows, 0)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.Equal(env.agent.Load().Flows, 1)
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 3, ack)
	env.receiveFromServer(4, ack)
	env.Equal(env.agent.Load().Flows, 1)
	env.receiveDatagram(encap.Header{Kind: encap.Forward}, 5, flow.Header{Rst: true})
	env.Equal(env.agent.Load().Flows, 0)
}

// Guards against a load report that is too high for as long as the agent runs: flows that a full table evicted stayed in the
// number of open flows, and their requests in the queue.
func TestEvictedFlowsAreNotCounted(t *testing.T) {
	env := newTestEnv(t, true)
	env.receiveHeartbeat(nil)
	env.agent.mu.Lock()
	now := time.Now()
	for i := range uint16(maxFlows + 100) {
		k := flow.NewKey(netip.AddrPortFrom(client.Addr(), i), service)
		f := env.agent.flows.Put(k, flowState{firstSeen: now}, now)
		env.agent.setPhase(f, phaseOpen)
		if i%100 == 0 {
			env.agent.handleClientData(k, f, request, []byte{1}, now)
		}
	}
	pending := 0
	env.agent.flows.Each(func(_ flow.Key, f *flowState) {
		if f.requestPending {
			pending++
		}
	})
	env.agent.mu.Unlock()
	g := env.agent.gauges()
	env.Equal(g.flows, maxFlows)
	env.Equal(g.waiting+g.running, pending)
}

// Guards against the reset of an open flow that a full table evicted: the agent denied it, since its table counted as complete.
// Closed flows may be evicted without that.
func TestEvictedOpenFlowIsNotDenied(t *testing.T) {
	for _, phase := range []flowPhase{phaseOpen, phaseOpening, phaseProbing, phaseClosed} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		env.agent.mu.Lock()
		now := time.Now()
		env.agent.startedAt, env.agent.tableCompleteAt = now.Add(-time.Hour), now
		for i := range uint16(maxFlows + 1) {
			f := env.agent.flows.Put(flow.NewKey(netip.AddrPortFrom(client.Addr(), 10_000+i), service), flowState{firstSeen: now}, now)
			env.agent.setPhase(f, phase)
		}
		want := seek.Perhaps
		if phase == phaseClosed {
			want = seek.Denied
		}
		env.agent.mu.Unlock()
		env.Equal(env.verdict(), want)
		env.agent.Configure(env.cluster.table)
		env.Equal(env.verdict(), want)
	}
}
