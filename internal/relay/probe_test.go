package relay

import (
	"net"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/ptest"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// upload returns the header of a packet of an upload, by its index.
func upload(i int) flow.Header {
	const size = 1200
	return flow.Header{Ack: true, Seq: 1001 + uint32(i*size), Len: size, AckNumber: 5001}
}

// useUpProbes leaves no room on the link for packets to several agents.
func (tr *testRelay) useUpProbes() {
	tr.Helper()
	const slowLink = 0.001 // Mbit/s
	tr.locked(func() {
		tr.relay.limits = newSearchLimits(slowLink)
		tr.True(tr.relay.limits.allowProbes(make([]byte, encap.MaxPacketSize), 2, time.Now()))
	})
}

// awaitPause waits until the search for the flow is paused.
func (tr *testRelay) awaitPause() {
	tr.Helper()
	for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		tr.relay.mu.Lock()
		s := tr.relay.searches[key]
		paused := s == nil || s.paused
		tr.relay.mu.Unlock()
		if paused {
			return
		}
		tr.True(time.Now().Before(deadline))
	}
}

// countKind returns how many datagrams of a kind have been sent to an agent.
func (tr *testRelay) countKind(conn *net.UDPConn, kind encap.Kind) int {
	tr.Helper()
	n := 0
	for got := tr.receiveKind(conn); got != 0; got = tr.receiveKind(conn) {
		if got == kind {
			n++
		}
	}
	return n
}

// Guards against packets of an open flow that all go to a server that doesn't hold it: it stood still when it was probed, and the flow's own
// agent, which had denied it, claims it.
func TestSilentServerIsNotTakenForHolder(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, upload(0))
	tr.answer(seek.Perhaps, seek.Denied)
	tr.awaitPause()
	tr.True(!tr.holder().IsValid())
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.Claim}, key)
	tr.drain()
	tr.sendFromClient(2, upload(1))
	tr.Equal(tr.receiveKind(tr.agentB), encap.Forward)
	tr.Equal(tr.receiveKind(tr.agentA), encap.Kind(0))
}

// Guards against an upload that waits for its client's copies: the only server that may hold the flow gets two packets, since servers acknowledge
// every second one, and all that came meanwhile once its agent has claimed the flow.
func TestServerIsProbedWithTwoPacketsOfUpload(t *testing.T) {
	tr := newTestRelay(t)
	for i := range 3 {
		tr.sendFromClient(byte(i+1), upload(i))
	}
	tr.answer(seek.Perhaps, seek.Denied)
	tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
	for i := range 2 {
		kind, body := tr.receive(tr.agentA)
		tr.Equal(kind, encap.Probe)
		tr.Equal(body, []byte{byte(i + 1)})
	}
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.Claim}, key)
	tr.Equal(tr.receiveForwards(tr.agentA), 3)
	tr.Equal(tr.holder(), ptest.Addr(tr.agentA))
}

// Guards against a claim that is lost since the search waits for the client's next packet: the search that goes on without it would not know
// of it.
func TestClaimEndsPausedSearch(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, upload(0))
	tr.answer(seek.Perhaps, seek.Denied)
	tr.awaitPause()
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.Claim}, key)
	tr.locked(func() { tr.Equal(len(tr.relay.searches), 0) })
	tr.Equal(tr.holder(), ptest.Addr(tr.agentA))
}

// Guards against open flows that wait for a share of the link after a kill of all processes: a packet that goes to one server takes no more
// than without a search. The others that may hold the flow aren't probed then.
func TestProbeOfOneServerIsNotLeftOut(t *testing.T) {
	tr := newTestRelay(t)
	tr.useUpProbes()
	tr.sendFromClient(1, upload(0))
	tr.answer(seek.Opening, seek.Perhaps)
	tr.Equal(tr.countKind(tr.agentA, encap.Probe), 1)
	tr.Equal(tr.countKind(tr.agentB, encap.Probe), 0)
}

// Guards against the same once the server has been silent for some time, so that the others are to be probed, too.
func TestMostLikelyServerIsProbedWithoutOthers(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, upload(0))
	tr.answer(seek.Opening, seek.Perhaps)
	tr.awaitPause()
	time.Sleep(600 * time.Millisecond)
	tr.drain()
	tr.useUpProbes()
	tr.sendFromClient(2, upload(0))
	tr.answer(seek.Opening, seek.Perhaps)
	tr.Equal(tr.countKind(tr.agentA, encap.Probe), 1)
	tr.Equal(tr.countKind(tr.agentB, encap.Probe), 0)
}

// Guards against packets of an open flow that all go to a server that doesn't hold it: a saved list names an earlier flow from the same port, whose
// server answers no acknowledgement, and the link has no room for probes of the others, or one agent doesn't reply.
func TestSilentServerIsProbedAloneWithTwoPacketsOnly(t *testing.T) {
	for _, choked := range []bool{true, false} {
		tr := newTestRelay(t)
		probes := 0
		for i, wait := range []time.Duration{0, 200, 400, 800} { // The intervals of the client's copies.
			time.Sleep(wait * time.Millisecond)
			if choked {
				tr.useUpProbes()
			}
			tr.sendFromClient(byte(i+1), upload(0))
			if choked {
				tr.answer(seek.Opening, seek.Perhaps)
			} else {
				tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Opening}, key)
			}
			tr.awaitPause()
			probes += tr.countKind(tr.agentA, encap.Probe)
		}
		tr.Equal(probes, 2)
	}
}

// Guards against a search that never comes to the holder since the server of an earlier flow, which returned the packets, got them first.
func TestNextLikelyServerIsProbedAfterReturn(t *testing.T) {
	for _, returns := range []bool{true, false} {
		tr := newTestRelay(t)
		other := ptest.Listen(t, "127.0.0.1:0") // It doesn't reply.
		tr.cluster.possibleHolders = append(tr.cluster.possibleHolders, seek.Candidate{Agent: ptest.Addr(other)})
		for i := range maxProbedAlone {
			tr.sendFromClient(byte(i+1), upload(i))
		}
		tr.answer(seek.Opening, seek.Perhaps)
		tr.awaitPause()
		tr.Equal(tr.countKind(tr.agentA, encap.Probe), maxProbedAlone)
		if returns {
			tr.returnFromAgent(tr.agentA, 1)
		}
		tr.drain()
		tr.sendFromClient(3, upload(0))
		tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Opening}, key)
		tr.awaitPause()
		tr.Equal(tr.countKind(tr.agentB, encap.Probe) > 0, returns)
	}
}
