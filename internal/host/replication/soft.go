package replication

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hickorypath/internal/host/membership"
)

// Sources of the combined soft records in a large fleet. The name of a relay, zone or host follows the prefix.
// The source of a record that is not combined is the ID of its host.
const (
	relaySource       = "part:" // partial record: a relay and the hosts whose primary relay it is
	remoteZonesSource = "far:"  // partial record: the zones whose totals a relay receives directly
	zoneSource        = "zone:" // total of all hosts of a zone
	ZonePeersSource   = "near:" // total of a zone's hosts, without the host that holds the record
	OtherZonesSource  = "rest:" // total of all hosts of all zones except the named zone
)

const (
	maxSoftBytes   = 850 // bytes of soft records in one message, which must fit into a datagram together with a heartbeat
	softOverhead   = 4   // bytes of framing for each soft record
	softTTLPeriods = 3   // periods after which a soft record expires
)

// SoftKey returns the key of a soft record. Name identifies the subject of the record, for example a pool, and
// source identifies where the record comes from.
func SoftKey(name, source string) string { return name + "/" + source }

// SplitSoftKey splits a key made by SoftKey.
func SplitSoftKey(key string) (name, source string) {
	i := strings.LastIndexByte(key, '/')
	return key[:max(i, 0)], key[i+1:]
}

// softState tracks the soft records that changed since the last exchange, and the origin of zone totals. The
// keys of its maps are record hashes.
type softState struct {
	changed   map[uint64]origin
	totalFrom map[uint64]string // host that last sent the zone total
	totalZone map[uint64]string // zone of the zone total
}

// origin is the topic of a soft record and the host that sent the record, empty for a record of this host.
type origin struct {
	topic string
	from  string
}

func newSoftState() softState {
	return softState{changed: map[uint64]origin{}, totalFrom: map[uint64]string{}, totalZone: map[uint64]string{}}
}

func (t *Table) receiveSoft(now time.Time, from string, w WireRecord) {
	tp := t.topic(w.Topic)
	if !tp.soft {
		return
	}
	known := len(t.events)
	if !t.accept(now, w, from, false) {
		return
	}
	h := recordHash(w.Topic, w.Key)
	t.soft.changed[h] = origin{w.Topic, from}
	_, source := SplitSoftKey(w.Key)
	if zone, ok := strings.CutPrefix(source, zoneSource); ok {
		t.soft.totalFrom[h], t.soft.totalZone[h] = from, zone
	}
	if t.isCombining() != IsCombinedResult(w.Key) {
		t.events = t.events[:known] // watchers are notified either of combined records or of those of single hosts
	}
}

// IsCombinedResult reports whether key belongs to a fully combined record, of which watchers are notified, rather
// than to a partial record, a zone total or the record of a single host.
func IsCombinedResult(key string) bool {
	_, source := SplitSoftKey(key)
	return strings.HasPrefix(source, ZonePeersSource) || strings.HasPrefix(source, OtherZonesSource)
}

func (t *Table) isCombining() bool { return t.large && t.config.Merge != nil }

// SoftTTL returns the lifetime of a soft record that is sent once a period.
func SoftTTL(period time.Duration) time.Duration { return softTTLPeriods * period }

// ExchangeSoft queues messages with the soft records to send. It must be called once a period. In a small fleet
// all hosts are linked and each sends its own records. In a large fleet the records are combined by zone, or
// forwarded from host to host if Config.Merge is not set.
func (t *Table) ExchangeSoft(now time.Time, large bool, period time.Duration) {
	t.large, t.softPeriod = large, period
	if !t.isCombining() {
		t.sendChangedSoft(now)
		return
	}
	t.soft.changed = map[uint64]origin{}
	if !t.isRelay() {
		t.sendSoftToRelay(now)
		return
	}
	for name, tp := range t.topics {
		if tp.soft {
			t.combine(now, name, tp)
		}
	}
}

// sendChangedSoft sends each linked host the soft records that changed since the last call, except those that
// the linked host sent. In a small fleet it sends only records of this host.
func (t *Table) sendChangedSoft(now time.Time) {
	changed := slices.Sorted(maps.Keys(t.soft.changed))
	for _, l := range t.memberLinks {
		var records []WireRecord
		for _, h := range changed {
			s := t.soft.changed[h]
			e := t.find(s.topic, h)
			relayed := s.from != "" && (!t.large || s.from == l.ID())
			if !relayed && e != nil && !e.isExpired(now) {
				records = append(records, t.wireRecordOf(s.topic, e))
			}
		}
		t.sendSoft(l.ID(), records)
	}
	clear(t.soft.changed)
}

// sendSoft sends soft records in messages that fit into a datagram.
func (t *Table) sendSoft(to string, records []WireRecord) {
	start, size := 0, 0
	for i, w := range records {
		cost := len(w.Value) + len(w.Key) + softOverhead
		if size+cost > maxSoftBytes && i > start {
			t.queueMessage(to, Message{Soft: groupSoft(records[start:i])})
			start, size = i, 0
		}
		size += cost
	}
	if start < len(records) {
		t.queueMessage(to, Message{Soft: groupSoft(records[start:])})
	}
}

// groupSoft groups consecutive records that have the same topic, source, version, expiry and contributors.
func groupSoft(records []WireRecord) []SoftGroup {
	var all []SoftGroup
	for _, w := range records {
		name, source := SplitSoftKey(w.Key)
		last := len(all) - 1
		if last < 0 || all[last].Topic != w.Topic || all[last].Source != source ||
			all[last].Version != w.Version || all[last].Expires != w.Expires || !slices.Equal(all[last].Contributors, w.Contributors) {
			all = append(all, SoftGroup{Topic: w.Topic, Source: source, Version: w.Version, Expires: w.Expires, Contributors: w.Contributors})
			last++
		}
		all[last].Names = append(all[last].Names, name)
		all[last].Values = append(all[last].Values, w.Value)
	}
	return all
}

// records returns the single records of s, or none if the numbers of names and values differ.
func (s SoftGroup) records() []WireRecord {
	if len(s.Names) != len(s.Values) {
		return nil
	}
	records := make([]WireRecord, len(s.Names))
	for i, name := range s.Names {
		records[i] = WireRecord{Topic: s.Topic, Key: SoftKey(name, s.Source), Version: s.Version, Value: s.Values[i], Expires: s.Expires, Contributors: s.Contributors}
	}
	return records
}

// isRelay reports whether this host is a relay, which is attached to no other relay.
func (t *Table) isRelay() bool {
	return !slices.ContainsFunc(t.memberLinks, func(l membership.Link) bool { return l.Role() == membership.RoleRelay })
}

// sendSoftToRelay sends the soft records of this host to its primary relay.
func (t *Table) sendSoftToRelay(now time.Time) {
	for _, l := range t.memberLinks {
		if l.Role() != membership.RoleRelay || !l.IsPrimary() {
			continue
		}
		for name, tp := range t.topics {
			if tp.soft {
				t.sendSoft(l.ID(), t.softRecords(now, name, tp, func(source string) bool { return source == t.config.Self }))
			}
		}
	}
}

// softRecords returns the unexpired records of a soft topic whose source accept accepts, sorted by key.
func (t *Table) softRecords(now time.Time, name string, tp *topic, accept func(source string) bool) []WireRecord {
	var records []WireRecord
	for _, e := range tp.entries {
		if _, source := SplitSoftKey(e.key); !e.isExpired(now) && accept(source) {
			records = append(records, t.wireRecordOf(name, e))
		}
	}
	slices.SortFunc(records, func(a, b WireRecord) int { return strings.Compare(a.Key, b.Key) })
	return records
}
