package httpclient_test

import (
	"context"
	"errors"
	"net"
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
