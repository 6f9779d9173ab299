package engine

import "sort"

// batch admits requests to a bounded number of slots in order of priority, then arrival.
type batch struct {
	slots   int
	running int
	waiting []*waiter
	last    uint64
}

type waiter struct {
	priority int
	order    uint64
	ready    chan struct{}
}

func newBatch(slots int) *batch {
	return &batch{slots: slots}
}

func (b *batch) enter(priority int) *waiter {
	b.last++
	w := &waiter{priority: priority, order: b.last, ready: make(chan struct{})}
	if b.running < b.slots {
		b.running++
		close(w.ready)
		return w
	}
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority > priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = w
	return w
}

// leave ends the stay of w, whether it runs or still waits.
func (b *batch) leave(w *waiter) {
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
	b.running--
	if len(b.waiting) == 0 {
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.running++
	close(next.ready)
}
