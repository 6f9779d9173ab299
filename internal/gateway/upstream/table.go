package upstream

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/evacuate"
)

// Table holds the instances of all services. It is safe for concurrent use.
type Table struct {
	// OnCutChange is called when the host is cut off from most upstreams of a service, and when it reaches them again. It may be nil
	// and is set before the Table is used.
	OnCutChange func(service string, isCut bool)
	// OnOutOfReach is called with the instances of a service that have come to be out of reach, by their identifiers.
	OnOutOfReach func(lost map[string]*Instance)

	evacuated *evacuate.Zones

	zone   string // of this host
	dialer *Dialer
	log    *zap.Logger

	mu            sync.RWMutex
	byID          map[string]*Instance
	byService     map[string][]*Instance // by service name
	storeFailedAt time.Time              // when the store last failed to respond
	restoredAt    time.Time              // when the store last came back from an older copy
	left          map[string]leftEntry   // by id, the last entries of instances that were dropped

	reach       map[string]*serviceReach       // by service
	brittle     map[string]*serviceBrittleness // by service
	cutServices atomic.Int32                   // number of services that are out of reach
	// disturbedServices is the number of services with upstreams that are out of reach.
	disturbedServices atomic.Int32
	advisoriesTold    atomic.Uint32 // limits that were returned by Advisories when there were many
}

// leftEntry is the last entry of an instance that was dropped, with what the instance had stated about itself.
type leftEntry struct {
	entry    Entry
	advisory *advisory.State
	at       time.Time
}

const (
	// restoreWindow is how long after a restore of the store entries may come from an older copy.
	restoreWindow = 30 * time.Second
	// leftRetention is how long the last entry of an instance that was dropped is remembered.
	leftRetention = time.Minute
	// restoredEntryDelay is how long an entry that comes back with an older copy of the store is not trusted. An upstream that
	// is gone does not renew it, and one that is alive writes a newer one before.
	restoredEntryDelay = 8 * time.Second
)

// NewTable returns an empty Table of a host in an availability zone.
func NewTable(zone string, d *Dialer, log *zap.Logger) *Table {
	return &Table{evacuated: evacuate.New(), zone: zone, dialer: d, log: log, byID: map[string]*Instance{}, byService: map[string][]*Instance{}, left: map[string]leftEntry{}, reach: map[string]*serviceReach{}, brittle: map[string]*serviceBrittleness{}}
}

// Put adds or updates an instance from an entry in the store. An entry with another address, service or start
// time is another incarnation and replaces the instance.
func (t *Table) Put(now time.Time, e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID[e.ID]
	restored := !t.restoredAt.IsZero() && now.Sub(t.restoredAt) < restoreWindow
	if restored && old != nil && !old.IsRemoved() && e.isBefore(old.entry) {
		return
	}
	comesBack := restored && t.hasLeft(e)
	if old != nil && old.entry.isSameIncarnation(e) {
		if old.entry.Draining != e.Draining || old.entry.Version != e.Version {
			t.log.Info("upstream changes", zap.String("upstream", e.ID), zap.String("version", e.Version), zap.Bool("draining", e.Draining), zap.Duration("leaves", e.Leaves))
		}
		if !old.Entry().isSameWrite(e) {
			old.RecordCold(now, e.Cold)
			old.RecordAlive(now)
		}
		old.update(e)
		if comesBack {
			old.holdUntil(now.Add(restoredEntryDelay))
		}
		return
	}
	if old != nil {
		t.drop(now, old)
	}
	i := newInstance(e, t.dialer, t.reachOf(e.Service))
	i.brittle, i.evacuated = t.brittleOf(e.Service), t.evacuated
	i.RecordCold(now, e.Cold)
	i.RecordAlive(now)
	t.moveOthers(now, e)
	i.outOfReach.Store(i.reach.isCut())
	if l, ok := t.left[e.ID]; ok && l.entry.isSameIncarnation(e) {
		i.advisory = l.advisory
	}
	t.byID[e.ID] = i
	t.byService[e.Service] = append(t.byService[e.Service], i)
	if comesBack {
		i.holdUntil(now.Add(restoredEntryDelay))
	}
	t.log.Info("upstream joins", zap.String("upstream", e.ID), zap.String("service", e.Service), zap.String("zone", e.Zone), zap.String("version", e.Version),
		zap.String("address", e.Address), zap.Bool("draining", e.Draining), zap.Bool("spot", e.Spot))
}

// hasLeft reports whether the entry, or a later one of the same instance, was removed from the store.
func (t *Table) hasLeft(e Entry) bool {
	if i := t.byID[e.ID]; i != nil {
		return i.IsRemoved() && (e.isBefore(i.entry) || e.isSameWrite(i.entry))
	}
	l, ok := t.left[e.ID]
	return ok && (e.isBefore(l.entry) || e.isSameWrite(l.entry))
}

// removedRetention is how long an instance is kept after its entry was removed. It exceeds removalGrace, during
// which the removal is unconfirmed.
const removedRetention = 3 * time.Second

// Remove records that the store no longer holds an entry.
func (t *Table) Remove(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.byID[id]
	if i == nil || i.IsRemoved() {
		return
	}
	i.markRemoved(now)
	t.log.Info("upstream entry removed", zap.String("upstream", id), zap.Bool("trouble", now.Sub(t.storeFailedAt) < removedRetention))
}

// Sweep drops the instances whose entries were removed longer than removedRetention ago.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.byID {
		i.mu.Lock()
		old := !i.removedAt.IsZero() && now.Sub(i.removedAt) > removedRetention
		i.mu.Unlock()
		if old {
			t.drop(now, i)
		}
	}
	maps.DeleteFunc(t.left, func(_ string, l leftEntry) bool { return now.Sub(l.at) > leftRetention })
	t.sweepBrittle(now)
}

// drop removes an instance from the table.
func (t *Table) drop(now time.Time, i *Instance) {
	i.markRemoved(now)
	t.left[i.entry.ID] = leftEntry{entry: i.entry, advisory: i.advisory, at: now}
	delete(t.byID, i.entry.ID)
	list := t.byService[i.entry.Service]
	kept := make([]*Instance, 0, len(list))
	for _, x := range list {
		if x != i {
			kept = append(kept, x)
		}
	}
	t.byService[i.entry.Service] = kept
}

// RecordRestore records that the store came back from an older copy, so that entries may be missing for a moment, and entries
// that were replaced or removed may come back.
func (t *Table) RecordRestore(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restoredAt, t.storeFailedAt = now, now
}

// RecordStoreFailure records that the store does not respond, so that entries may expire although their instances
// are alive.
func (t *Table) RecordStoreFailure(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeFailedAt = now
}

// IsStoreFailing reports whether the store failed to respond recently.
func (t *Table) IsStoreFailing(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.storeFailedAt.IsZero() && now.Sub(t.storeFailedAt) < removalGrace
}

// removalGrace is how long the removal of an entry around a store failure counts as unconfirmed. A live instance
// writes its entry again within two seconds of the store's return.
const removalGrace = 1800 * time.Millisecond

// RemovalGrace returns how long the removal of an entry currently counts as unconfirmed; 0 while the store works.
func (t *Table) RemovalGrace(now time.Time) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.storeFailedAt.IsZero() && now.Sub(t.storeFailedAt) < 2*removalGrace {
		return removalGrace
	}
	return 0
}

// Evacuated returns the availability zones to whose instances nothing more is to be sent.
func (t *Table) Evacuated() *evacuate.Zones { return t.evacuated }

// Service returns the instances of a service. The slice must not be modified.
func (t *Table) Service(name string) []*Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byService[name]
}

// Get returns an instance by its identifier, nil if the instance is not known.
func (t *Table) Get(id string) *Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byID[id]
}

// All returns the instances of all services.
func (t *Table) All() []*Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*Instance, 0, len(t.byID))
	for _, i := range t.byID {
		all = append(all, i)
	}
	return all
}
