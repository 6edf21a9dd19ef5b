// Package devel runs a whole deployment in one process: a fake store, a simulated network, entries, agents and sample
// backend servers.
package devel

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/conf"
	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Spec describes a deployment. CallerDelay is the one-way delay between callers and entries, DomainDelay that between
// failure domains, which is not simulated.
type Spec struct {
	Name        string         `toml:"name"`
	Domains     []string       `toml:"domains"`
	Entries     int            `toml:"entries"`
	DomainDelay contr.Duration `toml:"domain_delay"`
	CallerDelay contr.Duration `toml:"caller_delay"`
	Services    []ServiceSpec  `toml:"service"`
}

// ServiceSpec describes a service of a deployment: its contract and its backend servers.
type ServiceSpec struct {
	Name        string         `toml:"name"`
	Member      string         `toml:"member"`
	Share       uint32         `toml:"share"`
	Targets     int            `toml:"targets"`
	Slots       int            `toml:"slots"`
	Connections int            `toml:"connections"`
	Queue       int            `toml:"queue"`
	Deadline    contr.Duration `toml:"deadline"`
	Tickets     bool           `toml:"tickets"`
	Streams     []string       `toml:"streams"`
	Drain       contr.Duration `toml:"drain"`
	Slowness    []float64      `toml:"slowness"`
}

// LoadSpec reads the embedded description of the deployment with this name.
func LoadSpec(name string) (*Spec, error) {
	file := name + ".toml"
	text, err := conf.Files.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("deployment %q does not exist; available: ovesna, kalfaoglu", name)
	}
	var spec Spec
	if err := sett.Decode("conf/"+file, text, &spec); err != nil {
		return nil, err
	}
	return &spec, nil
}

// contract returns the contract of the service at an address.
func (s *ServiceSpec) contract(address netip.AddrPort) contr.Contract {
	return contr.Contract{
		Name: s.Name, Member: s.Member, Address: address, Share: s.Share, Slots: s.Slots,
		Connections: s.Connections, Queue: s.Queue, Deadline: s.Deadline, Tickets: s.Tickets,
		Streams: s.Streams, Drain: s.Drain,
	}.WithDefaults()
}

// slownessAt returns the slowness of the i-th backend server: the factor on its processing time.
func (s *ServiceSpec) slownessAt(i int) float64 {
	if len(s.Slowness) == 0 {
		return 1
	}
	return s.Slowness[i%len(s.Slowness)]
}

// domainAt returns the failure domain of the i-th entry or of the i-th target of a service.
func (s *Spec) domainAt(i int) string { return s.Domains[i%len(s.Domains)] }

// callerDelay returns the one-way delay between callers and entries.
func (s *Spec) callerDelay() time.Duration { return s.CallerDelay.Std() }
