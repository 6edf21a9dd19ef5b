package local

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeEvery is the time between two readiness checks by the fabric, probeMisses how many failures take an entry out.
	probeEvery  = 500 * time.Millisecond
	probeMisses = 2
)

// probe keeps the rotation as routers do: two misses take an entry out, one answer takes it in.
func (d *Deployment) probe(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		ok := make([]bool, len(d.Entries))
		for i, p := range d.Entries {
			wg.Go(func() { ok[i] = p.Ready() })
		}
		wg.Wait()
		d.mu.Lock()
		d.rotation = nil
		for i, p := range d.Entries {
			d.misses[p]++
			if ok[i] {
				d.misses[p] = 0
			}
			if d.misses[p] < probeMisses {
				d.rotation = append(d.rotation, p)
			}
		}
		if len(d.rotation) == 0 {
			d.rotation = d.Entries
		}
		d.mu.Unlock()
		time.Sleep(probeEvery)
	}
}

// route returns the entry that gets a flow's next packet, and loses some packets.
func (d *Deployment) route(client, service netip.AddrPort) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rotation) == 0 || rand.Float64() < d.loss {
		return netip.AddrPort{}, false
	}
	n := int(client.Port()) + int(client.Addr().As4()[3])*31 + int(service.Port())
	p := d.rotation[n%len(d.rotation)]
	return netip.AddrPortFrom(p.IP, portClients), p != d.cut
}

// SetLoss changes the part of clients' packets that the fabric loses.
func (d *Deployment) SetLoss(part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loss = part
}

// Isolate makes the fabric lose all packets to an entry, which stays in rotation; nil ends that.
func (d *Deployment) Isolate(entry *Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = entry
}

// AwaitEntries waits until the fabric sends packets to all entries. It returns an error when that takes too long.
func (d *Deployment) AwaitEntries(ctx context.Context) error {
	until := time.Now().Add(startTime)
	for time.Now().Before(until) && ctx.Err() == nil {
		d.mu.Lock()
		n := len(d.rotation)
		for _, p := range d.rotation {
			if d.misses[p] > 0 {
				n--
			}
		}
		d.mu.Unlock()
		if n == len(d.Entries) {
			return nil
		}
		time.Sleep(probeEvery / 10)
	}
	return errors.Errorf("the entries were not ready within %s", startTime)
}
