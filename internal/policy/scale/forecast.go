package scale

import (
	"math"
	"time"
)

const (
	// levelTimeConstant and trendTimeConstant are the smoothing time constants of the demand and of its rate of change.
	levelTimeConstant = 20 * time.Second
	trendTimeConstant = 2 * time.Minute
	// maxGrowth bounds the growth that the trend may predict, as a fraction of the level.
	maxGrowth = 0.5
)

// forecast applies double exponential smoothing (level and trend) to samples at irregular intervals.
type forecast struct {
	level, trend float64 // trend per second
	last         time.Time
}

func (f *forecast) observe(now time.Time, demand float64) {
	if f.last.IsZero() {
		f.level, f.last = demand, now
		return
	}
	elapsed := now.Sub(f.last).Seconds()
	if elapsed <= 0 {
		return
	}
	before := f.level
	f.level += smoothingWeight(elapsed, levelTimeConstant) * (demand - f.level)
	f.trend += smoothingWeight(elapsed, trendTimeConstant) * ((f.level-before)/elapsed - f.trend)
	f.last = now
}

// predict returns the demand expected after lead, but at least the current level.
func (f *forecast) predict(lead time.Duration) float64 {
	growth := f.trend * (lead + levelTimeConstant).Seconds()
	return f.level + math.Min(math.Max(growth, 0), maxGrowth*f.level)
}

// smoothingWeight returns the weight of a sample that comes elapsed seconds after the last one.
func smoothingWeight(elapsed float64, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/timeConstant.Seconds())
}

// maxWindow tracks the largest need within the last scaleDownDelay.
type maxWindow struct {
	samples []sample // oldest first
}

type sample struct {
	at   time.Time
	need Size
}

// add records a need and returns the maximum over the window, separately for durable and reclaimable upstreams.
func (w *maxWindow) add(now time.Time, s Size) Size {
	for len(w.samples) > 0 && now.Sub(w.samples[0].at) > scaleDownDelay {
		w.samples = w.samples[1:]
	}
	for len(w.samples) > 0 && w.samples[len(w.samples)-1].need.isWithin(s) {
		w.samples = w.samples[:len(w.samples)-1]
	}
	w.samples = append(w.samples, sample{now, s})
	largest := Size{}
	for _, x := range w.samples {
		largest.Durable = max(largest.Durable, x.need.Durable)
		largest.Reclaimable = max(largest.Reclaimable, x.need.Reclaimable)
	}
	return largest
}

// isWithin reports whether s exceeds other in neither type, so that a later sample of other makes s irrelevant.
func (s Size) isWithin(other Size) bool {
	return s.Durable <= other.Durable && s.Reclaimable <= other.Reclaimable
}
