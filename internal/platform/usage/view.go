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
	parts, err := r.parts(ctx)
	if err != nil {
		return nil, err
	}
	out = append(out, r.openWindows(parts)...)
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

// openWindows sums the parts that no frozen window counts.
func (r *Reporter) openWindows(parts []stored) []Window {
	sums := map[int64]table{}
	open := map[int64]bool{}
	for _, p := range parts {
		if p.Counted {
			continue
		}
		if sums[p.Window] == nil {
			sums[p.Window] = table{}
		}
		sums[p.Window].addRows(p.Rows)
		open[p.Window] = open[p.Window] || !p.Sealed
	}
	out := make([]Window, 0, len(sums))
	for index, t := range sums {
		state := stateSealed
		if open[index] {
			state = stateOpen
		}
		out = append(out, Window{index: index, length: r.opts.Window, state: state, rows: t.rows()})
	}
	return out
}
