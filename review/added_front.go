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
	"added-front": addedFront,
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
		if _, err := d.startServer(m, 20*time.Millisecond); err != nil {
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

// addedFront adds a front, planned work, some seconds after the store turned a third of the machines away and took their keys.
// The seeds of the new front are of machines that are no longer there.
func addedFront(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	var broken, strict int
	var answered, failed atomic.Int64
	d.onReset = func(by netip.Addr, client, service netip.AddrPort, open bool) {
		holder := d.holder(client, service)
		sender := d.machineAt(by)
		if !open || holder == nil || sender == nil {
			d.record.printf("reset of %s by %v; open at the client: %v, held by a server: %v", client, by, open, holder != nil)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		broken++
		inTouch := time.Since(sender.startedAt) >= stableWindow
		if inTouch {
			strict++
		}
		d.record.printf("RULE BROKEN: %s resets the open flow %s, which the server of %s holds; the sender has run for %.1f s", sender.name, client, holder.name, time.Since(sender.startedAt).Seconds())
	}
	if err := d.startAll("desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "intake", "intake", "intake"); err != nil {
		return 0, err
	}
	start := d.sides[0].startedAt
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		c, err := d.newClient()
		if err != nil {
			return 0, err
		}
		for j := range 20 {
			n := 20*i + j
			pause := 400 * time.Millisecond
			if n%2 == 0 {
				pause = time.Duration(5000+100*(n%40)) * time.Millisecond
			}
			wg.Go(func() { d.keepFlow(ctx, c, n, pause, &answered, &failed) })
		}
	}
	at := func(s float64) { time.Sleep(time.Until(start.Add(time.Duration(s * float64(time.Second))))) }
	at(15.8)
	affected := d.sides[:5]
	if trouble {
		d.record.printf("store: turns %s away (503) and takes their keys", names(affected))
		d.setAccess(accessBusy, affected...)
		for _, m := range affected {
			d.revoke(m)
		}
	}
	at(17.8)
	if trouble {
		d.setAccess(accessOpen, affected...)
		d.record.printf("store: serves all machines again")
	}
	at(22.3)
	gone := []netip.Addr{d.ip(9, 1), d.ip(9, 2), d.ip(9, 3)}
	m, err := d.addMachine("relay", "zone-a", "", gone)
	if err != nil {
		return 0, err
	}
	d.record.printf("planned: %s is added", m.name)
	if err := d.startProcess(m); err != nil {
		return 0, err
	}
	at(32)
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
