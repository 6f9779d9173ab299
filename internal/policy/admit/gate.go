// Package admit holds the admission state of a pool and divides its slots among hosts.
//
// A Gate estimates how long a request would wait, and remembers which tiers this host and other hosts are
// shedding, that is, refusing because of overload. While any host sheds a tier, every host holds back the lower
// tiers: their requests are not admitted. Tier 0 is the highest.
package admit

import (
	"math"
	"time"
)

const (
	// holdBackTime is how long lower tiers stay held back after a request of a tier was shed.
	holdBackTime = time.Second
	// shedRunGap is the time without a shed of a tier after which the next shed begins a new run.
	shedRunGap = 3 * time.Second
	// minSampleWeight is the weight of one finished request in the moving averages of secondsPerCost and
	// serviceTime. The first requests weigh more.
	minSampleWeight = 0.02
	// maxSampleFactor bounds the samples of one finished request, in multiples of the averages.
	maxSampleFactor = 8
	// initialSecondsPerCost is the value of secondsPerCost before any request has finished.
	initialSecondsPerCost = 0.03
	// minRemainingShare is the part of all slots that higher tiers are assumed to leave free at least.
	minRemainingShare = 0.05
	// minRetryAfter and maxRetryAfter bound the retry-after time of refused requests. maxRetryAfter also bounds
	// the estimated wait.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// NoTier is returned in place of a tier number when no tier is shed.
const NoTier = -1

// Gate is the admission state of one pool on one host. It is not safe for concurrent use.
type Gate struct {
	lastLocalShed  []time.Time // by tier, last shed on this host
	shedRunStart   []time.Time // by tier, start of the present run of sheds on this host
	lastRemoteShed []time.Time // by tier, last known shed on another host
	arrivalRates   []Rate      // by tier, in cost units
	secondsPerCost float64     // mean time that one slot takes for one cost unit
	samples        float64
	serviceTime    time.Duration // mean time that a request occupies a slot
	heldBackSince  time.Time     // start of the present period in which lower tiers are held back
	heldBackUntil  time.Time
}

// New returns a Gate for tiers 0 to tiers-1.
func New(tiers int) *Gate {
	return &Gate{
		lastLocalShed:  make([]time.Time, tiers),
		shedRunStart:   make([]time.Time, tiers),
		lastRemoteShed: make([]time.Time, tiers),
		arrivalRates:   make([]Rate, tiers),
		secondsPerCost: initialSecondsPerCost,
	}
}

// Resize changes the number of tiers. It keeps the state of the tiers below the new number.
func (g *Gate) Resize(tiers int) {
	localSheds, remoteSheds, runStarts := make([]time.Time, tiers), make([]time.Time, tiers), make([]time.Time, tiers)
	rates := make([]Rate, tiers)
	copy(localSheds, g.lastLocalShed)
	copy(remoteSheds, g.lastRemoteShed)
	copy(runStarts, g.shedRunStart)
	copy(rates, g.arrivalRates)
	g.lastLocalShed, g.lastRemoteShed, g.shedRunStart, g.arrivalRates = localSheds, remoteSheds, runStarts, rates
}

// RecordArrival counts an arriving request of a tier and its estimated cost, whether the request is refused
// later or not.
func (g *Gate) RecordArrival(now time.Time, tier int, cost float64) {
	g.arrivalRates[tier].Add(now, cost)
}

// RecordCompletion updates the averages with a complete answer that occupied a slot for d. The effect of one
// answer is bounded, since a stalled answer says nothing about the others.
func (g *Gate) RecordCompletion(cost float64, d time.Duration) {
	if cost <= 0 || d <= 0 {
		return
	}
	if g.samples == 0 {
		g.secondsPerCost, g.serviceTime = d.Seconds()/cost, d
	}
	g.samples++
	weight := math.Max(minSampleWeight, 1/g.samples)
	sample := math.Min(d.Seconds()/cost, maxSampleFactor*g.secondsPerCost)
	g.secondsPerCost += weight * (sample - g.secondsPerCost)
	g.serviceTime += time.Duration(weight * float64(min(d, maxSampleFactor*g.serviceTime)-g.serviceTime))
}

// AdoptEstimates takes over the averages of another host if this host has not measured any yet.
func (g *Gate) AdoptEstimates(secondsPerCost float64, serviceTime time.Duration) {
	if g.samples > 0 || secondsPerCost <= 0 || serviceTime <= 0 {
		return
	}
	g.secondsPerCost, g.serviceTime, g.samples = secondsPerCost, serviceTime, 1
}

// ServiceTime returns the mean time that a request occupies a slot, zero before any request has finished.
func (g *Gate) ServiceTime() time.Duration {
	if g.samples == 0 {
		return 0
	}
	return g.serviceTime
}

// TimeToFreeSlot returns the mean time until one of the given number of busy slots becomes free.
func (g *Gate) TimeToFreeSlot(slots int) time.Duration {
	return g.ServiceTime() / time.Duration(max(1, slots))
}

// SecondsPerCost returns the mean time in seconds that one slot takes for one cost unit.
func (g *Gate) SecondsPerCost() float64 { return g.secondsPerCost }

// OfferedLoad returns the number of slots that the arrivals of a tier would keep busy, refused ones included.
func (g *Gate) OfferedLoad(now time.Time, tier int) float64 {
	return g.arrivalRates[tier].PerSecond(now) * g.secondsPerCost
}

// EstimateWait estimates how long a request of a tier waits when costAhead cost units are served before the
// request, on slots slots, while higher tiers keep arriving. It returns zero before any request has finished,
// so that no request is refused without a measurement.
func (g *Gate) EstimateWait(now time.Time, tier int, costAhead, slots float64) time.Duration {
	if costAhead <= 0 || g.samples == 0 {
		return 0
	}
	remaining := slots * minRemainingShare
	free := slots
	for t := 0; t < tier; t++ {
		free -= g.OfferedLoad(now, t)
	}
	remaining = math.Max(remaining, free)
	if remaining <= 0 {
		return maxRetryAfter
	}
	return secondsToDuration(math.Min(costAhead*g.secondsPerCost/remaining, maxRetryAfter.Seconds()))
}

// RecordShed records that this host shed a request of a tier.
func (g *Gate) RecordShed(now time.Time, tier int) {
	if now.Sub(g.lastLocalShed[tier]) > shedRunGap {
		g.shedRunStart[tier] = now
	}
	g.lastLocalShed[tier] = now
}

// LocalShedTier returns the highest tier that this host sheds, or NoTier, and the time since the last shed of
// that tier.
func (g *Gate) LocalShedTier(now time.Time) (tier int, age time.Duration) {
	for t, at := range g.lastLocalShed {
		if isRecent(now, at) {
			return t, now.Sub(at)
		}
	}
	return NoTier, 0
}

// RecordRemoteShed records that another host last shed a tier at the given age before now. It ignores unknown
// tiers and NoTier.
func (g *Gate) RecordRemoteShed(now time.Time, tier int, age time.Duration) {
	if tier < 0 || tier >= len(g.lastRemoteShed) {
		return
	}
	if at := now.Add(-age); at.After(g.lastRemoteShed[tier]) {
		g.lastRemoteShed[tier] = at
	}
}

// HighestShedTier returns the highest tier that any host sheds, or NoTier. Every lower tier is held back. The
// call also tracks since when lower tiers are held back, so it has to be made regularly.
func (g *Gate) HighestShedTier(now time.Time) int {
	for t := range g.lastLocalShed {
		if isRecent(now, g.lastLocalShed[t]) || isRecent(now, g.lastRemoteShed[t]) {
			g.extendHoldBack(now)
			return t
		}
	}
	return NoTier
}

func isRecent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < holdBackTime }

// extendHoldBack extends the present period in which lower tiers are held back, or begins a new period.
func (g *Gate) extendHoldBack(now time.Time) {
	if now.After(g.heldBackUntil) {
		g.heldBackSince = now
	}
	g.heldBackUntil = now.Add(holdBackTime)
}

// RetryAfter returns the retry-after time for a caller whose request was just shed: the time after which the
// estimated wait would be down to limit or, if longer, the time for which the run of sheds of its tier is
// expected to continue.
func (g *Gate) RetryAfter(now time.Time, tier int, wait, limit time.Duration) time.Duration {
	return clampRetryAfter(max(wait-limit, expectedRemaining(g.shedRunLength(now, tier))))
}

// RetryAfterHeldBack returns the retry-after time for a caller whose tier is held back: the time for which the
// overload is expected to continue, plus holdBackTime for each tier between the shed tier and this one, since
// these tiers are admitted again first.
func (g *Gate) RetryAfterHeldBack(now time.Time, tier int) time.Duration {
	between := 0
	if held := g.HighestShedTier(now); held != NoTier {
		between = max(0, tier-held-1)
	}
	lasted := max(now.Sub(g.heldBackSince), g.shedRunLength(now, tier))
	return clampRetryAfter(expectedRemaining(lasted) + time.Duration(between)*holdBackTime)
}

// shedRunLength returns for how long this host has been shedding a tier, zero if the host is not shedding the
// tier.
func (g *Gate) shedRunLength(now time.Time, tier int) time.Duration {
	if g.lastLocalShed[tier].IsZero() || now.Sub(g.lastLocalShed[tier]) > shedRunGap {
		return 0
	}
	return now.Sub(g.shedRunStart[tier])
}

// expectedRemaining returns the time from now after which an overload that has lasted for some time is more
// likely over than not. Durations of bursts have a long tail: a burst that has lasted t lasts longer than 2t
// in about half of the cases, and longer than 2.5t in two of five.
func expectedRemaining(lasted time.Duration) time.Duration { return lasted + lasted/2 }

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
