package fleet_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/dispatch"
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

// TestHostThatHasStartedAgainSendsDuringAPause guards against a host that starts again during a pause, and then sends requests to the engine
// that had asked for it.
func TestHostThatHasStartedAgainSendsDuringAPause(t *testing.T) {
	cases := []struct {
		name    string
		host    string            // that starts after the statement
		engines []dispatch.Target // that it knows
		takes   []string
	}{
		{"the host", "h0", []dispatch.Target{engineAt("a"), engineAt("b")}, []string{"b"}},
		{"the host, the engine has started at another address", "h0", []dispatch.Target{dispatch.NewTarget("a", "z", "a:81", false, false), engineAt("b")}, []string{"a", "b"}},
		{"another host", "h2", []dispatch.Target{engineAt("a"), engineAt("b")}, []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.own.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Pause: advisory.ParsePause("15")})
				h.deliverAll(0, 1, "pause")
				h.own = h.newHost(h.ctx, 0, c.host)
				time.Sleep(2 * time.Second)
				h.deliverAll(1, 0, "pause")
				h.setEngines(c.engines...)
				synctest.Wait()
				h.Equal(acceptingEngines(h.own), c.takes)
				time.Sleep(13 * time.Second)
				h.Equal(acceptingEngines(h.own), []string{"a", "b"})
			})
		})
	}
}
