package exchange_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	standinengine "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/upstream"
	"hickorypath/internal/upstream/dispatch"
)

// TestCrashProbeOutlivesCaller checks that the probe of an upstream whose connection was lost continues after the
// caller has disconnected, so that the request still becomes a suspect.
func TestCrashProbeOutlivesCaller(t *testing.T) {
	const latency, patience = 100 * time.Millisecond, 50 * time.Millisecond
	cases := []struct {
		name     string
		restart  time.Duration
		suspects int64
	}{
		{"the engine answers", time.Millisecond, 0},
		{"the engine is gone", time.Hour, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				w.probeLatency = latency
				ctx, hangUp := context.WithCancel(w.ctx)
				defer hangUp()
				var crashed time.Time
				a := w.chat(ctx, call{model: "again", write: func() {
					crashed = time.Now()
					for _, e := range w.running() {
						crashFor(e, c.restart)
					}
					time.AfterFunc(patience, hangUp)
				}})
				w.Equal(kind.Of(a.err), kind.Canceled)
				w.Equal(time.Since(crashed), patience) // the caller does not wait for the probe
				w.Equal(w.suspects.Load(), int64(0))
				time.Sleep(settleTime)
				w.Equal(w.suspects.Load(), c.suspects)
				w.Equal(w.crashes.Load(), c.suspects)
				w.True(w.pools["asesor"].IsIdle())
			})
		})
	}
}

// TestCrashRecallsCopy runs two copies of a request at the same time and crashes the upstream of one of them: the
// other copy is recalled, so that it does not crash its upstream too, and both callers get the complete response.
func TestCrashRecallsCopy(t *testing.T) {
	withHarness(t, func(w *harness) {
		want := w.chat(w.ctx, call{model: "again"})
		w.NoErr(want.err)
		w.bills = nil
		answers := make(chan answer, 2)
		var tokens atomic.Int64
		for range 2 {
			go func() {
				answers <- w.chat(w.ctx, call{model: "again", write: func() {
					if tokens.Add(1) == 6 {
						w.Equal(len(w.running()), 2) // each on its own engine
						w.engines["asesor-0"].Crash()
					}
				}})
			}()
		}
		for range 2 {
			a := <-answers
			w.NoErr(a.err)
			w.Equal(a.text, want.text)
		}
		w.Equal(w.crashes.Load(), int64(1))
		w.Equal(w.suspects.Load(), int64(1))
		w.Equal(len(w.bills), 2)
		stopped := lo.CountBy(w.engines["asesor-1"].Calls(), func(c *upstream.Call) bool { return !c.Done() })
		w.Equal(stopped, 1) // the other copy
	})
}

// TestDrainingUpstreamMakesNoSuspects checks that no request becomes a suspect when an upstream that the platform
// drains stops.
func TestDrainingUpstreamMakesNoSuspects(t *testing.T) {
	withHarness(t, func(w *harness) {
		tokens := 0
		a := w.chat(w.ctx, call{model: "again", write: func() {
			if tokens++; tokens != 4 {
				return
			}
			for id, e := range w.engines {
				if e.Load().Running > 0 {
					w.drain(id)
					e.Crash()
				}
			}
		}})
		w.NoErr(a.err)
		w.Equal(a.tokens, outputLength)
		w.Equal(w.suspects.Load(), int64(0))
	})
}

// TestZoneLost checks that a request becomes a suspect when one engine of its zone crashes, but not when all engines
// of the zone crash at once.
func TestZoneLost(t *testing.T) {
	cases := []struct {
		name     string
		all      bool
		suspects int64
	}{{"the zone", true, 0}, {"one engine of two", false, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				tokens := 0
				a := w.chat(w.ctx, call{model: "again", write: func() {
					if tokens++; tokens != 4 {
						return
					}
					for _, e := range w.engines {
						if c.all || e.Load().Running > 0 {
							e.Crash()
						}
					}
				}})
				w.Equal(a.err != nil, c.all)
				w.Equal(w.suspects.Load(), c.suspects)
			})
		})
	}
}

// TestHostThatIsCutOffReportsCrashes guards against a host that is cut off from the upstreams and tells the others that these have
// crashed.
func TestHostThatIsCutOffReportsCrashes(t *testing.T) {
	for _, isCutOff := range []bool{false, true} {
		t.Run(strconv.FormatBool(isCutOff), func(t *testing.T) {
			withHarness(t, func(w *harness) {
				tokens := 0
				a := w.chat(w.ctx, call{model: "once", write: func() {
					if tokens++; tokens == 4 {
						w.isCutOff.Store(isCutOff)
						crash(w, nil) // to this host, the engine looks as if it were cut off
					}
				}})
				w.Equal(kind.Of(a.err), kind.Lost)
				w.Equal(w.crashes.Load() > 0, !isCutOff)
			})
		})
	}
}

// TestRequestsOfUpstreamsThatFallOverAreSuspects guards against requests that are suspected of having crashed a brittle upstream which has
// failed for want of room.
func TestRequestsOfUpstreamsThatFallOverAreSuspects(t *testing.T) {
	for _, lacksRoom := range []bool{false, true} {
		t.Run(strconv.FormatBool(lacksRoom), func(t *testing.T) {
			withHarness(t, func(w *harness) {
				w.lacksRoom.Store(lacksRoom)
				a := w.chat(w.ctx, call{model: "once", write: func() { crash(w, nil) }})
				w.Equal(kind.Of(a.err), kind.Lost)
				w.Equal(w.suspects.Load() > 0, !lacksRoom)
			})
		})
	}
}

// TestSuspectWithoutUpstream checks that a suspect is refused without waiting while no upstream is in service.
func TestSuspectWithoutUpstream(t *testing.T) {
	withHarness(t, func(w *harness) {
		first := w.chat(w.ctx, call{model: "once", write: func() { crash(w, nil) }})
		w.Equal(kind.Of(first.err), kind.Lost)
		w.Equal(w.suspects.Load(), int64(1))
		w.updateTargets(func(t dispatch.Target) dispatch.Target { return t.WithDown() })
		sent := time.Now()
		again := kind.From(w.chat(w.ctx, call{model: "once"}).err)
		w.Equal(again.Kind(), kind.Unavailable)
		w.Equal(again.Ran(), kind.RanNo)
		w.True(again.RetryAfter() > 0)
		w.Equal(time.Since(sent), time.Duration(0))
	})
}

// drain marks an engine as drained by the platform.
func (w *harness) drain(id string) {
	w.updateTargets(func(t dispatch.Target) dispatch.Target {
		if t.ID() == id {
			return t.WithDraining()
		}
		return t
	})
}

// updateTargets applies change to each engine of the pool.
func (w *harness) updateTargets(change func(dispatch.Target) dispatch.Target) {
	p := w.pools["asesor"]
	p.SetTargets(lo.Map(p.Targets(), func(t dispatch.Target, _ int) dispatch.Target { return change(t) }))
}

// crashFor crashes an engine and restores it after d.
func crashFor(e *standinengine.Engine, d time.Duration) {
	e.Crash()
	time.AfterFunc(d, e.Restore)
}
