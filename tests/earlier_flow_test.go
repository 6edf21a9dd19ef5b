package tests

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// listSavedTime is how long after their start agents have certainly saved the list of their flows.
const listSavedTime = 9 * time.Second

// Guards against resets of open flows whose addresses and ports earlier flows had. Those ended shortly before a kill of all processes,
// so that the saved lists of agents still have them. An entry that is restarted by plan then searches for the new flows.
func TestOpenFlowsSurviveReuseOfPorts(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	watcher := &flowWatcher{packets: make(map[netip.AddrPort]flowPackets)}
	opts := local.CheckOptions(binary, t.TempDir(), slotEarlierFlows)
	opts.Watcher = watcher
	deployment, err := local.New(opts)
	is.NoErr(err)
	defer deployment.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(deployment.Start(ctx))
	clients, flows := openFlows(t, deployment)
	time.Sleep(listSavedTime)
	for _, f := range flows {
		f.Close()
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range deployment.Processes() {
		p.Kill()
	}
	for _, p := range deployment.Processes() {
		is.NoErr(p.Start())
	}
	is.NoErr(deployment.AwaitEntries(ctx))
	time.Sleep(settleTime)
	for _, c := range clients {
		c.Close()
	}
	_, flows = openFlows(t, deployment) // From the same ports.
	time.Sleep(settleTime)
	watcher.clear()
	anyLost := 0
	for i, p := range deployment.Entries {
		<-p.Signal(syscall.SIGTERM)
		is.NoErr(p.Start())
		is.NoErr(deployment.AwaitEntries(ctx))
		late, lost := requestOnEach(flows, p.Name)
		anyLost += lost
		resets, strays := watcher.counts()
		t.Logf("%d entries restarted: %d flows, %d late, %d lost, %d open flows reset so far, %d with three or more packets at other servers and none at their own",
			i+1, len(flows), late, lost, resets, strays)
	}
	resets, strays := watcher.counts()
	is.Equal(resets, 0)
	is.Equal(strays, 0)
	is.Equal(anyLost, 0) // A reset of another server isn't one of the system.
}

// openFlows opens flows from new clients, whose ports start at the same number each time, and sends a request on each.
func openFlows(t *testing.T, deployment *local.Deployment) ([]*fakes.Client, []*fakes.Flow) {
	t.Helper()
	is := is.New(t)
	clients := make([]*fakes.Client, recoveryClients)
	for i := range clients {
		client, err := deployment.NewClient(i)
		is.NoErr(err)
		clients[i] = client
	}
	var flows []*fakes.Flow
	for i := range recoveryFlows {
		f, err := clients[i%recoveryClients].Open(context.Background(), deployment.ServiceAddress([]string{"desk", "intake"}[i%2]))
		is.NoErr(err)
		flows = append(flows, f)
	}
	_, lost := requestOnEach(flows, "first")
	is.Equal(lost, 0)
	return clients, flows
}

// Guards against resets of open flows whose addresses and ports earlier flows had, after a kill of all processes: the agents can't tell
// whether their servers hold them, so that entries probe the servers. One that held the earlier flow answers the probe with a reset.
func TestProbedFlowsOfReusedPortsAreNotReset(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	watcher := &flowWatcher{packets: make(map[netip.AddrPort]flowPackets)}
	opts := local.CheckOptions(binary, t.TempDir(), slotProbedPorts)
	opts.Watcher = watcher
	deployment, err := local.New(opts)
	is.NoErr(err)
	defer deployment.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(deployment.Start(ctx))
	restart := func(processes []*local.Process) {
		for _, p := range processes {
			p.Kill()
		}
		for _, p := range processes {
			is.NoErr(p.Start())
		}
		is.NoErr(deployment.AwaitEntries(ctx))
		time.Sleep(settleTime)
	}
	clients, flows := openFlows(t, deployment)
	for _, f := range flows {
		f.Close()
	}
	time.Sleep(500 * time.Millisecond)
	restart(deployment.Entries)
	for _, c := range clients {
		c.Close()
	}
	_, flows = openFlows(t, deployment)
	time.Sleep(300 * time.Millisecond) // Agents save only flows that are older than a second.
	watcher.clear()
	restart(deployment.Processes())
	late, lost := requestOnEach(flows, "probed")
	resets, strays := watcher.counts()
	t.Logf("%d flows, %d late, %d lost, %d open flows reset, %d with three or more packets at other servers and none at their own",
		len(flows), late, lost, resets, strays)
	is.Equal(resets, 0)
	is.Equal(strays, 0)
	is.Equal(lost, 0)
}
