// Package length learns how many output tokens the requests of a customer and class produce.
//
// Output lengths are modelled as log-normal. Each customer and class has a decayed mean and variance
// of the logarithm, drawn towards those of the class while the customer has few samples.
package length

import (
	"container/list"
	"math"
)

const (
	// defaultCapacity bounds the customers that are remembered, least recently seen first out.
	defaultCapacity = 8192
	// decay is the weight that one new sample takes in a full estimate.
	decay = 0.02
	// priorSamples is how many samples of a customer weigh as much as its class.
	priorSamples = 8
	// startMean and startDeviation describe the logarithm of lengths before any sample.
	startMean      = 5.0
	startDeviation = 1.0
	minVariance    = 0.01
)

// Predictor predicts output lengths. It is not safe for concurrent use.
type Predictor struct {
	capacity int
	classes  map[string]*estimate
	flows    map[flowKey]*list.Element
	recent   *list.List
}

type flowKey struct{ customer, class string }

// Flow is what is known of one customer and class. It stays usable after the Model forgot it.
type Flow struct {
	key   flowKey
	class *estimate
	estimate
}

// estimate is a decayed mean and variance of ln(length).
type estimate struct {
	count    float64
	mean     float64
	variance float64
}

// New returns a Model that remembers at most capacity pairs of customer and class; zero means a
// default.
func New(capacity int) *Predictor {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return &Predictor{
		capacity: capacity,
		classes:  make(map[string]*estimate),
		flows:    make(map[flowKey]*list.Element),
		recent:   list.New(),
	}
}

// Flow returns the flow of a customer and class.
func (m *Predictor) Flow(customer, class string) *Flow {
	key := flowKey{customer, class}
	if el, ok := m.flows[key]; ok {
		m.recent.MoveToFront(el)
		return el.Value.(*Flow)
	}
	if m.recent.Len() >= m.capacity {
		oldest := m.recent.Back()
		delete(m.flows, oldest.Value.(*Flow).key)
		m.recent.Remove(oldest)
	}
	f := &Flow{key: key, class: m.class(class)}
	m.flows[key] = m.recent.PushFront(f)
	return f
}

// Observe records the true length of a finished output.
func (f *Flow) Observe(tokens int) {
	x := math.Log(math.Max(1, float64(tokens)))
	f.class.add(x)
	f.add(x)
}

// HasSamples reports whether any output of the class has ended.
func (f *Flow) HasSamples() bool { return f.class.count > 0 }

// Mean returns the expected output length of a new request, at most limit when limit is positive.
func (f *Flow) Mean(limit int) float64 {
	mu, variance := f.blend()
	return capped(math.Exp(mu+variance/2), limit)
}

// Remaining returns the expected number of further tokens of an output that has seen tokens so far.
func (f *Flow) Remaining(seen, limit int) float64 {
	if seen <= 0 {
		return f.Mean(limit)
	}
	mu, variance := f.blend()
	total := meanAbove(mu, math.Sqrt(variance), float64(seen))
	return math.Max(1, capped(total, limit)-float64(seen))
}

// Len returns the number of pairs of customer and class that are remembered.
func (m *Predictor) Len() int { return m.recent.Len() }

func (m *Predictor) class(name string) *estimate {
	e, ok := m.classes[name]
	if !ok {
		e = &estimate{mean: startMean, variance: startDeviation * startDeviation}
		m.classes[name] = e
	}
	return e
}

// blend mixes the estimates of the customer and of its class by the customer's number of samples.
func (f *Flow) blend() (mean, variance float64) {
	w := f.count / (f.count + priorSamples)
	mean = w*f.mean + (1-w)*f.class.mean
	variance = w*f.variance + (1-w)*f.class.variance
	return mean, math.Max(minVariance, variance)
}

func (e *estimate) add(x float64) {
	e.count++
	rate := math.Max(decay, 1/e.count)
	d := x - e.mean
	e.mean += rate * d
	e.variance = (1 - rate) * (e.variance + rate*d*d)
}

// meanAbove returns E[L | L > n] for a log-normal L.
func meanAbove(mu, sigma, n float64) float64 {
	z := (math.Log(n) - mu) / sigma
	tail := normalTail(z)
	if tail < 1e-9 {
		return n * (1 + sigma/math.Max(1, z))
	}
	return math.Exp(mu+sigma*sigma/2) * normalTail(z-sigma) / tail
}

// normalTail returns the probability that a standard normal variable exceeds z.
func normalTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

func capped(x float64, limit int) float64 {
	if limit > 0 {
		return math.Min(x, float64(limit))
	}
	return x
}
