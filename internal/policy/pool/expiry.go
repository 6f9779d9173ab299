package pool

// expiryHeap is a min-heap of waiting calls by the time at which their wait ends.
type expiryHeap []*call

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	c := x.(*call)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	c.index = -1
	*h = old[:len(old)-1]
	return c
}
