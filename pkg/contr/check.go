package contr

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// FieldError reports an invalid field of a contract or a request.
type FieldError struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// Error returns the field, its value and the reason why it is invalid.
func (e FieldError) Error() string { return fmt.Sprintf("%s = %q: %s", e.Field, e.Value, e.Reason) }

// FieldErrors lists every invalid field of a contract.
type FieldErrors []FieldError

// Error returns all errors in one line, separated by semicolons.
func (e FieldErrors) Error() string {
	texts := make([]string, len(e))
	for i := range e {
		texts[i] = e[i].Error()
	}
	return strings.Join(texts, "; ")
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// validator collects the field errors of a contract.
type validator struct{ errs FieldErrors }

func (v *validator) check(ok bool, field string, value any, reason string) {
	if !ok {
		v.errs = append(v.errs, FieldError{Field: field, Value: fmt.Sprint(value), Reason: reason})
	}
}

func (v *validator) checkName(field, value string) {
	ok := len(value) <= MaxNameLength && namePattern.MatchString(value)
	v.check(ok, field, value, "must be 1 to 63 lower-case letters, digits and inner hyphens")
}

func (v *validator) checkRange(field string, value, minimum, maximum int) {
	v.check(value >= minimum && value <= maximum, field, value, fmt.Sprintf("must be %d to %d", minimum, maximum))
}

func (v *validator) checkDuration(field string, value Duration, maximum time.Duration) {
	ok := value > 0 && value.Std() <= maximum
	v.check(ok, field, value.Std(), fmt.Sprintf("must be above 0s and at most %s", maximum))
}

// Validate returns FieldErrors with every invalid field, or nil.
func (c *Contract) Validate() error {
	var v validator
	v.checkName("name", c.Name)
	v.checkName("member", c.Member)
	v.check(c.Address.IsValid() && c.Address.Port() != 0, "address", c.Address, "must be an IP address and port")
	v.check(!c.Address.IsValid() || c.Address.Addr().Is4(), "address", c.Address, "must be IPv4")
	v.checkRange("share", int(c.Share), 1, MaxShare)
	v.checkRange("slots", c.Slots, 1, MaxSlots)
	v.checkRange("connections", c.Connections, 1, MaxConnections)
	v.checkRange("queue", c.Queue, 0, MaxQueue)
	v.checkDuration("deadline", c.Deadline, MaxDeadline)
	v.checkDuration("drain", c.Drain, MaxDrain)
	for _, m := range c.Idempotent {
		v.check(methodPattern.MatchString(m), "idempotent", m, "must be an upper-case method")
	}
	for _, p := range c.Streams {
		v.check(strings.HasPrefix(p, "/"), "streams", p, "must begin with /")
	}
	if len(v.errs) == 0 {
		return nil
	}
	return v.errs
}
