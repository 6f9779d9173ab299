package scale

import (
	"sort"
	"time"

	"github.com/samber/lo"
)

// Plan compares what there is with what is needed and returns orders: at once for more upstreams,
// and for fewer only when the need has been lower for a while. What leaves is stopped once it runs
// nothing.
func (p *Planner) Plan(now time.Time, ups []Upstream) []Order {
	keep := p.needs.add(now, p.Need())
	staying := lo.Filter(ups, func(u Upstream, _ int) bool { return u.State != Draining })
	orders := p.stops(ups)
	allowed := p.allowance(now, len(staying))
	changes := p.starts(now, p.missing(), staying)
	if len(changes) == 0 {
		changes = p.drains(keep, staying)
	}
	changes = changes[:min(allowed, len(changes))]
	p.ordered += len(changes)
	return append(orders, changes...)
}

// stops ends drained upstreams. A reclaimed one that still runs work is left to the platform.
func (p *Planner) stops(ups []Upstream) []Order {
	var orders []Order
	for _, u := range ups {
		if u.State == Draining && u.Running == 0 {
			orders = append(orders, Order{Action: Stop, Zone: u.Zone, Reclaimable: u.Reclaimable, Upstream: u.ID})
		}
	}
	return orders
}

// starts orders what is missing. Reclaimable upstreams that no zone gives are replaced by durable
// ones, and durable ones serve what reclaimable ones could.
func (p *Planner) starts(now time.Time, need Size, staying []Upstream) []Order {
	count := counts(staying)
	have := Size{Durable: total(count, false), Reclaimable: total(count, true)}
	var orders []Order
	order := func(cheap bool) bool {
		zone, ok := p.emptiest(now, count, cheap)
		if !ok {
			return false
		}
		count[place{zone, cheap}]++
		orders = append(orders, Order{Action: Start, Zone: zone, Reclaimable: cheap})
		return true
	}
	for have.Durable < need.Durable && order(false) {
		have.Durable++
	}
	for have.Total() < need.Total() {
		if !order(true) && !order(false) {
			break
		}
		have.Reclaimable++
	}
	return orders
}

// emptiest returns the zone with the fewest upstreams of a sort among those that may be asked.
func (p *Planner) emptiest(now time.Time, count map[place]int, cheap bool) (zone string, ok bool) {
	for _, z := range p.config.Zones {
		at := place{z, cheap}
		if p.isPaused(now, at) {
			continue
		}
		if !ok || count[at] < count[place{zone, cheap}] {
			zone, ok = z, true
		}
	}
	return zone, ok
}

// drains orders the surplus to be drained: durable upstreams beyond their need first, since they
// cost more, then reclaimable ones, each from the fullest zone and the least busy of it.
func (p *Planner) drains(keep Size, staying []Upstream) []Order {
	count := counts(staying)
	have := Size{Durable: total(count, false), Reclaimable: total(count, true)}
	left := append([]Upstream(nil), staying...)
	var orders []Order
	drain := func(cheap bool) {
		i := victim(left, count, cheap)
		u := left[i]
		left = append(left[:i], left[i+1:]...)
		count[place{u.Zone, cheap}]--
		orders = append(orders, Order{Action: Drain, Zone: u.Zone, Reclaimable: cheap, Upstream: u.ID})
	}
	for have.Total() > keep.Total() && have.Durable > keep.Durable {
		drain(false)
		have.Durable--
	}
	for have.Total() > keep.Total() && have.Reclaimable > 0 {
		drain(true)
		have.Reclaimable--
	}
	return orders
}

// victim returns the index of the upstream of a sort that is drained first.
func victim(ups []Upstream, count map[place]int, cheap bool) int {
	indexes := lo.FilterMap(ups, func(u Upstream, i int) (int, bool) { return i, u.Reclaimable == cheap })
	sort.Slice(indexes, func(a, b int) bool {
		x, y := ups[indexes[a]], ups[indexes[b]]
		if cx, cy := count[place{x.Zone, cheap}], count[place{y.Zone, cheap}]; cx != cy {
			return cx > cy
		}
		if x.Running != y.Running {
			return x.Running < y.Running
		}
		return x.ID < y.ID
	})
	return indexes[0]
}

func counts(ups []Upstream) map[place]int {
	return lo.CountValuesBy(ups, func(u Upstream) place { return place{u.Zone, u.Reclaimable} })
}

func total(count map[place]int, cheap bool) (n int) {
	for at, c := range count {
		if at.cheap == cheap {
			n += c
		}
	}
	return n
}
