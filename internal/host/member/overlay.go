package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	attached  = 2 // relays that a host exchanges heartbeats with
	zonePairs = 2 // pairs of relays that link two zones
)

// view is what follows from the hosts' states; it is worked out again when a state changes.
type view struct {
	stale  bool
	fresh  bool                // rebuilt, and the links not yet noted
	relays map[string][]string // by zone, in order of rank
	zones  []string
	links  []string
	relay  bool
}

func weigh(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// relayCount returns how many relays a zone of n hosts has.
func relayCount(n int) int { return min(n, 1+(n+7)/8) }

// rank orders ids by their rendezvous weight under a name.
func rank(name string, ids []string) []string {
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(weigh(name, b), weigh(name, a)), cmp.Compare(a, b))
	})
	return ids
}

// Relays returns the relays of a zone, as this host sees it.
func (t *Table) Relays(zone string) []string {
	t.refresh()
	return slices.Clone(t.view.relays[zone])
}

// IsRelay reports whether this host is a relay of its zone.
func (t *Table) IsRelay() bool {
	t.refresh()
	return t.view.relay
}

func (t *Table) refresh() {
	if !t.view.stale && t.view.relays != nil {
		return
	}
	t.view = view{relays: map[string][]string{}, fresh: true}
	good, rest := t.candidates()
	for zone := range rest {
		ids := good[zone]
		if len(ids) == 0 {
			ids = rest[zone]
		}
		t.view.relays[zone] = rank(zone, ids)[:relayCount(len(ids))]
	}
	t.view.zones = slices.Sorted(maps.Keys(t.view.relays))
	t.view.relay = slices.Contains(t.view.relays[t.config.Zone], t.config.ID)
	t.view.links = t.overlay()
}

// candidates returns, by zone, the hosts that may be relays, and all hosts that could be if there are none.
func (t *Table) candidates() (good, rest map[string][]string) {
	good, rest = map[string][]string{}, map[string][]string{}
	put := func(m map[string][]string, zone, id string) { m[zone] = append(m[zone], id) }
	put(rest, t.config.Zone, t.config.ID)
	if !t.leaving {
		put(good, t.config.Zone, t.config.ID)
	}
	for _, h := range t.hosts {
		switch h.state() {
		case Alive:
			put(good, h.zone, h.id)
			put(rest, h.zone, h.id)
		case Listed, Suspect, Leaving:
			put(rest, h.zone, h.id)
		}
	}
	return good, rest
}

// overlay returns the hosts to exchange heartbeats with, in order.
func (t *Table) overlay() []string {
	set := map[string]bool{}
	own := t.view.relays[t.config.Zone]
	for _, id := range t.attach(t.config.ID, own) {
		set[id] = true
	}
	if t.view.relay {
		for _, id := range own {
			set[id] = true
		}
		t.addAttached(set, own)
		t.addZones(set, own)
	}
	delete(set, t.config.ID)
	return slices.Sorted(maps.Keys(set))
}

// attach returns the relays that a host of the zone is attached to.
func (t *Table) attach(id string, relays []string) []string {
	ranked := rank(id, relays)
	return ranked[:min(attached, len(ranked))]
}

func (t *Table) addAttached(set map[string]bool, own []string) {
	for _, h := range t.hosts {
		if h.zone != t.config.Zone || h.state() != Alive && h.state() != Leaving {
			continue
		}
		if slices.Contains(t.attach(h.id, own), t.config.ID) {
			set[h.id] = true
		}
	}
}

func (t *Table) addZones(set map[string]bool, own []string) {
	for _, zone := range t.view.zones {
		if zone == t.config.Zone {
			continue
		}
		for _, pair := range pairs(t.config.Zone, own, zone, t.view.relays[zone]) {
			if pair[0] == t.config.ID {
				set[pair[1]] = true
			}
		}
	}
}

// pairs returns the pairs of relays that link two zones; both zones work out the same ones.
func pairs(zoneA string, a []string, zoneB string, b []string) [][2]string {
	if zoneA > zoneB {
		return flip(pairs(zoneB, b, zoneA, a))
	}
	if len(a) == 0 || len(b) == 0 {
		return nil
	}
	h := int(weigh(zoneA, zoneB) >> 40)
	all := make([][2]string, 0, zonePairs)
	for i := range zonePairs {
		all = append(all, [2]string{a[(h+i)%len(a)], b[(h+i)%len(b)]})
	}
	return all
}

func flip(all [][2]string) [][2]string {
	for i, p := range all {
		all[i] = [2]string{p[1], p[0]}
	}
	return all
}
