package journ

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const (
	// maxTailEntries is the number of latest entries that a Journal keeps for peers that are slightly behind.
	maxTailEntries = 256
	// maxCommitAttempts is the number of positions that Commit tries before it returns ErrConflict.
	maxCommitAttempts = 64
)

// ErrOutcomeUnknown is returned for a change that may or may not have been written to the store. It is safe to repeat the
// change with the same ID.
var ErrOutcomeUnknown = errors.New("the store didn't answer: it is unknown whether the change was made; repeat it with the same identifier")

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of key; ok is false if the key doesn't exist.
	Get(ctx context.Context, key string) (value []byte, ok bool, err error)
	// Create stores value under key unless the key exists, and reports whether it did.
	// After an error it is unknown whether the value was stored.
	Create(ctx context.Context, key string, value []byte) (created bool, err error)
	// Put stores value under key and overwrites an existing value.
	Put(ctx context.Context, key string, value []byte) error
}

// Journal is a process's copy of the journal. It is safe for concurrent use.
type Journal struct {
	store Store
	// onChange is called after entries or a snapshot were applied. The state lock isn't held during the call.
	onChange func()

	// snapshotDue signals RunSnapshots to write a snapshot; skippedSnapshots counts the snapshots that couldn't be written.
	snapshotDue      chan struct{}
	skippedSnapshots atomic.Int64

	// commitMu serializes the commits of this process.
	commitMu sync.Mutex

	// storeFailed is set while the last CatchUp failed.
	storeFailed atomic.Bool

	stateMu sync.Mutex
	state   *State
	// tail holds the latest entries, up to the state's position.
	tail []Entry
}

// New returns an empty copy of the journal in store; onChange is called each time the position advances.
func New(store Store, onChange func()) *Journal {
	return &Journal{store: store, onChange: onChange, state: NewState(), snapshotDue: make(chan struct{}, 1)}
}

// Position returns the position of the last entry applied.
func (j *Journal) Position() uint64 {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	return j.state.Position()
}

// View calls f with the state under the lock. f must neither modify nor retain the state.
func (j *Journal) View(f func(*State)) {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	f(j.state)
}

// EntriesSince returns the entries after position; ok is false if this copy doesn't keep all of them any more.
func (j *Journal) EntriesSince(position uint64) (entries []Entry, ok bool) {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	behind := int(j.state.Position()) - int(position)
	if behind <= 0 {
		return nil, true
	}
	if behind > len(j.tail) {
		return nil, false
	}
	return append(entries, j.tail[len(j.tail)-behind:]...), true
}

// Snapshot returns a copy of the state.
func (j *Journal) Snapshot() Snapshot {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	return j.state.Snapshot()
}

// Load replaces the state by snap if snap is newer, and reports whether it did.
func (j *Journal) Load(snap Snapshot) bool {
	j.stateMu.Lock()
	loaded := j.state.Load(snap)
	if loaded {
		j.tail = nil
	}
	j.stateMu.Unlock()
	if loaded {
		j.onChange()
	}
	return loaded
}

// Apply applies entries in order, such as those from a peer. It returns ErrGap if entries that precede them are missing.
func (j *Journal) Apply(entries ...Entry) error {
	advanced, err := j.applyEntries(entries)
	if advanced {
		j.onChange()
	}
	return err
}

func (j *Journal) applyEntries(entries []Entry) (advanced bool, err error) {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	for _, e := range entries {
		before := j.state.Position()
		if err := j.state.Apply(e); err != nil {
			return advanced, err
		}
		if j.state.Position() > before {
			advanced = true
			j.appendTail(e)
		}
	}
	return advanced, nil
}

// appendTail adds e to the tail, and drops the oldest quarter of a full tail first.
func (j *Journal) appendTail(e Entry) {
	if len(j.tail) == maxTailEntries {
		j.tail = append([]Entry(nil), j.tail[maxTailEntries/4:]...)
	}
	j.tail = append(j.tail, e)
}

// CatchUp applies new entries from the store until there are no more. An empty copy loads the newest snapshot first. If the
// copy is up to date, CatchUp makes one call to the store, and more after one that failed: the store may have returned from an older
// copy, without its latest entries, which are then written again.
func (j *Journal) CatchUp(ctx context.Context) error {
	err := j.catchUp(ctx)
	if err == nil && j.storeFailed.Load() {
		err = j.repairStore(ctx)
	}
	j.storeFailed.Store(err != nil)
	return err
}

func (j *Journal) catchUp(ctx context.Context) error {
	if j.Position() == 0 {
		if err := j.restoreSnapshot(ctx); err != nil {
			return err
		}
	}
	for {
		found, err := j.readNext(ctx)
		if err != nil || !found {
			return err
		}
	}
}

// readNext reads the next entry from the store and applies it.
func (j *Journal) readNext(ctx context.Context) (found bool, err error) {
	e, ok, err := j.readEntry(ctx, j.Position()+1)
	if err != nil || !ok {
		return false, err
	}
	if err := j.Apply(e); err != nil && !errors.Is(err, ErrGap) {
		return false, err
	}
	return true, nil
}

func (j *Journal) readEntry(ctx context.Context, position uint64) (e Entry, ok bool, err error) {
	value, ok, err := j.store.Get(ctx, EntryKey(position))
	if err != nil || !ok {
		return Entry{}, false, err
	}
	if err := json.Unmarshal(value, &e); err != nil {
		return Entry{}, false, errors.Wrapf(err, "journ: decode entry %d", position)
	}
	if e.Position != position {
		return Entry{}, false, errors.Errorf("journ: entry stored at position %d has position %d", position, e.Position)
	}
	return e, true, nil
}

// Commit appends a change to the journal and returns its entry, which has been written to the store.
// If a recent entry of the journal has the change's ID, that entry is returned and nothing is written.
// Besides the errors of State.Prepare it returns ErrOutcomeUnknown, or the store's error if nothing was written.
func (j *Journal) Commit(ctx context.Context, change Change) (Entry, error) {
	j.commitMu.Lock()
	defer j.commitMu.Unlock()
	for range maxCommitAttempts {
		if err := j.CatchUp(ctx); err != nil {
			return Entry{}, err
		}
		if err := j.repairStore(ctx); err != nil {
			return Entry{}, err
		}
		e, done, err := j.tryCommit(ctx, change)
		if done || err != nil {
			return e, err
		}
	}
	return Entry{}, ErrConflict{Reason: "too many changes at once; try again"}
}

// tryCommit tries to write the change at the next position; done is false if another change was written there.
func (j *Journal) tryCommit(ctx context.Context, change Change) (e Entry, done bool, err error) {
	if position, ok := j.findChange(change.ID); ok {
		e, _, err = j.readEntry(ctx, position)
		return e, err == nil, err
	}
	e, err = j.prepareEntry(change)
	if err != nil {
		return Entry{}, false, err
	}
	value, err := json.Marshal(e)
	if err != nil {
		return Entry{}, false, errors.Wrap(err, "journ: encode entry")
	}
	created, err := j.store.Create(ctx, EntryKey(e.Position), value)
	if err != nil {
		return j.resolveUnknownCreate(ctx, e)
	}
	if !created {
		return Entry{}, false, nil
	}
	j.requestSnapshot(e.Position)
	return e, true, j.Apply(e)
}

// resolveUnknownCreate determines the outcome of a write that failed or whose response was lost. It creates the entry's
// key again and then reads it: the key holds either e, from the first or the repeated write, or an entry of another change.
// It returns the entry that it read, and whether that is e. If ctx is done earlier, it returns ErrOutcomeUnknown.
func (j *Journal) resolveUnknownCreate(ctx context.Context, e Entry) (Entry, bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return Entry{}, false, errors.Wrap(err, "journ: encode entry")
	}
	const retryInterval = 50 * time.Millisecond
	for ctx.Err() == nil {
		if _, err := j.store.Create(ctx, EntryKey(e.Position), value); err == nil {
			found, ok, err := j.readEntry(ctx, e.Position)
			if err == nil && ok {
				return found, found.Change.ID == e.Change.ID, j.Apply(found)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return Entry{}, false, ErrOutcomeUnknown
}

func (j *Journal) findChange(changeID string) (uint64, bool) {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	return j.state.FindChange(changeID)
}

func (j *Journal) prepareEntry(change Change) (Entry, error) {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	return j.state.Prepare(change)
}

// History reads the entries of a contract from the store, oldest first.
// It returns ErrNotExist if there is no such contract.
func (j *Journal) History(ctx context.Context, name string) ([]Entry, error) {
	var r contr.Record
	var ok bool
	j.View(func(s *State) { r, ok = s.Record(name) })
	if !ok {
		return nil, ErrNotExist{Name: name}
	}
	var entries []Entry
	for position := r.Serial; position != 0; {
		e, ok, err := j.readEntry(ctx, position)
		if err != nil {
			return nil, err
		}
		if !ok {
			return nil, errors.Errorf("journ: entry %d of contract %q doesn't exist in the store", position, name)
		}
		entries = append(entries, e)
		position = e.Previous
	}
	reverseEntries(entries)
	return entries, nil
}

func reverseEntries(entries []Entry) {
	for i, k := 0, len(entries)-1; i < k; i, k = i+1, k-1 {
		entries[i], entries[k] = entries[k], entries[i]
	}
}

// EnsureKey adds a packet key if the journal holds none. If several processes call it concurrently, one key is written:
// all use the same change ID.
func (j *Journal) EnsureKey(ctx context.Context, secret fleet.Secret, who string) error {
	if err := j.CatchUp(ctx); err != nil {
		return err
	}
	if j.hasKey() {
		return nil
	}
	sealed, err := secret.Seal(fleet.NewKey(1))
	if err != nil {
		return err
	}
	change := Change{ID: "first key", Op: AddKey, Who: who, Why: "the journal held no packet key", When: time.Now(), Key: &sealed}
	_, err = j.Commit(ctx, change)
	return err
}

func (j *Journal) hasKey() bool {
	j.stateMu.Lock()
	defer j.stateMu.Unlock()
	return len(j.state.keys) > 0
}

// Keyring decrypts the current packet keys. It returns nil if there are none yet.
func (j *Journal) Keyring(secret fleet.Secret) (*fleet.Keyring, error) {
	var keys Keys
	j.View(func(s *State) { keys = s.Keys() })
	return keys.Open(secret)
}
