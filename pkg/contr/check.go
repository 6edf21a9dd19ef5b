package contr

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// FieldError names a field of a contract that has a bad value.
type FieldError struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// Error returns the field, its value and what is wrong with it.
func (e FieldError) Error() string { return fmt.Sprintf("%s = %q: %s", e.Field, e.Value, e.Reason) }

// FieldErrors lists every bad field of a contract.
type FieldErrors []FieldError

// Error returns all field errors in one line.
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

// checker collects the bad fields of one contract.
type checker struct{ faults FieldErrors }

func (c *checker) require(ok bool, field string, value any, reason string) {
	if !ok {
		c.faults = append(c.faults, FieldError{Field: field, Value: fmt.Sprint(value), Reason: reason})
	}
}

func (c *checker) name(field, value string) {
	ok := len(value) <= MaxNameLength && namePattern.MatchString(value)
	c.require(ok, field, value, "must be 1 to 63 lower-case letters, digits and inner hyphens")
}

func (c *checker) count(field string, value, lowest, highest int) {
	c.require(value >= lowest && value <= highest, field, value, fmt.Sprintf("must be %d to %d", lowest, highest))
}

func (c *checker) duration(field string, value Duration, highest time.Duration) {
	ok := value > 0 && value.Std() <= highest
	c.require(ok, field, value.Std(), fmt.Sprintf("must be above 0s and at most %s", highest))
}

// Validate returns FieldErrors that name each bad field, or nil.
func (c *Contract) Validate() error {
	var check checker
	check.name("name", c.Name)
	check.name("member", c.Member)
	check.require(c.Address.IsValid() && c.Address.Port() != 0, "address", c.Address, "must be an IP address and port")
	check.require(!c.Address.IsValid() || c.Address.Addr().Is4(), "address", c.Address, "must be IPv4")
	check.count("share", int(c.Share), 1, MaxShare)
	check.count("slots", c.Slots, 1, MaxSlots)
	check.count("connections", c.Connections, 1, MaxConnections)
	check.count("queue", c.Queue, 0, MaxQueue)
	check.duration("deadline", c.Deadline, MaxDeadline)
	check.duration("drain", c.Drain, MaxDrain)
	for _, m := range c.Idempotent {
		check.require(methodPattern.MatchString(m), "idempotent", m, "must be an upper-case method")
	}
	for _, p := range c.Streams {
		check.require(strings.HasPrefix(p, "/"), "streams", p, "must begin with /")
	}
	if len(check.faults) == 0 {
		return nil
	}
	return check.faults
}
