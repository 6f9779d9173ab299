// Package evacuate keeps which availability zones are evacuated: operators ask that nothing more is sent to the upstreams of such a zone.
//
// A request and its withdrawal are ordered by the revision of the store at which they were written, so that hosts can tell each other what they
// know, in any order. Revisions of a later era of the store, which has come back from an older copy, are greater than all before.
package evacuate

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode"
)

// Statement is what is known of one zone.
type Statement struct {
	Revision  uint64 `cbor:"r"` // of the store, at which the evacuation was written or found to be withdrawn
	Evacuated bool   `cbor:"e,omitempty"`
}

const (
	// maxZoneLen bounds the name of a zone, in bytes.
	maxZoneLen = 256
	// maxZones bounds the zones that are kept.
	maxZones = 256
	// restoreHold is how long an evacuation that an older copy of the store does not contain stays in force. Its operator writes it again.
	restoreHold = 30 * time.Second
)

// Zones holds what is known of each zone. It is safe for concurrent use.
type Zones struct {
	evacuated atomic.Pointer[map[string]bool] // those that are evacuated

	mu         sync.Mutex
	statements map[string]Statement
	missing    map[string]absence // evacuations of an earlier era that the store does not contain
}

type absence struct {
	revision uint64 // of the read that did not find it
	since    time.Time
}

// New returns Zones of which none is evacuated.
func New() *Zones {
	z := &Zones{statements: map[string]Statement{}, missing: map[string]absence{}}
	z.evacuated.Store(&map[string]bool{})
	return z
}

// Contains reports whether a zone is evacuated. It takes no lock.
func (z *Zones) Contains(zone string) bool { return (*z.evacuated.Load())[zone] }

// List returns the evacuated zones, sorted.
func (z *Zones) List() []string { return slices.Sorted(maps.Keys(*z.evacuated.Load())) }

// IsValid reports whether zone can be the name of a zone.
func IsValid(zone string) bool {
	return zone != "" && len(zone) <= maxZoneLen && !slices.ContainsFunc([]rune(zone), func(r rune) bool { return r <= ' ' || !unicode.IsPrint(r) })
}

// Record records what the store or another host states of a zone, and reports whether that changes whether the zone is evacuated. A
// statement that is not newer than the known one, or of an invalid name, changes nothing.
func (z *Zones) Record(zone string, s Statement) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.record(zone, s)
}

func (z *Zones) record(zone string, s Statement) bool {
	old, known := z.statements[zone]
	if !IsValid(zone) || known && s.Revision <= old.Revision || !known && len(z.statements) >= maxZones {
		return false
	}
	z.statements[zone] = s
	delete(z.missing, zone)
	if s.Evacuated == old.Evacuated {
		return false
	}
	next := maps.Clone(*z.evacuated.Load())
	if s.Evacuated {
		next[zone] = true
	} else {
		delete(next, zone)
	}
	z.evacuated.Store(&next)
	return true
}

// RecordSync records the result of a full read of the store at a revision. An evacuation that the store does not contain was withdrawn,
// unless it was written in an earlier era: it may have been lost with the restore, and stays in force for restoreHold. Changed are the zones
// that are not evacuated any more.
func (z *Zones) RecordSync(now time.Time, revision uint64, exists func(zone string) bool, eraOf func(revision uint64) uint64) (changed []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, zone := range z.List() {
		s := z.statements[zone]
		switch {
		case exists(zone), s.Revision >= revision:
		case eraOf(s.Revision) == eraOf(revision):
			z.record(zone, Statement{Revision: revision})
			changed = append(changed, zone)
		default:
			if _, ok := z.missing[zone]; !ok {
				z.missing[zone] = absence{revision, now}
			}
		}
	}
	return changed
}

// Expire withdraws the evacuations that the store has not contained for restoreHold since it came back from an older copy, and returns
// their zones.
func (z *Zones) Expire(now time.Time) (changed []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for zone, a := range z.missing {
		if now.Sub(a.since) >= restoreHold {
			delete(z.missing, zone)
			if z.record(zone, Statement{Revision: a.revision}) {
				changed = append(changed, zone)
			}
		}
	}
	return changed
}

// Statements returns what is known of all zones, for other hosts.
func (z *Zones) Statements() map[string]Statement {
	z.mu.Lock()
	defer z.mu.Unlock()
	return maps.Clone(z.statements)
}

// Merge records what another host states, and returns the zones that this changes.
func (z *Zones) Merge(told map[string]Statement) (changed []string) {
	for zone, s := range told {
		if z.Record(zone, s) {
			changed = append(changed, zone)
		}
	}
	return changed
}
