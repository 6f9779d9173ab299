package upstream_test

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

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/standin/script"
)

// TestAbandonedRequestArrivesAfterAPartition guards against a request that a partition holds up and that reaches its upstream after the host has
// given it up, when the upstream may be leaving.
func TestAbandonedRequestArrivesAfterAPartition(t *testing.T) {
	cases := []struct {
		name   string
		reused bool // the connection has carried an earlier request
		giveUp func(c *upstream.Conn, leave func())
	}{
		{"caller leaves", false, func(_ *upstream.Conn, leave func()) { leave() }},
		{"caller leaves, kept connection", true, func(_ *upstream.Conn, leave func()) { leave() }},
		{"no response in time", false, func(c *upstream.Conn, _ func()) { c.Close() }},
		{"no response in time, kept connection", true, func(c *upstream.Conn, _ func()) { c.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, err := script.New("Request-Id", script.Action{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
			is.NoErr(err)
			defer s.Close()
			link, err := proxy.New(s.Addr())
			is.NoErr(err)
			defer link.Close()
			closed := make(chan struct{})
			dialer := upstream.NewDialer()
			table := upstream.NewTable("z1", upstream.NewDialerFunc(func(ctx context.Context, address string) (net.Conn, error) {
				raw, err := dialer.Dial(ctx, address)
				return &proxy.WatchedConn{Conn: raw, Closed: closed}, err
			}), zap.NewNop())
			e := entry()
			e.Address = link.Addr()
			now, requests := time.Now(), 0
			table.Put(now, e)
			i := table.Get("u1")
			if c.reused {
				conn, err := i.Acquire(t.Context(), now, true, time.Minute)
				is.NoErr(err)
				roundTrip(t, conn)
				conn.Release(now)
				requests++
			}
			link.SetMode(proxy.HoldRequests)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			conn, err := i.Acquire(ctx, now, true, time.Minute)
			is.NoErr(err)
			is.Equal(conn.IsReused(), c.reused)
			_, err = conn.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil, time.Now().Add(time.Minute))
			is.NoErr(err)
			link.AwaitHeld(true)
			c.giveUp(conn, leave)
			<-closed
			link.SetMode(proxy.Pass)
			link.Wait()
			is.Equal(len(s.Calls()), requests)
		})
	}
}

// TestIdleConnectionIsReset guards against a reset of connections that carry no request, which an upstream may take for a failure.
func TestIdleConnectionIsReset(t *testing.T) {
	for _, field := range []string{"", "Connection: close\r\n"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			ended := make(chan error)
			go func() {
				far, err := l.Accept()
				if err == nil {
					_, err = http.ReadRequest(bufio.NewReader(far))
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n"+field+"Content-Length: 2\r\n\r\nok")
				}
				if err == nil {
					_, err = far.Read(make([]byte, 1))
				}
				ended <- err
			}()
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			e := entry()
			e.Address = l.Addr().String()
			now := time.Now()
			table.Put(now, e)
			conn, err := table.Get("u1").Acquire(t.Context(), now, true, time.Minute)
			is.NoErr(err)
			roundTrip(t, conn)
			conn.Release(now)
			table.Remove(now, "u1")
			is.Equal(<-ended, io.EOF)
		})
	}
}
