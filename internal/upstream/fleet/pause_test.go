package fleet_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/route"
)

// TestEngineIsPolledDuringAPause guards against a host that goes on asking an engine for its load although the engine wants nothing from
// the host.
func TestEngineIsPolledDuringAPause(t *testing.T) {
	runHarness(t, func(h *harness) {
		var polls atomic.Int64
		h.mu.Lock()
		h.answers["a:80"] = func() (route.Load, error) {
			polls.Add(1)
			return route.Load{At: time.Now()}, nil
		}
		h.mu.Unlock()
		h.own.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Pause: advisory.ParsePause("15")})
		time.Sleep(15*time.Second - time.Millisecond)
		synctest.Wait()
		h.Equal(polls.Load(), int64(0))
		time.Sleep(pollTime)
		synctest.Wait()
		h.True(polls.Load() > 0)
	})
}
