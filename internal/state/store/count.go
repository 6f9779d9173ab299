package store

import (
	"fmt"
	"maps"
)

// CallKey identifies a counter of calls by the use and the operation.
type CallKey struct {
	use Use
	op  string
}

// Use returns the use that made the calls.
func (c CallKey) Use() Use { return c.use }

// Op returns the operation: get, put, delete, list, watch, grant, renew or revoke.
func (c CallKey) Op() string { return c.op }

// IsWrite reports whether the operation changes the store; changes of leases count as writes.
func (c CallKey) IsWrite() bool {
	switch c.op {
	case "put", "delete", "grant", "renew", "revoke":
		return true
	default:
		return false
	}
}

// CallCounts returns the calls made so far by use and operation.
func (c *Client) CallCounts() map[CallKey]uint64 {
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	return maps.Clone(c.shared.callCounts)
}

func (c *sharedState) countCall(u Use, op string) {
	key := CallKey{use: u, op: op}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCounts[key]++
	total, ok := c.callCounters[key]
	if !ok {
		total = c.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_store_calls_total{use=%q,op=%q}`, string(u), op))
		c.callCounters[key] = total
	}
	total.Inc()
}
