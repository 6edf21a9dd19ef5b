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

func TestChangesReachEveryCopyInOrder(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	a, b := newJournal(store), newJournal(store)
	e1, err := a.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	e2, err := b.Commit(ctx, update("u1", "desk", 1, e1.Position, 7))
	is.NoErr(err)
	_, err = a.Commit(ctx, update("u2", "desk", 1, e1.Position, 9))
	stale, ok := IsErrStale(err)
	is.True(ok) // Two operators changed it at the same time.
	is.Equal(stale.Current, e2.Position)
	e3, err := a.Commit(ctx, Change{ID: "r", Op: Retire, Who: "test", Name: "desk", Match: e2.Position})
	is.NoErr(err)
	is.NoErr(b.CatchUp(ctx))
	for _, j := range []*Journal{a, b} {
		j.View(func(s *State) {
			r, ok := s.Record("desk")
			is.True(ok)
			is.True(r.Retired)
			is.Equal(r.Serial, e3.Position)
			is.Equal(r.Contract.Share, uint32(7))
		})
	}
	history, err := b.History(ctx, "desk")
	is.NoErr(err)
	is.Equal(len(history), 3)
	is.Equal(history[0].Position, e1.Position)
	is.Equal(history[2].Position, e3.Position)
}

func TestLostAnswerIsRecognized(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	store.DropReplies(1)
	e, err := j.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	is.Equal(e.Position, uint64(1))
	again, err := j.Commit(ctx, create("desk", 1)) // The operator repeats the change.
	is.NoErr(err)
	is.Equal(again.Position, e.Position)
	other, err := newJournal(store).Commit(ctx, create("desk", 1)) // By another entry.
	is.NoErr(err)
	is.Equal(other.Position, e.Position)
	is.Equal(store.Len(), 1)
}

func TestUnansweredWriteIsUnknown(t *testing.T) {
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
	is.Equal(e.Position, uint64(1)) // It was made, and isn't made twice.
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

func TestRacingOperatorsLoseNothing(t *testing.T) {
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
	is.Equal(len(history), 1+len(accepted)) // Each accepted change stands there once, no other one.
	for i := 1; i < len(history); i++ {
		is.Equal(accepted[history[i].Change.ID], history[i].Position)
		is.Equal(history[i].Change.Match, history[i-1].Position) // Each was made from the one before.
	}
}

func TestStateFollowsFromEntriesAlone(t *testing.T) {
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
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "next") // In any order, some more than once.
			before := b.Position()
			err := b.Apply(entries[i])
			if want := entries[i].Position > before+1; want != errors.Is(err, ErrGap) {
				t.Fatalf("entry %d at position %d: %v", entries[i].Position, before, err)
			}
		}
		c := NewState()
		c.Load(a.Snapshot())
		if !reflect.DeepEqual(a.Snapshot(), b.Snapshot()) || !reflect.DeepEqual(a.Snapshot(), c.Snapshot()) {
			t.Fatalf("states differ after the same entries")
		}
		seen := map[netip.AddrPort]string{}
		for _, r := range a.Records() {
			if r.Retired {
				continue
			}
			if other, ok := seen[r.Contract.Address]; ok {
				t.Fatalf("%s and %s have one address", other, r.Contract.Name)
			}
			seen[r.Contract.Address] = r.Contract.Name
		}
	})
}

func TestSnapshotNeverGoesBack(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	old := newJournal(store)
	e, err := old.Commit(ctx, create("desk", 1))
	is.NoErr(err)
	fresh := newJournal(store)
	_, err = fresh.Commit(ctx, update("u", "desk", 1, e.Position, 5))
	is.NoErr(err)
	is.True(!fresh.Load(old.Snapshot()))
	is.Equal(fresh.Position(), uint64(2))
	is.True(old.Load(fresh.Snapshot()))
	is.Equal(old.Position(), uint64(2))
}

func TestSnapshotInTheStoreSavesReading(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	j := newJournal(store)
	for i := range snapshotEvery + 10 {
		_, err := j.Commit(ctx, create(fmt.Sprintf("s%d", i), uint16(i+1)))
		is.NoErr(err)
		if i+1 == snapshotEvery {
			is.Equal(len(j.due), 1)
			is.NoErr(j.writeSnapshot(ctx))
		}
	}
	for i := range snapshotEvery { // What the snapshot holds isn't read any more.
		store.Delete(Key(uint64(i + 1)))
	}
	fresh := newJournal(store)
	is.NoErr(fresh.CatchUp(ctx))
	is.True(reflect.DeepEqual(fresh.Snapshot(), j.Snapshot()))
	store.Delete(pageKey(snapshotEvery, 0))
	is.True(newJournal(store).CatchUp(ctx) != nil) // A page is missing.
}

func TestFirstKeyIsOne(t *testing.T) {
	is := is.New(t)
	store := kvfake.NewMemory()
	secret := fleet.Secret{1}
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := newJournal(store).FirstKey(t.Context(), secret, "test"); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	is.Equal(store.Len(), 1)
}

func TestKeysRotateInSteps(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := kvfake.NewMemory()
	secret := fleet.Secret{1}
	j := newJournal(store)
	is.NoErr(j.FirstKey(ctx, secret, "test"))
	sealed, err := secret.Seal(fleet.NewKey(2))
	is.NoErr(err)
	step := func(op Op, number uint8) error {
		k := fleet.SealedKey{Number: number}
		if op == AddKey {
			k = sealed
		}
		_, err := j.Commit(ctx, Change{ID: fmt.Sprint(op, number), Op: op, Who: "test", Key: &k})
		return err
	}
	is.True(IsErrConflict(step(UseKey, 2))) // Not there yet.
	is.NoErr(step(AddKey, 2))
	ring, err := j.Ring(secret)
	is.NoErr(err)
	is.Equal(ring.Current(), uint8(1)) // Valid, not yet for new flows.
	is.True(IsErrConflict(step(DropKey, 1)))
	is.NoErr(step(UseKey, 2))
	is.NoErr(step(DropKey, 1))
	ring, err = j.Ring(secret)
	is.NoErr(err)
	is.Equal(ring.Current(), uint8(2))
	is.Equal(ring.Len(), 1)
	_, err = j.Ring(fleet.Secret{2})
	is.True(err != nil) // Another deployment's secret doesn't open them.
}

func TestEntryHoldsNoOpenKey(t *testing.T) {
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

// BenchmarkSlopeState measures the memory of a state with 13,000 contracts, and the size of an entry.
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
