package instance

import (
	"context"
	"sync/atomic"
	"time"
)

// silence is a time in which an instance does nothing.
type silence struct{ until atomic.Int64 } // Unix nanoseconds

// Silence makes the instance silent for a while. It still accepts connections.
func (s *Server) Silence(d time.Duration) { s.silent.until.Store(time.Now().Add(d).UnixNano()) }

// wait waits until the silence is over or ctx ends.
func (s *silence) wait(ctx context.Context) {
	left := time.Until(time.Unix(0, s.until.Load()))
	if left <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(left):
	}
}
