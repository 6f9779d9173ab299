package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	standin "hickorypath/internal/standin/engine"
	"hickorypath/internal/upstream/engine"
)

// TestPlainEngine calls an engine that implements only the plain protocol: it echoes no attempt ids, sends
// no offsets and does not report the progress of an attempt.
func TestPlainEngine(t *testing.T) {
	event := `data: {"id":"c","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	cases := []struct {
		name  string
		first time.Duration // time to the first token
		quiet time.Duration // time from the first token to the second
		load  int           // status of GET /load
		kind  kind.Kind
	}{
		{"normal latency", 100 * time.Millisecond, 30 * time.Millisecond, http.StatusOK, ""},
		{"long prompt", 20 * time.Second, 30 * time.Millisecond, http.StatusOK, ""},
		{"long prompt, no load report", 20 * time.Second, 30 * time.Millisecond, http.StatusNotFound, ""},
		{"pause", 100 * time.Millisecond, 2 * time.Second, http.StatusOK, ""},
		{"silent", 100 * time.Millisecond, time.Hour, http.StatusOK, kind.UpstreamStalled},
		{"silent, no load report", 100 * time.Millisecond, time.Hour, http.StatusNotFound, kind.UpstreamStalled},
		{"silent from the start", time.Hour, 0, http.StatusOK, kind.UpstreamStalled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				mux := http.NewServeMux()
				mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(c.load)
					fmt.Fprint(w, `{"running":1}`)
				})
				mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					for i, wait := range []time.Duration{c.first, c.quiet} {
						select {
						case <-time.After(wait):
						case <-r.Context().Done():
							return
						}
						_, _ = io.WriteString(w, event)
						if i == 1 {
							_, _ = io.WriteString(w, "data: [DONE]\n\n")
						}
						w.(http.Flusher).Flush()
					}
				})
				defer h.net.Serve("plain:80", mux)()
				s, err := h.client.Chat(h.ctx, "plain:80", engine.Call{AttemptID: "t1", Stream: true, Body: []byte(streamedBody)})
				if err == nil {
					_, err = readAll(s)
					s.Close()
				}
				h.Equal(kind.Of(err), c.kind)
			})
		})
	}
}

// TestErrorResponses checks the error for each kind of error response, and whether the error says that the
// engine may have run the request.
func TestErrorResponses(t *testing.T) {
	cases := []struct {
		name   string
		status int
		echo   bool
		ran    string
		kind   kind.Kind
		want   kind.Ran
	}{
		{"full", http.StatusTooManyRequests, true, "no", kind.Rejected, kind.RanNo},
		{"full, does not state whether the request ran", http.StatusTooManyRequests, true, "", kind.Failed, kind.RanMaybe},
		{"full, from a proxy in between", http.StatusTooManyRequests, false, "", kind.Failed, kind.RanMaybe},
		{"states that the request did not run", http.StatusServiceUnavailable, true, "no", kind.Rejected, kind.RanNo},
		{"does not state whether the request ran", http.StatusServiceUnavailable, true, "", kind.Failed, kind.RanMaybe},
		{"internal error", http.StatusInternalServerError, true, "", kind.Failed, kind.RanMaybe},
		{"bad body", http.StatusBadRequest, true, "no", kind.Invalid, kind.RanNo},
		{"bad body, does not state whether the request ran", http.StatusBadRequest, true, "", kind.Invalid, kind.RanMaybe},
		{"bad body, from a proxy in between", http.StatusBadRequest, false, "", kind.Invalid, kind.RanMaybe},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				defer h.net.Serve("raw:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if c.echo {
						w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					}
					if c.ran != "" {
						w.Header().Set("X-Ran", c.ran)
					}
					http.Error(w, `{"error":{"message":"no"}}`, c.status)
				}))()
				_, err := h.client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t1", Body: []byte(streamedBody)})
				h.Equal(kind.Of(err), c.kind)
				h.Equal(kind.From(err).Ran(), c.want)
			})
		})
	}
}

// TestSlowUnstreamedAnswerWithoutProgress waits for an answer that is not streamed, from an engine that does
// not report the progress of an attempt.
func TestSlowUnstreamedAnswerWithoutProgress(t *testing.T) {
	runHarness(t, func(h *harness) {
		defer h.net.Serve("plain:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				return
			}
			time.Sleep(2 * time.Minute)
			_, _ = io.WriteString(w, `{"id":"c","usage":{"completion_tokens":3}}`)
		}))()
		s, err := h.client.Chat(h.ctx, "plain:80", engine.Call{AttemptID: "t1", Body: []byte(plainBody)})
		h.NoErr(err)
		events, err := readAll(s)
		s.Close()
		h.NoErr(err)
		h.Equal(events[0].Tokens, 3)
	})
}

// TestSlowUnstreamedAnswer waits for answers that are not streamed, so that nothing arrives for a long time.
func TestSlowUnstreamedAnswer(t *testing.T) {
	cases := []struct {
		name  string
		slow  float64
		fault func(e *standin.Engine)
		kind  kind.Kind
	}{
		{"7 seconds", 30, nil, ""},
		{"4 minutes", 1000, nil, ""},
		{"silent connection", 30, (*standin.Engine).Silence, kind.UpstreamStalled},
		{"stall", 30, (*standin.Engine).Stall, kind.UpstreamStalled},
		{"crash", 30, (*standin.Engine).Crash, kind.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.engine.Slow(c.slow)
				if c.fault != nil {
					time.AfterFunc(3*time.Second, func() { c.fault(h.engine) })
				}
				events, err := h.chat(engine.Call{AttemptID: "t1", Body: []byte(plainBody)})
				h.Equal(kind.Of(err), c.kind)
				if err == nil {
					h.Equal(events[0].Tokens, 12)
				}
			})
		})
	}
}

// TestLongAnswerIsNotCut checks the bound on the size of an answer, beyond which it must not be delivered as if it were whole.
func TestLongAnswerIsNotCut(t *testing.T) {
	const answer = `{"id":"c","choices":[]}`
	cases := []struct {
		name  string
		limit int64
		kind  kind.Kind
	}{
		{"at the limit", int64(len(answer)), ""},
		{"over the limit", int64(len(answer)) - 1, kind.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				defer h.serve("raw:80", answer)()
				client := engine.New(engine.Options{Clock: clock.NewWall(), Dial: h.net.Dial, MaxBody: c.limit})
				defer client.Close()
				s, err := client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t1", Body: []byte(plainBody)})
				h.NoErr(err)
				defer s.Close()
				e, err := s.Next()
				h.Equal(kind.Of(err), c.kind)
				h.Equal(e.Done, c.kind == "")
			})
		})
	}
}
