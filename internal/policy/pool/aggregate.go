package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/policy/admit"
	"hickorypath/internal/policy/route"
)

// In a large fleet a host knows the other hosts only by sums over groups of hosts, called aggregates, which are
// some digest periods old. Each host then computes its share of the slots from its own demand at that earlier
// time, so that the shares of all hosts add up to the slots even when the demand has changed since.

const (
	// aggregateLifePeriods is the number of digest periods for which an aggregate is valid.
	aggregateLifePeriods = 3
	// aggregateSplitPeriod is the minimum time between two divisions of the slots with the same aggregates.
	aggregateSplitPeriod = 800 * time.Millisecond
	// samplesPerPeriod is how often per digest period this host records its own demand.
	samplesPerPeriod = 4
	// minKnownAge and maxKnownAge bound the age, in digest periods, of the data that other hosts have of this host.
	minKnownAge = 1.5
	maxKnownAge = 2.5
	// otherHostsID identifies all other hosts together in the balancer.
	otherHostsID = "others"
)

// aggregate is the sum over a group of other hosts.
type aggregate struct {
	Digest
	totals Summary
	at     time.Time
	ends   time.Time
}

// demandSample is the demand of this host at one time.
type demandSample struct {
	at             time.Time
	demand, weight []float64
}

// aggregates is the state of a Pool in a large fleet.
type aggregates struct {
	bySource       map[string]aggregate // by source
	hosts          []route.Host
	history        []demandSample // demand of this host, oldest first
	period         time.Duration  // between digests
	roundingOffset float64        // from 0 to 1, derived from the name of the host; see admit.OwnShare
}

func newAggregates(host string) aggregates {
	return aggregates{bySource: map[string]aggregate{}, roundingOffset: float64(xxhash.Sum64String(host)%1024) / 1024}
}

// ReceiveDigest takes the sum over the other hosts that one source covers, and replaces the last digest of that
// source. The list hosts contains all hosts of the fleet. Summaries of single hosts are dropped.
func (p *Pool) ReceiveDigest(now time.Time, source string, d Digest, hosts []route.Host) {
	p.dropPeers(now)
	a := &p.aggregates
	a.period = time.Duration(d.PeriodMs) * time.Millisecond
	a.bySource[source] = aggregate{Digest: d, totals: d.summary(), at: now, ends: now.Add(aggregateLifePeriods * a.period)}
	p.gate.AdoptEstimates(a.bySource[source].totals.SecondsPerCost, a.bySource[source].totals.ServiceTime)
	if !slices.Equal(a.hosts, hosts) {
		a.hosts = slices.Clone(hosts)
		p.balancer.SetHosts(now, a.hosts)
	}
	p.splitByAggregates(now)
}

// dropPeers removes the summaries of single hosts when the fleet has become large.
func (p *Pool) dropPeers(now time.Time) {
	for host := range p.peers {
		delete(p.peers, host)
		p.balancer.UpdatePeer(now, host, nil)
	}
	clear(p.externalLoads)
}

// dropAggregates removes the aggregates when the fleet has become small.
func (p *Pool) dropAggregates(now time.Time) {
	if len(p.aggregates.bySource) == 0 {
		return
	}
	clear(p.aggregates.bySource)
	p.aggregates.hosts, p.aggregates.history = nil, nil
	p.balancer.UpdatePeer(now, otherHostsID, nil)
}

// hasAggregates removes expired aggregates and reports whether any are left.
func (p *Pool) hasAggregates(now time.Time) bool {
	for source, a := range p.aggregates.bySource {
		if !now.Before(a.ends) {
			delete(p.aggregates.bySource, source)
		}
	}
	return len(p.aggregates.bySource) > 0
}

// splitByAggregates recomputes this host's share of the slots from the aggregates.
func (p *Pool) splitByAggregates(now time.Time) {
	p.splitAt = now
	p.recordDemand(now)
	others := make([]admit.Load, 0, len(p.aggregates.bySource))
	running := 0
	for _, source := range p.sortedSources() {
		a := p.aggregates.bySource[source]
		others = append(others, admit.Load{Host: source, Demand: a.totals.Demand, Weight: a.totals.Weight, HostCount: a.Hosts})
		for _, n := range a.Running {
			running += n
		}
		if now.Sub(a.at) < a.ends.Sub(a.at)/aggregateLifePeriods {
			p.gate.RecordRemoteShed(now, a.shedTier()-1, 0)
		}
	}
	p.limit = admit.OwnShare(p.slots, p.knownDemand(now, others), others, p.aggregates.roundingOffset)
	p.balancer.UpdatePeer(now, otherHostsID, p.estimateRunning(running))
	p.updateHeadroom(now)
}

// sortedSources returns the sources of the aggregates in order, so that equal histories lead to equal decisions.
func (p *Pool) sortedSources() []string {
	all := make([]string, 0, len(p.aggregates.bySource))
	for source := range p.aggregates.bySource {
		all = append(all, source)
	}
	slices.Sort(all)
	return all
}

// recordDemand appends this host's present demand to the history, samplesPerPeriod times per digest period, and
// removes samples that are older than what any other host still uses.
func (p *Pool) recordDemand(now time.Time) {
	a := &p.aggregates
	if n := len(a.history); n > 0 && now.Sub(a.history[n-1].at) < a.period/samplesPerPeriod {
		return
	}
	s := demandSample{at: now, demand: p.demand(now), weight: make([]float64, p.queue.Tiers())}
	for t := range s.weight {
		s.weight[t] = p.queue.ActiveWeight(t)
	}
	a.history = slices.DeleteFunc(append(a.history, s), func(s demandSample) bool { return now.Sub(s.at) > a.duration(maxKnownAge) })
}

func (a *aggregates) duration(periods float64) time.Duration {
	return time.Duration(periods * float64(a.period))
}

// knownDemand returns this host's mean demand at the time that the other hosts' data about this host is from. A
// host that was started too recently for that counts with the mean demand of the other hosts.
func (p *Pool) knownDemand(now time.Time, others []admit.Load) admit.Load {
	own := admit.Load{Host: p.host, Demand: make([]float64, p.queue.Tiers()), Weight: make([]float64, p.queue.Tiers())}
	n := 0.0
	for _, s := range p.aggregates.history {
		if now.Sub(s.at) >= p.aggregates.duration(minKnownAge) {
			addTo(own.Demand, s.demand)
			addTo(own.Weight, s.weight)
			n++
		}
	}
	if n == 0 {
		for _, l := range others {
			addTo(own.Demand, l.Demand)
			addTo(own.Weight, l.Weight)
			n += float64(l.HostCount)
		}
	}
	divideBy(own.Demand, n)
	divideBy(own.Weight, n)
	return own
}

func addTo(sum, list []float64) {
	for i := range min(len(sum), len(list)) {
		sum[i] += list[i]
	}
}

func divideBy(list []float64, n float64) {
	for i := range list {
		list[i] /= math.Max(1, n)
	}
}

// estimateRunning distributes the running requests of the other hosts over the upstreams, in proportion to
// their slots.
func (p *Pool) estimateRunning(running int) map[string]int {
	all := make(map[string]int, len(p.slotsByUpstream))
	for id, slots := range p.slotsByUpstream {
		all[id] = slots * min(running, p.slots) / max(1, p.slots)
	}
	return all
}
