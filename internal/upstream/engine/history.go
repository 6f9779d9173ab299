package engine

import (
	"sync"
	"time"
)

// estimate holds the smoothed mean and mean deviation of a duration, updated as TCP does for its
// round-trip time.
type estimate struct {
	mean, dev time.Duration
	n         int
}

const (
	meanDivisor = 8 // a new value has a weight of 1/8 in the mean
	devDivisor  = 4
)

func (e *estimate) add(d time.Duration) {
	e.n++
	if e.n == 1 {
		e.mean, e.dev = d, d/2
		return
	}
	diff := d - e.mean
	e.mean += diff / meanDivisor
	e.dev += (max(diff, -diff) - e.dev) / devDivisor
}

// limit returns the longest duration that is still normal given the values so far.
func (e estimate) limit() time.Duration {
	return limitFactor * (e.mean + devFactor*e.dev)
}

const (
	devFactor   = 4
	limitFactor = 4
)

// tokenTiming measures the times between the events of one stream.
type tokenTiming struct {
	first      time.Duration // time to the first token
	total      time.Duration // time from the first token to the last event with tokens
	tokenCount int           // tokens in the events after the first
	eventGap   estimate      // of the time between two events
}

func (t *tokenTiming) add(d time.Duration, tokens int) {
	if t.first == 0 {
		t.first = max(d, 1)
		return
	}
	t.total += d
	t.tokenCount += tokens
	t.eventGap.add(d)
}

// mean returns the mean time per token after the first event, or 0 before a second event.
func (t *tokenTiming) mean() time.Duration {
	if t.tokenCount == 0 {
		return 0
	}
	return t.total / time.Duration(t.tokenCount)
}

// history holds the latency estimates of each engine, by address, over all its streams.
type history struct {
	mu      sync.Mutex
	engines map[string]*engineHistory
}

type engineHistory struct {
	first, gap   estimate
	echoesID     bool // the engine echoes attempt ids
	missedEchoes int  // answers without an id since the last echo
}

func newHistory() *history {
	return &history{engines: map[string]*engineHistory{}}
}

func (h *history) engine(addr string) *engineHistory {
	p := h.engines[addr]
	if p == nil {
		p = &engineHistory{}
		h.engines[addr] = p
	}
	return p
}

// newTiming returns the timing of a new stream, initialized with the engine's estimate of the time between
// events.
func (h *history) newTiming(addr string) tokenTiming {
	h.mu.Lock()
	defer h.mu.Unlock()
	return tokenTiming{eventGap: h.engine(addr).gap}
}

// merge updates the estimates of an engine with the timing of a stream that has ended.
func (h *history) merge(addr string, timing tokenTiming) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.engine(addr)
	if timing.first > 0 {
		p.first.add(timing.first)
	}
	if timing.tokenCount > 0 {
		p.gap = timing.eventGap
	}
}

// maxMissedEchoes is the number of consecutive answers without an id after which the address counts as that of another
// engine, which does not echo ids.
const maxMissedEchoes = 3

// recordEcho records whether an answer echoes an attempt id and reports whether the answers of this engine
// have to: they must from the first echo on.
func (h *history) recordEcho(addr string, echoed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.engine(addr)
	if echoed {
		p.echoesID, p.missedEchoes = true, 0
		return true
	}
	p.missedEchoes++
	p.echoesID = p.echoesID && p.missedEchoes <= maxMissedEchoes
	return p.echoesID
}

func (h *history) firstLimit(addr string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine(addr).first.limit()
}

func (h *history) gapLimit(addr string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine(addr).gap.limit()
}
