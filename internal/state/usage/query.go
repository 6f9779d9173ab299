package usage

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
)

const (
	// windowsPerListing is the number of windows that one listing returns at most. The listing prefix omits
	// the last two decimal digits of the window index.
	windowsPerListing = 100
	// maxQueryRows bounds the rows in one answer, and with it the memory that the answering host needs.
	maxQueryRows = 50_000
)

// Query selects windows and their rows.
type Query struct {
	From, To time.Time // selects the windows that overlap this period
	Customer string    // selects the rows of this customer; empty selects all rows
}

// queryResult collects the rows of a Query.
type queryResult struct {
	query       Query
	first, last int64 // window indexes
	rows        int   // number of rows added so far
}

// addRow appends r to rows if the query selects r. It fails when the result gets too large.
func (res *queryResult) addRow(rows []Row, r Row) ([]Row, error) {
	if res.query.Customer != "" && r.Customer != res.query.Customer {
		return rows, nil
	}
	if res.rows++; res.rows > maxQueryRows {
		return nil, kind.New(kind.Invalid, "the answer has more than %d rows; ask for one customer or a shorter time", maxQueryRows)
	}
	return append(rows, r), nil
}

func (res *queryResult) contains(index int64) bool { return index >= res.first && index <= res.last }

// Windows returns the windows of a query that the store holds, ordered by time. A window that is not frozen
// contains what the hosts have committed so far. The error has kind Invalid if the query selects too many
// rows.
func (r *Reporter) Windows(ctx context.Context, q Query) ([]Window, error) {
	oldest := r.clock.Now().Add(-keepWindows)
	if q.From.Before(oldest) {
		q.From = oldest
	}
	res := &queryResult{query: q, first: windowIndex(q.From, r.opts.Window), last: windowIndex(q.To, r.opts.Window)}
	out, err := r.frozenWindows(ctx, res)
	if err != nil {
		return nil, err
	}
	open, err := r.openWindows(ctx, res)
	if err != nil {
		return nil, err
	}
	out = append(out, open...)
	slices.SortFunc(out, func(a, b Window) int { return cmp.Compare(a.index, b.index) })
	return out, nil
}

func (r *Reporter) frozenWindows(ctx context.Context, res *queryResult) ([]Window, error) {
	var out []Window
	for block := res.first / windowsPerListing; block <= res.last/windowsPerListing; block++ {
		list, _, err := r.client.List(ctx, fmt.Sprintf("%s%010d", windowPrefix, block))
		if err != nil {
			return nil, err
		}
		for _, e := range list {
			w, err := decode[window](e.Value())
			if err != nil {
				return nil, err
			}
			if !res.contains(w.Index) {
				continue
			}
			shown := Window{index: w.Index, length: w.Length, state: w.State, fence: w.FencingToken}
			err = r.eachRow(ctx, w, func(row Row) (err error) {
				shown.rows, err = res.addRow(shown.rows, row)
				return err
			})
			if err != nil {
				return nil, err
			}
			out = append(out, shown)
		}
	}
	return out, nil
}

// openWindow holds the totals of a window that is not frozen.
type openWindow struct {
	sums totals
	open bool // a host may still commit to it
}

// openWindows sums the segments that no frozen window counts.
func (r *Reporter) openWindows(ctx context.Context, res *queryResult) ([]Window, error) {
	found := map[int64]*openWindow{}
	err := r.eachSegment(ctx, 0, func(seg storedSegment) error {
		if seg.Counted || !res.contains(seg.Window) {
			return nil
		}
		w, ok := found[seg.Window]
		if !ok {
			w = &openWindow{sums: totals{}}
			found[seg.Window] = w
		}
		w.sums.addRows(seg.Rows)
		w.open = w.open || !seg.Sealed
		return nil
	})
	if err != nil {
		return nil, err
	}
	out := make([]Window, 0, len(found))
	for index, w := range found {
		shown := Window{index: index, length: r.opts.Window, state: stateSealed}
		if w.open {
			shown.state = stateOpen
		}
		for _, row := range w.sums.rows() {
			if shown.rows, err = res.addRow(shown.rows, row); err != nil {
				return nil, err
			}
		}
		out = append(out, shown)
	}
	return out, nil
}
