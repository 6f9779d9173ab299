package pool

import "time"

const (
	tenthsPerUnit  = 10   // digests count slots and weights in tenths
	microsPerMilli = 1000 // digests count the time per cost unit in microseconds
	// minSheddingShare is the part of the hosts that must shed a tier before the other hosts hold lower tiers back.
	minSheddingShare = 0.1
)

// Digest is the sum of the summaries of some hosts for one pool, in a compact encoding: a CBOR array of small
// integers, so the order of the fields must not change. Trailing zeros of lists are left out.
type Digest struct {
	_             struct{} `cbor:",toarray"`
	Hosts         int
	PeriodMs      int   // milliseconds between digests
	Running       []int // by tier
	OfferedLoad   []int // tenths of slots, by tier
	Queued        []int // by tier
	Weight        []int // tenths, by tier
	DurableLoad   int   // tenths of slots
	MicrosPerCost int   // mean time in microseconds that a slot takes for one cost unit (token)
	ServiceTimeMs int   // mean time in milliseconds that a request occupies a slot
	SheddingHosts []int // number of hosts by the highest tier that they shed
}

// Digest returns the summary of this host as a Digest that is sent once per period.
func (p *Pool) Digest(now time.Time, period time.Duration) Digest {
	s := p.Summary(now)
	d := Digest{
		Hosts:         1,
		PeriodMs:      int(period.Milliseconds()),
		Running:       trimZeros(s.Running),
		Queued:        trimZeros(s.Queued),
		OfferedLoad:   trimZeros(toTenths(s.OfferedLoad)),
		Weight:        trimZeros(toTenths(s.Weight)),
		DurableLoad:   int(s.DurableLoad*tenthsPerUnit + 0.5),
		ServiceTimeMs: int(s.ServiceTime.Milliseconds()),
	}
	if s.ServiceTime > 0 {
		d.MicrosPerCost = int(s.SecondsPerCost * 1000 * microsPerMilli)
	}
	if s.ShedTier > 0 {
		d.SheddingHosts = make([]int, s.ShedTier)
		d.SheddingHosts[s.ShedTier-1] = 1
	}
	return d
}

// MergeDigests returns the sum of digests of different hosts. MicrosPerCost and ServiceTimeMs are means over
// the hosts that have measured them.
func MergeDigests(all []Digest) Digest {
	var sum Digest
	var measured, microsPerCost, serviceTime int
	for _, d := range all {
		sum.Hosts += d.Hosts
		sum.PeriodMs = max(sum.PeriodMs, d.PeriodMs)
		sum.Running = addLists(sum.Running, d.Running)
		sum.OfferedLoad = addLists(sum.OfferedLoad, d.OfferedLoad)
		sum.Queued = addLists(sum.Queued, d.Queued)
		sum.Weight = addLists(sum.Weight, d.Weight)
		sum.SheddingHosts = addLists(sum.SheddingHosts, d.SheddingHosts)
		sum.DurableLoad += d.DurableLoad
		if d.ServiceTimeMs > 0 {
			measured += d.Hosts
			microsPerCost += d.MicrosPerCost * d.Hosts
			serviceTime += d.ServiceTimeMs * d.Hosts
		}
	}
	if measured > 0 {
		sum.MicrosPerCost, sum.ServiceTimeMs = microsPerCost/measured, serviceTime/measured
	}
	return sum
}

// summary converts the sums of a digest to a Summary.
func (d Digest) summary() Summary {
	serviceTime := time.Duration(d.ServiceTimeMs) * time.Millisecond
	s := Summary{
		Queued: d.Queued, Running: d.Running, OfferedLoad: fromTenths(d.OfferedLoad), Weight: fromTenths(d.Weight),
		DurableLoad:    float64(d.DurableLoad) / tenthsPerUnit,
		SecondsPerCost: float64(d.MicrosPerCost) / 1000 / microsPerMilli, ServiceTime: serviceTime,
	}
	arrivalShare := 0.0
	if serviceTime > 0 {
		arrivalShare = demandLookahead.Seconds() / serviceTime.Seconds()
	}
	s.Demand = make([]float64, max(len(d.Queued), len(d.Running), len(d.OfferedLoad)))
	for t := range s.Demand {
		s.Demand[t] = float64(valueAt(d.Running, t)+valueAt(d.Queued, t)) + arrivalShare*valueAt(s.OfferedLoad, t)
	}
	return s
}

// shedTier returns the highest tier that at least minSheddingShare of the hosts shed, counted from 1; 0 for
// none. A host that sheds a tier counts for all lower tiers as well.
func (d Digest) shedTier() int {
	sum := 0
	for t, n := range d.SheddingHosts {
		if sum += n; float64(sum) >= minSheddingShare*float64(d.Hosts) {
			return t + 1
		}
	}
	return 0
}

func toTenths(list []float64) []int {
	all := make([]int, len(list))
	for i, v := range list {
		all[i] = int(v*tenthsPerUnit + 0.5)
	}
	return all
}

func fromTenths(list []int) []float64 {
	all := make([]float64, len(list))
	for i, v := range list {
		all[i] = float64(v) / tenthsPerUnit
	}
	return all
}

// trimZeros removes trailing zeros.
func trimZeros(list []int) []int {
	n := len(list)
	for n > 0 && list[n-1] == 0 {
		n--
	}
	return list[:n:n]
}

// addLists adds two lists element by element. The shorter list is extended with zeros.
func addLists(a, b []int) []int {
	sum := make([]int, max(len(a), len(b)))
	for i := range sum {
		sum[i] = valueAt(a, i) + valueAt(b, i)
	}
	return sum
}

func valueAt[T int | float64](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	return 0
}
