package httpclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/memnet"
	"hickorypath/internal/upstream/httpclient"
)

// TestRequestAtItsDeadline checks that a request returns when its context ends, which responses are heard after that, that nothing is sent
// late, and that the connection is closed.
func TestRequestAtItsDeadline(t *testing.T) {
	const addr, deadline = "u:80", time.Second
	cases := []struct {
		name     string
		dial     time.Duration // that opening the connection takes
		respond  time.Duration // after the upstream has got the request
		cancel   time.Duration // when the caller leaves; 0 for never
		returns  time.Duration
		received bool // by the upstream
		heard    bool
		ends     time.Duration // when the upstream sees the connection closed; 0 for never
	}{
		{"in time", 0, deadline / 2, 0, deadline / 2, true, false, 0},
		{"at the deadline", 0, deadline + 100*time.Millisecond, 0, deadline, true, true, deadline + 100*time.Millisecond},
		{"too late", 0, 2 * deadline, 0, deadline, true, false, deadline + 300*time.Millisecond},
		{"the caller leaves", 0, deadline, deadline / 2, deadline / 2, true, false, deadline / 2},
		{"not sent in time", deadline + 100*time.Millisecond, 0, 0, deadline, false, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				begin, network := time.Now(), memnet.New()
				var received, heard atomic.Bool
				var ended atomic.Int64
				stop := network.Serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					received.Store(true)
					_, _ = io.Copy(io.Discard, r.Body)
					context.AfterFunc(r.Context(), func() { ended.CompareAndSwap(0, int64(time.Since(begin))) })
					select {
					case <-time.After(c.respond):
						w.WriteHeader(http.StatusServiceUnavailable)
					case <-r.Context().Done():
					}
				}))
				transport := httpclient.NewTransport(func(ctx context.Context, tcp, addr string) (net.Conn, error) {
					select {
					case <-time.After(c.dial):
					case <-ctx.Done():
						return nil, ctx.Err()
					}
					return network.Dial(ctx, tcp, addr)
				}, time.Minute, false)
				ctx, leave := context.WithTimeout(t.Context(), deadline)
				defer leave()
				if c.cancel > 0 {
					time.AfterFunc(c.cancel, leave)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr, strings.NewReader("x"))
				is.NoErr(err)
				var tracker httpclient.SendTracker
				res, err := tracker.RoundTrip(ctx, transport, req, func(*http.Response) { heard.Store(true) })
				is.Equal(time.Since(begin), c.returns)
				is.Equal(err == nil, c.returns < deadline && c.cancel == 0)
				if err == nil {
					is.NoErr(res.Body.Close())
				}
				time.Sleep(2 * deadline)
				synctest.Wait()
				is.Equal(received.Load(), c.received)
				is.Equal(heard.Load(), c.heard)
				if c.ends > 0 {
					is.Equal(time.Duration(ended.Load()), c.ends)
				}
				transport.CloseIdleConnections()
				stop()
			})
		})
	}
}
