package journ

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// ErrOtherHistory is returned if the store holds other entries than this copy at the same positions: it has returned from an older copy,
// and entries were appended there by a process that didn't know the lost ones.
var ErrOtherHistory = errors.New("journ: the store holds other entries than this process at the same positions")

// repairStore writes the latest entries of this copy again if the store has lost them. A process that has just started could not
// read beyond the gap, and would take an earlier state for the newest. It makes one call if the store has the last entry.
func (j *Journal) repairStore(ctx context.Context) error {
	j.stateMu.Lock()
	tail := slices.Clone(j.tail)
	j.stateMu.Unlock()
	lost := len(tail)
	for ; lost > 0; lost-- {
		found, err := j.storeHas(ctx, tail[lost-1])
		if err != nil {
			return err
		}
		if found {
			break
		}
	}
	for _, e := range tail[lost:] {
		value, err := json.Marshal(e)
		if err != nil {
			return errors.Wrap(err, "journ: encode entry")
		}
		if _, err := j.store.Create(ctx, EntryKey(e.Position), value); err != nil {
			return err
		}
		if _, err := j.storeHas(ctx, e); err != nil { // Another process may have created it.
			return err
		}
	}
	return nil
}

// storeHas reports whether the store has an entry. It returns ErrOtherHistory if it has another one at that position.
func (j *Journal) storeHas(ctx context.Context, e Entry) (bool, error) {
	stored, ok, err := j.readEntry(ctx, e.Position)
	if err != nil || !ok {
		return false, err
	}
	if stored.Change.ID != e.Change.ID {
		return false, errors.Wrapf(ErrOtherHistory, "position %d: change %s in the store, %s here", e.Position, stored.Change.ID, e.Change.ID)
	}
	return true, nil
}
