// Package replication replicates versioned records to all hosts.
//
// A record is identified by its topic and key, and is replaced only by a record with a higher version, so that
// a host never reverts to an older version. New records are pushed over the links that package membership chooses,
// with acknowledgement and retry. Records that a push misses are found by comparing digests (anti-entropy).
// Soft records, such as load summaries, are sent periodically instead, without acknowledgement or repair.
package replication

import (
	"sync"
	"time"

	"hickorypath/internal/host/membership"
)

// Replicator wraps a Table for concurrent use and notifies watchers of changes.
type Replicator struct {
	now  func() time.Time
	send func([]Outgoing)

	mu         sync.Mutex
	table      *Table
	queue      []delivery
	delivering bool
	watchers   map[int]watcher
	nextID     int
}

// delivery is a changed record to pass to one watcher of its topic, or to all if watcherID is allWatchers.
type delivery struct {
	record    Record
	watcherID int
}

const allWatchers = 0

type watcher struct {
	topic string
	fn    func(Record)
}

// New returns a Replicator that wraps table and passes messages for other hosts to send.
func New(table *Table, now func() time.Time, send func([]Outgoing)) *Replicator {
	return &Replicator{table: table, now: now, send: send, watchers: map[int]watcher{}, nextID: allWatchers + 1}
}

// Put stores a record and replicates it to all hosts. It reports whether the version was higher than the known
// version; if not, Put does nothing. A record with a zero expires never expires.
func (rep *Replicator) Put(topic, key string, version uint64, value []byte, expires time.Time) bool {
	var ok bool
	rep.update(func(t *Table, now time.Time) { ok = t.Put(now, NewRecord(topic, key, version, value, expires)) })
	return ok
}

// PutLocal stores a record without pushing it, because the other hosts read it themselves, for example from
// the store.
func (rep *Replicator) PutLocal(topic, key string, version uint64, value []byte, expires time.Time) bool {
	var ok bool
	rep.update(func(t *Table, now time.Time) { ok = t.PutLocal(now, NewRecord(topic, key, version, value, expires)) })
	return ok
}

// IsPushed reports whether no linked host has still to acknowledge the record under a topic and key.
func (rep *Replicator) IsPushed(topic, key string) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	h := recordHash(topic, key)
	for _, l := range rep.table.links {
		if l.pending[h] != nil {
			return false
		}
	}
	return true
}

// Get returns the record under a topic and key.
func (rep *Replicator) Get(topic, key string) (Record, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.table.Get(rep.now(), topic, key)
}

// Version returns the version of the record under a topic and key, or 0 if there is none.
func (rep *Replicator) Version(topic, key string) uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.table.Version(topic, key)
}

// Range calls fn for each record of a topic, in unspecified order.
func (rep *Replicator) Range(topic string, fn func(Record)) {
	for _, r := range rep.records(topic) {
		fn(r)
	}
}

// Watch calls fn for each known record of a topic, and then for each record that changes, one call at a time,
// until stop is called. Fn may call the methods of the Replicator but must not block.
func (rep *Replicator) Watch(topic string, fn func(Record)) (stop func()) {
	rep.mu.Lock()
	id := rep.nextID
	rep.nextID++
	rep.watchers[id] = watcher{topic: topic, fn: fn}
	now := rep.now()
	rep.table.Range(now, topic, func(r Record) bool {
		rep.queue = append(rep.queue, delivery{record: r, watcherID: id})
		return true
	})
	rep.mu.Unlock()
	rep.deliver()
	return func() {
		rep.mu.Lock()
		defer rep.mu.Unlock()
		delete(rep.watchers, id)
	}
}

// Receive handles a message from another host.
func (rep *Replicator) Receive(from string, m Message) {
	rep.update(func(t *Table, now time.Time) { t.Receive(now, from, m) })
}

// CompareDigest handles the digest that the host from announced, and starts a digest exchange if needed.
func (rep *Replicator) CompareDigest(from string, remoteDigest uint64) {
	rep.update(func(t *Table, now time.Time) { t.CompareDigest(now, from, remoteDigest) })
}

// Tick sets the links and runs retries and expiry.
func (rep *Replicator) Tick(links []membership.Link) {
	rep.update(func(t *Table, now time.Time) {
		t.SetLinks(links)
		t.Tick(now)
	})
}

// SoftPeriod returns the time between exchanges of soft records, zero before the first exchange, and reports
// whether the records are combined by zone.
func (rep *Replicator) SoftPeriod() (period time.Duration, combined bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.table.softPeriod, rep.table.isCombining()
}

// ExchangeSoft returns the messages with the soft records to send. It must be called once a period. In a large
// fleet the records are combined by zone.
func (rep *Replicator) ExchangeSoft(large bool, period time.Duration) []Outgoing {
	rep.mu.Lock()
	rep.table.ExchangeSoft(rep.now(), large, period)
	out := rep.drain()
	rep.mu.Unlock()
	rep.deliver()
	return out
}

// Digest returns the digest of all records that are not soft.
func (rep *Replicator) Digest() uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.table.Digest()
}

func (rep *Replicator) records(topic string) []Record {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	var all []Record
	rep.table.Range(rep.now(), topic, func(r Record) bool {
		all = append(all, r)
		return true
	})
	return all
}

// update calls fn with the table, and then sends the resulting messages and notifies the watchers.
func (rep *Replicator) update(fn func(*Table, time.Time)) {
	rep.mu.Lock()
	fn(rep.table, rep.now())
	out := rep.drain()
	rep.mu.Unlock()
	if len(out) > 0 {
		rep.send(out)
	}
	rep.deliver()
}

// drain queues the changes of the table for the watchers and returns the messages of the table.
func (rep *Replicator) drain() []Outgoing {
	out, events := rep.table.Drain()
	for _, r := range events {
		rep.queue = append(rep.queue, delivery{record: r, watcherID: allWatchers})
	}
	return out
}

// deliver passes queued records to the watchers, one at a time and without holding the lock.
func (rep *Replicator) deliver() {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.delivering {
		return
	}
	rep.delivering = true
	for len(rep.queue) > 0 {
		d := rep.queue[0]
		rep.queue = rep.queue[1:]
		fns := rep.callbacks(d)
		rep.mu.Unlock()
		for _, fn := range fns {
			fn(d.record)
		}
		rep.mu.Lock()
	}
	rep.delivering = false
}

// callbacks returns the functions of the watchers that d is for.
func (rep *Replicator) callbacks(d delivery) []func(Record) {
	fns := make([]func(Record), 0, len(rep.watchers))
	for id, w := range rep.watchers {
		if w.topic == d.record.topic && (d.watcherID == allWatchers || d.watcherID == id) {
			fns = append(fns, w.fn)
		}
	}
	return fns
}
