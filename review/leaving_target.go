//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

func init() { cases["leaving-target"] = leavingTarget }

// exitTime is how long the leaving server takes to exit after its notice was acknowledged: it finishes the requests that it runs.
const exitTime = 250 * time.Millisecond

// leavingTarget takes a server away, planned work: it drains, sends its notice, and exits as soon as it has answered the requests that
// it runs. Without trouble it stays.
func leavingTarget(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	broken := 0
	d.onReset = func(by netip.Addr, client, service netip.AddrPort, open bool) {
		holder, sender := d.holder(client, service), d.machineAt(by)
		if !open || holder == nil || sender == nil {
			d.record.printf("reset of %s by %v; open at the client: %v, held by a server: %v", client, by, open, holder != nil)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		broken++
		d.record.printf("RULE BROKEN: %s resets the open flow %s, which the server of %s holds", sender.name, client, holder.name)
	}
	d.serviceTime, d.heartbeatRelays = 120*time.Millisecond, make(map[*machine]*heartbeatRelay)
	if err := d.startAll("desk", "desk", "desk", "desk", "desk", "intake", "intake", "intake"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	leaving := d.sides[0]
	d.mu.Lock()
	server := d.servers[leaving]
	d.mu.Unlock()
	c, err := d.newClient()
	if err != nil {
		return 0, err
	}
	var flows []*fakes.Flow
	for range 80 {
		f, err := c.Open(d.ctx, boardAddress)
		if err != nil {
			return 0, err
		}
		local, service := f.Endpoints()
		time.Sleep(5 * time.Millisecond)
		if d.holder(local, service) == leaving && len(flows) < 4 {
			flows = append(flows, f)
			d.record.printf("client: flow %s is open at %s", local, leaving.name)
		}
	}
	if trouble {
		if err := d.drain(leaving, server); err != nil {
			return 0, err
		}
	}
	var wg sync.WaitGroup
	answered, failed := 0, 0
	for i, f := range flows {
		wg.Go(func() {
			id := fmt.Sprintf("order-%d", i)
			local, _ := f.Endpoints()
			d.record.printf("client sends %s on %s", id, local)
			ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
			defer cancel()
			answer, err := f.Do(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				d.record.printf("client: %s failed: %v", id, err)
				return
			}
			answered++
			d.record.printf("client: answer %s", answer)
		})
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		if err := d.leave(leaving, server, d.heartbeatRelays[leaving]); err != nil {
			return 0, err
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("requests answered %d, failed %d; resets of open flows of a live target %d\n", answered, failed, broken)
	d.record.printf("requests answered %d, failed %d; resets of open flows of a live target %d", answered, failed, broken)
	if len(flows) == 0 {
		return exitCannot, nil
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// drain makes a server report that it is draining, and waits until it may leave.
func (d *deployment) drain(m *machine, server *fakes.Server) error {
	d.record.printf("planned: the server of %s drains", m.name)
	server.Drain()
	for i := 0; i < 50 && server.DrainAcked().IsZero(); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if server.DrainAcked().IsZero() {
		return errors.New("draining was not acknowledged")
	}
	d.record.printf("%s: draining is acknowledged", m.name)
	time.Sleep(time.Until(server.DrainAcked().Add(drainTime + time.Second)))
	return nil
}

// leave sends the server's notice, and ends the server after exitTime.
func (d *deployment) leave(m *machine, server *fakes.Server, relay *heartbeatRelay) error {
	d.record.printf("%s: server %s sends its notice", m.name, server.ID())
	status, err := relay.sendNotice(d.ctx)
	if err != nil {
		return err
	}
	d.record.printf("%s: the notice is acknowledged with %d", m.name, status)
	time.Sleep(exitTime)
	server.Stop(false)
	d.record.printf("%s: server %s has exited", m.name, server.ID())
	return nil
}
