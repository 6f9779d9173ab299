package route

import (
	"math"
	"time"
)

// model is what the pool as a whole has shown: the usual latencies against which each upstream's are
// compared.
type model struct {
	line    line     // time to first token by prompt tokens to process
	gapTime quantile // time between tokens at an empty batch
}

const (
	batchFactor  = 1.0 // growth of the gap from an empty batch to a full one, as a fraction
	defaultGap   = 0.03
	defaultFirst = 0.1
	defaultSlope = 0.0002
)

func newModel() model { return model{} }

// first takes a time to first token and returns its ratio to the usual one.
func (m *model) first(d time.Duration, tokens int) (ratio float64, ok bool) {
	usual := m.expect(float64(tokens))
	ratio, ok = d.Seconds()/usual, m.line.n >= minLine
	seconds := d.Seconds()
	if ok {
		seconds = min(seconds, maxRatio*usual)
	}
	m.line.add(float64(tokens), seconds)
	return ratio, ok
}

// expect returns the usual time in seconds to first token with tokens to process.
func (m *model) expect(tokens float64) float64 {
	if m.line.n < minLine {
		return defaultFirst + defaultSlope*tokens
	}
	return m.line.base + m.line.slope*tokens
}

// slope returns the usual time in seconds for each prompt token.
func (m *model) slope() float64 {
	if m.line.n < minLine {
		return defaultSlope
	}
	return m.line.slope
}

// usualGap returns the usual time in seconds between tokens at an empty batch.
func (m *model) usualGap() float64 {
	if v := m.gapTime.value; v > 0 {
		return v
	}
	return defaultGap
}

// line fits a straight line through points, the newest weighing most.
type line struct {
	n            int
	x, y, xx, xy float64
	base, slope  float64
}

const (
	minLine   = 16    // points before the line is used
	lineShare = 0.01  // the newest point's share
	minSlope  = 1e-6  // seconds for each token
	minBase   = 0.002 // seconds
	maxRatio  = 3     // bound on a point relative to the line, so that stragglers do not bend it
)

func (l *line) add(x, y float64) {
	l.n++
	share := max(lineShare, 1/float64(l.n))
	l.x += share * (x - l.x)
	l.y += share * (y - l.y)
	l.xx += share * (x*x - l.xx)
	l.xy += share * (x*y - l.xy)
	l.slope = minSlope
	if spread := l.xx - l.x*l.x; spread > 1 {
		l.slope = max(minSlope, (l.xy-l.x*l.y)/spread)
	}
	l.base = max(minBase, l.y-l.slope*l.x)
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
