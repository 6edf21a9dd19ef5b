package sett

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// OpaqueCommon holds the settings that the processes for opaque flows have in common.
type OpaqueCommon struct {
	// Domain is the failure domain of the instance.
	Domain string `toml:"domain"`
	// Secret is the shared secret of the deployment.
	Secret string `toml:"secret"`
	// Hosts are the addresses of instances that may run entries. Only their IP addresses are used, with the port of Control.
	Hosts []netip.AddrPort `toml:"hosts"`
	// Control is the address for control messages between processes, over TCP and UDP.
	Control netip.AddrPort `toml:"control"`
	// Hops is the address for encapsulated packets between processes, over UDP. It also identifies the process.
	Hops netip.AddrPort `toml:"hops"`
	// Clients is the address on which an entry receives packets from callers, and from which an agent sends packets to them.
	Clients netip.AddrPort `toml:"clients"`
	// Ready is the address of the readiness check.
	Ready netip.AddrPort `toml:"ready"`
	// Metrics is the address on which counters and histograms are served; they aren't served if it is unset.
	Metrics netip.AddrPort `toml:"metrics"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `toml:"store"`
	// Apply is the time within which an accepted configuration must be in force.
	Apply contr.Duration `toml:"apply"`
	// Stop is the time that a process may take to stop.
	Stop contr.Duration `toml:"stop"`
	// First is true if the whole deployment starts for the first time.
	First bool `toml:"first"`
	Log   Log  `toml:"log"`
}

// RelayFile is the settings file of an entry for opaque flows.
type RelayFile struct {
	OpaqueCommon
	// Announce is an address that is only served so that others can find this instance; it accepts no announcements.
	Announce netip.AddrPort `toml:"announce"`
	// Link is the rate of the instance's network link in Mbit/s; 0 if it isn't known.
	Link float64 `toml:"link"`
}

// DeliverFile is the settings file of an agent for opaque flows.
type DeliverFile struct {
	OpaqueCommon
	// Announce is the address to which the backend server sends its announcements.
	Announce netip.AddrPort `toml:"announce"`
	// Outbound is the address to which the backend server sends its packets.
	Outbound netip.AddrPort `toml:"outbound"`
	// Server is the address on which the backend server receives packets.
	Server netip.AddrPort `toml:"server"`
	// Service is the service that the backend server must announce; empty for any.
	Service string `toml:"service"`
	// Heartbeat is the interval of the backend server's heartbeats.
	Heartbeat contr.Duration `toml:"heartbeat"`
}

const (
	defaultApply     = 3 * time.Second
	defaultStop      = 6 * time.Second
	defaultHeartbeat = time.Second
	minApply         = 500 * time.Millisecond
	minHeartbeat     = 50 * time.Millisecond
	maxHeartbeat     = time.Minute
	// maxLink is the highest rate of a link, in Mbit/s.
	maxLink = 1e6
)

func defaultOpaque() OpaqueCommon {
	return OpaqueCommon{
		Apply: contr.Duration(defaultApply), Stop: contr.Duration(defaultStop), Log: Log{Level: "info"},
	}
}

// ParseRelay parses the settings of an entry for opaque flows. It returns FieldErrors that list all invalid settings.
func ParseRelay(file string, text []byte) (RelayFile, error) {
	s := RelayFile{OpaqueCommon: defaultOpaque()}
	err := parse(file, text, &s, func(v *Validator) {
		s.validate(v)
		v.Check(s.Link >= 0 && s.Link <= maxLink, "link", "must be 0 to 1000000 Mbit/s")
	})
	return s, err
}

// ParseDeliver parses the settings of an agent for opaque flows. It returns FieldErrors that list all invalid settings.
func ParseDeliver(file string, text []byte) (DeliverFile, error) {
	s := DeliverFile{OpaqueCommon: defaultOpaque(), Heartbeat: contr.Duration(defaultHeartbeat)}
	err := parse(file, text, &s, func(v *Validator) {
		s.validate(v)
		v.Address("announce", s.Announce)
		v.Address("outbound", s.Outbound)
		v.Address("server", s.Server)
		v.Duration("heartbeat", s.Heartbeat.Std(), minHeartbeat, maxHeartbeat)
	})
	return s, err
}

func (s *OpaqueCommon) validate(v *Validator) {
	v.NotEmpty("domain", s.Domain)
	v.Check(len(s.Secret) >= minSecretLength, "secret", "must have at least 16 characters")
	for _, host := range s.Hosts {
		v.Check(host.IsValid(), "hosts", "must be addresses with ports")
	}
	v.Reachable("control", s.Control)
	v.Reachable("hops", s.Hops)
	v.Check(!s.Control.IsValid() || s.Control != s.Hops, "hops", "must differ from control")
	v.Address("clients", s.Clients)
	v.Address("ready", s.Ready)
	v.Check(!s.Metrics.IsValid() || s.Metrics.Port() != 0, "metrics", "must have a port")
	v.Address("store", s.Store)
	v.Duration("apply", s.Apply.Std(), minApply, time.Minute)
	v.Duration("stop", s.Stop.Std(), 0, time.Minute)
	s.Log.validate(v)
}

// SeedAddresses returns the control addresses of the other instances in Hosts.
func (s *OpaqueCommon) SeedAddresses() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, host := range s.Hosts {
		if host.Addr() != s.Control.Addr() {
			seeds = append(seeds, netip.AddrPortFrom(host.Addr(), s.Control.Port()))
		}
	}
	return seeds
}
