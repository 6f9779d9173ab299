// Package queue orders waiting requests: strictly by tier, within a tier by weighted fair queueing over
// classes, and within a class by weighted fair queueing over customers. Tier 0 is the highest.
//
// Service is charged in cost units (tokens). The charge is an estimate when a request starts, and is
// corrected when the actual length of the answer is known. Each class also has a guaranteed share: a part
// of all service that the class receives even while higher tiers are backlogged.
package queue

import "math"

// Class is the configuration of one class.
type Class struct {
	Name            string
	Tier            int
	Weight          float64 // weight among the classes of its tier, 1 when zero
	GuaranteedShare float64 // part of all service that the class gets regardless of the demand of higher tiers
}

// Item is one request in the queue.
type Item struct {
	ID       uint64
	Customer string
	Class    string
	Weight   float64 // weight of the customer, 1 when zero
	Cost     float64 // estimated cost
	Urgent   bool    // served before the other requests of its tier, and never a ShedCandidate

	flow        *flow // set while the request waits
	chargedFlow *flow
	debit       float64 // part of the charge that was taken from the credit of its class
	prev, next  *Item
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue struct {
	tiers      []*tier
	classes    map[string]*class
	servedCost float64
	length     int
}

type tier struct {
	level       int
	virtualTime float64
	classes     []*class
	urgent      []*Item
	waitingCost float64
	length      int
}

// New returns an empty Queue for classes.
func New(classes []Class) *Queue {
	q := &Queue{classes: make(map[string]*class)}
	for _, c := range classes {
		q.add(c)
	}
	return q
}

func (q *Queue) add(conf Class) {
	conf.Weight = weightOrDefault(conf.Weight)
	for len(q.tiers) <= conf.Tier {
		q.tiers = append(q.tiers, &tier{level: len(q.tiers)})
	}
	c := &class{conf: conf, tier: q.tiers[conf.Tier], flows: make(map[string]*flow)}
	c.tier.classes = append(c.tier.classes, c)
	q.classes[conf.Name] = c
}

// Push appends a request to the queue of its customer and class. It reports false if the class is unknown.
func (q *Queue) Push(it *Item) bool {
	c, ok := q.classes[it.Class]
	if !ok {
		return false
	}
	if it.Urgent {
		c.pushUrgent(it)
	} else {
		if c.length == 0 {
			c.startTag = math.Max(c.startTag, c.tier.virtualTime)
		}
		c.push(it)
	}
	c.tier.waitingCost += it.Cost
	c.tier.length++
	q.length++
	return true
}

// Filter decides which requests may be served now. A nil function allows all requests.
type Filter struct {
	// Class reports whether requests of a class may be served. The flag guaranteed is true when the request
	// would be served from the guaranteed share of the class, and for urgent requests.
	Class func(class string, guaranteed bool) bool
	// Customer reports whether a request may be served now, judged by its customer. If not, the customer is
	// skipped and the next customer of the class is served. Customer is not called for urgent requests nor for
	// requests that are served from the guaranteed share of their class.
	Customer func(it *Item) bool
}

func (f Filter) class(name string, guaranteed bool) bool {
	return f.Class == nil || f.Class(name, guaranteed)
}

func (f Filter) customer(it *Item) bool { return f.Customer == nil || f.Customer(it) }

// Peek returns the next request to serve among those that the filter allows, or nil, without removing the
// request from the queue. The result guaranteed is true if the request is served from the guaranteed share of
// its class.
func (q *Queue) Peek(allowed Filter) (it *Item, guaranteed bool) {
	if q.length == 0 {
		return nil, false
	}
	if it := q.peekGuaranteed(allowed); it != nil {
		return it, true
	}
	for _, t := range q.tiers {
		if it := t.firstUrgent(allowed); it != nil {
			return it, false
		}
		if it := t.first(allowed); it != nil {
			return it, false
		}
	}
	return nil, false
}

func (q *Queue) peekGuaranteed(allowed Filter) *Item {
	for i := len(q.tiers) - 1; i > 0; i-- {
		for _, c := range q.tiers[i].classes {
			if c.length == 0 || c.credit < c.head().Cost {
				continue
			}
			if allowed.class(c.conf.Name, true) {
				return c.head()
			}
		}
	}
	return nil
}

// Next removes and returns the next request to serve, or returns nil.
func (q *Queue) Next(allowed Filter) *Item {
	it, _ := q.Peek(allowed)
	if it != nil {
		q.Take(it)
	}
	return it
}

// Take removes a request that was returned by Peek and is about to be served, and charges its estimated
// cost.
func (q *Queue) Take(it *Item) {
	c := it.flow.class
	t := c.tier
	if it.Urgent {
		c.removeUrgent(it)
	} else {
		t.virtualTime = math.Max(t.virtualTime, c.startTag)
		c.take(it)
	}
	c.startTag += it.Cost / c.conf.Weight
	q.countRemoved(t, it)
	it.debit = q.recordService(c, it.Cost)
}

func (t *tier) first(allowed Filter) *Item {
	if t.length == 0 {
		return nil
	}
	var best *class
	var first *Item
	for _, c := range t.classes {
		if c.length == 0 || (best != nil && c.startTag >= best.startTag) {
			continue
		}
		if !allowed.class(c.conf.Name, false) {
			continue
		}
		if it := c.next(allowed); it != nil {
			best, first = c, it
		}
	}
	return first
}

// recordService accounts for cost units of service given to class c and adds credit to all classes that wait.
// It returns the amount by which the credit of c was reduced.
func (q *Queue) recordService(c *class, cost float64) (debit float64) {
	q.servedCost += cost
	debit = c.debit(cost)
	for _, t := range q.tiers {
		for _, other := range t.classes {
			other.accrue(cost, q.servedCost)
		}
	}
	return debit
}

// Remove takes a waiting request out of the queue. It reports false if the request is not waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil {
		return false
	}
	c := it.flow.class
	if it.Urgent {
		c.removeUrgent(it)
	} else {
		c.remove(it)
	}
	q.countRemoved(c.tier, it)
	return true
}

func (q *Queue) countRemoved(t *tier, it *Item) {
	t.length--
	t.waitingCost -= it.Cost
	q.length--
	if t.length == 0 {
		t.waitingCost = 0
	}
}

// AdjustCharge adds delta cost units, which may be negative, to the charge of a request that was taken from
// the queue by Take or Next.
func (q *Queue) AdjustCharge(it *Item, delta float64) {
	if it.chargedFlow == nil {
		return
	}
	c := it.chargedFlow.class
	c.startTag += delta / c.conf.Weight
	c.correctDebit(it, delta)
	c.adjustCharge(it, delta)
}

// RecordArrival records that a request of a class arrived, so that the class accrues credit from its
// guaranteed share even when its requests are refused. It reports whether the credit covers the request and
// those of the class that already wait. It is false for classes of the highest tier, which need no guarantee.
func (q *Queue) RecordArrival(className string, cost float64) bool {
	c, ok := q.classes[className]
	if !ok {
		return false
	}
	c.waitingUntil = q.servedCost + c.idleGrace(cost)
	c.creditLimit = math.Max(2*cost, c.creditLimit*creditLimitDecay)
	return c.conf.Tier > 0 && c.credit >= cost+c.waitingCost
}

// ShedCandidate returns a request to shed from a tier, or nil if no request of the tier can be shed. It picks
// the class that is last in the fair order of the tier, in that class a customer late in the fair order, and
// returns the newest request of that customer. Urgent requests are never returned.
func (q *Queue) ShedCandidate(level int) *Item {
	if level < 0 || level >= len(q.tiers) || q.tiers[level].length == 0 {
		return nil
	}
	var worst *class
	for _, c := range q.tiers[level].classes {
		if c.length > 0 && (worst == nil || c.startTag > worst.startTag) {
			worst = c
		}
	}
	if worst == nil {
		return nil
	}
	return worst.waitingFlows[len(worst.waitingFlows)-1].last
}

// LowestWaitingTier returns the lowest tier that has a waiting request, or -1 if the queue is empty. The
// lowest tier is the one with the highest number.
func (q *Queue) LowestWaitingTier() int {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].length > 0 {
			return i
		}
	}
	return -1
}

// CostAhead estimates the cost units that would be served before a new request of the customer and class.
func (q *Queue) CostAhead(className, customer string) float64 {
	c, ok := q.classes[className]
	if !ok {
		return 0
	}
	ahead := 0.0
	for _, t := range q.tiers[:c.conf.Tier] {
		ahead += t.waitingCost
	}
	return ahead + math.Min(c.tier.waitingCost, c.costAhead(customer)*c.tier.stretchFactor(c))
}

// stretchFactor returns the factor by which the other waiting classes of the tier lengthen the wait of
// class c: the inverse of the part of the tier's service that c receives.
func (t *tier) stretchFactor(c *class) float64 {
	total := c.conf.Weight
	for _, other := range t.classes {
		if other != c && other.length > 0 {
			total += other.conf.Weight
		}
	}
	return total / c.conf.Weight
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Tiers returns the number of tiers, which is one more than the number of the lowest configured tier.
func (q *Queue) Tiers() int { return len(q.tiers) }

// Depth returns the number of waiting requests in a tier, zero for an unknown tier.
func (q *Queue) Depth(level int) int {
	if level < 0 || level >= len(q.tiers) {
		return 0
	}
	return q.tiers[level].length
}

// WaitingCost returns the summed estimated cost of the requests that wait in a tier.
func (q *Queue) WaitingCost(level int) float64 {
	if level < 0 || level >= len(q.tiers) {
		return 0
	}
	return q.tiers[level].waitingCost
}

// ActiveWeight returns the sum over the waiting customers of a tier of their weight, multiplied by the weight
// of the class in which they wait.
func (q *Queue) ActiveWeight(level int) float64 {
	if level < 0 || level >= len(q.tiers) {
		return 0
	}
	sum := 0.0
	for _, c := range q.tiers[level].classes {
		sum += c.activeWeight * c.conf.Weight
	}
	return sum
}

func weightOrDefault(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}
