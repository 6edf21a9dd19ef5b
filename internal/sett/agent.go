package sett

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const maxWeight = 10000

// AgentFile is the settings file of an agent.
type AgentFile struct {
	Common
	Agent Agent `toml:"agent"`
	Store Store `toml:"store"`
	Admin Admin `toml:"admin"`
	Log   Log   `toml:"log"`
}

// Agent holds the settings that are specific to an agent.
type Agent struct {
	// Service is the name of the service that the backend server belongs to.
	Service string `toml:"service"`
	// Backend is the URL of the backend server.
	Backend string `toml:"backend"`
	// Health is the path of the backend server's health check; empty for none.
	Health string `toml:"health"`
	// Packets is the address for datagrams from entries and other agents.
	Packets netip.AddrPort `toml:"packets"`
	// Control is the address for control messages between processes, over TCP and UDP.
	Control netip.AddrPort `toml:"control"`
	// Weight is the agent's capacity for flows relative to the service's other agents.
	Weight int `toml:"weight"`
	// Cert and Key are the paths of the service's certificate and private key.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// PathMTU is the maximum size of an IP packet between entries and agents in bytes.
	PathMTU int `toml:"path_mtu"`
	// Notice is how long a stopping agent keeps its flows open and has their requests served by its peers before it closes
	// them.
	Notice contr.Duration `toml:"notice"`
}

// DefaultAgent returns the default settings of an agent.
func DefaultAgent() AgentFile {
	return AgentFile{
		Agent: Agent{Weight: 100, PathMTU: 1500, Notice: contr.Duration(3 * time.Second)},
		Log:   Log{Level: "info"},
	}
}

// ParseAgent parses the settings of an agent. It returns FieldErrors that list all invalid settings.
func ParseAgent(file string, text []byte) (AgentFile, error) {
	s := DefaultAgent()
	return s, parse(file, text, &s, func(v *Validator) {
		s.validate(v)
		s.Agent.validate(v)
		s.Store.validate(v)
		s.Admin.validate(v)
		s.Log.validate(v)
	})
}

func (s *Agent) validate(v *Validator) {
	v.NotEmpty("agent.service", s.Service)
	u, err := url.Parse(s.Backend)
	v.Check(err == nil && u.Scheme == "http" && u.Host != "", "agent.backend", "must be an http URL")
	v.Check(s.Health == "" || strings.HasPrefix(s.Health, "/"), "agent.health", "must begin with /")
	v.Reachable("agent.packets", s.Packets)
	v.Reachable("agent.control", s.Control)
	v.Range("agent.weight", s.Weight, 1, maxWeight)
	v.NotEmpty("agent.cert", s.Cert)
	v.NotEmpty("agent.key", s.Key)
	v.Range("agent.path_mtu", s.PathMTU, minPathMTU, maxPathMTU)
	v.Duration("agent.notice", s.Notice.Std(), 0, time.Minute)
}
