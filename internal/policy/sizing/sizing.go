// Package sizing decides how many upstreams of a service each availability zone shall have, and of which sort.
//
// It answers bursts that last a few seconds: the need rises with the demand at once and falls only after the demand
// has been lower for a while. Upstreams that may be reclaimed cost a fraction of the others and are taken away a zone
// at a time, so they are spread evenly over the zones, and a floor of the others is kept. It is pure: the
// present time is passed in.
package sizing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what callers ask of a service.
type Demand struct {
	_              struct{} `cbor:",toarray"`
	PromptRate     float64  // prompt tokens a second that no other request shares
	ActiveRequests float64  // requests under way, waiting ones included
	Backlog        float64  // prompt tokens that were accepted and are not yet read
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{PromptRate: d.PromptRate + o.PromptRate, ActiveRequests: d.ActiveRequests + o.ActiveRequests, Backlog: d.Backlog + o.Backlog}
}

// Config configures a Planner.
type Config struct {
	Zones       []string           // with upstreams of the service, or that may get some
	Prices      map[string]float64 // by zone
	Min, Max    int                // upstreams of a zone, of both sorts together
	BootTime    time.Duration      // until an ordered upstream serves
	SpotPrice   float64            // as a part of the usual price; 0 when there are no reclaimable ones
	PrefillRate float64            // prompt tokens that one upstream reads in a second
	Slots       float64            // requests that one upstream runs at a time
}

// CapacityPool is where upstreams of one sort are ordered.
type CapacityPool struct {
	Zone string
	Spot bool
}

// Order is the number of upstreams that a place shall have.
type Order struct {
	CapacityPool
	Count int
}

const (
	// readShare is the part of an upstream's time that reading prompts may take, so that the wait for it stays short
	// against latency objectives of half a second; spotShare is that of cheap ones, which leaves room for a burst and
	// for the loss of a zone.
	readShare = 0.30
	spotShare = 0.13
	// runShare is the part of an upstream's slots that may be taken.
	runShare = 0.35
	// spare is the number of upstreams beyond the need, for the loss of one.
	spare = 1
	// leastTotal is the number of upstreams below which one loss would take too large a part; leastSpot is that of cheap
	// ones, of which a whole zone is lost at a time.
	leastTotal = 4
	leastSpot  = 8
	// startFactor is the number of cheap upstreams for each one that a fleet starts with.
	startFactor = 1.5
	// backlogTime is the time in which what waits to be read should be read.
	backlogTime = 4 * time.Second
	// fallTime is how long a lower need must last before upstreams are given back.
	fallTime = 8 * time.Second
	// refusedTime is how long a place that had none to give is not asked again.
	refusedTime = 4 * time.Second
	// repeatTime is how long after the boot time an order that shows no effect is given again.
	repeatTime = 2 * time.Second
)

// Planner plans one service. It is not safe for concurrent use.
type Planner struct {
	conf    Config
	needs   []need
	ordered map[CapacityPool]given
	refused map[CapacityPool]time.Time
	seen    bool // any demand
}

type need struct {
	at         time.Time
	hard, soft int
}

type given struct {
	count int
	at    time.Time
}

// New returns a Planner that has ordered nothing.
func New(c Config) *Planner {
	return &Planner{conf: c, ordered: map[CapacityPool]given{}, refused: map[CapacityPool]time.Time{}}
}

// Configure replaces the configuration, since the limits of a service change with it.
func (p *Planner) Configure(c Config) { p.conf = c }

// Need returns the upstreams that a demand asks for: hard ones of any sort, and as many cheap ones as soft.
func (p *Planner) Need(d Demand) (hard, soft int) {
	hard = p.size(d, readShare, leastTotal)
	if p.conf.SpotPrice <= 0 {
		return hard, 0
	}
	return hard, max(p.size(d, spotShare, leastSpot), hard)
}

func (p *Planner) size(d Demand, share float64, least int) int {
	n := 0.0
	if p.conf.PrefillRate > 0 {
		n += (d.PromptRate + d.Backlog/backlogTime.Seconds()) / (share * p.conf.PrefillRate)
	}
	if p.conf.Slots > 0 {
		n = max(n, d.ActiveRequests/(runShare*p.conf.Slots))
	}
	return max(int(math.Ceil(n))+spare, least)
}

// Plan returns the orders that are due. Have is the number of upstreams that serve and are not leaving. While the demand
// is not known whole, none is given back.
func (p *Planner) Plan(now time.Time, d Demand, have map[CapacityPool]int, whole bool) []Order {
	hard, soft := p.Need(d)
	if len(p.needs) == 0 {
		p.needs = append(p.needs, p.inherited(now, have))
	}
	if !p.seen {
		// A fleet without traffic so far keeps what is there for its first burst; entries come one by one.
		p.needs[0] = need{now, 0, max(p.needs[0].soft, p.inherited(now, have).soft)}
		p.seen = d.ActiveRequests > 0
	}
	p.needs = append(p.needs, need{now, hard, soft})
	for len(p.needs) > 1 && now.Sub(p.needs[0].at) > fallTime {
		p.needs = p.needs[1:]
	}
	for _, n := range p.needs {
		hard, soft = max(hard, n.hard), max(soft, n.soft)
	}
	total := 0
	for _, n := range have {
		total += n
	}
	targets := p.targets(now, hard, soft)
	wanted := 0
	for _, n := range targets {
		wanted += n
	}
	var orders []Order
	for place, count := range targets {
		// What is to take the place of others must serve before they are given back.
		least := wanted
		if both := have[place] + have[CapacityPool{place.Zone, true}]; !place.Spot && both >= p.conf.Max {
			least = hard // they take the room of cheap ones
		}
		if less := max(have[place], p.booting(now, place)) - count; less > 0 && (total-less < least || !whole) {
			continue
		}
		if p.isDue(now, place, count, have[place]) {
			total -= max(have[place]-count, 0)
			orders = append(orders, Order{place, count})
		}
	}
	// More comes before less, so that the service never has fewer than both.
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(rank(a, have)-rank(b, have), cmp.Compare(a.Zone, b.Zone))
	})
	return orders
}

func rank(o Order, have map[CapacityPool]int) int {
	if o.Count > have[o.CapacityPool] {
		return 0
	}
	return 1
}

// booting returns the upstreams of a place when the last order for it is carried out, zero after that time.
func (p *Planner) booting(now time.Time, at CapacityPool) int {
	if last, ok := p.ordered[at]; ok && now.Sub(last.at) <= p.conf.BootTime+repeatTime {
		return last.count
	}
	return 0
}

// inherited returns the need before the own one is known: what an earlier holder of the duty ordered, or, for a
// fleet that starts, more cheap ones than there are others, since no prefix is cached yet.
func (p *Planner) inherited(now time.Time, have map[CapacityPool]int) need {
	n, total := need{at: now}, 0
	for at, count := range have {
		total += count
		if at.Spot {
			n.soft += count
		}
	}
	if p.conf.SpotPrice > 0 {
		n.soft = max(n.soft, int(startFactor*float64(total-n.soft)))
	}
	return n
}

// isDue reports whether an order for a place would change something that no earlier order changes already.
func (p *Planner) isDue(now time.Time, at CapacityPool, count, have int) bool {
	last, ok := p.ordered[at]
	if ok && last.count == count {
		return have != count && now.Sub(last.at) > p.conf.BootTime+repeatTime
	}
	return have != count || ok
}

// targets spreads the upstreams over the places that are not refused.
func (p *Planner) targets(now time.Time, hard, soft int) map[CapacityPool]int {
	targets := map[CapacityPool]int{}
	for _, z := range p.conf.Zones {
		targets[CapacityPool{z, false}] = 0
		if at := (CapacityPool{z, true}); p.conf.SpotPrice > 0 && !now.Before(p.refused[at]) {
			targets[at] = 0
		}
	}
	total := 0
	for total < soft && p.grow(targets, true) {
		total++
	}
	for total < hard && p.grow(targets, false) {
		total++
	}
	p.fill(targets)
	return targets
}

// grow adds one upstream to the zone with the fewest that may have one more, the cheapest among equals.
func (p *Planner) grow(targets map[CapacityPool]int, spot bool) bool {
	best, fewest, found := CapacityPool{}, 0, false
	for _, z := range p.conf.Zones {
		at := CapacityPool{z, spot}
		if _, ok := targets[at]; !ok {
			continue
		}
		both := targets[CapacityPool{z, true}] + targets[CapacityPool{z, false}]
		if both >= p.conf.Max {
			continue
		}
		if !found || both < fewest || both == fewest && p.conf.Prices[z] < p.conf.Prices[best.Zone] {
			best, fewest, found = at, both, true
		}
	}
	if found {
		targets[best]++
	}
	return found
}

// fill gives each zone its least number of upstreams. A zone that had no cheap ones to give keeps what it has.
func (p *Planner) fill(targets map[CapacityPool]int) {
	for _, z := range p.conf.Zones {
		spot := CapacityPool{z, true}
		if _, ok := targets[spot]; !ok && p.conf.SpotPrice > 0 {
			continue
		}
		for targets[spot]+targets[CapacityPool{z, false}] < p.conf.Min {
			if p.conf.SpotPrice > 0 {
				targets[spot]++
			} else {
				targets[CapacityPool{z, false}]++
			}
		}
	}
}

// Accepted records that an order was taken.
func (p *Planner) Accepted(now time.Time, o Order) { p.ordered[o.CapacityPool] = given{o.Count, now} }

// Refused records that a place had none to give.
func (p *Planner) Refused(now time.Time, o Order) {
	p.refused[o.CapacityPool] = now.Add(refusedTime)
	delete(p.ordered, o.CapacityPool)
}
