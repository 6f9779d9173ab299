package clock

import (
	"context"
	"time"
)

// Every calls step once each interval until ctx ends.
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

// Pause waits for d, or until ctx ends if that comes first.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
