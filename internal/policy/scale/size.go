package scale

import "math"

// Size is a number of upstreams by type.
type Size struct {
	Durable     int
	Reclaimable int
}

// Total returns the number of upstreams of both types.
func (s Size) Total() int { return s.Durable + s.Reclaimable }

// requiredSize returns the fewest upstreams that serve a demand with the configured headroom and still serve the protected
// part of that demand when the zone with the most reclaimable upstreams is lost. A fractional need of up to tolerance
// upstreams is not rounded up.
func requiredSize(c Config, demand Demand, tolerance float64) Size {
	slots := float64(max(1, c.Slots))
	durable := ceil(demand.Durable*(1+c.Headroom)/slots - tolerance)
	total := max(ceil(demand.Slots*(1+c.Headroom)/slots-tolerance), durable, c.Min)
	s := Size{Durable: durable, Reclaimable: total - durable}
	zones := max(1, len(c.Zones))
	for minAfterLoss := ceil(demand.protected()/slots - tolerance); s.Total()-largestZone(s.Reclaimable, zones) < minAfterLoss; {
		if zones == 1 {
			s.Durable++
			continue
		}
		s.Reclaimable++
	}
	return s.limitTo(c.Max)
}

// limitTo reduces a Size to at most limit upstreams, reclaimable ones first. A limit of zero or less means no limit.
func (s Size) limitTo(limit int) Size {
	if limit <= 0 || s.Total() <= limit {
		return s
	}
	s.Durable = min(s.Durable, limit)
	s.Reclaimable = limit - s.Durable
	return s
}

// largestZone returns the upstreams of the fullest zone when n upstreams are spread evenly over the zones.
func largestZone(n, zones int) int { return (n + zones - 1) / zones }

// protected returns the demand that must be served even after the loss of a zone: that of all tiers except the lowest one
// with any demand, or all demand if only one tier has any.
func (d Demand) protected() float64 {
	sum, tiers, last := 0.0, 0, 0.0
	for _, t := range d.Tiers {
		if t > 0 {
			sum += t
			tiers++
			last = t
		}
	}
	if tiers < 2 {
		return d.Slots
	}
	return sum - last
}

// ceil rounds x up. It tolerates rounding errors in x of up to 1e-9.
func ceil(x float64) int { return int(math.Ceil(x - 1e-9)) }
