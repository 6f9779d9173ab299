package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"hickorypath/internal/standin/instance"
)

// naming is a limit that an upstream names.
type naming struct {
	after  time.Duration // since the previous one
	rate   float64       // requests per second that the hosts may send
	values []string
}

// growing returns the namings of a value that is no limit: the hosts may send 1 request a second, and twice as many every two seconds.
func growing(values ...string) (list []naming) {
	const start, end, doubling = 1, 64, 2 * time.Second
	for rate := float64(start); rate <= end; rate *= 2 {
		list = append(list, naming{after: doubling, rate: rate, values: values})
	}
	list[0].after = 0
	return list
}

// TestHostsTogetherExceedTheLimitOfAnUpstream guards against hosts that ignore the request limit that an upstream names, or
// that each use all of it.
func TestHostsTogetherExceedTheLimitOfAnUpstream(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		service string
		namings []naming
	}{
		{"low", []naming{{0, 1, []string{"1"}}}},
		{"fraction", []naming{{0, 2.5, []string{"2.5"}}}},
		{"lowered", []naming{{0, 8, []string{"8"}}, {2 * time.Second, 1, []string{"1.0"}}}},
		{"renamed", []naming{{0, 1, []string{"1"}}, {time.Second, 0, nil}, {time.Second, 2, []string{"2"}}}},
		{"word", growing("few")},
		{"negative", growing("-4")},
		{"repeated", []naming{{0, 2, []string{"9", "2"}}}},
	}
	const hosts, ratePerHost = 5, 8 // requests per second to each service
	f := newGatewayFleet(t, 18, hosts, 0)
	upstreams := make([]*instance.Server, 0, len(cases))
	for i, c := range cases {
		s, err := instance.New(instance.Options{})
		is.NoErr(err)
		t.Cleanup(s.Close)
		upstreams = append(upstreams, s)
		value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":8,"state":"ready","seq":1}`, c.service, s.Addr())
		is.NoErr(f.platform.Put(t.Context(), fmt.Sprintf("servers/u%d", i), []byte(value)))
		f.services = append(f.services, c.service)
	}
	f.configure("k1")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	for _, h := range f.hosts {
		for _, c := range cases {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second / ratePerHost):
						callers.Go(func() { h.ask(c.service, fmt.Sprintf("%s-%d", h.name, n), "k1") })
					}
				}
			})
		}
	}
	for _, s := range upstreams {
		for _, h := range f.hosts {
			f.waitUntil(func() bool { return s.Limit().HasCallFrom(h.name) })
		}
	}
	var names sync.WaitGroup
	for i, c := range cases {
		names.Go(func() {
			for _, n := range c.namings {
				<-time.After(n.after)
				upstreams[i].Limit().Name(n.rate, n.values...)
			}
		})
	}
	names.Wait()
	for _, s := range upstreams {
		f.waitUntil(s.Limit().IsChecked)
	}
	for i, c := range cases {
		t.Run(c.service, func(t *testing.T) { is.New(t).Equal(upstreams[i].Limit().Violation(), "") })
	}
	before := lo.Map(upstreams, func(s *instance.Server, _ int) int {
		s.Limit().Name(0)
		return s.Limit().Calls()
	})
	for i, s := range upstreams { // no limit stops the traffic to an upstream for good
		f.waitUntil(func() bool { return s.Limit().Calls() > before[i]+100 })
	}
}

func TestHostLearnsTheLimitOfAnUpstreamFromOthers(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 19, 2, 0)
	s, err := instance.New(instance.Options{})
	is.NoErr(err)
	t.Cleanup(s.Close)
	s.Limit().Name(3, "3")
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":8,"state":"ready","seq":1}`, s.Addr())
	is.NoErr(f.platform.Put(t.Context(), "servers/u0", []byte(value)))
	f.waitUntil(func() bool { return f.hosts[0].ask("safe", "h1-a", "k1") == http.StatusOK })
	f.waitUntil(func() bool {
		return strings.Contains(f.hosts[1].log.String(), `"text":"upstream names a limit","host":"h2","upstream":"u0","peer":"h1","limit":3}`)
	})
	is.True(!s.Limit().HasCallFrom("h2"))
}
