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
	// tailSize is how many of the last entries a Journal holds for peers that are a little behind.
	tailSize = 256
	// maxConflicts is how often a change tries the next position before it gives up.
	maxConflicts = 64
)

// ErrOutcomeUnknown says that a change may or may not have been made; a repeat with the same
// identifier is safe.
var ErrOutcomeUnknown = errors.New("the store didn't answer: it is unknown whether the change was made; repeat it with the same identifier")

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of key; ok is false when there is none.
	Get(ctx context.Context, key string) (value []byte, ok bool, err error)
	// Create stores value under key unless the key exists, and reports whether it did.
	// After an error it is unknown whether the value was stored.
	Create(ctx context.Context, key string, value []byte) (created bool, err error)
	// Put stores value under key, whatever stood there.
	Put(ctx context.Context, key string, value []byte) error
}

// Journal is one process's copy of the journal. It is safe for concurrent use.
type Journal struct {
	store Store
	// news is called without locks after entries were applied.
	news func()

	// due asks for a snapshot; skipped counts those that couldn't be written.
	due     chan struct{}
	skipped atomic.Int64

	// writing serializes this process's own changes.
	writing sync.Mutex

	mu    sync.Mutex
	state *State
	tail  []Entry
}

// New returns an empty copy of the journal in store; news is called after each advance.
func New(store Store, news func()) *Journal {
	return &Journal{store: store, news: news, state: NewState(), due: make(chan struct{}, 1)}
}

// Position returns the position of the last entry applied.
func (j *Journal) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Position()
}

// View calls f with the state, which f must neither change nor keep.
func (j *Journal) View(f func(*State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(j.state)
}

// EntriesSince returns the entries after position, when this copy still holds them all.
func (j *Journal) EntriesSince(position uint64) (entries []Entry, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	missing := int(j.state.Position()) - int(position)
	if missing <= 0 {
		return nil, true
	}
	if missing > len(j.tail) {
		return nil, false
	}
	return append(entries, j.tail[len(j.tail)-missing:]...), true
}

// Snapshot returns a copy of the state.
func (j *Journal) Snapshot() Snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Snapshot()
}

// Load takes over a snapshot when it is newer than this copy.
func (j *Journal) Load(snap Snapshot) bool {
	j.mu.Lock()
	loaded := j.state.Load(snap)
	if loaded {
		j.tail = nil
	}
	j.mu.Unlock()
	if loaded {
		j.news()
	}
	return loaded
}

// Apply applies entries from a peer, in order. It returns ErrGap when entries before them are missing.
func (j *Journal) Apply(entries ...Entry) error {
	advanced, err := j.apply(entries)
	if advanced {
		j.news()
	}
	return err
}

func (j *Journal) apply(entries []Entry) (advanced bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		before := j.state.Position()
		if err := j.state.Apply(e); err != nil {
			return advanced, err
		}
		if j.state.Position() > before {
			advanced = true
			j.keep(e)
		}
	}
	return advanced, nil
}

func (j *Journal) keep(e Entry) {
	if len(j.tail) == tailSize {
		j.tail = append([]Entry(nil), j.tail[tailSize/4:]...)
	}
	j.tail = append(j.tail, e)
}

// CatchUp reads entries from the store until there is no next one, an empty copy from the newest snapshot
// on. A copy that is up to date costs one call.
func (j *Journal) CatchUp(ctx context.Context) error {
	if j.Position() == 0 {
		if err := j.restore(ctx); err != nil {
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

func (j *Journal) readNext(ctx context.Context) (found bool, err error) {
	e, ok, err := j.read(ctx, j.Position()+1)
	if err != nil || !ok {
		return false, err
	}
	if err := j.Apply(e); err != nil && !errors.Is(err, ErrGap) {
		return false, err
	}
	return true, nil
}

func (j *Journal) read(ctx context.Context, position uint64) (e Entry, ok bool, err error) {
	value, ok, err := j.store.Get(ctx, EntryKey(position))
	if err != nil || !ok {
		return Entry{}, false, err
	}
	if err := json.Unmarshal(value, &e); err != nil {
		return Entry{}, false, errors.Wrapf(err, "journ: entry %d", position)
	}
	if e.Position != position {
		return Entry{}, false, errors.Errorf("journ: entry %d says it is %d", position, e.Position)
	}
	return e, true, nil
}

// Commit makes a change and returns its entry, which stands in the store by then.
// A change whose identifier stands in the journal already is not made again: its entry is returned.
// Besides the errors of State.Prepare it returns ErrOutcomeUnknown, or the store's error when
// nothing was written.
func (j *Journal) Commit(ctx context.Context, change Change) (Entry, error) {
	j.writing.Lock()
	defer j.writing.Unlock()
	for range maxConflicts {
		if err := j.CatchUp(ctx); err != nil {
			return Entry{}, err
		}
		e, done, err := j.tryCommit(ctx, change)
		if done || err != nil {
			return e, err
		}
	}
	return Entry{}, ErrConflict{Reason: "too many changes at once; try again"}
}

// tryCommit tries to write the change at the next position; done is false when another change took it.
func (j *Journal) tryCommit(ctx context.Context, change Change) (e Entry, done bool, err error) {
	if at, ok := j.find(change.ID); ok {
		e, _, err = j.read(ctx, at)
		return e, err == nil, err
	}
	e, err = j.prepare(change)
	if err != nil {
		return Entry{}, false, err
	}
	value, err := json.Marshal(e)
	if err != nil {
		return Entry{}, false, errors.Wrap(err, "journ: encode entry")
	}
	created, err := j.store.Create(ctx, EntryKey(e.Position), value)
	if err != nil {
		return j.settle(ctx, e)
	}
	if !created {
		return Entry{}, false, nil
	}
	j.wantSnapshot(e.Position)
	return e, true, j.Apply(e)
}

// settle finds out whether a write took effect whose answer was lost, by writing it once more:
// the entry either stands there, is written now, or another one has its place.
func (j *Journal) settle(ctx context.Context, e Entry) (Entry, bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return Entry{}, false, errors.Wrap(err, "journ: encode entry")
	}
	const pause = 50 * time.Millisecond
	for ctx.Err() == nil {
		if _, err := j.store.Create(ctx, EntryKey(e.Position), value); err == nil {
			found, ok, err := j.read(ctx, e.Position)
			if err == nil && ok {
				return found, found.Change.ID == e.Change.ID, j.Apply(found)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return Entry{}, false, ErrOutcomeUnknown
}

func (j *Journal) find(changeID string) (uint64, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.FindChange(changeID)
}

func (j *Journal) prepare(change Change) (Entry, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Prepare(change)
}

// History returns the entries of a contract, the oldest first, read from the store.
// It returns ErrNotExist when there is no such contract.
func (j *Journal) History(ctx context.Context, name string) ([]Entry, error) {
	var r contr.Record
	var ok bool
	j.View(func(s *State) { r, ok = s.Record(name) })
	if !ok {
		return nil, ErrNotExist{Name: name}
	}
	var entries []Entry
	for at := r.Serial; at != 0; {
		e, ok, err := j.read(ctx, at)
		if err != nil {
			return nil, err
		}
		if !ok {
			return nil, errors.Errorf("journ: entry %d of contract %q is missing in the store", at, name)
		}
		entries = append(entries, e)
		at = e.Previous
	}
	reverse(entries)
	return entries, nil
}

func reverse(entries []Entry) {
	for i, k := 0, len(entries)-1; i < k; i, k = i+1, k-1 {
		entries[i], entries[k] = entries[k], entries[i]
	}
}

// EnsureKey makes sure that the journal holds a packet key. Of several processes that call it at once, one writes.
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
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.state.keys) > 0
}

// Keyring opens the packet keys in force. It returns nil when there are none yet.
func (j *Journal) Keyring(secret fleet.Secret) (*fleet.Keyring, error) {
	var keys Keys
	j.View(func(s *State) { keys = s.Keys() })
	return keys.Open(secret)
}
