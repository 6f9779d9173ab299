package httpclient_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"hickorypath/internal/upstream/httpclient"
)

// TestSendTracker checks over loopback what a SendTracker reports after each kind of failed request.
func TestSendTracker(t *testing.T) {
	drop := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	plain, secure := httptest.NewServer(drop), httptest.NewTLSServer(drop)
	defer plain.Close()
	defer secure.Close()
	closed := httptest.NewServer(drop)
	closed.Close()
	foreign := func(ctx context.Context, network, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	cases := []struct {
		name string
		url  string
		dial httpclient.DialFunc
		sent bool
	}{
		{"refused connection", closed.URL, httpclient.CountingDial(httpclient.NewDialFunc()), false},
		{"dropped after sending", plain.URL, httpclient.CountingDial(httpclient.NewDialFunc()), true},
		{"dropped after sending, TLS", secure.URL, httpclient.CountingDial(httpclient.NewDialFunc()), true},
		{"connection that does not count", plain.URL, foreign, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var a httpclient.SendTracker
			req, err := http.NewRequestWithContext(a.WithTrace(t.Context()), http.MethodPost, c.url, strings.NewReader("x"))
			is.NoErr(err)
			transport := secure.Client().Transport.(*http.Transport).Clone()
			transport.DialContext = c.dial
			defer transport.CloseIdleConnections()
			res, err := transport.RoundTrip(req)
			if err == nil {
				res.Body.Close()
			}
			is.True(err != nil)
			is.Equal(a.Sent(), c.sent)
		})
	}
}

// TestDialBoundsUnacknowledgedData reads the option TCP_USER_TIMEOUT, in milliseconds, back from the socket.
func TestDialBoundsUnacknowledgedData(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	c, err := httpclient.NewDialFunc()(t.Context(), "tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	value := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(value, 3500)
}
