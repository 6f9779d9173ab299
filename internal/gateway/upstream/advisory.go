package upstream

import (
	"time"

	"hickorypath/internal/policy/advisory"
)

// Advisory is what a host tells other hosts that an instance stated about itself.
type Advisory struct {
	_      struct{} `cbor:",toarray"`
	Born   int64    // incarnation of the instance
	Record advisory.Record
}

// RecordAdvisory records what the instance stated about itself in a response that arrived now to a request sent at sentAt. It
// reports whether something of it is new.
func (i *Instance) RecordAdvisory(now, sentAt time.Time, s advisory.Statement) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.Observe(now, sentAt, s)
}

// Limit returns the request rate that the instance accepts from all hosts together.
func (i *Instance) Limit() advisory.Limit {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.Limit()
}

// MaySend reports whether this host's part of the instance's limit allows a request now. The time is that of the fleet.
func (i *Instance) MaySend(now time.Time, f *advisory.Fleet) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.MaySend(now, f)
}

// SendsWithin returns how many requests this host's part of the instance's limit allows within d from now, but at most limit.
func (i *Instance) SendsWithin(now time.Time, f *advisory.Fleet, d time.Duration, limit int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.SendsWithin(now, f, d, limit)
}

// RecordSend counts a request against the instance's limit.
func (i *Instance) RecordSend() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advisory.RecordSend()
}

// Advisories returns what the instances stated about themselves, by their identifiers, for the other hosts.
func (t *Table) Advisories(now time.Time) map[string]Advisory {
	var all map[string]Advisory
	for _, i := range t.All() {
		i.mu.Lock()
		r, ok := i.advisory.Record(now)
		born := i.entry.Born
		i.mu.Unlock()
		if !ok {
			continue
		}
		if all == nil {
			all = map[string]Advisory{}
		}
		all[i.id] = Advisory{Born: born, Record: r}
	}
	return all
}

// MergeAdvisories records what another host has told of instances, and returns those of which something is new.
func (t *Table) MergeAdvisories(now time.Time, told map[string]Advisory) (changed []*Instance) {
	for id, a := range told {
		i := t.Get(id)
		if i == nil {
			continue
		}
		i.mu.Lock()
		if i.entry.Born == a.Born && i.advisory.Merge(now, a.Record) {
			changed = append(changed, i)
		}
		i.mu.Unlock()
	}
	return changed
}
