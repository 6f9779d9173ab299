package fleet_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/upstream/dispatch"
)

// TestSlotOfARequestThatWasGivenUpIsUsedTooEarly guards against a request that is sent to a brittle engine while one that was given up still
// takes its slot there.
func TestSlotOfARequestThatWasGivenUpIsUsedTooEarly(t *testing.T) {
	cases := []struct {
		name    string
		brittle string
		delay   time.Duration // until the connection is closed
		free    time.Duration // when the slot is
	}{
		{"not brittle", "", 0, 0},
		{"brittle", "1", 0, 250 * time.Millisecond},
		{"brittle, at its deadline", "1", 300 * time.Millisecond, 550 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				time.Sleep(pollTime) // until the other host is known
				statement := advisory.Statement{}
				if c.brittle != "" {
					statement.Brittle = advisory.ParseBrittle(c.brittle)
				}
				h.own.RecordAdvisory(engineAt("a"), time.Now(), statement)
				synctest.Wait()
				d, _ := h.own.Pool("asesor")
				grants := []dispatch.Grant{h.held}
				for slices.Contains(acceptingEngines(h.own), "a") { // until the host's part is used
					grants = append(grants, h.acquire("a"))
				}
				h.own.RecordGivenUp("asesor", "a", c.delay)
				d.Release(h.held, pool.Result{Failed: true})
				begin := time.Now()
				for !slices.Contains(acceptingEngines(h.own), "a") {
					time.Sleep(time.Millisecond)
				}
				h.Equal(time.Since(begin), c.free)
				for _, g := range grants[1:] {
					d.Release(g, pool.Result{OutputTokens: 1})
				}
			})
		})
	}
}

// TestSoundUpstreamHidesABrittleOne guards against a brittle engine that counts as sound because another one of its pool, which has never
// been brittle, answers while no request runs there.
func TestSoundUpstreamHidesABrittleOne(t *testing.T) {
	runHarness(t, func(h *harness) {
		state := func(engine, brittle string) {
			s := advisory.Statement{}
			if brittle != "" {
				s.Brittle = advisory.ParseBrittle(brittle)
			}
			h.own.RecordAdvisory(engineAt(engine), time.Now(), s)
			synctest.Wait()
		}
		time.Sleep(pollTime) // until the other host is known
		state("a", "1")
		time.Sleep(2 * time.Second)
		state("b", "")
		h.True(h.own.IsBrittle("asesor"))
		state("a", "")
		h.True(!h.own.IsBrittle("asesor"))
	})
}
