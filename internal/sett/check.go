package sett

import (
	"fmt"
	"net/netip"
	"time"
)

// Check collects the settings of a file that are out of range or missing.
type Check struct {
	file   string
	text   []byte
	faults Faults
}

// NewCheck returns a check of a file's settings.
func NewCheck(file string, text []byte) *Check { return &Check{file: file, text: text} }

// Require notes a fault of key unless ok.
func (c *Check) Require(ok bool, key, reason string) {
	if ok {
		return
	}
	line, value := Locate(c.text, key)
	if line == 0 {
		value = ""
	}
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Key: key, Value: value, Reason: reason})
}

// Text notes a fault when a text is missing.
func (c *Check) Text(key, value string) { c.Require(value != "", key, "is missing") }

// Address notes a fault when an address is missing, not IPv4, or lacks a port.
func (c *Check) Address(key string, value netip.AddrPort) {
	switch {
	case !value.IsValid():
		c.Require(false, key, "is missing")
	case !value.Addr().Is4():
		c.Require(false, key, "must be an IPv4 address")
	default:
		c.Require(value.Port() != 0, key, "must have a port")
	}
}

// Reachable notes a fault when other instances can't reach an address.
func (c *Check) Reachable(key string, value netip.AddrPort) {
	c.Address(key, value)
	c.Require(!value.IsValid() || !value.Addr().IsUnspecified(), key, "must be an address that other instances can reach")
}

// Range notes a fault when a number is out of range.
func (c *Check) Range(key string, value, lowest, highest int) {
	c.Require(value >= lowest && value <= highest, key, fmt.Sprintf("must be %d to %d", lowest, highest))
}

// Duration notes a fault when a duration is out of range.
func (c *Check) Duration(key string, value, lowest, highest time.Duration) {
	c.Require(value >= lowest && value <= highest, key, fmt.Sprintf("must be %s to %s", lowest, highest))
}

// Err returns the faults found, or nil.
func (c *Check) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}
