package sett

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const maxWeight = 10000

// AgentFile are the settings of an agent.
type AgentFile struct {
	Common
	Agent Agent `toml:"agent"`
	Store Store `toml:"store"`
	Admin Admin `toml:"admin"`
	Log   Log   `toml:"log"`
}

// Agent are the settings of an agent's own.
type Agent struct {
	Service string         `toml:"service"`
	Backend string         `toml:"backend"`
	Health  string         `toml:"health"`
	Packets netip.AddrPort `toml:"packets"`
	Control netip.AddrPort `toml:"control"`
	// Weight is the capacity for flows in proportion to the service's other agents.
	Weight int `toml:"weight"`
	// Cert and Key are the files of the service's certificate and its key.
	Cert    string `toml:"cert"`
	Key     string `toml:"key"`
	PathMTU int    `toml:"path_mtu"`
	// Notice is how long a stopping agent still serves by its peers before it ends its flows.
	Notice contr.Duration `toml:"notice"`
}

// DefaultAgent returns the settings of an agent that don't stand in the file.
func DefaultAgent() AgentFile {
	return AgentFile{
		Agent: Agent{Weight: 100, PathMTU: 1500, Notice: contr.Duration(3 * time.Second)},
		Log:   Log{Level: "info"},
	}
}

// ParseAgent reads the settings of an agent. It returns Faults that list every bad setting.
func ParseAgent(file string, text []byte) (AgentFile, error) {
	s := DefaultAgent()
	return s, parse(file, text, &s, func(c *Validator) {
		s.check(c)
		s.Agent.check(c)
		s.Store.check(c)
		s.Admin.check(c)
		s.Log.check(c)
	})
}

func (s *Agent) check(c *Validator) {
	c.Required("agent.service", s.Service)
	u, err := url.Parse(s.Backend)
	c.Require(err == nil && u.Scheme == "http" && u.Host != "", "agent.backend", "must be an http URL")
	c.Require(s.Health == "" || strings.HasPrefix(s.Health, "/"), "agent.health", "must begin with /")
	c.Reachable("agent.packets", s.Packets)
	c.Reachable("agent.control", s.Control)
	c.Range("agent.weight", s.Weight, 1, maxWeight)
	c.Required("agent.cert", s.Cert)
	c.Required("agent.key", s.Key)
	c.Range("agent.path_mtu", s.PathMTU, minPathMTU, maxPathMTU)
	c.Duration("agent.notice", s.Notice.Std(), 0, time.Minute)
}
