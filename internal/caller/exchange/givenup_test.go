package exchange_test

import (
	"context"
	"testing"
	"time"
)

// TestAttemptsThatAreGivenUpTakeRoom checks which attempts are reported to take room at their upstreams after their end, and for how long
// their connections stay open.
func TestAttemptsThatAreGivenUpTakeRoom(t *testing.T) {
	cases := []struct {
		name     string
		timeLeft time.Duration
		leaves   bool // the caller, after some tokens
		unwanted bool // no upstream wants requests
		reported []time.Duration
	}{
		{"complete", time.Minute, false, false, nil},
		{"the caller leaves", time.Minute, true, false, []time.Duration{0}},
		{"the deadline passes", 5 * tokenGap / 2, false, false, []time.Duration{300 * time.Millisecond}},
		{"not sent", 5 * tokenGap / 2, false, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				if c.unwanted {
					for id := range w.engines {
						w.unwanted.Store(id, true)
					}
				}
				ctx, leave := context.WithCancel(w.ctx)
				defer leave()
				tokens := 0
				w.chat(ctx, call{model: "again", relayed: true, timeLeft: c.timeLeft, write: func() {
					if tokens++; c.leaves && tokens == 3 {
						leave()
					}
				}})
				w.mu.Lock()
				defer w.mu.Unlock()
				w.Equal(w.givenUp, c.reported)
			})
		})
	}
}
