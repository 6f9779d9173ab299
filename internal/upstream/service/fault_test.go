package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hickorypath/internal/core/kind"
	standin "hickorypath/internal/standin/service"
	"hickorypath/internal/upstream/service"
)

// nonRepeatableCall returns a call that may not be repeated.
func nonRepeatableCall(attempt string) service.Call {
	return service.Call{
		AttemptID: attempt, Method: http.MethodPost, Path: "/dues",
		Body: strings.NewReader(`{"member":7}`), BodyLength: 12,
	}
}

// callAndRead sends a call and reads the whole response.
func (h *harness) callAndRead(call service.Call) error { return h.callAndReadFrom(addr, call) }

// callAndReadFrom does the same at the service with an address.
func (h *harness) callAndReadFrom(addr string, call service.Call) error {
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	res, err := h.client.Do(ctx, addr, call)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestFaults checks which error a caller gets for each fault of a service. The error may only state that the
// call did not run if the service did not execute the call.
func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *standin.Service)
		kind  kind.Kind
		ran   kind.Ran
		runs  int
	}{
		{"none", nil, "", "", 1},
		{"down", (*standin.Service).Crash, kind.Lost, kind.RanMaybe, 0},
		{"rejected", func(s *standin.Service) { s.InjectFault("reject", 1) }, kind.Rejected, kind.RanNo, 0},
		{"cut after running", func(s *standin.Service) { s.InjectFault("cut", 1) }, kind.Lost, kind.RanMaybe, 1},
		{"hangs after running", func(s *standin.Service) { s.InjectFault("hang", 1) }, kind.Timeout, kind.RanMaybe, 1},
		{"crossed", func(s *standin.Service) { s.InjectFault("cross", 1) }, kind.ResponseMismatch, kind.RanMaybe, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				if c.fault != nil {
					c.fault(h.service)
				}
				err := h.callAndRead(nonRepeatableCall("t1"))
				h.Equal(kind.Of(err), c.kind)
				if err != nil {
					h.Equal(kind.From(err).Ran(), c.ran)
				}
				h.Equal(h.service.Executed("/dues", `{"member":7}`), c.runs)
			})
		})
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	runHarness(t, func(h *harness) {
		_, err := h.client.Do(h.ctx, "nobody:80", nonRepeatableCall("t1")) //nolint:bodyclose // the call returns no response
		h.Equal(kind.Of(err), kind.Unavailable)
		h.Equal(kind.From(err).Ran(), kind.RanNo)
	})
}

// TestSilentIdleConnection checks that a call that may not be repeated avoids idle connections that may have
// become silent, and that the service executes the call at most once.
func TestSilentIdleConnection(t *testing.T) {
	cases := []struct {
		name string
		idle time.Duration // time since the last traffic on the connection
		call service.Call
		kind kind.Kind
		runs int
	}{
		{"not repeatable, idle for over a second", 1100 * time.Millisecond, nonRepeatableCall("t2"), "", 2},
		{"not repeatable, idle for a minute", time.Minute, nonRepeatableCall("t2"), "", 2},
		{"not repeatable, not idle, may be lost", 0, nonRepeatableCall("t2"), kind.Timeout, 1},
		{"not repeatable, new connection", 0, func() service.Call { c := nonRepeatableCall("t2"); c.NewConnection = true; return c }(), "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.NoErr(h.callAndRead(nonRepeatableCall("t1")))
				h.service.Silence()
				time.Sleep(c.idle)
				err := h.callAndRead(c.call)
				h.Equal(kind.Of(err), c.kind)
				if err != nil {
					h.Equal(kind.From(err).Ran(), kind.RanMaybe)
				}
				h.Equal(h.service.Executed("/dues", `{"member":7}`), c.runs)
			})
		})
	}
}

// TestNeverDoubled sends calls to a server that reads the second request on a connection and then closes the
// connection without an answer. net/http by itself would retry some of these requests.
func TestNeverDoubled(t *testing.T) {
	cases := []struct {
		name string
		call service.Call
	}{
		{"post", service.Call{Method: http.MethodPost, Body: strings.NewReader("x"), BodyLength: 1}},
		{"post with idempotency key", service.Call{
			Method: http.MethodPost, Body: strings.NewReader("x"), BodyLength: 1, Header: http.Header{"Idempotency-Key": {"k"}},
		}},
		{"post without body", service.Call{Method: http.MethodPost}},
		{"get", service.Call{Method: http.MethodGet}},
		{"delete with idempotency key", service.Call{Method: http.MethodDelete, Header: http.Header{"Idempotency-Key": {"k"}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				l := h.net.Listen("cut:80")
				defer func() { _ = l.Close() }()
				read := make(chan string, 16)
				go dropSecondRequest(l, read)
				first := service.Call{AttemptID: "t1", Method: http.MethodGet, Path: "/"}
				res, err := h.client.Do(h.ctx, "cut:80", first)
				h.NoErr(err)
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()

				c.call.AttemptID, c.call.Path = "t2", "/"
				_, err = h.client.Do(h.ctx, "cut:80", c.call) //nolint:bodyclose // the call returns no response
				h.Equal(kind.Of(err), kind.Lost)
				h.Equal(kind.From(err).Ran(), kind.RanMaybe)
				h.Equal(len(read), 2)
			})
		})
	}
}

// dropSecondRequest answers the first request on each connection and closes the connection after reading the
// second.
func dropSecondRequest(l net.Listener, read chan<- string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for i := range 2 {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				read <- req.Header.Get("X-Request-Id")
				if i == 0 {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
		}()
	}
}

// TestCutBodyThatEndsWithItsConnectionIsLost covers responses without a length and without chunks, whose service closed the
// connection too early.
func TestCutBodyThatEndsWithItsConnectionIsLost(t *testing.T) {
	cases := []struct {
		name   string
		method string
		answer string // after the status line
		kind   kind.Kind
	}{
		{"JSON, whole", http.MethodGet, "Content-Type: application/json\r\n\r\n{\"a\":1}", ""},
		{"JSON, cut", http.MethodGet, "Content-Type: application/json\r\n\r\n{\"a\":", kind.Lost},
		{"JSON with a length", http.MethodGet, "Content-Type: application/json\r\nContent-Length: 5\r\n\r\n{\"a\":", ""},
		{"head of JSON", http.MethodHead, "Content-Type: application/json\r\n\r\n", ""},
		{"events, whole", http.MethodGet, "Content-Type: text/event-stream\r\n\r\ndata: a\n\n", ""},
		{"events, cut", http.MethodGet, "Content-Type: text/event-stream\r\n\r\ndata: a\n\ndata", kind.Lost},
		{"events in chunks, cut", http.MethodGet, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n", kind.Lost},
		{"other content", http.MethodGet, "Content-Type: text/plain\r\n\r\n{\"a\":", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				l := h.net.Listen("cut:80")
				defer func() { _ = l.Close() }()
				go answerOnce(l, "HTTP/1.1 200 OK\r\n"+c.answer)
				res, err := h.client.Do(h.ctx, "cut:80", service.Call{AttemptID: "t1", Method: c.method, Path: "/"})
				h.NoErr(err)
				defer res.Body.Close()
				_, err = io.Copy(io.Discard, res.Body)
				h.Equal(kind.Of(err), c.kind)
			})
		})
	}
}

// answerOnce answers the first request on the first connection with raw bytes and closes the connection.
func answerOnce(l net.Listener, answer string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, answer)
	}
}

const secret = "hk-4f2a9c"

func TestNoKeyReachesService(t *testing.T) {
	header := http.Header{
		"Authorization": {"Bearer " + secret}, "X-Api-Key": {secret}, "Cookie": {"k=" + secret},
		"Accept-Language": {secret}, "Idempotency-Key": {secret}, "Referer": {"/?" + secret}, "X-Request-Id": {secret},
	}
	cases := []struct{ method, query string }{
		{http.MethodGet, "club=7&api_key=" + secret},
		{http.MethodGet, "club=7&note=" + secret},
		{http.MethodGet, "club=7&note=hk%2D4f2a9c"},
		{http.MethodPost, "club=7"},
		{http.MethodPut, "club=7"},
		{http.MethodDelete, "club=7"},
	}
	for _, c := range cases {
		for _, fresh := range []bool{false, true} {
			t.Run(c.method+" "+c.query, func(t *testing.T) {
				runHarness(t, func(h *harness) {
					h.NoErr(h.callAndRead(service.Call{
						AttemptID: "t1", Method: c.method, Path: "/dues", Query: c.query, Header: header, CallerKey: secret, NewConnection: fresh,
					}))
					seen := h.service.Calls()
					h.Equal(len(seen), 1)
					h.Equal(seen[0].Query(), "club=7")
					h.True(!strings.Contains(fmt.Sprint(seen[0].Header()), secret))
				})
			})
		}
	}
}
