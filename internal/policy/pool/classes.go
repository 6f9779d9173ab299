package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/queue"
)

// SetClasses replaces the classes. Learned estimates and running requests are kept. Waiting requests keep their
// arrival time, and are refused if their class no longer exists.
func (p *Pool) SetClasses(now time.Time, classes []Class) []Decision {
	p.setClasses(classes)
	waiting := lo.Filter(lo.Values(p.calls), func(c *call, _ int) bool { return !c.isRunning() })
	slices.SortFunc(waiting, func(a, b *call) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
	})
	p.unplaceable = nil
	for _, c := range p.calls {
		p.rebind(c)
	}
	for _, c := range waiting {
		p.requeue(c)
	}
	p.splitSlots(now)
	p.dispatch(now)
	return p.takeDecisions()
}

func (p *Pool) setClasses(classes []Class) {
	p.classes = make(map[string]*class, len(classes))
	queued := make([]queue.Class, 0, len(classes))
	for _, c := range classes {
		p.classes[c.Name] = newClass(c)
		queued = append(queued, queue.Class{Name: c.Name, Tier: c.Tier, Weight: c.Weight, GuaranteedShare: max(c.GuaranteedShare, minGuaranteedShare)})
	}
	p.queue = queue.New(queued)
	p.gate.Resize(p.queue.Tiers())
	p.runningByTier = make([]int, p.queue.Tiers())
	p.runningByCustomer = make([]map[string]int, p.queue.Tiers())
	p.topCustomers = make([]string, p.queue.Tiers())
	for t := range p.runningByCustomer {
		p.runningByCustomer[t] = make(map[string]int)
	}
	p.headroom = make([]int, p.queue.Tiers())
	p.computeTierShares()
}

// rebind moves a call to the class that now has the name of its class. A running call whose class no longer
// exists counts in the lowest tier until it finishes.
func (p *Pool) rebind(c *call) {
	k, ok := p.classes[c.Class]
	if !ok {
		gone := *c.class
		gone.Tier = max(0, p.queue.Tiers()-1)
		gone.running, gone.runningDurable = 0, 0
		k = &gone
	}
	c.class = k
	if !c.isRunning() {
		return
	}
	p.runningByTier[k.Tier]++
	k.running++
	p.countCustomer(c)
	if c.durable {
		k.runningDurable++
	}
}

// requeue puts a waiting call into the new queue, or refuses the call if its class no longer exists.
func (p *Pool) requeue(c *call) {
	c.unplaceable = false
	c.item = queue.Item{ID: c.ID, Customer: c.Customer, Class: c.Class, Weight: c.Weight, Cost: c.item.Cost, Urgent: c.IsRetry}
	if p.queue.Push(&c.item) {
		return
	}
	p.removeExpiry(c)
	delete(p.calls, c.ID)
	p.refuse(c, kind.Unavailable, 0)
}
