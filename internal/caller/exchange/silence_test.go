package exchange_test

import (
	"fmt"
	"testing"
	"time"
)

// TestSilentSecondBreaksStreams guards against streams that are taken up elsewhere, requests that may run once and get another answer than
// their own, and upstreams that count as crashed, when a sound upstream is silent for a second.
func TestSilentSecondBreaksStreams(t *testing.T) {
	cases := []struct {
		name   string
		call   call
		before int // tokens that have come
	}{
		{"before the first token", call{model: "again"}, 0},
		{"within a stream", call{model: "again"}, 4},
		{"within a stream that may run once", call{model: "once"}, 4},
		{"not streamed, may run once", call{model: "once", plain: true}, 0},
	}
	for _, c := range cases {
		for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprint(c.name, ", ", silence), func(t *testing.T) {
				withHarness(t, func(w *harness) {
					freeze := func() {
						for _, e := range w.running() {
							e.Freeze()
							time.AfterFunc(silence, e.Restore)
						}
					}
					tokens := 0
					c.call.write = func() {
						if tokens++; tokens == c.before {
							freeze()
						}
					}
					if c.before == 0 {
						time.AfterFunc(tokenGap/2, freeze)
					}
					a := w.chat(w.ctx, c.call)
					w.NoErr(a.err)
					if !c.call.plain {
						w.Equal(a.tokens, outputLength)
					}
					w.Equal(w.engineRequests(), 1)
					w.Equal(w.crashes.Load(), int64(0))
					w.Equal(w.suspects.Load(), int64(0))
				})
			})
		}
	}
}
