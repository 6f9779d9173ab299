package admit

import (
	"math"
	"time"
)

// rateWindow is the time constant of a Rate.
const rateWindow = 3 * time.Second

// Rate is an exponentially decayed rate. Its zero value is a rate of nothing.
type Rate struct {
	sum float64
	at  time.Time
}

// Add counts x at now.
func (r *Rate) Add(now time.Time, x float64) {
	r.sum = r.decayed(now) + x
	r.at = now
}

// PerSecond returns the rate at now.
func (r *Rate) PerSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }

func (r *Rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
