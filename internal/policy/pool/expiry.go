package pool

import "time"

// expiry is a waiting call and the time at which its wait ends. The time is stored beside the pointer, so that
// heap comparisons do not dereference the call.
type expiry struct {
	at   int64 // nanoseconds since the Unix epoch
	call *call
}

// expiryHeap is a min-heap of waiting calls, ordered by the time at which their wait ends.
type expiryHeap []expiry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].call.expiryIndex, h[j].call.expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	c := x.(*call)
	c.expiryIndex = len(*h)
	*h = append(*h, expiry{at: c.expires.UnixNano(), call: c})
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	c := old[len(old)-1].call
	old[len(old)-1] = expiry{}
	c.expiryIndex = -1
	*h = old[:len(old)-1]
	return c
}

// first returns the call whose wait ends first if that time has been reached by now, otherwise nil.
func (h expiryHeap) first(now time.Time) *call {
	if len(h) == 0 || h[0].at > now.UnixNano() {
		return nil
	}
	return h[0].call
}
