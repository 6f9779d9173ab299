package service_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/standin/script"
	"hickorypath/internal/upstream/service"
)

// TestResponseWithAMalformedHeadIsPassedOn plays heads for which parsers differ on the fields and the body.
func TestResponseWithAMalformedHeadIsPassedOn(t *testing.T) {
	const id, end = "X-Request-Id: t1\r\n", "Content-Length: 0\r\n\r\n"
	cases := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 OK\r\n" + id + end},
		{"status 001", "HTTP/1.1 001 OK\r\n" + id + end},
		{"status 099", "HTTP/1.1 099 OK\r\n" + id + end},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + id + end},
		{"status with a letter", "HTTP/1.1 2O0 OK\r\n" + id + end},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + id + end},
		{"no status", "HTTP/1.1\r\n" + id + end},
		{"version 2", "HTTP/2.0 200 OK\r\n" + id + end},
		{"version of two digits", "HTTP/1.10 200 OK\r\n" + id + end},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Field: 1\r\n" + id + end},
		{"blank after a name", "HTTP/1.1 200 OK\r\nX-Field : 1\r\n" + id + end},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Field: 1\r\n" + id + end},
		{"tab after a name", "HTTP/1.1 200 OK\r\nX-Field\t: 1\r\n" + id + end},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n" + id + end},
		{"byte above 0x7f in a name", "HTTP/1.1 200 OK\r\nX\xffField: 1\r\n" + id + end},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n" + id + end},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Field: \x01\r\n" + id + end},
		{"blank in a length", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n" + id + end},
		{"blank after an encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + id + end + "0\r\n\r\n"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + id + end},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			t.Run(c.name+", "+method, func(t *testing.T) {
				runHarness(t, func(h *harness) {
					s := script.On(h.net.Listen("odd:80"), "X-Request-Id", script.Action{Bytes: c.response})
					defer s.Close()
					for range 2 {
						_, err := h.client.Do(h.ctx, "odd:80", service.Call{AttemptID: "t1", Method: method, Path: "/", Repeatable: true}) //nolint:bodyclose // the call returns no response
						h.Equal(kind.Of(err), kind.Lost)
						h.Equal(kind.From(err).Ran(), kind.RanMaybe)
						synctest.Wait() // until the transport no longer has the closed connection
					}
					h.Equal(s.Conns(), 2)
				})
			})
		}
	}
}
