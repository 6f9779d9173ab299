package peer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/peer"
)

func TestPickConfigSource(t *testing.T) {
	type host struct {
		zone    string
		version int64
		link    float64
		leaving bool
	}
	cases := []struct {
		name       string
		hosts      []host
		otherZones bool
		skip       int   // index of a host that is left out, -1 for none
		want       []int // hosts that may be picked, none for no host
	}{
		{"no host", nil, true, -1, nil},
		{"no newer version", []host{{"z", 3, 10, false}}, true, -1, nil},
		{"own zone first", []host{{"y", 5, 200, false}, {"z", 5, 10, false}}, true, -1, []int{1}},
		{"own zone first, though older", []host{{"y", 6, 200, false}, {"z", 5, 10, false}}, true, -1, []int{1}},
		{"newest of the zone", []host{{"z", 5, 200, false}, {"z", 6, 10, false}}, true, -1, []int{1}},
		{"other zones", []host{{"y", 5, 200, false}, {"x", 5, 10, false}}, true, -1, []int{0, 1}},
		{"not from other zones", []host{{"y", 5, 200, false}}, false, -1, nil},
		{"one is left out", []host{{"z", 5, 10, false}, {"z", 5, 10, false}}, true, 0, []int{1}},
		{"all are left out", []host{{"z", 5, 10, false}}, true, 0, nil},
		{"one is leaving", []host{{"z", 5, 10, true}, {"z", 5, 10, false}}, true, -1, []int{1}},
		{"unknown link", []host{{"z", 5, 0, false}, {"z", 5, 10, false}}, true, -1, []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			table := peer.NewTable("self", "z", "self:1", 10, 7)
			for i, h := range c.hosts {
				m := message("h"+strconv.Itoa(i), 1, 1, nil)
				m.Zone, m.Version, m.Link, m.Leaving, m.FetchAddress = h.zone, h.version, h.link, h.leaving, strconv.Itoa(i)
				table.Record(now, m)
			}
			picked := map[string]bool{}
			for range 200 {
				picked[table.PickConfigSource(now, 3, c.otherZones, func(a string) bool { return a == strconv.Itoa(c.skip) })] = true
			}
			if c.want == nil {
				is.Equal(picked, map[string]bool{"": true})
				return
			}
			is.Equal(len(picked), len(c.want))
			for _, i := range c.want {
				is.True(picked[strconv.Itoa(i)])
			}
		})
	}
}

// TestPickConfigSourceByLink checks that hosts with faster links are asked more often.
func TestPickConfigSourceByLink(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := peer.NewTable("self", "z", "self:1", 10, 7)
	for i, link := range []float64{10, 10, 180} {
		m := message("h"+strconv.Itoa(i), 1, 1, nil)
		m.Zone, m.Version, m.Link, m.FetchAddress = "z", 5, link, strconv.Itoa(i)
		table.Record(now, m)
	}
	fast := 0
	const picks = 2000
	for range picks {
		if table.PickConfigSource(now, 3, true, func(string) bool { return false }) == "2" {
			fast++
		}
	}
	is.True(fast > picks*8/10)
}
