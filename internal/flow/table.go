package flow

import "time"

// Table maps flow keys to values and expires idle flows. It is not safe for concurrent use.
type Table[V any] struct {
	items       map[Key]*item[V]
	idleTimeout time.Duration
	capacity    int
	evicted     func(Key, *V)
	// pending holds the keys that the current sweep has yet to check.
	pending []Key
}

type item[V any] struct {
	value    V
	lastUsed time.Time
}

// NewTable returns a table of at most capacity flows. Sweep removes flows that were unused for longer than idleTimeout.
func NewTable[V any](idleTimeout time.Duration, capacity int) *Table[V] {
	return &Table[V]{items: make(map[Key]*item[V]), idleTimeout: idleTimeout, capacity: capacity}
}

// SetIdleTimeout changes the time after which Sweep removes an unused flow.
func (t *Table[V]) SetIdleTimeout(idleTimeout time.Duration) { t.idleTimeout = idleTimeout }

// IdleTimeout returns the time after which Sweep removes an unused flow.
func (t *Table[V]) IdleTimeout() time.Duration { return t.idleTimeout }

// OnEvict sets a function that Put calls for a flow before it is evicted from a full table. The function must not add flows.
func (t *Table[V]) OnEvict(evicted func(Key, *V)) { t.evicted = evicted }

// ExtendIdleTime gives all flows that much more time until they count as idle.
func (t *Table[V]) ExtendIdleTime(d time.Duration) {
	for _, it := range t.items {
		it.lastUsed = it.lastUsed.Add(d)
	}
}

// Len returns the number of flows.
func (t *Table[V]) Len() int { return len(t.items) }

// Get returns the value of a flow and updates its time of last use. It returns nil if the flow is not in the table.
func (t *Table[V]) Get(k Key, now time.Time) *V {
	it := t.items[k]
	if it == nil {
		return nil
	}
	it.lastUsed = now
	return &it.value
}

// Peek is like Get but doesn't update the time of last use.
func (t *Table[V]) Peek(k Key) *V {
	if it := t.items[k]; it != nil {
		return &it.value
	}
	return nil
}

// UsedSince reports whether a flow is in the table and was used after since.
func (t *Table[V]) UsedSince(k Key, since time.Time) bool {
	it := t.items[k]
	return it != nil && it.lastUsed.After(since)
}

// Put sets the value of a flow and returns a pointer to it. A full table evicts an arbitrary flow first.
func (t *Table[V]) Put(k Key, v V, now time.Time) *V {
	if it := t.items[k]; it != nil {
		it.value, it.lastUsed = v, now
		return &it.value
	}
	if len(t.items) >= t.capacity {
		t.evictOne()
	}
	it := &item[V]{value: v, lastUsed: now}
	t.items[k] = it
	return &it.value
}

// evictOne removes an arbitrary flow.
func (t *Table[V]) evictOne() {
	for k, it := range t.items {
		if t.evicted != nil {
			t.evicted(k, &it.value)
		}
		delete(t.items, k)
		return
	}
}

// Delete removes a flow.
func (t *Table[V]) Delete(k Key) { delete(t.items, k) }

// Each calls fn for every flow.
func (t *Table[V]) Each(fn func(Key, *V)) {
	for k, it := range t.items {
		fn(k, &it.value)
	}
}

// Sweep checks at most limit flows and removes the idle ones, after calling expired for each. Repeated calls go through the
// whole table.
func (t *Table[V]) Sweep(now time.Time, limit int, expired func(Key, *V)) {
	if len(t.pending) == 0 {
		for k := range t.items {
			t.pending = append(t.pending, k)
		}
	}
	n := min(limit, len(t.pending))
	for _, k := range t.pending[:n] {
		it := t.items[k]
		if it == nil || now.Sub(it.lastUsed) <= t.idleTimeout {
			continue
		}
		expired(k, &it.value)
		delete(t.items, k)
	}
	t.pending = t.pending[n:]
}
