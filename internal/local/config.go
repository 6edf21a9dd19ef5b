package local

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

const (
	// routeObjective and routeTimeout are the objective and the timeout of all routes.
	routeObjective = 200 * time.Millisecond
	routeTimeout   = 3 * time.Second
	// IdleTimeout is the idle timeout of flows in all configurations.
	IdleTimeout = 15 * time.Second
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
	d.lastRoutes = routes
	d.mu.Unlock()
	if err := d.Store.Configure(version, routes, IdleTimeout); err != nil {
		return err
	}
	d.opts.Watcher.Configured(routes)
	return nil
}

// RollBackStore makes the store unavailable after copyAge, and outage later return to a copy of now, with the newest configuration
// written again.
func (d *Deployment) RollBackStore(ctx context.Context, copyAge, outage time.Duration) error {
	c := d.Store.Copy()
	sleep(ctx, copyAge)
	d.Store.Inject(fakes.Faults{RejectStatus: http.StatusServiceUnavailable})
	sleep(ctx, outage)
	d.Store.Inject(fakes.Faults{})
	return d.RestoreStore(c, 0)
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// RestoreStore returns the store to a copy, and writes the newest configuration again after operatorDelay, as the operator does.
func (d *Deployment) RestoreStore(c *fakes.Copy, operatorDelay time.Duration) error {
	d.Store.Restore(c)
	time.Sleep(operatorDelay)
	d.configMu.Lock()
	defer d.configMu.Unlock()
	d.mu.Lock()
	version, routes := d.configVersion, d.lastRoutes
	d.mu.Unlock()
	return d.Store.Configure(version, routes, IdleTimeout)
}

// directoryPrefix begins the keys of the records that processes write to the store; their packet addresses follow.
const directoryPrefix = "bergamotrun/process/"

// RecordKey returns the key of a process's record in the store.
func (d *Deployment) RecordKey(p *Process) string {
	return directoryPrefix + netip.AddrPortFrom(p.IP, portHops).String()
}

// flowListPrefix begins the keys of the flow lists that agents write to the store; their packet addresses follow.
const flowListPrefix = "bergamotrun/flows/"

// PutOddItems writes items to the store that can't be decoded, among the records of processes, beside the configuration, and in the
// place of all agents' flow lists.
func (d *Deployment) PutOddItems() {
	d.Store.PutOdd(directoryPrefix + "127.9.9.9:")
	d.Store.PutOdd(fakes.ConfigKey + "-")
	for _, p := range d.Agents {
		key := flowListPrefix + netip.AddrPortFrom(p.IP, portHops).String()
		d.Store.PutEncoded(key, []byte(fakes.DeepArray()))
	}
}

// SendOddHeartbeats sends an agent heartbeats of which none names a server to use, and returns how many it acknowledged.
func (d *Deployment) SendOddHeartbeats(ctx context.Context, p *Process) (acknowledged int, err error) {
	service := d.opts.Services[d.placements[p].service].Name
	return fakes.SendOddHeartbeats(ctx, netip.AddrPortFrom(p.IP, portAnnounce), service, netip.AddrPortFrom(p.IP, portServer))
}
