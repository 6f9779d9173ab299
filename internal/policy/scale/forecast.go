package scale

import (
	"math"
	"time"
)

const (
	// levelTime smooths demand, trendTime its rate of change.
	levelTime = 20 * time.Second
	trendTime = 2 * time.Minute
	// maxGrowth bounds what the trend may add to the level, as a part of it.
	maxGrowth = 0.5
)

// forecast is exponential smoothing of level and trend over irregular samples.
type forecast struct {
	level, trend float64 // trend in units a second
	last         time.Time
}

func (f *forecast) observe(now time.Time, x float64) {
	if f.last.IsZero() {
		f.level, f.last = x, now
		return
	}
	dt := now.Sub(f.last).Seconds()
	if dt <= 0 {
		return
	}
	before := f.level
	f.level += weight(dt, levelTime) * (x - f.level)
	f.trend += weight(dt, trendTime) * ((f.level-before)/dt - f.trend)
	f.last = now
}

// at returns the demand expected after lead, not less than the present level.
func (f *forecast) at(lead time.Duration) float64 {
	growth := f.trend * (lead + levelTime).Seconds()
	return f.level + math.Min(math.Max(growth, 0), maxGrowth*f.level)
}

func weight(dt float64, constant time.Duration) float64 {
	return 1 - math.Exp(-dt/constant.Seconds())
}

// window keeps the largest need of the last downWindow.
type window struct {
	samples []sample
}

type sample struct {
	at   time.Time
	need Size
}

// add records a need and returns the largest of the window, durable and reclaimable apart.
func (w *window) add(now time.Time, s Size) Size {
	for len(w.samples) > 0 && now.Sub(w.samples[0].at) > downWindow {
		w.samples = w.samples[1:]
	}
	for len(w.samples) > 0 && w.samples[len(w.samples)-1].need.isWithin(s) {
		w.samples = w.samples[:len(w.samples)-1]
	}
	w.samples = append(w.samples, sample{now, s})
	most := Size{}
	for _, x := range w.samples {
		most.Durable = max(most.Durable, x.need.Durable)
		most.Reclaimable = max(most.Reclaimable, x.need.Reclaimable)
	}
	return most
}

func (s Size) isWithin(other Size) bool {
	return s.Durable <= other.Durable && s.Reclaimable <= other.Reclaimable
}
