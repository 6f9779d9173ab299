package admit

import (
	"math"
	"sort"
)

// Load is what one host asks of a pool, per tier.
type Load struct {
	Host   string
	Want   []float64 // running and waiting requests
	Weight []float64 // summed weight of the customers behind them
}

// Split divides slots among hosts and returns how many host may use. Tiers are satisfied in order;
// the tier that does not fit is divided by weight, and what is left over is divided equally. Hosts
// with the same view compute shares that add up to slots.
func Split(slots int, loads []Load, host string) int {
	sort.Slice(loads, func(i, j int) bool { return loads[i].Host < loads[j].Host })
	shares := make([]float64, len(loads))
	left := float64(slots)
	for t := 0; t < tiersOf(loads) && left > 0; t++ {
		left -= fill(shares, loads, t, left)
	}
	for i := range shares {
		shares[i] += left / float64(len(shares))
	}
	return round(shares, loads, host)
}

func tiersOf(loads []Load) int {
	n := 0
	for _, l := range loads {
		n = max(n, len(l.Want))
	}
	return n
}

// fill gives each host its want in one tier, or a max-min fair part of it by weight.
func fill(shares []float64, loads []Load, t int, left float64) float64 {
	want := make([]float64, len(loads))
	total := 0.0
	for i, l := range loads {
		if t < len(l.Want) {
			want[i] = l.Want[t]
			total += want[i]
		}
	}
	if total <= left {
		for i := range want {
			shares[i] += want[i]
		}
		return total
	}
	pour(shares, want, loads, t, left)
	return left
}

// pour divides left by weight among the hosts with unmet wants until nothing is left.
func pour(shares, want []float64, loads []Load, t int, left float64) {
	for left > 1e-9 {
		weight := 0.0
		for i, l := range loads {
			if want[i] > 0 {
				weight += weightOf(l, t)
			}
		}
		if weight == 0 {
			return
		}
		given := 0.0
		for i, l := range loads {
			if want[i] <= 0 {
				continue
			}
			g := math.Min(want[i], left*weightOf(l, t)/weight)
			shares[i] += g
			want[i] -= g
			if want[i] < 1e-9 {
				want[i] = 0
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
	return 1
}

// round turns the running sum of shares into whole slots, so that all hosts together get no more
// than there are.
func round(shares []float64, loads []Load, host string) int {
	sum := 0.0
	for i, l := range loads {
		before := math.Floor(sum + 1e-6)
		sum += shares[i]
		if l.Host == host {
			return int(math.Floor(sum+1e-6) - before)
		}
	}
	return 0
}
