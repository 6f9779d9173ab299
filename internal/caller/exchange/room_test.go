package exchange_test

import (
	"testing"
	"time"

	"hickorypath/internal/core/kind"
)

// TestRequestWaitsForRoomElsewhere checks which refusals for want of room let a request try another host, and that a request of another host
// that is to run at once does not wait.
func TestRequestWaitsForRoomElsewhere(t *testing.T) {
	cases := []struct {
		name    string
		brittle bool
		call    call
		waits   bool // before it is refused
		noRoom  bool
	}{
		{"brittle", true, call{model: "again"}, true, true},
		{"not brittle", false, call{model: "again"}, true, false},
		{"of another host", true, call{model: "again", relayed: true}, true, false},
		{"of another host, not to wait", true, call{model: "again", relayed: true, noWait: true}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				w.lacksRoom.Store(c.brittle)
				for id := range w.engines { // no slot is free
					w.unwanted.Store(id, true)
				}
				begin := time.Now()
				a := w.chat(w.ctx, c.call)
				w.Equal(kind.Of(a.err), kind.Overload)
				w.Equal(kind.From(a.err).Ran(), kind.RanNo)
				w.Equal(time.Since(begin) > 0, c.waits)
				w.Equal(a.noRoom, c.noRoom)
				w.Equal(w.engineRequests(), 0)
			})
		})
	}
}
