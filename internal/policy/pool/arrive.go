package pool

import (
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/admit"
)

// Arrive decides about a new request. The first decision concerns this request; any further decisions concern
// other requests.
func (p *Pool) Arrive(now time.Time, r Request) []Decision {
	k, ok := p.classes[r.Class]
	if !ok {
		p.refuse(&call{Request: r}, kind.Unavailable, 0)
		return p.takeDecisions()
	}
	c := p.newCall(now, r, k)
	p.gate.RecordArrival(now, k.Tier, c.item.Cost)
	p.durableRate.Add(now, c.item.Cost*k.durableFraction())
	p.decisions = append(make([]Decision, 0, 2), Decision{ID: r.ID, Action: Wait})
	if p.admit(now, c) {
		p.enqueue(c)
		p.dispatch(now)
	}
	p.moveToFront(r.ID)
	return p.takeDecisions()
}

// moveToFront moves the final decision about a request, if there is one, to the front of the decisions.
func (p *Pool) moveToFront(id uint64) {
	for i := 1; i < len(p.decisions); i++ {
		if p.decisions[i].ID == id {
			p.decisions[0] = p.decisions[i]
			p.decisions = append(p.decisions[:i], p.decisions[i+1:]...)
			return
		}
	}
}

func (p *Pool) newCall(now time.Time, r Request, k *class) *call {
	c := &call{Request: r, class: k, arrived: now, expiryIndex: -1}
	c.flow = p.length.Flow(r.Customer, r.Class)
	c.chargedTokens = p.expectedOutput(c)
	c.item.ID = r.ID
	c.item.Customer = r.Customer
	c.item.Class = r.Class
	c.item.Weight = r.Weight
	c.item.Urgent = r.IsRetry
	c.item.Cost = c.chargedTokens + promptTokenCost*float64(r.PromptTokens)
	c.expires = now.Add(k.MaxWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(c.expires) {
		c.expires = r.Deadline
	}
	return c
}

// ExpectedOutput returns the estimated number of output tokens of a request, for example to charge token limits
// before the request runs.
func (p *Pool) ExpectedOutput(r Request) int {
	return int(p.expectedOutput(&call{Request: r, flow: p.length.Flow(r.Customer, r.Class)}))
}

func (p *Pool) expectedOutput(c *call) float64 {
	if p.estimateOutput != nil {
		return p.estimateOutput(c.Request)
	}
	return c.flow.Mean(c.MaxTokens)
}

// admit refuses a request that could not start in time, and reports whether the request may wait.
func (p *Pool) admit(now time.Time, c *call) bool {
	tier := c.class.Tier
	guaranteed := p.queue.RecordArrival(c.Class, c.item.Cost)
	if retry, outOfService := p.isOutOfService(now); outOfService {
		p.refuse(c, kind.Unavailable, retry)
		return false
	}
	if c.IsRetry {
		return true
	}
	if shedTier := p.gate.HighestShedTier(now); shedTier != admit.NoTier && shedTier < tier {
		if !guaranteed {
			p.gate.RecordShed(now, tier)
			p.refuse(c, kind.Overload, p.addJitter(p.gate.RetryAfterHeldBack(now, c.class.Tier)))
		}
		p.restrictToGuaranteedShare(now, c)
		return guaranteed
	}
	if ahead := p.waitingAhead(tier); p.balancer.SendsWithin(now, c.expires.Sub(now), ahead+1) <= ahead {
		p.recordOverload(now, tier)
		p.refuse(c, kind.Overload, p.addJitter(c.expires.Sub(now)))
		return false
	}
	wait := p.estimateWait(now, c)
	if p.missesDeadline(now, c, wait) {
		p.refuse(c, kind.Deadline, p.addJitter(wait))
		return false
	}
	if maxWait := p.maxEstimatedWait(c.class); wait > maxWait && !guaranteed {
		p.recordOverload(now, tier)
		p.refuse(c, kind.Overload, p.addJitter(p.gate.RetryAfter(now, tier, wait, maxWait)))
		return false
	}
	return true
}

// waitingAhead returns the number of waiting requests of a tier and of the higher ones.
func (p *Pool) waitingAhead(tier int) (n int) {
	for level := 0; level <= tier; level++ {
		n += p.queue.Depth(level)
	}
	return n
}

// isOutOfService reports whether no upstream is in service, and the time until one may return; zero if that
// time is not known.
func (p *Pool) isOutOfService(now time.Time) (retry time.Duration, out bool) {
	if p.slots == 0 {
		return 0, true
	}
	at, out := p.balancer.EarliestReturn(now)
	if !out {
		return 0, false
	}
	return at.Sub(now), true
}

// restrictToGuaranteedShare marks a call of a tier that is held back as admitted by the guaranteed share of its
// class. It shortens the wait of the call to guaranteedMaxWait, so that the call waits only for the next free
// slot.
func (p *Pool) restrictToGuaranteedShare(now time.Time, c *call) {
	c.guaranteedOnly = true
	if end := now.Add(guaranteedMaxWait); end.Before(c.expires) {
		c.expires = end
	}
}

// estimateWait estimates how long the call would wait for a slot.
func (p *Pool) estimateWait(now time.Time, c *call) time.Duration {
	costAhead := p.queue.CostAhead(c.Class, c.Customer)
	if costAhead == 0 && p.mayServeClass(c.Class, false) && !p.mustLeaveHeadroom(c) {
		return 0
	}
	return p.gate.TimeToFreeSlot(p.limit) + p.gate.EstimateWait(now, c.class.Tier, costAhead, float64(p.limit))
}

// maxEstimatedWait returns the estimated wait above which a call of class k is refused.
func (p *Pool) maxEstimatedWait(k *class) time.Duration {
	if k.FirstTokenTarget <= 0 {
		return k.MaxWait
	}
	slack := time.Duration(queueingShareOfTarget * float64(k.FirstTokenTarget-p.meanFirstToken))
	return min(k.MaxWait, max(slack, k.FirstTokenTarget/8))
}

// missesDeadline reports whether the answer is expected after the caller's deadline.
func (p *Pool) missesDeadline(now time.Time, c *call, wait time.Duration) bool {
	if c.Deadline.IsZero() {
		return false
	}
	run := time.Duration(0)
	if c.flow.HasSamples() && p.gate.ServiceTime() > 0 {
		run = time.Duration(c.chargedTokens * p.gate.SecondsPerCost() * float64(time.Second))
	}
	return now.Add(wait + p.meanFirstToken + run).After(c.Deadline)
}

// recordOverload records that a tier is shed and sheds the waiting requests of all lower tiers.
func (p *Pool) recordOverload(now time.Time, tier int) {
	p.gate.RecordShed(now, tier)
	p.shedBelow(now, tier)
}

// shedBelow refuses the waiting requests of all tiers below tier, except those that the guaranteed share of
// their class has admitted.
func (p *Pool) shedBelow(now time.Time, tier int) {
	var guaranteed []*call
	for level := p.queue.Tiers() - 1; level > tier; level-- {
		for it := p.queue.ShedCandidate(level); it != nil; it = p.queue.ShedCandidate(level) {
			c := p.calls[it.ID]
			if c.guaranteedOnly {
				p.queue.Remove(&c.item)
				guaranteed = append(guaranteed, c)
				continue
			}
			p.removeWaiting(c)
			p.gate.RecordShed(now, level)
			p.refuse(c, kind.Overload, p.addJitter(p.gate.RetryAfterHeldBack(now, c.class.Tier)))
		}
	}
	for _, c := range guaranteed {
		p.queue.Push(&c.item)
	}
}

func (p *Pool) refuse(c *call, k kind.Kind, retryAfter time.Duration) {
	if retryAfter == 0 {
		retryAfter = k.Response().RetryAfter()
	}
	p.decisions = append(p.decisions, Decision{ID: c.ID, Action: Refuse, Kind: k, RetryAfter: retryAfter})
}

// addJitter lengthens a retry-after time by up to a half, so that refused callers do not all retry at once.
func (p *Pool) addJitter(d time.Duration) time.Duration {
	return d + time.Duration(p.rand.Float64()*float64(d)/2)
}

func (k *class) durableFraction() float64 {
	if !k.AllowReclaimable {
		return 1
	}
	return k.DurableShare
}
