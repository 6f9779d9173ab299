package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/limitcheck"
)

// TestServeHostsTogetherExceedTheLimitOfAnUpstream guards against hosts that ignore the request limit of an engine or a plain
// service, or that each use all of it.
func TestServeHostsTogetherExceedTheLimitOfAnUpstream(t *testing.T) {
	is := is.New(t)
	w := newTestClusterOfSize(t, 1)
	const hosts, ratePerHost = 3, 12 // requests per second to each upstream
	limits := map[string]*limitcheck.Limit{"ledger": w.ledger.Limit()}
	for _, u := range w.site.Upstreams() {
		if u.Engine != nil && limits[u.Pool] == nil {
			limits[u.Pool] = u.Engine.Limit()
		}
	}
	calls := map[string]call{
		"asesor": {method: http.MethodPost, path: "/v1/chat/completions", body: chatBody("asesor", true, "Why?"), key: w.keys[demoCustomer]},
		"libro":  {method: http.MethodPost, path: "/v1/chat/completions", body: chatBody("libro", false, "Why?"), key: w.keys[demoCustomer]},
		"ledger": {method: http.MethodGet, path: "/help"},
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	for host := range hosts {
		for _, c := range calls {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second / ratePerHost):
						sent := c
						sent.header = http.Header{"X-Request-Id": {fmt.Sprintf("h%d-%d", host, n)}}
						callers.Go(func() { w.send(t.Context(), host, sent) })
					}
				}
			})
		}
	}
	waitUntil := func(cond func() bool) {
		for !cond() {
			<-time.After(10 * time.Millisecond)
		}
	}
	for _, l := range limits {
		for host := range hosts {
			waitUntil(func() bool { return l.HasCallFrom(fmt.Sprint("h", host)) })
		}
	}
	limits["asesor"].Name(1, "1")
	limits["ledger"].Name(2.5, "2.5")
	for _, n := range growing("a few", "-1") {
		<-time.After(n.after)
		limits["libro"].Name(n.rate, n.values...)
	}
	for _, l := range limits {
		waitUntil(l.IsChecked)
	}
	for pool, l := range limits {
		t.Run(pool, func(t *testing.T) { is := is.New(t); is.Equal(l.Violation(), "") })
	}
	before := map[string]int{}
	for pool, l := range limits {
		l.Name(0)
		before[pool] = l.Calls()
	}
	for pool, l := range limits { // no limit stops the traffic to an upstream for good
		waitUntil(func() bool { return l.Calls() > before[pool]+40 })
	}
}
