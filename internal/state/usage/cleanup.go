package usage

import (
	"context"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// cleanUp removes the rows of the segments that a frozen window counts, and deletes expired segments and the
// window that is too old to be kept. It may be interrupted at any point: the watermarks of the window prevent
// a segment from counting twice, and the cleanup after the next window empties the remaining segments.
func (r *Reporter) cleanUp(ctx context.Context, agg *aggregation) error {
	for _, seg := range agg.toEmpty {
		seg.Counted = true
		if err := r.put(ctx, seg.key(), seg.segment, store.At(seg.revision)); err != nil {
			return err
		}
	}
	for _, seg := range agg.toDelete {
		if err := r.deleteKey(ctx, seg.key(), store.At(seg.revision)); err != nil {
			return err
		}
	}
	return r.deleteWindow(ctx, agg.index-r.windowsIn(keepWindows))
}

// deleteWindow deletes the totals of a window that is no longer kept. A window that was never reported stays.
func (r *Reporter) deleteWindow(ctx context.Context, index int64) error {
	w, revision, err := readWindow(ctx, r.client, index)
	if kind.Of(err) == kind.Missing {
		return nil
	}
	if err != nil {
		return err
	}
	if w.State == stateFrozen {
		return nil
	}
	for _, key := range w.Chunks {
		if err := r.deleteKey(ctx, key, store.Any()); err != nil {
			return err
		}
	}
	return r.deleteKey(ctx, windowKey(index), store.At(revision))
}

// deleteKey deletes a key under a condition. A conflict is not an error: it means that the key has been
// written again and is in use.
func (r *Reporter) deleteKey(ctx context.Context, key string, cond store.Condition) error {
	err := r.client.Delete(ctx, key, cond)
	if kind.Of(err) == kind.Conflict {
		return nil
	}
	return err
}
