package peer_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/peer"
)

var fleetHosts = flag.Int("fleet.hosts", 160, "number of hosts of the largest fleet in TestHostsOfALargeFleetAreCounted")

// TestHostsOfALargeFleetAreCounted guards against shares of a limit that add up to more than the limit, since each host knows
// of some of the others only.
func TestHostsOfALargeFleetAreCounted(t *testing.T) {
	const (
		interval     = 200 * time.Millisecond
		duration     = 70 * time.Second
		hostsPerZone = 22
		minKnown     = 0.97 // of the hosts, on average; TestFleetExceedsTheLimitProperty takes it for granted
	)
	for _, hosts := range []int{7, 87, *fleetHosts} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			start, zones := time.Unix(1_800_000_000, 0), 1+hosts/hostsPerZone
			address := func(n int) string { return fmt.Sprint("h", n, ":1") }
			tables, byAddress := make([]*peer.Table, hosts), map[string]*peer.Table{}
			for n := range tables {
				tables[n] = peer.NewTable(fmt.Sprint("h", n), fmt.Sprint("z", n%zones), address(n), 0, 1)
				byAddress[address(n)] = tables[n]
			}
			for _, t := range tables {
				for a := range byAddress {
					t.AddAddress(start, a, "")
				}
			}
			for tick := range int(duration / interval) {
				now := start.Add(time.Duration(tick) * interval)
				for n, table := range tables {
					m := peer.Message{Host: fmt.Sprint("h", n), Zone: fmt.Sprint("z", n%zones), Address: address(n), StartTime: 1, Sequence: uint64(tick)}
					toZone := m
					wholeZone := tick%3 == 0
					if wholeZone {
						toZone.Heard = table.TakeHeard()
					}
					to := table.Targets(now, wholeZone && n < 2*zones) // two hosts of each zone watch the store
					for _, a := range append(to.All, to.Others...) {
						byAddress[a].Record(now, m)
					}
					for _, a := range to.SameZone {
						byAddress[a].Record(now, toZone)
					}
					if wholeZone {
						table.Sweep(now, 0)
					}
				}
			}
			known := 0
			for _, table := range tables {
				known += table.MaxHosts()
			}
			t.Logf("a host knows of %.1f hosts on average", float64(known)/float64(hosts))
			is.True(float64(known) >= minKnown*float64(hosts*hosts))
		})
	}
}

// TestHostThatHasJustStartedCountsNoOthers guards against a host that takes all of a limit for itself until it has heard of the others, whose
// addresses the store holds.
func TestHostThatHasJustStartedCountsNoOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := peer.NewTable("h0", "z", "h0:1", 0, 1)
	for n := range 5 {
		table.AddAddress(now, fmt.Sprint("h", n+1, ":1"), "z")
	}
	is.Equal(table.Fleet().Size(), 6)
	table.Sweep(now.Add(2*time.Minute), 0) // they are gone
	is.Equal(table.Fleet().Size(), 1)
}
