package exchange

import (
	"slices"
	"time"
)

// Sizes of a latencyWindow, in values.
const (
	windowSize         = 256
	windowMinValues    = 20 // with fewer values the quantiles are meaningless
	windowSortInterval = 16 // number of new values after which the window is sorted again
)

// Quantiles of the times to first token.
const (
	expectedQuantile = 0.5
	lateQuantile     = 0.95
)

// latencyWindow keeps the most recent durations and returns their quantiles.
type latencyWindow struct {
	values   []time.Duration
	next     int
	sorted   []time.Duration
	unsorted int // values added since the last sort
}

// add adds a duration, which replaces the oldest one if the window is full.
func (w *latencyWindow) add(d time.Duration) {
	w.unsorted++
	if len(w.values) < windowSize {
		w.values = append(w.values, d)
		return
	}
	w.values[w.next] = d
	w.next = (w.next + 1) % windowSize
}

// quantile returns the duration that the fraction q of the window does not exceed, zero while the window has fewer
// than windowMinValues values.
func (w *latencyWindow) quantile(q float64) time.Duration {
	if len(w.values) < windowMinValues {
		return 0
	}
	if w.sorted == nil || w.unsorted >= windowSortInterval {
		w.sorted = append(w.sorted[:0], w.values...)
		slices.Sort(w.sorted)
		w.unsorted = 0
	}
	return w.sorted[int(float64(len(w.sorted)-1)*q)]
}
