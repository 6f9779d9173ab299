package admit

import (
	"math"
	"time"
)

// defaultTimeConstant is the time constant of the zero Rate.
const defaultTimeConstant = 3 * time.Second

// Rate is an exponentially decaying average rate. Its zero value is a rate of zero and is ready to use.
type Rate struct {
	sum          float64
	updatedAt    time.Time
	timeConstant time.Duration
}

// NewRate returns a Rate that decays with the given time constant.
func NewRate(timeConstant time.Duration) Rate { return Rate{timeConstant: timeConstant} }

// Add counts an amount x at the time now.
func (r *Rate) Add(now time.Time, x float64) {
	r.sum = r.decayed(now) + x
	r.updatedAt = now
}

// PerSecond returns the average amount per second at the time now.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.decayed(now) / r.effectiveTimeConstant().Seconds()
}

func (r *Rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.updatedAt).Seconds()/r.effectiveTimeConstant().Seconds())
}

func (r *Rate) effectiveTimeConstant() time.Duration {
	if r.timeConstant > 0 {
		return r.timeConstant
	}
	return defaultTimeConstant
}
