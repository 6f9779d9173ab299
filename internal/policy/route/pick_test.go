package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestPickHonoursRequest(t *testing.T) {
	near := route.NewUpstream("near", "z0", 4, false)
	far := route.NewUpstream("far", "z1", 4, false)
	cheap := route.NewUpstream("cheap", "z0", 4, true)
	cases := []struct {
		name    string
		list    []route.Upstream
		request route.Request
		want    string
	}{
		{"same zone first", []route.Upstream{far, near}, route.Request{}, "near"},
		{"other zone when the upstream of the same zone is leaving", []route.Upstream{far, near.WithLeaving(true)}, route.Request{}, "far"},
		{"reclaimable not allowed", []route.Upstream{far, cheap}, route.Request{}, "far"},
		{"reclaimable allowed", []route.Upstream{far, cheap}, route.Request{AllowReclaimable: true}, "cheap"},
		{"excluded", []route.Upstream{far, near}, route.Request{Exclude: []string{"near"}}, "far"},
		{"none left", []route.Upstream{near}, route.Request{Exclude: []string{"near"}}, ""},
		{"no upstreams", nil, route.Request{}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			balancer := route.New(route.Config{Host: "h0", Zone: "z0"})
			balancer.SetUpstreams(start, c.list)
			id, ok := balancer.Pick(start, c.request)
			is.Equal(id, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

func TestPickFollowsChangedUpstreams(t *testing.T) {
	cases := []struct {
		name          string
		before, after []route.Upstream
		request       route.Request
		want          string
	}{
		{"no longer reclaimable", []route.Upstream{route.NewUpstream("a", "z0", 4, true)}, []route.Upstream{route.NewUpstream("a", "z0", 4, false)}, route.Request{}, "a"},
		{"now reclaimable", []route.Upstream{route.NewUpstream("a", "z0", 4, false)}, []route.Upstream{route.NewUpstream("a", "z0", 4, true)}, route.Request{}, ""},
		{
			"moved to the zone of the host",
			[]route.Upstream{route.NewUpstream("a", "z1", 4, false), route.NewUpstream("b", "z1", 4, false)},
			[]route.Upstream{route.NewUpstream("a", "z1", 4, false), route.NewUpstream("b", "z0", 4, false)},
			route.Request{},
			"b",
		},
		{
			"moved out of the zone of the host",
			[]route.Upstream{route.NewUpstream("a", "z0", 4, false), route.NewUpstream("b", "z0", 4, false)},
			[]route.Upstream{route.NewUpstream("a", "z1", 4, false), route.NewUpstream("b", "z0", 4, false)},
			route.Request{},
			"b",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			balancer := route.New(route.Config{Host: "h0", Zone: "z0"})
			balancer.SetUpstreams(start, c.before)
			balancer.SetUpstreams(start, c.after)
			id, ok := balancer.Pick(start, c.request)
			is.Equal(id, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}
