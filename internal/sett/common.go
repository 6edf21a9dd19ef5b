package sett

import (
	"net/netip"
	"net/url"

	"go.uber.org/zap/zapcore"
)

const minSecretLength = 16

// Common holds the top-level settings that entries and agents have in common.
type Common struct {
	// Domain is the failure domain of the instance.
	Domain string `toml:"domain"`
	// Secret is the shared secret of the deployment.
	Secret string `toml:"secret"`
	// Peers are the control addresses of some entries. A process contacts them if the store is down when it starts.
	Peers []netip.AddrPort `toml:"peers"`
}

func (s *Common) validate(v *Validator) {
	v.Required("domain", s.Domain)
	v.Require(len(s.Secret) >= minSecretLength, "secret", "must have at least 16 characters")
	for _, peer := range s.Peers {
		v.Require(peer.IsValid() && peer.Port() != 0, "peers", "must be addresses with ports")
	}
}

// Store holds the settings of the platform's key-value store.
type Store struct {
	URL   string `toml:"url"`
	Token string `toml:"token"`
}

func (s *Store) validate(v *Validator) {
	u, err := url.Parse(s.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	v.Require(ok, "store.url", "must be an http or https URL")
}

// Admin holds the settings of the administration server.
type Admin struct {
	Address netip.AddrPort `toml:"address"`
	// Token is the bearer token that API requests must carry; entries only.
	Token string `toml:"token"`
	Cert  string `toml:"cert"`
	Key   string `toml:"key"`
}

func (s *Admin) validate(v *Validator) {
	v.Address("admin.address", s.Address)
	plain := s.Cert == "" && s.Key == ""
	loopback := s.Address.IsValid() && s.Address.Addr().IsLoopback()
	v.Require(!plain || loopback, "admin.cert", "is required unless the address is a loopback address")
	v.Require((s.Cert == "") == (s.Key == ""), "admin.key", "must be set if and only if admin.cert is set")
}

// Log holds the settings of the log.
type Log struct {
	Level string `toml:"level"`
}

func (s *Log) validate(v *Validator) {
	_, err := zapcore.ParseLevel(s.Level)
	v.Require(err == nil, "log.level", "must be debug, info, warn or error")
}
