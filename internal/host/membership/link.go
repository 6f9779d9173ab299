package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is the position of a linked host in the overlay, relative to this host.
type Role int

// The roles of linked hosts.
const (
	RoleContact      Role = iota // a host heard lately that the overlay does not link with this host
	RoleRelay                    // a relay that this host is attached to
	RoleAttachedHost             // a host attached to this relay
	RoleZoneRelay                // another relay of this relay's zone
	RoleRemoteRelay              // a relay of another zone
)

// Link names another host with which this host exchanges records.
type Link struct {
	id      string
	role    Role
	primary bool
}

// NewLink returns a Link. A host is attached to two relays, and two zones are joined by two links; one of
// each pair is primary and carries soft records (records that are sent periodically and not acknowledged).
func NewLink(id string, role Role, primary bool) Link {
	return Link{id: id, role: role, primary: primary}
}

// ID returns the identifier of the linked host.
func (l Link) ID() string { return l.id }

// Role returns the position of the linked host in the overlay.
func (l Link) Role() Role { return l.role }

// IsPrimary reports whether the link carries soft records.
func (l Link) IsPrimary() bool { return l.primary }

// linksCacheTTL is how long Links returns a cached list before it checks again which contacts are recent.
const linksCacheTTL = 250 * time.Millisecond

// Links returns the hosts to exchange records with, sorted by ID: the overlay links and the recent contacts.
// The caller must not modify the returned slice.
func (t *Table) Links(now time.Time) []Link {
	t.refreshView()
	if !t.view.allLinksAt.IsZero() && now.Sub(t.view.allLinksAt) < linksCacheTTL {
		return t.view.allLinks
	}
	links := slices.Clone(t.view.overlayLinks)
	for _, h := range t.hosts {
		if !h.isContact(now) {
			continue
		}
		if _, ok := slices.BinarySearch(t.view.linkIDs, h.id); !ok {
			links = append(links, NewLink(h.id, RoleContact, false))
		}
	}
	slices.SortFunc(links, func(a, b Link) int { return cmp.Compare(a.id, b.id) })
	t.view.allLinks, t.view.allLinksAt = links, now
	return links
}

// primaryRemoteRelays returns the relays of other zones to which this relay has the primary link.
func (t *Table) primaryRemoteRelays() map[string]bool {
	primary := map[string]bool{}
	own := t.view.relays[t.config.Zone]
	for _, zone := range t.view.zones {
		if zone == t.config.Zone {
			continue
		}
		if all := t.relayPairs(own, zone); len(all) > 0 && all[0][0] == t.config.ID {
			primary[all[0][1]] = true
		}
	}
	return primary
}

// newLinkTo returns the overlay link to h with its role.
func (t *Table) newLinkTo(h *host, primaryRemote map[string]bool) Link {
	own := t.view.relays[t.config.Zone]
	switch {
	case h.zone != t.config.Zone:
		return NewLink(h.id, RoleRemoteRelay, primaryRemote[h.id])
	case !t.view.isRelay:
		return NewLink(h.id, RoleRelay, t.view.relaysOf[t.config.ID][0] == h.id)
	case slices.Contains(own, h.id):
		return NewLink(h.id, RoleZoneRelay, false)
	default:
		return NewLink(h.id, RoleAttachedHost, t.view.relaysOf[h.id][0] == t.config.ID)
	}
}
