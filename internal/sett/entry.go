package sett

import (
	"net/netip"
	"time"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	// minPathMTU and maxPathMTU are the bounds of path_mtu in bytes.
	minPathMTU = 1340
	maxPathMTU = 2000
	maxWorkers = 64
)

// EntryFile is the settings file of an entry.
type EntryFile struct {
	Common
	Entry Entry `toml:"entry"`
	Store Store `toml:"store"`
	Admin Admin `toml:"admin"`
	Log   Log   `toml:"log"`
}

// Entry holds the settings that are specific to an entry.
type Entry struct {
	// Bind is the IP address on which callers reach the services; with 0.0.0.0 each service's own address is bound.
	Bind netip.Addr `toml:"bind"`
	// Packets is the address for datagrams from agents.
	Packets netip.AddrPort `toml:"packets"`
	// Control is the address for control messages between processes, over TCP and UDP.
	Control netip.AddrPort `toml:"control"`
	// Agents are the networks in which agents may be. The entry forwards no datagram to an address outside them.
	Agents []netip.Prefix `toml:"agents"`
	// PathMTU is the maximum size of an IP packet between entries and agents in bytes.
	PathMTU int `toml:"path_mtu"`
	// Workers is the number of goroutines per direction and port.
	Workers int `toml:"workers"`
	// Capacity is the maximum number of datagrams per second that the entry forwards; 0 for no limit.
	Capacity int `toml:"capacity"`
	// Leave is how long a stopping entry continues to forward.
	Leave contr.Duration `toml:"leave"`
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() EntryFile {
	return EntryFile{
		Entry: Entry{Bind: netip.IPv4Unspecified(), PathMTU: 1500, Workers: 1, Leave: contr.Duration(3 * time.Second)},
		Log:   Log{Level: "info"},
	}
}

// ParseEntry parses the settings of an entry. It returns FieldErrors that list all invalid settings.
func ParseEntry(file string, text []byte) (EntryFile, error) {
	s := DefaultEntry()
	return s, parse(file, text, &s, func(v *Validator) {
		s.validate(v)
		s.Entry.validate(v)
		s.Store.validate(v)
		s.Admin.validate(v)
		v.Check(len(s.Admin.Token) >= minSecretLength, "admin.token", "must have at least 16 characters")
		s.Log.validate(v)
	})
}

func (s *Entry) validate(v *Validator) {
	v.Check(s.Bind.Is4(), "entry.bind", "must be an IPv4 address")
	v.Reachable("entry.packets", s.Packets)
	v.Reachable("entry.control", s.Control)
	v.Check(len(s.Agents) > 0, "entry.agents", "is missing: list the networks in which agents may be")
	v.Range("entry.path_mtu", s.PathMTU, minPathMTU, maxPathMTU)
	v.Range("entry.workers", s.Workers, 1, maxWorkers)
	v.Check(s.Capacity >= 0, "entry.capacity", "must not be negative")
	v.Duration("entry.leave", s.Leave.Std(), 0, time.Minute)
}

// parse decodes a file into settings and validates them. It returns the errors of both steps, without validation errors on
// lines that couldn't be decoded.
func parse(file string, text []byte, settings any, validate func(*Validator)) error {
	v := NewValidator(file, text)
	var errs FieldErrors
	if err := Decode(file, text, settings); err != nil {
		decodeErrs, ok := err.(FieldErrors)
		if !ok {
			return err
		}
		errs = decodeErrs
	}
	validate(v)
	for _, fieldError := range v.errs {
		if !errs.hasErrorOnLineOf(fieldError) {
			errs = append(errs, fieldError)
		}
	}
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// hasErrorOnLineOf reports whether f contains an error on the same line as other.
func (f FieldErrors) hasErrorOnLineOf(other FieldError) bool {
	for i := range f {
		if f[i].Line == other.Line && other.Line != 0 {
			return true
		}
	}
	return false
}
