package membership

import (
	"slices"
	"time"
)

// Tick advances the failure detector to now and returns the heartbeats that are due.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.renewRecord(now)
	t.updateLinkTimes(now)
	if now.Before(t.nextHeartbeatAt) {
		return nil
	}
	t.nextHeartbeatAt = now.Add(t.Period())
	t.checkHosts(now)
	t.updateLinkTimes(now)
	return t.heartbeats(now)
}

// HostsToReconnect returns the linked hosts to which a new connection should be opened, because heartbeats
// from them have been missing for several periods. Each call returns the hosts found since the previous call.
func (t *Table) HostsToReconnect() []string {
	ids := t.toReconnect
	t.toReconnect = nil
	return ids
}

// isContact reports whether a heartbeat from h arrived within the last contactPeriods periods.
func (h *host) isContact(now time.Time) bool {
	return !h.heardAt.IsZero() && now.Sub(h.heardAt) < contactPeriods*h.period
}

// updateLinkTimes records, for each host and zone that the overlay links this host with, the time from
// which heartbeats are expected.
func (t *Table) updateLinkTimes(now time.Time) {
	t.refreshView()
	if !t.view.linksChanged {
		return
	}
	t.view.linksChanged = false
	linked := map[string]bool{}
	zones := map[string]bool{}
	for _, id := range t.view.linkIDs {
		linked[id] = true
		zones[t.hosts[id].zone] = true
	}
	for id, h := range t.hosts {
		switch {
		case linked[id] && h.linkedAt.IsZero():
			h.linkedAt = now
		case !linked[id] && h.state() != Suspect:
			h.linkedAt = time.Time{}
		}
	}
	for zone := range zones {
		if t.zoneLinkedAt[zone].IsZero() {
			t.zoneLinkedAt[zone] = now
		}
	}
	for zone := range t.zoneLinkedAt {
		if !zones[zone] {
			delete(t.zoneLinkedAt, zone)
		}
	}
}

// checkHosts runs the failure detector on all hosts and removes those that should be forgotten.
func (t *Table) checkHosts(now time.Time) {
	for _, h := range t.sortedHosts() {
		t.checkHost(now, h)
		if t.shouldForget(now, h) {
			h.fire(eventForget)
			delete(t.hosts, h.id)
			t.view.stale = true
		}
	}
}

// checkHost requests a reconnect to h, suspects h or declares h dead, depending on how long heartbeats
// from h have been missing. Only relays of h's zone declare h dead, and only if no other relay of the zone
// has lately reported heartbeats from h.
func (t *Table) checkHost(now time.Time, h *host) {
	period := max(h.period, t.Period())
	silence := h.silence(now)
	if silence >= time.Duration(suspectPeriods*(h.reconnects+1))*period {
		h.reconnects++
		t.toReconnect = append(t.toReconnect, h.id)
	}
	if h.zone != t.config.Zone && t.isZoneSilent(now, h.zone) {
		return
	}
	if h.state() == Alive && silence >= suspectPeriods*period {
		h.fire(eventSilent)
		t.view.stale = true
	}
	if h.state() == Leaving && silence >= suspectPeriods*period && h.endedAt.IsZero() {
		h.endedAt = now
	}
	if h.state() != Suspect || h.zone != t.config.Zone || !t.IsRelay() {
		return
	}
	if silence >= deadPeriods*period && now.Sub(h.confirmedAt) >= suspectPeriods*period {
		t.declareDead(now, h)
	}
}

// isZoneSilent reports whether no heartbeat at all has arrived from a linked zone for suspectPeriods-1
// periods. The hosts of a silent zone are not suspected one by one, so that the overlay still has the same
// links when a network partition ends.
func (t *Table) isZoneSilent(now time.Time, zone string) bool {
	since := t.zoneLastHeard(zone)
	return !since.IsZero() && now.Sub(since) >= (suspectPeriods-1)*t.Period()
}

// zoneLastHeard returns the time of the last heartbeat from a linked zone, or the time at which the zone
// was linked if no heartbeat has arrived since. It returns the zero time for a zone that is not linked.
func (t *Table) zoneLastHeard(zone string) time.Time {
	since := t.zoneLinkedAt[zone]
	if !since.IsZero() && t.zoneHeardAt[zone].After(since) {
		return t.zoneHeardAt[zone]
	}
	return since
}

// shouldForget reports whether h can be removed from the table. A host in the platform's list is never removed.
func (t *Table) shouldForget(now time.Time, h *host) bool {
	if h.listed {
		return false
	}
	switch h.state() {
	case Listed:
		return true
	case Alive, Suspect:
		since := t.zoneLastHeard(h.zone)
		return h.zone != t.config.Zone && !since.IsZero() && now.Sub(since) >= forgetAfter
	case Dead, Leaving:
		return !h.endedAt.IsZero() && now.Sub(h.endedAt) >= forgetAfter
	default:
		return false
	}
}

// heartbeats returns the heartbeats for all overlay links and probed hosts.
func (t *Table) heartbeats(now time.Time) []Outgoing {
	ids := append(slices.Clone(t.view.linkIDs), t.probeTargets(now)...)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	all := make([]Outgoing, 0, len(ids))
	for _, id := range ids {
		all = append(all, t.heartbeatFor(now, t.hosts[id]))
	}
	return all
}

// probeTargets returns hosts to probe because this host should hear them and does not: suspected hosts and
// hosts known only from the platform's list in the own zone and, on a relay, hosts of silent zones and
// suspected hosts of other zones. Successive calls rotate through these hosts.
func (t *Table) probeTargets(now time.Time) []string {
	var inZone []string
	inOtherZones := map[string][]string{}
	for _, h := range t.sortedHosts() {
		switch {
		case h.zone == t.config.Zone && (h.state() == Listed || h.state() == Suspect):
			inZone = append(inZone, h.id)
		case h.zone != t.config.Zone && h.state() != Dead && t.view.isRelay && t.isZoneSilent(now, h.zone),
			h.zone != t.config.Zone && h.state() == Suspect && t.view.isRelay:
			inOtherZones[h.zone] = append(inOtherZones[h.zone], h.id)
		}
	}
	t.probeRound++
	var ids []string
	for i := range min(probesPerPeriod, len(inZone)) {
		ids = append(ids, inZone[(t.probeRound*probesPerPeriod+i)%len(inZone)])
	}
	for _, zone := range t.view.zones {
		if all := inOtherZones[zone]; len(all) > 0 {
			ids = append(ids, all[t.probeRound%len(all)])
		}
	}
	return ids
}

// heartbeatFor builds the heartbeat for h. It probes h if h has not been heard lately.
func (t *Table) heartbeatFor(now time.Time, h *host) Outgoing {
	hb := Heartbeat{
		ID: t.config.ID, Incarnation: t.incarnation, Period: int(t.Period().Milliseconds()),
		Revision: t.revision, Digest: t.digest, Leaving: t.leaving,
	}
	if !h.isContact(now) {
		hb.Probe, hb.Zone, hb.Addr = true, t.config.Zone, t.config.Addr
	}
	if h.zone == t.config.Zone {
		hb.Heard = t.heardSuspects(now, h)
	}
	if t.view.isRelay {
		t.addRelayFields(now, h, &hb)
	}
	return Outgoing{To: h.id, Addr: h.addr, Heartbeat: hb}
}

// addRelayFields sets the fields of hb that only relays send. Other relays of the zone get only what this
// relay has observed itself; attached hosts also get what other relays reported. A report therefore cannot
// circulate between relays.
func (t *Table) addRelayFields(now time.Time, h *host, hb *Heartbeat) {
	revisions := t.relayMinRevisions(now)
	hb.MinRevisions = &revisions
	if h.zone != t.config.Zone {
		return
	}
	if slices.Contains(t.view.relays[h.zone], h.id) {
		hb.Suspects = t.suspects()
		hb.UnreachableZones = t.silentZones(now)
		return
	}
	hb.UnreachableZones = t.UnreachableZones(now)
}

// suspects returns the hosts of the own zone that this host suspects.
func (t *Table) suspects() []string {
	var ids []string
	for _, h := range t.sortedHosts() {
		if h.zone == t.config.Zone && h.state() == Suspect {
			ids = append(ids, h.id)
		}
	}
	return ids
}

// heardSuspects returns the hosts that asker suspects and from which this host has received a heartbeat
// lately.
func (t *Table) heardSuspects(now time.Time, asker *host) []string {
	var ids []string
	for _, id := range asker.suspects {
		if h := t.hosts[id]; h != nil && h.isContact(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// UnreachableZones returns the zones that are unreachable according to this host or to a relay of its zone.
func (t *Table) UnreachableZones(now time.Time) []string {
	zones := t.silentZones(now)
	for zone, reported := range t.reportedUnreachable {
		_, linked := t.zoneLinkedAt[zone]
		if !linked && now.Sub(reported) < contactPeriods*t.Period() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// silentZones returns the zones that this host has links to and hears no heartbeat from.
func (t *Table) silentZones(now time.Time) []string {
	var zones []string
	for _, zone := range t.view.zones {
		if zone != t.config.Zone && t.isZoneSilent(now, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}
