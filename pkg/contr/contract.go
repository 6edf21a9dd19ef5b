// Package contr defines contracts: what an operator writes for a service, and from which every
// limit of that service follows.
package contr

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds and defaults of a contract's fields.
const (
	MaxShare       = 1_000_000
	MaxSlots       = 1024
	MaxConnections = 1_000_000
	MaxQueue       = 4096
	MaxDeadline    = time.Hour
	MaxDrain       = 24 * time.Hour
	MaxNameLength  = 63

	DefaultSlots       = 4
	DefaultConnections = 2000
	DefaultQueue       = 16
	DefaultDeadline    = 5 * time.Second
	DefaultDrain       = 10 * time.Minute
)

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Contract is what an operator promises and limits for one service.
type Contract struct {
	// Name names the service; it never changes.
	Name string `json:"name"`
	// Member is the business that the service belongs to.
	Member string `json:"member"`
	// Address is where callers reach the service; it never changes.
	Address netip.AddrPort `json:"address"`
	// Share is the member's part of the pooled front-door capacity, in proportion to all shares.
	Share uint32 `json:"share"`
	// Slots is how many requests a backend server works on at once.
	Slots int `json:"slots"`
	// Connections is how many flows a backend server's agent holds at once.
	Connections int `json:"connections"`
	// Queue is how many requests may wait at one agent for a slot.
	Queue int `json:"queue"`
	// Deadline is the time a request has when its caller names none.
	Deadline Duration `json:"deadline"`
	// Tickets says whether a request that is not idempotent must carry a ticket.
	Tickets bool `json:"tickets"`
	// Idempotent lists the methods whose requests may run more than once.
	Idempotent []string `json:"idempotent"`
	// Streams lists path prefixes of long answers, which take no slot.
	Streams []string `json:"streams"`
	// Drain is how long a stopping agent waits for its requests in progress.
	Drain Duration `json:"drain"`
}

// WithDefaults returns c with each field that has a default and is unset filled in.
func (c Contract) WithDefaults() Contract {
	setDefault(&c.Share, 1)
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.Connections, DefaultConnections)
	setDefault(&c.Queue, DefaultQueue)
	setDefault(&c.Deadline, Duration(DefaultDeadline))
	setDefault(&c.Drain, Duration(DefaultDrain))
	if c.Idempotent == nil {
		c.Idempotent = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IsIdempotent reports whether a request with this method may run more than once.
func (c *Contract) IsIdempotent(method string) bool { return slices.Contains(c.Idempotent, method) }

// IsStream reports whether the answer for path is a long one that takes no slot.
func (c *Contract) IsStream(path string) bool {
	for _, prefix := range c.Streams {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Record is a contract with what the system adds to it.
type Record struct {
	Contract Contract `json:"contract"`
	// Number is the service number; it is never used again.
	Number uint32 `json:"number"`
	// Serial grows with each change, over all contracts.
	Serial uint64 `json:"serial"`
	// Retired says that the service has ended. Its record stays, so that the end can't be undone by an old one.
	Retired bool `json:"retired"`
}
