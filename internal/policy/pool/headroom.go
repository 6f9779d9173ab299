package pool

import (
	"math"
	"time"

	"hickorypath/internal/policy/queue"
)

// A slot becomes free only when a request finishes, so on a host whose slots are all busy the next arrival has
// to wait, whatever its tier. Lower tiers, and classes and customers that use more than their share, therefore
// leave some slots free for the arrivals of the others. This headroom is proportional to the square root of the
// slots that these arrivals occupy on average, as is the variation of the number of slots that they need.

// updateHeadroom computes how many free slots each tier leaves for the arrivals of higher tiers.
func (p *Pool) updateHeadroom(now time.Time) {
	higher := 0.0
	for t := range p.headroom {
		p.headroom[t] = p.headroomFor(higher)
		higher += p.gate.OfferedLoad(now, t)
	}
}

// headroomFor returns the number of slots to leave free for arrivals that occupy n slots on average.
func (p *Pool) headroomFor(n float64) int {
	return int(math.Min(math.Ceil(headroomFactor*math.Sqrt(n)), maxHeadroomShare*float64(p.limit)))
}

// mayServeClass reports whether a class may start a request in the present round of dispatch.
func (p *Pool) mayServeClass(name string, guaranteed bool) bool {
	k := p.classes[name]
	if k.blockedRound == p.dispatchRound {
		return false
	}
	return guaranteed || p.runningTotal+p.headroom[k.Tier]+p.classHeadroom(k) < p.limit
}

// classHeadroom returns the number of slots that a class with more than its share leaves free for the other
// classes of its tier. It is zero while a customer of the tier leaves headroom for all others: when that customer
// floods several classes, each of them exceeds its share at times, and the class headroom would delay the other
// customers of these classes as well.
func (p *Pool) classHeadroom(k *class) int {
	if p.isLargeCustomer(k.Tier, p.topCustomers[k.Tier]) {
		return 0
	}
	others := p.runningByTier[k.Tier] - k.running
	if others == 0 || float64(k.running) <= k.tierShare*float64(p.runningByTier[k.Tier]) {
		return 0
	}
	return p.headroomFor(float64(others))
}

// mayServeCustomer reports whether the customer of a waiting request may start a request.
func (p *Pool) mayServeCustomer(it *queue.Item) bool { return !p.mustLeaveHeadroom(p.calls[it.ID]) }

// mustLeaveHeadroom reports whether the free slots are to be left to other customers than that of the call.
// Only what the customer runs in the tier of the call counts: a burst of the customer in one tier does not
// delay its requests in other tiers.
func (p *Pool) mustLeaveHeadroom(c *call) bool {
	if c.guaranteedOnly || !p.isLargeCustomer(c.class.Tier, c.Customer) {
		return false
	}
	own := p.runningByCustomer[c.class.Tier][c.Customer]
	return p.runningTotal+p.headroom[c.class.Tier]+p.headroomFor(float64(p.runningTotal-own)) >= p.limit
}

// isLargeCustomer reports whether a customer runs so many requests in a tier that it has to leave headroom for
// the other customers.
func (p *Pool) isLargeCustomer(tier int, customer string) bool {
	return float64(p.runningByCustomer[tier][customer]) > largeCustomerShare*float64(p.limit)
}

// countCustomer counts a running request for the customer of a call, and updates the customer with the most
// running requests of the tier.
func (p *Pool) countCustomer(c *call) {
	tier := c.class.Tier
	byCustomer := p.runningByCustomer[tier]
	byCustomer[c.Customer]++
	if byCustomer[c.Customer] >= byCustomer[p.topCustomers[tier]] {
		p.topCustomers[tier] = c.Customer
	}
}
