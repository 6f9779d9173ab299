package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/standin/script"
)

// TestLeavingCallerKeepsTheConnectionOfTheNext guards against a caller that leaves right after its response and closes the
// connection on which the next request is already under way.
func TestLeavingCallerKeepsTheConnectionOfTheNext(t *testing.T) {
	cases := []struct {
		name   string
		before bool // the caller leaves before the release, not after it
		conns  int
	}{
		{"after the release", false, 1},
		{"before the release", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, err := script.New("Request-Id", script.Action{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
			is.NoErr(err)
			defer s.Close()
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			e := entry()
			e.Address = s.Addr()
			now := time.Now()
			table.Put(now, e)
			i := table.Get("u1")

			first, leave := context.WithCancel(t.Context())
			defer leave()
			conn, err := i.Acquire(first, now, true, time.Minute)
			is.NoErr(err)
			roundTrip(t, conn)
			if c.before {
				leave()
			}
			conn.Release(now)
			next, err := i.Acquire(t.Context(), now, true, time.Minute)
			is.NoErr(err)
			leave()
			roundTrip(t, next)
			next.Close()
			is.Equal(s.Conns(), c.conns)
			is.Equal(i.Conns(), 0)
		})
	}
}

func roundTrip(t *testing.T, c *upstream.Conn) {
	t.Helper()
	is := is.New(t)
	_, err := c.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil, time.Now().Add(time.Minute))
	is.NoErr(err)
	_, body, err := c.Receive([]byte("GET"))
	is.NoErr(err)
	data, err := io.ReadAll(body)
	is.NoErr(err)
	is.Equal(string(data), "ok")
}

// TestUnusedConnectionIsLost guards against connections that are opened for a request which is then sent elsewhere, and are not kept
// for the next one.
func TestUnusedConnectionIsLost(t *testing.T) {
	is := is.New(t)
	s, err := script.New("Request-Id", script.Action{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
	is.NoErr(err)
	defer s.Close()
	table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
	e := entry()
	e.Address = s.Addr()
	now := time.Now()
	table.Put(now, e)
	i := table.Get("u1")
	ctx, leave := context.WithCancel(t.Context())
	first, err := i.Acquire(ctx, now, true, time.Minute)
	is.NoErr(err)
	first.Return(now)
	leave()
	next, err := i.Acquire(t.Context(), now.Add(time.Second), false, time.Minute)
	is.NoErr(err)
	is.Equal(next, first)
	roundTrip(t, next)
	next.Close()
	is.Equal(i.Conns(), 0)
}

// TestDialGoesOnAlthoughItsInstanceWantsNoRequests guards against requests that wait for a connection to an instance that would not
// be used.
func TestDialGoesOnAlthoughItsInstanceWantsNoRequests(t *testing.T) {
	cases := []struct {
		name   string
		strike func(now time.Time, t *upstream.Table, i *upstream.Instance)
	}{
		{"pause", func(now time.Time, _ *upstream.Table, i *upstream.Instance) {
			i.RecordAdvisory(now, now, advisory.Statement{Pause: advisory.ParsePause("3")})
		}},
		{"leaves", func(now time.Time, _ *upstream.Table, i *upstream.Instance) {
			i.RecordAdvisory(now, now, advisory.Statement{Leaving: advisory.ParseLeaving("1")})
		}},
		{"leaves, another host tells", func(now time.Time, t *upstream.Table, _ *upstream.Instance) {
			t.MergeDepartures(now, map[string]upstream.Departure{"u1": {Born: entry().Born}})
		}},
		{"drains", func(now time.Time, t *upstream.Table, _ *upstream.Instance) {
			e := entry()
			e.Draining = true
			t.Put(now, e)
		}},
		{"is gone", func(now time.Time, t *upstream.Table, _ *upstream.Instance) { t.Remove(now, "u1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dialing := make(chan struct{})
			table := upstream.NewTable("z1", upstream.NewDialerFunc(func(ctx context.Context, _ string) (net.Conn, error) {
				close(dialing)
				<-ctx.Done()
				return nil, ctx.Err()
			}), zap.NewNop())
			now := time.Now()
			table.Put(now, entry())
			i := table.Get("u1")
			result := make(chan error)
			go func() {
				_, err := i.Acquire(t.Context(), now, true, time.Minute)
				result <- err
			}()
			<-dialing
			c.strike(now, table, i)
			is.True(errors.Is(<-result, upstream.ErrUnwanted))
		})
	}
}

// TestCallerIsHeldPastItsDeadlineByADial guards against a request that waits for a connection when its caller's time is over, and against
// taking an instance for one that does not answer since there was little time.
func TestCallerIsHeldPastItsDeadlineByADial(t *testing.T) {
	cases := []struct {
		timeLeft time.Duration
		noTime   bool
	}{{100 * time.Millisecond, true}, {500 * time.Millisecond, false}}
	for _, c := range cases {
		t.Run(c.timeLeft.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				i := upstream.NewInstance(upstream.Entry{ID: "u1", Address: "u1:80"}, upstream.NewDialerFunc(func(ctx context.Context, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}))
				begin := time.Now()
				_, err := i.Acquire(t.Context(), begin, true, c.timeLeft)
				is.Equal(time.Since(begin), c.timeLeft)
				is.Equal(errors.Is(err, upstream.ErrNoTime), c.noTime)
			})
		})
	}
}
