package route

import (
	"math"
	"time"
)

// model is what the pool as a whole has shown: the usual latencies against which each upstream's are
// compared.
type model struct {
	perToken quantile // time to first token for each prompt token that is not cached
	gapTime  quantile // time between tokens at an empty batch
}

const (
	baseTokens  = 64  // work of a request besides its prompt, as tokens
	batchFactor = 1.0 // growth of the gap from an empty batch to a full one, as a fraction
)

func newModel() model { return model{} }

// first takes a time to first token and returns its ratio to the usual one.
func (m *model) first(d time.Duration, tokens, depth int) (ratio float64, ok bool) {
	usual := m.perToken.value
	v := d.Seconds() / float64(tokens+baseTokens*(1+depth))
	m.perToken.add(v)
	if usual == 0 {
		return 0, false
	}
	return v / usual, true
}

// gap takes a time between tokens and returns its ratio to the usual one at that fill.
func (m *model) gap(d time.Duration, fill float64) (ratio float64, ok bool) {
	usual := m.gapTime.value
	v := d.Seconds() / (1 + batchFactor*fill)
	m.gapTime.add(v)
	if usual == 0 {
		return 0, false
	}
	return v / usual, true
}

// quantile follows the median of a stream of values.
type quantile struct {
	value float64
	n     int
}

const (
	coarseStep = 0.2  // relative step for the first values
	fineStep   = 0.01 // relative step once settled
	settleSize = 50
)

func (q *quantile) add(v float64) {
	if v <= 0 || math.IsInf(v, 0) {
		return
	}
	q.n++
	if q.value == 0 {
		q.value = v
		return
	}
	step := max(fineStep, coarseStep*(1-float64(q.n)/settleSize))
	if v > q.value {
		q.value *= 1 + step
	} else {
		q.value /= 1 + step
	}
}

// samples is a short history of a member's own requests, to compare a report with the time it is of.
type samples struct {
	times [sampleCount]int64 // in steps
	own   [sampleCount]int16
	next  int
}

const (
	sampleStep  = 250 * time.Millisecond
	sampleCount = 32
)

func (s *samples) add(now time.Time, own int) {
	step := now.UnixNano() / int64(sampleStep)
	last := (s.next + sampleCount - 1) % sampleCount
	if s.times[last] == step {
		s.own[last] = int16(own)
		return
	}
	s.times[s.next], s.own[s.next] = step, int16(own)
	s.next = (s.next + 1) % sampleCount
}

// at returns the own requests at a past time, and present when that is not known.
func (s *samples) at(when time.Time, present int) int {
	step := when.UnixNano() / int64(sampleStep)
	for i := 1; i <= sampleCount; i++ {
		at := (s.next + sampleCount - i) % sampleCount
		if s.times[at] == 0 {
			return present
		}
		if s.times[at] <= step {
			return int(s.own[at])
		}
	}
	return present
}
