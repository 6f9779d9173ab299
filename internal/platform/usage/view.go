package usage

import (
	"cmp"
	"context"
	"slices"
)

// Windows returns the windows that the store holds, in order; the open ones with what hosts have
// committed so far.
func (r *Reporter) Windows(ctx context.Context) ([]Window, error) {
	out, err := r.frozenWindows(ctx)
	if err != nil {
		return nil, err
	}
	open, err := r.openWindows(ctx)
	if err != nil {
		return nil, err
	}
	out = append(out, open...)
	slices.SortFunc(out, func(a, b Window) int { return cmp.Compare(a.index, b.index) })
	return out, nil
}

func (r *Reporter) frozenWindows(ctx context.Context) ([]Window, error) {
	list, _, err := r.client.List(ctx, windowPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]Window, 0, len(list))
	for _, e := range list {
		w, err := decode[window](e.Value())
		if err != nil {
			return nil, err
		}
		rows, err := r.load(ctx, w)
		if err != nil {
			return nil, err
		}
		out = append(out, Window{index: w.Index, length: w.Length, state: w.State, fence: w.Fence, rows: rows})
	}
	return out, nil
}

// opening is a window that is not frozen.
type opening struct {
	sums table
	open bool // a host may still commit to it
}

// openWindows sums the parts that no frozen window counts.
func (r *Reporter) openWindows(ctx context.Context) ([]Window, error) {
	found := map[int64]*opening{}
	err := r.eachPart(ctx, 0, func(p stored) error {
		if p.Counted {
			return nil
		}
		w, ok := found[p.Window]
		if !ok {
			w = &opening{sums: table{}}
			found[p.Window] = w
		}
		w.sums.addRows(p.Rows)
		w.open = w.open || !p.Sealed
		return nil
	})
	out := make([]Window, 0, len(found))
	for index, w := range found {
		state := stateSealed
		if w.open {
			state = stateOpen
		}
		out = append(out, Window{index: index, length: r.opts.Window, state: state, rows: w.sums.rows()})
	}
	return out, err
}
