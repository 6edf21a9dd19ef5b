package local

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// objective and timeout are those of all services' routes.
	objective = 200 * time.Millisecond
	timeout   = 3 * time.Second
	idleTime  = 15 * time.Second
)

// ChangeRoutes writes a configuration that has one route more, or one of those less.
func (d *Deployment) ChangeRoutes(r *rand.Rand) error {
	d.mu.Lock()
	if len(d.extra) > 0 && r.IntN(2) == 0 {
		i := r.IntN(len(d.extra))
		d.extra = append(d.extra[:i:i], d.extra[i+1:]...)
	} else {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(d.version)}), servicePort)
		service := d.opts.Services[r.IntN(len(d.opts.Services))].Name
		d.extra = append(d.extra, d.newRoute(address.String(), address, service))
	}
	d.mu.Unlock()
	return d.configure()
}

func (d *Deployment) newRoute(name string, address netip.AddrPort, service string) fakes.Route {
	return fakes.Route{
		Name: name, Address: address, Service: service, Priority: 1, Unsafe: true, Objective: objective, Timeout: timeout,
	}
}

// configure writes the next configuration.
func (d *Deployment) configure() error {
	d.mu.Lock()
	d.version += 1 + uint64(rand.IntN(3))
	routes := append([]fakes.Route(nil), d.extra...)
	for _, s := range d.opts.Services {
		routes = append(routes, d.newRoute(s.Name, d.addresses[s.Name], s.Name))
	}
	version := d.version
	d.mu.Unlock()
	if err := d.Store.Configure(version, routes, idleTime); err != nil {
		return err
	}
	d.opts.Watcher.Configured(routes)
	return nil
}
