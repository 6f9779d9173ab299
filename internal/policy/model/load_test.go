package model

import (
	"math"
	"time"

	"hickorypath/internal/policy/pool"
)

// stream is an open-loop source of requests of one customer and class.
type stream struct {
	class, customer string
	rate            float64 // requests a second
	factor          func(time.Duration) float64
	peak            float64 // largest factor, 1 when zero
	mean            float64 // mean output tokens
	sigma           float64 // of the logarithm of output lengths
	prompt          int
	prefix          func(*world) []uint64
	patience        time.Duration // callers go away after it, zero for never
	limit           int           // max_tokens
}

// play schedules the arrivals of streams until the time given.
func (w *world) play(until time.Duration, streams ...stream) {
	id := uint64(0)
	for _, s := range streams {
		peak := max(s.peak, 1)
		for t := w.gap(s.rate * peak); t < until; t += w.gap(s.rate * peak) {
			if s.factor != nil && w.rand.Float64() > s.factor(t)/peak {
				continue
			}
			id++
			j := w.job(s, id)
			w.at(t, func() { w.arrive(j) })
		}
	}
}

func (w *world) gap(rate float64) time.Duration {
	return time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second))
}

func (w *world) job(s stream, id uint64) *job {
	j := &job{Request: pool.Request{ID: id, Class: s.class, Customer: s.customer, Prompt: s.prompt, Max: s.limit}}
	mu := math.Log(s.mean) - s.sigma*s.sigma/2
	j.output = max(1, int(math.Exp(mu+s.sigma*w.rand.NormFloat64())))
	if s.limit > 0 {
		j.output = min(j.output, s.limit)
	}
	if s.prefix != nil {
		j.Prefix = s.prefix(w)
		j.Prompt += len(j.Prefix) * blockTokens
	}
	j.patience = s.patience
	return j
}

// during is a factor of high between from and to, and of 1 otherwise.
func during(from, to time.Duration, high float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return 1
	}
}
