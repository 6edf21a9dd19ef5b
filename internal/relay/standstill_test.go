package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// silenceFirstAgent runs a deployment in which agent A sends heartbeats for a second and none for some time after it. Its instance
// lives: the kernel accepts connections at its control address.
func silenceFirstAgent(t *testing.T, tr *testRelay, silence time.Duration) {
	t.Helper()
	d := newDeployment(t, tr, 4)
	d.instances.live.Store(true)
	tr.relay.opts.Cluster = d.entries[0]
	var all []netip.AddrPort
	for _, r := range d.directory.records[:len(d.entries)] {
		all = append(all, r.Control)
	}
	d.run(time.Second, all)
	d.run(silence, nil)
	tr.True(d.entries[0].AllAgentsKnown())
}

// standstill is how long an agent's process may stand still, or take to start, while its backend server goes on.
const standstill = 2500 * time.Millisecond

// Guards against resets of open flows whose agent stands still while its backend server lives.
func TestFlowOfAgentThatStandsStillIsNotReset(t *testing.T) {
	tr := newTestRelay(t)
	silenceFirstAgent(t, tr, standstill)
	tr.sendFromClient(1, data)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Hops: encap.Exhaustive, Verdict: seek.Held, Version: 5})
	tr.True(!tr.receivesReset())
}

// Guards against packets of an open flow at other servers alone: the holder's agent stands still, and the other agents can't tell
// whether their servers hold the flow, as after a restart of all.
func TestFlowOfAgentThatStandsStillIsNotProbedElsewhere(t *testing.T) {
	tr := newTestRelay(t)
	silenceFirstAgent(t, tr, standstill)
	tr.sendFromClient(1, data)
	tr.Equal(tr.receiveKind(tr.agentB), encap.ListFlows)
	tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.ListReply, Verdict: seek.Held, Version: 5}) // Not exhaustive.
	tr.Equal(tr.receiveKind(tr.agentB), encap.Query)
	tr.Equal(tr.receiveKind(tr.agentB), encap.Kind(0))
}
