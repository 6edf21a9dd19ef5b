package soak

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// stable is how long after a fault a process counts as undisturbed, drainBound and applyBound are the users' bounds.
	stable     = 4 * time.Second
	drainBound = 3 * time.Second
	applyBound = local.ApplyTimeout
	// slots and work are those of all backend servers.
	slots = 4
	work  = 10 * time.Millisecond
)

var services = []string{"desk", "intake"}

// deployment is a system under test; it checks what clients and servers see.
type deployment struct {
	*local.Deployment
	opts  Options
	check *checker
}

func newDeployment(opts Options) (*deployment, error) {
	d := &deployment{opts: opts, check: newChecker()}
	lopts := local.Options{
		Entries: opts.Entries, Slot: opts.Slot, Loss: opts.Loss, Binary: opts.Binary, Dir: opts.Dir, Watcher: d,
		Work: func(string) time.Duration { return work },
	}
	for _, name := range services {
		lopts.Services = append(lopts.Services, local.Service{Name: name, Servers: opts.Servers, Slots: slots})
	}
	var err error
	d.Deployment, err = local.New(lopts)
	return d, err
}

// RequestStarted notes a request that a server begins.
func (d *deployment) RequestStarted(s *fakes.Server, request string) {
	d.check.ran(s.Service(), request)
}

// Forged notes a packet that neither a client nor a server wrote.
func (d *deployment) Forged(why string) { d.check.broke(forged, "%s", why) }

// Configured notes the routes of a configuration.
func (d *deployment) Configured(routes []fakes.Route) {
	live := make(map[netip.AddrPort]string)
	for _, r := range routes {
		live[r.Address] = r.Service
	}
	d.check.routeChanged(live, time.Now())
}

// Opened checks an opening packet that a server takes.
func (d *deployment) Opened(s *fakes.Server, _, service netip.AddrPort) {
	now := time.Now()
	if acked := s.DrainAcked(); !acked.IsZero() && now.Sub(acked) > drainBound {
		d.check.broke(drained, "server %s got a new flow %s after its leave was acknowledged", s.ID(), now.Sub(acked))
	}
	life, known := d.check.life(service)
	switch {
	case !known || life.service != s.Service():
		d.check.broke(routed, "server %s of %s got a flow to %s", s.ID(), s.Service(), service)
	case !life.removed.IsZero() && now.Sub(life.removed) > applyBound+openSlack && d.allCalm(now):
		d.check.broke(applied, "server %s got a flow to %s, %s after its route was removed", s.ID(), service, now.Sub(life.removed))
	}
}

// openSlack is how long an opening packet may be on its way with all its copies.
const openSlack = 700 * time.Millisecond

// allCalm reports whether nothing was done to any process for a while, the store included.
func (d *deployment) allCalm(now time.Time) bool {
	for _, p := range d.Processes() {
		if !p.Stable(now, stable) {
			return false
		}
	}
	return true
}

// Reset checks a reset of the system's own.
func (d *deployment) Reset(by netip.Addr, client, service netip.AddrPort, open bool) {
	now := time.Now()
	if !open {
		if life, known := d.check.life(service); known && life.removed.IsZero() && now.Sub(life.added) > applyBound && d.allCalm(now) {
			d.check.broke(applied, "flow from %s to %s was refused by %s though servers serve", client, service, by)
		}
		return
	}
	for _, p := range d.Agents {
		s := d.Server(p)
		if s != nil && s.HoldsFlow(client, service) && p.Undisturbed(now, stable) && d.unharmedAt(by, now) {
			d.check.broke(kept, "flow from %s to %s was reset by %s while server %s beside %s holds it", client, service, by, s.ID(), p.Name)
		}
	}
}

// unharmedAt reports whether nothing but planned work was done to the process of an IP for a while.
func (d *deployment) unharmedAt(ip netip.Addr, now time.Time) bool {
	for _, p := range d.Processes() {
		if p.IP == ip {
			return p.Undisturbed(now, stable)
		}
	}
	return true
}
