package journ

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

func testContract(name string, port uint16) *contr.Contract {
	c := contr.Contract{Name: name, Member: "m", Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)}.WithDefaults()
	return &c
}

func create(name string, port uint16) Change {
	return Change{ID: "create " + name, Op: Create, Who: "test", Name: name, Contract: testContract(name, port)}
}

func update(id, name string, port uint16, match uint64, share uint32) Change {
	c := testContract(name, port)
	c.Share = share
	return Change{ID: id, Op: Update, Who: "test", Name: name, Match: match, Contract: c}
}

func newJournal(s Store) *Journal { return New(s, func() {}) }

func TestCopiesApplyChangesInOrder(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	first, second := newJournal(store), newJournal(store)
	e1, err := first.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	e2, err := second.Commit(ctx, update("u1", "desk", 1, e1.Position, 7))
	is.NoErr(err)
	_, err = first.Commit(ctx, update("u2", "desk", 1, e1.Position, 9))
	stale, ok := IsErrStale(err)
	is.True(ok) // Another change was made from the same serial.
	is.Equal(stale.Current, e2.Position)
	e3, err := first.Commit(ctx, Change{ID: "r", Op: Retire, Who: "test", Name: "desk", Match: e2.Position})
	is.NoErr(err)
	is.NoErr(second.CatchUp(ctx))
	for _, j := range []*Journal{first, second} {
		j.View(func(s *State) {
			r, ok := s.Record("desk")
			is.True(ok)
			is.True(r.Retired)
			is.Equal(r.Serial, e3.Position)
			is.Equal(r.Contract.Share, uint32(7))
		})
	}
	history, err := second.History(ctx, "desk")
	is.NoErr(err)
	is.Equal(len(history), 3)
	is.Equal(history[0].Position, e1.Position)
	is.Equal(history[2].Position, e3.Position)
}

// A store response is lost after the write took effect. The change must succeed once, also when the operator repeats it.
func TestCommitSucceedsAfterLostResponse(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	store.DropReplies(1)
	e, err := j.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	is.Equal(e.Position, uint64(1))
	again, err := j.Commit(ctx, create("desk", 1)) // Repeated with the same ID.
	is.NoErr(err)
	is.Equal(again.Position, e.Position)
	other, err := newJournal(store).Commit(ctx, create("desk", 1)) // Repeated through another process.
	is.NoErr(err)
	is.Equal(other.Position, e.Position)
	is.Equal(store.Len(), 1)
}

// The store responds to no write before the deadline, although the write took effect.
func TestUnansweredWriteHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	store.DropReplies(1 << 30)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := newJournal(store).Commit(ctx, create("desk", 1))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	store.DropReplies(0)
	e, err := newJournal(store).Commit(t.Context(), create("desk", 1))
	is.NoErr(err)
	is.Equal(e.Position, uint64(1)) // The first attempt took effect; the repeat adds no entry.
}

// Guards against accepted changes that a process doesn't know after its start: the store has returned from an older copy without the
// latest entries, and later ones lie beyond the gap.
func TestLostEntriesAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	for i := range 3 {
		_, err := j.Commit(ctx, create(fmt.Sprint("s", i), uint16(i+1)))
		is.NoErr(err)
	}
	loseLast := func() {
		store.Delete(EntryKey(2))
		store.Delete(EntryKey(3))
	}
	loseLast()
	_, err := j.Commit(ctx, create("desk", 9))
	is.NoErr(err)
	started := newJournal(store)
	is.NoErr(started.CatchUp(ctx))
	is.Equal(started.Position(), uint64(4))

	store.SetDown(true)
	is.True(j.CatchUp(ctx) != nil)
	store.SetDown(false)
	store.Delete(EntryKey(4))
	loseLast()
	is.NoErr(j.CatchUp(ctx)) // Without any commit, once the store is back.
	started = newJournal(store)
	is.NoErr(started.CatchUp(ctx))
	is.Equal(started.Position(), uint64(4))
}

// Guards against changes that are accepted in two histories at once: a process that knows the lost entries doesn't append to a
// store where another one has assigned their positions again.
func TestOtherHistoryIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	for i := range 2 {
		_, err := j.Commit(ctx, create(fmt.Sprint("s", i), uint16(i+1)))
		is.NoErr(err)
	}
	store.Delete(EntryKey(2))
	_, err := newJournal(store).Commit(ctx, create("other", 9))
	is.NoErr(err)
	_, err = j.Commit(ctx, create("desk", 8))
	is.True(errors.Is(err, ErrOtherHistory))
	is.Equal(store.Len(), 2)
}

func TestStoreDownRefusesChangesAndKeepsState(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	_, err := j.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	store.SetDown(true)
	_, err = j.Commit(ctx, create("board", 2))
	is.True(errors.Is(err, kvfake.ErrDown))
	j.View(func(s *State) { is.Equal(len(s.Records()), 1) })
}

// Concurrent updates of one contract must not overwrite each other: each accepted update is based on the preceding one.
func TestConcurrentUpdatesAreNotLost(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	_, err := newJournal(store).Commit(ctx, create("desk", 1))
	is.NoErr(err)
	const operators, changes = 6, 10
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	for op := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := newJournal(store)
			for n := range changes {
				id := fmt.Sprintf("%d/%d", op, n)
				_ = j.CatchUp(ctx)
				var serial uint64
				j.View(func(s *State) { r, _ := s.Record("desk"); serial = r.Serial })
				e, err := j.Commit(ctx, update(id, "desk", 1, serial, uint32(1+n)))
				if err == nil {
					mu.Lock()
					accepted[id] = e.Position
					mu.Unlock()
				} else if _, ok := IsErrStale(err); !ok {
					t.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	j := newJournal(store)
	is.NoErr(j.CatchUp(ctx))
	history, err := j.History(ctx, "desk")
	is.NoErr(err)
	is.Equal(len(history), 1+len(accepted)) // The creation and each accepted update once.
	for i := 1; i < len(history); i++ {
		is.Equal(accepted[history[i].Change.ID], history[i].Position)
		is.Equal(history[i].Change.Match, history[i-1].Position) // Based on the preceding version.
	}
}

// A state must depend only on the entries: entries that arrive repeatedly or out of order, or a snapshot, give the same
// state, and no two active contracts share an address.
func TestStateDependsOnlyOnEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewState()
		var entries []Entry
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "name"))
			op := rapid.SampledFrom([]Op{Create, Update, Retire}).Draw(t, "op")
			change := Change{ID: fmt.Sprint(i), Op: op, Name: name, Contract: testContract(name, rapid.Uint16Range(1, 3).Draw(t, "port"))}
			if r, ok := a.Record(name); ok && rapid.Bool().Draw(t, "current") {
				change.Match = r.Serial
			}
			e, err := a.Prepare(change)
			if err != nil {
				continue
			}
			if err := a.Apply(e); err != nil {
				t.Fatal(err)
			}
			entries = append(entries, e)
		}
		b := NewState()
		for len(entries) > 0 && b.Position() < a.Position() {
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "next") // Out of order and with repeats.
			before := b.Position()
			err := b.Apply(entries[i])
			if want := entries[i].Position > before+1; want != errors.Is(err, ErrGap) {
				t.Fatalf("entry %d at position %d: %v", entries[i].Position, before, err)
			}
		}
		c := NewState()
		c.Load(a.Snapshot())
		if !reflect.DeepEqual(a.Snapshot(), b.Snapshot()) || !reflect.DeepEqual(a.Snapshot(), c.Snapshot()) {
			t.Fatalf("states differ after applying the same entries")
		}
		seen := map[netip.AddrPort]string{}
		for _, r := range a.Records() {
			if r.Retired {
				continue
			}
			if other, ok := seen[r.Contract.Address]; ok {
				t.Fatalf("contracts %q and %q have the same address", other, r.Contract.Name)
			}
			seen[r.Contract.Address] = r.Contract.Name
		}
	})
}

func TestOlderSnapshotIsNotLoaded(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	stale := newJournal(store)
	e, err := stale.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	current := newJournal(store)
	_, err = current.Commit(ctx, update("u", "desk", 1, e.Position, 5))
	is.NoErr(err)
	is.True(!current.Load(stale.Snapshot()))
	is.Equal(current.Position(), uint64(2))
	is.True(stale.Load(current.Snapshot()))
	is.Equal(stale.Position(), uint64(2))
}

func TestCatchUpStartsFromStoredSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	for i := range snapshotInterval + 10 {
		_, err := j.Commit(ctx, create(fmt.Sprintf("s%d", i), uint16(i+1)))
		is.NoErr(err)
		if i+1 == snapshotInterval {
			is.Equal(len(j.snapshotDue), 1)
			is.NoErr(j.writeSnapshot(ctx))
		}
	}
	for i := range snapshotInterval { // Entries covered by the snapshot aren't read.
		store.Delete(EntryKey(uint64(i + 1)))
	}
	restored := newJournal(store)
	is.NoErr(restored.CatchUp(ctx))
	is.True(reflect.DeepEqual(restored.Snapshot(), j.Snapshot()))
	store.Delete(snapshotPageKey(snapshotInterval, 0))
	is.True(newJournal(store).CatchUp(ctx) != nil) // A snapshot page is missing.
}

// Processes that start concurrently on an empty journal must add a single packet key.
func TestConcurrentEnsureKeyAddsOneKey(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	secret := fleet.Secret{1}
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := newJournal(store).EnsureKey(t.Context(), secret, "test"); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	is.Equal(store.Len(), 1)
}

func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	secret := fleet.Secret{1}
	j := newJournal(store)
	is.NoErr(j.EnsureKey(ctx, secret, "test"))
	sealed, err := secret.Seal(fleet.NewKey(2))
	is.NoErr(err)
	changeKey := func(op Op, number uint8) error {
		k := fleet.SealedKey{Number: number}
		if op == AddKey {
			k = sealed
		}
		_, err := j.Commit(ctx, Change{ID: fmt.Sprint(op, number), Op: op, Who: "test", Key: &k})
		return err
	}
	is.True(IsErrConflict(changeKey(UseKey, 2))) // The key doesn't exist yet.
	is.NoErr(changeKey(AddKey, 2))
	keyring, err := j.Keyring(secret)
	is.NoErr(err)
	is.Equal(keyring.Current(), uint8(1)) // Key 2 is valid, but isn't used for new flows yet.
	is.True(IsErrConflict(changeKey(DropKey, 1)))
	is.NoErr(changeKey(UseKey, 2))
	is.NoErr(changeKey(DropKey, 1))
	keyring, err = j.Keyring(secret)
	is.NoErr(err)
	is.Equal(keyring.Current(), uint8(2))
	is.Equal(keyring.Len(), 1)
	_, err = j.Keyring(fleet.Secret{2})
	is.True(err != nil) // The secret of another deployment can't decrypt the keys.
}

func TestEntryStoresSealedKey(t *testing.T) {
	is := is.New(t)
	key := fleet.NewKey(1)
	sealed, err := fleet.Secret{1}.Seal(key)
	is.NoErr(err)
	text, err := json.Marshal(Entry{Position: 1, Change: Change{Op: AddKey, Key: &sealed}})
	is.NoErr(err)
	var back Entry
	is.NoErr(json.Unmarshal(text, &back))
	opened, err := fleet.Secret{1}.Open(*back.Change.Key)
	is.NoErr(err)
	is.Equal(opened, key)
}

func BenchmarkSlopeApply(b *testing.B) {
	s := NewState()
	for i := range 13_000 {
		name := fmt.Sprintf("s%d", i)
		c := testContract(name, 1)
		c.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
		if err := s.Apply(Entry{Position: s.Position() + 1, Change: Change{ID: name, Op: Create, Name: name, Contract: c}}); err != nil {
			b.Fatal(err)
		}
	}
	c := testContract("s1", 1)
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Apply(Entry{Position: s.Position() + 1, Change: Change{ID: "u", Op: Update, Name: "s1", Contract: c}})
	}
}

// BenchmarkSlopeState measures the heap use per contract of a state with 13,000 contracts, and the encoded size of an entry.
func BenchmarkSlopeState(b *testing.B) {
	const contracts = 13_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewState()
	size := 0
	for i := range contracts {
		name := fmt.Sprintf("service-%d", i)
		c := testContract(name, 1)
		c.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
		e := Entry{Position: s.Position() + 1, Change: Change{ID: name, Op: Create, Who: "somebody", Why: "a reason", Name: name, Contract: c}}
		text, err := json.Marshal(e)
		if err != nil {
			b.Fatal(err)
		}
		size = len(text)
		if err := s.Apply(e); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		s.Position()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/contracts, "heap-B/contract")
	b.ReportMetric(float64(size), "entry-B")
	runtime.KeepAlive(s)
}
