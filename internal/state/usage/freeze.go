package usage

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
)

// chunkRows is the number of rows that one key holds. A window with more rows stores them in separate keys.
const chunkRows = 2000

// aggregation holds the totals of a window while its segments are added up. It keeps the segments without
// their rows, to limit memory.
type aggregation struct {
	index      int64
	watermarks map[string]watermark
	sums       totals
	toEmpty    []storedSegment // counted in this window or an earlier one, still with their rows
	toDelete   []storedSegment // emptied and no longer needed
}

// freezeWindow stores the totals of a window, which is done only once, and returns what has to be cleaned up.
// It seals the segments that their hosts have not sealed yet. Usage that such a host commits later goes to its
// next segment and so counts in a later window.
func (r *Reporter) freezeWindow(ctx context.Context, token lease.Token, index int64) (*aggregation, error) {
	watermarks, err := r.loadWatermarks(ctx, index-1)
	if err != nil {
		return nil, err
	}
	agg := &aggregation{index: index, watermarks: watermarks, sums: totals{}}
	err = r.eachSegment(ctx, len(watermarks), func(seg storedSegment) error { return r.countSegment(ctx, agg, seg) })
	if err != nil {
		return nil, err
	}
	if err := token.Valid(r.opts.Timeout); err != nil {
		return nil, err
	}
	rows := agg.sums.rows()
	agg.sums = nil
	frozen, err := r.storeWindow(ctx, window{Index: index, Length: r.opts.Window, FencingToken: token.FencingToken(), Watermarks: agg.watermarks}, rows)
	if err != nil {
		return nil, err
	}
	if !frozen { // the reporter that froze the window cleans up
		return &aggregation{index: index}, nil
	}
	return agg, nil
}

// countSegment adds a segment to the totals if the segment belongs to this window or an earlier one and no
// frozen window counts it.
func (r *Reporter) countSegment(ctx context.Context, agg *aggregation, seg storedSegment) error {
	m, ok := agg.watermarks[seg.streamName()]
	switch {
	case seg.Counted:
		if seg.Window <= agg.index-r.windowsIn(keepSegments) {
			agg.toDelete = append(agg.toDelete, seg)
		}
		return nil
	case ok && seg.Number <= m.Number: // the reporter that counted the segment died before it emptied it
		agg.toEmpty = append(agg.toEmpty, seg.withoutRows())
		return nil
	case seg.Window > agg.index:
		return nil
	}
	seg, err := r.sealSegment(ctx, seg)
	if err != nil {
		return err
	}
	agg.sums.addRows(seg.Rows)
	agg.watermarks[seg.streamName()] = watermark{Number: seg.Number, Seq: seg.Seq, Window: agg.index}
	agg.toEmpty = append(agg.toEmpty, seg.withoutRows())
	return nil
}

// loadWatermarks returns the watermarks of a window by stream, without those of hosts that have committed
// nothing for longer than keepWatermarks.
func (r *Reporter) loadWatermarks(ctx context.Context, index int64) (map[string]watermark, error) {
	w, _, err := readWindow(ctx, r.client, index)
	if err != nil && kind.Of(err) != kind.Missing {
		return nil, err
	}
	watermarks := map[string]watermark{}
	maps.Copy(watermarks, w.Watermarks)
	maps.DeleteFunc(watermarks, func(_ string, m watermark) bool { return m.Window < index-r.windowsIn(keepWatermarks) })
	return watermarks, nil
}

// sealSegment marks a segment as sealed, so that its host adds no more usage, and returns the segment with all
// that the host committed before. If the host commits at the same time, sealSegment reads the segment again
// and retries.
func (r *Reporter) sealSegment(ctx context.Context, seg storedSegment) (storedSegment, error) {
	for !seg.Sealed {
		seg.Sealed = true
		data, err := encode(seg.segment)
		if err != nil {
			return seg, err
		}
		revision, err := r.client.Put(ctx, seg.key(), data, store.At(seg.revision))
		if err == nil {
			seg.revision = revision
			return seg, nil
		}
		if kind.Of(err) != kind.Conflict {
			return seg, err
		}
		e, err := r.client.Get(ctx, seg.key())
		if err != nil {
			return seg, err
		}
		if seg.segment, err = decode[segment](e.Value()); err != nil {
			return seg, err
		}
		seg.revision = e.Revision()
	}
	return seg, nil
}

// storeWindow stores the frozen window. It returns false if another reporter has frozen the window before.
func (r *Reporter) storeWindow(ctx context.Context, w window, rows []Row) (frozen bool, err error) {
	machine := states.Start()
	for _, event := range []string{"seal", "freeze"} {
		if err := machine.Fire(event); err != nil {
			return false, err
		}
	}
	w.State = machine.State()
	if len(rows) <= chunkRows {
		w.Rows = rows
	} else if w.Chunks, err = r.storeChunks(ctx, w.Index, rows); err != nil {
		return false, err
	}
	data, err := encode(w)
	if err != nil {
		return false, err
	}
	_, err = r.client.Put(ctx, windowKey(w.Index), data, store.Absent())
	if kind.Of(err) == kind.Conflict {
		return false, nil
	}
	return err == nil, err
}

// storeChunks stores rows in several keys and returns the keys. Each key contains the SHA-256 hash of its
// rows, so a conflict means that the same rows are stored already.
func (r *Reporter) storeChunks(ctx context.Context, index int64, rows []Row) ([]string, error) {
	var keys []string
	for chunk := range slices.Chunk(rows, chunkRows) {
		data, err := encode(chunk)
		if err != nil {
			return nil, err
		}
		key := fmt.Sprintf("%s%012d/%x", rowsPrefix, index, sha256.Sum256(data))
		_, err = r.client.Put(ctx, key, data, store.Absent())
		if err != nil && kind.Of(err) != kind.Conflict {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// loadRows returns all rows of a window.
func (r *Reporter) loadRows(ctx context.Context, w window) (rows []Row, err error) {
	err = r.eachRow(ctx, w, func(row Row) error {
		rows = append(rows, row)
		return nil
	})
	return rows, err
}

// eachRow calls fn with each row of a window. It reads one key of rows at a time, to limit memory.
func (r *Reporter) eachRow(ctx context.Context, w window, fn func(Row) error) error {
	for _, row := range w.Rows {
		if err := fn(row); err != nil {
			return err
		}
	}
	for _, key := range w.Chunks {
		e, err := r.client.Get(ctx, key)
		if err != nil {
			return err
		}
		chunk, err := decode[[]Row](e.Value())
		if err != nil {
			return err
		}
		for _, row := range chunk {
			if err := fn(row); err != nil {
				return err
			}
		}
	}
	return nil
}

// windowsIn returns the number of whole windows in a duration, plus one.
func (r *Reporter) windowsIn(d time.Duration) int64 { return int64(d/r.opts.Window) + 1 }
