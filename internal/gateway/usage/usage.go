// Package usage counts the requests that upstreams began, by window of true time and customer.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counter holds this host's counts. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[int64]map[string]int
}

// New returns an empty Book with windows of a length, by an estimate of the true time.
func New(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, windows: map[int64]map[string]int{}}
}

// Window returns the number of the window that contains t.
func (b *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(b.length) }

// WindowEnd returns the end of a window.
func (b *Counter) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(b.length)) }

// Add counts a request that begins now.
func (b *Counter) Add(customer string) {
	w := b.Window(b.now())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.windows[w] == nil {
		b.windows[w] = map[string]int{}
	}
	b.windows[w][customer]++
}

// sharedWindows is how many windows are told to the other hosts: one that runs and those whose report
// may still be due.
const sharedWindows = 3

// RecentCounts returns the counts of the last windows.
func (b *Counter) RecentCounts() map[int64]map[string]int {
	w := b.Window(b.now())
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.windows, func(at int64, _ map[string]int) bool { return at < w-2*sharedWindows })
	recent := map[int64]map[string]int{}
	for at, counts := range b.windows {
		if at > w-sharedWindows {
			recent[at] = maps.Clone(counts)
		}
	}
	return recent
}

// Counts returns the counts of a window.
func (b *Counter) Counts(window int64) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.windows[window])
}
