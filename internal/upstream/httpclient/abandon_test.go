package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/tcpconn"
	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/upstream/httpclient"
)

// TestAbandonedRequestArrivesAfterAPartition guards against a request that a partition holds up and that arrives after it was given up: at an
// upstream that may be leaving, or at the store when a later write has been made.
func TestAbandonedRequestArrivesAfterAPartition(t *testing.T) {
	upstreams := func(unpooled bool) func(httpclient.DialFunc) http.RoundTripper {
		return func(dial httpclient.DialFunc) http.RoundTripper {
			return httpclient.NewTransport(dial, time.Minute, unpooled)
		}
	}
	platform := func(dial httpclient.DialFunc) http.RoundTripper {
		return tcpconn.NewTransport(&http.Transport{DialContext: dial})
	}
	cases := []struct {
		name         string
		newTransport func(httpclient.DialFunc) http.RoundTripper
		kept         bool // the connection has carried an earlier request
	}{
		{"upstream", upstreams(false), false},
		{"upstream, kept connection", upstreams(false), true},
		{"upstream, connection of its own", upstreams(true), false},
		{"platform", platform, false},
		{"platform, kept connection", platform, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			defer srv.Close()
			link, err := proxy.New(strings.TrimPrefix(srv.URL, "http://"))
			is.NoErr(err)
			defer link.Close()
			closed, dial := make(chan struct{}), httpclient.NewDialFunc()
			transport := c.newTransport(func(ctx context.Context, network, addr string) (net.Conn, error) {
				raw, err := dial(ctx, network, addr)
				return &proxy.WatchedConn{Conn: raw, Closed: closed}, err
			})
			send := func(ctx context.Context) error {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+link.Addr(), strings.NewReader("{}"))
				is.NoErr(err)
				res, err := transport.RoundTrip(req)
				if err != nil {
					return err
				}
				defer res.Body.Close()
				_, err = io.Copy(io.Discard, res.Body)
				return err
			}
			if c.kept {
				is.NoErr(send(t.Context()))
			}
			before := arrived.Load()
			link.SetMode(proxy.HoldRequests)
			ctx, giveUp := context.WithCancel(t.Context())
			go func() { link.AwaitHeld(true); giveUp() }()
			is.True(send(ctx) != nil)
			<-closed
			link.SetMode(proxy.Pass)
			link.Wait()
			is.Equal(arrived.Load(), before)
		})
	}
}

// TestIdleConnectionIsReset guards against a reset of connections that carry no request, which an upstream may take for a failure.
func TestIdleConnectionIsReset(t *testing.T) {
	upstreams := httpclient.NewTransport(httpclient.NewDialFunc(), time.Minute, false)
	platform := tcpconn.NewTransport(&http.Transport{DialContext: httpclient.NewDialFunc()})
	cases := []struct {
		name      string
		roundTrip func(*http.Request) (*http.Response, error)
		closeIdle func()
	}{
		{"upstream", upstreams.RoundTrip, upstreams.CloseIdleConnections},
		{"platform", platform.RoundTrip, platform.CloseIdleConnections},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			ended := make(chan error)
			go func() {
				far, err := l.Accept()
				for range 2 {
					if err == nil {
						_, err = http.ReadRequest(bufio.NewReader(far))
						_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
				if err == nil {
					_, err = far.Read(make([]byte, 1))
				}
				ended <- err
			}()
			for range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), http.NoBody)
				is.NoErr(err)
				res, err := c.roundTrip(req)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
			}
			c.closeIdle()
			is.Equal(<-ended, io.EOF)
		})
	}
}
