package httpclient_test

import (
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
