package frontend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/policy/memory"
)

// TestContinueOnAUsedConnection guards against a write deadline that stays from an earlier response and fails the interim response to a later
// request.
func TestContinueOnAUsedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := frontend.New(func(_ context.Context, _ *frontend.Request, w *frontend.Writer) {
		w.WriteError(http.StatusTeapot, nil, "no")
	},
		func() config.Limits {
			return config.Limits{MaxHeadBytes: 1 << 10, MaxBodyBytes: 1 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
		}, 10, memory.New(1<<20), time.Now, zap.NewNop())
	listener := &acceptListener{Listener: l, accepted: make(chan net.Conn, 1)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(t.Context(), listener)
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	r := bufio.NewReader(c)
	ask := func(request string) int {
		_, err := c.Write([]byte(request))
		is.NoErr(err)
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		return res.StatusCode
	}
	is.Equal(ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusTeapot)
	is.NoErr((<-listener.accepted).SetWriteDeadline(time.Unix(1, 0))) // that of the first response has passed
	is.Equal(ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"), http.StatusContinue)
	is.Equal(ask("body"), http.StatusTeapot)
	is.NoErr(l.Close())
	<-done
}
