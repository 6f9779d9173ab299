package usage

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/lease"
	"hickorypath/internal/platform/store"
)

// chunkRows is the number of rows from which figures are stored in keys of their own.
const chunkRows = 2000

// stored is a part with its revision.
type stored struct {
	part
	revision uint64
}

// freeze writes the figures of a window, once. A part that is not sealed by now is sealed here; the
// host's later increments go to its next part, and so to a later window.
func (r *Reporter) freeze(ctx context.Context, token lease.Token, index int64) error {
	marks, err := r.marks(ctx, index-1)
	if err != nil {
		return err
	}
	parts, err := r.parts(ctx)
	if err != nil {
		return err
	}
	sums := table{}
	var counted []stored
	for _, p := range parts {
		if !p.belongs(index, marks) {
			continue
		}
		p, err := r.seal(ctx, p)
		if err != nil {
			return err
		}
		sums.addRows(p.Rows)
		marks[p.stream()] = mark{Number: p.Number, Seq: p.Seq, Window: index}
		counted = append(counted, p)
	}
	if err := token.Valid(r.opts.Timeout); err != nil {
		return err
	}
	won, err := r.store(ctx, window{
		Index: index, Length: r.opts.Window, Fence: token.Fence(), Marks: marks,
	}, sums.rows())
	if err != nil || !won {
		return err
	}
	return r.clean(ctx, index, parts, counted)
}

// belongs reports whether a part is due for a window and is not in an earlier one. Parts come in
// the order of their numbers and windows.
func (p stored) belongs(index int64, marks map[string]mark) bool {
	m, ok := marks[p.stream()]
	return p.Window <= index && !p.Counted && (!ok || p.Number > m.Number)
}

// marks returns the marks after a window, without those of hosts that are long gone.
func (r *Reporter) marks(ctx context.Context, index int64) (map[string]mark, error) {
	w, _, err := readWindow(ctx, r.client, index)
	if err != nil && kind.Of(err) != kind.Missing {
		return nil, err
	}
	marks := map[string]mark{}
	maps.Copy(marks, w.Marks)
	maps.DeleteFunc(marks, func(_ string, m mark) bool { return m.Window < index-r.windows(keepMarks) })
	return marks, nil
}

// parts reads all parts, those of one host in the order of their numbers.
func (r *Reporter) parts(ctx context.Context) ([]stored, error) {
	list, _, err := r.client.List(ctx, partPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]stored, 0, len(list))
	for _, e := range list {
		p, err := decode[part](e.Value())
		if err != nil {
			return nil, err
		}
		out = append(out, stored{p, e.Revision()})
	}
	slices.SortFunc(out, func(a, b stored) int {
		return cmp.Or(cmp.Compare(a.stream(), b.stream()), cmp.Compare(a.Number, b.Number))
	})
	return out, nil
}

// seal makes a part immutable, with what the host committed until then.
func (r *Reporter) seal(ctx context.Context, p stored) (stored, error) {
	for !p.Sealed {
		p.Sealed = true
		data, err := encode(p.part)
		if err != nil {
			return p, err
		}
		revision, err := r.client.Put(ctx, p.key(), data, store.At(p.revision))
		if err == nil {
			p.revision = revision
			return p, nil
		}
		if kind.Of(err) != kind.Conflict {
			return p, err
		}
		e, err := r.client.Get(ctx, p.key())
		if err != nil {
			return p, err
		}
		if p.part, err = decode[part](e.Value()); err != nil {
			return p, err
		}
		p.revision = e.Revision()
	}
	return p, nil
}

// store writes the frozen window, unless another reporter has frozen it.
func (r *Reporter) store(ctx context.Context, w window, rows []Row) (won bool, err error) {
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

// storeChunks writes rows under keys that name their content.
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

// load returns the rows of a window.
func (r *Reporter) load(ctx context.Context, w window) ([]Row, error) {
	rows := w.Rows
	for _, key := range w.Chunks {
		e, err := r.client.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		chunk, err := decode[[]Row](e.Value())
		if err != nil {
			return nil, err
		}
		rows = append(rows, chunk...)
	}
	return rows, nil
}

// windows returns how many windows a time spans.
func (r *Reporter) windows(d time.Duration) int64 { return int64(d/r.opts.Window) + 1 }
