package sett

import (
	"net/netip"
	"net/url"

	"go.uber.org/zap/zapcore"
)

// minSecretLength is the minimum length of the secret and of the API token in bytes.
const minSecretLength = 16

// Common holds the top-level settings that entries and agents have in common.
type Common struct {
	// Domain is the failure domain of the instance.
	Domain string `toml:"domain"`
	// Secret is the shared secret of the deployment.
	Secret string `toml:"secret"`
	// Peers are the control addresses of some entries, through which a process can also join while the store is down.
	Peers []netip.AddrPort `toml:"peers"`
}

func (s *Common) validate(v *Validator) {
	v.NotEmpty("domain", s.Domain)
	v.Check(len(s.Secret) >= minSecretLength, "secret", "must have at least 16 characters")
	for _, peer := range s.Peers {
		v.Check(peer.IsValid() && peer.Port() != 0, "peers", "must be addresses with ports")
	}
}

// Store holds the settings of the platform's key-value store.
type Store struct {
	URL string `toml:"url"`
	// Token authenticates the process to the store; empty for none.
	Token string `toml:"token"`
}

func (s *Store) validate(v *Validator) {
	u, err := url.Parse(s.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	v.Check(ok, "store.url", "must be an http or https URL")
}

// Admin holds the settings of the administration server.
type Admin struct {
	Address netip.AddrPort `toml:"address"`
	// Token is the bearer token that API requests must carry; entries only.
	Token string `toml:"token"`
	// Cert and Key are the paths of the server's certificate and private key. Without them it serves plain HTTP, which is
	// only allowed on a loopback address.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

func (s *Admin) validate(v *Validator) {
	v.Address("admin.address", s.Address)
	plain := s.Cert == "" && s.Key == ""
	loopback := s.Address.IsValid() && s.Address.Addr().IsLoopback()
	v.Check(!plain || loopback, "admin.cert", "is required unless the address is a loopback address")
	v.Check((s.Cert == "") == (s.Key == ""), "admin.key", "must be set if and only if admin.cert is set")
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `toml:"level"`
}

func (s *Log) validate(v *Validator) {
	_, err := zapcore.ParseLevel(s.Level)
	v.Check(err == nil, "log.level", "must be debug, info, warn or error")
}
