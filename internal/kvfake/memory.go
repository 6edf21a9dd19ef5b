package kvfake

import (
	"context"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Errors that the methods of Memory return.
var (
	ErrDown      = errors.New("kvfake: store is down")
	ErrReplyLost = errors.New("kvfake: response was lost")
)

// Memory is an in-memory store for tests that don't need the HTTP client. It is safe for concurrent use.
type Memory struct {
	mu            sync.Mutex
	values        map[string][]byte
	repliesToDrop int
	down          bool
	calls         int
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{values: make(map[string][]byte)} }

// SetDown makes all calls return ErrDown, or succeed again.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// DropReplies makes the next n calls of Create take effect but return ErrReplyLost.
func (m *Memory) DropReplies(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repliesToDrop = n
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

// Get returns the value of key; ok is false if there is no such key.
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

// Create stores value under key if the key doesn't exist, and reports whether it stored the value.
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
	if m.repliesToDrop > 0 {
		m.repliesToDrop--
		return false, ErrReplyLost
	}
	return !exists, nil
}

// Put stores value under key and replaces any previous value.
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

// Entries returns no addresses. The tests configure their entries directly.
func (*Memory) Entries(context.Context) ([]netip.AddrPort, error) { return nil, nil }
