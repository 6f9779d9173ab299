package reply_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/reply"
)

// TestRelayHeaders checks what is read of a request from the headers for relayed ones.
func TestRelayHeaders(t *testing.T) {
	progress := exchange.Progress{Tokens: 3, Version: "v1", AttemptID: "r1-1"}
	cases := []struct {
		name     string
		relayed  bool
		set      func(h http.Header)
		noWait   bool
		timeLeft time.Duration
		progress exchange.Progress
	}{
		{"none", true, func(http.Header) {}, false, 0, exchange.Progress{}},
		{"a response that has not begun", true, func(h http.Header) { reply.SetRelay(h, 1500*time.Millisecond, false, exchange.Progress{}) }, false, 1500 * time.Millisecond, exchange.Progress{}},
		{"a stream that has begun", true, func(h http.Header) { reply.SetRelay(h, time.Second, false, progress) }, false, time.Second, progress},
		{"no time left", true, func(h http.Header) { reply.SetRelay(h, -time.Second, false, progress) }, false, time.Millisecond, progress},
		{"of a caller", false, func(h http.Header) { reply.SetRelay(h, time.Second, false, progress) }, false, 0, exchange.Progress{}},
		{"of a caller, through another host", true, func(h http.Header) {
			reply.SetRelay(h, time.Hour, false, progress)
			reply.SetRelay(h, time.Second, false, exchange.Progress{})
		}, false, time.Second, exchange.Progress{}},
		{"does not wait", true, func(h http.Header) { reply.SetRelay(h, time.Second, true, exchange.Progress{}) }, true, time.Second, exchange.Progress{}},
		{"of a caller, does not wait", true, func(h http.Header) {
			reply.SetRelay(h, time.Second, true, exchange.Progress{})
			reply.SetRelay(h, time.Second, false, exchange.Progress{})
		}, false, time.Second, exchange.Progress{}},
		{"unreadable", true, func(h http.Header) { h.Set("Hickorypath-Relay-Tokens", "many") }, false, 0, exchange.Progress{Tokens: -1}},
		{"no tokens", true, func(h http.Header) { h.Set("Hickorypath-Relay-Tokens", "0") }, false, 0, exchange.Progress{Tokens: -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody)
			c.set(r.Header)
			if c.relayed {
				r = reply.MarkRelayed(httptest.NewRecorder(), r)
			}
			req := reply.NewRequest(r)
			is.Equal(req.Relayed, c.relayed)
			is.Equal(req.NoWait, c.noWait)
			is.Equal(req.TimeLeft, c.timeLeft)
			is.Equal(req.Progress, c.progress)
		})
	}
}
