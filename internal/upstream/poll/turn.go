package poll

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers is how many hosts of a large fleet poll each upstream; the others learn its load from them.
const Watchers = 2

// smallFleet is the number of hosts up to which each host polls each upstream. Cache events reach only
// the hosts that poll, and a host without them finds far fewer cached prefixes.
const smallFleet = 8

// Mine reports whether host polls an upstream: in a small fleet always, in a larger one if it is among
// the Watchers of the upstream by rendezvous hashing.
func Mine(host string, hosts []string, upstream string) bool {
	if len(hosts) <= smallFleet || !slices.Contains(hosts, host) {
		return true
	}
	own := score(host, upstream)
	ahead := 0
	for _, h := range hosts {
		if h != host && score(h, upstream) > own {
			ahead++
		}
	}
	return ahead < Watchers
}

func score(host, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
