package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/standin/script"
	"hickorypath/internal/upstream/engine"
)

// TestRefusalOfAnotherRequestIsBelieved guards against a request that counts as not run, since its engine has written an earlier refusal once more.
func TestRefusalOfAnotherRequestIsBelieved(t *testing.T) {
	const own = "X-Request-Id: {id}\r\n"
	cases := []struct {
		name     string
		echo     string // field of the responses before
		status   int    // of the refusal
		id       string // field of the refusal
		requests int    // answered before on its connection
		kind     kind.Kind
		ran      kind.Ran
	}{
		{"its own", own, 503, "X-Request-Id: t2\r\n", 1, kind.Rejected, kind.RanNo},
		{"of another request", own, 503, "X-Request-Id: t1\r\n", 1, kind.ResponseMismatch, kind.RanMaybe},
		{"of another request, first request", own, 503, "X-Request-Id: t0\r\n", 0, kind.ResponseMismatch, kind.RanMaybe},
		{"of another request, first id", "", 503, "X-Request-Id: t1\r\n", 1, kind.ResponseMismatch, kind.RanMaybe},
		{"without an id, of an engine that echoes", own, 503, "", 1, kind.ResponseMismatch, kind.RanMaybe},
		{"without an id", "", 503, "", 1, kind.ResponseMismatch, kind.RanMaybe},
		{"without an id, invalid", "", 400, "", 1, kind.ResponseMismatch, kind.RanMaybe},
		{"without an id, first request", "", 503, "", 0, kind.Rejected, kind.RanNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				answer := script.Action{Bytes: "HTTP/1.1 200 OK\r\n" + c.echo + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"}
				refusal := fmt.Sprintf("HTTP/1.1 %d Full\r\n%sX-Ran: no\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n", c.status, c.id)
				actions := append(slices.Repeat([]script.Action{answer}, c.requests), script.Action{Bytes: refusal, Close: true})
				defer script.On(h.net.Listen("twice:80"), "X-Request-Id", actions...).Close()
				var err error
				heard := false
				for n := range c.requests + 1 {
					call := engine.Call{AttemptID: fmt.Sprintf("t%d", n+1), Body: []byte(plainBody)}
					call.OnAdvisory = func(s advisory.Statement) { heard = s.Pause.Length() > 0 }
					var s *engine.Stream
					s, err = h.client.Chat(h.ctx, "twice:80", call)
					h.Equal(err != nil, n == c.requests)
					if err == nil {
						_, err = readAll(s)
						h.NoErr(err)
						s.Close()
					}
				}
				h.Equal(kind.Of(err), c.kind)
				h.Equal(kind.From(err).Ran(), c.ran)
				h.Equal(heard, c.kind == kind.Rejected)
			})
		})
	}
}

// TestConnectionIsUsedAfterACrossedResponse guards against a connection that stays one response behind its requests.
func TestConnectionIsUsedAfterACrossedResponse(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		t.Run("body "+body, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				var requests, dials atomic.Int64
				defer h.net.Serve("off:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					id := r.Header.Get("X-Request-Id")
					if requests.Add(1) == 1 {
						id = "t0"
					}
					w.Header().Set("X-Request-Id", id)
					_, _ = io.WriteString(w, body)
				}))()
				client := engine.New(engine.Options{Clock: clock.NewWall(), Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
					dials.Add(1)
					return h.net.Dial(ctx, network, addr)
				}})
				defer client.Close()
				_, err := client.Chat(h.ctx, "off:80", engine.Call{AttemptID: "t1", Body: []byte(plainBody)})
				h.Equal(kind.Of(err), kind.ResponseMismatch)
				synctest.Wait()
				s, err := client.Chat(h.ctx, "off:80", engine.Call{AttemptID: "t2", Body: []byte(plainBody)})
				h.NoErr(err)
				s.Close()
				h.Equal(dials.Load(), int64(2))
			})
		})
	}
}
