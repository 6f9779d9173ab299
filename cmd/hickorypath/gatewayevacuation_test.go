package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/standin/script"
)

// TestUpstreamsOfAnEvacuatedZoneGetNoRequests guards against requests that still reach the upstreams of an evacuated zone: from hosts whose store
// connection is cut, from hosts that start meanwhile, and after the store has lost its history.
func TestUpstreamsOfAnEvacuatedZoneGetNoRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newGatewayFleet(t, 96, 3, 2, script.Action{Bytes: gatewayAnswer})
	for n, s := range f.servers {
		value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"zone-%d","slots":8,"state":"ready","seq":2}`, s.Addr(), n)
		is.NoErr(f.platform.Put(ctx, fmt.Sprintf("servers/u%d", n), []byte(value)))
	}
	link := f.hosts[2].restartBehindProxy()
	asked := 0
	ask := func(h *gatewayHost, key string) int {
		asked++
		return h.ask("safe", fmt.Sprint("evacuation", asked), key)
	}
	reaches := func(h *gatewayHost, server int) func() bool {
		return func() bool {
			before := len(f.servers[server].Calls())
			return ask(h, "k1") == http.StatusOK && len(f.servers[server].Calls()) > before
		}
	}
	// sync waits until each host has seen what was written to the store before.
	sync := func(key string) {
		f.configure("k1", key)
		for _, h := range f.hosts {
			f.waitUntil(func() bool { return ask(h, key) == http.StatusOK })
		}
	}
	check := func(want []int) {
		t.Helper()
		for _, h := range f.hosts {
			before := []int{len(f.servers[0].Calls()), len(f.servers[1].Calls())}
			for range 20 {
				is.Equal(ask(h, "k1"), http.StatusOK)
			}
			for n, s := range f.servers {
				is.True(len(s.Calls()) == before[n] || slices.Contains(want, n))
			}
		}
	}
	sync("k2")
	is.NoErr(link.Cut(proxy.CutResets))
	is.NoErr(f.platform.Put(ctx, "op/evacuate/", []byte("{}"))) // names no zone
	is.NoErr(f.platform.Put(ctx, "op/evacuate/zone-0", []byte("{}")))
	sync("k3")
	check([]int{1})
	f.hosts[0].kill()
	f.hosts[0].start()
	f.waitUntil(f.hosts[0].ready)
	sync("k4")
	check([]int{1})
	is.NoErr(f.platform.Put(ctx, "op/evacuate/zone-1", []byte("{}")))
	is.NoErr(f.platform.Remove(ctx, "op/evacuate/zone-0"))
	sync("k5")
	check([]int{0})
	for _, h := range f.hosts {
		f.waitUntil(reaches(h, 0))
	}
	is.NoErr(f.platform.Put(ctx, "op/evacuate/zone-0", []byte("{}")))
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return ask(h, "k1") == http.StatusServiceUnavailable })
	}
}
