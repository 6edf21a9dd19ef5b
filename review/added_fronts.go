//go:build review

package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// cases holds the cases by name.
var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"added-fronts": addedFronts,
}

var (
	boardAddress = netip.MustParseAddrPort("198.18.0.1:8443")
	photoAddress = netip.MustParseAddrPort("198.18.0.2:8443")
)

// configure writes the configuration of two services.
func (d *deployment) configure(version uint64) error {
	return d.store.Configure(version, []fakes.Route{
		{Name: "feed", Address: boardAddress, Service: "desk", Priority: 2, Objective: 150 * time.Millisecond, Timeout: 2500 * time.Millisecond},
		{Name: "upload", Address: photoAddress, Service: "intake", Priority: 2, Objective: 500 * time.Millisecond, Timeout: 8 * time.Second},
	}, idleTimeout)
}

// startAll starts a deployment of three fronts and, in turn, servers of the services that are listed, in three zones.
func (d *deployment) startAll(services ...string) error {
	seeds := []netip.Addr{d.ip(1, 1), d.ip(1, 2), d.ip(1, 3)}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 3 {
		if _, err := d.addMachine("relay", zones[i], "", seeds); err != nil {
			return err
		}
	}
	for i, service := range services {
		if _, err := d.addMachine("deliver", zones[i%3], service, seeds); err != nil {
			return err
		}
	}
	if err := d.configure(7); err != nil {
		return err
	}
	for _, m := range append(append([]*machine(nil), d.fronts...), d.sides...) {
		m.first = true
		if err := d.startProcess(m); err != nil {
			return err
		}
	}
	for _, m := range d.sides {
		if _, err := d.startServer(m, d.serviceTime); err != nil {
			return err
		}
	}
	go d.route()
	return d.awaitReady(10 * time.Second)
}

// keepFlow keeps a flow open with a request each pause, and opens a new one if it ends.
func (d *deployment) keepFlow(ctx context.Context, c *fakes.Client, n int, pause time.Duration, answered, failed *atomic.Int64) {
	for i := 0; ctx.Err() == nil; {
		f, err := c.Open(ctx, boardAddress)
		if err != nil {
			if ctx.Err() == nil {
				d.record.printf("client %d: flow did not open: %v", n, err)
				failed.Add(1)
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			i++
			id := fmt.Sprintf("request-%d-%d", n, i)
			local, _ := f.Endpoints()
			d.record.printf("client %d sends %s on %s", n, id, local)
			reqCtx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
			answer, err := f.Do(reqCtx, id)
			cancel()
			if err != nil {
				if ctx.Err() == nil {
					d.record.printf("client %d: %s failed: %v", n, id, err)
					failed.Add(1)
				}
				break
			}
			d.record.printf("client %d: answer %s", n, answer)
			answered.Add(1)
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
		f.Close()
	}
}

// addedFronts adds a front to each zone, planned work, after a rolling restart. With trouble the store applies a shorter time to live to leases than
// the processes ask for. The seeds of the new fronts are of machines that are no longer there.
func addedFronts(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	var broken, strict int
	var answered, failed atomic.Int64
	d.onReset = func(by netip.Addr, client, service netip.AddrPort, open bool) {
		holder, sender := d.holder(client, service), d.machineAt(by)
		if !open || holder == nil || sender == nil {
			d.record.printf("reset of %s by %v; open at the client: %v, held by a server: %v", client, by, open, holder != nil)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		broken++
		inTouch := time.Since(sender.startedAt) >= stableWindow && time.Since(holder.startedAt) >= stableWindow
		if inTouch {
			strict++
		}
		d.record.printf("RULE BROKEN: %s resets the open flow %s, which the server of %s holds; the processes have run for %.1f s and %.1f s",
			sender.name, client, holder.name, time.Since(sender.startedAt).Seconds(), time.Since(holder.startedAt).Seconds())
	}
	if trouble {
		d.maxLease = 10 * time.Second
	}
	d.record.printf("store: the longest time to live of leases is %s", d.maxLease)
	if err := d.startAll("desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "intake", "intake", "intake"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // All servers have sent heartbeats.
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		c, err := d.newClient()
		if err != nil {
			return 0, err
		}
		for j := range 50 {
			n := 50*i + j
			pause := 700 * time.Millisecond
			if n%2 == 0 {
				pause = time.Duration(5000+100*(n%40)) * time.Millisecond
			}
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() { d.keepFlow(ctx, c, n, pause, &answered, &failed) })
		}
	}
	time.Sleep(2 * time.Second)
	d.record.printf("planned: rolling restart")
	var rolls sync.WaitGroup
	rolls.Go(func() {
		for _, m := range d.sides[:12] {
			if err := d.roll(m); err != nil {
				d.record.printf("%s: %v", m.name, err)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	rolls.Go(func() {
		for _, m := range d.fronts[:3] {
			if err := d.roll(m); err != nil {
				d.record.printf("%s: %v", m.name, err)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	rolls.Wait()
	time.Sleep(5 * time.Second)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		m, err := d.addMachine("relay", zone, "", []netip.Addr{d.ip(9, 1), d.ip(9, 2), d.ip(9, 3)})
		if err != nil {
			return 0, err
		}
		d.record.printf("planned: %s is added; the store lists %d processes", m.name, len(d.store.Keys("bergamotrun/process/")))
		if err := d.startProcess(m); err != nil {
			return 0, err
		}
	}
	time.Sleep(10 * time.Second)
	cancel()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.printf("requests answered %d, failed %d; resets of open flows %d, of them %d by a machine in touch", answered.Load(), failed.Load(), broken, strict)
	fmt.Printf("answered %d, failed %d; resets of open flows %d, of them %d by a machine in touch\n", answered.Load(), failed.Load(), broken, strict)
	if answered.Load() < 1000 {
		return exitCannot, nil
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
