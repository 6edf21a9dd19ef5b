package journ

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/connid"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// recentChanges is how many change identifiers a State remembers.
const recentChanges = 1024

// State is the result of all entries up to a position.
// It has no locks: its owner serializes access. Apply costs time in proportion to one entry.
type State struct {
	position uint64
	next     uint32
	records  map[string]contr.Record
	names    map[netip.AddrPort]string
	numbers  map[uint32]string
	keys     []fleet.SealedKey
	current  uint8
	// keySerial is the position of the last change of packet keys.
	keySerial uint64
	recent    []RecentChange
}

// RecentChange is where a change identifier stands in the journal.
type RecentChange struct {
	ID       string
	Position uint64
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		next:    1,
		records: make(map[string]contr.Record),
		names:   make(map[netip.AddrPort]string),
		numbers: make(map[uint32]string),
	}
}

// Position returns the position of the last entry applied.
func (s *State) Position() uint64 { return s.position }

// Record returns the record of a service's contract, also of a retired one.
func (s *State) Record(name string) (contr.Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// RecordByNumber returns the record of the service with this number.
func (s *State) RecordByNumber(number uint32) (contr.Record, bool) {
	name, ok := s.numbers[number]
	if !ok {
		return contr.Record{}, false
	}
	return s.Record(name)
}

// Records returns all records in the order of their names.
func (s *State) Records() []contr.Record {
	out := make([]contr.Record, 0, len(s.records))
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		out = append(out, s.records[name])
	}
	return out
}

// ChangedSince returns the records whose serial is above serial, in no particular order.
func (s *State) ChangedSince(serial uint64) []contr.Record {
	var out []contr.Record
	for _, r := range s.records {
		if r.Serial > serial {
			out = append(out, r)
		}
	}
	return out
}

// Keys returns the packet keys.
func (s *State) Keys() Keys { return Keys{Sealed: slices.Clone(s.keys), Current: s.current} }

// KeySerial returns the position of the last change of packet keys.
func (s *State) KeySerial() uint64 { return s.keySerial }

// FindChange returns the position of the entry with this change identifier, if it is a recent one.
func (s *State) FindChange(changeID string) (uint64, bool) {
	for i := range s.recent {
		if s.recent[i].ID == changeID {
			return s.recent[i].Position, true
		}
	}
	return 0, false
}

// Prepare returns the entry that makes change at the next position.
// It returns ErrStale, ErrNotExist, ErrConflict or contr.FieldErrors when the change can't be made.
func (s *State) Prepare(change Change) (Entry, error) {
	if change.ID == "" {
		return Entry{}, ErrConflict{Reason: "a change needs an identifier"}
	}
	entry := Entry{Position: s.position + 1, Change: change}
	if change.Op.isKey() {
		return entry, s.checkKey(change)
	}
	if r, ok := s.records[change.Name]; ok {
		entry.Previous = r.Serial
	}
	return entry, s.checkContract(change)
}

func (s *State) checkKey(change Change) error {
	if change.Key == nil {
		return ErrConflict{Reason: "a key change needs a key"}
	}
	at := s.keyIndex(change.Key.Number)
	if change.Op == AddKey && at >= 0 {
		return ErrConflict{Reason: fmt.Sprintf("key %d exists", change.Key.Number)}
	}
	if change.Op != AddKey && at < 0 {
		return ErrConflict{Reason: fmt.Sprintf("key %d doesn't exist", change.Key.Number)}
	}
	if change.Op == DropKey && change.Key.Number == s.current {
		return ErrConflict{Reason: fmt.Sprintf("key %d is the current one", change.Key.Number)}
	}
	return nil
}

func (s *State) keyIndex(number uint8) int {
	return slices.IndexFunc(s.keys, func(k fleet.SealedKey) bool { return k.Number == number })
}

func (s *State) checkContract(change Change) error {
	switch change.Op {
	case Create:
		return s.checkCreate(change)
	case Update:
		return s.checkUpdate(change)
	case Retire:
		_, err := s.checkMatch(change)
		return err
	default:
		return ErrConflict{Reason: fmt.Sprintf("unknown operation %q", change.Op)}
	}
}

func (s *State) checkCreate(change Change) error {
	if err := checkValue(change); err != nil {
		return err
	}
	if _, ok := s.records[change.Name]; ok {
		return ErrConflict{Reason: fmt.Sprintf("contract %q exists or has existed", change.Name)}
	}
	if other, ok := s.names[change.Contract.Address]; ok {
		return ErrConflict{Reason: fmt.Sprintf("address %s belongs to contract %q", change.Contract.Address, other)}
	}
	if s.next > connid.MaxService {
		return ErrConflict{Reason: "all service numbers are used up"}
	}
	return nil
}

func (s *State) checkUpdate(change Change) error {
	if err := checkValue(change); err != nil {
		return err
	}
	r, err := s.checkMatch(change)
	if err != nil {
		return err
	}
	if r.Contract.Address != change.Contract.Address {
		reason := fmt.Sprintf("can't change from %s; create another contract", r.Contract.Address)
		return contr.FieldErrors{{Field: "address", Value: change.Contract.Address.String(), Reason: reason}}
	}
	return nil
}

// checkMatch returns the contract that a change names when the change was made from its current version.
func (s *State) checkMatch(change Change) (contr.Record, error) {
	r, ok := s.records[change.Name]
	if !ok || r.Retired {
		return contr.Record{}, ErrNotExist{Name: change.Name}
	}
	if r.Serial != change.Match {
		return contr.Record{}, ErrStale{Name: change.Name, Current: r.Serial}
	}
	return r, nil
}

func checkValue(change Change) error {
	if change.Contract == nil {
		return ErrConflict{Reason: "the change holds no contract"}
	}
	if change.Contract.Name != change.Name {
		reason := fmt.Sprintf("must be %q", change.Name)
		return contr.FieldErrors{{Field: "name", Value: change.Contract.Name, Reason: reason}}
	}
	return change.Contract.Validate()
}

// ErrGap says that an entry can't be applied because one before it is missing.
var ErrGap = errors.New("journ: an entry before this one is missing")

// Apply applies an entry. An entry that is applied already changes nothing.
// It returns ErrGap when the entry is not the next one.
func (s *State) Apply(e Entry) error {
	if e.Position <= s.position {
		return nil
	}
	if e.Position != s.position+1 {
		return ErrGap
	}
	s.position = e.Position
	s.remember(e)
	if e.Change.Op.isKey() {
		s.keySerial = e.Position
	}
	switch e.Change.Op {
	case Create, Update:
		s.put(e)
	case Retire:
		s.retire(e)
	case AddKey:
		s.addKey(*e.Change.Key)
	case UseKey:
		s.current = e.Change.Key.Number
	case DropKey:
		if at := s.keyIndex(e.Change.Key.Number); at >= 0 {
			s.keys = slices.Delete(s.keys, at, at+1)
		}
	}
	return nil
}

func (s *State) addKey(k fleet.SealedKey) {
	if len(s.keys) == 0 {
		s.current = k.Number
	}
	s.keys = append(s.keys, k)
}

func (s *State) remember(e Entry) {
	if len(s.recent) == recentChanges {
		s.recent = slices.Delete(s.recent, 0, recentChanges/4)
	}
	s.recent = append(s.recent, RecentChange{ID: e.Change.ID, Position: e.Position})
}

func (s *State) put(e Entry) {
	c := *e.Change.Contract
	r, ok := s.records[c.Name]
	if !ok {
		r.Number = s.next
		s.next++
	}
	r.Contract = c
	r.Serial = e.Position
	s.index(r)
}

func (s *State) index(r contr.Record) {
	s.records[r.Contract.Name] = r
	s.numbers[r.Number] = r.Contract.Name
	if !r.Retired {
		s.names[r.Contract.Address] = r.Contract.Name
	}
}

func (s *State) retire(e Entry) {
	r := s.records[e.Change.Name]
	r.Serial = e.Position
	r.Retired = true
	s.records[e.Change.Name] = r
	delete(s.names, r.Contract.Address)
}

// Keys are the packet keys in force, as they are stored.
type Keys struct {
	Sealed []fleet.SealedKey
	// Current is the number of the key for new flows.
	Current uint8
}

// Open returns the ring of the keys. It returns nil when there are none.
func (k Keys) Open(secret fleet.Secret) (*fleet.Keyring, error) {
	if len(k.Sealed) == 0 {
		return nil, nil
	}
	keys := make([]fleet.Key, 0, len(k.Sealed))
	for _, sealed := range k.Sealed {
		key, err := secret.Open(sealed)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return fleet.NewKeyring(k.Current, keys...)
}

// Snapshot is a State in the form in which processes pass it on.
type Snapshot struct {
	Position  uint64
	Next      uint32
	Records   []contr.Record
	Keys      Keys
	KeySerial uint64
	Recent    []RecentChange
}

// Snapshot returns a copy of the state.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Position:  s.position,
		Next:      s.next,
		Records:   s.Records(),
		Keys:      s.Keys(),
		KeySerial: s.keySerial,
		Recent:    slices.Clone(s.recent),
	}
}

// Load replaces the state by snap when snap is newer, and reports whether it did.
func (s *State) Load(snap Snapshot) bool {
	if snap.Position <= s.position {
		return false
	}
	fresh := NewState()
	fresh.position = snap.Position
	fresh.next = snap.Next
	fresh.keys = slices.Clone(snap.Keys.Sealed)
	fresh.current = snap.Keys.Current
	fresh.keySerial = snap.KeySerial
	fresh.recent = slices.Clone(snap.Recent)
	for _, r := range snap.Records {
		fresh.index(r)
	}
	*s = *fresh
	return true
}
