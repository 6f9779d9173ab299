// Package clock provides the wall clock, a monotonic clock that also counts time while the machine is suspended, and
// waits that end with a context.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the wall time and the time since boot. Both sources are functions, so that tests can replace them.
type Clock struct {
	now  func() time.Time
	boot func() time.Duration
}

// New returns a Clock that reads the wall time from now and the time since boot from boot.
func New(now func() time.Time, boot func() time.Duration) Clock {
	return Clock{now: now, boot: boot}
}

// NewSystem returns the clock of this machine. Its boot time is CLOCK_BOOTTIME.
func NewSystem() Clock {
	return New(time.Now, bootTime)
}

// NewWall returns a Clock whose boot time is derived from time.Now, as tests with virtual time (testing/synctest) need.
func NewWall() Clock {
	start := time.Now()
	return New(time.Now, func() time.Duration { return time.Since(start) })
}

// Now returns the wall time.
func (c Clock) Now() time.Time { return c.now() }

// Boot returns the time since an arbitrary start. It never decreases, and it includes time while the machine is
// suspended.
func (c Clock) Boot() time.Duration { return c.boot() }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
