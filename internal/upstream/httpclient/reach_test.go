package httpclient_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/upstream/httpclient"
)

// TestReachesOthers checks how a host tells an upstream that has failed from its own links.
func TestReachesOthers(t *testing.T) {
	const failed = "u0:80"
	cases := []struct {
		name      string
		upstreams []string // besides the one that has failed
		hangs     bool     // connections that are not opened hang; otherwise they are refused
		answer    map[string]bool
		alone     bool
		want      bool
	}{
		{"no others", nil, false, nil, false, true},
		{"the others answer", []string{"u1:80", "u2:80"}, false, map[string]bool{"u1:80": true, "u2:80": true}, false, true},
		{"one of three answers, the others hang", []string{"u1:80", "u2:80", "u3:80"}, true, map[string]bool{"u2:80": true}, false, true},
		{"none answers", []string{"u1:80", "u2:80"}, false, nil, false, false},
		{"none answers, they hang", []string{"u1:80", "u2:80"}, true, nil, false, false},
		{"none answers, and there is no other host", []string{"u1:80", "u2:80"}, false, nil, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := httpclient.NewReach("z", func(ctx context.Context, _, addr string) (net.Conn, error) {
					if c.answer[addr] {
						near, _ := net.Pipe()
						return near, nil
					}
					if c.hangs {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return nil, errors.New("refused")
				}, zap.NewNop())
				list := []httpclient.Endpoint{{Addr: failed, Zone: "z"}}
				for _, addr := range c.upstreams {
					list = append(list, httpclient.Endpoint{Addr: addr, Zone: "z"})
				}
				r.SetUpstreams(map[string][]httpclient.Endpoint{"p": list})
				r.SetAlone(func() bool { return c.alone })
				is.Equal(r.ReachesOthers("p", failed), c.want)
				time.Sleep(10 * time.Second) // until the connections that hang are given up
			})
		})
	}
}

// TestRequestWaitsForAnUpstreamOutOfReach guards against a host that waits for connections to one upstream while others of its pool
// answer, or goes on leaving the upstream out when it answers again.
func TestRequestWaitsForAnUpstreamOutOfReach(t *testing.T) {
	const addr, bound = "u0:80", 300 * time.Millisecond // less than a dial may take
	for _, hangs := range []bool{true, false} {
		for _, alone := range []bool{true, false} {
			t.Run(fmt.Sprintf("hangs: %t, alone: %t", hangs, alone), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var answers atomic.Bool
					r := httpclient.NewReach("z", func(ctx context.Context, _, a string) (net.Conn, error) {
						switch {
						case a != addr || answers.Load():
							near, _ := net.Pipe()
							return near, nil
						case !hangs:
							return nil, errors.New("refused")
						}
						<-ctx.Done()
						return nil, ctx.Err()
					}, zap.NewNop())
					r.SetUpstreams(map[string][]httpclient.Endpoint{"p": {{Addr: addr}, {Addr: "u1:80"}, {Addr: "u2:80"}}})
					r.SetAlone(func() bool { return alone })
					ctx, cancel := context.WithCancel(t.Context())
					go r.Run(ctx)
					begin := time.Now()
					for range 5 {
						_, err := r.Dial(ctx, "tcp", addr)
						is.True(err != nil)
						is.True(!errors.Is(err, httpclient.ErrOutOfReach)) // the host is not cut off
					}
					is.True(time.Since(begin) <= bound)
					is.True(!r.IsCut("p"))
					time.Sleep(5 * time.Second)
					answers.Store(true)
					time.Sleep(time.Second)
					_, err := r.Dial(ctx, "tcp", addr)
					is.NoErr(err)
					cancel()
					time.Sleep(10 * time.Second) // until the connections that hang are given up
				})
			})
		}
	}
}
