package store

import "maps"

// Snapshot is a copy of the data of a Memory.
type Snapshot struct {
	revision, nextID uint64
	items            map[string]item
	leases           map[uint64]leaseState
}

// Snapshot returns a copy of the data.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{revision: m.revision, nextID: m.nextID, items: maps.Clone(m.items), leases: maps.Clone(m.leases)}
}

// Restore replaces the data by an older copy and starts a new era: revisions and lease ids that were given out since the copy
// are given out again.
func (m *Memory) Restore(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.nextID = s.revision, s.nextID
	m.items, m.leases = maps.Clone(s.items), maps.Clone(s.leases)
	m.events, m.compactedTo = nil, s.revision
	m.wakeWatches()
}
