package sett

import (
	"fmt"
	"net/netip"
	"time"
)

// Validator collects the settings of a file that are out of range or missing.
type Validator struct {
	file   string
	text   []byte
	faults FieldErrors
}

// NewValidator returns a check of a file's settings.
func NewValidator(file string, text []byte) *Validator { return &Validator{file: file, text: text} }

// Require notes a fault of key unless ok.
func (c *Validator) Require(ok bool, key, reason string) {
	if ok {
		return
	}
	line, value := FindKey(c.text, key)
	if line == 0 {
		value = ""
	}
	c.faults = append(c.faults, FieldError{File: c.file, Line: line, Key: key, Value: value, Reason: reason})
}

// Required notes a fault when a text is missing.
func (c *Validator) Required(key, value string) { c.Require(value != "", key, "is missing") }

// Address notes a fault when an address is missing, not IPv4, or lacks a port.
func (c *Validator) Address(key string, value netip.AddrPort) {
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
func (c *Validator) Reachable(key string, value netip.AddrPort) {
	c.Address(key, value)
	c.Require(!value.IsValid() || !value.Addr().IsUnspecified(), key, "must be an address that other instances can reach")
}

// Range notes a fault when a number is out of range.
func (c *Validator) Range(key string, value, lowest, highest int) {
	c.Require(value >= lowest && value <= highest, key, fmt.Sprintf("must be %d to %d", lowest, highest))
}

// Duration notes a fault when a duration is out of range.
func (c *Validator) Duration(key string, value, lowest, highest time.Duration) {
	c.Require(value >= lowest && value <= highest, key, fmt.Sprintf("must be %s to %s", lowest, highest))
}

// Err returns the faults found, or nil.
func (c *Validator) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}
