package exchange_test

import (
	"context"
	"testing"
	"time"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/kind"
)

// TestStreamOfAnotherHostIsTakenUp checks what a host does with the rest of a stream that another host has begun.
func TestStreamOfAnotherHostIsTakenUp(t *testing.T) {
	cases := []struct {
		name     string
		timeLeft time.Duration
		progress exchange.Progress
		tokens   int // that the caller gets from this host
		billed   int
		kind     kind.Kind
	}{
		{"from its beginning", 0, exchange.Progress{}, outputLength, outputLength, ""},
		{"after five tokens", time.Minute, exchange.Progress{Tokens: 5, AttemptID: "a-1"}, outputLength - 5, outputLength, ""},
		{"too little time is left", 5 * tokenGap / 2, exchange.Progress{Tokens: 5}, 2, 0, kind.Timeout},
		{"unreadable", 0, exchange.Progress{Tokens: -1}, 0, 0, kind.Peer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				a := w.chat(w.ctx, call{model: "again", relayed: true, timeLeft: c.timeLeft, progress: c.progress})
				w.Equal(kind.Of(a.err), c.kind)
				w.Equal(a.tokens, c.tokens)
				w.Equal(w.billedTokens(), c.billed)
			})
		})
	}
}

// TestStreamIsTakenUpElsewhere checks which streams another host may take up that break while their host is cut off, and that this host
// bills nothing of them.
func TestStreamIsTakenUpElsewhere(t *testing.T) {
	const brokenAfter = 4 // tokens
	cases := []struct {
		name   string
		call   call
		isCut  bool
		tokens int
		leaves bool // the caller
	}{
		{"a stream", call{model: "again"}, true, brokenAfter, false},
		{"the host is not cut off", call{model: "again"}, false, 0, false},
		{"may run once", call{model: "once"}, true, 0, false},
		{"not streamed", call{model: "again", plain: true}, true, 0, false},
		{"another host has sent it", call{model: "again", relayed: true}, true, 0, false},
		{"the caller leaves", call{model: "again"}, true, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				ctx, leave := context.WithCancel(w.ctx)
				defer leave()
				tokens := 0
				c.call.write = func() {
					if tokens++; tokens != brokenAfter {
						return
					}
					w.isCutOff.Store(c.isCut)
					for _, e := range w.engines {
						e.Crash()
					}
					if c.leaves {
						leave()
					}
				}
				if c.call.plain {
					time.AfterFunc(3*tokenGap, func() {
						w.isCutOff.Store(true)
						for _, e := range w.engines {
							e.Crash()
						}
					})
				}
				a := w.chat(ctx, c.call)
				w.True(a.err != nil)
				w.Equal(a.progress.Tokens, c.tokens)
				if c.tokens > 0 {
					w.True(a.progress.AttemptID != "")
					w.Equal(w.admitted, []int{0})
					w.Equal(len(w.bills), 0)
				}
			})
		})
	}
}
