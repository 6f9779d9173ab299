package advisory

import (
	"maps"
	"slices"
	"time"
)

// Members keeps track of the hosts of a fleet. A host that has fallen silent stays a member for a while: it may be behind a
// network partition and go on sending. It is not safe for concurrent use.
type Members struct {
	self  uint64
	seen  map[uint64]time.Time // other hosts, with the last sign of life
	fleet *Fleet               // nil after a change
}

// NewMembers returns the Members of a fleet of which only the host self is known. All hosts must use the same names.
func NewMembers(self string) *Members {
	return &Members{self: hostID(self), seen: map[uint64]time.Time{}}
}

// Add records that hosts are alive.
func (m *Members) Add(now time.Time, hosts ...string) {
	for _, h := range hosts {
		id := hostID(h)
		if _, known := m.seen[id]; !known {
			m.fleet = nil
		}
		m.seen[id] = now
	}
}

// Expire forgets the hosts that have been silent for longer than d.
func (m *Members) Expire(now time.Time, d time.Duration) {
	for id, at := range m.seen {
		if now.Sub(at) > d {
			delete(m.seen, id)
			m.fleet = nil
		}
	}
}

// Fleet returns the hosts that may be alive, this one included.
func (m *Members) Fleet() *Fleet {
	if m.fleet == nil {
		hosts := append(slices.Collect(maps.Keys(m.seen)), m.self)
		slices.Sort(hosts)
		m.fleet = &Fleet{self: m.self, hosts: slices.Compact(hosts)}
	}
	return m.fleet
}
