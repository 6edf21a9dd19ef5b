package sett

import (
	"net/netip"
	"net/url"

	"go.uber.org/zap/zapcore"
)

const minSecret = 16

// Common are the settings that all roles have, at the top of the file.
type Common struct {
	// Domain is the failure domain of the instance.
	Domain string `toml:"domain"`
	// Secret is shared by all processes of the deployment.
	Secret string `toml:"secret"`
	// Peers are control addresses of some entries, for a start while the store is down.
	Peers []netip.AddrPort `toml:"peers"`
}

func (s *Common) check(c *Validator) {
	c.Required("domain", s.Domain)
	c.Require(len(s.Secret) >= minSecret, "secret", "must have at least 16 characters")
	for _, p := range s.Peers {
		c.Require(p.IsValid() && p.Port() != 0, "peers", "must be addresses with ports")
	}
}

// Store are the settings of the platform's key-value service.
type Store struct {
	URL   string `toml:"url"`
	Token string `toml:"token"`
}

func (s *Store) check(c *Validator) {
	u, err := url.Parse(s.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.Require(ok, "store.url", "must be an http or https URL")
}

// Admin are the settings of the administration address.
type Admin struct {
	Address netip.AddrPort `toml:"address"`
	// Token must come with each call of the API; entries only.
	Token string `toml:"token"`
	Cert  string `toml:"cert"`
	Key   string `toml:"key"`
}

func (s *Admin) check(c *Validator) {
	c.Address("admin.address", s.Address)
	plain := s.Cert == "" && s.Key == ""
	loopback := s.Address.IsValid() && s.Address.Addr().IsLoopback()
	c.Require(!plain || loopback, "admin.cert", "is needed unless the address is a loopback one")
	c.Require((s.Cert == "") == (s.Key == ""), "admin.key", "cert and key go together")
}

// Log are the settings of the log.
type Log struct {
	Level string `toml:"level"`
}

func (s *Log) check(c *Validator) {
	_, err := zapcore.ParseLevel(s.Level)
	c.Require(err == nil, "log.level", "must be debug, info, warn or error")
}
