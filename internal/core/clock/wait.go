package clock

import (
	"context"
	"time"
)

// Every calls step each time interval has elapsed, until ctx ends.
func Every(ctx context.Context, interval time.Duration, step func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			step()
		}
	}
}

// Pause waits until d has elapsed or ctx ends, whichever comes first.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
