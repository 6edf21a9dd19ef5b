package tests

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// settleTime is how long flows are idle before a disruption: agents save only flows that are older than a second.
const settleTime = 1500 * time.Millisecond

// Guards against resets of open flows whose agent is silent for seconds while its backend server lives: its process stands still, or
// starts late after a kill or a planned stop. The clients send requests meanwhile.
func TestOpenFlowsSurviveStandstillOfAgents(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	const standstill = 2500 * time.Millisecond
	for _, c := range []struct {
		name string
		// agents is the number of agents that disrupt silences. The requests are sent after requestsAfter.
		agents        int
		requestsAfter time.Duration
		disrupt       func(*local.Process)
	}{
		{"one stands still", 1, 1800 * time.Millisecond, func(p *local.Process) { standStill(p, standstill) }},
		{"half stand still", 3, 1800 * time.Millisecond, func(p *local.Process) { standStill(p, standstill) }},
		{"one starts 3 s after a kill", 1, 2 * time.Second, func(p *local.Process) {
			p.Kill()
			time.Sleep(3 * time.Second)
			_ = p.Start()
		}},
		{"half start 3 s after a kill", 3, 2 * time.Second, func(p *local.Process) {
			p.Kill()
			time.Sleep(3 * time.Second)
			_ = p.Start()
		}},
		{"one stands still after a planned restart", 1, 2800 * time.Millisecond, func(p *local.Process) {
			<-p.Signal(syscall.SIGTERM)
			_ = p.Start()
			time.Sleep(time.Second)
			standStill(p, standstill)
		}},
		{"one starts 10 s after a planned stop", 1, 10 * time.Second, func(p *local.Process) {
			<-p.Signal(syscall.SIGTERM)
			time.Sleep(10 * time.Second)
			_ = p.Start()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			deployment, watcher, flows := startWatched(t, slotStandstill)
			var wg sync.WaitGroup
			for _, p := range deployment.Agents[:c.agents] {
				wg.Go(func() { c.disrupt(p) })
			}
			time.Sleep(c.requestsAfter)
			late, lost := requestOnEach(flows, c.name)
			wg.Wait()
			resets, strays := watcher.counts()
			t.Logf("%d flows, %d late, %d lost, %d open flows reset, %d with three or more packets at other servers and none at their own",
				len(flows), late, lost, resets, strays)
			is.Equal(resets, 0)
			is.Equal(strays, 0)
		})
	}
}

// startWatched starts a deployment with open flows that have been idle for settleTime, and counts from then on what happens to them. It stops
// with the test.
func startWatched(t *testing.T, slot int) (*local.Deployment, *flowWatcher, []*fakes.Flow) {
	t.Helper()
	is := is.New(t)
	watcher := &flowWatcher{packets: make(map[netip.AddrPort]flowPackets)}
	opts := local.CheckOptions(binary, t.TempDir(), slot)
	opts.Watcher = watcher
	deployment, err := local.New(opts)
	is.NoErr(err)
	t.Cleanup(deployment.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	is.NoErr(deployment.Start(ctx))
	flows := establishFlows(t, deployment)
	time.Sleep(settleTime)
	watcher.clear()
	return deployment, watcher, flows
}

// standStill pauses a process for a time.
func standStill(p *local.Process, duration time.Duration) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.Signal(syscall.SIGCONT)
}

// flowPackets counts the packets of a flow that reached its own server and other servers.
type flowPackets struct{ own, others int }

// flowWatcher counts the open flows that the system has reset, and the packets of each flow by its client's address.
type flowWatcher struct {
	local.NopWatcher
	mu        sync.Mutex
	openFlows int
	packets   map[netip.AddrPort]flowPackets
}

// Reset counts the reset of an open flow.
func (w *flowWatcher) Reset(_ netip.Addr, _, _ netip.AddrPort, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if open {
		w.openFlows++
	}
}

// Received counts a packet at a server.
func (w *flowWatcher) Received(_ *fakes.Server, client, _ netip.AddrPort, held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.packets[client]
	if held {
		p.own++
	} else {
		p.others++
	}
	w.packets[client] = p
}

// clear forgets what was counted.
func (w *flowWatcher) clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openFlows = 0
	clear(w.packets)
}

// counts returns the number of open flows that were reset, and of flows with three or more packets at other servers and none at their
// own.
func (w *flowWatcher) counts() (resets, strays int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.packets {
		if p.others >= 3 && p.own == 0 {
			strays++
		}
	}
	return w.openFlows, strays
}
