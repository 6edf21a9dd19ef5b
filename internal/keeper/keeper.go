// Package keeper keeps a process's keys in a store that may lose them: their lease may end, the store may remove them, or it may
// return from an older copy. All keys have one lease. A Keeper remembers what the process has written, and under which lease, and writes
// with the next write whatever isn't known to be under the current one.
//
// Nothing that is kept of the store is used beyond the era that it was read or written in: a store that returns from an older copy
// assigns revisions and lease IDs again, in a higher era.
package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors that a Store returns.
var (
	// ErrConflict is returned if a condition of a transaction did not hold.
	ErrConflict = errors.New("store: condition failed")
	// ErrLeaseNotFound is returned if a lease has ended, never existed, or is of an earlier era.
	ErrLeaseNotFound = errors.New("store: lease not found")
)

// Errors that a Keeper returns besides those of the store.
var (
	errClosed   = errors.New("keeper: the process's keys have been removed")
	errAttempts = errors.New("keeper: the store lost the lease, or others changed the process's keys, in each attempt to write them")
)

// Position is a point in the store's history. A revision alone isn't one: the store may assign it again in a later era.
type Position struct {
	Era, Revision uint64
}

// Lease identifies a lease, whose end removes its keys. In a later era its ID may be that of another lease.
type Lease struct {
	ID, Era uint64
}

// Condition requires that a key was last changed at Revision, or doesn't exist if that is 0.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a key under the lease with an ID, or under none if it is 0.
type Write struct {
	Key     string
	Value   []byte
	LeaseID uint64
}

// Store is the store in which the keys are.
type Store interface {
	// Era returns the store's era as far as this process knows. It rises when the store has returned from an older copy.
	Era() uint64
	// GrantLease requests a lease and returns it with the granted time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (lease Lease, granted time.Duration, err error)
	// RenewLease extends a lease. It returns ErrLeaseNotFound if the lease has ended or is of an earlier era.
	RenewLease(ctx context.Context, lease Lease) error
	// RevokeLease ends a lease, which removes its keys.
	RevokeLease(ctx context.Context, lease Lease) error
	// Apply writes and deletes keys in one transaction if all conditions hold, and returns its position. Besides other errors it
	// returns ErrConflict and ErrLeaseNotFound.
	Apply(ctx context.Context, conditions []Condition, writes []Write, deletes []string) (Position, error)
}

// Encoder returns the value of a key that is written in an era.
type Encoder func(era uint64) ([]byte, error)

// Keeper keeps the keys of one process. It is safe for concurrent use.
type Keeper struct {
	store Store
	ttl   time.Duration
	// writing holds a token while a write is under way, so that writes take effect in their order.
	writing chan struct{}

	mu sync.Mutex
	// lease is the process's lease; the zero Lease if it has none. granted is its time to live.
	lease   Lease
	granted time.Duration
	// keys holds the process's keys; nil after Close.
	keys map[string]key
}

// key is a key of the process: its value, nil if the process hasn't written it, and the lease under which it was written last, the zero
// Lease if the outcome of the write isn't known.
type key struct {
	value Encoder
	lease Lease
	// changedAt is the position of the key's last change, with revision 0 if there is no such key; nil if it isn't known.
	changedAt *Position
	// unanswered holds the revisions on whose conditions the key was written without a response, the latest last. Such a write may
	// still be executed, and its condition holds again if the key gets the same revision in a later era.
	unanswered []uint64
}

// maxUnanswered bounds the unanswered writes of a key that are remembered.
const maxUnanswered = 16

// New returns a Keeper without keys. It requests a lease that ends ttl after its last renewal.
func New(store Store, ttl time.Duration) *Keeper {
	return &Keeper{store: store, ttl: ttl, granted: ttl, writing: make(chan struct{}, 1), keys: make(map[string]key)}
}

// Current reports whether a key is in the store under the process's lease, as far as it knows.
func (k *Keeper) Current(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	written, ok := k.keys[name]
	return ok && written.lease == k.lease && k.isCurrent(k.lease)
}

// isCurrent reports whether a lease is of the store's era, as far as this process knows.
func (k *Keeper) isCurrent(lease Lease) bool { return lease != Lease{} && lease.Era == k.store.Era() }

// Renew extends the lease. It returns ErrLeaseNotFound if there is none or it has ended; the next write requests a new one.
func (k *Keeper) Renew(ctx context.Context) error {
	lease := k.heldLease()
	if lease == (Lease{}) {
		return ErrLeaseNotFound
	}
	err := k.store.RenewLease(ctx, lease)
	if errors.Is(err, ErrLeaseNotFound) {
		k.forgetLease(lease)
	}
	return err
}

func (k *Keeper) heldLease() Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease
}

// Close removes the keys by ending the lease. Later writes fail.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	lease, keys := k.lease, k.keys
	k.lease, k.keys = Lease{}, nil
	k.mu.Unlock()
	if lease == (Lease{}) {
		return nil
	}
	// The renewal shows whether the store still has this lease, or may have given its ID to another process.
	err := k.store.RenewLease(ctx, lease)
	if errors.Is(err, ErrLeaseNotFound) {
		_, err = k.store.Apply(ctx, nil, nil, slices.Collect(maps.Keys(keys)))
		return err
	}
	if err != nil {
		return err
	}
	return k.store.RevokeLease(ctx, lease)
}

// maxAttempts is how often a write is tried while the store says that it doesn't have the lease, or that the key has changed.
const maxAttempts = 3

// Write sets a key, and then the keys that are not under the current lease yet. If the store doesn't have the lease, Write requests a
// new one. A key whose last change is known is written on the condition that it hasn't changed since: the store may execute a write
// late, after its response was lost, and must then not replace a newer value.
func (k *Keeper) Write(ctx context.Context, name string, value Encoder) error {
	select {
	case k.writing <- struct{}{}:
		defer func() { <-k.writing }()
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "write %s", name)
	}
	if err := k.setValue(name, value); err != nil {
		return err
	}
	for {
		if err := k.writeKey(ctx, name); err != nil {
			return err
		}
		missing, found := k.missingKey()
		if !found {
			return nil
		}
		name = missing
	}
}

// writeKey writes a key with its value under the current lease.
func (k *Keeper) writeKey(ctx context.Context, name string) error {
	failures := 0
	for attempts := 0; failures < maxAttempts && attempts < maxAttempts+maxUnanswered; attempts++ {
		lease, err := k.currentLease(ctx)
		if err != nil {
			return err
		}
		conditions, write, err := k.prepare(name, lease)
		if err != nil {
			return err
		}
		at, err := k.store.Apply(ctx, conditions, []Write{write}, nil)
		switch {
		case errors.Is(err, ErrConflict):
			k.forgetChange(name)
			failures++
			continue
		case errors.Is(err, ErrLeaseNotFound) || (err == nil && at.Era != lease.Era):
			k.forgetLease(lease)
			failures++
			continue
		case err != nil:
			k.recordUnanswered(name, conditions)
			return err
		}
		if k.recordWritten(name, lease, at) {
			return nil
		}
	}
	return errAttempts
}

// missingKey returns a key that is not known to be under the current lease; found is false if there is none.
func (k *Keeper) missingKey() (name string, found bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, written := range k.keys {
		if written.value != nil && written.lease != k.lease {
			return name, true
		}
	}
	return "", false
}

// setValue sets the value of a key, which is not in the store yet.
func (k *Keeper) setValue(name string, value Encoder) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys == nil {
		return errClosed
	}
	written := k.keys[name]
	written.value, written.lease = value, Lease{}
	k.keys[name] = written
	return nil
}

// RecordChange records the position of the last change of a key that this process has not written yet; revision 0 if there is no such
// key.
func (k *Keeper) RecordChange(name string, at Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.keys[name]; !ok && k.keys != nil {
		k.keys[name] = key{changedAt: &at}
	}
}

// MarkLost makes the next write include all keys.
func (k *Keeper) MarkLost() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, written := range k.keys {
		written.lease = Lease{}
		k.keys[name] = written
	}
}

// forgetChange makes the next write of a key unconditional.
func (k *Keeper) forgetChange(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if written, ok := k.keys[name]; ok {
		written.changedAt = nil
		k.keys[name] = written
	}
}

// prepare returns the write of a key under a lease, and its condition if the key's last change in the lease's era is known.
func (k *Keeper) prepare(name string, lease Lease) ([]Condition, Write, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	written, ok := k.keys[name]
	if !ok {
		return nil, Write{}, errClosed
	}
	value, err := written.value(lease.Era)
	if err != nil {
		return nil, Write{}, err
	}
	write := Write{Key: name, Value: value, LeaseID: lease.ID}
	if written.changedAt == nil || written.changedAt.Era != lease.Era {
		return nil, write, nil
	}
	return []Condition{{Key: name, Revision: written.changedAt.Revision}}, write, nil
}

// recordUnanswered records that a write of a key under conditions got no response.
func (k *Keeper) recordUnanswered(name string, conditions []Condition) {
	k.mu.Lock()
	defer k.mu.Unlock()
	written, ok := k.keys[name]
	if !ok {
		return
	}
	for _, c := range conditions {
		written.unanswered = append(written.unanswered, c.Revision)
	}
	written.unanswered = written.unanswered[max(0, len(written.unanswered)-maxUnanswered):]
	k.keys[name] = written
}

// recordWritten records that a key was written under a lease. It reports whether that is enough: a key that got a revision on which an
// unanswered write is conditioned must be written once more.
func (k *Keeper) recordWritten(name string, lease Lease, at Position) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	written, ok := k.keys[name]
	if !ok {
		return true
	}
	written.changedAt = &at
	distinct := !slices.Contains(written.unanswered, at.Revision)
	if distinct {
		written.lease = lease
	}
	k.keys[name] = written
	return distinct
}

// currentLease returns the process's lease and requests one from the store if there is none of the store's era.
func (k *Keeper) currentLease(ctx context.Context) (Lease, error) {
	if lease := k.heldLease(); k.isCurrent(lease) {
		return lease, nil
	}
	lease, granted, err := k.store.GrantLease(ctx, k.ttl)
	if err != nil {
		return Lease{}, err
	}
	if granted <= 0 {
		granted = k.ttl
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.granted = lease, granted
	return lease, nil
}

// TTL returns the time to live that the store has granted for the last lease, which may differ from the one that is requested.
func (k *Keeper) TTL() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.granted
}

// forgetLease drops a lease that the store doesn't have, unless another call has already replaced it.
func (k *Keeper) forgetLease(lease Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.lease = Lease{}
	}
}
