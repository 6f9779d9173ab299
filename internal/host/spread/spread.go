// Package spread keeps versioned records alike on all hosts.
//
// A record is identified by topic and key. Only a higher version replaces it, so that what a host has
// seen never reverts. New records are pushed over the links that package member chooses, with
// acknowledgement and retry; what a push misses is found by comparing digests. Soft records, such as
// load summaries, are sent at intervals and never repaired.
package spread

import (
	"sync"
	"time"

	"hickorypath/internal/host/member"
)

// Spread is a Table for concurrent use, with watchers.
type Spread struct {
	now  func() time.Time
	send func([]Send)

	mu       sync.Mutex
	table    *Table
	queue    []delivery
	busy     bool
	watchers map[int]watcher
	next     int
}

// delivery is a record for all watchers of its topic, or for one of them.
type delivery struct {
	record Record
	only   int
}

const everyone = 0

type watcher struct {
	topic string
	fn    func(Record)
}

// New returns a Spread around table; send takes the messages for other hosts.
func New(table *Table, now func() time.Time, send func([]Send)) *Spread {
	return &Spread{table: table, now: now, send: send, watchers: map[int]watcher{}, next: everyone + 1}
}

// Put publishes a record on all hosts and reports whether its version was higher than the known one.
// A zero expires means that it never expires.
func (s *Spread) Put(topic, key string, version uint64, value []byte, expires time.Time) bool {
	var ok bool
	s.do(func(t *Table, now time.Time) { ok = t.Put(now, NewRecord(topic, key, version, value, expires)) })
	return ok
}

// Load merges a record that the other hosts read for themselves, as from the store; it is not pushed.
func (s *Spread) Load(topic, key string, version uint64, value []byte, expires time.Time) bool {
	var ok bool
	s.do(func(t *Table, now time.Time) { ok = t.Load(now, NewRecord(topic, key, version, value, expires)) })
	return ok
}

// Get returns the record under a topic and key.
func (s *Spread) Get(topic, key string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(s.now(), topic, key)
}

// Version returns the version of the record under a topic and key, 0 when there is none.
func (s *Spread) Version(topic, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version(topic, key)
}

// Range calls fn for each record of a topic, in no order.
func (s *Spread) Range(topic string, fn func(Record)) {
	for _, r := range s.records(topic) {
		fn(r)
	}
}

// Watch calls fn for each record of a topic that is known and for each that changes, one at a time,
// until stop is called. Fn may use the Spread but must not block.
func (s *Spread) Watch(topic string, fn func(Record)) (stop func()) {
	s.mu.Lock()
	id := s.next
	s.next++
	s.watchers[id] = watcher{topic: topic, fn: fn}
	now := s.now()
	s.table.Range(now, topic, func(r Record) bool {
		s.queue = append(s.queue, delivery{record: r, only: id})
		return true
	})
	s.mu.Unlock()
	s.deliver()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, id)
	}
}

// Receive handles a message from another host.
func (s *Spread) Receive(from string, m Message) {
	s.do(func(t *Table, now time.Time) { t.Receive(now, from, m) })
}

// Compare takes the digest that another host announced.
func (s *Spread) Compare(from string, sum uint64) {
	s.do(func(t *Table, now time.Time) { t.Compare(now, from, sum) })
}

// Tick sets the links, and runs retries and expiry.
func (s *Spread) Tick(links []member.Link) {
	s.do(func(t *Table, now time.Time) {
		t.SetLinks(links)
		t.Tick(now)
	})
}

// Period returns the time between exchanges of soft records, zero before the first, and whether they are
// combined by zone.
func (s *Spread) Period() (period time.Duration, combined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.period, s.table.isCombining()
}

// Share returns the soft records to send, once a period; a large fleet combines them by zone.
func (s *Spread) Share(large bool, period time.Duration) []Send {
	s.mu.Lock()
	s.table.Share(s.now(), large, period)
	out := s.drain()
	s.mu.Unlock()
	s.deliver()
	return out
}

// Sum returns the digest over all records that are not soft.
func (s *Spread) Sum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Sum()
}

func (s *Spread) records(topic string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Record
	s.table.Range(s.now(), topic, func(r Record) bool {
		all = append(all, r)
		return true
	})
	return all
}

func (s *Spread) do(fn func(*Table, time.Time)) {
	s.mu.Lock()
	fn(s.table, s.now())
	out := s.drain()
	s.mu.Unlock()
	if len(out) > 0 {
		s.send(out)
	}
	s.deliver()
}

// drain queues the table's changes for the watchers and returns its messages.
func (s *Spread) drain() []Send {
	out, events := s.table.Drain()
	for _, r := range events {
		s.queue = append(s.queue, delivery{record: r, only: everyone})
	}
	return out
}

// deliver passes queued records to the watchers, outside the lock and one at a time.
func (s *Spread) deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return
	}
	s.busy = true
	for len(s.queue) > 0 {
		d := s.queue[0]
		s.queue = s.queue[1:]
		fns := s.interested(d)
		s.mu.Unlock()
		for _, fn := range fns {
			fn(d.record)
		}
		s.mu.Lock()
	}
	s.busy = false
}

func (s *Spread) interested(d delivery) []func(Record) {
	fns := make([]func(Record), 0, len(s.watchers))
	for id, w := range s.watchers {
		if w.topic == d.record.topic && (d.only == everyone || d.only == id) {
			fns = append(fns, w.fn)
		}
	}
	return fns
}
