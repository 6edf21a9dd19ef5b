package relay

import (
	"net"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// sendList passes to the relay the list of an agent that lacks the flow. Unless it is exhaustive, its server may hold the flow.
func (tr *testRelay) sendList(from *net.UDPConn, flags uint8) {
	tr.Helper()
	tr.sendFromAgent(from, encap.Header{Kind: encap.ListReply, Verdict: seek.Held, Version: 5, Hops: flags})
}

// awaitKind reads the datagrams to an agent up to the first one of a kind.
func (tr *testRelay) awaitKind(conn *net.UDPConn, kind encap.Kind) {
	tr.Helper()
	for got := tr.receiveKind(conn); got != kind; got = tr.receiveKind(conn) {
		tr.True(got != 0)
	}
}

// Guards against the reset of an open flow whose agent answered a search by a list alone, which carries no key: the search ended
// without a probe, as another agent's reply was missing, and the agent's table counted as complete before the client's next copy. Another entry
// that gets that copy sees denials alone, unless the agent knows that the flow is searched for.
func TestAgentThatCouldNotTellIsQueriedBeforePause(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, upload(0))
	tr.sendList(tr.agentA, 0)
	tr.awaitPause()
	tr.Equal(tr.countKind(tr.agentA, encap.Query), 1)
}

// Guards against the same where the link has no room for the query, or it is lost.
func TestDenialAfterUndecidedListIsNoLoss(t *testing.T) {
	for _, age := range []time.Duration{0, searchLifetime + time.Second} { // The client sends its copies for longer than a search lives.
		tr := newTestRelay(t)
		tr.useUpProbes()
		tr.sendFromClient(1, upload(0))
		tr.sendList(tr.agentA, 0)
		tr.awaitPause()
		tr.locked(func() { tr.relay.searches[key].startedAt = time.Now().Add(-age) })
		tr.drain()
		tr.sendFromClient(2, upload(0))
		tr.answer(seek.Denied, seek.Denied)
		tr.awaitKind(tr.agentA, encap.Probe)
		tr.returnFromAgent(tr.agentA, 2)
		tr.True(tr.receivesReset())
	}
}

// Guards against the same in a search that goes on without the client's next packet.
func TestUnattendedDenialAfterUndecidedListIsNoLoss(t *testing.T) {
	for _, knows := range []bool{false, true} {
		tr := newTestRelay(t)
		tr.useUpProbes()
		tr.sendFromClient(1, upload(0))
		tr.sendList(tr.agentA, 0)
		tr.awaitPause()
		time.Sleep(minListInterval)
		var s *search
		tr.locked(func() { s = tr.relay.searches[key] })
		tr.relay.resumeUnattended(key, s)
		flags := uint8(encap.Exhaustive)
		if knows {
			flags |= encap.Certain
		}
		tr.sendList(tr.agentA, flags)
		tr.sendList(tr.agentB, flags)
		tr.Equal(tr.receivesReset(), knows) // Callers of flows that are lost must not wait.
	}
}

// Guards against searches that take the queries away from flows that a reply would find.
func TestQueriesBeforePauseLeaveRoom(t *testing.T) {
	tr := newTestRelay(t)
	tr.relay.limits = newSearchLimits(linkMegabits)
	now := time.Now()
	spare, left := 0, 0
	for ; tr.relay.limits.allowSpareQuery(now); spare++ {
		continue
	}
	for ; tr.relay.limits.allowQuery(now); left++ {
		continue
	}
	tr.True(spare > 0)
	tr.True(left >= spare-2)
}

// Guards against a denial that is recorded for a flow although an agent replied to the query for an earlier one.
func TestReplyToEarlierQueryIsIgnored(t *testing.T) {
	tr := newTestRelay(t)
	tr.sendFromClient(1, packetOfEarlierFlow)
	earlier := tr.relay.searches[key].id
	tr.sendFromClient(2, packetOfLaterFlow)
	s := tr.relay.searches[key]
	tr.True(s.id != earlier && earlier != 0)
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied, Version: earlier}, key)
	tr.True(tr.awaits(tr.agentA))
	tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied, Version: s.id}, key)
	tr.True(!tr.awaits(tr.agentA))
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key) // Of an earlier release.
	tr.True(tr.receivesReset())
}
