package peer

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// unknownLink stands in for the link of a host that does not tell its speed, in Mbit/s.
const unknownLink = 10

// HasNewerConfig reports whether a live host has a configuration newer than version.
func (t *Table) HasNewerConfig(now time.Time, version int64) bool {
	return t.PickConfigSource(now, version, true, func(string) bool { return false }) != ""
}

// PickConfigSource returns the address of a live host from which a configuration newer than version can be fetched, empty if
// there is none. Without otherZones, hosts of other zones are left out, and so are those that skip names.
func (t *Table) PickConfigSource(now time.Time, version int64, otherZones bool, skip func(address string) bool) string {
	return t.pickSource(now, otherZones, skip, func(m Message) uint64 { return uint64(max(m.Version-version, 0)) })
}

// PickEntriesSource is like PickConfigSource for upstream entries newer than revision.
func (t *Table) PickEntriesSource(now time.Time, revision uint64, otherZones bool, skip func(address string) bool) string {
	return t.pickSource(now, otherZones, skip, func(m Message) uint64 { return max(m.EntryRevision, revision) - revision })
}

// pickSource returns the address of a live host whose lead is above 0. It prefers hosts of the same zone, then greater leads, and
// picks among equal ones at random, more often those with faster links.
func (t *Table) pickSource(now time.Time, otherZones bool, skip func(address string) bool, lead func(Message) uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Message
	weight := 0.0 // of the hosts that are as good as best
	for _, e := range t.hosts {
		m := e.message
		near, bestNear := m.Zone == t.zone, best.Zone == t.zone
		if lead(m) == 0 || !t.isLive(now, e) || !near && !otherZones || skip(m.FetchAddress) {
			continue
		}
		link := cmp.Or(m.Link, unknownLink)
		switch {
		case weight == 0, near && !bestNear, near == bestNear && lead(m) > lead(best):
			best, weight = m, link
		case near == bestNear && lead(m) == lead(best):
			if weight += link; rand.Float64()*weight < link {
				best = m
			}
		}
	}
	return best.FetchAddress
}
