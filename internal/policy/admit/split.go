package admit

import (
	"math"
	"sort"
)

// Load is the demand of one host, or of a group of hosts, on the slots of a pool.
type Load struct {
	Host      string
	Demand    []float64 // slots asked for, by tier
	Weight    []float64 // summed weight of the customers with demand, by tier
	HostCount int       // hosts that the load is the sum of; 0 means one host
}

func (l Load) hostCount() float64 { return float64(max(1, l.HostCount)) }

// Split divides slots among hosts. It sorts loads by host and returns the share of each host in that order.
// Tiers are satisfied from the highest down. The first tier whose demand exceeds the remaining slots is divided
// by weight; slots that no tier asks for are divided equally. Hosts that know the same loads compute shares
// that add up to slots.
func Split(slots int, loads []Load) []int {
	sort.Slice(loads, func(i, j int) bool { return loads[i].Host < loads[j].Host })
	return roundShares(fairShares(slots, loads))
}

// OwnShare returns the share that Split gives to this host, up to rounding, when the loads of the other hosts
// are known only as sums over groups of hosts. The offset, from 0 to 1, differs by host, so that the rounded
// shares of all hosts add up to slots on average.
func OwnShare(slots int, own Load, others []Load, offset float64) int {
	shares := fairShares(slots, append([]Load{own}, others...))
	return int(math.Floor(shares[0] + offset))
}

func fairShares(slots int, loads []Load) []float64 {
	shares := make([]float64, len(loads))
	left, hosts := float64(slots), 0.0
	for t := 0; t < tierCount(loads) && left > 0; t++ {
		left -= fillTier(shares, loads, t, left)
	}
	for _, l := range loads {
		hosts += l.hostCount()
	}
	for i, l := range loads {
		shares[i] += left * l.hostCount() / hosts
	}
	return shares
}

func tierCount(loads []Load) int {
	n := 0
	for _, l := range loads {
		n = max(n, len(l.Demand))
	}
	return n
}

// fillTier adds to the share of each host its demand in tier t or, if the total demand exceeds left, a weighted
// max-min fair part of left. It returns the number of slots that were given out.
func fillTier(shares []float64, loads []Load, t int, left float64) float64 {
	unmet := make([]float64, len(loads))
	total := 0.0
	for i, l := range loads {
		if t < len(l.Demand) {
			unmet[i] = l.Demand[t]
			total += unmet[i]
		}
	}
	if total <= left {
		for i := range unmet {
			shares[i] += unmet[i]
		}
		return total
	}
	fillByWeight(shares, unmet, loads, t, left)
	return left
}

// fillByWeight divides left by weight among the hosts with unmet demand until no slots are left.
func fillByWeight(shares, unmet []float64, loads []Load, t int, left float64) {
	for left > 1e-9 {
		weight := 0.0
		for i, l := range loads {
			if unmet[i] > 0 {
				weight += weightOf(l, t)
			}
		}
		if weight == 0 {
			return
		}
		given := 0.0
		for i, l := range loads {
			if unmet[i] <= 0 {
				continue
			}
			g := math.Min(unmet[i], left*weightOf(l, t)/weight)
			shares[i] += g
			unmet[i] -= g
			if unmet[i] < 1e-9 {
				unmet[i] = 0
			}
			given += g
		}
		left -= given
	}
}

func weightOf(l Load, t int) float64 {
	if t < len(l.Weight) && l.Weight[t] > 0 {
		return l.Weight[t]
	}
	return l.hostCount()
}

// roundShares rounds the shares to whole slots. It rounds the cumulative sum, so that the rounded shares
// together do not exceed the available slots.
func roundShares(shares []float64) []int {
	rounded := make([]int, len(shares))
	sum, given := 0.0, 0
	for i, share := range shares {
		sum += share
		rounded[i] = int(math.Floor(sum+1e-6)) - given
		given += rounded[i]
	}
	return rounded
}

// TransitionLimits returns how many requests each host may run now, so that all hosts reach their shares
// without running more requests together than there are slots. Hosts that run more than their share release
// slots as requests finish; the slots that are free now are divided among the hosts that run fewer.
func TransitionLimits(slots int, shares, running []int) []int {
	free, missing := slots, 0
	for i, n := range running {
		free -= n
		missing += max(0, shares[i]-n)
	}
	free = max(0, free)
	limits := make([]int, len(shares))
	sum, given := 0.0, 0
	for i, n := range running {
		unmet := shares[i] - n
		if unmet <= 0 || missing <= free {
			limits[i] = shares[i]
			continue
		}
		sum += float64(free) * float64(unmet) / float64(missing)
		grant := int(sum+1e-6) - given
		given += grant
		limits[i] = n + grant
	}
	return limits
}
