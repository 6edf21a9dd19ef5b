package sett

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	minPathMTU = 1340
	maxPathMTU = 2000
	maxWorkers = 64
)

// EntryFile are the settings of an entry.
type EntryFile struct {
	Common
	Entry Entry `toml:"entry"`
	Store Store `toml:"store"`
	Admin Admin `toml:"admin"`
	Log   Log   `toml:"log"`
}

// Entry are the settings of an entry's own.
type Entry struct {
	// Bind is the IP for callers; 0.0.0.0 binds the services' own addresses.
	Bind    netip.Addr     `toml:"bind"`
	Packets netip.AddrPort `toml:"packets"`
	Control netip.AddrPort `toml:"control"`
	// Agents are the networks that agents may be in.
	Agents []netip.Prefix `toml:"agents"`
	// PathMTU is the largest IP packet, in bytes, between entries and agents.
	PathMTU int `toml:"path_mtu"`
	// Workers is the number of goroutines for each direction and port.
	Workers int `toml:"workers"`
	// Capacity is how many datagrams a second the entry forwards at the most; 0 for no limit.
	Capacity int `toml:"capacity"`
	// Leave is how long a stopping entry still forwards.
	Leave contr.Duration `toml:"leave"`
}

// DefaultEntry returns the settings of an entry that don't stand in the file.
func DefaultEntry() EntryFile {
	return EntryFile{
		Entry: Entry{Bind: netip.IPv4Unspecified(), PathMTU: 1500, Workers: 1, Leave: contr.Duration(3 * time.Second)},
		Log:   Log{Level: "info"},
	}
}

// ParseEntry reads the settings of an entry. It returns Faults that list every bad setting.
func ParseEntry(file string, text []byte) (EntryFile, error) {
	s := DefaultEntry()
	return s, parse(file, text, &s, func(c *Validator) {
		s.check(c)
		s.Entry.check(c)
		s.Store.check(c)
		s.Admin.check(c)
		c.Require(len(s.Admin.Token) >= minSecret, "admin.token", "must have at least 16 characters")
		s.Log.check(c)
	})
}

func (s *Entry) check(c *Validator) {
	c.Require(s.Bind.Is4(), "entry.bind", "must be an IPv4 address")
	c.Reachable("entry.packets", s.Packets)
	c.Reachable("entry.control", s.Control)
	c.Require(len(s.Agents) > 0, "entry.agents", "is missing: name the networks that agents may be in")
	c.Range("entry.path_mtu", s.PathMTU, minPathMTU, maxPathMTU)
	c.Range("entry.workers", s.Workers, 1, maxWorkers)
	c.Require(s.Capacity >= 0, "entry.capacity", "must not be negative")
	c.Duration("entry.leave", s.Leave.Std(), 0, time.Minute)
}

// parse decodes a file into settings and checks them; it lists the faults of both.
func parse(file string, text []byte, settings any, check func(*Validator)) error {
	c := NewValidator(file, text)
	var faults FieldErrors
	if err := Decode(file, text, settings); err != nil {
		found, ok := err.(FieldErrors)
		if !ok {
			return err
		}
		faults = found
	}
	check(c)
	for _, f := range c.faults {
		if !faults.names(f) {
			faults = append(faults, f)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// names reports whether the faults have one of the same line.
func (f FieldErrors) names(other FieldError) bool {
	for i := range f {
		if f[i].Line == other.Line && other.Line != 0 {
			return true
		}
	}
	return false
}
