package deliv

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/route"
	"github.com/bergamotrun/bergamotrun/internal/seek"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// modelCodec is a Codec whose packets carry all that the model needs: sender, flags, both numbers and the size.
type modelCodec struct{}

const (
	modelSyn = 1 << iota
	modelAck
	modelFin
	modelRst
	modelBounced
	modelFromServer
	modelSystem // The packet is a reset of the agent's own.
)

func encodeModel(flags byte, seq, ack uint32, size byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{flags}, seq)
	return append(binary.BigEndian.AppendUint32(b, ack), size)
}

func (modelCodec) Parse(b []byte) (flow.Header, bool) {
	h := flow.Header{
		Src: client, Dst: service, Syn: b[0]&modelSyn != 0, Ack: b[0]&modelAck != 0, Fin: b[0]&modelFin != 0, Rst: b[0]&modelRst != 0,
		Bounced: b[0]&modelBounced != 0, Seq: binary.BigEndian.Uint32(b[1:]), AckNumber: binary.BigEndian.Uint32(b[5:]), Len: int(b[9]),
	}
	if b[0]&modelFromServer != 0 {
		h.Src, h.Dst = service, client
	}
	return h, true
}

func (modelCodec) Reset(b []byte, h flow.Header) []byte {
	return append(b, encodeModel(modelRst|modelFromServer|modelSystem, h.AckNumber, 0, 0)...)
}

func (modelCodec) Restore(b []byte) { b[0] &^= modelBounced }

// modelFlow is one of the flows that the client opens one after another with the same addresses and ports.
type modelFlow struct {
	synSeq, seq, ack uint32
	// here means that the client has chosen the agent's server, opened that it knows so, held that the server holds the flow, and ended
	// that both ends have sent a FIN.
	here, opened, held, ended bool
	sent                      [][]byte
}

// model is a client and the agent's server, which see the packets in the order in which they are sent.
type model struct {
	*testEnv
	rand    *rand.Rand
	flows   []*modelFlow
	trace   []string
	entries int
	// serverFlow is the flow that the server holds or is opening, and serverEnded the one that ended last.
	serverFlow, serverEnded *modelFlow
	serverNext              uint32
	// starts counts the starts of the server.
	starts int
	// unanswered counts the packets of the current flow, which the server holds, that came back in a row.
	unanswered int
	violation  string
	// wasReset means that the client has received an RST since wasReset was unset.
	wasReset bool
}

func (m *model) current() *modelFlow { return m.flows[len(m.flows)-1] }

func (m *model) log(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf(format, args...))
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// receive returns the next datagram on a socket, or nil if there is none.
func receive(conn *net.UDPConn) []byte {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	buf := make([]byte, 2048)
	n := -1
	if err := raw.Read(func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
		return true
	}); err != nil || n < 0 {
		return nil
	}
	return buf[:n]
}

// toAgent sends a client's packet through an entry.
func (m *model) toAgent(kind encap.Kind, packet []byte) {
	header := encap.Header{Kind: kind, Version: 5, Service: route.ServiceID("desk"), Entry: ptest.Addr(m.entry)}
	b := make([]byte, 2*encap.HeaderSize, 2*encap.HeaderSize+encap.MaxPacketSize)
	header.Encode(b[encap.HeaderSize:])
	m.agent.handleDatagram(ptest.Addr(m.entry), append(b, packet...))
	if f := m.serverFlow; kind == encap.Open && f != nil && f.held && m.rand.IntN(2) == 0 {
		m.log("a packet of the server crosses the SYN")
		m.reply(encodeModel(modelAck|modelFromServer, m.serverNext, f.seq, byte(50*m.rand.IntN(2))))
	}
	m.settleAll()
}

// settleAll lets the server and the client process what they were sent.
func (m *model) settleAll() {
	for moved := true; moved; {
		moved = false
		if b := receive(m.server); b != nil {
			moved = true
			m.serve(b)
		}
		if b := receive(m.client); b != nil {
			moved = true
			m.handleAtClient(b)
		}
		for receive(m.entry) != nil {
			m.entries++
		}
	}
}

// reply passes a packet of the server to the agent.
func (m *model) reply(b []byte) {
	h, _ := modelCodec{}.Parse(b)
	m.log("  server: %s", describe(h))
	m.agent.handleServerPacket(ptest.Addr(m.testEnv.server), append(make([]byte, encap.HeaderSize, encap.HeaderSize+encap.MaxPacketSize), b...))
}

func describe(h flow.Header) string {
	return fmt.Sprintf("syn=%t ack=%t fin=%t rst=%t bounced=%t seq=%d ack=%d len=%d", h.Syn, h.Ack, h.Fin, h.Rst, h.Bounced, h.Seq, h.AckNumber, h.Len)
}

// serve is the server: it returns what it doesn't hold, and answers a FIN or data on the flow that ended last.
func (m *model) serve(b []byte) {
	h, _ := modelCodec{}.Parse(b)
	f := m.serverFlow
	switch {
	case h.Syn && f != nil && f.held && (m.flowOf(h) == f || m.rand.IntN(2) == 0): // It answers no SYN.
	case h.Syn && m.rand.IntN(10) == 0:
		m.reply(append([]byte{b[0] | modelBounced}, b[1:]...))
	case h.Syn:
		m.serverFlow, m.serverNext = m.flowOf(h), m.rand.Uint32()
		if f != nil && f != m.serverFlow {
			f.held = false
		}
		m.serverEnded = nil
		m.reply(encodeModel(modelSyn|modelAck|modelFromServer, m.serverNext, h.Seq+1, 0))
	case f != nil && m.flowOf(h) == f && (f.held || h.AckNumber == m.serverNext+1):
		if !f.held {
			f.held = true
			m.serverNext++
		}
		m.serveHeld(f, h)
	case f == nil && m.serverEnded != nil:
		switch {
		case h.Rst:
		case h.Fin:
			m.reply(encodeModel(modelAck|modelFromServer, m.serverNext, h.Seq+1, 0))
		case h.Len > 0:
			m.reply(encodeModel(modelRst|modelFromServer, m.serverNext, h.Seq, 0))
		}
	case f != nil && f.held: // It ignores packets with other numbers.
	default:
		m.reply(append([]byte{b[0] | modelBounced}, b[1:]...))
	}
}

// serveHeld answers a packet of the flow that the server holds.
func (m *model) serveHeld(f *modelFlow, h flow.Header) {
	if f == m.current() {
		m.unanswered = 0
	}
	next := h.Seq + uint32(h.Len)
	switch {
	case h.Rst, h.Fin:
		f.held, m.serverFlow, m.serverEnded = false, nil, f
		if h.Fin {
			m.reply(encodeModel(modelFin|modelAck|modelFromServer, m.serverNext, next+1, 0))
			m.serverNext++
		}
	case h.Len > 0 && m.rand.IntN(3) > 0:
		m.reply(encodeModel(modelAck|modelFromServer, m.serverNext, next, 50))
		m.serverNext += 50
	case h.Len > 0:
		m.reply(encodeModel(modelAck|modelFromServer, m.serverNext, next, 0))
	}
}

// flowOf returns the flow of a client's packet.
func (m *model) flowOf(h flow.Header) *modelFlow {
	for _, f := range m.flows {
		if h.Seq-f.synSeq < 1<<16 {
			return f
		}
	}
	return nil
}

// handleAtClient processes a packet that reaches the client.
func (m *model) handleAtClient(b []byte) {
	h, _ := modelCodec{}.Parse(b)
	f := m.current()
	m.log("  client gets: system=%t %s", b[0]&modelSystem != 0, describe(h))
	m.wasReset = m.wasReset || h.Rst
	switch {
	case h.Rst && f.opened && !f.ended && (!f.here || f.held):
		m.fail("open flow reset")
	case h.Syn && h.AckNumber == f.synSeq+1 && !f.opened && f.here:
		f.opened, f.ack = true, h.Seq+1
	case f.here && f.opened && h.AckNumber-f.synSeq < 1<<16 && h.Seq == f.ack:
		f.ack += uint32(h.Len)
	}
}

// send sends a packet of the current flow.
func (m *model) send(flags, size byte) {
	f := m.current()
	b := encodeModel(flags|modelAck, f.seq, f.ack, size)
	f.seq += uint32(size)
	f.sent = append(f.sent, b)
	kind := encap.Forward
	if m.rand.IntN(3) == 0 {
		kind = encap.Probe
	}
	m.log("client: kind=%d flags=%d seq=%d ack=%d size=%d here=%t", kind, flags, f.seq, f.ack, size, f.here)
	if f.here && f.held {
		m.unanswered++
	}
	m.toAgent(kind, b)
	f.ended = f.ended || flags&(modelFin|modelRst) != 0
}

// isKnown reports whether the agent's table has the key.
func (m *model) isKnown() bool {
	m.agent.mu.Lock()
	defer m.agent.mu.Unlock()
	return m.agent.flows.Peek(flow.NewKey(client, service)) != nil
}

// step plays a random event.
func (m *model) step() {
	f := m.current()
	switch m.rand.IntN(16) {
	case 14:
		m.resetByServer()
	case 0: // The client uses the port for a new flow.
		if !f.ended && f.opened && m.rand.IntN(3) > 0 { // Else it gives up without a sign.
			m.send(modelFin, 0)
		}
		f = &modelFlow{synSeq: m.rand.Uint32(), here: m.rand.IntN(2) == 0}
		f.seq = f.synSeq + 1
		m.flows = append(m.flows, f)
		m.unanswered = 0
		m.log("new flow: syn=%d here=%t", f.synSeq, f.here)
		if f.here || m.rand.IntN(2) == 0 {
			m.toAgent(encap.Open, encodeModel(modelSyn, f.synSeq, 0, 0))
		}
		if !f.here {
			f.opened, f.ack = true, m.rand.Uint32()
		}
	case 1: // A late packet of an earlier flow.
		earlier := m.flows[m.rand.IntN(len(m.flows))]
		if earlier != f && len(earlier.sent) > 0 {
			m.log("late packet")
			m.toAgent(encap.Forward, earlier.sent[m.rand.IntN(len(earlier.sent))])
		}
	case 2:
		m.restart()
	case 13: // A client that gave up a flow without a sign may be told of its end later.
		if m.serverFlow == nil || m.serverFlow == f || m.serverFlow.ended {
			m.restartServer()
		}
	case 12: // A late copy of a SYN, which comes after the agent has seen a packet of the current flow.
		earlier := m.flows[m.rand.IntN(len(m.flows))]
		if earlier.here && earlier.synSeq != 0 && m.isKnown() {
			m.log("late SYN: syn=%d", earlier.synSeq)
			m.toAgent(encap.Open, encodeModel(modelSyn, earlier.synSeq, 0, 1))
		}
	case 3:
		if m.rand.IntN(2) == 0 && f.opened {
			m.send(modelFin, 0)
		}
	case 4: // Time passes.
		m.ageUse()
	case 5:
		if m.isKnown() || m.serverFlow != f {
			m.log("table complete")
			m.completeTable()
		}
	default:
		if f.opened && !f.ended {
			m.send(0, 50)
		}
	}
}

// newProcess replaces the agent by a new one, which has received a heartbeat.
func (m *model) newProcess(firstStart bool) {
	opts := m.agent.opts
	opts.Vars.Init()
	opts.FirstStart = firstStart
	m.agent = New(opts)
	m.receiveHeartbeat(m.ofStart)
}

// ofStart turns a heartbeat into one of the server's latest start.
func (m *model) ofStart(hb *server.Heartbeat) {
	hb.ID, hb.StartedAt = fmt.Sprintf("i-%d", m.starts), startedAt.Add(time.Duration(m.starts)*time.Minute)
}

// restartServer starts the server again, which then holds nothing.
func (m *model) restartServer() {
	m.log("server restarts")
	if m.serverFlow != nil {
		m.serverFlow.held = false
	}
	m.serverFlow, m.serverEnded = nil, nil
	m.starts++
	m.ageFlows(time.Minute)
	m.receiveRestart(m.ofStart)
	m.settleAll()
}

// restart starts the agent's process again. Its saved list may name a flow with the key, of now or of earlier.
func (m *model) restart() {
	list, ok := m.agent.encodeFlowList(true)
	m.newProcess(false)
	if ok && m.rand.IntN(2) == 0 {
		s, err := parseFlowList(list)
		m.NoErr(err)
		m.log("agent restarts, keys=%d opening=%d", len(s.Keys), len(s.OpeningKeys))
		m.agent.tryRestore(s)
		return
	}
	saved := m.rand.IntN(3) > 0
	m.log("agent restarts, saved=%t", saved)
	if saved {
		m.agent.mu.Lock()
		m.agent.restoreFlows([]flow.Key{flow.NewKey(client, service)}, []uint32{m.rand.Uint32()}, route.ServiceID("desk"), time.Now())
		m.agent.mu.Unlock()
	}
}

// resetByServer makes the server reset the current flow, if it holds it. The client must learn it, or entries that search for the flow.
func (m *model) resetByServer() {
	f := m.current()
	if f != m.serverFlow || !f.held || !f.opened || f.ended {
		return
	}
	m.log("server resets")
	f.held, m.serverFlow, m.serverEnded, m.wasReset = false, nil, f, false
	m.ageFlows(maxHandshakeTime)
	m.reply(encodeModel(modelRst|modelAck|modelFromServer, m.serverNext, f.seq, 0))
	m.settleAll()
	const copies = 3
	for i := 0; i < copies && !m.wasReset; i++ {
		m.send(0, 50)
	}
	if !m.wasReset && m.verdict() != seek.Denied {
		m.fail("nobody learns that the server has reset the flow")
	}
	f.ended, f.sent = true, nil
}

// check reports a flow that entries would reset, or whose packets don't reach the server that holds it.
func (m *model) check() {
	f := m.current()
	if !f.here || !f.opened || f.ended || !f.held {
		return
	}
	if m.verdict() == seek.Denied {
		m.fail("flow denied that the server holds")
	}
	if m.unanswered >= 2 {
		m.fail("packets don't reach the server that holds the flow")
	}
}

// Guards against what single cases leave out: whatever the order of late packets, SYNs, restarts of the agent and saved lists on one key, the
// agent doesn't reset a flow that is open, here or elsewhere, nor deny one that its server holds or keep its packets from the server, nor hide that
// the server has reset it.
func TestAgentNeverEndsOpenFlow(t *testing.T) {
	const seeds, steps = 2000, 100
	env := newTestEnv(t, true)
	env.agent.opts.Codec = modelCodec{}
	for seed := range uint64(seeds) {
		m := &model{testEnv: env, rand: rand.New(rand.NewPCG(seed, 42)), flows: []*modelFlow{{ended: true}}}
		m.newProcess(true)
		for range steps {
			m.step()
			m.check()
			if m.violation != "" {
				break
			}
		}
		if m.violation != "" {
			for _, line := range m.trace[max(0, len(m.trace)-25):] {
				t.Log(line)
			}
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
	}
}
