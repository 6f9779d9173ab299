package exchange_test

import (
	"testing"
	"time"
)

// TestUpstreamsAreUnusedAfterACut guards against a host that was cut off and goes on leaving out, when it is not any more, the upstreams
// that it did not reach.
func TestUpstreamsAreUnusedAfterACut(t *testing.T) {
	cases := []struct {
		name   string
		during func(w *harness) // makes requests fail
	}{
		{"a connection broke", func(w *harness) {
			tokens := 0
			w.chat(w.ctx, call{model: "once", write: func() {
				if tokens++; tokens == 4 {
					for _, e := range w.engines {
						e.Crash() // to this host, it looks like a cut
					}
				}
			}})
		}},
		{"connections were refused", func(w *harness) {
			for _, e := range w.engines {
				e.Crash()
			}
			for range 4 {
				w.chat(w.ctx, call{model: "once"})
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				w.isCutOff.Store(true)
				c.during(w)
				time.Sleep(time.Second)
				w.isCutOff.Store(false)
				for _, e := range w.engines {
					e.Restore()
				}
				for range 4 {
					w.NoErr(w.chat(w.ctx, call{model: "once"}).err)
				}
			})
		})
	}
}
