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

// maxRecentChanges is the maximum number of change IDs that a State keeps to detect repeated changes.
const maxRecentChanges = 1024

// State is the result of applying all entries up to a position.
// It isn't safe for concurrent use: its owner serializes access. The cost of Apply is proportional to the size of the entry
// and doesn't depend on the number of contracts.
type State struct {
	position      uint64
	nextNumber    uint32
	records       map[string]contr.Record
	nameByAddress map[netip.AddrPort]string
	nameByNumber  map[uint32]string
	keys          []fleet.SealedKey
	// currentKey is the number of the key that is used for new flows.
	currentKey uint8
	// keySerial is the position of the last change of packet keys.
	keySerial uint64
	recent    []RecentChange
}

// RecentChange maps a change ID to the position of its entry.
type RecentChange struct {
	ID       string
	Position uint64
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		nextNumber:    1,
		records:       make(map[string]contr.Record),
		nameByAddress: make(map[netip.AddrPort]string),
		nameByNumber:  make(map[uint32]string),
	}
}

// Position returns the position of the last entry applied.
func (s *State) Position() uint64 { return s.position }

// Record returns the record of the contract with this name, including a retired one.
func (s *State) Record(name string) (contr.Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// RecordByNumber returns the record of the contract with this service number, including a retired one.
func (s *State) RecordByNumber(number uint32) (contr.Record, bool) {
	name, ok := s.nameByNumber[number]
	if !ok {
		return contr.Record{}, false
	}
	return s.Record(name)
}

// Records returns all records sorted by name.
func (s *State) Records() []contr.Record {
	records := make([]contr.Record, 0, len(s.records))
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		records = append(records, s.records[name])
	}
	return records
}

// ChangedSince returns the records with a serial greater than serial, in no particular order.
func (s *State) ChangedSince(serial uint64) []contr.Record {
	var changed []contr.Record
	for _, r := range s.records {
		if r.Serial > serial {
			changed = append(changed, r)
		}
	}
	return changed
}

// Keys returns a copy of the sealed packet keys.
func (s *State) Keys() Keys { return Keys{Sealed: slices.Clone(s.keys), Current: s.currentKey} }

// KeySerial returns the position of the last change of packet keys.
func (s *State) KeySerial() uint64 { return s.keySerial }

// FindChange returns the position of the entry with this change ID, if it is among the recent changes.
func (s *State) FindChange(changeID string) (uint64, bool) {
	for i := range s.recent {
		if s.recent[i].ID == changeID {
			return s.recent[i].Position, true
		}
	}
	return 0, false
}

// Prepare returns the entry for change at the next position.
// It returns ErrStale, ErrNotExist, ErrConflict or contr.FieldErrors if the change isn't valid.
func (s *State) Prepare(change Change) (Entry, error) {
	if change.ID == "" {
		return Entry{}, ErrConflict{Reason: "a change needs an identifier"}
	}
	entry := Entry{Position: s.position + 1, Change: change}
	if change.Op.isKey() {
		return entry, s.validateKeyChange(change)
	}
	if r, ok := s.records[change.Name]; ok {
		entry.Previous = r.Serial
	}
	return entry, s.validateContractChange(change)
}

func (s *State) validateKeyChange(change Change) error {
	if change.Key == nil {
		return ErrConflict{Reason: "a key change needs a key"}
	}
	index := s.keyIndex(change.Key.Number)
	if change.Op == AddKey && index >= 0 {
		return ErrConflict{Reason: fmt.Sprintf("key %d exists", change.Key.Number)}
	}
	if change.Op != AddKey && index < 0 {
		return ErrConflict{Reason: fmt.Sprintf("key %d doesn't exist", change.Key.Number)}
	}
	if change.Op == DropKey && change.Key.Number == s.currentKey {
		return ErrConflict{Reason: fmt.Sprintf("key %d is the current one", change.Key.Number)}
	}
	return nil
}

// keyIndex returns the index of the key in s.keys, or -1.
func (s *State) keyIndex(number uint8) int {
	return slices.IndexFunc(s.keys, func(k fleet.SealedKey) bool { return k.Number == number })
}

func (s *State) validateContractChange(change Change) error {
	switch change.Op {
	case Create:
		return s.validateCreate(change)
	case Update:
		return s.validateUpdate(change)
	case Retire:
		_, err := s.matchingRecord(change)
		return err
	default:
		return ErrConflict{Reason: fmt.Sprintf("unknown operation %q", change.Op)}
	}
}

func (s *State) validateCreate(change Change) error {
	if err := validateContract(change); err != nil {
		return err
	}
	if _, ok := s.records[change.Name]; ok {
		return ErrConflict{Reason: fmt.Sprintf("contract %q exists or has existed", change.Name)}
	}
	if other, ok := s.nameByAddress[change.Contract.Address]; ok {
		return ErrConflict{Reason: fmt.Sprintf("address %s belongs to contract %q", change.Contract.Address, other)}
	}
	if s.nextNumber > connid.MaxService {
		return ErrConflict{Reason: "all service numbers are used up"}
	}
	return nil
}

func (s *State) validateUpdate(change Change) error {
	if err := validateContract(change); err != nil {
		return err
	}
	r, err := s.matchingRecord(change)
	if err != nil {
		return err
	}
	if r.Contract.Address != change.Contract.Address {
		reason := fmt.Sprintf("can't change from %s; create another contract", r.Contract.Address)
		return contr.FieldErrors{{Field: "address", Value: change.Contract.Address.String(), Reason: reason}}
	}
	return nil
}

// matchingRecord returns the record of the change's contract if the change is based on the current version.
func (s *State) matchingRecord(change Change) (contr.Record, error) {
	r, ok := s.records[change.Name]
	if !ok || r.Retired {
		return contr.Record{}, ErrNotExist{Name: change.Name}
	}
	if r.Serial != change.Match {
		return contr.Record{}, ErrStale{Name: change.Name, Current: r.Serial}
	}
	return r, nil
}

func validateContract(change Change) error {
	if change.Contract == nil {
		return ErrConflict{Reason: "the change holds no contract"}
	}
	if change.Contract.Name != change.Name {
		reason := fmt.Sprintf("must be %q", change.Name)
		return contr.FieldErrors{{Field: "name", Value: change.Contract.Name, Reason: reason}}
	}
	return change.Contract.Validate()
}

// ErrGap is returned for an entry that can't be applied because a preceding entry is missing.
var ErrGap = errors.New("journ: a preceding entry is missing")

// Apply applies the next entry. An entry that has already been applied is ignored.
// It returns ErrGap if entries between the state's position and e are missing.
func (s *State) Apply(e Entry) error {
	if e.Position <= s.position {
		return nil
	}
	if e.Position != s.position+1 {
		return ErrGap
	}
	s.position = e.Position
	s.recordChangeID(e)
	if e.Change.Op.isKey() {
		s.keySerial = e.Position
	}
	switch e.Change.Op {
	case Create, Update:
		s.applyContract(e)
	case Retire:
		s.applyRetire(e)
	case AddKey:
		s.applyAddKey(*e.Change.Key)
	case UseKey:
		s.currentKey = e.Change.Key.Number
	case DropKey:
		if index := s.keyIndex(e.Change.Key.Number); index >= 0 {
			s.keys = slices.Delete(s.keys, index, index+1)
		}
	}
	return nil
}

// applyAddKey adds a key. The first key is used for new flows at once.
func (s *State) applyAddKey(k fleet.SealedKey) {
	if len(s.keys) == 0 {
		s.currentKey = k.Number
	}
	s.keys = append(s.keys, k)
}

// recordChangeID adds e to the recent changes, and drops the oldest quarter of a full list first.
func (s *State) recordChangeID(e Entry) {
	if len(s.recent) == maxRecentChanges {
		s.recent = slices.Delete(s.recent, 0, maxRecentChanges/4)
	}
	s.recent = append(s.recent, RecentChange{ID: e.Change.ID, Position: e.Position})
}

// applyContract creates or updates a contract. A new contract gets the next service number.
func (s *State) applyContract(e Entry) {
	c := *e.Change.Contract
	r, ok := s.records[c.Name]
	if !ok {
		r.Number = s.nextNumber
		s.nextNumber++
	}
	r.Contract = c
	r.Serial = e.Position
	s.indexRecord(r)
}

// indexRecord stores r and updates the indexes by service number and address. Retired contracts release their address.
func (s *State) indexRecord(r contr.Record) {
	s.records[r.Contract.Name] = r
	s.nameByNumber[r.Number] = r.Contract.Name
	if !r.Retired {
		s.nameByAddress[r.Contract.Address] = r.Contract.Name
	}
}

func (s *State) applyRetire(e Entry) {
	r := s.records[e.Change.Name]
	r.Serial = e.Position
	r.Retired = true
	s.records[e.Change.Name] = r
	delete(s.nameByAddress, r.Contract.Address)
}

// Keys are the current packet keys in sealed form.
type Keys struct {
	Sealed []fleet.SealedKey
	// Current is the number of the key that is used for new flows.
	Current uint8
}

// Open decrypts the keys and returns them as a keyring. It returns nil if there are no keys.
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

// Snapshot is the serializable form of a State. Processes exchange it and write it to the store.
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
		Next:      s.nextNumber,
		Records:   s.Records(),
		Keys:      s.Keys(),
		KeySerial: s.keySerial,
		Recent:    slices.Clone(s.recent),
	}
}

// Load replaces the state by snap if snap is newer, and reports whether it did.
func (s *State) Load(snap Snapshot) bool {
	if snap.Position <= s.position {
		return false
	}
	loaded := NewState()
	loaded.position = snap.Position
	loaded.nextNumber = snap.Next
	loaded.keys = slices.Clone(snap.Keys.Sealed)
	loaded.currentKey = snap.Keys.Current
	loaded.keySerial = snap.KeySerial
	loaded.recent = slices.Clone(snap.Recent)
	for _, r := range snap.Records {
		loaded.indexRecord(r)
	}
	*s = *loaded
	return true
}
