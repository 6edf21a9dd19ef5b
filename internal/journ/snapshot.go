package journ

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

const (
	// snapshotEvery is how many entries lie between two snapshots in the store.
	snapshotEvery = 256
	// pageSize is the size of a snapshot's pages in bytes; the store holds values of up to a megabyte.
	pageSize  = 512 << 10
	latestKey = "snapshot/latest"
)

// snapshotHead tells where the newest snapshot in the store is.
type snapshotHead struct {
	Position uint64 `json:"position"`
	Pages    int    `json:"pages"`
}

func pageKey(position uint64, page int) string {
	return fmt.Sprintf("snapshot/%012d/%d", position, page)
}

// wantSnapshot asks for a snapshot when one is due at an entry's position.
func (j *Journal) wantSnapshot(position uint64) {
	if position%snapshotEvery != 0 {
		return
	}
	select {
	case j.due <- struct{}{}:
	default:
	}
}

// RunSnapshots writes the snapshots that are due to the store, until ctx ends. A snapshot that can't be
// written is left out: the journal before it stays.
func (j *Journal) RunSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-j.due:
			if err := j.writeSnapshot(ctx); err != nil {
				j.skipped.Add(1)
			}
		}
	}
}

// SnapshotsSkipped returns the number of snapshots that couldn't be written.
func (j *Journal) SnapshotsSkipped() int64 { return j.skipped.Load() }

// writeSnapshot writes the pages first and the head last, so that a head never tells of pages that lack.
func (j *Journal) writeSnapshot(ctx context.Context) error {
	snap := j.Snapshot()
	text, err := json.Marshal(snap)
	if err != nil {
		return errors.Wrap(err, "journ: encode snapshot")
	}
	head := snapshotHead{Position: snap.Position}
	for len(text) > 0 {
		n := min(len(text), pageSize)
		if err := j.store.Put(ctx, pageKey(head.Position, head.Pages), text[:n]); err != nil {
			return err
		}
		text = text[n:]
		head.Pages++
	}
	value, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "journ: encode snapshot's head")
	}
	return j.store.Put(ctx, latestKey, value)
}

// restore takes over the newest snapshot in the store. Without one it changes nothing.
func (j *Journal) restore(ctx context.Context) error {
	value, ok, err := j.store.Get(ctx, latestKey)
	if err != nil || !ok {
		return err
	}
	var head snapshotHead
	if err := json.Unmarshal(value, &head); err != nil {
		return errors.Wrap(err, "journ: snapshot's head")
	}
	var text []byte
	for page := range head.Pages {
		part, ok, err := j.store.Get(ctx, pageKey(head.Position, page))
		if err != nil {
			return err
		}
		if !ok {
			return errors.Errorf("journ: page %d of snapshot %d is missing", page, head.Position)
		}
		text = append(text, part...)
	}
	var snap Snapshot
	if err := json.Unmarshal(text, &snap); err != nil {
		return errors.Wrapf(err, "journ: snapshot %d", head.Position)
	}
	j.Load(snap)
	return nil
}
