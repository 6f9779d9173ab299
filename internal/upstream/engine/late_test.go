package engine_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/engine"
)

// TestRejectionAtTheDeadlineIsLost guards against an engine that turns a request away at its deadline and asks for a pause, which the host
// does not hear.
func TestRejectionAtTheDeadlineIsLost(t *testing.T) {
	const deadline = time.Second
	cases := []struct {
		name, id string // that the response states
		heard    bool
	}{{"of the attempt", "a", true}, {"without an id", "", true}, {"of another attempt", "b", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				stop := h.net.Serve("late:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method != http.MethodPost { // a probe of the quiet engine, which may be due at the deadline
						http.NotFound(w, r)
						return
					}
					time.Sleep(deadline + 50*time.Millisecond)
					if c.id != "" {
						w.Header().Set("X-Request-Id", c.id)
					}
					w.Header().Set("Retry-After", "4")
					w.WriteHeader(http.StatusServiceUnavailable)
				}))
				defer stop()
				ctx, cancel := context.WithTimeout(h.ctx, deadline)
				defer cancel()
				var heard atomic.Bool
				call := engine.Call{AttemptID: "a", Body: []byte(plainBody)}
				call.OnAdvisory = func(s advisory.Statement) { heard.Store(s.Pause.Length() == 4*time.Second) }
				_, err := h.client.Chat(ctx, "late:80", call)
				h.Equal(kind.Of(err), kind.Timeout)
				time.Sleep(deadline)
				h.Equal(heard.Load(), c.heard)
			})
		})
	}
}
