package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxMeshHosts is the largest number of hosts that form a full mesh. In a full mesh every host is a
	// relay and exchanges heartbeats with every other host.
	MaxMeshHosts = 16

	relaysPerHost    = 2 // relays to which a host that is no relay is attached
	linksPerZonePair = 2 // links between the relays of two zones
)

// view is the overlay derived from the states of all hosts. It is rebuilt after a state changes.
type view struct {
	stale        bool                // a state has changed since the last rebuild
	relaysOf     map[string][]string // by host of the own zone: the relays that the host is attached to, primary first
	linksChanged bool                // rebuilt since the last call of updateLinkTimes
	relays       map[string][]string // by zone, in descending order of rendezvous weight
	zones        []string
	linkIDs      []string
	overlayLinks []Link // linkIDs with their roles
	allLinks     []Link // overlayLinks and recent contacts, as of allLinksAt
	allLinksAt   time.Time
	isRelay      bool
}

// rendezvousWeight returns the weight of host b in the rendezvous hashing for name a.
func rendezvousWeight(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// relayCount returns how many relays a zone of n hosts has.
func (t *Table) relayCount(n int) int {
	if t.isFullMesh() {
		return n
	}
	return min(n, 1+(n+7)/8)
}

func (t *Table) isFullMesh() bool { return t.Len() <= MaxMeshHosts }

// rankByWeight returns ids in descending order of their rendezvous weight for a name.
func rankByWeight(name string, ids []string) []string {
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(name, b), rendezvousWeight(name, a)), cmp.Compare(a, b))
	})
	return ids
}

// Relays returns the relays of a zone, as computed from this host's view of the fleet.
func (t *Table) Relays(zone string) []string {
	t.refreshView()
	return slices.Clone(t.view.relays[zone])
}

// IsRelay reports whether this host is a relay of its zone.
func (t *Table) IsRelay() bool {
	t.refreshView()
	return t.view.isRelay
}

// refreshView rebuilds the view if a state has changed since the last rebuild.
func (t *Table) refreshView() {
	if !t.view.stale && t.view.relays != nil {
		return
	}
	t.view = view{relays: map[string][]string{}, linksChanged: true}
	preferred, eligible := t.candidates()
	for zone := range eligible {
		ids := preferred[zone]
		if len(ids) == 0 {
			ids = eligible[zone]
		}
		t.view.relays[zone] = rankByWeight(zone, ids)[:t.relayCount(len(ids))]
	}
	t.view.zones = slices.Sorted(maps.Keys(t.view.relays))
	t.view.isRelay = slices.Contains(t.view.relays[t.config.Zone], t.config.ID)
	t.view.relaysOf = t.assignRelays()
	t.view.linkIDs = t.overlayHosts()
	primary := t.primaryRemoteRelays()
	for _, id := range t.view.linkIDs {
		t.view.overlayLinks = append(t.view.overlayLinks, t.newLinkTo(t.hosts[id], primary))
	}
}

// candidates returns, by zone, the hosts that are preferred as relays, and all hosts that are eligible when a
// zone has no preferred host.
func (t *Table) candidates() (preferred, eligible map[string][]string) {
	preferred, eligible = map[string][]string{}, map[string][]string{}
	add := func(m map[string][]string, zone, id string) { m[zone] = append(m[zone], id) }
	add(eligible, t.config.Zone, t.config.ID)
	if !t.leaving {
		add(preferred, t.config.Zone, t.config.ID)
	}
	for _, h := range t.hosts {
		switch h.state() {
		case Alive:
			add(preferred, h.zone, h.id)
			add(eligible, h.zone, h.id)
		case Listed, Suspect, Leaving:
			add(eligible, h.zone, h.id)
		}
	}
	return preferred, eligible
}

// overlayHosts returns the IDs of the hosts to exchange heartbeats with, sorted.
func (t *Table) overlayHosts() []string {
	set := map[string]bool{}
	own := t.view.relays[t.config.Zone]
	for _, id := range t.view.relaysOf[t.config.ID] {
		set[id] = true
	}
	if t.view.isRelay {
		for _, id := range own {
			set[id] = true
		}
		t.addAttachedHosts(set)
		t.addRemoteRelays(set, own)
	}
	delete(set, t.config.ID)
	return slices.Sorted(maps.Keys(set))
}

// assignRelays assigns the hosts of the own zone that are no relays to the zone's relays in round-robin
// order of their rendezvous weight.
func (t *Table) assignRelays() map[string][]string {
	own := t.view.relays[t.config.Zone]
	ids := []string{t.config.ID}
	for _, h := range t.hosts {
		if h.zone == t.config.Zone && (h.state() == Alive || h.state() == Leaving) {
			ids = append(ids, h.id)
		}
	}
	assigned := make(map[string][]string, len(ids))
	for _, id := range rankByWeight(t.config.Zone, ids) {
		if slices.Contains(own, id) {
			continue
		}
		n := len(assigned)
		for i := range min(relaysPerHost, len(own)) {
			assigned[id] = append(assigned[id], own[(n+i)%len(own)])
		}
	}
	return assigned
}

// addAttachedHosts adds the hosts that are attached to this relay.
func (t *Table) addAttachedHosts(set map[string]bool) {
	for id, relays := range t.view.relaysOf {
		if slices.Contains(relays, t.config.ID) {
			set[id] = true
		}
	}
}

// addRemoteRelays adds the relays of other zones that this relay is linked with.
func (t *Table) addRemoteRelays(set map[string]bool, own []string) {
	for _, zone := range t.view.zones {
		if zone == t.config.Zone {
			continue
		}
		for _, pair := range t.relayPairs(own, zone) {
			if pair[0] == t.config.ID {
				set[pair[1]] = true
			}
		}
	}
}

// relayPairs returns the pairs of an own and a remote relay that link the own zone with another zone. Both
// zones compute the same pairs, and the links of a zone are spread evenly over its relays.
func (t *Table) relayPairs(own []string, zone string) [][2]string {
	other := t.view.relays[zone]
	if len(own) == 0 || len(other) == 0 {
		return nil
	}
	if t.isFullMesh() {
		return allPairs(own, other)
	}
	a, _ := slices.BinarySearch(t.view.zones, t.config.Zone)
	b, _ := slices.BinarySearch(t.view.zones, zone)
	all := make([][2]string, 0, linksPerZonePair)
	for i := range linksPerZonePair {
		all = append(all, [2]string{own[(a+b+i)%len(own)], other[(a+b+i)%len(other)]})
	}
	return all
}

// allPairs returns the Cartesian product of a and b.
func allPairs(a, b []string) [][2]string {
	all := make([][2]string, 0, len(a)*len(b))
	for _, x := range a {
		for _, y := range b {
			all = append(all, [2]string{x, y})
		}
	}
	return all
}
