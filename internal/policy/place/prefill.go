package place

import (
	"math"
	"slices"
	"time"
)

// PrefillTracker estimates how fast the upstreams of a service prefill prompts when nothing holds them up, from the delays of first response
// events. It is not safe for concurrent use.
type PrefillTracker struct {
	samples []float64 // tokens per millisecond, of the last prefillSamples long prompts
	next    int
	rate    float64
}

const (
	prefillSamples    = 64
	minPrefillSamples = 16
	// minPrefillTokens is the number of uncached tokens from which the prefill makes up most of the delay.
	minPrefillTokens = 3000
	// prefillQuantile selects the samples that waited for little else. The highest ones are of prompts of which more was cached than expected.
	prefillQuantile = 0.7
	// minPrefillRate and maxPrefillRate bound the estimate, in tokens per millisecond.
	minPrefillRate = 10
	maxPrefillRate = 200
)

// Observe records the delay of the first response event to a prompt with a number of uncached tokens, behind others that were not prefilled
// yet. Short prompts are ignored.
func (t *PrefillTracker) Observe(uncached, ahead int, delay time.Duration) {
	ms := float64(delay) / float64(time.Millisecond)
	if uncached < minPrefillTokens || ms <= 0 {
		return
	}
	sample := min(max(float64(uncached+ahead)/ms, minPrefillRate), maxPrefillRate)
	if len(t.samples) < prefillSamples {
		t.samples = append(t.samples, sample)
	} else {
		t.samples[t.next] = sample
		t.next = (t.next + 1) % prefillSamples
	}
	if len(t.samples) >= minPrefillSamples {
		sorted := slices.Sorted(slices.Values(t.samples))
		t.rate = sorted[int(prefillQuantile*float64(len(sorted)-1))]
	}
}

// Rate returns the estimate in tokens per millisecond; ok is false before there are enough samples.
func (t *PrefillTracker) Rate() (tokensPerMs float64, ok bool) { return t.rate, t.rate > 0 }

// Report is what an upstream stated about its present speed.
type Report struct {
	Slowdown float64 // how long work takes, relative to the usual time; 0 if not stated
	Age      time.Duration
}

// reportDecay is the time constant with which a report loses its meaning. Other users of the machine come and go within about half a second.
const reportDecay = 300 * time.Millisecond

// expected returns the slowdown to expect now: the reported one while it is new, and the usual speed later.
func (r Report) expected() float64 {
	if r.Slowdown <= 0 {
		return 1
	}
	return 1 + (r.Slowdown-1)*math.Exp(-float64(max(r.Age, 0))/float64(reportDecay))
}

// keptTokens returns how many cached tokens of a prompt a candidate can be expected to hold still when the request begins. Cached prefixes
// have the memory that running requests leave; if that is less than the request itself needs, the candidate evicts some to admit it.
func (c Candidate) keptTokens(r Request, cached int) int {
	need := max(r.MemoryTokens, r.PromptTokens)
	if c.MemoryCapacity <= 0 || need <= 0 {
		return cached
	}
	room := float64(c.MemoryCapacity-c.MemoryTokens) / float64(need)
	return int(float64(cached) * min(max(room, 0), 1))
}

// overflowTokens returns how many tokens of running requests a candidate has to drop, and prefill again later, to admit the request beyond its
// memory.
func (c Candidate) overflowTokens(r Request) int {
	if c.MemoryCapacity <= 0 {
		return 0
	}
	return min(max(c.MemoryTokens+r.MemoryTokens-c.MemoryCapacity, 0), r.MemoryTokens)
}
