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
	// probeInterval is the time between two readiness checks of an entry, probeFailureThreshold the number of consecutive
	// failures that remove the entry from rotation.
	probeInterval         = 500 * time.Millisecond
	probeFailureThreshold = 2
)

// probeEntries maintains the rotation with health checks, as routers do: probeFailureThreshold consecutive failures
// remove an entry, one success adds it again. If all entries fail, all stay in rotation.
func (d *Deployment) probeEntries(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		ok := make([]bool, len(d.Entries))
		for i, p := range d.Entries {
			wg.Go(func() { ok[i] = p.Ready() })
		}
		wg.Wait()
		d.mu.Lock()
		for i, p := range d.Entries {
			d.probeFailures[p]++
			if ok[i] {
				d.probeFailures[p] = 0
			}
		}
		d.updateRotation()
		d.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

// updateRotation selects the entries in rotation. The caller holds mu.
func (d *Deployment) updateRotation() {
	d.rotation = nil
	for _, p := range d.Entries {
		if d.isInRotation(p) {
			d.rotation = append(d.rotation, p)
		}
	}
	if len(d.rotation) == 0 {
		d.rotation = d.Entries
	}
}

// isInRotation reports whether an entry passes its readiness checks and isn't withdrawn. The caller holds mu.
func (d *Deployment) isInRotation(p *Process) bool {
	return d.probeFailures[p] < probeFailureThreshold && p != d.withdrawn
}

// Withdraw takes an entry out of rotation at once, whatever its readiness checks. With nil, no entry is withdrawn.
func (d *Deployment) Withdraw(entry *Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.withdrawn = entry
	d.updateRotation()
}

// pickEntry hashes a flow to an entry in rotation and returns the address for its next packet. It returns false if the
// packet is lost.
func (d *Deployment) pickEntry(client, service netip.AddrPort) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rotation := d.rotation
	if d.opts.ByDomain {
		rotation = d.rotationOf(int(client.Addr().As4()[3]) % domainCount)
	}
	if len(rotation) == 0 || rand.Float64() < d.loss {
		return netip.AddrPort{}, false
	}
	hash := int(client.Port()) + int(client.Addr().As4()[3])*31 + int(service.Port())
	p := rotation[hash%len(rotation)]
	return netip.AddrPortFrom(p.IP, portClients), p != d.isolated
}

// rotationOf returns the entries that get the packets of a failure domain's clients: those of the domain that are in rotation, all of
// the domain if fewer than half are, and all in rotation if none is. The caller holds mu.
func (d *Deployment) rotationOf(domain int) []*Process {
	var ready, all []*Process
	for i, p := range d.Entries {
		if i%domainCount != domain {
			continue
		}
		all = append(all, p)
		if d.isInRotation(p) {
			ready = append(ready, p)
		}
	}
	switch {
	case len(ready) == 0:
		return d.rotation
	case 2*len(ready) < len(all):
		return all
	}
	return ready
}

// SetLoss sets the probability that the fabric drops a packet of a client.
func (d *Deployment) SetLoss(rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loss = rate
}

// Isolate makes the fabric drop all packets to an entry, which stays in rotation. With nil, no entry is isolated.
func (d *Deployment) Isolate(entry *Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isolated = entry
}

// AwaitEntries waits until all entries are in rotation and passed their last readiness check. It returns an error if
// that takes longer than startTimeout or ctx is done.
func (d *Deployment) AwaitEntries(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d.mu.Lock()
		ready := len(d.rotation)
		for _, p := range d.rotation {
			if d.probeFailures[p] > 0 {
				ready--
			}
		}
		d.mu.Unlock()
		if ready == len(d.Entries) {
			return nil
		}
		time.Sleep(probeInterval / 10)
	}
	return errors.Errorf("the entries were not ready within %s", startTimeout)
}
