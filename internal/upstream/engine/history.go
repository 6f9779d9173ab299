package engine

import (
	"sync"
	"time"
)

// estimate keeps a smoothed mean and mean deviation, as TCP does for round trips.
type estimate struct {
	mean, dev time.Duration
	n         int
}

const (
	meanShare = 8 // the newest value's share in the mean is 1/8
	devShare  = 4
)

func (e *estimate) add(d time.Duration) {
	e.n++
	if e.n == 1 {
		e.mean, e.dev = d, d/2
		return
	}
	diff := d - e.mean
	e.mean += diff / meanShare
	e.dev += (max(diff, -diff) - e.dev) / devShare
}

// limit returns the largest value that the history still explains.
func (e estimate) limit() time.Duration {
	return patienceFactor * (e.mean + devFactor*e.dev)
}

const (
	devFactor      = 4
	patienceFactor = 4
)

// gaps are the times between the events of one stream.
type gaps struct {
	first time.Duration
	sum   time.Duration
	n     int
	gap   estimate
}

func (g *gaps) add(d time.Duration, tokens int) {
	if g.first == 0 {
		g.first = max(d, 1)
		return
	}
	g.sum += d
	g.n += tokens
	g.gap.add(d)
}

// mean returns the mean time for each token after the first.
func (g *gaps) mean() time.Duration {
	if g.n == 0 {
		return 0
	}
	return g.sum / time.Duration(g.n)
}

// history holds the estimates of each engine over its streams.
type history struct {
	mu      sync.Mutex
	engines map[string]*past
}

type past struct {
	first, gap estimate
	echoes     bool // it has echoed an attempt id
}

func newHistory() *history {
	return &history{engines: map[string]*past{}}
}

func (h *history) of(addr string) *past {
	p := h.engines[addr]
	if p == nil {
		p = &past{}
		h.engines[addr] = p
	}
	return p
}

// start returns the gaps of a new stream, which go on from the engine's past.
func (h *history) start(addr string) gaps {
	h.mu.Lock()
	defer h.mu.Unlock()
	return gaps{gap: h.of(addr).gap}
}

// end merges the gaps of a stream into the engine's past.
func (h *history) end(addr string, g gaps) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.of(addr)
	if g.first > 0 {
		p.first.add(g.first)
	}
	if g.n > 0 {
		p.gap = g.gap
	}
}

// mustEcho notes whether an answer carries an attempt id and reports whether it has to.
func (h *history) mustEcho(addr string, echoed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.of(addr)
	p.echoes = p.echoes || echoed
	return p.echoes
}

func (h *history) firstLimit(addr string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.of(addr).first.limit()
}

func (h *history) gapLimit(addr string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.of(addr).gap.limit()
}
