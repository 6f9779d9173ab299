package place

// LatencyTracker compares how fast the upstreams of a service answer. It answers upstreams that turn slow while their health
// checks and load reports stay good. It is not safe for concurrent use.
type LatencyTracker struct {
	all  float64            // smoothed ratio of observed to expected delay over all upstreams
	each map[string]float64 // the same by upstream
}

const (
	// baseDelay is added to each expected delay: what an answer takes that waits for nothing, in milliseconds.
	baseDelay = 100.0
	// eachShare and allShare are the parts of the newest sample in the smoothed ratios.
	eachShare = 0.2
	allShare  = 0.02
	// maxSlow bounds the slowness, so that one bad sample does not keep an upstream out for long.
	maxSlow = 6.0
	// minSlow is the slowness below which an upstream counts as healthy.
	minSlow = 1.6
)

// NewLatencyTracker returns a Pace without samples.
func NewLatencyTracker() *LatencyTracker { return &LatencyTracker{each: map[string]float64{}} }

// Observe takes the delay of an upstream's first event and the delay that was expected, in milliseconds.
func (p *LatencyTracker) Observe(upstream string, observed, expected float64) {
	ratio := min(observed/(expected+baseDelay), 2*maxSlow)
	if p.all == 0 {
		p.all = ratio
	}
	p.all += allShare * (ratio - p.all)
	old, ok := p.each[upstream]
	if !ok {
		old = p.all
	}
	p.each[upstream] = old + eachShare*(ratio-old)
}

// Slowdown returns the slowness of an upstream relative to all, 1 for a healthy one.
func (p *LatencyTracker) Slowdown(upstream string) float64 {
	each, ok := p.each[upstream]
	if !ok || p.all <= 0 || each < minSlow*p.all {
		return 1
	}
	return min(each/p.all, maxSlow)
}

// Forget drops an upstream.
func (p *LatencyTracker) Forget(upstream string) { delete(p.each, upstream) }

// Recover lets a slow upstream that gets no requests return: its ratio moves a little towards that of all.
func (p *LatencyTracker) Recover() {
	for id, each := range p.each {
		p.each[id] = each + recoverShare*(p.all-each)
	}
}

// recoverShare is the part by which a ratio moves towards the common one at each call of Recover.
const recoverShare = 0.05
