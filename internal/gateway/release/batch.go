package release

import (
	"context"
	"sync"
	"time"
)

// batch shares the runs of a function among callers. A caller never gets the result of a run that began before it called.
type batch struct {
	run func() bool

	mu   sync.Mutex
	busy bool
	next *flight // of the callers that wait for the next run, nil if there are none
}

type flight struct {
	done chan struct{}
	ok   bool
}

// join returns the result of a run that begins from now on; false if it is not there within a time.
func (b *batch) join(ctx context.Context, within time.Duration) bool {
	b.mu.Lock()
	if b.next == nil {
		b.next = &flight{done: make(chan struct{})}
	}
	f := b.next
	if !b.busy {
		b.busy = true
		go b.work()
	}
	b.mu.Unlock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-f.done:
		return f.ok
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// work runs the function until nobody waits for it.
func (b *batch) work() {
	for {
		b.mu.Lock()
		f := b.next
		b.next = nil
		if f == nil {
			b.busy = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		f.ok = b.run()
		close(f.done)
	}
}
