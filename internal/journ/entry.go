// Package journ keeps the journal of configuration changes: contracts and packet keys.
//
// Each change is one entry under its own key in the platform's store, created by compare-and-swap at
// the next position. The order of positions is the order of changes; a State that has applied all
// entries up to a position is the same in every process. A process holds a change, or it doesn't yet:
// it can never go back to an older one.
package journ

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Op is what a change does.
type Op string

// The operations of the journal.
const (
	Create Op = "create"
	Update Op = "update"
	Retire Op = "retire"
	// AddKey makes a packet key valid, UseKey makes it the one for new flows, DropKey ends it.
	AddKey  Op = "addkey"
	UseKey  Op = "usekey"
	DropKey Op = "dropkey"
)

// Change is a change that somebody asks for.
type Change struct {
	// ID is the change identifier, chosen by who asks; a repeat with the same one is applied once.
	ID   string    `json:"id"`
	Op   Op        `json:"op"`
	Who  string    `json:"who"`
	Why  string    `json:"why"`
	When time.Time `json:"when"`
	// Match is the serial of the contract that the change was made from; 0 for a new contract or a key.
	Match    uint64           `json:"match,omitempty"`
	Name     string           `json:"name,omitempty"`
	Contract *contr.Contract  `json:"contract,omitempty"`
	Key      *fleet.SealedKey `json:"key,omitempty"`
}

// isKey reports whether the operation concerns a packet key.
func (o Op) isKey() bool { return o == AddKey || o == UseKey || o == DropKey }

// Entry is a change at its place in the journal.
type Entry struct {
	// Position counts from 1; it is the serial of the contract that the entry changes.
	Position uint64 `json:"position"`
	// Previous is the position of the contract's entry before this one, 0 for none.
	Previous uint64 `json:"previous,omitempty"`
	Change   Change `json:"change"`
}

// EntryKey returns the store's key for the entry at position.
func EntryKey(position uint64) string { return fmt.Sprintf("journal/%012d", position) }

// ErrStale says that a change was made from an old version of the contract.
type ErrStale struct {
	Name    string
	Current uint64
}

// Error names the contract and its current serial.
func (e ErrStale) Error() string {
	return fmt.Sprintf("contract %q has changed since: its serial is %d", e.Name, e.Current)
}

// IsErrStale reports whether err is an ErrStale, and returns it.
func IsErrStale(err error) (ErrStale, bool) {
	var e ErrStale
	ok := errors.As(err, &e)
	return e, ok
}

// ErrNotExist says that there is no such contract.
type ErrNotExist struct{ Name string }

// Error names the contract.
func (e ErrNotExist) Error() string { return fmt.Sprintf("contract %q doesn't exist", e.Name) }

// IsErrNotExist reports whether err is an ErrNotExist.
func IsErrNotExist(err error) bool {
	var e ErrNotExist
	return errors.As(err, &e)
}

// ErrConflict says that a change can't be made next to what is in force.
type ErrConflict struct{ Reason string }

// Error gives the reason.
func (e ErrConflict) Error() string { return e.Reason }

// IsErrConflict reports whether err is an ErrConflict.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}
