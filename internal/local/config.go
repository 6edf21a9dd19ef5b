package local

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// routeObjective and routeTimeout are the objective and the timeout of all routes.
	routeObjective = 200 * time.Millisecond
	routeTimeout   = 3 * time.Second
	// idleTimeout is the idle timeout of flows in all configurations.
	idleTimeout = 15 * time.Second
)

// ChangeRoutes writes a configuration that adds a route to a random service or removes one that it added before.
func (d *Deployment) ChangeRoutes(rng *rand.Rand) error {
	d.mu.Lock()
	if len(d.extraRoutes) > 0 && rng.IntN(2) == 0 {
		i := rng.IntN(len(d.extraRoutes))
		d.extraRoutes = append(d.extraRoutes[:i:i], d.extraRoutes[i+1:]...)
	} else {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(d.configVersion)}), servicePort)
		service := d.opts.Services[rng.IntN(len(d.opts.Services))].Name
		d.extraRoutes = append(d.extraRoutes, d.newRoute(address.String(), address, service))
	}
	d.mu.Unlock()
	return d.configure()
}

func (d *Deployment) newRoute(name string, address netip.AddrPort, service string) fakes.Route {
	return fakes.Route{
		Name: name, Address: address, Service: service, Priority: 1, Unsafe: true, Objective: routeObjective, Timeout: routeTimeout,
	}
}

// configure writes the routes of all services and the extra routes to the store as the next configuration. Its version
// is 1 to 3 higher than the previous one, so that some versions are skipped.
func (d *Deployment) configure() error {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	d.mu.Lock()
	d.configVersion += 1 + uint64(rand.IntN(3))
	routes := append([]fakes.Route(nil), d.extraRoutes...)
	for _, s := range d.opts.Services {
		routes = append(routes, d.newRoute(s.Name, d.serviceAddrs[s.Name], s.Name))
	}
	version := d.configVersion
	d.mu.Unlock()
	if err := d.Store.Configure(version, routes, idleTimeout); err != nil {
		return err
	}
	d.opts.Watcher.Configured(routes)
	return nil
}
