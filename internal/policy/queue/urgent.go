package queue

import "slices"

// pushUrgent appends a request to the urgent requests of the tier, a plain list: urgent requests are retries
// and resumes, of which there are few.
func (c *class) pushUrgent(it *Item) {
	f, ok := c.flows[it.Customer]
	if !ok {
		f = &flow{customer: it.Customer, class: c, weight: weightOrDefault(it.Weight), startTag: c.virtualTime}
	}
	it.flow, it.chargedFlow = f, f
	c.tier.urgent = append(c.tier.urgent, it)
}

func (c *class) removeUrgent(it *Item) {
	it.flow = nil
	if i := slices.Index(c.tier.urgent, it); i >= 0 {
		c.tier.urgent = slices.Delete(c.tier.urgent, i, i+1)
	}
}

// firstUrgent returns the oldest urgent request of the tier whose class the filter allows, or nil.
func (t *tier) firstUrgent(allowed Filter) *Item {
	for _, it := range t.urgent {
		if allowed.class(it.Class, true) {
			return it
		}
	}
	return nil
}
