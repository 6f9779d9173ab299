package replication

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hickorypath/internal/host/membership"
)

// combination is the state of one run of Table.combine.
type combination struct {
	table   *Table
	now     time.Time
	topic   string
	records []WireRecord // the unexpired records that the current step combines
}

// combine combines the soft records of one topic on a relay and sends the results to the hosts that need them.
// The relay combines the records of its own hosts into a partial record, and the partial records of all relays
// of the zone into the zone total. In the same way it combines the zone totals that it receives from other
// zones into a partial record, and these partial records into the total of all other zones. A host gets the
// total of the other hosts of its zone, so that the host never counts its own record.
func (t *Table) combine(now time.Time, name string, tp *topic) {
	c := &combination{table: t, now: now, topic: name}
	hosts, zones := t.carriedSources()
	relays := t.zoneRelays()
	own := t.config.Zone
	isPart := func(source string) bool { return isFrom(source, relaySource, relays) }
	isRemotePart := func(source string) bool { return isFrom(source, remoteZonesSource, relays) }

	c.records = t.softRecords(now, name, tp, func(s string) bool { return hosts[s] })
	part := c.combineAndInstall(relaySource+t.config.Self, c.records)
	c.records = t.softRecords(now, name, tp, func(s string) bool { return isFrom(s, zoneSource, zones) })
	remotePart := c.combineAndInstall(remoteZonesSource+t.config.Self, c.records)
	c.records = t.softRecords(now, name, tp, isPart)
	total := c.combineAndInstall(zoneSource+own, c.records)
	c.records = t.softRecords(now, name, tp, isRemotePart)
	otherZones := c.combineAndInstall(OtherZonesSource+own, c.records)
	c.records = t.softRecords(now, name, tp, func(s string) bool { return hosts[s] || isPart(s) && s != relaySource+t.config.Self })
	c.install(c.combineWithout(t.config.Self))
	for _, l := range t.memberLinks {
		switch {
		case l.Role() == membership.RoleZoneRelay:
			t.sendSoft(l.ID(), slices.Concat(part, remotePart))
		case l.Role() == membership.RoleRemoteRelay && l.IsPrimary():
			t.sendSoft(l.ID(), total)
		case l.Role() == membership.RoleAttachedHost && l.IsPrimary():
			t.sendSoft(l.ID(), slices.Concat(c.combineWithout(l.ID()), otherZones))
		}
	}
}

// isFrom reports whether source consists of prefix and one of names.
func isFrom(source, prefix string, names map[string]bool) bool {
	name, ok := strings.CutPrefix(source, prefix)
	return ok && names[name]
}

// zoneRelays returns the current relays of the own zone. Records that were combined by former relays are
// ignored.
func (t *Table) zoneRelays() map[string]bool {
	ids := map[string]bool{t.config.Self: true}
	for _, l := range t.memberLinks {
		if l.Role() == membership.RoleZoneRelay {
			ids[l.ID()] = true
		}
	}
	return ids
}

// carriedSources returns the hosts and zones whose records this relay combines: the hosts whose primary relay
// it is, and the zones whose totals it received last over its primary links to other zones.
func (t *Table) carriedSources() (hosts, zones map[string]bool) {
	hosts, zones = map[string]bool{t.config.Self: true}, map[string]bool{}
	linkedRelays := map[string]bool{}
	for _, l := range t.memberLinks {
		switch {
		case l.Role() == membership.RoleAttachedHost && l.IsPrimary():
			hosts[l.ID()] = true
		case l.Role() == membership.RoleRemoteRelay && l.IsPrimary():
			linkedRelays[l.ID()] = true
		}
	}
	for h, from := range t.soft.totalFrom {
		if zone, ok := t.soft.totalZone[h]; ok && linkedRelays[from] && zone != t.config.Zone {
			zones[zone] = true
		}
	}
	return hosts, zones
}

// combineAndInstall combines records with the same name and stores the results under source.
func (c *combination) combineAndInstall(source string, records []WireRecord) []WireRecord {
	merged := c.combineByName(source, records, nil)
	c.install(merged)
	return merged
}

// combineWithout combines the records of the zone's hosts except the given host.
func (c *combination) combineWithout(host string) []WireRecord {
	others := slices.DeleteFunc(slices.Clone(c.records), func(w WireRecord) bool {
		_, source := SplitSoftKey(w.Key)
		return source == host
	})
	return c.combineByName(ZonePeersSource+c.table.config.Zone, others, []uint32{contributorID(host)})
}

// combineByName combines records with the same name. Relays that have changed and do not agree yet may both
// have combined the record of the same host or zone. A name for which such a contributor would count twice, or
// whose contributors include one of taken, is left out; its last combined record stays valid until it expires.
func (c *combination) combineByName(source string, records []WireRecord, taken []uint32) []WireRecord {
	byName := map[string][]WireRecord{}
	for _, w := range records {
		name, _ := SplitSoftKey(w.Key)
		byName[name] = append(byName[name], w)
	}
	merged := make([]WireRecord, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		contributors, ok := unionContributors(byName[name], taken)
		if !ok {
			continue
		}
		merged = append(merged, c.combinedRecord(name, source, byName[name], contributors))
	}
	return merged
}

// combinedRecord returns the record that combines the values of records.
func (c *combination) combinedRecord(name, source string, records []WireRecord, contributors []uint32) WireRecord {
	t := c.table
	values := make([][]byte, 0, len(records))
	for _, w := range records {
		values = append(values, w.Value)
	}
	w := WireRecord{
		Topic: c.topic, Key: SoftKey(name, source), Version: uint64(c.now.UnixMilli()),
		Value: t.config.Merge(c.topic, name, values), Expires: unixMilli(c.now.Add(SoftTTL(t.softPeriod))),
	}
	if strings.HasPrefix(source, relaySource) || strings.HasPrefix(source, remoteZonesSource) {
		w.Contributors = contributors
	}
	return w
}

// install stores combined records. Watchers are notified only of the final results (see IsCombinedResult).
func (c *combination) install(records []WireRecord) {
	t := c.table
	for _, w := range records {
		known := len(t.events)
		if t.accept(c.now, w, "", false) && !IsCombinedResult(w.Key) {
			t.events = t.events[:known]
		}
	}
}

// unionContributors returns the contributors of all records. It reports false if a contributor occurs in two
// records or in taken.
func unionContributors(records []WireRecord, taken []uint32) ([]uint32, bool) {
	all := make([]uint32, 0, len(records))
	for _, w := range records {
		if len(w.Contributors) > 0 {
			all = append(all, w.Contributors...)
			continue
		}
		_, source := SplitSoftKey(w.Key)
		all = append(all, contributorID(source))
	}
	slices.Sort(all)
	distinct := len(slices.Compact(slices.Clone(all))) == len(all)
	isTaken := slices.ContainsFunc(taken, func(p uint32) bool { return slices.Contains(all, p) })
	return all, distinct && !isTaken
}

// contributorID returns the number that identifies a host or zone in the contributors of combined records.
func contributorID(source string) uint32 { return uint32(recordHash("part", source)) } //nolint:gosec // truncation of the hash to its lower half is intended
