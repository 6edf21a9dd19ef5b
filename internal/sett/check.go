package sett

import (
	"fmt"
	"net/netip"
	"time"
)

// Validator validates the settings of a file and collects the errors.
type Validator struct {
	file string
	text []byte
	errs FieldErrors
}

// NewValidator returns a validator for the settings in a file with this name and text.
func NewValidator(file string, text []byte) *Validator { return &Validator{file: file, text: text} }

// Check adds an error for key unless ok is true. The error has the line and the value of key if it is in the file.
func (v *Validator) Check(ok bool, key, reason string) {
	if ok {
		return
	}
	line, value := FindKey(v.text, key)
	if line == 0 {
		value = ""
	}
	v.errs = append(v.errs, FieldError{File: v.file, Line: line, Key: key, Value: value, Reason: reason})
}

// NotEmpty adds an error if value is empty.
func (v *Validator) NotEmpty(key, value string) { v.Check(value != "", key, "is missing") }

// Address adds an error if an address is missing, isn't IPv4 or has no port.
func (v *Validator) Address(key string, value netip.AddrPort) {
	switch {
	case !value.IsValid():
		v.Check(false, key, "is missing")
	case !value.Addr().Is4():
		v.Check(false, key, "must be an IPv4 address")
	default:
		v.Check(value.Port() != 0, key, "must have a port")
	}
}

// Reachable adds an error if an address isn't valid or other instances can't reach it because it is unspecified.
func (v *Validator) Reachable(key string, value netip.AddrPort) {
	v.Address(key, value)
	v.Check(!value.IsValid() || !value.Addr().IsUnspecified(), key, "must be an address that other instances can reach")
}

// Range adds an error if a number is out of range.
func (v *Validator) Range(key string, value, minimum, maximum int) {
	v.Check(value >= minimum && value <= maximum, key, fmt.Sprintf("must be %d to %d", minimum, maximum))
}

// Duration adds an error if a duration is out of range.
func (v *Validator) Duration(key string, value, minimum, maximum time.Duration) {
	v.Check(value >= minimum && value <= maximum, key, fmt.Sprintf("must be %s to %s", minimum, maximum))
}

// Err returns the collected errors as FieldErrors, or nil if there are none.
func (v *Validator) Err() error {
	if len(v.errs) == 0 {
		return nil
	}
	return v.errs
}
