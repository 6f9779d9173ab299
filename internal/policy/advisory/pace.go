package advisory

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the set of hosts that share the limits of upstreams, as one host knows it. It is immutable.
type Fleet struct {
	self  uint64
	hosts []uint64 // identifiers, that of this host included
}

// hostID returns the identifier of a host in a Fleet.
func hostID(name string) uint64 { return xxhash.Sum64String(name) }

// Size returns the number of hosts.
func (f *Fleet) Size() int { return len(f.hosts) }

// ownsSlot reports whether a slot of an upstream belongs to this host: its rank for the slot is the highest. A host that some
// others do not know of changes only the owners of its own slots.
func (f *Fleet) ownsSlot(upstream uint64, slot int64) bool {
	seed := mix(upstream ^ uint64(slot))
	own := mix(seed ^ f.self)
	for _, h := range f.hosts {
		if mix(seed^h) > own {
			return false
		}
	}
	return true
}

// Owns reports whether what is decided by one host alone, under a key, is decided by this one.
func (f *Fleet) Owns(key uint64) bool { return f.ownsSlot(key, 0) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	// minRate is the rate at which requests are sent to an upstream that accepts fewer, in requests per second. Only their
	// responses show that the limit has changed.
	minRate = 0.2
	// maxSlotRate bounds the slots of an upstream per second. A higher rate gives each slot several requests.
	maxSlotRate = 1000
	// minValidity is the least time for which a slot can be used. A longer time lets more requests pile up.
	minValidity = 800 * time.Millisecond
)

// pacer divides the requests that an upstream accepts among the hosts without messages between them. The time is divided into
// slots of one request each, and every slot belongs to one host, which can use it from its start on for a limited time.
type pacer struct {
	rate    float64       // requests per second of all hosts, 0 before the first one is set
	longest time.Duration // for which a slot can be used; 0 for no bound
	next    int64         // the first slot that was not looked at yet
	unused  []time.Time   // starts of this host's slots, one for each request that may be sent, oldest first
}

// setRate changes the rate. Slots before now are not used under a new rate.
func (p *pacer) setRate(now time.Time, rate float64) {
	if rate = max(rate, minRate); rate == p.rate {
		return
	}
	if rate < p.rate {
		p.unused = nil
	}
	p.rate = rate
	p.next = p.slotAt(now) + 1
}

// requestsPerSlot returns how many requests one slot is worth.
func (p *pacer) requestsPerSlot() int { return int(math.Ceil(p.rate / maxSlotRate)) }

// slotLength returns the length of a slot in seconds.
func (p *pacer) slotLength() float64 { return float64(p.requestsPerSlot()) / p.rate }

// validity returns how long a slot can be used.
func (p *pacer) validity() time.Duration {
	v := max(minValidity, time.Duration(p.slotLength()*float64(time.Second)))
	if p.longest > 0 {
		return min(v, p.longest)
	}
	return v
}

const (
	// clockTolerance is the difference between the clocks of two hosts that the bound of a cold upstream allows for.
	clockTolerance = 400 * time.Millisecond
	// shortestValidity is long enough for a host to look at the slots of an upstream once.
	shortestValidity = 50 * time.Millisecond
)

// pace returns the rate at which slots are given out and how long one can be used, so that the slots of a second, and those from before that are
// still valid, stay within the rate and the burst. Both are 0 if there is no bound.
func (c Cold) pace() (rate float64, validity time.Duration) {
	if c.Rate <= 0 {
		return 0, 0
	}
	most := c.Rate + c.Burst
	rate = min(c.Rate, most/(1+(clockTolerance+shortestValidity).Seconds()))
	return rate, time.Duration((most/rate-1)*float64(time.Second)) - clockTolerance
}

func (p *pacer) slotAt(t time.Time) int64 {
	return int64(math.Floor(float64(t.UnixNano()) / float64(time.Second) / p.slotLength()))
}

func (p *pacer) startOf(slot int64) time.Time {
	return time.Unix(0, int64(float64(slot)*p.slotLength()*float64(time.Second)))
}

// countUntil returns how many requests this host may send until a time, but at most limit.
func (p *pacer) countUntil(until time.Time, upstream uint64, f *Fleet, limit int) int {
	n, last := len(p.unused), p.slotAt(until)
	for slot := p.next; slot <= last && n < limit; slot++ {
		if f.ownsSlot(upstream, slot) {
			n += p.requestsPerSlot()
		}
	}
	return min(n, limit)
}

// refill adds the slots of this host that have begun and drops those that have expired.
func (p *pacer) refill(now time.Time, upstream uint64, f *Fleet) {
	current, oldest := p.slotAt(now), p.slotAt(now.Add(-p.validity()))
	if p.next > current+(current-oldest)+1 {
		p.next, p.unused = current+1, nil // the clock was set back
	}
	for p.next = max(p.next, oldest+1); p.next <= current; p.next++ {
		if f.ownsSlot(upstream, p.next) {
			p.unused = append(p.unused, slices.Repeat([]time.Time{p.startOf(p.next)}, p.requestsPerSlot())...)
		}
	}
	expired := 0
	for expired < len(p.unused) && now.Sub(p.unused[expired]) >= p.validity() {
		expired++
	}
	p.unused = p.unused[expired:]
}
