package pool

import (
	"container/heap"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/route"
)

func (p *Pool) enqueue(c *call) {
	p.calls[c.ID] = c
	p.queue.Push(&c.item)
	heap.Push(&p.expiry, c)
}

// removeWaiting removes a waiting call from the queue, the expiry heap and the list of calls.
func (p *Pool) removeWaiting(c *call) {
	p.queue.Remove(&c.item)
	p.removeExpiry(c)
	delete(p.calls, c.ID)
}

func (p *Pool) removeExpiry(c *call) {
	if c.expiryIndex >= 0 {
		heap.Remove(&p.expiry, c.expiryIndex)
	}
}

// dispatch starts waiting calls while this host's limit and the upstreams have free slots.
func (p *Pool) dispatch(now time.Time) {
	p.dispatchRound++
	p.retryUnplaceable(now)
	for p.runningTotal < p.limit {
		it, guaranteed := p.queue.Peek(p.filter)
		if it == nil {
			return
		}
		c := p.calls[it.ID]
		c.guaranteed = c.guaranteedOnly || guaranteed
		upstream, allowReclaimable, ok := p.pickUpstream(now, c)
		switch {
		case ok:
			p.queue.Take(it)
			p.start(now, c, upstream, allowReclaimable)
		case c.hasConstraints():
			p.queue.Remove(it)
			c.unplaceable = true
			p.unplaceable = append(p.unplaceable, c)
		default:
			c.class.blockedRound = p.dispatchRound
		}
	}
}

// retryUnplaceable tries to start the calls that no upstream could run earlier because of their constraints.
func (p *Pool) retryUnplaceable(now time.Time) {
	kept := p.unplaceable[:0]
	for _, c := range p.unplaceable {
		if p.calls[c.ID] != c {
			continue
		}
		if upstream, allowReclaimable, ok := p.pickUpstream(now, c); ok && p.runningTotal < p.limit {
			p.start(now, c, upstream, allowReclaimable)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.unplaceable[len(kept):])
	p.unplaceable = kept
}

// pickUpstream picks an upstream for the call. The result allowReclaimable reports whether a reclaimable
// upstream was allowed.
func (p *Pool) pickUpstream(now time.Time, c *call) (upstream string, allowReclaimable, ok bool) {
	allowReclaimable = c.class.mayRunReclaimable()
	upstream, ok = p.balancer.Pick(now, c.routeRequest(allowReclaimable))
	return upstream, allowReclaimable, ok
}

// mayRunReclaimable reports whether one more call of the class may run on a reclaimable upstream without
// violating DurableShare.
func (k *class) mayRunReclaimable() bool {
	if !k.AllowReclaimable {
		return false
	}
	reclaimable := k.running - k.runningDurable
	return float64(reclaimable+1) <= (1-k.DurableShare)*float64(k.running+1)+1e-9 || k.DurableShare == 0
}

func (p *Pool) start(now time.Time, c *call, upstream string, allowReclaimable bool) {
	p.removeExpiry(c)
	c.started, c.upstream, c.durable = now, upstream, !p.reclaimable[upstream]
	permit := p.balancer.Start(now, upstream, c.ID, c.routeRequest(allowReclaimable))
	p.runningByUpstream[upstream]++
	p.countCustomer(c)
	p.runningByTier[c.class.Tier]++
	p.runningTotal++
	c.class.running++
	if c.durable {
		c.class.runningDurable++
	}
	p.decisions = append(p.decisions, Decision{ID: c.ID, Action: Start, Upstream: upstream, Permit: permit, Guaranteed: c.guaranteed})
}

// MayStillSend reports whether a request that was started on an upstream some time ago, and has not been sent yet, may be sent now.
func (p *Pool) MayStillSend(now time.Time, upstream string, permit advisory.Permit) bool {
	return p.balancer.MayStillSend(now, upstream, permit)
}

// removeRunning removes a running call from the balancer and from all counts.
func (p *Pool) removeRunning(now time.Time, c *call, r route.Result) {
	p.balancer.Finish(now, c.upstream, c.ID, r)
	if p.runningByUpstream[c.upstream]--; p.runningByUpstream[c.upstream] == 0 {
		delete(p.runningByUpstream, c.upstream)
	}
	byCustomer := p.runningByCustomer[c.class.Tier]
	if byCustomer[c.Customer]--; byCustomer[c.Customer] == 0 {
		delete(byCustomer, c.Customer)
	}
	p.runningByTier[c.class.Tier]--
	p.runningTotal--
	c.class.running--
	if c.durable {
		c.class.runningDurable--
	}
	delete(p.calls, c.ID)
}

// CountTokens counts n more output tokens of a running request. When the output exceeds its estimate, the
// tokens that are expected to follow are charged as well.
func (p *Pool) CountTokens(now time.Time, id uint64, n int) {
	c, ok := p.calls[id]
	if !ok || !c.isRunning() {
		return
	}
	if c.emittedTokens == 0 {
		p.observeFirstToken(now, c, now.Sub(c.started))
		c.gapSampledAt, c.gapSampledTokens = now, n
	}
	c.emittedTokens += n
	if sum := c.emittedTokens - c.gapSampledTokens; sum >= gapSampleTokens {
		p.balancer.TokenGap(now, c.upstream, now.Sub(c.gapSampledAt)/time.Duration(sum))
		c.gapSampledAt, c.gapSampledTokens = now, c.emittedTokens
	}
	if float64(c.emittedTokens) > c.chargedTokens {
		total := float64(c.emittedTokens) + c.flow.Remaining(c.emittedTokens, c.MaxTokens)
		p.queue.AdjustCharge(&c.item, total-c.chargedTokens)
		c.chargedTokens = total
	}
}

func (p *Pool) observeFirstToken(now time.Time, c *call, first time.Duration) {
	p.meanFirstToken += time.Duration(firstTokenSampleWeight * float64(first-p.meanFirstToken))
	p.balancer.FirstToken(now, c.upstream, first)
}

// Finish ends a running request and starts waiting requests that can take its slot.
func (p *Pool) Finish(now time.Time, id uint64, r Result) []Decision {
	c, ok := p.calls[id]
	if !ok || !c.isRunning() {
		return nil
	}
	if c.emittedTokens == 0 && r.TimeToFirstToken > 0 {
		p.observeFirstToken(now, c, r.TimeToFirstToken)
	}
	if r.TokenGap > 0 && c.emittedTokens < gapSampleTokens {
		p.balancer.TokenGap(now, c.upstream, r.TokenGap)
	}
	p.queue.AdjustCharge(&c.item, float64(r.OutputTokens)-c.chargedTokens)
	if !r.Failed && !r.Crashed {
		c.flow.Observe(r.OutputTokens)
		p.gate.RecordCompletion(float64(r.OutputTokens)+promptTokenCost*float64(c.PromptTokens), now.Sub(c.started))
	}
	p.removeRunning(now, c, route.Result{Crashed: r.Crashed, Failed: r.Failed})
	p.dispatch(now)
	return p.takeDecisions()
}

// Cancel withdraws a waiting or running request.
func (p *Pool) Cancel(now time.Time, id uint64) []Decision {
	c, ok := p.calls[id]
	if !ok {
		return nil
	}
	if !c.isRunning() {
		p.removeWaiting(c)
		return nil
	}
	p.queue.AdjustCharge(&c.item, float64(c.emittedTokens)-c.chargedTokens)
	p.removeRunning(now, c, route.Result{})
	p.dispatch(now)
	return p.takeDecisions()
}

// Tick refuses requests whose wait has expired, sheds the waiting requests of all tiers below the highest tier
// that any host sheds, and recomputes this host's share of the slots. It has to be called every 20 to 50 ms.
func (p *Pool) Tick(now time.Time) []Decision {
	p.expire(now)
	if shedTier := p.gate.HighestShedTier(now); shedTier >= 0 {
		p.shedBelow(now, shedTier)
	}
	if now.Sub(p.splitAt) >= p.splitInterval() {
		p.splitSlots(now)
	}
	p.dispatch(now)
	return p.takeDecisions()
}

// splitInterval returns the minimum time between two divisions of the slots among hosts.
func (p *Pool) splitInterval() time.Duration {
	if len(p.aggregates.bySource) > 0 {
		return aggregateSplitPeriod
	}
	return time.Duration(len(p.peers)) * splitPeriodPerPeer
}

func (p *Pool) expire(now time.Time) {
	for c := p.expiry.first(now); c != nil; c = p.expiry.first(now) {
		p.removeWaiting(c)
		if retry, outOfService := p.isOutOfService(now); outOfService || c.unplaceable {
			p.refuse(c, kind.Unavailable, retry)
			continue
		}
		if c.guaranteedOnly {
			p.refuse(c, kind.Overload, p.addJitter(p.gate.RetryAfterHeldBack(now, c.class.Tier)))
			continue
		}
		wait := p.estimateWait(now, c)
		p.recordOverload(now, c.class.Tier)
		p.refuse(c, kind.Overload, p.addJitter(p.gate.RetryAfter(now, c.class.Tier, wait, p.maxEstimatedWait(c.class))))
	}
}
