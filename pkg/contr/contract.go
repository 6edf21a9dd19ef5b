// Package contr defines contracts. An operator writes one for each service; it sets all limits of the service.
package contr

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits and defaults of the fields of a contract.
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

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts what time.ParseDuration does.
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

// Contract holds the address, limits and request semantics of a service.
type Contract struct {
	// Name is the name of the service. It is immutable.
	Name string `json:"name"`
	// Member is the customer that the service belongs to.
	Member string `json:"member"`
	// Address is where callers reach the service. It is immutable.
	Address netip.AddrPort `json:"address"`
	// Share is the member's part of the capacity that the entries provide, in proportion to all shares.
	Share uint32 `json:"share"`
	// Slots is how many requests a backend server handles concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of concurrent flows at the agent of a backend server.
	Connections int `json:"connections"`
	// Queue is how many requests may wait for a slot at each agent.
	Queue int `json:"queue"`
	// Deadline is the timeout of requests without HeaderTimeout. Streams without that header have no timeout.
	Deadline Duration `json:"deadline"`
	// Tickets reports whether requests that are not idempotent must carry a ticket.
	Tickets bool `json:"tickets"`
	// Idempotent lists the methods of requests that may run more than once.
	Idempotent []string `json:"idempotent"`
	// Streams lists the path prefixes of long responses, which take no slot.
	Streams []string `json:"streams"`
	// Drain is how long a stopping agent waits for requests in progress.
	Drain Duration `json:"drain"`
}

// WithDefaults returns c with defaults for unset fields.
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

// IsIdempotent reports whether requests with this method may run more than once.
func (c *Contract) IsIdempotent(method string) bool { return slices.Contains(c.Idempotent, method) }

// IsStream reports whether requests for path are streams, which take no slot.
func (c *Contract) IsStream(path string) bool {
	for _, prefix := range c.Streams {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Record is a stored contract with the data that the system assigns to it.
type Record struct {
	Contract Contract `json:"contract"`
	// Number is the number of the service. It is never reused.
	Number uint32 `json:"number"`
	// Serial is the serial of the last change. It increases across the changes of all contracts.
	Serial uint64 `json:"serial"`
	// Retired reports whether the service has ended. The record is kept, so that an older record can't revive the service.
	Retired bool `json:"retired"`
}
