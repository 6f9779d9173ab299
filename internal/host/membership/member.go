package membership

import (
	"math"
	"time"
)

// Member is a snapshot of one host in the table.
type Member struct {
	id, zone, addr string
	state          State
	alive          bool
	revision       uint64
}

// ID returns the identifier of the host.
func (m Member) ID() string { return m.id }

// Zone returns the availability zone of the host.
func (m Member) Zone() string { return m.zone }

// Addr returns the address at which other hosts reach the host.
func (m Member) Addr() string { return m.addr }

// State returns the state of the host.
func (m Member) State() State { return m.state }

// Alive reports whether the host is running and its zone is reachable.
func (m Member) Alive() bool { return m.alive }

// Revision returns a lower bound of the configuration revision that the host has applied.
func (m Member) Revision() uint64 { return m.revision }

// Members returns this host and all known hosts, sorted by ID.
func (t *Table) Members(now time.Time) []Member {
	t.refreshView()
	unreachable := map[string]bool{}
	for _, zone := range t.UnreachableZones(now) {
		unreachable[zone] = true
	}
	own := Member{id: t.config.ID, zone: t.config.Zone, addr: t.config.Addr, state: Alive, alive: true, revision: t.revision}
	if t.leaving {
		own.state = Leaving
	}
	all := make([]Member, 0, len(t.hosts)+1)
	placed := false
	for _, h := range t.sortedHosts() {
		if !placed && h.id > own.id {
			all, placed = append(all, own), true
		}
		all = append(all, Member{
			id: h.id, zone: h.zone, addr: h.addr, state: h.state(),
			alive:    (h.state() == Alive || h.state() == Leaving) && !unreachable[h.zone],
			revision: t.minRevisionOf(now, h),
		})
	}
	if !placed {
		all = append(all, own)
	}
	return all
}

// minRevisionOf returns the best known lower bound of the revision that h has applied. For a host that is no
// contact, the bound comes from the relays that this host hears.
func (t *Table) minRevisionOf(now time.Time, h *host) uint64 {
	if h.isContact(now) {
		return h.revision
	}
	best, known := uint64(0), false
	for _, id := range t.view.linkIDs {
		p := t.hosts[id]
		if !p.isContact(now) {
			continue
		}
		bound := p.minRevisions.Fleet
		if p.zone == h.zone {
			bound = p.minRevisions.Zone
		}
		if !known || p.zone == h.zone && bound > best {
			best, known = bound, true
		}
	}
	return best
}

// relayMinRevisions returns the lowest revisions among the hosts that this relay hears.
func (t *Table) relayMinRevisions(now time.Time) MinRevisions {
	revisions := MinRevisions{Attached: t.revision, Zone: math.MaxUint64, LinkedZones: math.MaxUint64}
	zone, otherZones := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for _, id := range t.view.linkIDs {
		h := t.hosts[id]
		if !h.isContact(now) {
			continue
		}
		switch {
		case h.zone != t.config.Zone:
			revisions.LinkedZones = min(revisions.LinkedZones, h.minRevisions.Zone)
		case t.isZoneRelay(h):
			zone = min(zone, h.minRevisions.Attached)
			otherZones = min(otherZones, h.minRevisions.LinkedZones)
		default:
			revisions.Attached = min(revisions.Attached, h.revision)
		}
	}
	revisions.Zone = min(revisions.Attached, zone)
	revisions.Fleet = min(revisions.Zone, revisions.LinkedZones, otherZones)
	return revisions
}

// isZoneRelay reports whether h is a relay of its own zone.
func (t *Table) isZoneRelay(h *host) bool {
	for _, id := range t.view.relays[h.zone] {
		if id == h.id {
			return true
		}
	}
	return false
}
