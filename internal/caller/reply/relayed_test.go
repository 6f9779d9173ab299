package reply_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/reply"
	"hickorypath/internal/core/kind"
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

// TestRefusalOfThisHostIsNotMarked guards against a refusal that the host which has sent the request takes for an upstream's, and a status that
// promises that a request did not run which may have run.
func TestRefusalOfThisHostIsNotMarked(t *testing.T) {
	cases := []struct {
		name   string
		token  string // of the request; empty for that of a caller, or of a host of an earlier version
		err    error
		status int
		ran    kind.Ran // empty if the refusal is not marked
	}{
		{"not run", "t1", kind.New(kind.Draining, "the host is shutting down"), 503, kind.RanNo},
		{"may have run", "t1", kind.New(kind.Unavailable, "no upstream").WithRan(kind.RanMaybe), 502, kind.RanMaybe},
		{"without a token", "", kind.New(kind.Draining, "the host is shutting down"), 503, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/dues", http.NoBody)
			if c.token != "" {
				r.Header.Set("Hickorypath-Relay-Token", c.token)
			}
			reply.MarkRelayed(w, r)
			reply.WriteError(w, c.err)
			is.Equal(w.Code, c.status)
			ran, ok := reply.RefusalRan(w.Header(), c.token)
			is.Equal(ok, c.ran != "")
			is.Equal(ran, c.ran)
			_, ok = reply.RefusalRan(w.Header(), "t2")
			is.True(!ok)
		})
	}
}
