package peer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the number of other hosts up to which every message goes to all of them.
	smallFleet = 16
	// zoneTargets and distantTargets are the numbers of hosts that a message goes to in a larger fleet: hosts of the same
	// zone, and other hosts.
	zoneTargets    = 6
	distantTargets = 1
	// watchersPerZone is the number of hosts of a zone that watch the store on behalf of the others, since every waiting
	// watch and every event is billed as a call. With two, one may fail.
	watchersPerZone = 2
	// watcherTimeout is how long a host relies on a watching host whose messages do not arrive.
	watcherTimeout = 1500 * time.Millisecond
	// takeoverDelay is the time in which hosts that start to watch the store tell the hosts that would be next. Each start
	// reads everything from the store. The hosts notice the lack of watching hosts at different times: they have received the
	// last messages within wholeZoneIntervals, and each checks four times a second.
	takeoverDelay = time.Second
)

// SetLeader records the leader of the fleet, unless a newer leader is known.
func (t *Table) SetLeader(h Leader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.FencingToken > t.leader.FencingToken {
		t.leader = h
	}
}

// Leader returns the newest known leader of the fleet, the zero value if none is known.
func (t *Table) Leader() Leader {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader
}

// Targets holds the addresses that a message is sent to. Traffic between availability zones is billed, so in a large
// fleet each group receives only the fields that it needs.
type Targets struct {
	All      []string // all hosts of a small fleet, which receive the complete message
	SameZone []string // hosts in the zone of this host, those included of which no message has arrived
	Others   []string // hosts of other zones, hosts that are not live, and other addresses without a message
	Leader   string   // the leader; empty if it is unknown or is among All
}

// Targets returns the addresses for one message. In a small fleet these are all known addresses. In a larger fleet they
// are some hosts of the same zone (all of them with wholeZone), one other host, and the leader.
func (t *Table) Targets(now time.Time, wholeZone bool) Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var to Targets
	if len(t.addresses) <= smallFleet {
		for a := range t.addresses {
			to.All = append(to.All, a)
		}
		return to
	}
	hasMessage := map[string]bool{}
	for _, e := range t.hosts {
		hasMessage[e.message.Address] = true
		// A host sends to few others, so one that was not heard lately may still depend on this host.
		if e.message.Zone == t.zone && (wholeZone || t.isLive(now, e)) {
			to.SameZone = append(to.SameZone, e.message.Address)
		} else {
			to.Others = append(to.Others, e.message.Address)
		}
	}
	for a := range t.addresses {
		switch {
		case hasMessage[a]:
		case t.zoneAddresses[a]:
			to.SameZone = append(to.SameZone, a)
		default:
			to.Others = append(to.Others, a)
		}
	}
	if !wholeZone {
		to.SameZone = randomSample(to.SameZone, zoneTargets)
	}
	to.Others, to.Leader = randomSample(to.Others, distantTargets), t.leader.Address
	return to
}

// randomSample returns up to n randomly chosen elements of list, which it reorders.
func randomSample(list []string, n int) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// ShouldWatchStore reports whether this host has to watch the store itself. In a small fleet every host does. In a larger
// fleet the hosts of each zone are ranked by the speed of their links, since the store sends whole values, and then by a hash of
// their names. A host watches the store if it is among the first watchersPerZone, or if messages of fewer than watchersPerZone
// watching hosts of its zone arrive and the hosts ranked before it have not taken over.
func (t *Table) ShouldWatchStore(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.addresses) < smallFleet {
		return true
	}
	rankedBefore, candidatesBefore, watching := 0, 0, 0
	for name, e := range t.hosts {
		if e.message.Zone != t.zone || !t.isLive(now, e) {
			continue
		}
		isSilent := e.message.WatchesStore && now.Sub(e.receivedAt) > watcherTimeout
		if isRankedBefore(e.message.Link, name, t.link, t.self) {
			rankedBefore++
			if !isSilent {
				candidatesBefore++
			}
		}
		if e.message.WatchesStore && !isSilent {
			watching++
		}
	}
	switch {
	case rankedBefore < watchersPerZone:
		return true
	case watching >= watchersPerZone:
		t.watchersLackSince = time.Time{}
		return false
	case t.watchersLackSince.IsZero():
		t.watchersLackSince = now
	}
	return now.Sub(t.watchersLackSince) >= time.Duration(candidatesBefore/watchersPerZone)*takeoverDelay
}

// isRankedBefore reports whether a host with a link and a name is ranked before another one.
func isRankedBefore(link float64, name string, otherLink float64, otherName string) bool {
	if link != otherLink {
		return link > otherLink
	}
	return xxhash.Sum64String(name) > xxhash.Sum64String(otherName)
}
