package peer

import (
	"net"
	"slices"
	"time"

	"hickorypath/internal/policy/advisory"
)

// recordAlive records that the sender of a message may be alive, and the hosts that the sender has heard of. The caller holds
// t.mu.
func (t *Table) recordAlive(now time.Time, m Message) {
	if m.Zone != t.zone && !slices.Contains(t.heard, m.Address) {
		t.heard = append(t.heard, m.Address)
	}
	for _, address := range append([]string{m.Address}, m.Heard...) {
		t.addresses[address] = now
		t.members.Add(now, address)
	}
}

// TakeHeard returns the addresses of the hosts of other zones of which a message has arrived since the last call. In a large
// fleet a host hears of a host of another zone about once a minute; the hosts of a zone together hear of it every few seconds.
func (t *Table) TakeHeard() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := t.heard
	t.heard = nil
	return heard
}

// Fleet returns the hosts that may be alive, this one included.
func (t *Table) Fleet() *advisory.Fleet {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.Fleet()
}

// KnowsHost reports whether an IP address is that of a host that may be alive.
func (t *Table) KnowsHost(ip string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.addresses {
		if host, _, err := net.SplitHostPort(address); err == nil && host == ip {
			return true
		}
	}
	return false
}
