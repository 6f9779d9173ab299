package admit

import (
	"math"
	"time"
)

// defaultWindow is the time constant of a Rate that is not made by NewRate.
const defaultWindow = 3 * time.Second

// Rate is an exponentially decayed rate. Its zero value is a rate of nothing.
type Rate struct {
	sum    float64
	at     time.Time
	window time.Duration
}

// NewRate returns a Rate with a time constant.
func NewRate(window time.Duration) Rate { return Rate{window: window} }

// Add counts x at now.
func (r *Rate) Add(now time.Time, x float64) {
	r.sum = r.decayed(now) + x
	r.at = now
}

// PerSecond returns the rate at now.
func (r *Rate) PerSecond(now time.Time) float64 { return r.decayed(now) / r.constant().Seconds() }

func (r *Rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/r.constant().Seconds())
}

func (r *Rate) constant() time.Duration {
	if r.window > 0 {
		return r.window
	}
	return defaultWindow
}
