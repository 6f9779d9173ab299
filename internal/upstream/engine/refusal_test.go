package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/engine"
)

// TestRefusalOfAnotherRequestIsBelieved guards against an engine that writes a refusal once more when the next request arrives, which is then taken for not run.
func TestRefusalOfAnotherRequestIsBelieved(t *testing.T) {
	const own = "X-Request-Id: %s\r\n"
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
				l := h.net.Listen("twice:80")
				defer func() { _ = l.Close() }()
				refusal := fmt.Sprintf("HTTP/1.1 %d Full\r\n%sX-Ran: no\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n", c.status, c.id)
				go answerInTurn(l, c.requests, c.echo, refusal)
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

// TestConnectionIsUsedAfterACrossedResponse guards against a connection that has carried the response of another request and is used again.
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

// answerInTurn answers n requests on one connection, with a field that is a format for their id, and the next one with other bytes.
func answerInTurn(l net.Listener, n int, field, last string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range n + 1 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if i == n {
			_, _ = io.WriteString(c, last)
			return
		}
		id := ""
		if field != "" {
			id = fmt.Sprintf(field, req.Header.Get("X-Request-Id"))
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	}
}
