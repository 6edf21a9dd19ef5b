package tests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	carryFlows   = 120
	carryClients = 12
	// carryBound is how soon after a restart open flows shall be carried; the test counts what is later.
	carryBound = time.Second
	// carryMost is when a flow that isn't carried counts as lost: the users' time-out of a request.
	carryMost = 8 * time.Second
)

// resets counts the resets of open flows by the system.
type resets struct {
	local.Ignore
	mu sync.Mutex
	n  int
}

// Reset counts a reset.
func (r *resets) Reset(_ netip.Addr, _, _ netip.AddrPort, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.n++
	}
}

// After kills of any number of processes every open flow whose server lives is carried again; what takes longer than a
// second from the restart on is counted.
func TestOpenFlowsAreCarriedAfterKills(t *testing.T) {
	recordTestRun(t)
	t.Parallel()
	is := is.New(t)
	watcher := &resets{}
	opts := local.CheckOptions(binary, t.TempDir(), slotCarry)
	opts.Watcher = watcher
	d, err := local.New(opts)
	is.NoErr(err)
	defer d.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(d.Start(ctx))
	flows := openFlows(t, d)
	for _, round := range []struct {
		name string
		kill []*local.Process
	}{
		{"an entry", d.Entries[:1]},
		{"half of the agents", d.Agents[:3]},
		{"all entries", d.Entries},
		{"all agents", d.Agents},
		{"all", d.All()},
		{"all, again", d.All()},
	} {
		time.Sleep(time.Second) // Flows become old enough to be saved.
		for _, p := range round.kill {
			p.End()
		}
		time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
		for _, p := range round.kill {
			is.NoErr(p.Start())
		}
		is.NoErr(d.AwaitEntries(ctx))
		late, lost := carry(flows, round.name)
		t.Logf("killed %s: %d flows, %d carried later than %s after the restart, %d not carried", round.name, len(flows), late, carryBound, lost)
		is.Equal(lost, 0)
		is.Equal(watcher.n, 0)
	}
}

// openFlows opens flows that have carried a request.
func openFlows(t *testing.T, d *local.Deployment) []*fakes.Flow {
	t.Helper()
	is := is.New(t)
	var flows []*fakes.Flow
	clients := make([]*fakes.Client, carryClients)
	for i := range clients {
		c, err := d.NewClient(i)
		is.NoErr(err)
		clients[i] = c
	}
	for i := range carryFlows {
		f, err := clients[i%carryClients].Open(context.Background(), d.Address([]string{"desk", "intake"}[i%2]))
		is.NoErr(err)
		flows = append(flows, f)
	}
	_, lost := carry(flows, "first")
	is.Equal(lost, 0)
	return flows
}

// carry sends a request on each flow, and counts the answers that come late and those that don't come.
func carry(flows []*fakes.Flow, name string) (late, lost int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for i, f := range flows {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), carryMost)
			defer cancel()
			_, err := f.Do(ctx, fmt.Sprintf("%s/%d", name, i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				lost++
			case time.Since(began) > carryBound:
				late++
			}
		})
	}
	wg.Wait()
	return late, lost
}
