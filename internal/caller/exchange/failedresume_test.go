package exchange_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/upstream/dispatch"
)

// TestErrorOfAResumeEndsUpInTheStream guards against a failed resume whose error the caller finds in its stream, or which ends the stream as if it
// were complete.
func TestErrorOfAResumeEndsUpInTheStream(t *testing.T) {
	const completion = `{"id":"c","choices":[{"message":{"content":"error"}}]}`
	cases := []struct {
		name   string
		status int
		media  string
		body   string
	}{
		{"500", http.StatusInternalServerError, "text/plain", "failed"},
		{"500 with an event", http.StatusInternalServerError, "text/event-stream", "data: " + completion + "\n\ndata: [DONE]\n\n"},
		{"503", http.StatusServiceUnavailable, "application/json", `{"error":{"message":"failed"}}`},
		{"404", http.StatusNotFound, "application/json", `{"error":{"message":"failed"}}`},
		{"400", http.StatusBadRequest, "application/json", `{"error":{"message":"failed"}}`},
		{"204", http.StatusNoContent, "", ""},
		{"redirect", http.StatusFound, "text/plain", "elsewhere"},
		{"JSON", http.StatusOK, "application/json", completion},
		{"an error as JSON", http.StatusOK, "application/json", `{"error":{"message":"failed"}}`},
		{"empty", http.StatusOK, "text/event-stream", ""},
		{"an error as an event", http.StatusOK, "text/event-stream", "data: {\"error\":{\"message\":\"failed\"}}\n\n"},
		{"an error as an event, with an end", http.StatusOK, "text/event-stream", "data: {\"error\":{\"message\":\"failed\"}}\n\ndata: [DONE]\n\n"},
		{"begins anew", http.StatusOK, "text/event-stream", begunEvents + "data: [DONE]\n\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				var requests atomic.Int64
				handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
					if r.Method != http.MethodPost {
						_, _ = io.WriteString(rw, "{}")
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					if requests.Add(1) == 1 {
						rw.Header().Set("Content-Type", "text/event-stream")
						_, _ = io.WriteString(rw, begunEvents)
						_ = http.NewResponseController(rw).Flush()
						panic(http.ErrAbortHandler)
					}
					rw.Header().Set("Content-Type", c.media)
					rw.WriteHeader(c.status)
					_, _ = io.WriteString(rw, c.body)
				})
				targets := make([]dispatch.Target, 0, 2)
				for _, id := range []string{"own-0", "own-1"} {
					defer w.net.Serve(id+":80", handler)()
					targets = append(targets, dispatch.NewTarget(id, "a", id+":80", false, false).WithSlots(8))
				}
				w.pools["asesor"].SetTargets(targets)
				a := w.chat(w.ctx, call{model: "again"})
				w.True(requests.Load() > 1)
				w.True(a.err != nil)
				w.True(kind.From(a.err).Ran() != kind.RanNo)
				w.Equal(a.text, "ab")
			})
		})
	}
}

// begunEvents are the events of a stream that breaks off.
var begunEvents = strings.Join([]string{
	`data: {"id":"c","choices":[{"delta":{"content":"a"}}]}`, `data: {"id":"c","choices":[{"delta":{"content":"b"}}]}`, "",
}, "\n\n")
