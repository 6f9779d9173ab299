package document

import "time"

// Class is a request class: a tier, its service-level targets and the upstreams that may run it.
type Class struct {
	name              string
	tier              int
	firstToken        time.Duration
	tokenGap          time.Duration
	total             time.Duration
	maxQueueTime      time.Duration
	guaranteedShare   float64
	weight            float64
	allowsReclaimable bool
	durableShare      float64
	limit             Limit
}

// Name returns the name of the class.
func (c *Class) Name() string { return c.name }

// Tier returns the priority tier; 0 is the highest.
func (c *Class) Tier() int { return c.tier }

// FirstToken returns the target time to the first token, or zero if there is none.
func (c *Class) FirstToken() time.Duration { return c.firstToken }

// TokenGap returns the target time between tokens, or zero if there is none.
func (c *Class) TokenGap() time.Duration { return c.tokenGap }

// Total returns the target time for the complete answer, or zero if there is none.
func (c *Class) Total() time.Duration { return c.total }

// MaxQueueTime returns the maximum time that a request of the class may wait in the queue.
func (c *Class) MaxQueueTime() time.Duration { return c.maxQueueTime }

// GuaranteedShare returns the fraction of each pool's capacity that the class is guaranteed while it has requests.
func (c *Class) GuaranteedShare() float64 { return c.guaranteedShare }

// Weight returns the weight of the class in fair queueing among the classes of its tier.
func (c *Class) Weight() float64 { return c.weight }

// AllowsReclaimable reports whether requests of the class may run on reclaimable upstreams, which the platform
// may take back.
func (c *Class) AllowsReclaimable() bool { return c.allowsReclaimable }

// DurableShare returns the fraction of the class that is kept on durable upstreams. It is 1 for a class that may not
// run on reclaimable upstreams.
func (c *Class) DurableShare() float64 {
	if !c.allowsReclaimable {
		return 1
	}
	return c.durableShare
}

// Limit returns the limits of the class over all its customers.
func (c *Class) Limit() Limit { return c.limit }

func newClass() Class { return Class{weight: defaultWeight, maxQueueTime: defaultQueueTime} }

var classFields = []field[Class]{
	{name: "name", required: true, read: name(func(c *Class) *string { return &c.name })},
	{name: "tier", required: true, read: integer(func(c *Class) *int { return &c.tier }, 0, maxTier)},
	{name: "first", read: duration(func(c *Class) *time.Duration { return &c.firstToken }, time.Millisecond, time.Hour)},
	{name: "gap", read: duration(func(c *Class) *time.Duration { return &c.tokenGap }, time.Millisecond, time.Minute)},
	{name: "whole", read: duration(func(c *Class) *time.Duration { return &c.total }, time.Millisecond, 24*time.Hour)},
	{name: "wait", read: duration(func(c *Class) *time.Duration { return &c.maxQueueTime }, time.Millisecond, time.Hour)},
	{name: "share", read: number(func(c *Class) *float64 { return &c.guaranteedShare }, 0, 1)},
	{name: "weight", read: number(func(c *Class) *float64 { return &c.weight }, minWeight, maxWeight)},
	{name: "cheap", read: flag(func(c *Class) *bool { return &c.allowsReclaimable })},
	{name: "solid", read: number(func(c *Class) *float64 { return &c.durableShare }, 0, 1)},
	{name: "limit", read: object(func(c *Class) *Limit { return &c.limit }, limitFields)},
}
