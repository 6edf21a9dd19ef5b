package sett

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// OpaqueCommon are the settings of processes that carry opaque flows.
type OpaqueCommon struct {
	// Domain is the failure domain of the instance.
	Domain string `toml:"domain"`
	// Secret is shared by all processes of the deployment.
	Secret string `toml:"secret"`
	// Hosts are addresses of instances that may run entries; only their IPs are used, with the port of control.
	Hosts []netip.AddrPort `toml:"hosts"`
	// Control is for messages between processes, over TCP and UDP.
	Control netip.AddrPort `toml:"control"`
	// Hops is for packets between processes, over UDP.
	Hops netip.AddrPort `toml:"hops"`
	// Clients is where callers' packets come in at an entry; an agent sends to callers from it.
	Clients netip.AddrPort `toml:"clients"`
	// Ready answers whether the process takes traffic.
	Ready netip.AddrPort `toml:"ready"`
	// Metrics serves counters and histograms.
	Metrics netip.AddrPort `toml:"metrics"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `toml:"store"`
	// Apply is how soon an accepted configuration must be in force.
	Apply contr.Duration `toml:"apply"`
	// Stop is how long a stopping process may take.
	Stop contr.Duration `toml:"stop"`
	// First says that the whole deployment starts for the first time.
	First bool `toml:"first"`
	Log   Log  `toml:"log"`
}

// RelayFile are the settings of an entry for opaque flows.
type RelayFile struct {
	OpaqueCommon
	// Announce is an address that is served only so that others find this instance; it takes no announcements.
	Announce netip.AddrPort `toml:"announce"`
}

// DeliverFile are the settings of an agent for opaque flows.
type DeliverFile struct {
	OpaqueCommon
	// Announce is where the backend server announces itself.
	Announce netip.AddrPort `toml:"announce"`
	// Outbound is where the backend server sends its packets.
	Outbound netip.AddrPort `toml:"outbound"`
	// Server is where the backend server takes packets.
	Server netip.AddrPort `toml:"server"`
	// Service is the service of the backend server; any when empty.
	Service string `toml:"service"`
	// Heartbeat is the time between the server's heartbeats.
	Heartbeat contr.Duration `toml:"heartbeat"`
}

const (
	defaultApply     = 3 * time.Second
	defaultStop      = 6 * time.Second
	defaultHeartbeat = time.Second
	minApply         = 500 * time.Millisecond
	minHeartbeat     = 50 * time.Millisecond
	maxHeartbeat     = time.Minute
)

func defaultOpaque() OpaqueCommon {
	return OpaqueCommon{
		Apply: contr.Duration(defaultApply), Stop: contr.Duration(defaultStop), Log: Log{Level: "info"},
	}
}

// ParseRelay reads the settings of an entry for opaque flows. It returns Faults that list every bad setting.
func ParseRelay(file string, text []byte) (RelayFile, error) {
	s := RelayFile{OpaqueCommon: defaultOpaque()}
	err := parse(file, text, &s, s.check)
	return s, err
}

// ParseDeliver reads the settings of an agent for opaque flows. It returns Faults that list every bad setting.
func ParseDeliver(file string, text []byte) (DeliverFile, error) {
	s := DeliverFile{OpaqueCommon: defaultOpaque(), Heartbeat: contr.Duration(defaultHeartbeat)}
	err := parse(file, text, &s, func(c *Validator) {
		s.check(c)
		c.Address("announce", s.Announce)
		c.Address("outbound", s.Outbound)
		c.Address("server", s.Server)
		c.Duration("heartbeat", s.Heartbeat.Std(), minHeartbeat, maxHeartbeat)
	})
	return s, err
}

func (s *OpaqueCommon) check(c *Validator) {
	c.Required("domain", s.Domain)
	c.Require(len(s.Secret) >= minSecret, "secret", "must have at least 16 characters")
	for _, p := range s.Hosts {
		c.Require(p.IsValid(), "hosts", "must be addresses with ports")
	}
	c.Reachable("control", s.Control)
	c.Reachable("hops", s.Hops)
	c.Require(!s.Control.IsValid() || s.Control != s.Hops, "hops", "must differ from control")
	c.Address("clients", s.Clients)
	c.Address("ready", s.Ready)
	c.Require(!s.Metrics.IsValid() || s.Metrics.Port() != 0, "metrics", "must have a port")
	c.Address("store", s.Store)
	c.Duration("apply", s.Apply.Std(), minApply, time.Minute)
	c.Duration("stop", s.Stop.Std(), 0, time.Minute)
	s.Log.check(c)
}

// SeedAddresses returns the control addresses of the instances in Hosts.
func (s *OpaqueCommon) SeedAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range s.Hosts {
		if h.Addr() != s.Control.Addr() {
			out = append(out, netip.AddrPortFrom(h.Addr(), s.Control.Port()))
		}
	}
	return out
}
