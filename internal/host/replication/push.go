package replication

import (
	"maps"
	"slices"
	"time"

	"hickorypath/internal/host/membership"
)

// Delays of pushes over secondary links in a large fleet; see pushDelay.
const (
	pushDelayShort = 400 * time.Millisecond
	pushDelayLong  = 800 * time.Millisecond
)

// forward queues a push of a record to every linked host except the host from, which sent the record.
func (t *Table) forward(now time.Time, name string, h, version uint64, from string) {
	source := t.roleOf(from)
	for _, ml := range t.memberLinks {
		if ml.ID() == from {
			continue
		}
		l := t.links[ml.ID()]
		if len(l.pending) >= maxPending {
			clear(l.pending)
		}
		due := now.Add(t.pushDelay(source, ml))
		l.pending[h] = &pendingPush{topic: name, version: version, due: due}
		if l.nextPushAt.IsZero() || due.Before(l.nextPushAt) {
			l.nextPushAt = due
		}
	}
}

// pushDelay returns how long to delay a push over the link l, so that the linked host may get the record over
// another link first. In a large fleet, records are pushed without delay over primary links, to contacts
// outside the overlay, and to the other relays of the zone unless another relay of the zone sent the record.
// Over the remaining links the delay is short at one end and long at the other, so that both ends do not push
// the same record at the same time.
func (t *Table) pushDelay(source membership.Role, l membership.Link) time.Duration {
	immediate := l.IsPrimary() || l.Role() == membership.RoleContact || l.Role() == membership.RoleZoneRelay && source != membership.RoleZoneRelay
	switch {
	case !t.large || immediate:
		return 0
	case t.config.Self < l.ID():
		return pushDelayShort
	default:
		return pushDelayLong
	}
}

// flushDue sends the pushes that are due to each host to which nothing was pushed for at least interval, so
// that the records of a burst are sent together.
func (t *Table) flushDue(now time.Time, interval time.Duration) {
	for _, ml := range t.memberLinks {
		l := t.links[ml.ID()]
		if len(l.pending) > 0 && !now.Before(l.nextPushAt) && now.Sub(l.pushedAt) >= interval {
			t.flushLink(now, ml.ID(), l)
		}
	}
}

// minPushInterval returns the least time between pushes to the same host outside Tick. In a small fleet
// records are pushed immediately.
func (t *Table) minPushInterval() time.Duration {
	if t.large {
		return batchInterval
	}
	return 0
}

// flushLink sends the pushes to one host that are due and schedules their retries. It drops pushes that have
// reached maxAttempts.
func (t *Table) flushLink(now time.Time, id string, l *link) {
	var records []WireRecord
	next := now.Add(retryMax)
	for _, h := range slices.Sorted(maps.Keys(l.pending)) {
		p := l.pending[h]
		e := t.find(p.topic, h)
		if e == nil || p.attempts >= maxAttempts {
			delete(l.pending, h)
			continue
		}
		if !p.due.After(now) {
			p.due = now.Add(backoff(p.attempts))
			p.attempts++
			records = append(records, t.wireRecordOf(p.topic, e))
		}
		if p.due.Before(next) {
			next = p.due
		}
	}
	l.nextPushAt = next
	if len(records) > 0 {
		l.pushedAt = now
		t.sendRecords(id, records)
	}
}

func backoff(attempts int) time.Duration {
	return min(retryInitial<<attempts, retryMax)
}

// sendRecords pushes records in messages of bounded size.
func (t *Table) sendRecords(id string, records []WireRecord) {
	start, size := 0, 0
	for i, w := range records {
		size += len(w.Value) + len(w.Refs) + len(w.Key)
		if size >= maxBatch {
			t.queueMessage(id, Message{Push: records[start : i+1]})
			start, size = i+1, 0
		}
	}
	if start < len(records) {
		t.queueMessage(id, Message{Push: records[start:]})
	}
}

// receivePush merges records and acknowledges them. If this host has a newer version of a record, it sends that
// version back to the sender.
func (t *Table) receivePush(now time.Time, from string, records []WireRecord) {
	var acks []byte
	for _, w := range records {
		h := recordHash(w.Topic, w.Key)
		acks = appendVersion(acks, recordVersion{h, w.Version})
		t.accept(now, w, from, true)
		t.receiveAck(from, recordVersion{h, w.Version})
		if e := t.find(w.Topic, h); e != nil && e.version > w.Version {
			t.sendRecords(from, []WireRecord{t.wireRecordOf(w.Topic, e)})
		}
	}
	t.flushDue(now, t.minPushInterval())
	t.queueMessage(from, Message{Ack: acks})
	t.continueSync(from, len(records))
}

// receiveAck drops the pending push of a record to the host from if from has acknowledged the pushed version
// or a higher one.
func (t *Table) receiveAck(from string, v recordVersion) {
	l := t.links[from]
	if l == nil {
		return
	}
	if p := l.pending[v.hash]; p != nil && p.version <= v.version {
		delete(l.pending, v.hash)
	}
}

func (t *Table) roleOf(id string) membership.Role {
	for _, l := range t.memberLinks {
		if l.ID() == id {
			return l.Role()
		}
	}
	return membership.RoleContact
}
