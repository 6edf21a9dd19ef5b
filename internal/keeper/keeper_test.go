package keeper

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// memoryStore is a Store that can return to an older copy and execute transactions late. Each Keeper uses it by a client.
type memoryStore struct {
	era, revision, lastLease uint64
	items                    map[string]memoryItem
	leases                   map[uint64]bool
	late                     []func()
}

type memoryItem struct {
	value           string
	lease, revision uint64
}

func (s *memoryStore) copy() memoryStore {
	c := *s
	c.items, c.leases, c.late = maps.Clone(s.items), maps.Clone(s.leases), nil
	return c
}

func (s *memoryStore) restore(c memoryStore) {
	era, late := s.era, s.late
	*s = c.copy()
	s.era, s.late = era+1, late
}

func (s *memoryStore) endLease(id uint64) {
	delete(s.leases, id)
	maps.DeleteFunc(s.items, func(_ string, it memoryItem) bool { return it.lease == id })
}

// executeLate executes the transactions that got no response.
func (s *memoryStore) executeLate() {
	for _, execute := range s.late {
		execute()
	}
	s.late = nil
}

func (s *memoryStore) apply(conditions []Condition, writes []Write, deletes []string) error {
	for _, c := range conditions {
		if s.items[c.Key].revision != c.Revision {
			return ErrConflict
		}
	}
	for _, w := range writes {
		if !s.leases[w.LeaseID] {
			return ErrLeaseNotFound
		}
	}
	for _, w := range writes {
		s.revision++
		s.items[w.Key] = memoryItem{string(w.Value), w.LeaseID, s.revision}
	}
	for _, key := range deletes {
		s.revision++
		delete(s.items, key)
	}
	return nil
}

// client is the view that one process has of a memoryStore.
type client struct {
	store *memoryStore
	era   uint64
	// delay makes the next transaction be executed late, without a response.
	delay bool
}

var errNoResponse = fmt.Errorf("no response")

func (c *client) Era() uint64 { return c.era }

func (c *client) GrantLease(context.Context, time.Duration) (Lease, time.Duration, error) {
	c.era = c.store.era
	c.store.lastLease++
	c.store.leases[c.store.lastLease] = true
	return Lease{ID: c.store.lastLease, Era: c.era}, time.Minute, nil
}

func (c *client) RenewLease(_ context.Context, l Lease) error {
	if l.Era != c.era {
		return ErrLeaseNotFound
	}
	c.era = c.store.era
	if l.Era != c.era || !c.store.leases[l.ID] {
		return ErrLeaseNotFound
	}
	return nil
}

func (c *client) RevokeLease(_ context.Context, l Lease) error {
	c.store.endLease(l.ID)
	return nil
}

func (c *client) Apply(_ context.Context, conditions []Condition, writes []Write, deletes []string) (Position, error) {
	if c.delay {
		c.delay = false
		c.store.late = append(c.store.late, func() { _ = c.store.apply(conditions, writes, deletes) })
		return Position{}, errNoResponse
	}
	c.era = c.store.era
	if err := c.store.apply(conditions, writes, deletes); err != nil {
		return Position{}, err
	}
	return Position{Era: c.era, Revision: c.store.revision}, nil
}

func constant(value string) Encoder {
	return func(uint64) ([]byte, error) { return []byte(value), nil }
}

// Whatever the store loses, a process that has noticed it and writes once has all its keys in the store with their last values, under its
// lease, and has harmed no key of another process. Guards against keys, leases and revisions that outlive the history that they belong to.
func TestKeysSurviveLossesOfStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := &memoryStore{era: 1, items: make(map[string]memoryItem), leases: make(map[uint64]bool)}
		copies := []memoryStore{s.copy()}
		clients := []*client{{store: s}, {store: s}}
		keepers := []*Keeper{New(clients[0], time.Minute), New(clients[1], time.Minute)}
		want := []map[string]string{{}, {}}
		write := func(i int, key, value string) error {
			name := fmt.Sprintf("%d/%s", i, key)
			want[i][name] = value
			return keepers[i].Write(ctx, name, constant(value))
		}
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "process")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				_ = write(i, rapid.SampledFrom([]string{"record", "list"}).Draw(t, "key"), fmt.Sprint(n))
			case 2:
				clients[i].delay = true
				_ = write(i, "list", fmt.Sprint(n))
			case 3:
				copies = append(copies, s.copy())
			case 4:
				s.restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
			case 5:
				s.endLease(keepers[i].heldLease().ID)
			case 6:
				_ = keepers[i].Renew(ctx)
			case 7:
				s.executeLate()
			}
		}
		for i := range keepers {
			clients[i].delay = false
			keepers[i].MarkLost()
			if err := write(i, "record", "last"); err != nil {
				t.Fatalf("process %d: %v", i, err)
			}
		}
		checkKeys(t, s, keepers, want, 0, 1)
		if err := keepers[0].Close(ctx); err != nil {
			t.Fatal(err)
		}
		checkKeys(t, s, keepers, want, 1)
		for name := range want[0] {
			if _, ok := s.items[name]; ok {
				t.Fatalf("key %s is left", name)
			}
		}
	})
}

// checkKeys checks that the store has the last values of processes, each under its process's lease.
func checkKeys(t *rapid.T, s *memoryStore, keepers []*Keeper, want []map[string]string, processes ...int) {
	for _, i := range processes {
		for name, value := range want[i] {
			if it := s.items[name]; it.value != value || it.lease != keepers[i].heldLease().ID {
				t.Fatalf("key %s is %+v, want %s under lease %d", name, it, value, keepers[i].heldLease().ID)
			}
		}
	}
	if len(processes) > 1 && keepers[0].heldLease().ID == keepers[1].heldLease().ID {
		t.Fatalf("both processes have lease %d", keepers[0].heldLease().ID)
	}
}

// A write that the store executes late never replaces the value of a later write, also with the store's return from an older copy in
// between, where the key may get the same revision again.
func TestLateWriteIsOvertaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := &memoryStore{era: 1, items: make(map[string]memoryItem), leases: make(map[uint64]bool)}
		c, other := &client{store: s}, &client{store: s}
		k, others := New(c, time.Minute), New(other, time.Minute)
		copied := s.copy()
		write := func(name, value string) {
			if err := k.Write(ctx, name, constant(value)); err != nil {
				t.Fatal(err)
			}
		}
		write("record", "r")
		k.RecordChange("list", Position{Era: s.era})
		for n := range rapid.IntRange(1, 10).Draw(t, "writes") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				c.delay = true
				_ = k.Write(ctx, "list", constant(fmt.Sprint(n)))
				c.delay = false
			case 2:
				s.restore(copied)
				for range rapid.IntRange(0, 4).Draw(t, "other writes") {
					if err := others.Write(ctx, "other", constant("o")); err != nil {
						t.Fatal(err)
					}
				}
			}
			write("list", fmt.Sprint(n, " again"))
		}
		want := s.items["list"]
		s.executeLate()
		if got := s.items["list"]; got != want || got.value == "" {
			t.Fatalf("list is %+v, want %+v", got, want)
		}
	})
}
