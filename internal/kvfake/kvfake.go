// Package kvfake is a fake of the platform's key-value service, for tests and for the dev command.
//
// It supports reads, conditional writes (cas), prefix reads and blocking queries. It can inject faults: outages, delays,
// responses lost after the write took effect, and blocking queries that miss changes.
package kvfake

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValueSize = 1 << 20
	maxWait      = 5 * time.Minute
)

// Faults are the faults injected into a Store. The zero value injects none.
type Faults struct {
	// Hang leaves requests without a response until the caller gives up.
	Hang bool
	// Fail answers each request with status 500.
	Fail bool
	// Delay is added to the processing time of each request.
	Delay time.Duration
	// DropReplies is how many of the next writes take effect without a response.
	DropReplies int
	// SilenceWatches makes blocking queries wait until their timeout, even if a key changes.
	SilenceWatches bool
}

type value struct {
	data  []byte
	index uint64
}

// Store is the fake service. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	values map[string]value
	index  uint64
	// changed is closed and replaced on each write.
	changed chan struct{}
	faults  Faults
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{values: make(map[string]value), changed: make(chan struct{}), index: 1}
}

// Inject replaces the injected faults.
func (s *Store) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of requests so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP serves the API of the key-value service, with the injected faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := s.recordCall()
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if faults.Fail {
		http.Error(w, "service unavailable", http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(faults.Delay):
	case <-r.Context().Done():
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	if !ok || key == "" {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, key)
	case http.MethodPut:
		s.put(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// recordCall counts a request and returns the faults to inject into it.
func (s *Store) recordCall() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.faults
}

// pair is a key and its value in a response.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	CreateIndex uint64
	LockIndex   uint64
	Flags       uint64
}

// get serves reads of a key or a prefix. With the parameter index it is a blocking query, which waits for a newer index.
func (s *Store) get(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	deadline := time.After(wait)
	for {
		pairs, index, changed := s.read(key, query.Has("recurse"))
		if after == 0 || index > after {
			writePairs(w, pairs, index)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writePairs(w, pairs, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the pairs under key, the index of their last change and a channel that is closed on the next change. The
// channel is nil if watches are silenced.
func (s *Store) read(key string, recurse bool) ([]pair, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pairs []pair
	index := uint64(1)
	for k, v := range s.values {
		if k == key || (recurse && strings.HasPrefix(k, key)) {
			pairs = append(pairs, pair{Key: k, Value: v.data, ModifyIndex: v.index, CreateIndex: v.index})
			index = max(index, v.index)
		}
	}
	sort.Slice(pairs, func(i, k int) bool { return pairs[i].Key < pairs[k].Key })
	if s.faults.SilenceWatches {
		return pairs, index, nil
	}
	return pairs, index, s.changed
}

func writePairs(w http.ResponseWriter, pairs []pair, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(pairs)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueSize+1))
	if err != nil || len(data) > maxValueSize {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	written, dropReply := s.storeValue(key, data, r.URL.Query().Get("cas"))
	if dropReply {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	_, _ = io.WriteString(w, strconv.FormatBool(written))
}

// storeValue stores data under key if cas is empty or equals the key's modify index, which is 0 for a missing key. It reports
// whether it did, and whether the response must be dropped.
func (s *Store) storeValue(key string, data []byte, cas string) (written, dropReply bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cas != "" {
		expected, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || s.values[key].index != expected {
			return false, false
		}
	}
	s.index++
	s.values[key] = value{data: data, index: s.index}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.DropReplies > 0 {
		s.faults.DropReplies--
		return true, true
	}
	return true, false
}
