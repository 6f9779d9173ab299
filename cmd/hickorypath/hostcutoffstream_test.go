package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/upstream/httpclient"
)

// TestStreamsOfAServeHostBreakByACut guards against streams that break when their host is cut off from the upstreams, although other hosts
// could take them up, and against usage that is billed twice, or not at all, when they do.
func TestStreamsOfAServeHostBreakByACut(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(map[bool]string{false: "connections hang", true: "connections are refused"}[refuses], func(t *testing.T) {
			const streams = 6
			is := is.New(t)
			links := make([]*uplink, 3)
			o := testEngine
			o.TokenInterval = 60 * time.Millisecond
			w := newTestClusterWithFlags(t, demoFlags{engine: o, enginesPerPool: 3, document: withoutLimits(relaxedDocument(t)), dial: func(host int) httpclient.DialFunc {
				links[host] = &uplink{refuses: refuses, conns: map[*uplinkConn]bool{}}
				return links[host].dial
			}})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			// ask sends all streams through a host and calls begun when all have begun.
			ask := func(host int, begun func()) (list [streams]streamedAnswer) {
				var callers, first sync.WaitGroup
				first.Add(streams)
				for i := range streams {
					callers.Go(func() {
						list[i] = w.stream(ctx, t, host, fmt.Sprint("Why are there dues? ", i), func(n int) {
							if n == 2 {
								first.Done()
							}
						})
					})
				}
				first.Wait()
				begun()
				callers.Wait()
				return list
			}
			want := ask(1, func() {})
			w.waitUntil(ctx, t, func() bool { return w.reported()[demoCustomer].Requests == streams })
			usage := w.reported()[demoCustomer]
			got := ask(0, func() { links[0].setCut(true) })
			links[0].setCut(false)
			for i := range streams {
				is.True(want[i].whole)
				is.True(got[i].whole)
				is.Equal(got[i].text, want[i].text)
			}
			w.waitUntil(ctx, t, func() bool { return w.reported()[demoCustomer].Requests >= 2*streams })
			is.Equal(w.reported()[demoCustomer], usage.plus(usage))
		})
	}
}
