package frontend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/policy/memory"
)

// startServer starts a server of at most max connections that answers each request with 418, and returns a function that opens a connection, sends
// a request and returns all that comes until the server ends its sending side.
func startServer(t *testing.T, max int, a *memory.Account) (ask func(request string) string) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := frontend.New(func(_ context.Context, _ *frontend.Request, w *frontend.Writer) {
		w.WriteError(http.StatusTeapot, nil, "no")
	},
		func() config.Limits {
			return config.Limits{MaxHeadBytes: 1 << 10, MaxBodyBytes: 1 << 20, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
		}, max, a, time.Now, zap.NewNop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(t.Context(), l)
	}()
	t.Cleanup(func() {
		is.NoErr(l.Close())
		<-done
	})
	return func(request string) string {
		c, err := net.Dial("tcp4", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = c.Write([]byte(request))
		is.NoErr(err)
		data, _ := io.ReadAll(c) // the server may reset the connection
		return string(data)
	}
}

// TestAnsweredRequestHoldsNoMemory guards against memory that is held while the server waits for the client to close the connection.
func TestAnsweredRequestHoldsNoMemory(t *testing.T) {
	is := is.New(t)
	a := memory.New(1 << 20)
	ask := startServer(t, 1, a)
	is.True(strings.HasPrefix(ask("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 10000\r\n\r\n"+strings.Repeat("b", 10_000)), "HTTP/1.1 418 "))
	is.Equal(a.Used(memory.Request), int64(0))
}

// TestAnsweredConnectionMakesRoom guards against connections that keep new ones out although all that they wait for is their end.
func TestAnsweredConnectionMakesRoom(t *testing.T) {
	for _, request := range []string{"malformed\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"} {
		ask := startServer(t, 1, memory.New(1<<20))
		for range 3 {
			is.New(t).True(strings.HasPrefix(ask(request), "HTTP/1.1 4")) // the connection stays open
		}
	}
}
