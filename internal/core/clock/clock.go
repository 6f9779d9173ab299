// Package clock gives the wall clock and a monotonic clock that runs on while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads time through two function fields, so that tests can set both.
type Clock struct {
	now  func() time.Time
	boot func() time.Duration
}

// New returns a Clock that reads the wall time from now and the time since boot from boot.
func New(now func() time.Time, boot func() time.Duration) Clock {
	return Clock{now: now, boot: boot}
}

// NewSystem returns the clock of this machine; boot time is CLOCK_BOOTTIME.
func NewSystem() Clock {
	return New(time.Now, bootTime)
}

// NewWall returns a Clock whose boot time follows time.Now, as tests with virtual time need.
func NewWall() Clock {
	start := time.Now()
	return New(time.Now, func() time.Duration { return time.Since(start) })
}

// Now returns the wall time.
func (c Clock) Now() time.Time { return c.now() }

// Boot returns the time since an arbitrary start; it never goes back and counts suspension.
func (c Clock) Boot() time.Duration { return c.boot() }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not readable: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
