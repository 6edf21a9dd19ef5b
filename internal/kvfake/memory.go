package kvfake

import (
	"context"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Errors that a Memory returns.
var (
	ErrDown      = errors.New("kvfake: the store is down")
	ErrReplyLost = errors.New("kvfake: the answer was lost")
)

// Memory is a store in memory that is called directly, for tests of what lies above the HTTP adapter.
// It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	values map[string][]byte
	lose   int
	down   bool
	calls  int
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{values: make(map[string][]byte)} }

// SetDown makes every call fail, or work again.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// DropReplies makes the next n writes take effect without an answer.
func (m *Memory) DropReplies(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// Calls returns the number of calls so far.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Len returns the number of keys.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.values)
}

// Delete removes a key.
func (m *Memory) Delete(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.values, key)
}

// Get returns the value of key; ok is false when there is none.
func (m *Memory) Get(_ context.Context, key string) (value []byte, ok bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return nil, false, ErrDown
	}
	value, ok = m.values[key]
	return value, ok, nil
}

// Create stores value under key unless the key exists, and reports whether it did.
func (m *Memory) Create(_ context.Context, key string, value []byte) (created bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return false, ErrDown
	}
	_, exists := m.values[key]
	if !exists {
		m.values[key] = value
	}
	if m.lose > 0 {
		m.lose--
		return false, ErrReplyLost
	}
	return !exists, nil
}

// Put stores value under key, whatever stood there.
func (m *Memory) Put(_ context.Context, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return ErrDown
	}
	m.values[key] = value
	return nil
}

// Entries returns no entries: the tests name theirs.
func (*Memory) Entries(context.Context) ([]netip.AddrPort, error) { return nil, nil }
