package flow

import "time"

// Table maps flow keys to values and expires idle flows. It is not safe for concurrent use.
type Table[V any] struct {
	entries     map[Key]*entry[V]
	idleTimeout time.Duration
	capacity    int
	// pending holds the keys that the current sweep has yet to check.
	pending []Key
}

type entry[V any] struct {
	value    V
	lastUsed time.Time
}

// NewTable returns a table of at most capacity flows. Sweep removes flows that were unused for longer than idleTimeout.
func NewTable[V any](idleTimeout time.Duration, capacity int) *Table[V] {
	return &Table[V]{entries: make(map[Key]*entry[V]), idleTimeout: idleTimeout, capacity: capacity}
}

// SetIdleTimeout changes the time after which Sweep removes an unused flow.
func (t *Table[V]) SetIdleTimeout(idleTimeout time.Duration) { t.idleTimeout = idleTimeout }

// Len returns the number of flows.
func (t *Table[V]) Len() int { return len(t.entries) }

// Get returns the value of a flow and updates its time of last use. It returns nil if the flow is not in the table.
func (t *Table[V]) Get(k Key, now time.Time) *V {
	e := t.entries[k]
	if e == nil {
		return nil
	}
	e.lastUsed = now
	return &e.value
}

// Peek is like Get but doesn't update the time of last use.
func (t *Table[V]) Peek(k Key) *V {
	if e := t.entries[k]; e != nil {
		return &e.value
	}
	return nil
}

// Put sets the value of a flow and returns a pointer to it. A full table evicts an arbitrary flow first.
func (t *Table[V]) Put(k Key, v V, now time.Time) *V {
	if e := t.entries[k]; e != nil {
		e.value, e.lastUsed = v, now
		return &e.value
	}
	if len(t.entries) >= t.capacity {
		for other := range t.entries {
			delete(t.entries, other)
			break
		}
	}
	e := &entry[V]{value: v, lastUsed: now}
	t.entries[k] = e
	return &e.value
}

// Delete removes a flow.
func (t *Table[V]) Delete(k Key) { delete(t.entries, k) }

// Each calls fn for every flow.
func (t *Table[V]) Each(fn func(Key, *V)) {
	for k, e := range t.entries {
		fn(k, &e.value)
	}
}

// Sweep checks at most limit flows and removes the idle ones, after calling expired for each. Repeated calls go through the
// whole table.
func (t *Table[V]) Sweep(now time.Time, limit int, expired func(Key, *V)) {
	if len(t.pending) == 0 {
		for k := range t.entries {
			t.pending = append(t.pending, k)
		}
	}
	n := min(limit, len(t.pending))
	for _, k := range t.pending[:n] {
		e := t.entries[k]
		if e == nil || now.Sub(e.lastUsed) <= t.idleTimeout {
			continue
		}
		expired(k, &e.value)
		delete(t.entries, k)
	}
	t.pending = t.pending[n:]
}
