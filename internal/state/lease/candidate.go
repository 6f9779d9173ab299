package lease

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// preferredHosts is the number of hosts that try to acquire a free lease at any time.
const preferredHosts = 3

// IsCandidate reports whether self should try to acquire the lease with a name and TTL when the lease is free.
//
// The preferred hosts always should. They may all be cut off from the platform while the other hosts still
// receive messages from them, so one more host is drawn for each period of two attempts. The rate of attempts
// does not grow with the fleet.
func IsCandidate(hosts []string, self, name string, now time.Time, ttl time.Duration) bool {
	period := now.UnixNano() / int64(2*ttl/renewalsPerTTL)
	return IsPreferred(hosts, self, name) || rank(hosts, self, name+"\x00"+strconv.FormatInt(period, 36)) == 0
}

// IsPreferred reports whether self is one of the few hosts responsible for name. They are chosen by rendezvous
// hashing over the live hosts.
func IsPreferred(hosts []string, self, name string) bool {
	return rank(hosts, self, name) < preferredHosts
}

// rank returns how many hosts come before self for a name. A host that is not in hosts comes last.
func rank(hosts []string, self, name string) int {
	if !slices.Contains(hosts, self) {
		return math.MaxInt
	}
	weight := func(host string) uint64 { return xxhash.Sum64String(name + "\x00" + host) }
	own := weight(self)
	return lo.CountBy(hosts, func(h string) bool { return weight(h) > own })
}
