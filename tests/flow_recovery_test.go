package tests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	recoveryFlows   = 120
	recoveryClients = 12
	// recoveryTarget is how soon after a restart open flows should carry requests again. The test counts flows that take
	// longer, but doesn't fail.
	recoveryTarget = time.Second
	// recoveryTimeout is how long a flow may take before it counts as lost: the request timeout of users.
	recoveryTimeout = 8 * time.Second
	// stopTrafficTime is how long packets arrive at stopping entries, one second less than their grace period.
	stopTrafficTime = local.GracePeriod - time.Second
)

// resetCounter counts the open flows that the system has reset.
type resetCounter struct {
	local.NopWatcher
	mu        sync.Mutex
	openFlows int
}

// Reset counts the reset of an open flow.
func (c *resetCounter) Reset(_ netip.Addr, _, _ netip.AddrPort, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open {
		c.openFlows++
	}
}

// Open flows to live servers must survive kills and restarts of any number of processes. Flows that recover later than
// recoveryTarget after the restart are counted and logged.
func TestOpenFlowsSurviveProcessKills(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	counter := &resetCounter{}
	opts := local.CheckOptions(binary, t.TempDir(), slotRecovery)
	opts.Watcher = counter
	deployment, err := local.New(opts)
	is.NoErr(err)
	defer deployment.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(deployment.Start(ctx))
	flows := establishFlows(t, deployment)
	for _, round := range []struct {
		name string
		kill []*local.Process
	}{
		{"an entry", deployment.Entries[:1]},
		{"half of the agents", deployment.Agents[:3]},
		{"all entries", deployment.Entries},
		{"all agents", deployment.Agents},
		{"all", deployment.Processes()},
		{"all, again", deployment.Processes()},
	} {
		time.Sleep(time.Second) // Agents save the list of flows without those younger than a second.
		for _, p := range round.kill {
			p.Kill()
		}
		time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
		for _, p := range round.kill {
			is.NoErr(p.Start())
		}
		is.NoErr(deployment.AwaitEntries(ctx))
		late, lost := requestOnEach(flows, round.name)
		t.Logf("killed %s: %d flows, %d recovered later than %s after the restart, %d lost", round.name, len(flows), late, recoveryTarget, lost)
		is.Equal(lost, 0)
		is.Equal(counter.openFlows, 0)
	}
}

// Entries that stopped after a fixed delay lost the packets that routers still sent them because too few others were ready.
func TestStoppingEntryForwardsWhileInRotation(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	deployment, err := local.New(local.CheckOptions(binary, t.TempDir(), slotStop))
	is.NoErr(err)
	defer deployment.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(deployment.Start(ctx))
	flows := establishFlows(t, deployment)
	for _, p := range deployment.Entries {
		p.Signal(syscall.SIGTERM) // With no entry ready, the fabric keeps all in rotation.
	}
	for stopped := time.Now(); time.Since(stopped) < stopTrafficTime; {
		_, lost := requestOnEach(flows, fmt.Sprintf("stopping-%s", time.Since(stopped)))
		is.Equal(lost, 0) // All entries still forward packets.
		time.Sleep(50 * time.Millisecond)
	}
}

// establishFlows opens flows and sends a request on each.
func establishFlows(t *testing.T, deployment *local.Deployment) []*fakes.Flow {
	t.Helper()
	is := is.New(t)
	var flows []*fakes.Flow
	clients := make([]*fakes.Client, recoveryClients)
	for i := range clients {
		client, err := deployment.NewClient(i)
		is.NoErr(err)
		clients[i] = client
	}
	for i := range recoveryFlows {
		flow, err := clients[i%recoveryClients].Open(context.Background(), deployment.ServiceAddress([]string{"desk", "intake"}[i%2]))
		is.NoErr(err)
		flows = append(flows, flow)
	}
	_, lost := requestOnEach(flows, "first")
	is.Equal(lost, 0)
	return flows
}

// requestOnEach sends a request on each flow at the same time. It returns how many responses came later than
// recoveryTarget, and how many requests failed or got no response within recoveryTimeout.
func requestOnEach(flows []*fakes.Flow, name string) (late, lost int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i, flow := range flows {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
			defer cancel()
			_, err := flow.Do(ctx, fmt.Sprintf("%s/%d", name, i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				lost++
			case time.Since(start) > recoveryTarget:
				late++
			}
		})
	}
	wg.Wait()
	return late, lost
}
