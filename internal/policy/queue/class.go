package queue

import (
	"container/heap"
	"math"
)

const (
	// idleGraceFactor bounds how long a class without waiting requests goes on accruing credit after its last
	// arrival. The unit is the total service over which the guaranteed share of the class pays for one request.
	idleGraceFactor = 4
	// creditLimitDecay is the factor that each arrival applies to the bound on saved credit, so that the bound
	// decays towards the cost of recent requests.
	creditLimitDecay = 0.99
)

// class is the state of one class: a start-time fair queue over its customers.
type class struct {
	conf         Class
	tier         *tier
	startTag     float64 // start tag of the class in the virtual time of its tier
	virtualTime  float64 // virtual time of the fair queue over customers
	flows        map[string]*flow
	waitingFlows flowHeap // customers with waiting requests, ordered by start tag
	idleFlows    flowHeap // customers without waiting requests whose start tag is ahead of virtualTime
	waitingCost  float64
	activeWeight float64 // summed weight of the customers in waitingFlows
	length       int

	credit       float64 // service that the guaranteed share still owes to the class; a debt when negative
	creditLimit  float64 // upper bound of credit
	waitingUntil float64 // value of Queue.servedCost up to which the class accrues credit without waiting requests
}

// flow is the queue of one customer in a class.
type flow struct {
	customer    string
	class       *class
	weight      float64
	startTag    float64 // start tag of the first waiting request
	first, last *Item
	waitingCost float64
	heapIndex   int
	idle        bool
}

func (c *class) head() *Item { return c.waitingFlows[0].first }

// next returns the first request of the first customer that the filter allows, or nil.
func (c *class) next(allowed Filter) *Item {
	f := c.waitingFlows.firstAllowed(0, allowed)
	if f == nil {
		return nil
	}
	return f.first
}

func (c *class) push(it *Item) {
	f := c.activeFlow(it)
	it.flow, it.chargedFlow = f, f
	f.append(it)
	c.waitingCost += it.Cost
	c.length++
}

// activeFlow returns the flow of the customer of a request as a member of waitingFlows. It creates the flow
// or moves it from idleFlows if necessary.
func (c *class) activeFlow(it *Item) *flow {
	f, ok := c.flows[it.Customer]
	if !ok {
		f = &flow{customer: it.Customer, class: c, weight: weightOrDefault(it.Weight)}
		c.flows[it.Customer] = f
	}
	if f.first != nil {
		return f
	}
	if f.idle {
		heap.Remove(&c.idleFlows, f.heapIndex)
		f.idle = false
	}
	f.weight = weightOrDefault(it.Weight)
	f.startTag = math.Max(f.startTag, c.virtualTime)
	heap.Push(&c.waitingFlows, f)
	c.activeWeight += f.weight
	return f
}

// take removes a request that is about to be served and charges its estimated cost to the customer.
func (c *class) take(it *Item) {
	f := it.flow
	c.virtualTime = math.Max(c.virtualTime, f.startTag)
	f.startTag += it.Cost / f.weight
	c.remove(it)
	c.dropIdleFlows()
}

func (c *class) remove(it *Item) {
	f := it.flow
	f.unlink(it)
	c.updateFlow(f)
	c.countRemoved(it)
}

func (c *class) countRemoved(it *Item) {
	it.flow = nil
	c.length--
	c.waitingCost -= it.Cost
	if c.length == 0 {
		c.waitingCost, c.activeWeight = 0, 0
	}
}

// updateFlow restores the heap order after the first request of f has changed, and moves f to idleFlows when
// no request of f is left.
func (c *class) updateFlow(f *flow) {
	if f.first != nil {
		heap.Fix(&c.waitingFlows, f.heapIndex)
		return
	}
	heap.Remove(&c.waitingFlows, f.heapIndex)
	c.activeWeight -= f.weight
	f.idle = true
	heap.Push(&c.idleFlows, f)
}

// dropIdleFlows removes the idle customers whose start tag is not ahead of virtualTime. They have no debt, so
// nothing needs to be remembered about them.
func (c *class) dropIdleFlows() {
	for len(c.idleFlows) > 0 && c.idleFlows[0].startTag <= c.virtualTime {
		f := heap.Pop(&c.idleFlows).(*flow)
		f.idle = false
		delete(c.flows, f.customer)
	}
}

func (c *class) adjustCharge(it *Item, delta float64) {
	f := it.chargedFlow
	if f.isForgotten() {
		f = c.restoreFlow(it, delta)
	}
	if f == nil {
		return
	}
	f.startTag = math.Max(f.startTag+delta/f.weight, c.virtualTime)
	if f.idle {
		heap.Fix(&c.idleFlows, f.heapIndex)
		return
	}
	heap.Fix(&c.waitingFlows, f.heapIndex)
}

// restoreFlow returns the present flow of a customer whose earlier flow was dropped. If there is none, it
// creates a flow when delta is a debt, and returns nil otherwise.
func (c *class) restoreFlow(it *Item, delta float64) *flow {
	f, ok := c.flows[it.Customer]
	if !ok && delta > 0 {
		f = &flow{customer: it.Customer, class: c, weight: weightOrDefault(it.Weight), startTag: c.virtualTime, idle: true}
		c.flows[it.Customer] = f
		heap.Push(&c.idleFlows, f)
	}
	return f
}

// isForgotten reports whether the class has dropped the flow.
func (f *flow) isForgotten() bool { return !f.idle && f.first == nil }

// costAhead estimates the cost units that the class would serve before a new request of the customer.
func (c *class) costAhead(customer string) float64 {
	if c.length == 0 {
		return 0
	}
	f, ok := c.flows[customer]
	if !ok {
		return 0
	}
	tag := math.Max(c.virtualTime, f.startTag) + f.waitingCost/f.weight
	weight := c.activeWeight
	if f.first == nil {
		weight += f.weight
	}
	return math.Min(c.waitingCost, (tag-c.virtualTime)*weight)
}

// accrue adds the guaranteed share of cost units of service to the credit of a class that counts as waiting.
// The argument served is the total service of the queue.
func (c *class) accrue(cost, served float64) {
	if c.length == 0 && c.waitingUntil < served {
		return
	}
	c.credit = math.Min(c.credit+cost*c.conf.GuaranteedShare, c.creditLimit)
}

// debit reduces the credit by cost, but not below -cost, and returns the reduction.
func (c *class) debit(cost float64) float64 {
	debit := math.Max(0, math.Min(cost, c.credit+cost))
	c.credit -= debit
	return debit
}

// correctDebit applies a correction of a request's charge by delta to the credit of the class. The debt stays
// within the larger of creditLimit and the cost of the request. The class gets back at most what was debited
// for the request: otherwise a class that receives more than its guaranteed share would earn credit from each
// answer that is shorter than estimated.
func (c *class) correctDebit(it *Item, delta float64) {
	room := c.credit + math.Max(c.creditLimit, it.Cost)
	debit := math.Max(-it.debit, math.Min(delta, math.Max(0, room)))
	it.debit += debit
	c.credit -= debit
}

// idleGrace returns the total service, after an arrival of a request that costs cost, during which the class
// counts as waiting.
func (c *class) idleGrace(cost float64) float64 {
	if c.conf.GuaranteedShare <= 0 {
		return 0
	}
	return idleGraceFactor * cost / c.conf.GuaranteedShare
}

func (f *flow) append(it *Item) {
	it.prev, it.next = f.last, nil
	if f.last != nil {
		f.last.next = it
	} else {
		f.first = it
	}
	f.last = it
	f.waitingCost += it.Cost
}

func (f *flow) unlink(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.last = it.prev
	}
	it.prev, it.next = nil, nil
	f.waitingCost -= it.Cost
}

// flowHeap is a min-heap of flows by start tag.
type flowHeap []*flow

// firstAllowed returns the flow with the lowest start tag that the filter allows in the subtree of the heap
// rooted at index i. It descends only below flows that the filter rejects, since a parent has the lower tag.
func (h flowHeap) firstAllowed(i int, allowed Filter) *flow {
	if i >= len(h) {
		return nil
	}
	if allowed.customer(h[i].first) {
		return h[i]
	}
	left, right := h.firstAllowed(2*i+1, allowed), h.firstAllowed(2*i+2, allowed)
	if left == nil || (right != nil && right.startTag < left.startTag) {
		return right
	}
	return left
}

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
