package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/evacuate"
)

// Instance is one incarnation of an upstream server. It is safe for concurrent use.
type Instance struct {
	id        string
	mu        sync.Mutex
	entry     Entry
	coldUntil time.Time // before which the instance is slow after its start, as it stated last
	removedAt time.Time // when the entry was removed from the store, zero while the entry exists
	heldUntil time.Time // an entry of an older copy of the store is not trusted before
	aliveAt   time.Time // when it last answered this host, or wrote its entry
	movedAt   time.Time // when another upstream was seen at its address, zero if it has shown itself since
	idle      []*Conn   // idle connections, most recently used last
	openConns int       // number of open connections, busy ones included
	dials     dials     // connections that are being opened
	load      Load
	advisory  *advisory.State
	backoff   backoff
	dialer    *Dialer

	reach      *serviceReach // nil for an instance that belongs to no Table
	active     activity      // of all connections
	outOfReach atomic.Bool   // the host is cut off from the instance
	openedAt   time.Time     // when a connection was opened last; the mu of reach guards it

	brittle   *serviceBrittleness // nil for an instance that belongs to no Table
	evacuated *evacuate.Zones     // the same
}

// Load is the load that an instance last reported.
type Load struct {
	Running, Waiting, Slots int
	Slowdown                float64   // how long work takes now, relative to the usual time; 0 if not stated
	At                      time.Time // when the load was reported; zero if never
}

// NewInstance returns an instance that belongs to no Table.
func NewInstance(e Entry, d *Dialer) *Instance { return newInstance(e, d, nil) }

// newInstance returns an instance without connections.
func newInstance(e Entry, d *Dialer, r *serviceReach) *Instance {
	return &Instance{id: e.ID, entry: e, dialer: d, advisory: advisory.NewState(e.ID), reach: r}
}

// Entry returns the latest entry of the instance.
func (i *Instance) Entry() Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.entry
}

// Capacity returns the availability zone and the slots of the instance's entry. Placing a request asks each instance, and a copy of the whole
// entry would take longer.
func (i *Instance) Capacity() (zone string, slots int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.entry.Zone, i.entry.Slots
}

// IsDraining reports whether the instance's entry states that it drains.
func (i *Instance) IsDraining() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.entry.Draining
}

// IsOutOfReach reports whether the host is cut off from the instance.
func (i *Instance) IsOutOfReach() bool { return i.outOfReach.Load() }

// ID returns the identifier of the instance.
func (i *Instance) ID() string { return i.id }

// Load returns the load that the instance last reported.
func (i *Instance) Load() Load {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.load
}

// SetLoad records a load that the instance reported.
func (i *Instance) SetLoad(l Load) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.load = l
}

// holdUntil keeps requests from the instance until t.
func (i *Instance) holdUntil(t time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heldUntil = t
}

// update replaces the entry with a newer one of the same incarnation.
func (i *Instance) update(e Entry) {
	i.mu.Lock()
	i.entry, i.removedAt, i.heldUntil = e, time.Time{}, time.Time{}
	leaving := e.Draining
	i.mu.Unlock()
	if leaving {
		i.closeIdle()
		i.abandonDials()
	}
}

// markRemoved records that the entry was removed from the store.
func (i *Instance) markRemoved(now time.Time) {
	i.mu.Lock()
	if i.removedAt.IsZero() {
		i.removedAt = now
	}
	i.mu.Unlock()
	i.closeIdle()
	i.abandonDials()
}

// IsRemoved reports whether the entry was removed from the store.
func (i *Instance) IsRemoved() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.removedAt.IsZero()
}

// closeIdle closes the idle connections.
func (i *Instance) closeIdle() {
	i.mu.Lock()
	idle := i.idle
	i.idle = nil
	i.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Status tells whether an instance accepts new requests.
type Status int

// The statuses, best first.
const (
	Usable      Status = iota
	Unconfirmed        // its entry was removed while the store was failing and may return
	Departing          // its responses state that it leaves; for a short time it still accepts requests that no other one can take
	Down               // it failed recently, or the host is cut off from it
	Evacuated          // its availability zone is evacuated
	Leaving            // it is draining or its removal is confirmed
)

// String returns the name of the status in explanations.
func (s Status) String() string {
	names := [...]string{Usable: "usable", Unconfirmed: "unconfirmed", Departing: "departing", Down: "down", Evacuated: "evacuated", Leaving: "leaving"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Status returns whether the instance accepts new requests now. After the removal of its entry, an instance
// counts as Unconfirmed for the time grace, and as Leaving afterwards.
func (i *Instance) Status(now time.Time, grace time.Duration) Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.entry.Draining, now.Before(i.heldUntil):
		return Leaving
	case !i.removedAt.IsZero() && now.Sub(i.removedAt) >= grace:
		return Leaving
	case i.isEvacuated():
		return Evacuated
	case i.backoff.isActive(now), i.outOfReach.Load(), i.hasMoved(now):
		return Down
	case i.isDeparting(now):
		return Departing
	case !i.removedAt.IsZero():
		return Unconfirmed
	default:
		return Usable
	}
}

// IsCold reports whether the instance is slow after its start, as it stated last.
func (i *Instance) IsCold(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Before(i.coldUntil)
}

// RecordCold records for how long from now the instance is slow after its start, as it states.
func (i *Instance) RecordCold(now time.Time, d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coldUntil = now.Add(d)
}

// IsEvacuated reports whether the instance's availability zone is evacuated.
func (i *Instance) IsEvacuated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isEvacuated()
}

// isEvacuated is IsEvacuated. The caller holds i.mu.
func (i *Instance) isEvacuated() bool {
	return i.evacuated != nil && i.evacuated.Contains(i.entry.Zone)
}

// isDeparting reports whether the instance's responses state that it leaves. The caller holds i.mu.
func (i *Instance) isDeparting(now time.Time) bool {
	_, ok := i.advisory.LeavingFor(now)
	return ok
}

// RecordFailure records that the instance refused a connection, broke one or did not respond in time.
func (i *Instance) RecordFailure(now time.Time) {
	i.mu.Lock()
	i.backoff.extend(now)
	i.mu.Unlock()
	i.closeIdle()
}

// RecordSuccess records a valid response and ends the back-off.
func (i *Instance) RecordSuccess() {
	i.mu.Lock()
	i.backoff = backoff{}
	i.mu.Unlock()
}

// backoff is the exponential back-off after consecutive failures.
type backoff struct {
	failures int
	until    time.Time
}

const (
	// initialBackoff is the time without requests after a failure. It doubles with each consecutive failure up to
	// maxBackoff, which is about the time that a crashed upstream takes to restart.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

func (b *backoff) extend(now time.Time) {
	b.until = now.Add(min(initialBackoff<<min(b.failures, 8), maxBackoff))
	b.failures++
}

func (b *backoff) isActive(now time.Time) bool { return now.Before(b.until) }
