package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/health"
)

// Config holds the identity of the host and the limits of a Balancer. MaxPrefixBlocks and the fields of Health get
// defaults when they are zero.
type Config struct {
	Host            string // id of this host
	Zone            string // availability zone of this host
	Seed            uint64 // of the random numbers by which candidates are sampled
	MaxPrefixBlocks int    // prompt prefix blocks that are remembered
	Health          health.Config
	Limiter         Limiter
}

// Balancer selects upstreams of one pool for the requests of one host. It is not safe for concurrent use.
type Balancer struct {
	config      Config
	rand        rand.PCG
	members     []*member                 // by index; nil for a removed member
	byID        map[string]*member        // by id of the upstream
	open        [groupCount][]uint16      // by group: indexes of the members on which this host has a free slot
	requests    map[uint64]runningRequest // by id of the request
	health      *health.Pool
	prefixes    *prefixIndex
	model       latencyModel
	hosts       []Host // hosts that share the slots, ordered by id
	hostWeights hostWeights
	peers       map[string]*peerCounts // by id of another host
	changed     []*member              // buffer that updateLimits and its callers reuse
	recovering  []*member              // members whose health weight changes with time
	nextRefresh time.Time              // when refreshIfDue has work to do
	totalFree   int                    // sum of freeSlots over all members
	choice      choice                 // buffer that Pick reuses
}

// runningRequest is a request that this host has started and that has not ended.
type runningRequest struct {
	member *member
	start  time.Time
}

// The groups of members. The reclaimable groups come last: choice.considerAll relies on this order.
const (
	groupSameZone = iota // same availability zone as this host, not reclaimable
	groupOtherZone
	groupSameZoneReclaimable
	groupOtherZoneReclaimable
	groupCount
)

// New returns a Balancer without upstreams.
func New(c Config) *Balancer {
	b := &Balancer{
		config:   c,
		byID:     map[string]*member{},
		requests: map[uint64]runningRequest{},
		health:   health.New(c.Health),
		prefixes: newPrefixIndex(c.MaxPrefixBlocks),
		peers:    map[string]*peerCounts{},
		model:    newLatencyModel(),
	}
	b.rand.Seed(c.Seed, c.Seed^0x9e3779b97f4a7c15)
	return b
}

// SetUpstreams replaces the list of upstreams. Upstreams that were in the previous list, by id, keep their state.
func (b *Balancer) SetUpstreams(now time.Time, list []Upstream) {
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.id] = true
		if m := b.byID[u.id]; m != nil {
			b.updateMember(m, u)
			continue
		}
		b.addMember(u)
	}
	for id, m := range b.byID {
		if !seen[id] {
			b.removeMember(m)
		}
	}
	b.updateShares(now)
}

// addMember adds an upstream without any state.
func (b *Balancer) addMember(u Upstream) {
	if len(b.members) >= maxIndex {
		b.compactIndexes()
	}
	m := &member{
		Upstream:  u,
		index:     len(b.members),
		idHash:    xxhash.Sum64String(u.id),
		openIndex: -1,
		health:    b.health.Join(),
	}
	b.setGroup(m)
	b.members = append(b.members, m)
	b.byID[u.id] = m
}

// updateMember replaces the properties of a member. Its group changes with its zone and type.
func (b *Balancer) updateMember(m *member, u Upstream) {
	isMoved := m.zone != u.zone || m.reclaimable != u.reclaimable
	if isMoved {
		b.close(m)
	}
	m.Upstream = u
	if isMoved {
		b.setGroup(m)
		b.updateOpen(m)
	}
}

// setGroup sets the group of a member that is in no open list.
func (b *Balancer) setGroup(m *member) {
	m.sameZone = m.zone == b.config.Zone
	switch {
	case m.sameZone && m.reclaimable:
		m.group = groupSameZoneReclaimable
	case m.reclaimable:
		m.group = groupOtherZoneReclaimable
	case m.sameZone:
		m.group = groupSameZone
	default:
		m.group = groupOtherZone
	}
}

// removeMember removes a member. The requests that run on the upstream are not affected.
func (b *Balancer) removeMember(m *member) {
	b.close(m)
	b.totalFree -= m.freeSlots()
	m.limit = 0
	b.health.Leave(m.health)
	b.members[m.index] = nil
	delete(b.byID, m.id)
}

// compactIndexes assigns new indexes to the members, without gaps. The prefix index is keyed by the old indexes and
// is cleared.
func (b *Balancer) compactIndexes() {
	kept := make([]*member, 0, len(b.byID))
	for _, m := range b.members {
		if m != nil {
			m.index = len(kept)
			kept = append(kept, m)
		}
	}
	b.members = kept
	b.prefixes.clear()
	for g := range b.open {
		b.open[g] = b.open[g][:0]
	}
	for _, m := range kept {
		m.openIndex = -1
		b.updateOpen(m)
	}
}

// UpdateLoad stores a load report of an upstream, unless a newer one is already stored.
func (b *Balancer) UpdateLoad(now time.Time, id string, load Load) {
	m := b.byID[id]
	if m == nil || (m.hasLoad && load.At.Before(m.lastLoad.At)) {
		return
	}
	m.lastLoad, m.hasLoad = load, true
	m.ownAtLastLoad = m.history.runningAt(load.At, m.ownRunning)
	b.updateLimit(now, m)
}

// UpdateCache applies changes of an upstream's prefix cache, given as block hashes. gap reports that earlier changes
// were lost: the entries of this upstream count less for uncertainCacheTime.
func (b *Balancer) UpdateCache(now time.Time, id string, added, removed []uint64, gap bool) {
	m := b.byID[id]
	if m == nil {
		return
	}
	if gap {
		m.cacheUncertainUntil = now.Add(uncertainCacheTime)
	}
	for _, hash := range removed {
		b.prefixes.remove(hash, uint16(m.index))
	}
	for _, hash := range added {
		b.prefixes.add(hash, uint16(m.index))
	}
}

// uncertainCacheTime is how long the cache entries of an upstream count less after cache events were lost.
const uncertainCacheTime = 30 * time.Second

// Start records that request requestID was assigned to upstream id, and returns the permission to send it.
func (b *Balancer) Start(now time.Time, id string, requestID uint64, r Request) advisory.Permit {
	m := b.byID[id]
	if m == nil {
		return advisory.Permit{}
	}
	b.requests[requestID] = runningRequest{member: m, start: now}
	permit := b.config.Limiter.recordSend(id)
	missing := r.PromptTokens - b.cachedTokens(now, m, r)
	m.pending = append(m.pending, pendingRequest{requestID: requestID, start: now, uncachedTokens: missing, tokensAhead: m.pendingTokens})
	m.pendingTokens += missing
	for _, hash := range r.Prefix {
		b.prefixes.add(hash, uint16(m.index))
	}
	b.addOwnRunning(now, m, +1)
	return permit
}

// FirstToken records that a request on upstream id received its first token d after it was sent.
func (b *Balancer) FirstToken(now time.Time, id string, d time.Duration) {
	m := b.byID[id]
	if m == nil {
		return
	}
	p, ok := m.removePendingNearest(now.Add(-d))
	if !ok {
		return
	}
	if ratio, ok := b.model.addFirstToken(d, p.uncachedTokens+p.tokensAhead); ok {
		b.observeLatency(now, m, health.FirstToken, ratio)
	}
}

// TokenGap records the time between two output tokens of a request on upstream id, or the mean of several such times.
func (b *Balancer) TokenGap(now time.Time, id string, d time.Duration) {
	m := b.byID[id]
	if m == nil || d <= 0 {
		return
	}
	if ratio, ok := b.model.addGap(d, m.utilization(b.othersRunning(now, m))); ok {
		b.observeLatency(now, m, health.TokenGap, ratio)
	}
}

// observeLatency passes a latency of m, as a ratio to the usual latency, to the health checks.
func (b *Balancer) observeLatency(now time.Time, m *member, signal health.Signal, ratio float64) {
	b.health.Observe(now, m.health, signal, ratio)
	b.healthChanged(now, m)
}

// Finish records the end of request requestID, which ran on upstream id.
func (b *Balancer) Finish(now time.Time, id string, requestID uint64, r Result) {
	run, ok := b.requests[requestID]
	if !ok {
		return
	}
	delete(b.requests, requestID)
	m := run.member
	m.removePending(requestID)
	b.addOwnRunning(now, m, -1)
	if m != b.byID[id] {
		return
	}
	switch {
	case r.Crashed:
		b.health.ReportCrash(now, m.health)
	case r.Failed:
		m.consecutiveFailures, m.lastFailure = m.consecutiveFailures+1, now
	default:
		m.consecutiveFailures = 0
		b.health.ReportSuccess(m.health)
	}
	b.healthChanged(now, m)
}

// addOwnRunning changes the number of this host's running requests on m by by, and updates everything derived from it.
func (b *Balancer) addOwnRunning(now time.Time, m *member, by int) {
	gone := b.byID[m.id] != m
	if !gone {
		b.totalFree -= m.freeSlots()
	}
	m.ownRunning += by
	m.history.add(now, m.ownRunning)
	if gone {
		return
	}
	b.totalFree += m.freeSlots()
	b.updateOpen(m)
}

// FreeSlots returns how many requests this host may start now on all upstreams together.
func (b *Balancer) FreeSlots(now time.Time) int {
	b.refreshIfDue(now)
	return b.totalFree
}

// Ejected returns how many upstreams are ejected for slowness.
func (b *Balancer) Ejected() int { return b.health.Ejected() }

// freeSlots returns how many more requests this host may start on m.
func (m *member) freeSlots() int { return max(0, m.limit-m.ownRunning) }

// updateOpen adds m to the open list of its group if this host has a free slot on m, and removes m otherwise.
func (b *Balancer) updateOpen(m *member) {
	switch free := m.freeSlots(); {
	case free > 0 && m.openIndex < 0:
		m.openIndex = len(b.open[m.group])
		b.open[m.group] = append(b.open[m.group], uint16(m.index))
	case free == 0 && m.openIndex >= 0:
		b.close(m)
	}
}

// close removes m from the open list of its group, if m is in the list.
func (b *Balancer) close(m *member) {
	if m.openIndex < 0 {
		return
	}
	list := b.open[m.group]
	last := list[len(list)-1]
	list[m.openIndex] = last
	b.members[last].openIndex = m.openIndex
	b.open[m.group] = list[:len(list)-1]
	m.openIndex = -1
}
