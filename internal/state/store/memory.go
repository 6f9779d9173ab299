package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
)

// eventLimit bounds the number of events that a Memory keeps for watches.
const eventLimit = 10000

// Memory is an in-memory key-value service for tests, with faults that can be switched on and off.
type Memory struct {
	clock clock.Clock

	mu          sync.Mutex
	revision    uint64
	items       map[string]item
	leases      map[uint64]leaseState
	nextID      uint64
	events      []Event
	compactedTo uint64        // events up to this revision are no longer kept
	changed     chan struct{} // closed and replaced when waiting watches have to look again
	faultsSetAt time.Duration // boot time at which the faults were set
	faults      Faults
	calls       uint64
	era         uint64 // number of restores
}

type item struct {
	value    []byte
	revision uint64
	lease    uint64
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Duration // boot time
}

// NewMemory returns an empty service, whose leases expire by the boot time of c.
func NewMemory(c clock.Clock) *Memory {
	return &Memory{
		clock:   c,
		items:   map[string]item{},
		leases:  map[uint64]leaseState{},
		changed: make(chan struct{}),
		nextID:  firstLease,
	}
}

// firstLease is large, as ids of leases are elsewhere.
const firstLease = 1 << 52

// Backend returns the calls of the service, subject to its faults.
func (m *Memory) Backend() Backend {
	return Backend{
		Get: func(ctx context.Context, key string) (Entry, error) {
			return callWithFaults(ctx, m, false, func() (Entry, error) { return m.get(key) })
		},
		Put: func(ctx context.Context, w Write) (uint64, error) {
			return callWithFaults(ctx, m, true, func() (uint64, error) { return m.put(w) })
		},
		Delete: func(ctx context.Context, key string, cond Condition) error {
			_, err := callWithFaults(ctx, m, true, func() (struct{}, error) { return struct{}{}, m.remove(key, cond) })
			return err
		},
		List:  m.listWithRevision,
		Watch: m.watch,
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			return callWithFaults(ctx, m, true, func() (uint64, error) { return m.grant(ttl), nil })
		},
		Renew: func(ctx context.Context, id uint64) error {
			_, err := callWithFaults(ctx, m, true, func() (struct{}, error) { return struct{}{}, m.renew(id) })
			return err
		},
		Revoke: func(ctx context.Context, id uint64) error {
			_, err := callWithFaults(ctx, m, true, func() (struct{}, error) { return struct{}{}, m.revoke(id) })
			return err
		},
	}
}

// Read returns a key, bypassing the faults and without counting as a call.
func (m *Memory) Read(key string) (value []byte, revision uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endExpiredLeases()
	it, ok := m.items[key]
	return decodeEnvelope(it.value).Value, inEra(m.era, it.revision), ok
}

// Calls returns the number of calls that reached the service.
func (m *Memory) Calls() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// ExpireLeases ends all leases at once, before they are due.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.endLease(id)
	}
}

// Compact drops all kept events, so that watches from an earlier revision fail with kind Missing.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events, m.compactedTo = nil, m.revision
	m.wakeWatches()
}

func (m *Memory) get(key string) (Entry, error) {
	it, ok := m.items[key]
	if !ok {
		return Entry{}, kind.New(kind.Missing, "no key %s", key)
	}
	return NewEntry(key, it.value, it.revision), nil
}

func (m *Memory) put(w Write) (uint64, error) {
	if !w.Cond.Holds(m.items[w.Key].revision) {
		return 0, kind.New(kind.Conflict, "%s is at revision %d", w.Key, m.items[w.Key].revision)
	}
	if _, ok := m.leases[w.Lease]; w.Lease != 0 && !ok {
		return 0, kind.New(kind.Missing, "no lease %d", w.Lease)
	}
	m.revision++
	m.items[w.Key] = item{value: w.Value, revision: m.revision, lease: w.Lease}
	m.record(NewEvent(NewEntry(w.Key, w.Value, m.revision), false))
	return m.revision, nil
}

func (m *Memory) remove(key string, cond Condition) error {
	it, ok := m.items[key]
	if !ok {
		return kind.New(kind.Missing, "no key %s", key)
	}
	if !cond.Holds(it.revision) {
		return kind.New(kind.Conflict, "%s is at revision %d", key, it.revision)
	}
	m.deleteKey(key)
	return nil
}

func (m *Memory) deleteKey(key string) {
	m.revision++
	delete(m.items, key)
	m.record(NewEvent(NewEntry(key, nil, m.revision), true))
}

func (m *Memory) list(prefix string) []Entry {
	var out []Entry
	for key, it := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, NewEntry(key, it.value, it.revision))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

func (m *Memory) grant(ttl time.Duration) uint64 {
	m.nextID++
	m.leases[m.nextID] = leaseState{ttl: ttl, expiresAt: m.clock.Boot() + ttl}
	return m.nextID
}

func (m *Memory) renew(id uint64) error {
	g, ok := m.leases[id]
	if !ok {
		return kind.New(kind.Missing, "no lease %d", id)
	}
	g.expiresAt = m.clock.Boot() + g.ttl
	m.leases[id] = g
	return nil
}

func (m *Memory) revoke(id uint64) error {
	if _, ok := m.leases[id]; !ok {
		return kind.New(kind.Missing, "no lease %d", id)
	}
	m.endLease(id)
	return nil
}

// endLease removes a lease and its keys.
func (m *Memory) endLease(id uint64) {
	delete(m.leases, id)
	for key, it := range m.items {
		if it.lease == id {
			m.deleteKey(key)
		}
	}
}

// endExpiredLeases ends the leases that were not renewed in time.
func (m *Memory) endExpiredLeases() {
	if m.faults.KeepLeases {
		return
	}
	now := m.clock.Boot()
	for id, g := range m.leases {
		if g.expiresAt <= now {
			m.endLease(id)
		}
	}
}

func (m *Memory) record(e Event) {
	m.events = append(m.events, e)
	if len(m.events) > eventLimit {
		m.compactedTo = m.events[0].Revision()
		m.events = m.events[1:]
	}
	m.wakeWatches()
}

// wakeWatches makes the waiting watches look for events again.
func (m *Memory) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}
