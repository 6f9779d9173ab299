package pool

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/policy/admit"
	"hickorypath/internal/policy/route"
)

// Summary is the state of one pool on one host that the hosts send to each other, several times a second.
type Summary struct {
	Queued            []int          `cbor:"q"` // by tier
	Running           []int          `cbor:"r"` // by tier
	Demand            []float64      `cbor:"n"` // slots asked for, by tier
	Weight            []float64      `cbor:"w"` // summed weight of the waiting customers, by tier
	Zone              string         `cbor:"z"`
	ShedTier          int            `cbor:"s"` // highest tier that the host sheds, counted from 1; 0 for none
	ShedAge           time.Duration  `cbor:"a"` // time since ShedTier was last shed
	RunningByUpstream map[string]int `cbor:"u"` // running requests
	SecondsPerCost    float64        `cbor:"p"` // mean time that a slot takes for one cost unit (token)
	ServiceTime       time.Duration  `cbor:"t"` // mean time that a request occupies a slot, zero when unknown
	OfferedLoad       []float64      `cbor:"o"` // slots that the arrivals would keep busy, by tier
	DurableLoad       float64        `cbor:"d"` // part of OfferedLoad that must run on durable upstreams
}

type peer struct {
	Summary
	at time.Time
}

// TierDepth is the number of requests of one tier on this host.
type TierDepth struct {
	Tier    int
	Queued  int
	Running int
}

// Demand is the demand of all known hosts on the pool.
type Demand struct {
	Slots        float64   // slots that the arrivals would keep busy, refused requests included
	DurableSlots float64   // part of Slots that must be on durable upstreams
	SlotsByTier  []float64 // Slots, by tier
	Queued       int
	Running      int
}

// Summary returns the summary of this host, to be sent to the other hosts.
func (p *Pool) Summary(now time.Time) Summary {
	shed, age := p.gate.LocalShedTier(now)
	s := Summary{
		Queued:            make([]int, p.queue.Tiers()),
		Running:           append([]int(nil), p.runningByTier...),
		Demand:            p.demand(now),
		Weight:            make([]float64, p.queue.Tiers()),
		Zone:              p.zone,
		ShedTier:          shed + 1,
		ShedAge:           age,
		RunningByUpstream: make(map[string]int, len(p.runningByUpstream)),
		SecondsPerCost:    p.gate.SecondsPerCost(),
		ServiceTime:       p.gate.ServiceTime(),
		OfferedLoad:       make([]float64, p.queue.Tiers()),
		DurableLoad:       p.durableRate.PerSecond(now) * p.gate.SecondsPerCost(),
	}
	for t := range s.Queued {
		s.Queued[t] = p.queue.Depth(t)
		s.Weight[t] = p.queue.ActiveWeight(t)
		s.OfferedLoad[t] = p.gate.OfferedLoad(now, t)
	}
	for id, n := range p.runningByUpstream {
		s.RunningByUpstream[id] = n
	}
	return s
}

// ReceiveSummary takes the summary of another host. Aggregates of other hosts are dropped.
func (p *Pool) ReceiveSummary(now time.Time, host string, s Summary) {
	if host == p.host {
		return
	}
	p.dropAggregates(now)
	p.peers[host] = peer{Summary: s, at: now}
	p.gate.RecordRemoteShed(now, s.ShedTier-1, s.ShedAge)
	p.gate.AdoptEstimates(s.SecondsPerCost, s.ServiceTime)
	p.balancer.UpdatePeer(now, host, s.RunningByUpstream)
}

// Depth returns the number of queued and running requests of each tier on this host.
func (p *Pool) Depth() []TierDepth {
	depths := make([]TierDepth, p.queue.Tiers())
	for t := range depths {
		depths[t] = TierDepth{Tier: t, Queued: p.queue.Depth(t), Running: p.runningByTier[t]}
	}
	return depths
}

// Demand returns the demand on the pool: this host's own, and that of the other hosts as far as known.
func (p *Pool) Demand(now time.Time) Demand {
	d := Demand{SlotsByTier: make([]float64, p.queue.Tiers())}
	d.add(p.Summary(now))
	for _, peer := range p.peers {
		if now.Sub(peer.at) <= summaryTTL {
			d.add(peer.Summary)
		}
	}
	for _, c := range p.aggregates.bySource {
		if now.Before(c.ends) {
			d.add(c.totals)
		}
	}
	return d
}

func (d *Demand) add(s Summary) {
	d.DurableSlots += s.DurableLoad
	for t := range min(len(s.OfferedLoad), len(d.SlotsByTier)) {
		d.SlotsByTier[t] += s.OfferedLoad[t]
		d.Slots += s.OfferedLoad[t]
	}
	for _, n := range s.Queued {
		d.Queued += n
	}
	for _, n := range s.Running {
		d.Running += n
	}
}

// splitSlots recomputes this host's share of the slots.
func (p *Pool) splitSlots(now time.Time) {
	if p.hasAggregates(now) {
		p.splitByAggregates(now)
		return
	}
	p.splitAt = now
	loads := make([]admit.Load, 0, len(p.peers)+1)
	own := admit.Load{Host: p.host, Demand: p.demand(now), Weight: make([]float64, p.queue.Tiers())}
	for t := range own.Weight {
		own.Weight[t] = p.queue.ActiveWeight(t)
	}
	loads = append(loads, own)
	p.dropSilentPeers(now)
	for host, peer := range p.peers {
		loads = append(loads, peer.load(host))
	}
	slots := p.divisibleSlots(now)
	p.applySplit(now, loads, slots, admit.Split(slots, loads))
	p.updateHeadroom(now)
}

// applySplit sets this host's limit from the shares of all hosts, and passes the shares to the balancer,
// which divides the slots of each upstream.
func (p *Pool) applySplit(now time.Time, loads []admit.Load, slots int, shares []int) {
	running := make([]int, len(loads))
	for i, l := range loads {
		running[i] = p.runningOn(l.Host)
	}
	limits := admit.TransitionLimits(slots, shares, running)
	hosts := make([]route.Host, len(loads))
	for i, l := range loads {
		hosts[i] = route.Host{ID: l.Host, Zone: p.zoneOf(l.Host), Demand: float64(shares[i])}
		if l.Host == p.host {
			p.limit = limits[i]
		}
	}
	if now.Sub(p.upstreamSplitAt) >= upstreamSplitPeriod {
		p.upstreamSplitAt = now
		p.aggregates.hosts = nil
		p.balancer.SetHosts(now, hosts)
	}
}

func (p *Pool) runningOn(host string) int {
	if host == p.host {
		return p.runningTotal
	}
	return lo.Sum(p.peers[host].Running)
}

func (p *Pool) zoneOf(host string) string {
	if host == p.host {
		return p.zone
	}
	return p.peers[host].Zone
}

// dropSilentPeers removes the hosts whose last summary is older than summaryTTL. It does so in the order of
// their names, so that equal histories lead to equal decisions.
func (p *Pool) dropSilentPeers(now time.Time) {
	var silent []string
	for host, peer := range p.peers {
		if now.Sub(peer.at) > summaryTTL {
			silent = append(silent, host)
		}
	}
	slices.Sort(silent)
	for _, host := range silent {
		delete(p.peers, host)
		p.balancer.UpdatePeer(now, host, nil)
	}
}

func (s Summary) load(host string) admit.Load {
	return admit.Load{Host: host, Demand: s.Demand, Weight: s.Weight}
}

// demand returns the slots that this host asks for, by tier: for the running and waiting requests, and for the
// requests expected to arrive before the other hosts know of them.
func (p *Pool) demand(now time.Time) []float64 {
	demand := make([]float64, p.queue.Tiers())
	arrivalShare := 0.0
	if serviceTime := p.gate.ServiceTime(); serviceTime > 0 {
		arrivalShare = demandLookahead.Seconds() / serviceTime.Seconds()
	}
	for t := range demand {
		demand[t] = float64(p.runningByTier[t]+p.queue.Depth(t)) + arrivalShare*p.gate.OfferedLoad(now, t)
	}
	return demand
}
