package pool

import (
	"time"

	"hickorypath/internal/policy/route"
)

const (
	// minExternalShare is the part of all slots below which external load is ignored: smaller values are within the
	// error of reports that are one second old.
	minExternalShare = 0.1
	// externalLoadTTL is the time for which a report is used to estimate external load.
	externalLoadTTL = 15 * time.Second
)

// externalLoad is the number of requests that an upstream ran, according to its last report, beyond those of
// the known hosts: requests of hosts that this host has no summary of, or of other clients. It is negative
// while the report lags behind the summaries.
type externalLoad struct {
	requests int
	at       time.Time
}

// ReportLoad takes an upstream's own report of its load.
func (p *Pool) ReportLoad(now time.Time, upstream string, l route.Load) {
	p.balancer.UpdateLoad(now, upstream, l)
	if len(p.aggregates.bySource) > 0 {
		return // the requests of single hosts are not known
	}
	known := p.runningByUpstream[upstream]
	for _, peer := range p.peers {
		known += peer.RunningByUpstream[upstream]
	}
	p.externalLoads[upstream] = externalLoad{requests: l.Running + l.Waiting - known, at: now}
}

// divisibleSlots returns the number of slots that the known hosts may divide: all slots except those that
// external load occupies.
func (p *Pool) divisibleSlots(now time.Time) int {
	sum := 0
	for id, o := range p.externalLoads {
		if now.Sub(o.at) > externalLoadTTL {
			delete(p.externalLoads, id)
			continue
		}
		sum += o.requests
	}
	if float64(sum) < minExternalShare*float64(p.slots) {
		return p.slots
	}
	return max(0, p.slots-sum)
}
