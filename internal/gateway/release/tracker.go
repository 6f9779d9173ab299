package release

import (
	"maps"
	"sync"
	"time"
)

// Retention is how long a version counts after it was last seen. Streams are shorter.
const Retention = time.Minute

// Tracker keeps the versions that one host has seen lately. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu         sync.Mutex
	seen       map[string]map[string]time.Time // by service and version, when it was last seen
	startedAt  time.Time
	isComplete bool // the versions from before startedAt are included
}

// NewTracker returns a Tracker that has seen nothing. The clock must not jump.
func NewTracker(now func() time.Time) *Tracker {
	return &Tracker{now: now, seen: map[string]map[string]time.Time{}, startedAt: now()}
}

// See records that versions are in use now.
func (t *Tracker) See(v Versions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.see(v)
}

// SeeRecord records the versions of another observer, such as the store, that knows all of those in use within Retention.
func (t *Tracker) SeeRecord(v Versions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.see(v)
	t.isComplete = true
}

// SeeValue records the encoded versions that the store holds, like SeeRecord.
func (t *Tracker) SeeValue(value []byte) error {
	v, err := decodeRecord(value)
	if err == nil {
		t.SeeRecord(v)
	}
	return err
}

func (t *Tracker) see(v Versions) {
	now := t.now()
	for service, versions := range v {
		if t.seen[service] == nil {
			t.seen[service] = map[string]time.Time{}
		}
		for _, version := range versions {
			t.seen[service][version] = now
		}
	}
}

// Versions returns the versions seen within Retention. ok is false if there may have been others, since this host has neither run
// for that long nor heard of the time before.
func (t *Tracker) Versions() (v Versions, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	v = Versions{}
	for service, versions := range t.seen {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > Retention })
		for version := range versions {
			v.add(service, version)
		}
	}
	maps.DeleteFunc(t.seen, func(_ string, versions map[string]time.Time) bool { return len(versions) == 0 })
	return v, t.isComplete || now.Sub(t.startedAt) > Retention
}

// IsMixed reports whether some service has run several versions within Retention.
func (t *Tracker) IsMixed() bool {
	v, _ := t.Versions()
	for _, versions := range v {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}
