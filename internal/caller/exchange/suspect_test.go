package exchange_test

import (
	"context"
	"testing"
	"time"

	"hickorypath/internal/core/kind"
	standinengine "hickorypath/internal/standin/engine"
)

// TestVerdictOutlivesCaller lets a caller hang up while its lost upstream is asked whether it answers.
func TestVerdictOutlivesCaller(t *testing.T) {
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
			within(t, func(w *world) {
				w.latency = latency
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
				w.Equal(time.Since(crashed), patience) // the verdict is not waited for
				w.Equal(w.suspects.Load(), int64(0))
				time.Sleep(settle)
				w.Equal(w.suspects.Load(), c.suspects)
				w.Equal(w.crashes.Load(), c.suspects)
				w.True(w.pools["asesor"].IsIdle())
			})
		})
	}
}

func crashFor(e *standinengine.Engine, d time.Duration) {
	e.Crash()
	time.AfterFunc(d, e.Restore)
}
