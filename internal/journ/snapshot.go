package journ

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

const (
	// snapshotInterval is the number of entries between two snapshots in the store.
	snapshotInterval = 256
	// snapshotPageSize is the maximum size of a snapshot page in bytes. The store accepts values of up to 1 MB.
	snapshotPageSize = 512 << 10
	// latestSnapshotKey is the store key of the snapshotHead.
	latestSnapshotKey = "snapshot/latest"
)

// snapshotHead locates the newest snapshot in the store.
type snapshotHead struct {
	Position uint64 `json:"position"`
	Pages    int    `json:"pages"`
}

func snapshotPageKey(position uint64, page int) string {
	return fmt.Sprintf("snapshot/%012d/%d", position, page)
}

// requestSnapshot signals RunSnapshots if a snapshot is due at position.
func (j *Journal) requestSnapshot(position uint64) {
	if position%snapshotInterval != 0 {
		return
	}
	select {
	case j.snapshotDue <- struct{}{}:
	default:
	}
}

// RunSnapshots writes snapshots to the store when they are due, until ctx ends. A snapshot that can't be written is
// skipped: the entries that it would cover remain in the store.
func (j *Journal) RunSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-j.snapshotDue:
			if err := j.writeSnapshot(ctx); err != nil {
				j.skippedSnapshots.Add(1)
			}
		}
	}
}

// SnapshotsSkipped returns the number of snapshots that couldn't be written.
func (j *Journal) SnapshotsSkipped() int64 { return j.skippedSnapshots.Load() }

// writeSnapshot writes the pages before the head, so that the head never refers to missing pages.
func (j *Journal) writeSnapshot(ctx context.Context) error {
	snap := j.Snapshot()
	encoded, err := json.Marshal(snap)
	if err != nil {
		return errors.Wrap(err, "journ: encode snapshot")
	}
	head := snapshotHead{Position: snap.Position}
	for len(encoded) > 0 {
		n := min(len(encoded), snapshotPageSize)
		if err := j.store.Put(ctx, snapshotPageKey(head.Position, head.Pages), encoded[:n]); err != nil {
			return err
		}
		encoded = encoded[n:]
		head.Pages++
	}
	value, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "journ: encode snapshot head")
	}
	return j.store.Put(ctx, latestSnapshotKey, value)
}

// restoreSnapshot loads the newest snapshot from the store. It does nothing if there is none.
func (j *Journal) restoreSnapshot(ctx context.Context) error {
	value, ok, err := j.store.Get(ctx, latestSnapshotKey)
	if err != nil || !ok {
		return err
	}
	var head snapshotHead
	if err := json.Unmarshal(value, &head); err != nil {
		return errors.Wrap(err, "journ: decode snapshot head")
	}
	var encoded []byte
	for page := range head.Pages {
		pageData, ok, err := j.store.Get(ctx, snapshotPageKey(head.Position, page))
		if err != nil {
			return err
		}
		if !ok {
			return errors.Errorf("journ: page %d of snapshot %d doesn't exist in the store", page, head.Position)
		}
		encoded = append(encoded, pageData...)
	}
	var snap Snapshot
	if err := json.Unmarshal(encoded, &snap); err != nil {
		return errors.Wrapf(err, "journ: decode snapshot %d", head.Position)
	}
	j.Load(snap)
	return nil
}
