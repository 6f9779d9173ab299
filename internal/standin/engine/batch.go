package engine

import (
	"cmp"
	"slices"
)

// batch is a queue for a bounded number of execution slots, ordered by priority (lowest number first), then arrival.
type batch struct {
	slots   int
	running int
	waiting []*waiter
	longest int // most requests that have waited at a time
}

// waiter is the queue entry of one request; ready is closed when the request gets a slot.
type waiter struct {
	priority int
	ready    chan struct{}
}

// enter queues a request and admits it at once if a slot is free.
func (b *batch) enter(priority int) *waiter {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	slices.SortStableFunc(b.waiting, func(x, y *waiter) int { return cmp.Compare(x.priority, y.priority) })
	b.admit()
	b.longest = max(b.longest, len(b.waiting))
	return w
}

// leave removes w, whether its request is running or still waiting.
func (b *batch) leave(w *waiter) {
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	b.running--
	b.admit()
}

// admit gives the free slots to the first waiting requests.
func (b *batch) admit() {
	for b.running < b.slots && len(b.waiting) > 0 {
		close(b.waiting[0].ready)
		b.waiting = b.waiting[1:]
		b.running++
	}
}
