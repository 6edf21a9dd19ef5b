package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// settleTime is how long after a fault a process counts as undisturbed again.
	settleTime = 4 * time.Second
	// The platform's users require these limits: maxDrainTime is how long a server may still get new flows after its drain
	// was acknowledged, maxApplyTime how long a configuration may take until it is in force.
	maxDrainTime = 3 * time.Second
	maxApplyTime = local.ApplyTimeout
	// maxStrayTime is how long packets of an open flow may reach other servers while none reaches its own, and maxStrayPackets
	// how many of them may do so for longer.
	maxStrayTime    = 2 * time.Second
	maxStrayPackets = 2
	// maxListingTime is how long after the store's return a process may be missing in the directory.
	maxListingTime = 2 * time.Second
	// slotsPerServer is the number of requests that a backend server runs at a time, serviceTime the duration of each.
	slotsPerServer = 4
	serviceTime    = 10 * time.Millisecond
)

var services = []string{"desk", "intake"}

// deployment is the system under test. As the local.Watcher it checks what clients and backend servers observe.
type deployment struct {
	*local.Deployment
	opts  Options
	check *checker
	// startedAt is when the traffic starts.
	startedAt time.Time

	mu sync.Mutex
	// storeDisturbed is when a fault of the store last began or ended.
	storeDisturbed time.Time
}

func newDeployment(opts Options) (*deployment, error) {
	d := &deployment{opts: opts, check: newChecker()}
	localOpts := local.Options{
		Entries: opts.Entries, Slot: opts.Slot, Loss: opts.Loss, Binary: opts.Binary, Dir: opts.Dir, Watcher: d,
		ByDomain: opts.ByDomain, ClientPorts: opts.Ports, RandomPorts: opts.RandomPorts,
		ServiceTime: func(string) time.Duration { return serviceTime }, IdleTime: opts.ServerIdle,
		ResponseSize: func(request string) int { return responseSize(request, opts.MaxResponse) },
	}
	for i, name := range services {
		servers := opts.Servers
		if i > 0 && opts.Servers2 > 0 {
			servers = opts.Servers2
		}
		localOpts.Services = append(localOpts.Services, local.Service{Name: name, Servers: servers, Slots: slotsPerServer, MaxFlows: opts.MaxFlows})
	}
	var err error
	d.Deployment, err = local.New(localOpts)
	return d, err
}

// RequestStarted records that a server starts to run a request.
func (d *deployment) RequestStarted(s *fakes.Server, request string) {
	d.check.recordRun(s.Service(), request)
}

// Forged reports a packet that was sent neither by a client nor by a server.
func (d *deployment) Forged(why string) { d.check.recordViolation(packetsUnchanged, "%s", why) }

// Configured records the routes of a configuration written to the store.
func (d *deployment) Configured(routes []fakes.Route) {
	current := make(map[netip.AddrPort]string)
	for _, r := range routes {
		current[r.Address] = r.Service
	}
	d.check.recordRoutes(current, time.Now())
}

// Opened checks the SYN of a flow that a server accepts.
func (d *deployment) Opened(s *fakes.Server, client, service netip.AddrPort) {
	now := time.Now()
	if ackedAt := s.DrainAcked(); !ackedAt.IsZero() && now.Sub(ackedAt) > maxDrainTime {
		d.check.recordViolation(noFlowsWhenDraining, "server %s beside %s got a new flow from %s to %s, %s after its drain was acknowledged",
			s.ID(), s.Agent(), client, service, now.Sub(ackedAt))
	}
	history, known := d.check.historyOf(service)
	switch {
	case !known || history.service != s.Service():
		d.check.recordViolation(rightService, "server %s of service %s got a flow to %s", s.ID(), s.Service(), service)
	case !history.removed.IsZero() && now.Sub(history.removed) > maxApplyTime+maxOpenDelay && d.allStable(now):
		d.check.recordViolation(configApplied, "server %s got a flow to %s, %s after its route was removed",
			s.ID(), service, now.Sub(history.removed))
	}
}

// Received checks that packets of an open flow reach the server that holds it.
func (d *deployment) Received(s *fakes.Server, client, service netip.AddrPort, held bool) {
	if held {
		d.check.endStray(client, service)
		return
	}
	now := time.Now()
	holder := d.holderElsewhere(s, now, client, service)
	if holder == nil {
		d.check.endStray(client, service)
		return
	}
	place := "at " + s.ID() + " beside " + s.Agent().String()
	if count, since, places := d.check.recordStray(client, service, now, place); count > maxStrayPackets && now.Sub(since) > maxStrayTime {
		d.check.endStray(client, service)
		d.check.recordViolation(openFlowsKept, "%d packets of the flow from %s to %s reached other servers and none its own for %s; %s beside "+
			"%s holds it, they came %s", count, client, service, now.Sub(since), holder.ID(), holder.Agent(), places)
	}
}

// holderElsewhere returns another server than s that holds a flow, without a fault but planned restarts at any process, or nil.
func (d *deployment) holderElsewhere(s *fakes.Server, now time.Time, client, service netip.AddrPort) *fakes.Server {
	var holder *fakes.Server
	for _, p := range d.Processes() {
		if !p.Undisturbed(now, settleTime) {
			return nil
		}
		if other := d.Server(p); other != nil && other != s && other.HoldsFlow(client, service) {
			holder = other
		}
	}
	return holder
}

// maxOpenDelay is how long after the first SYN of a flow a retransmission of it may still arrive at a server.
const maxOpenDelay = 700 * time.Millisecond

// allStable reports whether all processes have been running for settleTime without a fault at them, their links
// or the store.
func (d *deployment) allStable(now time.Time) bool {
	for _, p := range d.Processes() {
		if !p.Stable(now, settleTime) {
			return false
		}
	}
	return true
}

// Reset checks a reset that a client received from the system under test or from another server, rather than from its own. open reports
// whether the flow was open.
func (d *deployment) Reset(by netip.Addr, client, service netip.AddrPort, open bool) {
	now := time.Now()
	if !open {
		if history, known := d.check.historyOf(service); known && history.removed.IsZero() &&
			now.Sub(history.added) > maxApplyTime && d.allStable(now) {
			d.check.recordViolation(configApplied, "flow from %s to %s was refused by %s although its route is in force", client, service, by)
		}
		return
	}
	for _, p := range d.Agents {
		s := d.Server(p)
		if s != nil && s.HoldsFlow(client, service) && p.Undisturbed(now, settleTime) && d.undisturbedAt(by, now) {
			d.check.recordViolation(openFlowsKept, "flow from %s to %s was reset by %s although server %s beside %s holds it%s",
				client, service, by, s.ID(), p.Name, d.earlierFlows(client, service))
		}
	}
}

// earlierFlows says at which servers flows with the same addresses and ports have ended.
func (d *deployment) earlierFlows(client, service netip.AddrPort) string {
	text := ""
	for _, p := range d.Agents {
		if s := d.Server(p); s != nil {
			if ago, ok := s.EndedFlow(client, service); ok {
				text += fmt.Sprintf("; one ended at %s beside %s %s before", s.ID(), p.IP, ago.Round(time.Millisecond))
			}
		}
	}
	return text
}

// undisturbedAt reports whether the process with an IP address has seen no fault but planned restarts for settleTime.
func (d *deployment) undisturbedAt(ip netip.Addr, now time.Time) bool {
	for _, p := range d.Processes() {
		if p.IP == ip {
			return p.Undisturbed(now, settleTime)
		}
	}
	return true
}

// checkRecords checks maxListingTime after the store's return to the copy c that each process has its own record in the store, not that
// of an earlier start, under a lease that is only its own. Processes that were disturbed after markedAt, that are stopped, or whose link
// to the store has a fault are left out, and so are all if another fault of the store began or ended meanwhile.
func (d *deployment) checkRecords(ctx context.Context, c *fakes.Copy, restoredAt, markedAt time.Time) {
	sleep(ctx, time.Until(restoredAt.Add(maxListingTime)))
	now := time.Now()
	if ctx.Err() != nil || d.storeDisturbedSince(restoredAt) {
		return
	}
	holders := make(map[uint64]string)
	for _, p := range d.Processes() {
		if !p.Running(restoredAt) || !p.Undisturbed(now, now.Sub(markedAt)-time.Millisecond) || d.Proxies[p].Faulty() {
			continue
		}
		key := d.RecordKey(p)
		lease, record, copied := d.Store.LeaseOf(key), d.Store.Value(key), c.Value(key)
		other, shared := holders[lease]
		switch {
		case lease == 0:
			d.check.recordViolation(processesListed, "%s is missing %s after the store's return", key, now.Sub(restoredAt))
		case !p.Running(c.TakenAt()) && bytes.Equal(record, copied):
			d.check.recordViolation(processesListed, "%s is that of an earlier start %s after the store's return", key, now.Sub(restoredAt))
		case shared:
			d.check.recordViolation(processesListed, "%s and %s have the same lease %d", key, other, lease)
		}
		holders[lease] = key
	}
}

// revokeKeys removes all keys of the processes from the store.
func (d *deployment) revokeKeys() {
	d.markStoreDisturbed()
	d.Store.DeletePrefix("bergamotrun/")
}

// injectStoreFaults replaces the faults injected into the store.
func (d *deployment) injectStoreFaults(faults fakes.Faults) {
	d.markStoreDisturbed()
	d.Store.Inject(faults)
}

func (d *deployment) markStoreDisturbed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDisturbed = time.Now()
}

// storeDisturbedSince reports whether a fault of the store has begun or ended after t.
func (d *deployment) storeDisturbedSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDisturbed.After(t)
}
