package exchange

import (
	"math"
	"time"
)

// smoothingTime is the time constant of a meter. It is short so that a rate follows bursts of a few seconds.
const smoothingTime = 2 * time.Second

// meter measures a rate with exponential decay.
type meter struct {
	sum float64
	at  time.Time
}

// add counts an amount x.
func (m *meter) add(now time.Time, x float64) {
	m.decay(now)
	m.sum += x
}

// rate returns the amount per second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.sum / smoothingTime.Seconds()
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.sum *= math.Exp(-d.Seconds() / smoothingTime.Seconds())
		m.at = now
	}
}
