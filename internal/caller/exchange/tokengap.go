package exchange

import (
	"slices"
	"time"
)

// gapSamples is the number of gaps that are kept for one response; later gaps replace the oldest ones.
const gapSamples = 256

// gapQuantile is the quantile of the gaps that is reported for a response.
const gapQuantile = 0.95

// gapMeter measures the time between the tokens of one response.
type gapMeter struct {
	last time.Time
	gaps []time.Duration
	next int
}

// add records that n tokens arrived at now.
func (m *gapMeter) add(now time.Time, n int) {
	last := m.last
	m.last = now
	if last.IsZero() {
		return
	}
	gap := now.Sub(last) / time.Duration(n)
	if len(m.gaps) < gapSamples {
		m.gaps = append(m.gaps, gap)
		return
	}
	m.gaps[m.next] = gap
	m.next = (m.next + 1) % gapSamples
}

// quantile returns the gap that 95% of the gaps do not exceed, zero if there are none.
func (m *gapMeter) quantile() time.Duration {
	if len(m.gaps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.gaps))
	return sorted[int(float64(len(sorted)-1)*gapQuantile)]
}
