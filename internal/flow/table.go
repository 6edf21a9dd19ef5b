package flow

import "time"

// Table maps flows to values and forgets those that were idle for long. Its owner serializes access.
type Table[V any] struct {
	rows map[Key]*row[V]
	idle time.Duration
	most int
	// cursor holds the keys of the sweep that is under way.
	cursor []Key
}

type row[V any] struct {
	value V
	used  time.Time
}

// NewTable returns a table that holds at most most flows and forgets a flow that wasn't used for idle.
func NewTable[V any](idle time.Duration, most int) *Table[V] {
	return &Table[V]{rows: make(map[Key]*row[V]), idle: idle, most: most}
}

// SetIdle changes the time after which an unused flow is forgotten.
func (t *Table[V]) SetIdle(idle time.Duration) { t.idle = idle }

// Len returns the number of flows.
func (t *Table[V]) Len() int { return len(t.rows) }

// Get returns the value of a flow and notes its use; it returns nil when the table lacks the flow.
func (t *Table[V]) Get(k Key, now time.Time) *V {
	r := t.rows[k]
	if r == nil {
		return nil
	}
	r.used = now
	return &r.value
}

// Peek returns the value of a flow without noting a use.
func (t *Table[V]) Peek(k Key) *V {
	if r := t.rows[k]; r != nil {
		return &r.value
	}
	return nil
}

// Put sets the value of a flow. A full table forgets an arbitrary flow first.
func (t *Table[V]) Put(k Key, v V, now time.Time) *V {
	if r := t.rows[k]; r != nil {
		r.value, r.used = v, now
		return &r.value
	}
	if len(t.rows) >= t.most {
		for other := range t.rows {
			delete(t.rows, other)
			break
		}
	}
	r := &row[V]{value: v, used: now}
	t.rows[k] = r
	return &r.value
}

// Delete forgets a flow.
func (t *Table[V]) Delete(k Key) { delete(t.rows, k) }

// Each calls f for every flow.
func (t *Table[V]) Each(f func(Key, *V)) {
	for k, r := range t.rows {
		f(k, &r.value)
	}
}

// Sweep checks at most limit flows and forgets the idle ones, which it gives to f.
func (t *Table[V]) Sweep(now time.Time, limit int, f func(Key, *V)) {
	if len(t.cursor) == 0 {
		for k := range t.rows {
			t.cursor = append(t.cursor, k)
		}
	}
	n := min(limit, len(t.cursor))
	for _, k := range t.cursor[:n] {
		r := t.rows[k]
		if r == nil || now.Sub(r.used) <= t.idle {
			continue
		}
		f(k, &r.value)
		delete(t.rows, k)
	}
	t.cursor = t.cursor[n:]
}
