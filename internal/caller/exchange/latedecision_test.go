package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/standin/knownfailure"
	"hickorypath/internal/upstream/dispatch"
)

// TestAttemptIsSentAlthoughItsUpstreamChangedDuringTheDial guards against requests that get an upstream, wait for a connection, and are
// sent although the upstream does not take them any more.
func TestAttemptIsSentAlthoughItsUpstreamChangedDuringTheDial(t *testing.T) {
	const dialDelay = time.Second
	target := func(id string) dispatch.Target {
		return dispatch.NewTarget(id, "a", id+":80", false, false).WithSlots(8)
	}
	cases := []struct {
		name   string
		call   call
		strike func(w *harness, picked, other string)
		kind   kind.Kind // of the error that the caller gets
	}{
		{"wants no requests", call{model: "once"}, func(w *harness, picked, _ string) { w.unwanted.Store(picked, true) }, ""},
		{"wants no requests, not streamed", call{model: "again", plain: true}, func(w *harness, picked, _ string) { w.unwanted.Store(picked, true) }, ""},
		{"drains", call{model: "again"}, func(w *harness, picked, other string) {
			w.pools["asesor"].SetTargets([]dispatch.Target{target(picked).WithDraining(), target(other)})
		}, ""},
		{"is down", call{model: "again"}, func(w *harness, picked, other string) {
			w.pools["asesor"].SetTargets([]dispatch.Target{target(picked).WithDown(), target(other)})
		}, ""},
		{"is gone", call{model: "once"}, func(w *harness, _, other string) {
			w.pools["asesor"].SetTargets([]dispatch.Target{target(other)})
		}, ""},
		{"has restarted elsewhere", call{model: "once", key: "k1"}, func(w *harness, picked, other string) {
			moved := dispatch.NewTarget(picked, "a", other+":80", false, false).WithSlots(8)
			w.pools["asesor"].SetTargets([]dispatch.Target{moved, target(other)})
		}, ""},
		{"the request is quarantined", call{model: "once"}, func(w *harness, picked, _ string) {
			now := time.Now()
			w.suspectTracker.MergeQuarantine(now, suspect.Quarantine{Fingerprint: suspect.NewFingerprint("laredo", "once", []byte(messages)), Upstream: picked, Until: now.Add(time.Hour)})
		}, kind.Quarantined},
		{"nothing", call{model: "again"}, func(*harness, string, string) {}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			isKnown := false
			withHarness(t, func(w *harness) {
				w.dialDelay = dialDelay
				picked, other := "", ""
				time.AfterFunc(dialDelay/2, func() {
					picked, other = "asesor-0", "asesor-1"
					if w.pools["asesor"].Running(picked) == 0 {
						picked, other = other, picked
					}
					c.strike(w, picked, other)
				})
				a := w.chat(w.ctx, c.call)
				known, err := knownfailure.IsListed("TestAttemptIsSentAlthoughItsUpstreamChangedDuringTheDial")
				w.NoErr(err)
				sent := len(w.engines[picked].Calls())
				if c.name == "nothing" {
					w.Equal(sent, 1)
					sent = 0
				}
				if isKnown = known && sent > 0; isKnown {
					return
				}
				w.Equal(sent, 0)
				w.Equal(kind.Of(a.err), c.kind)
				w.Equal(a.tokens, map[bool]int{true: outputLength}[c.kind == "" && !c.call.plain])
				w.Equal(w.crashes.Load(), int64(0))
				synctest.Wait()
				w.True(w.pools["asesor"].IsIdle())
			})
			if isKnown {
				t.Skip("known fault, see KNOWN-RED.txt")
			}
		})
	}
}
