package tests

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// slotPorts is the lowest slot of the deployments of TestFlowsFromReusedPortsStayOpen.
const slotPorts = local.MaxSlots - 35

// Flows from ports whose earlier flows ended at other servers stay open when their packets come to another entry. Guards against
// resets of open flows, which servers sent that had held the earlier ones.
func TestFlowsFromReusedPortsStayOpen(t *testing.T) {
	recordTestRun(t)
	for i, c := range []struct {
		name string
		// pause is the time between the two flows from a port, entry the entry that gets the second request of the later flow. Entry 0
		// had the earlier flow. killAfter makes all agents be killed after a later flow has opened, and started settleTime before
		// its next request.
		pause     time.Duration
		entry     int32
		killAfter bool
	}{
		{"at once", 0, 2, false},
		{"later", 4 * time.Second, 2, false},
		{"entry of the earlier flow", 4 * time.Second, 0, false},
		{"agents killed", 0, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testReusedPorts(t, slotPorts+i, c.pause, c.entry, c.killAfter)
		})
	}
}

func testReusedPorts(t *testing.T, slot int, pause time.Duration, secondEntry int32, killAfter bool) {
	is := is.New(t)
	const (
		service = "desk"
		ports   = 40
		// settleTime is how long after a kill the rules don't hold.
		settleTime = 6 * time.Second
	)
	counter := &resetCounter{}
	d, err := local.New(local.Options{
		Entries: 3, Services: []local.Service{{Name: service, Servers: 4, Slots: 4}}, Slot: slot, Binary: binary, Dir: t.TempDir(),
		ServiceTime: func(string) time.Duration { return time.Millisecond }, Watcher: counter,
	})
	is.NoErr(err)
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(d.Start(ctx))
	var entry atomic.Int32
	client, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 252, byte(slot)}), d.ClientPort()), Watcher: counter, Ports: ports,
		EntryFor: func(netip.AddrPort, netip.AddrPort) (netip.AddrPort, bool) {
			return netip.AddrPortFrom(d.Entries[entry.Load()].IP, d.ClientPort()), true
		},
	})
	is.NoErr(err)
	defer client.Close()
	open := func() *fakes.Flow {
		f, err := client.Open(ctx, d.ServiceAddress(service))
		is.NoErr(err)
		_, err = f.Do(ctx, "request")
		is.NoErr(err)
		return f
	}
	for range ports {
		open().Close()
	}
	time.Sleep(pause)
	for _, p := range d.Agents[:2] { // New flows open at the other servers.
		server := d.Server(p)
		server.Drain()
		await(t, readyTimeout, "the drain is acknowledged", func() bool { return !server.DrainAcked().IsZero() })
	}
	lost := 0
	request := func(f *fakes.Flow) {
		entry.Store(secondEntry)
		if _, err := f.Do(ctx, "request"); err != nil {
			lost++
		}
	}
	var flows []*fakes.Flow
	for range ports {
		entry.Store(1)
		f := open()
		if killAfter {
			flows = append(flows, f)
		} else {
			request(f)
		}
	}
	if killAfter {
		for _, p := range d.Agents {
			p.Kill()
			is.NoErr(p.Start())
		}
		time.Sleep(settleTime)
	}
	for _, f := range flows {
		request(f)
	}
	t.Logf("%d of %d flows lost, %d reset", lost, ports, counter.openFlows)
	is.Equal(lost, 0)
	is.Equal(counter.openFlows, 0)
}
