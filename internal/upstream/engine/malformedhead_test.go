package engine_test

import (
	"testing"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/standin/script"
	"hickorypath/internal/upstream/engine"
)

// TestAnswerWithAMalformedHeadIsPassedOn plays heads that net/http accepts; the test of package service has more of them.
func TestAnswerWithAMalformedHeadIsPassedOn(t *testing.T) {
	const end = "X-Request-Id: t1\r\nContent-Length: 2\r\n\r\n{}"
	calls := []engine.Call{{AttemptID: "t1", Body: []byte(plainBody)}, {AttemptID: "t1", Body: []byte(streamedBody), Stream: true}}
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 200 OK\r\nX Field: 1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"} {
		runHarness(t, func(h *harness) {
			defer script.On(h.net.Listen("odd:80"), "X-Request-Id", script.Action{Bytes: head + end}).Close()
			for _, call := range calls {
				_, err := h.client.Chat(h.ctx, "odd:80", call)
				h.Equal(kind.Of(err), kind.Lost)
				h.Equal(kind.From(err).Ran(), kind.RanMaybe)
			}
			_, err := h.client.Load(h.ctx, "odd:80")
			h.Equal(kind.Of(err), kind.Unavailable)
		})
	}
}
