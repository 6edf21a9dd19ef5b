// Package journ implements the journal of configuration changes: an append-only log of changes to contracts and packet
// keys.
//
// Each change is one entry under its own key in the platform's store. An entry is appended by creating the key of the next
// position, which fails if the key exists. Entries are applied in the order of their positions, so that a State at a given
// position is the same in every process. A process may lag behind the journal, but its state never returns to an earlier
// position.
package journ

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Op is the operation of a change.
type Op string

// The operations of the journal.
const (
	Create Op = "create"
	Update Op = "update"
	Retire Op = "retire"
	// AddKey makes a packet key valid, UseKey makes it the key for new flows, DropKey removes it.
	AddKey  Op = "addkey"
	UseKey  Op = "usekey"
	DropKey Op = "dropkey"
)

// Change is a requested change of a contract or a packet key.
type Change struct {
	// ID identifies the change and is chosen by the client. It is an idempotency key: a change that is repeated with the
	// same ID is applied once.
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Who, Why and When are recorded for the history of changes.
	Who  string    `json:"who"`
	Why  string    `json:"why"`
	When time.Time `json:"when"`
	// Match is the serial of the contract version that the change is based on; 0 for a new contract or a key.
	Match uint64 `json:"match,omitempty"`
	// Name is the name of the contract; empty for a key.
	Name string `json:"name,omitempty"`
	// Contract is set for Create and Update only.
	Contract *contr.Contract `json:"contract,omitempty"`
	// Key is set for changes of packet keys. UseKey and DropKey need only its number.
	Key *fleet.SealedKey `json:"key,omitempty"`
}

// isKey reports whether the operation changes a packet key.
func (o Op) isKey() bool { return o == AddKey || o == UseKey || o == DropKey }

// Entry is a change at its position in the journal.
type Entry struct {
	// Position counts from 1. It is also the new serial of the contract that the entry changes.
	Position uint64 `json:"position"`
	// Previous is the position of the preceding entry of the same contract, or 0 if there is none.
	Previous uint64 `json:"previous,omitempty"`
	Change   Change `json:"change"`
}

// EntryKey returns the store key of the entry at position.
func EntryKey(position uint64) string { return fmt.Sprintf("journal/%012d", position) }

// ErrStale is returned for a change that is based on an outdated version of the contract.
type ErrStale struct {
	Name string
	// Current is the contract's current serial.
	Current uint64
}

// Error implements error.
func (e ErrStale) Error() string {
	return fmt.Sprintf("contract %q has changed since: its serial is %d", e.Name, e.Current)
}

// IsErrStale returns the ErrStale in err's chain, and reports whether there is one.
func IsErrStale(err error) (ErrStale, bool) {
	var e ErrStale
	ok := errors.As(err, &e)
	return e, ok
}

// ErrNotExist is returned for a contract that doesn't exist or, if the contract is to be changed, is retired.
type ErrNotExist struct{ Name string }

// Error implements error.
func (e ErrNotExist) Error() string { return fmt.Sprintf("contract %q doesn't exist", e.Name) }

// IsErrNotExist reports whether err's chain contains an ErrNotExist.
func IsErrNotExist(err error) bool {
	var e ErrNotExist
	return errors.As(err, &e)
}

// ErrConflict is returned for a change that conflicts with the current state.
type ErrConflict struct{ Reason string }

// Error implements error.
func (e ErrConflict) Error() string { return e.Reason }

// IsErrConflict reports whether err's chain contains an ErrConflict.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}
