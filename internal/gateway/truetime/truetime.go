// Package truetime estimates the true time on a host whose time of day may jump.
//
// The estimate starts from the host's time of day and then advances with the monotonic clock that counts the time since
// boot. If the time of day was wrong at the start, the estimate is corrected by the median of the offsets to the
// estimates of other hosts.
package truetime

import (
	"slices"
	"sync"
	"time"

	"hickorypath/internal/core/clock"
)

// Clock is an estimate of the true time. It is safe for concurrent use.
type Clock struct {
	local clock.Clock

	mu      sync.Mutex
	base    time.Time // estimated true time at which the boot clock was zero
	offsets map[string]offset
}

// offset is the difference between the estimate of another host and the estimate of this host.
type offset struct {
	difference time.Duration
	measuredAt time.Duration // in time since boot
}

const (
	// maxOffset is the median offset up to which the estimate is not corrected. Offsets contain the delay of messages,
	// which is a few milliseconds, and much more on a host that is short of CPU time.
	maxOffset = 400 * time.Millisecond
	// offsetTTL is how long the offset to another host is used after it was measured.
	offsetTTL = 3 * time.Second
)

// New returns a Clock whose estimate starts from the current time of day of c.
func New(c clock.Clock) *Clock {
	return &Clock{local: c, base: c.Now().Add(-c.Boot()), offsets: map[string]offset{}}
}

// Now returns the current estimate of the true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.base.Add(c.local.Boot())
}

// Observe records the current estimate of another host and corrects the estimate of this host if necessary. It returns
// the correction, 0 for none.
func (c *Clock) Observe(host string, theirs time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot := c.local.Boot()
	c.offsets[host] = offset{theirs.Sub(c.base.Add(boot)), boot}
	all := []time.Duration{0} // offset of this host to itself
	for h, o := range c.offsets {
		if boot-o.measuredAt > offsetTTL {
			delete(c.offsets, h)
			continue
		}
		all = append(all, o.difference)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if len(all) < 3 || median.Abs() <= maxOffset {
		return 0
	}
	c.base = c.base.Add(median)
	clear(c.offsets) // the recorded offsets refer to the estimate before the correction
	return median
}
