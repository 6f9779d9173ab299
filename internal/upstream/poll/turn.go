package poll

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers is how many hosts poll each upstream; the others learn its load from them.
const Watchers = 2

// Mine reports whether host is among the Watchers of an upstream, by rendezvous hashing over the
// hosts. With few hosts each of them polls.
func Mine(host string, hosts []string, upstream string) bool {
	if len(hosts) <= Watchers || !slices.Contains(hosts, host) {
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
