package route

import (
	"slices"
	"time"
)

// Numbers of candidates that are compared for one request.
const (
	smallPoolSize    = 16 // all open members are compared if there are at most this many
	sameZoneSamples  = 5  // members sampled in each group of this host's zone
	otherZoneSamples = 2  // members sampled in each group of the other zones
	homeCount        = 2  // members that are derived from the hash of the first prefix block
)

// choice is the state of one call of Pick.
type choice struct {
	balancer *Balancer
	now      time.Time
	request  Request
	match    []prefixMatch      // members that are known to hold a part of the prefix
	homes    [homeCount]*member // nil where there is none
	best     *member            // candidate with the lowest cost so far, nil before the first
	bestCost float64            // of best
}

// Pick returns the id of the upstream with the lowest expected cost among a few candidates. ok is false if no upstream
// may take the request now.
func (b *Balancer) Pick(now time.Time, r Request) (id string, ok bool) {
	b.refreshIfDue(now)
	if r.PinnedUpstream != "" {
		return r.PinnedUpstream, b.acceptsPinned(now, r) && b.config.Limiter.maySend(now, r.PinnedUpstream)
	}
	c := &b.choice
	*c = choice{balancer: b, now: now, request: r, match: b.prefixes.match(r.Prefix)}
	c.setHomes()
	c.considerHolders()
	if b.openCount(r.AllowReclaimable) <= smallPoolSize {
		c.considerAll()
	} else {
		c.considerSample()
	}
	if c.best == nil {
		c.considerAll()
	}
	if c.best == nil {
		return "", false
	}
	return c.best.id, true
}

// acceptsPinned reports whether the pinned upstream of r may take r. The limit of this host is not checked, because it
// can be 0 if there are many hosts; the caller sends at most one such request at a time to an upstream.
func (b *Balancer) acceptsPinned(now time.Time, r Request) bool {
	m := b.byID[r.PinnedUpstream]
	return m != nil && b.config.Limiter.hasRoom(now, m, m.ownRunning+1) && !m.leaving && !slices.Contains(r.Exclude, m.id) && (r.AllowReclaimable || !m.reclaimable)
}

// openCount returns how many members have a free slot for this host, without reclaimable ones unless allowReclaimable.
func (b *Balancer) openCount(allowReclaimable bool) int {
	n := len(b.open[groupSameZone]) + len(b.open[groupOtherZone])
	if allowReclaimable {
		n += len(b.open[groupSameZoneReclaimable]) + len(b.open[groupOtherZoneReclaimable])
	}
	return n
}

// considerSample considers a random sample of the members that have a free slot, and the homes of the prefix.
func (c *choice) considerSample() {
	c.sampleGroup(groupSameZone, sameZoneSamples)
	c.sampleGroup(groupOtherZone, otherZoneSamples)
	if c.request.AllowReclaimable {
		c.sampleGroup(groupSameZoneReclaimable, sameZoneSamples)
		c.sampleGroup(groupOtherZoneReclaimable, otherZoneSamples)
	}
	for _, m := range c.homes {
		if m != nil {
			c.consider(m)
		}
	}
}

// sampleGroup considers n random members of a group that have a free slot, or all of them if there are at most n.
func (c *choice) sampleGroup(group, n int) {
	list := c.balancer.open[group]
	if len(list) <= n {
		for _, index := range list {
			c.consider(c.balancer.members[index])
		}
		return
	}
	for range n {
		at := c.balancer.rand.Uint64() % uint64(len(list))
		c.consider(c.balancer.members[list[at]])
	}
}

// setHomes derives the homes of the request from the hash of its first prefix block. Hosts that assign the same indexes
// to the members thus prefer the same upstreams for a prefix that is new to all of them.
func (c *choice) setHomes() {
	if len(c.request.Prefix) == 0 || len(c.balancer.members) == 0 {
		return
	}
	at := c.request.Prefix[0]
	for i := range c.homes {
		c.homes[i] = c.balancer.members[at%uint64(len(c.balancer.members))]
		at = at*0x9e3779b97f4a7c15 + 1
	}
}

// considerAll considers every member that has a free slot for this host.
func (c *choice) considerAll() {
	for g, list := range c.balancer.open {
		if g >= groupSameZoneReclaimable && !c.request.AllowReclaimable {
			break
		}
		for _, index := range list {
			c.consider(c.balancer.members[index])
		}
	}
}

// considerHolders considers the members that are known to hold a part of the prefix.
func (c *choice) considerHolders() {
	for _, a := range c.match {
		if m := c.balancer.members[a.member]; m != nil {
			c.consider(m)
		}
	}
}

// consider makes m the best candidate if m may take the request at a lower cost than the best one so far.
func (c *choice) consider(m *member) {
	blocks := c.heldBlocks(m)
	if (m.openIndex < 0 && !c.mayExceedLimit(m, blocks)) || !c.isAllowed(m) {
		return
	}
	cost := c.balancer.cost(c.now, m, &c.request, blocks)
	cost *= c.jitter(m)
	if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = m, cost
	}
}

// isAllowed reports whether the properties of the request allow m.
func (c *choice) isAllowed(m *member) bool {
	r := &c.request
	switch {
	case m.reclaimable && !r.AllowReclaimable:
		return false
	case !c.balancer.config.Limiter.maySend(c.now, m.id), !c.balancer.config.Limiter.hasRoom(c.now, m, m.ownRunning+1):
		return false
	}
	return !slices.Contains(r.Exclude, m.id)
}

// jitter returns a factor for the cost of m. It differs between requests, so that hosts with the same information do not
// all select the same upstream until they next exchange their counts. For copies of one request that arrive at several
// hosts the factor is the same on all hosts, so that the copies tend to go to the same upstream. A single host needs no
// jitter.
func (c *choice) jitter(m *member) float64 {
	if len(c.balancer.hosts) < 2 {
		return 1
	}
	h := c.balancer.rand.Uint64()
	if c.request.Fingerprint != 0 {
		h = murmurMix(m.idHash ^ c.request.Fingerprint)
	}
	return 1 + jitterRange*float64(h%jitterSteps)/jitterSteps
}

const (
	jitterRange = 0.3  // largest relative increase of the cost
	jitterSteps = 1024 // number of different factors
)

// mayExceedLimit reports whether m may take the request although this host has no free slot on m. This is allowed if m
// holds at least half of the prefix and all hosts together run at most slightly more requests on m than it has slots.
// Without this exception, each request in a full pool would go wherever a slot becomes free, and every cache would end up
// with every prefix.
func (c *choice) mayExceedLimit(m *member, blocks int) bool {
	if 2*blocks < len(c.request.Prefix) || blocks == 0 || m.limit == 0 || !m.health.Settled() {
		return false
	}
	total := m.ownRunning + int(c.balancer.othersRunning(c.now, m))
	return total < m.slots+m.slots/excessDivisor
}

// excessDivisor bounds the requests beyond the slots of an upstream that are accepted for its prefix cache: at
// most 1/excessDivisor of the slots.
const excessDivisor = 8

// heldBlocks returns how many leading blocks of the prefix m is known to hold. If no member holds any, the first home of
// the prefix counts as if it held half of the blocks, so that the prefix is concentrated there.
func (c *choice) heldBlocks(m *member) int {
	for _, a := range c.match {
		if int(a.member) == m.index {
			return a.blocks
		}
	}
	if len(c.match) == 0 && m == c.homes[0] {
		return (len(c.request.Prefix) + 1) / 2
	}
	return 0
}

// murmurMix is the finalizer of MurmurHash3.
func murmurMix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
