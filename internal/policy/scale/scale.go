// Package scale decides how many upstreams a pool has per availability zone, durable or
// reclaimable, from its demand.
//
// A Planner forecasts demand over the time that an upstream takes to start, keeps headroom for the
// loss of the zone with the most reclaimable upstreams, and turns the difference to what there is
// into a bounded number of orders. It is pure and keeps nothing that a successor could not learn
// again within minutes.
package scale

import (
	"math"
	"time"
)

const (
	// downWindow is how long a lower need must last before upstreams are drained.
	downWindow = 5 * time.Minute
	// deadBand is the part of an upstream by which demand must exceed what there is.
	deadBand = 0.15
	// orderPeriod is the time in which a bounded number of orders is given.
	orderPeriod = 30 * time.Second
	// orderPart and minOrders bound the orders of a period, by the size of the pool.
	orderPart = 0.25
	minOrders = 3
	// firstBackOff and maxBackOff bound the time for which a zone that refused is not asked again.
	firstBackOff = 15 * time.Second
	maxBackOff   = 10 * time.Minute
	// defaultLead is the time that an upstream takes to start when none is configured.
	defaultLead = 90 * time.Second
)

// Config configures a Planner.
type Config struct {
	Slots       int // of one upstream
	Min, Max    int // upstreams; a Max of zero is no bound
	Headroom    float64
	Zones       []string
	StartupTime time.Duration // time that an upstream takes to start
}

// Demand is what all hosts together ask of the pool.
type Demand struct {
	Slots   float64   // slots that the arrivals keep busy
	Durable float64   // of them, those that must be on durable upstreams
	Tiers   []float64 // Slots by tier
}

// State is the state of an upstream.
type State int

// The states.
const (
	Starting State = iota
	Ready
	Draining // takes no new work
)

// Upstream is one upstream of the pool.
type Upstream struct {
	ID          string
	Zone        string
	Reclaimable bool
	State       State
	Running     int
}

// Action is what an Order asks for.
type Action int

// The actions.
const (
	Start Action = iota // a new upstream in Zone
	Drain               // no new work for Upstream
	Stop                // end Upstream, which runs nothing
)

// Order is one order for the platform.
type Order struct {
	Action      Action
	Zone        string
	Reclaimable bool
	Upstream    string
}

// Planner plans one pool. It is not safe for concurrent use.
type Planner struct {
	config   Config
	forecast forecast
	demand   Demand
	needs    window
	backOff  map[place]*pause
	period   time.Time
	ordered  int
}

// place is where an upstream may be ordered.
type place struct {
	zone  string
	cheap bool
}

type pause struct {
	until time.Time
	wait  time.Duration
}

// New returns a Planner that has seen no demand.
func New(conf Config) *Planner {
	if conf.StartupTime <= 0 {
		conf.StartupTime = defaultLead
	}
	return &Planner{config: conf, backOff: make(map[place]*pause)}
}

// Observe takes the present demand, every few seconds.
func (p *Planner) Observe(now time.Time, d Demand) {
	p.forecast.observe(now, d.Slots)
	p.demand = d
}

// Need returns the upstreams that the forecast demand asks for.
func (p *Planner) Need() Size {
	return size(p.config, p.scaled(p.forecast.at(p.config.StartupTime)), 0)
}

// missing returns the upstreams below which more are started. It lies a little under Need, so that
// noise around a whole number of upstreams does not start one and drain it again.
func (p *Planner) missing() Size {
	return size(p.config, p.scaled(p.forecast.at(p.config.StartupTime)), deadBand)
}

// scaled returns the last demand, scaled to total slots.
func (p *Planner) scaled(total float64) Demand {
	d := Demand{Slots: total, Tiers: make([]float64, len(p.demand.Tiers))}
	if p.demand.Slots <= 0 {
		return d
	}
	f := total / p.demand.Slots
	d.Durable = p.demand.Durable * f
	for i, t := range p.demand.Tiers {
		d.Tiers[i] = t * f
	}
	return d
}

// Refused records that the platform refused to start an upstream there.
func (p *Planner) Refused(now time.Time, zone string, reclaimable bool) {
	at := place{zone, reclaimable}
	b, ok := p.backOff[at]
	if !ok {
		b = &pause{wait: firstBackOff / 2}
		p.backOff[at] = b
	}
	b.wait = min(2*b.wait, maxBackOff)
	b.until = now.Add(b.wait)
}

// Accepted records that the platform starts an upstream there.
func (p *Planner) Accepted(zone string, reclaimable bool) {
	delete(p.backOff, place{zone, reclaimable})
}

func (p *Planner) isPaused(now time.Time, at place) bool {
	b, ok := p.backOff[at]
	return ok && now.Before(b.until)
}

// allowance returns how many orders may still be given in the present period.
func (p *Planner) allowance(now time.Time, have int) int {
	if now.Sub(p.period) >= orderPeriod {
		p.period, p.ordered = now, 0
	}
	bound := max(minOrders, int(math.Ceil(orderPart*float64(have))))
	return max(0, bound-p.ordered)
}
